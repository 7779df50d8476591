//! Tests of an entry's answer to whether an endpoint is the same and still runs, from the list and the reports to the
//! verdict on a packet.

use crate::site::{Site, ANNOUNCE_TIME, FLOW, RESTARTED, TICK};
use crate::support::{established, id, key, opening, packet, FEED, INCARNATION};
use quetzalhill_core::ids::IncarnationNumber;
use quetzalhill_core::relay::chain::{DeliverReason, RelayVerdict};
use quetzalhill_core::relay::digest::{fingerprint_of, FlowDigest};
use quetzalhill_core::relay::fleet::{ListedEndpoint, SILENT_AFTER};
use quetzalhill_core::relay::identity::{
    match_incarnations, merge_accounts, IncarnationMatch, IncarnationSource,
};
use quetzalhill_core::relay::intake::ReturnReason;
use quetzalhill_core::relay::packet::{FlowAddresses, PacketKind};
use std::sync::Arc;
use std::time::Duration;
use yare::parameterized;

/// Events around the outage of an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Around {
    /// Only the agent of the flow's holder is down.
    OneAgent,
    /// The agents of three endpoints are down at the same time.
    ThreeAgents,
    /// The entry restarts together with the agent.
    EntryToo,
    /// The list loses the record of the holder while its agent is down.
    LeaseLost,
}

/// Guards against flows that never reach their living upstream again after its agent was away: an agent that does not
/// know the incarnation yet, or an endpoint that was missing from the list, made the entry rule out the holder
/// (review/2). Packets are sent while the agent is away, before the first announcement, or only later.
#[parameterized(
    one_agent = { Around::OneAgent },
    three_agents = { Around::ThreeAgents },
    entry_too = { Around::EntryToo },
    lease_lost = { Around::LeaseLost },
)]
fn flow_survives_every_outage_of_its_agent(around: Around) {
    for outage_ms in [
        100, 300, 500, 1_000, 1_200, 1_600, 2_500, 3_500, 5_000, 6_500, 8_000, 9_000, 10_000,
    ] {
        for sends in 0..4_u8 {
            let (while_away, while_unknown) = (sends & 1 != 0, sends & 2 != 0);
            let mut site = Site::new();
            site.pass(Duration::from_secs(1));
            assert!(site.send_held().is_ok());
            let down = match around {
                Around::ThreeAgents => 3,
                _ => 1,
            };
            for index in 0..down {
                site.kill_agent(index);
            }
            let outage = Duration::from_millis(outage_ms);
            let end = site.now + outage;
            if around == Around::LeaseLost {
                site.members[0].is_listed = false;
                site.fleet.remove_listed(id(1), site.now);
            }
            while site.now < end {
                site.pass(TICK);
                if while_away {
                    // The caller may not receive a reset, and goes on.
                    let _ = site.send_held();
                }
            }
            for index in 0..down {
                site.start_agent(index);
            }
            if around == Around::EntryToo {
                site.restart_entry();
            }
            if while_unknown {
                let case = format!("{around:?}, {outage_ms} ms, away {while_away}");
                assert!(site.send_held().is_ok(), "before the announcement: {case}");
            }
            site.pass(ANNOUNCE_TIME);
            for index in 0..down {
                site.announce(index);
            }
            for _ in 0..3 {
                let case = format!(
                    "{around:?}, {outage_ms} ms, away {while_away}, unknown {while_unknown}"
                );
                let sent = site.send_held();
                assert!(sent.is_ok(), "{case}: {sent:?}");
                site.pass(Duration::from_secs(2));
            }
        }
    }
}

/// Guards against a log line that names another flow than the one whose holder was dropped.
#[test]
fn dropped_holder_names_its_flow() {
    let mut site = Site::new();
    assert!(site.send_held().is_ok());
    site.members[0].incarnation = RESTARTED;
    site.announce(0);
    let view = site.view();
    site.chain.decide(&established(FLOW), &view, site.now);
    let dropped = site.chain.take_dropped_holders();
    assert_eq!(dropped.len(), 1);
    assert_eq!(dropped[0].flow, established(FLOW).flow);
    assert_eq!(dropped[0].holder, key(1));
    let current = dropped[0].current.expect("the endpoint is in the view");
    assert_eq!(current.incarnation, RESTARTED);
    assert!(site.chain.take_dropped_holders().is_empty());
}

