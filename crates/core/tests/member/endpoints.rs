//! Drain, removal, failure detection and restart of endpoints.

use crate::fleet::{
    agent_address, entry_address, is_complete, ready_count, state_of, Fleet, Network,
};
use quetzalhill_core::member::EndpointState;
use std::time::Duration;

const START_LIMIT: Duration = Duration::from_secs(30);

/// Longest time until all entries have a drain, see requirement 6 of docs/design.md.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

/// Guards against new flows to a draining endpoint because an entry misses the drain while half of all messages are
/// lost.
#[test]
fn draining_endpoint_is_removed_from_every_table_in_time() {
    for seed in 0..20 {
        let mut fleet = Fleet::with_nodes(seed, 30, 30, 3);
        fleet.run(START_LIMIT);
        fleet.network.loss = 0.5;
        fleet.set_state(4, EndpointState::Draining);
        let out = |fleet: &Fleet| {
            let mut nodes = fleet.entries();
            nodes.all(|node| state_of(node, 4) == Some(EndpointState::Draining))
        };
        let took = fleet.run_until(LEAVE_LIMIT, out);
        assert!(took.is_some(), "seed {seed}");
    }
}

/// Guards against gossip that is too slow in a fleet so large that the agent announces the drain to some entries
/// only.
#[test]
fn draining_endpoint_is_removed_from_every_table_of_a_large_fleet_in_time() {
    let mut fleet = Fleet::with_nodes(3, 150, 150, 3);
    fleet.run(2 * START_LIMIT);
    assert!(is_complete(&fleet, 150, 150));
    fleet.network.loss = 0.5;
    fleet.set_state(4, EndpointState::Draining);
    let out = |fleet: &Fleet| {
        let mut nodes = fleet.entries();
        nodes.all(|node| state_of(node, 4) == Some(EndpointState::Draining))
    };
    assert!(fleet.run_until(LEAVE_LIMIT, out).is_some());
}

/// Guards against a failed endpoint that stays in route tables.
#[test]
fn failed_endpoint_is_removed() {
    for seed in 0..5 {
        let mut fleet = Fleet::with_nodes(seed, 12, 24, 3);
        fleet.run(START_LIMIT);
        fleet.kill(agent_address(5));
        let gone = |fleet: &Fleet| fleet.entries().all(|node| ready_count(node) == 23);
        let took = fleet.run_until(Duration::from_secs(10), gone);
        assert!(took.is_some(), "seed {seed}");
    }
}

/// Guards against a failed endpoint that is never removed because the entries that monitored it failed with it.
#[test]
fn endpoint_that_fails_with_its_monitoring_entries_is_removed() {
    let mut fleet = Fleet::with_nodes(2, 12, 24, 3);
    fleet.run(START_LIMIT);
    // All but one entry of the zone.
    for number in [0, 3, 6] {
        fleet.kill(entry_address(number));
    }
    fleet.kill(agent_address(0));
    let gone = |fleet: &Fleet| fleet.entries().all(|node| ready_count(node) == 23);
    let took = fleet.run_until(Duration::from_secs(120), gone);
    assert!(took.is_some());
}

/// Guards against an outdated record that restores a removed endpoint, from a delayed message or from an entry that
/// was partitioned.
#[test]
fn removed_endpoint_is_not_restored_by_an_outdated_record() {
    for seed in 0..5 {
        let mut fleet = Fleet::with_nodes(seed, 12, 24, 3);
        fleet.run(START_LIMIT);
        fleet.network = Network {
            loss: 0.1,
            duplicates: 0.3,
            delay_ms: 1..3_000,
            partitioned: vec!["zone-2".into()],
        };
        fleet.set_state(0, EndpointState::Draining);
        fleet.run(Duration::from_secs(5));
        fleet.set_state(0, EndpointState::Left);
        fleet.run(Duration::from_secs(5));
        fleet.kill(agent_address(0));
        fleet.run(Duration::from_secs(20));
        fleet.network.partitioned.clear();
        fleet.network.delay_ms = 1..100;
        fleet.run(Duration::from_secs(30));
        for node in fleet.entries() {
            assert_eq!(state_of(node, 0), Some(EndpointState::Left), "seed {seed}");
        }
        for _ in 0..60 {
            fleet.run(Duration::from_secs(1));
            for node in fleet.entries() {
                assert_eq!(state_of(node, 0), Some(EndpointState::Left), "seed {seed}");
            }
        }
    }
}

/// Guards against tombstones that never expire because entries keep sending them to each other.
#[test]
fn tombstones_expire() {
    let mut fleet = Fleet::with_nodes(1, 3, 3, 1);
    fleet.run(START_LIMIT);
    fleet.set_state(0, EndpointState::Left);
    fleet.run(Duration::from_secs(5));
    fleet.kill(agent_address(0));
    fleet.run(Duration::from_secs(3_700));
    for node in fleet.entries() {
        assert_eq!(state_of(node, 0), None);
    }
}

/// Guards against a restarted endpoint that stays removed: its clock went back, so its new incarnation is lower than
/// the previous one until it raises it.
#[test]
fn restarted_endpoint_rejoins() {
    let mut fleet = Fleet::new(1);
    for number in 0..3 {
        fleet.add_entry(number, "zone-0", 1);
    }
    fleet.add_agent(0, "zone-0", 1_000, &[entry_address(0)]);
    fleet.run(START_LIMIT);
    fleet.kill(agent_address(0));
    fleet.run(Duration::from_secs(20));
    fleet.add_agent(0, "zone-0", 900, &[entry_address(0)]);
    let took = fleet.run_until(Duration::from_secs(5), |fleet| is_complete(fleet, 3, 1));
    assert!(took.is_some());
    assert_eq!(fleet.agent(0).announce.record().incarnation, 1_001);
}

/// Guards against an agent that keeps announcing to entries that no longer reply instead of changing to others.
#[test]
fn agent_replaces_entries_that_do_not_reply() {
    let mut fleet = Fleet::with_nodes(1, 6, 1, 1);
    fleet.run(START_LIMIT);
    for number in 0..5 {
        fleet.kill(entry_address(number));
    }
    fleet.run(Duration::from_secs(60));
    let now = fleet.now;
    let live = fleet.agent(0).announce.live_entries(now);
    assert_eq!(live.len(), 1, "{live:?}");
    let mut survivors = fleet.entries();
    assert!(survivors.all(|node| ready_count(node) == 1));
}
