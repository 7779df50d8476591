//! Tests of when an entry that does not watch the list of endpoints reads it.

use crate::support::{id, FEED};
use quetzalhill_core::ids::StoreRevision;
use quetzalhill_core::relay::fleet::{
    FleetController, ListChange, ListEffect, ListRead, ListRecord, ListState, ListedEndpoint,
};
use quetzalhill_core::relay::freshness::FreshnessController;
use std::time::{Duration, Instant};

/// Time after which a list that is not known to be current is read.
const LIMIT: Duration = Duration::from_millis(4_500);

/// Interval between two ticks of an entry.
const TICK: Duration = Duration::from_millis(200);

fn state(revision: StoreRevision, fingerprint: u64) -> ListState {
    ListState {
        revision,
        fingerprint,
    }
}

fn controller(now: Instant) -> FreshnessController {
    FreshnessController::new(LIMIT, 0.0, now)
}

/// Guards against a follower that keeps an old list while no reader has answers, and against one that then reads at each
/// tick.
#[test]
fn follower_without_notices_reads_once_per_limit() {
    let start = Instant::now();
    let mut freshness = controller(start);
    let own = state(10, 1);
    let mut reads = Vec::new();
    for tick in 1..=150 {
        let now = start + TICK * tick;
        if freshness.take_read(own, now) {
            reads.push(now);
        }
    }
    assert_eq!(reads.len(), 6);
    assert!(reads[0] <= start + LIMIT + TICK);
}

/// Guards against reads of followers whose readers tell them of answers in time.
#[test]
fn follower_with_equal_notices_does_not_read() {
    let start = Instant::now();
    let mut freshness = controller(start);
    let own = state(10, 1);
    for tick in 1..=300 {
        let now = start + TICK * tick;
        if tick % 20 == 0 {
            freshness.record_state(state(12, 1), own, now);
        }
        assert!(!freshness.take_read(own, now), "tick {tick}");
    }
}

/// Guards against a lost change that a follower misses for ten seconds and more: a difference that lasts is read soon.
#[test]
fn lasting_difference_is_read_soon() {
    let now = Instant::now();
    let mut freshness = controller(now);
    let own = state(10, 1);
    freshness.record_state(state(11, 2), own, now);
    assert!(!freshness.take_read(own, now + Duration::from_millis(50)));
    let soon = now + Duration::from_millis(100);
    assert!(freshness.take_read(own, soon));
    assert!(!freshness.take_read(own, soon + TICK));
}

/// Guards against a read for a change that was still under way when the notice arrived, also when notices of both readers
/// arrive in between.
#[test]
fn change_under_way_is_not_read() {
    let now = Instant::now();
    let mut freshness = controller(now);
    freshness.record_state(state(11, 2), state(10, 1), now);
    freshness.record_state(state(11, 2), state(10, 1), now + Duration::from_millis(20));
    let soon = now + Duration::from_millis(100);
    assert!(!freshness.take_read(state(11, 2), soon));
    // A change that is newer than the notice makes the difference say nothing.
    freshness.record_state(state(12, 3), state(11, 2), soon);
    assert!(!freshness.take_read(state(13, 4), soon + TICK));
}

/// Guards against a reader that is behind: it neither causes reads nor makes the list of a follower count as current. Its
/// fingerprint differs, since it covers the revision of each record.
#[test]
fn older_state_of_a_reader_says_nothing() {
    let start = Instant::now();
    let mut freshness = controller(start);
    let own = state(20, 1);
    let mut reads = 0;
    for tick in 1..=25 {
        let now = start + TICK * tick;
        freshness.record_state(state(19, 2), own, now);
        freshness.record_state(state(18, 3), own, now);
        reads += u32::from(freshness.take_read(own, now));
    }
    assert_eq!(reads, 1);
}

/// Guards against a difference that a read does not remove, such as a record that only one version can decode, and that
/// would cause a read at each notice; and against another difference that then has to wait.
#[test]
fn same_difference_is_read_once_per_limit() {
    let start = Instant::now();
    let mut freshness = controller(start);
    let own = state(10, 1);
    let mut reads = 0;
    for tick in 1..=100 {
        let now = start + TICK * tick;
        freshness.record_state(state(11, 2), own, now);
        reads += u32::from(freshness.take_read(own, now));
    }
    assert!((4..=6).contains(&reads), "{reads} reads in 20 s");
    let now = start + TICK * 101;
    freshness.record_state(state(12, 3), own, now);
    assert!(freshness.take_read(own, now + TICK));
}

/// Guards against a read for a change that the entry's own poll is about to bring, because it pauses after the last one.
#[test]
fn difference_lasts_longer_than_the_pause_of_the_own_poll() {
    let now = Instant::now();
    let pause = Duration::from_millis(500);
    let mut freshness = controller(now).with_pause(pause);
    let own = state(10, 10);
    freshness.record_state(state(11, 11), own, now);
    assert!(!freshness.take_read(own, now + pause));
    assert!(freshness.take_read(own, now + pause + TICK));
}

/// Guards against followers of a zone that all read at the same moment, and against one that waits far longer than the
/// limit.
#[test]
fn reads_of_followers_are_spread() {
    let start = Instant::now();
    let own = state(10, 1);
    for (spread, due_ms) in [(0.0, 4_500), (0.5, 4_725), (1.0, 4_950)] {
        let mut freshness = FreshnessController::new(LIMIT, spread, start);
        let due = start + Duration::from_millis(due_ms);
        assert!(!freshness.take_read(own, due - TICK));
        assert!(freshness.take_read(own, due + TICK));
    }
}

