//! Tests of how an entry learns which availability zones are evacuated.

use proptest::prelude::*;
use quetzalhill_core::ids::StoreRevision;
use quetzalhill_core::relay::evacuation::{
    EvacuationController, OperatorState, ZoneChange, ZoneChanges,
};
use quetzalhill_core::relay::freshness::FreshnessController;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["a", "b", "c"];

fn change(zone: &str, revision: StoreRevision, evacuated: bool) -> ZoneChange {
    ZoneChange {
        zone: zone.into(),
        revision,
        evacuated,
    }
}

fn read(zones: &[(&str, StoreRevision)]) -> Vec<(String, StoreRevision)> {
    let zones = zones.iter();
    zones
        .map(|(zone, written)| ((*zone).into(), *written))
        .collect()
}

fn evacuated(controller: &EvacuationController) -> Vec<String> {
    controller.zones().into_iter().collect()
}

/// Guards against a zone that stays evacuated after a read without its key, and against a change that is logged twice or
/// with the wrong revision.
#[test]
fn read_replaces_the_state() {
    let mut controller = EvacuationController::default();
    let changes = controller.replace(&read(&[("a", 5), ("b", 7)]), 9);
    assert_eq!(
        changes.to_vec(),
        [change("a", 5, true), change("b", 7, true)]
    );
    assert!(controller
        .replace(&read(&[("a", 5), ("b", 7)]), 10)
        .is_empty());
    let changes = controller.replace(&read(&[("b", 7), ("c", 11)]), 12);
    assert_eq!(
        changes.to_vec(),
        [change("a", 12, false), change("c", 11, true)]
    );
    assert_eq!(evacuated(&controller), ["b", "c"]);
    assert_eq!(controller.replace(&[], 13).len(), 2);
    assert!(controller.is_empty());
}

/// Guards against a late answer that overrides what a newer one has told: a change that arrives after a newer change, a
/// change older than a read, and a read older than a change.
#[test]
fn older_account_changes_nothing() {
    let mut controller = EvacuationController::default();
    controller.apply(&change("a", 12, false));
    assert!(controller.apply(&change("a", 11, true)).is_empty());
    assert!(controller.replace(&read(&[("a", 11)]), 11).is_empty());
    assert!(controller.is_empty());
    controller.apply(&change("a", 20, true));
    assert!(controller.replace(&[], 19).is_empty());
    assert!(controller.apply(&change("a", 19, false)).is_empty());
    assert!(controller.apply(&change("a", 20, true)).is_empty());
    assert_eq!(evacuated(&controller), ["a"]);
    controller.replace(&[], 30);
    // The removal of `a` and the whole life of the key of `b` were before the read.
    assert!(controller.apply(&change("a", 20, true)).is_empty());
    assert!(controller.apply(&change("b", 25, true)).is_empty());
    assert!(controller.replace(&read(&[("b", 25)]), 26).is_empty());
    assert!(controller.is_empty());
}

/// Guards against a key written while the pages of a read were fetched, whose revision is above that of the read.
#[test]
fn key_newer_than_the_read_counts() {
    let mut controller = EvacuationController::default();
    controller.replace(&read(&[("a", 8)]), 5);
    assert_eq!(evacuated(&controller), ["a"]);
    assert!(controller.replace(&[], 7).is_empty());
    assert_eq!(controller.replace(&[], 8).len(), 1);
}

/// Guards against memory that grows with each name that was ever evacuated, and against an old account that takes effect
/// once the removal that refused it is forgotten.
#[test]
fn removals_are_bounded() {
    let mut controller = EvacuationController::default();
    for number in 0..10_000 {
        controller.apply(&change(&format!("zone-{number}"), 10 + number, false));
    }
    assert!(controller.apply(&change("zone-0", 9, true)).is_empty());
    assert!(controller.apply(&change("zone-9999", 9, true)).is_empty());
    assert!(format!("{controller:?}").len() < 64 * 1_024);
}

/// Guards against a fingerprint that depends on the way in which the state was learned, or is equal for other zones.
#[test]
fn fingerprint_tells_states_apart() {
    let mut watched = EvacuationController::default();
    let mut loaded = EvacuationController::default();
    assert_eq!(watched.fingerprint(), 0);
    watched.apply(&change("a", 5, true));
    watched.apply(&change("b", 6, true));
    watched.apply(&change("a", 7, false));
    loaded.replace(&read(&[("b", 6)]), 40);
    assert_eq!(watched.fingerprint(), loaded.fingerprint());
    loaded.replace(&read(&[("a", 41)]), 42);
    assert_ne!(watched.fingerprint(), loaded.fingerprint());
    loaded.replace(&[], 43);
    assert_eq!(loaded.fingerprint(), 0);
}

/// Guards against a restored store that takes back evacuations which the operators have not written again yet, one whose
/// lower revisions are refused for good, and a hold that outlasts its time or an operator's removal.
#[test]
fn restored_store_is_accepted_while_zones_are_held() {
    let now = Instant::now();
    let until = now + Duration::from_secs(4);
    let mut controller = EvacuationController::default();
    controller.replace(&read(&[("a", 90), ("b", 91), ("c", 92)]), 100);
    controller.restart(until);
    assert!(controller.replace(&read(&[("b", 40)]), 50).is_empty());
    assert_eq!(evacuated(&controller), ["a", "b", "c"]);
    assert_eq!(
        controller.apply(&change("c", 51, false)).to_vec(),
        [change("c", 51, false)]
    );
    assert!(controller.tick(until - Duration::from_millis(1)).is_empty());
    assert_eq!(
        controller.tick(until).to_vec(),
        [change("a", 50, false)],
        "the key of b was read from the restored store"
    );
    assert_eq!(evacuated(&controller), ["b"]);
    assert!(controller.tick(until + Duration::from_secs(1)).is_empty());
}

