//! Replication of the catalogue between entries.

use crate::fleet::{snapshot, Fleet, Network};
use std::time::Duration;

const START_LIMIT: Duration = Duration::from_secs(30);

/// Longest time until an accepted change is in force everywhere, see requirement 8 of docs/design.md.
const CHANGE_LIMIT: Duration = Duration::from_secs(5);

fn all_have(fleet: &Fleet, revision: u64) -> bool {
    let mut nodes = fleet.entries();
    nodes.all(|node| node.catalogue.stamp().revision == revision)
}

/// Guards against a change that comes into force late or is reverted while messages are lost, delayed, duplicated
/// and reordered.
#[test]
fn change_is_in_force_everywhere_in_time_and_stays() {
    for seed in 0..10 {
        let mut fleet = Fleet::with_nodes(seed, 30, 0, 3);
        fleet.run(START_LIMIT);
        fleet.network = Network {
            loss: 0.3,
            duplicates: 0.2,
            delay_ms: 1..300,
            ..Network::default()
        };
        for revision in 1..=5 {
            // Entry 1 reads the previous revision from the store, so two revisions spread at once.
            fleet.adopt(0, snapshot(revision));
            fleet.adopt(1, snapshot(revision.saturating_sub(1)));
            let mut highest = vec![0; 30];
            let mut reached = false;
            for _ in 0..50 {
                fleet.run(CHANGE_LIMIT / 50);
                for (seen, node) in highest.iter_mut().zip(fleet.entries()) {
                    let revision = node.catalogue.stamp().revision;
                    assert!(revision >= *seen, "seed {seed}: reverted");
                    *seen = revision;
                }
                reached |= all_have(&fleet, revision);
            }
            assert!(reached, "seed {seed}, revision {revision}");
            for node in fleet.entries() {
                assert_eq!(**node.catalogue.snapshot(), snapshot(revision));
            }
        }
    }
}

/// Guards against an invalid catalogue that replaces the last good one, and against a rejection that blocks the next
/// valid revision.
#[test]
fn last_valid_snapshot_is_kept_after_an_invalid_one() {
    let mut fleet = Fleet::with_nodes(1, 6, 0, 2);
    fleet.run(START_LIMIT);
    fleet.adopt(0, snapshot(3));
    fleet.run(CHANGE_LIMIT);
    let mut invalid = snapshot(4);
    invalid.services.get_mut("feed").expect("one service").owner = String::new();
    fleet.adopt(0, invalid);
    fleet.adopt(0, snapshot(2));
    fleet.run(CHANGE_LIMIT);
    assert!(all_have(&fleet, 3));
    let counters = fleet.entry(0).catalogue.counters();
    assert_eq!((counters.invalid, counters.stale), (1, 1));
    fleet.adopt(0, snapshot(5));
    fleet.run(CHANGE_LIMIT);
    assert!(all_have(&fleet, 5));
}

/// Guards against an entry that stays without a catalogue because it cannot read the store when it starts.
#[test]
fn starting_entry_fetches_the_catalogue_from_a_peer() {
    let mut fleet = Fleet::with_nodes(1, 3, 0, 1);
    fleet.adopt(0, snapshot(9));
    fleet.run(START_LIMIT);
    fleet.add_entry(3, "zone-0", 1);
    let took = fleet.run_until(CHANGE_LIMIT, |fleet| all_have(fleet, 9));
    assert!(took.is_some());
}

/// Guards against different catalogues with equal digests, which replication would take for the same.
#[test]
fn digest_depends_on_the_content() {
    let mut other = snapshot(1);
    other
        .services
        .get_mut("feed")
        .expect("one service")
        .limits
        .queue += 1;
    assert_ne!(snapshot(1).digest(), other.digest());
    assert_eq!(snapshot(1).digest(), snapshot(1).digest());
}
