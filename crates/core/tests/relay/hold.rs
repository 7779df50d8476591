//! Packets that wait while an entry loads.

use crate::support::*;
use quetzalhill_core::relay::chain::{RelayChain, RelayVerdict};
use quetzalhill_core::relay::hold::HoldQueue;
use std::time::{Duration, Instant};

/// Load: all callers return while entries start. Guards against first packets that are dropped, or that all go to the
/// few endpoints which have reported so far.
#[test]
fn packets_wait_until_the_view_is_loaded() {
    let mut view = view();
    view.loaded = false;
    let now = Instant::now();
    let mut chain = RelayChain::new(now);
    for head in [opening(1), established(2)] {
        assert_eq!(chain.decide(&head, &view, now), RelayVerdict::Hold);
    }
    view.loaded = true;
    delivered(&chain.decide(&opening(1), &view, now));
}

/// Guards against packets that are held until nobody waits for them, and against a queue without a bound.
#[test]
fn queue_is_bounded_in_time_and_length() {
    let now = Instant::now();
    let mut queue = HoldQueue::default();
    assert!(queue.push(b"late", now));
    let later = now + Duration::from_millis(300);
    assert!(queue.push(b"fresh", later));
    assert_eq!(queue.take(now + Duration::from_millis(400)), [b"fresh"]);
    assert!(queue.is_empty());
    let kept = (0..10_000).filter(|_| queue.push(b"many", now)).count();
    assert!(kept < 1_000, "{kept} packets");
}
