//! Decisions of a reader of the catalogue.

use quetzalhill_core::catalogue::reader::{
    slot_rank, ReaderAction, ReaderController, ReaderEvent, ReaderSettings, SLOT_CANDIDATES,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::time::{Duration, Instant};

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(540)
}

fn controller(now: Instant) -> ReaderController {
    ReaderController::new(ReaderSettings::default(), "west-1".into(), 7, now)
}

fn holder(now: Instant) -> ReaderController {
    let mut reader = controller(now);
    assert!(matches!(
        reader.on_time(now)[..],
        [ReaderAction::AcquireSlot(_)]
    ));
    reader.on_event(ReaderEvent::SlotAcquired { since: now }, now, &mut rng());
    assert_eq!(reader.on_time(now)[..], [ReaderAction::OpenWatch]);
    reader
}

/// Guards against calls to the store that grow with the fleet.
#[test]
fn few_entries_of_a_large_zone_try() {
    let live: Vec<u64> = (1..=1_000).collect();
    let now = Instant::now();
    let mut tries = 0;
    for &own in &live {
        let settings = ReaderSettings::default();
        let mut reader = ReaderController::new(settings, "west-1".into(), own, now);
        reader.on_event(ReaderEvent::LiveEntries(live.clone()), now, &mut rng());
        if reader.wake_at().is_some() {
            tries += 1;
        }
    }
    assert!(
        (SLOT_CANDIDATES..=2 * SLOT_CANDIDATES).contains(&tries),
        "{tries} entries try"
    );
    let first: Vec<u64> = (0..2)
        .filter_map(|slot| {
            live.iter()
                .copied()
                .find(|&id| slot_rank("west-1", slot, id, &live) == 0)
        })
        .collect();
    assert_ne!(first[0], first[1], "one entry is first for both slots");
}

/// Guards against a holder that believes in a lease which has ended in the store.
#[test]
fn lease_counts_from_the_start_of_the_call_and_ends_on_time() {
    let start = Instant::now();
    let mut reader = holder(start);
    let ttl = ReaderSettings::default().lease_ttl;
    assert!(reader.holds_slot(start + ttl - Duration::from_millis(1)));
    assert!(!reader.holds_slot(start + ttl));
    let actions = reader.on_time(start + ttl);
    assert_eq!(actions[..], [ReaderAction::CloseWatch]);
}

/// Guards against a lease that runs out although the store answers.
#[test]
fn lease_is_renewed_long_before_its_end() {
    let start = Instant::now();
    let mut reader = holder(start);
    let mut now = start;
    let ttl = ReaderSettings::default().lease_ttl;
    for _ in 0..10 {
        now = reader.wake_at().expect("due");
        assert!(reader.holds_slot(now));
        if reader.on_time(now).contains(&ReaderAction::Renew) {
            reader.on_event(ReaderEvent::Renewed { since: now }, now, &mut rng());
        }
    }
    assert!(now > start + 2 * ttl);
}

/// Guards against loading a revision that is already in force, and against going back to an older one.
#[test]
fn only_a_higher_revision_is_loaded() {
    let now = Instant::now();
    let mut reader = holder(now);
    let rng = &mut rng();
    assert_eq!(
        reader.on_event(ReaderEvent::HeadRevision(5), now, rng)[..],
        [ReaderAction::Load]
    );
    reader.on_event(ReaderEvent::InForce(5), now, rng);
    assert!(reader
        .on_event(ReaderEvent::HeadRevision(5), now, rng)
        .is_empty());
    let older = [ReaderAction::ReportOlder(3)];
    assert_eq!(
        reader.on_event(ReaderEvent::HeadRevision(3), now, rng)[..],
        older
    );
    assert!(reader
        .on_event(ReaderEvent::HeadRevision(3), now, rng)
        .is_empty());
    reader.on_event(ReaderEvent::InForce(4), now, rng);
    assert!(reader
        .on_event(ReaderEvent::HeadRevision(5), now, rng)
        .is_empty());
}

/// Guards against a fleet that calls an unavailable store without pause, and against pauses without bound.
#[test]
fn failed_calls_are_spaced_out() {
    let start = Instant::now();
    let mut reader = controller(start);
    let mut now = start;
    let mut calls = 0;
    let rng = &mut rng();
    while now < start + Duration::from_secs(600) {
        if !reader.on_time(now).is_empty() {
            calls += 1;
            reader.on_event(ReaderEvent::CallFailed, now, rng);
        }
        now = reader
            .wake_at()
            .expect("tries again")
            .max(now + Duration::from_millis(1));
    }
    assert!((20..=70).contains(&calls), "{calls} calls in 600 s");
}

/// Guards against a watch that is not opened again after it broke.
#[test]
fn broken_watch_is_opened_again() {
    let start = Instant::now();
    let mut reader = holder(start);
    reader.on_event(ReaderEvent::WatchEnded, start, &mut rng());
    let at = reader.wake_at().expect("due");
    assert!(at > start && at < start + Duration::from_secs(1));
    assert_eq!(reader.on_time(at)[..], [ReaderAction::OpenWatch]);
}

/// Guards against a revision that stays unread after its load failed once.
#[test]
fn failed_load_is_followed_by_another_read() {
    let start = Instant::now();
    let mut reader = holder(start);
    reader.on_event(ReaderEvent::HeadRevision(5), start, &mut rng());
    reader.on_event(ReaderEvent::CallFailed, start, &mut rng());
    let at = reader.wake_at().expect("due");
    assert!(at < start + Duration::from_secs(1));
    assert_eq!(reader.on_time(at)[..], [ReaderAction::ReadHead]);
}

/// Guards against loading an invalid catalogue over and over.
#[test]
fn rejected_revision_is_not_loaded_again() {
    let now = Instant::now();
    let mut reader = holder(now);
    let rng = &mut rng();
    reader.on_event(ReaderEvent::Rejected(5), now, rng);
    assert!(reader
        .on_event(ReaderEvent::HeadRevision(5), now, rng)
        .is_empty());
    assert_eq!(
        reader.on_event(ReaderEvent::HeadRevision(6), now, rng)[..],
        [ReaderAction::Load]
    );
}

/// Guards against a slot that stays taken after a graceful stop.
#[test]
fn stop_gives_the_slot_back() {
    let now = Instant::now();
    let mut reader = holder(now);
    let actions = reader.on_stop(now);
    assert_eq!(
        actions[..],
        [ReaderAction::CloseWatch, ReaderAction::Release]
    );
    assert_eq!(reader.wake_at(), None);
}
