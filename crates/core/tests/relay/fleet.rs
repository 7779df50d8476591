//! Tests of an entry's endpoints, from the store's list and the agents' reports.

use crate::support::{agent, id, service_address, FEED};
use quetzalhill_core::relay::fleet::{
    EndpointReport, FleetController, ListChange, ListEffect, ListedEndpoint, ReportOutcome,
    SILENT_AFTER,
};
use quetzalhill_core::relay::intake::UpstreamState;
use quetzalhill_core::relay::load::{FlowCoverage, LoadCounts};
use quetzalhill_core::relay::routes::FormerServices;
use quetzalhill_core::relay::view::EndpointStatus;
use std::time::{Duration, Instant};

fn listed(number: u8, incarnation: u64) -> ListedEndpoint {
    ListedEndpoint {
        id: id(number),
        service: FEED.into(),
        zone: "a".into(),
        incarnation,
        slots: 4,
    }
}

fn report(
    number: u8,
    incarnation: u64,
    order: u64,
    state: UpstreamState,
    now: Instant,
) -> EndpointReport {
    EndpointReport {
        endpoint: listed(number, incarnation),
        order: (1, order),
        state,
        stopping: false,
        load: LoadCounts::default(),
        addresses: [service_address()].into_iter().collect(),
        coverage: FlowCoverage::Complete,
        cold_until: None,
        digest: None,
        keepalive_sent: None,
        pace: None,
        expires: now + SILENT_AFTER,
    }
}

fn statuses(fleet: &FleetController, now: Instant) -> Vec<EndpointStatus> {
    let services = fleet.services(now);
    let feed = services.get(FEED).expect("feed");
    feed.endpoints
        .iter()
        .map(|endpoint| endpoint.status)
        .collect()
}

fn is_complete(fleet: &FleetController, now: Instant) -> bool {
    fleet.services(now)[FEED].complete
}

/// Guards against the removal of an endpoint that still reports, when its lease expired during an outage of the
/// store.
#[test]
fn unlisted_endpoint_that_still_reports_is_kept() {
    let mut now = Instant::now();
    let mut fleet = FleetController::new("a".into());
    fleet.add_listed(listed(1, 5), now);
    fleet.remove_listed(id(1), now);
    for order in 1..20 {
        now += Duration::from_millis(400);
        fleet.report(report(1, 5, order, UpstreamState::Ready, now), now);
        fleet.tick(now);
    }
    assert_eq!(statuses(&fleet, now), [EndpointStatus::Ready]);
    assert!(is_complete(&fleet, now));
}

/// Guards against the reset of a flow while its unlisted endpoint may still return, and against an endpoint that
/// never returns and blocks resets for ever.
#[test]
fn unlisted_endpoint_keeps_its_service_incomplete_for_two_seconds() {
    let now = Instant::now();
    let mut fleet = FleetController::new("a".into());
    fleet.add_listed(listed(1, 5), now);
    fleet.report(report(2, 5, 1, UpstreamState::Ready, now), now);
    fleet.remove_listed(id(1), now);
    let soon = now + Duration::from_secs(2);
    fleet.report(report(2, 5, 2, UpstreamState::Ready, soon), soon);
    fleet.tick(soon);
    assert!(!is_complete(&fleet, soon));
    let later = now + Duration::from_secs(3);
    fleet.report(report(2, 5, 3, UpstreamState::Ready, later), later);
    fleet.tick(later);
    assert!(is_complete(&fleet, later));
}

/// Guards against new flows for a machine that was lost, and against flows that are declared ended while its endpoint
/// is only silent.
#[test]
fn endpoint_without_reports_is_silent() {
    let now = Instant::now();
    let mut fleet = FleetController::new("a".into());
    fleet.add_listed(listed(1, 5), now);
    assert_eq!(statuses(&fleet, now), [EndpointStatus::Silent]);
    fleet.report(report(1, 5, 1, UpstreamState::Ready, now), now);
    assert_eq!(statuses(&fleet, now), [EndpointStatus::Ready]);
    assert!(fleet.all_report(now));
    let later = now + SILENT_AFTER;
    fleet.tick(later);
    assert_eq!(statuses(&fleet, later), [EndpointStatus::Silent]);
    assert!(!is_complete(&fleet, later));
}

/// Guards against the reset of open flows while their agent is stopped for an update; their upstream keeps running.
#[test]
fn endpoint_of_a_stopping_agent_is_silent() {
    let now = Instant::now();
    let mut fleet = FleetController::new("a".into());
    fleet.add_listed(listed(1, 5), now);
    fleet.report(report(1, 5, 1, UpstreamState::Ready, now), now);
    let mut stopping = report(1, 5, 2, UpstreamState::Ready, now);
    stopping.stopping = true;
    assert_eq!(fleet.report(stopping, now), ReportOutcome::Status);
    assert_eq!(statuses(&fleet, now), [EndpointStatus::Silent]);
    assert!(!is_complete(&fleet, now));
}

/// Guards against an agent that has just restarted and reports incarnation 0, which would make its upstream look
/// restarted.
#[test]
fn unknown_incarnation_does_not_replace_the_listed_one() {
    let now = Instant::now();
    let mut fleet = FleetController::new("a".into());
    fleet.add_listed(listed(1, 5), now);
    fleet.report(report(1, 0, 1, UpstreamState::Unknown, now), now);
    let services = fleet.services(now);
    assert_eq!(services[FEED].endpoints[0].incarnation, 5);
    assert_eq!(statuses(&fleet, now), [EndpointStatus::Pending]);
}

