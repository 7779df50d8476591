//! Tests of the entries to which an agent reports.

use quetzalhill_core::ids::EntryId;
use quetzalhill_core::relay::fleet::{REPORT_INTERVAL, SILENT_AFTER};
use quetzalhill_core::relay::subscribe::{EntryKeepalive, ReportRate, SubscriberController};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use yare::parameterized;

fn keepalive(rate: ReportRate, expires: Instant) -> EntryKeepalive {
    EntryKeepalive {
        clock_ms: 7,
        urgent: false,
        rate,
        expires,
    }
}

/// Subscribes `near` entries of the own zone, numbered from 0, and `far` ones from 1,000.
fn subscribed(near: u64, far: u64, now: Instant) -> SubscriberController {
    let mut subscribers = SubscriberController::default();
    let expires = now + Duration::from_secs(1_000);
    for entry in 0..near {
        let first = subscribers.subscribe(entry, keepalive(ReportRate::Frequent, expires), now);
        assert!(first.is_some());
    }
    for entry in 1_000..1_000 + far {
        let first = subscribers.subscribe(entry, keepalive(ReportRate::Sparse, expires), now);
        assert!(first.is_some());
    }
    subscribers
}

/// Plays `seconds` of ticks and returns the reports to each entry.
fn play(
    subscribers: &mut SubscriberController,
    start: Instant,
    seconds: u64,
) -> HashMap<EntryId, u32> {
    let mut reports = HashMap::new();
    let mut now = start;
    while now < start + Duration::from_secs(seconds) {
        now += REPORT_INTERVAL;
        for due in subscribers.take_due(now) {
            assert!(due.expires > now + REPORT_INTERVAL);
            *reports.entry(due.entry).or_default() += 1;
        }
    }
    reports
}

/// Guards against messages between availability zones that grow with the number of pairs of entries and agents: an
/// agent sends eight a second to all entries of other zones, however many there are.
#[parameterized(
    today = { 50 },
    hundreds = { 500 },
    later = { 4_000 },
)]
fn far_reports_of_an_agent_do_not_grow_with_the_fleet(far: u64) {
    let start = Instant::now();
    let mut subscribers = subscribed(10, far, start);
    let seconds = 600;
    let reports = play(&mut subscribers, start, seconds);
    let sum = |is_far: bool| -> u32 {
        let counted = reports
            .iter()
            .filter(|(entry, _)| (**entry >= 1_000) == is_far);
        counted.map(|(_, count)| count).sum()
    };
    let far_per_s = f64::from(sum(true)) / 600.0;
    assert!(
        (4.0..=8.5).contains(&far_per_s),
        "{far_per_s} far reports a second"
    );
    let near_per_s = f64::from(sum(false)) / 600.0;
    assert!(
        (24.0..=26.0).contains(&near_per_s),
        "{near_per_s} near reports a second"
    );
}

/// Guards against an endpoint that drains, ends or becomes ready and of which other zones learn only with the next
/// refresh, or not at all if one datagram is lost.
#[test]
fn change_is_reported_to_all_entries_at_once_and_twice_to_far_ones() {
    let start = Instant::now();
    let mut subscribers = subscribed(3, 400, start);
    subscribers.take_due(start);
    subscribers.record_change(start);
    assert_eq!(subscribers.take_due(start).len(), 403);
    let second = subscribers.take_due(start + REPORT_INTERVAL);
    assert_eq!(second.len(), 403);
    assert_eq!(subscribers.take_due(start + 2 * REPORT_INTERVAL).len(), 3);
}

/// Guards against a report that expires before the next one, so that a healthy endpoint looks silent.
#[test]
fn report_outlives_a_lost_one() {
    let start = Instant::now();
    let mut subscribers = subscribed(1, 400, start);
    let mut last: HashMap<EntryId, (Instant, Instant)> = HashMap::new();
    let mut now = start;
    for _ in 0..1_000 {
        now += REPORT_INTERVAL;
        for due in subscribers.take_due(now) {
            if let Some((sent, expires)) = last.insert(due.entry, (now, due.expires)) {
                assert!(
                    expires >= sent + 2 * (now - sent),
                    "one lost report silences the endpoint"
                );
            }
        }
    }
    assert_eq!(last.len(), 401);
    assert_eq!(last[&0].1, last[&0].0 + SILENT_AFTER);
}

/// Guards against reports to entries that have stopped, and against an urgent keepalive without an answer or with a
/// shorter subscription.
#[test]
fn subscription_expires_and_urgent_keepalive_is_answered() {
    let now = Instant::now();
    let mut subscribers = SubscriberController::default();
    let expires = now + Duration::from_secs(20);
    subscribers.subscribe(1, keepalive(ReportRate::Sparse, expires), now);
    assert_eq!(
        subscribers.subscribe(1, keepalive(ReportRate::Sparse, expires), now),
        None
    );
    let urgent = EntryKeepalive {
        urgent: true,
        clock_ms: 9,
        ..keepalive(ReportRate::Sparse, now + Duration::from_secs(1))
    };
    let answer = subscribers
        .subscribe(1, urgent, now)
        .expect("an answer at once");
    assert_eq!((answer.entry, answer.clock_ms), (1, 9));
    let later = now + Duration::from_secs(10);
    assert_eq!(subscribers.take_due(later).len(), 1);
    assert!(subscribers.take_due(expires).is_empty());
    subscribers.record_change(expires);
    assert!(subscribers.take_due(expires).is_empty());
}

/// Guards against entries of a zone that do not learn of each other, and against far entries that are named as peers.
#[test]
fn peers_of_the_zone_are_named_in_turn() {
    let now = Instant::now();
    let mut subscribers = subscribed(10, 10, now);
    let mut named = Vec::new();
    for _ in 0..4 {
        named.extend(subscribers.next_peers());
    }
    named.sort_unstable();
    named.dedup();
    assert_eq!(named, (0..10).collect::<Vec<_>>());
    assert!(SubscriberController::default().next_peers().is_empty());
}