/// Guards against a follower that keeps other evacuations than the readers of its zone have, because the reader that is
/// behind confirms them, and against one that reads although all states are equal.
#[test]
fn difference_of_evacuations_is_read_soon() {
    let start = Instant::now();
    let state = |evacuations| OperatorState {
        routes: 7,
        evacuations,
    };
    let own = state(1);
    let reads = |others: [OperatorState; 2]| {
        let limit = Duration::from_millis(4_500);
        let mut freshness = FreshnessController::new(limit, 0.0, start);
        let mut reads = Vec::new();
        // Each reader tells its state every 500 ms, the second one 50 ms after the first.
        for step in 0..100 {
            let now = start + Duration::from_millis(50) * step;
            if let Some(told) = others.get(usize::try_from(step % 10).unwrap_or(0)) {
                freshness.record_state(told.told_state(own), own.own_state(), now);
            }
            if freshness.take_read(own.own_state(), now) {
                reads.push(now - start);
            }
        }
        reads
    };
    assert!(reads([own, own]).is_empty());
    for others in [
        [state(2), own],
        [own, state(2)],
        [state(0), own],
        [state(2), state(2)],
    ] {
        let reads = reads(others);
        assert!(
            // Five seconds are longer than the limit, after which a difference that stays is read once more.
            matches!(reads[..], [first] | [first, _] if first <= Duration::from_millis(200)),
            "{others:?}: {reads:?}"
        );
    }
}

/// Guards against a state that is told by an entry with older routes and undoes what is known.
#[test]
fn older_routes_say_nothing_of_evacuations() {
    let start = Instant::now();
    let own = OperatorState {
        routes: 7,
        evacuations: 1,
    };
    let told = OperatorState {
        routes: 6,
        evacuations: 2,
    };
    let mut freshness = FreshnessController::new(Duration::from_millis(4_500), 0.0, start);
    freshness.record_state(told.told_state(own), own.own_state(), start);
    assert!(!freshness.take_read(own.own_state(), start + Duration::from_secs(1)));
}

/// What an entry may get from the store, by the index of the store's state that it shows.
#[derive(Clone, Copy, Debug)]
enum Account {
    /// The change that led to this state.
    Change(usize),
    /// A read of this state.
    Read(usize),
}

/// Returns the keys with their revisions after the first `count` changes.
fn keys_after(history: &[ZoneChange], count: usize) -> BTreeMap<String, StoreRevision> {
    let mut keys = BTreeMap::new();
    for change in &history[..count] {
        match change.evacuated {
            true => keys.insert(change.zone.clone(), change.revision),
            false => keys.remove(&change.zone),
        };
    }
    keys
}

fn apply(
    controller: &mut EvacuationController,
    account: Account,
    history: &[ZoneChange],
) -> ZoneChanges {
    match account {
        Account::Change(index) => controller.apply(&history[index]),
        Account::Read(count) => {
            let keys: Vec<_> = keys_after(history, count).into_iter().collect();
            controller.replace(&keys, StoreRevision::try_from(count).unwrap_or(0))
        }
    }
}

proptest! {
    /// Guards against an order of late, repeated and missing answers after which a zone is in a state that is older than
    /// one which the entry was told of, and against a read of the newest state that does not make up for all that was
    /// missed.
    #[test]
    fn no_order_of_answers_brings_an_older_state_back(
        changes in prop::collection::vec((0_usize..3, any::<bool>()), 1..20),
        accounts in prop::collection::vec((any::<bool>(), any::<prop::sample::Index>()), 0..40),
    ) {
        let mut history: Vec<ZoneChange> = Vec::new();
        for (revision, (zone, evacuated)) in (1..).zip(&changes) {
            history.push(change(ZONES[*zone], revision, *evacuated));
        }
        let mut controller = EvacuationController::default();
        // Latest state of each zone that the entry was told of, with the number of changes until then.
        let mut told = BTreeMap::new();
        for (is_read, index) in accounts {
            let account = match is_read {
                true => Account::Read(index.index(history.len() + 1)),
                false => Account::Change(index.index(history.len())),
            };
            apply(&mut controller, account, &history);
            match account {
                Account::Read(count) => {
                    for zone in ZONES {
                        let known = told.entry(zone.to_string()).or_insert(0);
                        *known = count.max(*known);
                    }
                }
                Account::Change(index) => {
                    let known = told.entry(history[index].zone.clone()).or_insert(0);
                    *known = (index + 1).max(*known);
                }
            }
            for (zone, count) in &told {
                let expected = keys_after(&history, *count).contains_key(zone);
                prop_assert_eq!(controller.is_evacuated(zone), expected, "{:?}", account);
            }
        }
        apply(&mut controller, Account::Read(history.len()), &history);
        let expected: Vec<String> = keys_after(&history, history.len()).into_keys().collect();
        prop_assert_eq!(evacuated(&controller), expected);
    }
}
