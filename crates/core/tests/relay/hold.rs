//! Tests of packets that are held while an entry loads its view or reads the list again.

use crate::support::*;
use quetzalhill_core::relay::chain::{RelayChain, RelayVerdict, ResetReason};
use quetzalhill_core::relay::hold::{HoldQueue, HoldReason};
use quetzalhill_core::relay::intake::ReturnReason;
use quetzalhill_core::relay::packet::PacketHead;
use quetzalhill_core::relay::view::{EndpointStatus, RelayView};
use std::time::{Duration, Instant};

/// Load: all callers return while entries start. Guards against first packets that are dropped, or that all go to the
/// few endpoints that have reported so far.
#[test]
fn packets_are_held_until_the_view_is_loaded() {
    let mut view = view();
    view.loaded = false;
    let now = Instant::now();
    let mut chain = RelayChain::new(now);
    for head in [opening(1), established(2)] {
        let held = RelayVerdict::Hold(HoldReason::Load);
        assert_eq!(chain.decide(&head, &view, now), held);
    }
    view.loaded = true;
    delivered(&chain.decide(&opening(1), &view, now));
}

/// Guards against packets that are held until their callers no longer wait, and against an unbounded queue.
#[test]
fn queue_is_bounded_in_time_and_length() {
    let now = Instant::now();
    let view = view();
    let mut queue = HoldQueue::default();
    assert!(queue.push(b"late", HoldReason::Load, now));
    let later = now + Duration::from_millis(300);
    assert!(queue.push(b"fresh", HoldReason::Load, later));
    let released = queue.release(&view, now + Duration::from_millis(400));
    assert_eq!(released.ready, [b"fresh"]);
    assert_eq!(released.expired, [b"late"]);
    assert!(queue.is_empty());
    let kept = (0..10_000).filter(|_| queue.push(b"many", HoldReason::Load, now));
    let kept = kept.count();
    assert!(kept < 1_000, "{kept} packets");
}

/// Guards against the release of a packet by a list that was read before the search for its flow failed.
#[test]
fn packet_is_held_until_a_later_read_of_the_list() {
    let now = Instant::now();
    let mut view = view();
    view.endpoints_read = Some(now - Duration::from_millis(1));
    let mut queue = HoldQueue::default();
    assert!(queue.push(b"doubted", HoldReason::Confirmation(now), now));
    assert!(queue.release(&view, now).ready.is_empty());
    assert!(!queue.is_empty());
    view.endpoints_read = Some(now);
    assert_eq!(queue.release(&view, now).ready, [b"doubted"]);
}

/// Lets every endpoint of `view` return `head` and returns the last verdict.
fn exhaust(
    chain: &mut RelayChain,
    head: &PacketHead,
    view: &RelayView,
    now: Instant,
) -> RelayVerdict {
    let mut verdict = chain.decide(head, view, now);
    while let RelayVerdict::Deliver { targets, .. } = verdict.clone() {
        for target in targets {
            let reason = ReturnReason::NotHeld;
            verdict = chain.decide_returned(head, target.endpoint, reason, view, now);
        }
    }
    verdict
}

/// Guards against the reset of an open flow whose endpoint was listed after this entry had last read the list, as on
/// hunt-e037-3 (docs/incidents/hunt-e037-3.md).
#[test]
fn flow_of_an_endpoint_that_the_list_misses_is_not_reset() {
    let now = Instant::now();
    let mut behind = view();
    behind.endpoints_read = Some(now - Duration::from_millis(900));
    let mut chain = RelayChain::new(now);
    let verdict = exhaust(&mut chain, &established(1), &behind, now);
    let held = RelayVerdict::Hold(HoldReason::Confirmation(now));
    assert_eq!(verdict, held);
    // The next list contains the endpoint, whose agent has not reported yet.
    let later = now + Duration::from_millis(5);
    let mut current = view();
    current.endpoints_read = Some(later);
    let service = current.services.get_mut(FEED).expect("feed");
    let mut joined = endpoint(8);
    joined.status = EndpointStatus::Silent;
    service.endpoints.push(joined);
    service.complete = false;
    assert_eq!(
        delivered(&chain.decide(&established(1), &current, later)),
        key(8)
    );
}

/// Guards against callers that wait for a flow that has ended: one later read of the list is enough to reset it.
#[test]
fn ended_flow_is_reset_after_a_later_read_of_the_list() {
    let now = Instant::now();
    let mut view = view();
    view.endpoints_read = None;
    let mut chain = RelayChain::new(now);
    let held = RelayVerdict::Hold(HoldReason::Confirmation(now));
    assert_eq!(exhaust(&mut chain, &established(2), &view, now), held);
    view.endpoints_read = Some(now + Duration::from_millis(5));
    let later = now + Duration::from_millis(9);
    let reset = RelayVerdict::Reset(ResetReason::Ended);
    assert_eq!(chain.decide(&established(2), &view, later), reset);
}

/// Guards against the reset of an open flow whose route this entry has not read yet: the flow was opened through
/// another entry that had read it.
#[test]
fn open_flow_on_an_unknown_route_is_held_until_routes_are_read_again() {
    let now = Instant::now();
    let mut behind = view();
    behind.routes.by_address.clear();
    behind.routes_read = Some(now - Duration::from_millis(300));
    let mut chain = RelayChain::new(now);
    let held = RelayVerdict::Hold(HoldReason::Routes(now));
    assert_eq!(chain.decide(&established(3), &behind, now), held);
    // A new flow can be reset safely, since its caller tries again.
    let refused = RelayVerdict::Reset(ResetReason::NoRoute);
    assert_eq!(chain.decide(&opening(4), &behind, now), refused);
    let later = now + Duration::from_millis(5);
    let RelayVerdict::Deliver { .. } = chain.decide(&established(3), &view(), later) else {
        panic!("the flow is not searched for");
    };
    behind.routes_read = Some(later);
    assert_eq!(chain.decide(&established(3), &behind, later), refused);
}
