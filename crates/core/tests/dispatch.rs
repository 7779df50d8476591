//! Decisions of a single dispatch controller without peers.

use quetzalhill_core::catalogue::{LimitSet, TrafficClass};
use quetzalhill_core::dispatch::{
    DispatchAction, DispatchController, DispatchEvent, DispatchPolicy, RequestMeta,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::time::{Duration, Instant};

fn request(id: u128, owner: &str, now: Instant) -> RequestMeta {
    RequestMeta {
        id,
        class: TrafficClass::Standard,
        owner: owner.to_owned(),
        arrived: now,
        deadline: now + Duration::from_secs(60),
        work_key: 0,
    }
}

fn controller() -> DispatchController {
    DispatchController::new(DispatchPolicy::Pooled, 1, LimitSet::default())
}

/// Guards against a timer that stays due in the past, which makes the runtime spin.
///
/// It comes about if an expired ejection is not ended while the endpoint drains.
#[test]
fn expired_ejection_sets_no_timer_while_draining() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut dispatch = controller();
    for id in 0..5 {
        dispatch.handle(DispatchEvent::Arrived(request(id, "a", now)), now, &mut rng);
        dispatch.handle(DispatchEvent::Finished { id, ok: false }, now, &mut rng);
    }
    dispatch.handle(DispatchEvent::DrainStarted, now, &mut rng);
    let due = dispatch.next_deadline().expect("the endpoint is ejected");
    dispatch.handle(DispatchEvent::TimerFired, due, &mut rng);
    assert!(dispatch.next_deadline().is_none_or(|next| next > due));
}

/// Guards against a burst of one owner that delays another owner's request until the whole burst has run.
#[test]
fn requests_of_one_class_alternate_between_owners() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut dispatch = controller();
    for id in 0..10 {
        dispatch.handle(DispatchEvent::Arrived(request(id, "a", now)), now, &mut rng);
    }
    dispatch.handle(DispatchEvent::Arrived(request(10, "b", now)), now, &mut rng);
    let mut order = vec![0];
    for _ in 0..3 {
        let id = *order.last().expect("one request runs");
        let event = DispatchEvent::Finished { id, ok: true };
        for action in dispatch.handle(event, now, &mut rng) {
            if let DispatchAction::Start(id) = action {
                order.push(id);
            }
        }
    }
    assert!(order.contains(&10), "{order:?}");
}
