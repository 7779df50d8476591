//! Limits of the retry budget, outlier ejection and admission.

use quetzalhill_core::admit::AdmitController;
use quetzalhill_core::catalogue::{LimitSet, TrafficClass};
use quetzalhill_core::dispatch::RefusalReason;
use quetzalhill_core::eject::{EjectController, EjectState};
use quetzalhill_core::retry::{AttemptOutcome, RetryBudget, RetryVerdict};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::time::{Duration, Instant};

fn limits(in_flight: u32) -> LimitSet {
    LimitSet {
        in_flight,
        ..LimitSet::default()
    }
}

/// Guards against retries beyond the budget when every attempt fails.
#[test]
fn retries_stay_within_the_budget() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(60);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budget = RetryBudget::new(0.1, now);
    let mut extra = 0;
    for _ in 0..1_000 {
        budget.record_request(now);
        let verdict = budget.decide(AttemptOutcome::NotRun, false, 1, deadline, now, &mut rng);
        extra += u32::from(matches!(verdict, RetryVerdict::At(_)));
    }
    assert!(extra <= 100, "{extra}");
    assert!(extra >= 90, "{extra}");
}

/// Guards against a retry of a request that may have run and is not safe to run twice.
#[test]
fn request_that_may_have_run_is_not_retried() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(60);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budget = RetryBudget::new(1.0, now);
    budget.record_request(now);
    let verdict = budget.decide(
        AttemptOutcome::MayHaveRun,
        false,
        1,
        deadline,
        now,
        &mut rng,
    );
    assert_eq!(verdict, RetryVerdict::Unsafe);
}

/// Guards against ejecting too many endpoints at the same time, and against an ejection that never ends.
#[test]
fn ejection_is_bounded_and_ends() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut eject = EjectController::new();
    for endpoint in 1..=6 {
        for _ in 0..50 {
            eject.record(endpoint, false, 6, now, &mut rng);
        }
    }
    assert_eq!(eject.ejected_count(now), 3);
    let later = now + Duration::from_secs(3);
    assert_eq!(eject.state(1, later), EjectState::Probing);
    assert!(eject.record(1, false, 6, later, &mut rng));
    let EjectState::Ejected { until } = eject.recorded_state(1) else {
        panic!("a failed probe must eject again");
    };
    assert!(until >= later + Duration::from_secs(3));
}

/// Guards against bulk requests that use up the limit and leave no capacity for urgent ones.
#[test]
fn bulk_requests_leave_capacity_for_urgent_ones() {
    let mut admit = AdmitController::new(&limits(10));
    while admit.admit("a", TrafficClass::Bulk).is_ok() {}
    assert_eq!(admit.in_flight(), 8);
    assert_eq!(admit.admit("a", TrafficClass::Urgent), Ok(()));
}

/// Guards against an owner that exceeds its fair share while another owner has requests in flight, and against capacity
/// left unused when no other owner does.
#[test]
fn owner_may_use_capacity_that_others_leave_unused() {
    let mut admit = AdmitController::new(&limits(10));
    for _ in 0..6 {
        assert_eq!(admit.admit("a", TrafficClass::Urgent), Ok(()));
    }
    assert_eq!(admit.admit("b", TrafficClass::Urgent), Ok(()));
    let refused = admit.admit("a", TrafficClass::Urgent);
    assert_eq!(refused, Err(RefusalReason::OwnerLimit));
    admit.finish("b");
    assert_eq!(admit.admit("a", TrafficClass::Urgent), Ok(()));
}
