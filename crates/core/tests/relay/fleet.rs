//! Tests of an entry's endpoints, from the store's list and the agents' reports.

use crate::support::{agent, id, service_address, FEED};
use quetzalhill_core::relay::fleet::{
    EndpointReport, FleetController, ListedEndpoint, ReportOutcome, SILENT_AFTER,
};
use quetzalhill_core::relay::intake::UpstreamState;
use quetzalhill_core::relay::load::LoadCounts;
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

fn report(number: u8, incarnation: u64, order: u64, state: UpstreamState) -> EndpointReport {
    EndpointReport {
        endpoint: listed(number, incarnation),
        order: (1, order),
        state,
        stopping: false,
        load: LoadCounts::default(),
        addresses: [service_address()].into_iter().collect(),
        covers_all_flows: true,
        cold_until: None,
        digest: None,
        keepalive_sent: None,
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
        fleet.report(report(1, 5, order, UpstreamState::Ready), now);
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
    fleet.report(report(2, 5, 1, UpstreamState::Ready), now);
    fleet.remove_listed(id(1), now);
    let soon = now + Duration::from_secs(2);
    fleet.report(report(2, 5, 2, UpstreamState::Ready), soon);
    fleet.tick(soon);
    assert!(!is_complete(&fleet, soon));
    let later = now + Duration::from_secs(3);
    fleet.report(report(2, 5, 3, UpstreamState::Ready), later);
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
    fleet.report(report(1, 5, 1, UpstreamState::Ready), now);
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
    fleet.report(report(1, 5, 1, UpstreamState::Ready), now);
    let mut stopping = report(1, 5, 2, UpstreamState::Ready);
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
    fleet.report(report(1, 0, 1, UpstreamState::Unknown), now);
    let services = fleet.services(now);
    assert_eq!(services[FEED].endpoints[0].incarnation, 5);
    assert_eq!(statuses(&fleet, now), [EndpointStatus::Pending]);
}

/// Guards against reports that arrive out of order, and against a record in the store that is older than a report.
#[test]
fn stale_reports_and_records_are_ignored() {
    let now = Instant::now();
    let mut fleet = FleetController::new("a".into());
    fleet.report(report(1, 6, 9, UpstreamState::Draining), now);
    let late = fleet.report(report(1, 5, 8, UpstreamState::Ready), now);
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
    fleet.report(report(1, 5, 1, UpstreamState::Gone), now);
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
    let mut partial = report(1, 5, 1, UpstreamState::Ready);
    partial.covers_all_flows = false;
    fleet.report(partial, now);
    assert!(!fleet.holders_known());
    fleet.report(report(1, 5, 2, UpstreamState::Ready), now);
    assert!(fleet.holders_known());
    let mut former = FormerServices::default();
    fleet.add_holders(&mut former);
    assert_eq!(former[&service_address()].as_slice(), [FEED]);
    assert_eq!(fleet.endpoints(now).next(), Some((id(1), true)));
    assert_eq!(agent(1).port(), 7_000);
}
