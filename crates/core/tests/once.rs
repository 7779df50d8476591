//! Size limits and expiry of the idempotency table.

use quetzalhill_core::once::{
    OnceController, OnceDecision, OnceKey, OnceLimits, OnceOutcome, StoredAnswer, UnknownReason,
    TOKEN_LIFETIME,
};
use std::time::{Duration, Instant};

const LIMITS: OnceLimits = OnceLimits {
    keys: 2,
    answer_bytes: 10,
};

fn key(name: &str) -> OnceKey {
    OnceKey {
        issuer: 1,
        key: name.into(),
    }
}

fn answer(size: usize) -> OnceOutcome {
    OnceOutcome::Answered(StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![0; size],
    })
}

/// Guards against evicting a key to store another one while its token is valid, so that a copy would run again.
#[test]
fn full_table_refuses_new_keys_instead_of_evicting() {
    let mut once = OnceController::new(1, 1, LIMITS);
    let start = Instant::now();
    assert_eq!(once.begin(&key("a"), 0, start), OnceDecision::Run);
    assert_eq!(once.begin(&key("b"), 0, start), OnceDecision::Run);
    once.finish(&key("a"), answer(1));
    let late = start + TOKEN_LIFETIME - Duration::from_millis(1);
    assert_eq!(once.begin(&key("c"), 0, late), OnceDecision::Full);
    assert!(matches!(
        once.begin(&key("a"), 0, late),
        OnceDecision::Stored(_)
    ));
    // "a" has finished and is removed when it expires; "b" is still running and is kept.
    let end = start + TOKEN_LIFETIME;
    assert_eq!(once.begin(&key("c"), 0, end), OnceDecision::Run);
    assert_eq!(once.begin(&key("b"), 0, end), OnceDecision::InProgress);
    assert_eq!(once.len(), 2);
}

/// Guards against refusing a copy of a request that was not run, and against running a request again that may have run.
#[test]
fn only_requests_that_were_not_run_may_run_again() {
    let mut once = OnceController::new(1, 1, LIMITS);
    let now = Instant::now();
    once.begin(&key("a"), 0, now);
    once.finish(&key("a"), OnceOutcome::NotRun);
    assert_eq!(once.begin(&key("a"), 0, now), OnceDecision::Run);
    once.finish(&key("a"), OnceOutcome::Lost);
    let lost = OnceDecision::Unknown(UnknownReason::Lost);
    assert_eq!(once.begin(&key("a"), 0, now), lost);
}

/// Guards against stored responses that exceed the memory limit, and against still counting them after they expired.
#[test]
fn stored_answers_are_bounded() {
    let mut once = OnceController::new(1, 1, LIMITS);
    let now = Instant::now();
    once.begin(&key("a"), 0, now);
    once.finish(&key("a"), answer(8));
    once.begin(&key("b"), 0, now);
    once.finish(&key("b"), answer(8));
    let dropped = OnceDecision::Unknown(UnknownReason::AnswerNotKept);
    assert_eq!(once.begin(&key("b"), 0, now), dropped);
    let later = now + TOKEN_LIFETIME;
    assert_eq!(once.begin(&key("c"), 0, later), OnceDecision::Run);
    once.finish(&key("c"), answer(8));
    assert!(matches!(
        once.begin(&key("c"), 0, later),
        OnceDecision::Stored(_)
    ));
}

/// Guards against a response for a different request when a caller reuses its key.
#[test]
fn reused_key_of_another_request_is_a_mismatch() {
    let mut once = OnceController::new(1, 1, LIMITS);
    let now = Instant::now();
    once.begin(&key("a"), 5, now);
    assert_eq!(once.begin(&key("a"), 6, now), OnceDecision::Mismatch);
}