/// Guards against a living holder that is ruled out because it was cut off from the store and the entry for longer than
/// its lease, although its agent ran all the time.
#[test]
fn flow_survives_a_holder_that_was_cut_off() {
    let mut site = Site::new();
    assert!(site.send_held().is_ok());
    site.kill_agent(0);
    for _ in 0..100 {
        site.pass(TICK);
        let _ = site.send_held();
    }
    assert!(site
        .fleet
        .endpoints(site.now)
        .all(|(known, _)| known != id(1)));
    site.members[0].is_up = true;
    site.announce(0);
    assert!(site.send_held().is_ok());
    assert_eq!(site.send_held(), Ok(DeliverReason::TableHit));
}

/// Guards against a flow whose holder is ruled out because an old record of the list replaced the incarnation of a
/// silent endpoint for a while.
#[test]
fn flow_survives_an_old_record_of_its_holder() {
    let mut site = Site::new();
    assert!(site.send_held().is_ok());
    site.kill_agent(0);
    site.pass(SILENT_AFTER);
    let old = ListedEndpoint {
        incarnation: INCARNATION - 5,
        ..site.endpoint(0)
    };
    site.fleet.add_listed(old, site.now);
    let _ = site.send_held();
    site.members[0].is_up = true;
    site.announce(0);
    assert!(site.send_held().is_ok());
}

/// Guards against packets that go on to a restarted upstream as if it still held the flows of its earlier incarnation,
/// and against callers that are not told that these have ended.
#[parameterized(
    agent_runs = { false, false },
    agent_restarts = { true, false },
    agent_and_entry_restart = { true, true },
)]
fn flows_of_an_ended_incarnation_do_not_go_to_the_next(agent_restarts: bool, entry_restarts: bool) {
    for outage_ms in [100, 600, 1_600, 4_000, 10_000] {
        let mut site = Site::new();
        site.pass(Duration::from_secs(1));
        assert!(site.send_held().is_ok());
        if agent_restarts {
            site.kill_agent(0);
        }
        site.pass(Duration::from_millis(outage_ms));
        site.members[0].incarnation = RESTARTED;
        if agent_restarts {
            site.start_agent(0);
            site.members[0].covers = true;
        }
        if entry_restarts {
            site.restart_entry();
        }
        site.announce(0);
        let mut hits = 0;
        let mut verdict = None;
        for _ in 0..4 {
            let view = site.view();
            let decided = site.chain.decide(&established(FLOW), &view, site.now);
            if let RelayVerdict::Deliver {
                targets,
                reason: DeliverReason::TableHit,
            } = &decided
            {
                hits += targets
                    .iter()
                    .filter(|target| target.endpoint.id == id(1))
                    .count();
            }
            verdict = Some(site.send_held());
        }
        let case = format!("{outage_ms} ms");
        assert_eq!(hits, 0, "{case}");
        let verdict = verdict.expect("sent");
        assert!(
            matches!(verdict, Err(RelayVerdict::Reset(_))),
            "{case}: {verdict:?}"
        );
    }
}