/// Guards against a read that is answered late and makes the list count as current from its answer on, instead of from its
/// start.
#[test]
fn age_counts_from_the_start_of_a_read() {
    let start = Instant::now();
    let mut freshness = controller(start);
    freshness.record_read(start + Duration::from_secs(1));
    freshness.record_read(start);
    let own = state(10, 1);
    let due = start + Duration::from_secs(1) + LIMIT;
    assert!(!freshness.take_read(own, due - TICK));
    assert!(freshness.take_read(own, due));
}

/// Guards against notices that grow with the reads for confirmations, which may follow each other every 100 ms.
#[test]
fn notices_are_bounded() {
    let start = Instant::now();
    let mut freshness = controller(start);
    let mut notices = 0;
    for step in 0..100 {
        notices += u32::from(freshness.take_notice(start + Duration::from_millis(100) * step));
    }
    assert_eq!(notices, 20);
}

fn listed(number: u8, incarnation: u64) -> ListedEndpoint {
    ListedEndpoint {
        id: id(number),
        service: FEED.into(),
        zone: "a".into(),
        incarnation,
        slots: 4,
    }
}

/// Guards against equal lists with different states, by the way in which they were learned, and against a lost change that
/// leaves the state equal: an addition, a removal or a rewritten record.
#[test]
fn state_tells_lists_apart() {
    let now = Instant::now();
    let changes = [
        (10, ListEffect::Written(listed(1, 5))),
        (11, ListEffect::Written(listed(2, 5))),
        (12, ListEffect::Written(listed(1, 6))),
        (13, ListEffect::Removed(id(2))),
    ];
    let mut states = Vec::new();
    let mut reader = FleetController::new("a".into());
    for (revision, effect) in &changes {
        let change = ListChange {
            era: 0,
            revision: *revision,
            effect: effect.clone(),
        };
        reader.apply_change(change, now);
        let state = reader.list_state();
        assert_eq!(state.revision, *revision);
        states.push(state.fingerprint);
    }
    for (index, fingerprint) in states.iter().enumerate() {
        assert!(!states[..index].contains(fingerprint), "change {index}");
    }
    let mut follower = FleetController::new("a".into());
    let record = ListRecord {
        revision: 12,
        endpoint: listed(1, 6),
    };
    let read = ListRead {
        era: 0,
        revision: 20,
        records: vec![record],
    };
    follower.replace_list(read, now);
    assert_eq!(follower.list_state().fingerprint, states[3]);
    assert!(follower.list_state().revision <= reader.list_state().revision);
}

/// Guards against a late notice of one reader that takes back what the other one has told: the follower would keep older
/// state for as long as one reader is behind.
#[test]
fn reader_that_is_behind_does_not_hide_a_difference() {
    let start = Instant::now();
    let mut freshness = controller(start);
    let own = state(10, 1);
    let (newer, older) = (state(11, 2), state(10, 1));
    let mut read = None;
    // Each reader tells its state every 500 ms, the one that is behind 50 ms after the other.
    for step in 0..400 {
        let now = start + Duration::from_millis(50) * step;
        match step % 10 {
            0 => freshness.record_state(newer, own, now),
            1 => freshness.record_state(older, own, now),
            _ => {}
        }
        if step % 4 == 3 && freshness.take_read(own, now) {
            read = read.or(Some(now));
        }
    }
    let read = read.expect("a read within 20 s");
    assert!(
        read <= start + LIMIT + TICK,
        "read after {:?}",
        read - start
    );
}

/// Guards against followers that read an unchanged list once per limit for good, because a reader that started after the
/// latest change, a removal, tells a lower revision than they have.
#[test]
fn reader_that_started_after_a_removal_confirms_an_equal_list() {
    let start = Instant::now();
    let changes = [
        (10, ListEffect::Written(listed(1, 5))),
        (11, ListEffect::Written(listed(2, 5))),
        (12, ListEffect::Removed(id(2))),
    ];
    let mut follower = FleetController::new("a".into());
    for (revision, effect) in changes {
        follower.apply_change(
            ListChange {
                era: 0,
                revision,
                effect,
            },
            start,
        );
    }
    let record = ListRecord {
        revision: 10,
        endpoint: listed(1, 5),
    };
    let read = ListRead {
        era: 0,
        revision: 20,
        records: vec![record],
    };
    let mut reader = FleetController::new("a".into());
    reader.replace_list(read, start);
    let (told, own) = (reader.list_state(), follower.list_state());
    assert_eq!(told.fingerprint, own.fingerprint);
    let mut freshness = controller(start);
    let mut reads = 0;
    for tick in 1..=150 {
        let now = start + TICK * tick;
        freshness.record_state(told, own, now);
        reads += u32::from(freshness.take_read(own, now));
    }
    assert_eq!(reads, 0, "reads in 30 s of an unchanged list");
}

/// Guards against a follower that has missed a change, whose read has no answer, and that repeats it only after the limit.
#[test]
fn failed_read_is_repeated_soon() {
    let start = Instant::now();
    let mut freshness = controller(start);
    let own = state(10, 1);
    freshness.record_state(state(11, 2), own, start);
    assert!(freshness.take_read(own, start + TICK));
    let failed = start + TICK * 5;
    freshness.record_failed_read(failed);
    assert!(!freshness.take_read(own, failed + TICK));
    assert!(freshness.take_read(own, failed + TICK * 3));
}

/// Guards against followers that call a store which is away several times a second; the store counts these calls.
#[test]
fn failed_reads_are_repeated_once_a_second_during_an_outage() {
    let start = Instant::now();
    let mut freshness = controller(start);
    let own = state(10, 1);
    let mut reads = 0;
    for tick in 1..=125 {
        let now = start + TICK * tick;
        if freshness.take_read(own, now) {
            reads += 1;
            freshness.record_failed_read(now);
        }
    }
    assert!(
        (15..=22).contains(&reads),
        "{reads} reads in 20 s after the limit"
    );
}