/// Guards against reports that arrive out of order, and against a record in the store that is older than a report.
#[test]
fn stale_reports_and_records_are_ignored() {
    let now = Instant::now();
    let mut fleet = FleetController::new("a".into());
    fleet.report(report(1, 6, 9, UpstreamState::Draining, now), now);
    let late = fleet.report(report(1, 5, 8, UpstreamState::Ready, now), now);
    assert_eq!(late, ReportOutcome::Stale);
    fleet.add_listed(listed(1, 5), now);
    let services = fleet.services(now);
    assert_eq!(services[FEED].endpoints[0].incarnation, 6);
    assert_eq!(statuses(&fleet, now), [EndpointStatus::Draining]);
}

/// Guards against queries to an upstream that has deregistered.
#[test]
fn endpoint_of_an_ended_upstream_is_not_in_the_view() {
    let now = Instant::now();
    let mut fleet = FleetController::new("a".into());
    fleet.add_listed(listed(1, 5), now);
    fleet.report(report(1, 5, 1, UpstreamState::Gone, now), now);
    assert!(statuses(&fleet, now).is_empty());
    assert!(is_complete(&fleet, now));
}

/// Guards against an entry that does not learn from reports which services hold flows to an address, or that takes a
/// partial list of addresses for a complete one.
#[test]
fn holders_are_known_only_from_complete_reports() {
    let now = Instant::now();
    let mut fleet = FleetController::new("a".into());
    fleet.add_listed(listed(1, 5), now);
    assert!(!fleet.holders_known());
    let mut partial = report(1, 5, 1, UpstreamState::Ready, now);
    partial.coverage = FlowCoverage::Partial;
    fleet.report(partial, now);
    assert!(!fleet.holders_known());
    fleet.report(report(1, 5, 2, UpstreamState::Ready, now), now);
    assert!(fleet.holders_known());
    let mut former = FormerServices::default();
    fleet.add_holders(&mut former);
    assert_eq!(former[&service_address()].as_slice(), [FEED]);
    assert_eq!(fleet.endpoints(now).next(), Some((id(1), true)));
    assert_eq!(agent(1).port(), 7_000);
}

fn far_listed(number: u8) -> ListedEndpoint {
    ListedEndpoint {
        zone: "b".into(),
        ..listed(number, 5)
    }
}

fn far_report(number: u8, order: u64, now: Instant) -> EndpointReport {
    EndpointReport {
        endpoint: far_listed(number),
        expires: now + Duration::from_secs(15),
        ..report(number, 5, order, UpstreamState::Ready, now)
    }
}

/// Guards against new flows for a lost machine of another zone until its last report expires, which takes many
/// seconds, and against a healthy endpoint that one lost packet makes silent.
#[test]
fn doubted_far_endpoint_has_to_report_soon() {
    let now = Instant::now();
    let mut fleet = FleetController::new("a".into());
    for number in [1, 2] {
        fleet.add_listed(far_listed(number), now);
        fleet.report(far_report(number, 1, now), now);
    }
    fleet.take_keepalives(now);
    let later = now + Duration::from_secs(3);
    assert_eq!(statuses(&fleet, later), [EndpointStatus::Ready; 2]);
    fleet.doubt(id(1), later);
    fleet.doubt(id(2), later);
    let due = fleet.take_keepalives(later);
    assert_eq!(due.len(), 2);
    assert!(due.iter().all(|keepalive| keepalive.urgent));
    let answered = later + Duration::from_millis(5);
    fleet.report(far_report(2, 2, answered), answered);
    let soon = later + Duration::from_millis(500);
    let services = fleet.services(soon);
    for endpoint in &services[FEED].endpoints {
        let expected = match endpoint.id == id(2) {
            true => EndpointStatus::Ready,
            false => EndpointStatus::Silent,
        };
        assert_eq!(endpoint.status, expected);
    }
}

/// Guards against keepalives to other zones that grow with the number of pairs of entries and agents.
#[test]
fn far_keepalives_of_an_entry_do_not_grow_with_the_fleet() {
    for count in [100_u64, 1_000, 5_000] {
        let start = Instant::now();
        let mut fleet = FleetController::new("a".into());
        for number in 0..count {
            let endpoint = ListedEndpoint {
                id: 1 << 20 | number,
                ..far_listed(1)
            };
            fleet.add_listed(endpoint.clone(), start);
            let report = EndpointReport {
                endpoint,
                expires: start + Duration::from_secs(1_000),
                ..far_report(1, 1, start)
            };
            fleet.report(report, start);
        }
        fleet.take_keepalives(start);
        let (mut sent, mut now) = (0, start);
        let end = start + Duration::from_secs(55);
        while now < end {
            now += Duration::from_millis(200);
            for keepalive in fleet.take_keepalives(now) {
                assert!(keepalive.expires > now + Duration::from_secs(8));
                sent += 1;
            }
        }
        assert!(
            sent <= 16 * 56,
            "{sent} keepalives in 55 s to {count} agents"
        );
    }
}

/// Guards against an endpoint that is unlisted because the changes of two readers arrive in another order than the
/// store made them.
#[test]
fn later_change_of_a_record_wins() {
    let now = Instant::now();
    let mut fleet = FleetController::new("a".into());
    fleet.add_listed(listed(1, 5), now);
    let written = ListChange {
        era: 0,
        revision: 12,
        effect: ListEffect::Written(listed(1, 6)),
    };
    let removed = ListChange {
        era: 0,
        revision: 10,
        effect: ListEffect::Removed(id(1)),
    };
    for change in [&removed, &written, &removed] {
        fleet.apply_change(change.clone(), now);
    }
    fleet.tick(now + Duration::from_secs(10));
    let services = fleet.services(now);
    assert_eq!(services[FEED].endpoints[0].incarnation, 6);
}
