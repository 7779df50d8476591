//! Failure detection among entries.

use crate::fleet::{entry_address, is_complete, live_count, ready_count, Fleet, Network};
use std::time::Duration;

const START_LIMIT: Duration = Duration::from_secs(30);

/// Guards against entries that do not find each other through the seeds.
#[test]
fn entries_discover_the_whole_fleet() {
    for (entries, zones) in [(3, 3), (30, 3)] {
        let mut fleet = Fleet::with_nodes(1, entries, 10, zones);
        let all = usize::try_from(entries).expect("small");
        let took = fleet.run_until(START_LIMIT, |fleet| is_complete(fleet, all, 10));
        assert!(took.is_some(), "{entries} entries did not find each other");
    }
}

/// Guards against a failed entry that stays in the membership.
#[test]
fn failed_entry_is_removed() {
    for seed in 0..5 {
        let mut fleet = Fleet::with_nodes(seed, 30, 30, 3);
        fleet.run(START_LIMIT);
        fleet.kill(entry_address(7));
        let gone = |fleet: &Fleet| fleet.entries().all(|node| live_count(node) == 28);
        let took = fleet.run_until(Duration::from_secs(60), gone);
        assert!(took.is_some(), "seed {seed}");
    }
}

/// Guards against the removal of healthy entries and endpoints while the network loses 30 % of all messages.
#[test]
fn message_loss_removes_no_healthy_node() {
    for seed in 0..5 {
        let mut fleet = Fleet::with_nodes(seed, 30, 60, 3);
        fleet.run(START_LIMIT);
        fleet.network = Network {
            loss: 0.3,
            duplicates: 0.1,
            delay_ms: 1..100,
            ..Network::default()
        };
        for second in 0..180 {
            fleet.run(Duration::from_secs(1));
            for node in fleet.entries() {
                assert_eq!(live_count(node), 29, "seed {seed}, second {second}");
                assert_eq!(ready_count(node), 60, "seed {seed}, second {second}");
            }
        }
    }
}

/// Guards against a failed entry that stays in the membership while 30 % of all messages are lost.
#[test]
fn failed_entry_is_removed_under_message_loss() {
    for seed in 0..5 {
        let mut fleet = Fleet::with_nodes(seed, 30, 30, 3);
        fleet.run(START_LIMIT);
        fleet.network.loss = 0.3;
        fleet.kill(entry_address(7));
        let gone = |fleet: &Fleet| fleet.entries().all(|node| live_count(node) == 28);
        let took = fleet.run_until(Duration::from_secs(90), gone);
        assert!(took.is_some(), "seed {seed}");
    }
}

/// Guards against zones that remove each other's entries and endpoints while a partition lasts minutes, and against
/// records that stay different after it heals.
#[test]
fn partition_of_zones_heals() {
    for seed in 0..3 {
        let mut fleet = Fleet::with_nodes(seed, 12, 24, 3);
        fleet.run(START_LIMIT);
        fleet.network.partitioned = vec!["zone-0".into()];
        fleet.run(Duration::from_secs(240));
        for node in fleet.entries() {
            assert_eq!(
                live_count(node),
                11,
                "seed {seed}: removed in the partition"
            );
            assert_eq!(
                ready_count(node),
                24,
                "seed {seed}: removed in the partition"
            );
            assert!(node.member.unreachable_zones().count() > 0, "seed {seed}");
        }
        // Changes on both sides of the partition.
        fleet.set_state(0, quetzalhill_core::member::EndpointState::Draining);
        fleet.set_state(1, quetzalhill_core::member::EndpointState::Draining);
        fleet.run(Duration::from_secs(10));
        fleet.network.partitioned.clear();
        let healed = |fleet: &Fleet| {
            let mut nodes = fleet.entries();
            nodes.all(|node| {
                ready_count(node) == 22
                    && live_count(node) == 11
                    && node.member.unreachable_zones().count() == 0
            })
        };
        let took = fleet.run_until(Duration::from_secs(30), healed);
        assert!(took.is_some(), "seed {seed}: not merged");
    }
}

/// Guards against an entry that stays removed after a restart: its new incarnation is lower than that of the
/// tombstone, because its clock went back, and it has to raise it.
#[test]
fn restarted_entry_rejoins() {
    let mut fleet = Fleet::with_nodes(1, 6, 6, 1);
    fleet.run(START_LIMIT);
    fleet.kill(entry_address(4));
    fleet.run(Duration::from_secs(60));
    // The incarnation of the previous run was 1.
    fleet.add_entry(4, "zone-0", 0);
    let took = fleet.run_until(START_LIMIT, |fleet| is_complete(fleet, 6, 6));
    assert!(took.is_some());
}
