//! State machine of the catalogue reader: slots, leases, loads and backoff.

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

/// Guards against a number of store calls that grows with the number of entries in a zone.
#[test]
fn few_entries_of_a_large_zone_compete_for_slots() {
    let live: Vec<u64> = (1..=1_000).collect();
    let now = Instant::now();
    let mut candidates = 0;
    for &own in &live {
        let settings = ReaderSettings::default();
        let mut reader = ReaderController::new(settings, "west-1".into(), own, now);
        reader.on_event(ReaderEvent::LiveEntries(live.clone()), now, &mut rng());
        if reader.wake_at().is_some() {
            candidates += 1;
        }
    }
    assert!(
        (SLOT_CANDIDATES..=2 * SLOT_CANDIDATES).contains(&candidates),
        "{candidates} entries try to acquire a slot"
    );
    let top_ranked: Vec<u64> = (0..2)
        .filter_map(|slot| {
            live.iter()
                .copied()
                .find(|&id| slot_rank("west-1", slot, id, &live) == 0)
        })
        .collect();
    assert_ne!(
        top_ranked[0], top_ranked[1],
        "one entry has rank 0 for both slots"
    );
}

/// Guards against a holder that keeps its slot after the lease has expired in the store.
///
/// The store may start the lease as soon as the call begins, so the time to live counts from then.
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

/// Guards against a lease that expires although the store is available.
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

/// Guards against loading a revision that is already in force or older than that.
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

/// Guards against retries without backoff while the store is unavailable, and against a backoff without upper bound.
#[test]
fn failed_calls_are_retried_with_backoff() {
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
            .expect("retry is scheduled")
            .max(now + Duration::from_millis(1));
    }
    assert!((20..=70).contains(&calls), "{calls} calls in 600 s");
}

/// Guards against a watch that is not reopened after it failed.
#[test]
fn failed_watch_is_reopened() {
    let start = Instant::now();
    let mut reader = holder(start);
    reader.on_event(ReaderEvent::WatchEnded, start, &mut rng());
    let at = reader.wake_at().expect("due");
    assert!(at > start && at < start + Duration::from_secs(1));
    assert_eq!(reader.on_time(at)[..], [ReaderAction::OpenWatch]);
}

/// Guards against a new revision that is not read again after its first load failed.
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

/// Guards against repeated loads of a revision that failed validation.
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

/// Guards against a slot that stays occupied until its lease expires after a graceful stop.
#[test]
fn stop_releases_the_slot() {
    let now = Instant::now();
    let mut reader = holder(now);
    let actions = reader.on_stop(now);
    assert_eq!(
        actions[..],
        [ReaderAction::CloseWatch, ReaderAction::Release]
    );
    assert_eq!(reader.wake_at(), None);
}
