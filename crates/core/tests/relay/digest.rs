//! Tests of searches that digests shorten.

use crate::support::*;
use quetzalhill_core::relay::chain::{RelayChain, RelayVerdict, ResetReason};
use quetzalhill_core::relay::digest::{fingerprint_of, FlowDigest};
use quetzalhill_core::relay::hold::{HoldQueue, HoldReason};
use quetzalhill_core::relay::intake::ReturnReason;
use quetzalhill_core::relay::packet::PacketHead;
use quetzalhill_core::relay::view::RelayView;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of endpoints of the service; the largest site has 50 for one.
const ENDPOINTS: u8 = 50;

/// Returns a view whose endpoints all report a digest in answer to a keepalive sent at `keepalive_sent`. `held` lists
/// the flows in the digests, as pairs of endpoint and port of the caller.
fn view_with_digests(held: &[(u8, u16)], keepalive_sent: Instant) -> RelayView {
    let mut view = view();
    let mut service = service(1..=ENDPOINTS);
    for (number, endpoint) in (1..).zip(&mut service.endpoints) {
        let mut fingerprints = Vec::new();
        for (holder, port) in held {
            if *holder == number {
                fingerprints.push(fingerprint_of(flow(*port)));
            }
        }
        endpoint.digest = Some(Arc::new(FlowDigest::new(fingerprints)));
        endpoint.keepalive_sent = Some(keepalive_sent);
    }
    view.services.insert(FEED.into(), service);
    view.oldest_keepalive = Some(keepalive_sent);
    view.endpoints_read = Some(keepalive_sent);
    view
}

/// Lets every endpoint except `holder` return `head`, and returns the last verdict with the number of queries.
fn search(
    chain: &mut RelayChain,
    head: &PacketHead,
    holder: u8,
    view: &RelayView,
    now: Instant,
) -> (RelayVerdict, usize) {
    let mut queried = 0;
    let mut verdict = chain.decide(head, view, now);
    while let RelayVerdict::Deliver { targets, .. } = verdict.clone() {
        queried += targets.len();
        if targets.iter().any(|target| target.endpoint == key(holder)) {
            break;
        }
        for target in targets {
            let reason = ReturnReason::NotHeld;
            verdict = chain.decide_returned(head, target.endpoint, reason, view, now);
        }
    }
    (verdict, queried)
}

/// Load: all callers return after a power failure, each with a flow that no endpoint holds. Guards against fifty
/// queries for each of their packets, which kept entries with a twenty-fifth of a core busy for six seconds
/// (trouble-1 of the grown Directorate), and against a reset before every digest is later than the packet.
#[test]
fn lost_flows_are_reset_after_a_few_queries() {
    let now = Instant::now();
    let mut chain = RelayChain::new(now);
    let before = view_with_digests(&[], now - Duration::from_millis(100));
    let later = now + Duration::from_millis(20);
    let after = view_with_digests(&[], now);
    for port in 0..200 {
        let (verdict, queried) = search(&mut chain, &established(port), 0, &before, now);
        let held = RelayVerdict::Hold(HoldReason::Confirmation(now));
        assert_eq!(verdict, held);
        assert!(queried <= 5, "{queried} queries");
        let (verdict, queried) = search(&mut chain, &established(port), 0, &after, later);
        assert_eq!(verdict, RelayVerdict::Reset(ResetReason::Ended));
        assert_eq!(queried, 0);
    }
}

/// Guards against an open flow that is not found although a digest contains it, or that is reset because the last
/// digest is older than the flow.
#[test]
fn open_flow_is_found_by_its_fingerprint() {
    let now = Instant::now();
    let keepalive_sent = now - Duration::from_millis(100);
    for holder in 1..=ENDPOINTS {
        let head = established(1_000 + u16::from(holder));
        let port = head.flow.caller.port();
        let known = view_with_digests(&[(holder, port)], keepalive_sent);
        let (verdict, queried) = search(&mut RelayChain::new(now), &head, holder, &known, now);
        assert!(
            matches!(verdict, RelayVerdict::Deliver { .. }),
            "{verdict:?}"
        );
        assert!(queried <= 6, "{queried} queries");
        // The flow was opened after the last report.
        let mut chain = RelayChain::new(now);
        let unknown = view_with_digests(&[], keepalive_sent);
        let (verdict, _) = search(&mut chain, &head, holder, &unknown, now);
        if matches!(verdict, RelayVerdict::Deliver { .. }) {
            continue;
        }
        assert_eq!(verdict, RelayVerdict::Hold(HoldReason::Confirmation(now)));
        let later = now + Duration::from_millis(20);
        let current = view_with_digests(&[(holder, port)], now);
        let verdict = chain.decide(&head, &current, later);
        assert_eq!(delivered(&verdict), key(holder));
    }
}

/// Guards against a packet that is released before every endpoint with a digest has reported again.
#[test]
fn packet_waits_for_the_digests_of_all_endpoints() {
    let now = Instant::now();
    let mut view = view_with_digests(&[], now);
    view.oldest_keepalive = Some(now - Duration::from_millis(1));
    let mut queue = HoldQueue::default();
    assert!(queue.push(b"doubted", HoldReason::Confirmation(now), now));
    assert!(queue.release(&view, now).ready.is_empty());
    view.oldest_keepalive = Some(now);
    assert_eq!(queue.release(&view, now).ready, [b"doubted"]);
}