/// Guards against a flow that was opened before the incarnation of its upstream was known, and counts as one of the
/// incarnation that began afterwards.
#[parameterized(
    incarnation_has_the_flow = { true },
    incarnation_began_later = { false },
)]
fn flow_of_an_unknown_incarnation_is_looked_up_in_the_digest(has_flow: bool) {
    let mut site = Site::new();
    for index in 1..site.members.len() {
        site.kill_agent(index);
    }
    site.members[0].announced = 0;
    site.restart_entry();
    let view = site.view();
    let placed = site.chain.decide(&opening(FLOW), &view, site.now);
    assert!(matches!(placed, RelayVerdict::Deliver { .. }));
    let flows: Vec<FlowAddresses> = match has_flow {
        true => vec![established(FLOW).flow],
        false => Vec::new(),
    };
    site.announce(0);
    let mut view = site.view();
    let service = view.services.get_mut(FEED).expect("feed");
    let digest = FlowDigest::new(flows.into_iter().map(fingerprint_of).collect());
    let holder = service
        .endpoints
        .iter_mut()
        .find(|endpoint| endpoint.id == id(1));
    holder.expect("the holder").digest = Some(Arc::new(digest));
    let verdict = site.chain.decide(&established(FLOW), &view, site.now);
    let is_hit = matches!(
        verdict,
        RelayVerdict::Deliver {
            reason: DeliverReason::TableHit,
            ..
        }
    );
    assert_eq!(is_hit, has_flow, "{verdict:?}");
}

/// Guards against a busy first choice that is forgotten, so that the flow is refused, because its incarnation became
/// known meanwhile.
#[test]
fn busy_endpoint_is_chosen_after_its_incarnation_became_known() {
    let mut site = Site::new();
    for index in 0..site.members.len() {
        site.members[index].announced = 0;
    }
    site.restart_entry();
    let head = packet(FLOW, PacketKind::Opening { copies: 0 });
    let mut verdict = site.chain.decide(&head, &site.view(), site.now);
    for requests in [9, 8] {
        let RelayVerdict::Deliver { targets, .. } = &verdict else {
            panic!("{verdict:?}");
        };
        let reason = ReturnReason::Busy { requests };
        let returned = targets[0].endpoint;
        let view = site.view();
        verdict = site
            .chain
            .decide_returned(&head, returned, reason, &view, site.now);
    }
    for index in 0..site.members.len() {
        site.announce(index);
    }
    let RelayVerdict::Deliver { targets, .. } = &verdict else {
        panic!("{verdict:?}");
    };
    let reason = ReturnReason::Busy { requests: 12 };
    let last = targets[0].endpoint;
    let view = site.view();
    let verdict = site
        .chain
        .decide_returned(&head, last, reason, &view, site.now);
    assert!(
        matches!(verdict, RelayVerdict::Deliver { .. }),
        "{verdict:?}"
    );
}

/// Guards against an incarnation that is forgotten because a record or report does not know it, and against one that is
/// kept after the address went to another service.
#[test]
fn unknown_incarnation_in_a_record_or_report_changes_nothing() {
    let mut site = Site::new();
    site.kill_agent(0);
    site.pass(Duration::from_secs(2));
    site.fleet.take_incarnation_changes();
    site.start_agent(0);
    assert!(site.fleet.take_incarnation_changes().is_empty());
    site.members[0].incarnation = RESTARTED;
    site.announce(0);
    let changes = site.fleet.take_incarnation_changes();
    let expected = [(INCARNATION, RESTARTED, IncarnationSource::Report)];
    let seen: Vec<_> = changes
        .iter()
        .map(|change| (change.before, change.after, change.source))
        .collect();
    assert_eq!(seen, expected);
    let known = site.endpoint(0);
    let reused = ListedEndpoint {
        service: "other".into(),
        incarnation: 0,
        ..known.clone()
    };
    assert_eq!(merge_accounts(&known, reused).incarnation, 0);
}

/// Guards against an unknown incarnation that counts as another one.
#[parameterized(
    same = { 5, 5, IncarnationMatch::Same },
    other = { 5, 6, IncarnationMatch::Other },
    first_unknown = { 0, 6, IncarnationMatch::Unknown },
    second_unknown = { 5, 0, IncarnationMatch::Unknown },
    both_unknown = { 0, 0, IncarnationMatch::Unknown },
)]
fn incarnations_are_compared(
    first: IncarnationNumber,
    second: IncarnationNumber,
    expected: IncarnationMatch,
) {
    assert_eq!(match_incarnations(first, second), expected);
}
