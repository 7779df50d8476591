//! Tests of the shared confirmation of the list of endpoints.

use quetzalhill_core::relay::confirm::{
    ConfirmAction, ConfirmClient, ConfirmController, ConfirmOutcome, ConfirmQueue, DigestPacer,
};
use std::time::{Duration, Instant};
use yare::parameterized;

fn asked(action: ConfirmAction) -> u32 {
    match action {
        ConfirmAction::Ask { entry: 7, id } => id,
        other => panic!("not asked: {other:?}"),
    }
}

/// Guards against a reset on the word of an entry whose read of the list began before the flow's packet arrived, or whose
/// list is another one.
#[test]
fn answer_confirms_the_time_of_the_request() {
    let now = Instant::now();
    let mut confirm = ConfirmController::default();
    let id = asked(confirm.request(Some(7), now));
    let soon = now + Duration::from_millis(20);
    let next = now + Duration::from_millis(40);
    assert_eq!(confirm.request(Some(7), soon), ConfirmAction::Wait(next));
    assert!(confirm.is_wanted());
    // The second flow became unresolved after the first request, so another one covers it.
    let second = asked(confirm.request(Some(7), next));
    assert!(!confirm.is_wanted());
    assert_eq!(confirm.record_answer(id + 7, true), ConfirmOutcome::Ignored);
    assert_eq!(
        confirm.record_answer(id, true),
        ConfirmOutcome::Confirmed(now)
    );
    assert_eq!(confirm.record_answer(id, true), ConfirmOutcome::Ignored);
    assert_eq!(
        confirm.record_answer(second, true),
        ConfirmOutcome::Confirmed(next)
    );
    let later = now + Duration::from_secs(1);
    let id = asked(confirm.request(Some(7), later));
    assert_eq!(confirm.record_answer(id, false), ConfirmOutcome::Differs);
}

/// Guards against callers that wait for an entry which is frozen or cut off from the store.
#[test]
fn entry_that_does_not_answer_is_not_asked_again_for_a_while() {
    let now = Instant::now();
    let mut confirm = ConfirmController::default();
    asked(confirm.request(Some(7), now));
    assert!(!confirm.tick(now + Duration::from_millis(200)));
    let expired = now + Duration::from_millis(400);
    assert!(confirm.tick(expired));
    assert!(!confirm.tick(expired));
    assert_eq!(confirm.request(Some(7), expired), ConfirmAction::Read);
    let back = expired + Duration::from_secs(10);
    asked(confirm.request(Some(7), back));
    assert_eq!(
        ConfirmController::default().request(None, now),
        ConfirmAction::Read
    );
}

/// Guards against an answer from a read that began before the request arrived.
#[test]
fn only_a_later_read_answers_a_request() {
    let now = Instant::now();
    let client = |entry, id, ms| ConfirmClient {
        entry,
        id,
        arrived: now + Duration::from_millis(ms),
    };
    let mut queue = ConfirmQueue::default();
    for waiting in [client(1, 2, 5), client(2, 1, 10)] {
        queue.push(waiting);
    }
    assert!(queue
        .take_answered(now + Duration::from_millis(4))
        .is_empty());
    let read = now + Duration::from_millis(6);
    assert_eq!(queue.take_answered(read), [client(1, 2, 5)]);
    let read = now + Duration::from_millis(50);
    assert_eq!(queue.take_answered(read), [client(2, 1, 10)]);
}

/// Load: after a loss of power every entry looks for hundreds of flows that have ended. Guards against requests for
/// digests that fill the link of a small instance, and against callers that wait for the next round for longer than the
/// number of agents requires.
#[parameterized(
    few = { 10, 13 },
    medium_site = { 59, 13 },
    large_site = { 136, 7 },
    huge = { 10_000, 7 },
)]
fn digests_are_requested_seldom_and_after_the_last_flow(agents: usize, rounds: usize) {
    let start = Instant::now();
    let mut pacer = DigestPacer::default();
    let mut requests = Vec::new();
    for ms in (0..1_000).step_by(10) {
        let now = start + Duration::from_millis(ms);
        if pacer.request(agents, now) {
            requests.push(now);
        }
    }
    assert_eq!(requests.len(), rounds);
    let due = pacer.due().expect("the last flow waits");
    assert!(due <= start + Duration::from_millis(1_140));
    assert!(pacer.request(agents, due));
    assert_eq!(pacer.due(), None);
}
