//! Tests of decisions on new flows for which there is no room or no ready endpoint.

use crate::chain::search;
use crate::support::*;
use proptest::prelude::*;
use quetzalhill_core::relay::admit::{queue_delay, AdmissionPolicy};
use quetzalhill_core::relay::chain::{
    ChainPolicy, DeliverReason, RelayChain, RelayDrop, RelayVerdict, ResetReason,
};
use quetzalhill_core::relay::hold::{HoldQueue, HoldReason};
use quetzalhill_core::relay::intake::ReturnReason;
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_core::relay::place::EndpointKey;
use quetzalhill_core::relay::terms::FlowTerms;
use quetzalhill_core::relay::view::{EndpointStatus, RelayView};
use std::time::{Duration, Instant};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn chain(admission: AdmissionPolicy, now: Instant) -> RelayChain {
    let policy = ChainPolicy {
        admission,
        ..ChainPolicy::default()
    };
    RelayChain::with_policy(policy, now)
}

/// Returns a view in which a route leads to feed, whose endpoints have `busy` requests for 4 slots, and to a service that
/// takes almost no share by its weight.
fn split_view(busy: u32, weight: u32) -> RelayView {
    let mut view = view();
    view.routes = routes(1, &[(FEED, 1_000_000), (BATCH, weight)]);
    for endpoint in &mut view.services.get_mut(FEED).expect("feed").endpoints {
        endpoint.busy = busy;
        endpoint.service_time = Some(millis(30));
    }
    view
}

fn timeout(view: &mut RelayView, timeout: Duration) {
    let terms = FlowTerms {
        timeout,
        ..FlowTerms::default()
    };
    view.routes.terms.insert(service_address(), terms);
}

fn is_batch(key: EndpointKey) -> bool {
    (11..=14).any(|number| id(number) == key.id)
}

/// Guards against a flow that leaves its service while that has room, goes to a service without a share or without a free
/// slot, or does not return to its service when there is room again.
#[test]
fn flow_leaves_its_service_only_if_all_candidates_are_full() {
    let now = Instant::now();
    let place = |policy, view: &RelayView| {
        let verdict = chain(policy, now).decide(&opening(1), view, now);
        let RelayVerdict::Deliver { reason, .. } = verdict else {
            panic!("{verdict:?}");
        };
        (is_batch(delivered(&verdict)), reason)
    };
    let (own, other) = (
        (false, DeliverReason::Placed),
        (true, DeliverReason::Spilled),
    );
    assert_eq!(place(AdmissionPolicy::On, &split_view(5, 1)), other);
    assert_eq!(place(AdmissionPolicy::Off, &split_view(5, 1)), own);
    // Slots are taken, but nothing waits.
    assert_eq!(place(AdmissionPolicy::On, &split_view(4, 1)), own);
    assert_eq!(place(AdmissionPolicy::On, &split_view(5, 0)), own);
    let mut view = split_view(5, 1);
    view.services.get_mut(FEED).expect("feed").endpoints[0].busy = 0;
    let candidates = |flow| chain(AdmissionPolicy::On, now).decide(&opening(flow), &view, now);
    let stayed = (0..50).filter(|flow| !is_batch(delivered(&candidates(*flow))));
    assert!(stayed.count() > 0, "no flow uses the candidate with room");
    let mut view = split_view(5, 1);
    for endpoint in &mut view.services.get_mut(BATCH).expect("batch").endpoints {
        endpoint.busy = 4;
    }
    assert_eq!(place(AdmissionPolicy::On, &view), own);
    for endpoint in &mut view.services.get_mut(BATCH).expect("batch").endpoints {
        endpoint.busy = 0;
        endpoint.evacuated = true;
    }
    let verdict = chain(AdmissionPolicy::On, now).decide(&opening(1), &view, now);
    assert!(!matches!(verdict, RelayVerdict::Reset(_)));
}

/// Guards against a flow of another service than the weights say that an entry with an empty flow table does not find.
#[test]
fn spilled_flow_is_found_through_another_entry() {
    let view = split_view(5, 1);
    let now = Instant::now();
    for number in 0..20 {
        let verdict = chain(AdmissionPolicy::On, now).decide(&opening(number), &view, now);
        let holder = delivered(&verdict);
        assert!(is_batch(holder));
        let mut other = RelayChain::new(now);
        let found = search(&mut other, &established(number), Some(holder), &view);
        assert!(found.queried.contains(&holder), "{:?}", found.verdict);
    }
}

/// Lets every endpoint return the flow as busy with `requests`, and returns the verdict that is not a delivery, or the
/// forced delivery.
fn exhaust(
    chain: &mut RelayChain,
    head: &PacketHead,
    view: &RelayView,
    requests: u32,
    now: Instant,
) -> RelayVerdict {
    let mut verdict = chain.decide(head, view, now);
    while let RelayVerdict::Deliver { targets, .. } = &verdict {
        if targets[0].forced {
            break;
        }
        let reason = ReturnReason::Busy { requests };
        let key = targets[0].endpoint;
        verdict = chain.decide_returned(head, key, reason, view, now);
    }
    verdict
}

/// Guards against a caller that waits for an answer which cannot come in time, and against a refusal without knowledge of
/// the timeout or of the pace, or while the queue is short enough.
#[test]
fn hopeless_flow_is_refused_at_once() {
    let now = Instant::now();
    let decide = |policy, view: &RelayView, requests| {
        exhaust(&mut chain(policy, now), &opening(1), view, requests, now)
    };
    let mut view = split_view(9, 0);
    let is_forced = |verdict: RelayVerdict| matches!(verdict, RelayVerdict::Deliver { .. });
    assert!(is_forced(decide(AdmissionPolicy::On, &view, 500)));
    timeout(&mut view, millis(1_500));
    let hopeless = RelayVerdict::Reset(ResetReason::Hopeless);
    // 196 requests wait for 4 slots: 1,470 ms, and 30 ms for the request itself.
    assert!(is_forced(decide(AdmissionPolicy::On, &view, 200)));
    assert_eq!(decide(AdmissionPolicy::On, &view, 201), hopeless);
    assert!(is_forced(decide(AdmissionPolicy::Off, &view, 500)));
    for endpoint in &mut view.services.get_mut(FEED).expect("feed").endpoints {
        endpoint.service_time = None;
    }
    assert!(is_forced(decide(AdmissionPolicy::On, &view, 500)));
}

/// Guards against a refusal because all upstreams fail: their requests end at once, and their queues are not known.
#[test]
fn flow_is_not_refused_because_upstreams_fail() {
    let mut view = split_view(9, 0);
    timeout(&mut view, millis(1_500));
    let now = Instant::now();
    let mut chain = chain(AdmissionPolicy::On, now);
    let mut verdict = chain.decide(&opening(1), &view, now);
    for _ in 0..3 {
        let key = delivered(&verdict);
        verdict = chain.decide_returned(&opening(1), key, ReturnReason::Failing, &view, now);
    }
    delivered(&verdict);
}

/// Guards against an estimate that overflows or divides by 0.
#[test]
fn queue_delay_counts_the_requests_beyond_the_slots() {
    assert_eq!(queue_delay(2, 2, millis(30)), Duration::ZERO);
    assert_eq!(queue_delay(6, 2, millis(30)), millis(60));
    assert_eq!(queue_delay(1, 0, millis(30)), Duration::ZERO);
    assert!(queue_delay(u32::MAX, 1, Duration::MAX) > millis(1));
}

fn pending_view() -> RelayView {
    let mut view = view();
    let feed = view.services.get_mut(FEED).expect("feed");
    // The queue tells services apart by their digests.
    feed.digest = 1;
    for endpoint in &mut feed.endpoints {
        endpoint.status = EndpointStatus::Pending;
    }
    view
}

/// Guards against a caller that waits for its retransmission although an endpoint became ready 50 ms after its first
/// packet, and against a hold in deployments that do not enable it.
#[test]
fn first_packet_is_held_until_an_endpoint_is_ready() {
    let now = Instant::now();
    let mut view = pending_view();
    let dropped = RelayVerdict::Drop(RelayDrop::NoReady);
    assert_eq!(
        chain(AdmissionPolicy::Off, now).decide(&opening(1), &view, now),
        dropped
    );
    let mut chain = chain(AdmissionPolicy::On, now);
    let verdict = chain.decide(&opening(1), &view, now);
    let RelayVerdict::Hold(reason @ HoldReason::Ready(_)) = verdict else {
        panic!("{verdict:?}");
    };
    let mut queue = HoldQueue::default();
    assert!(queue.push(b"first", reason, now));
    let later = now + millis(50);
    assert!(queue.release(&view, later).ready.is_empty());
    view.services.get_mut(FEED).expect("feed").endpoints[3].status = EndpointStatus::Ready;
    assert_eq!(queue.release(&view, later).ready, [b"first"]);
    let verdict = chain.decide(&opening(1), &view, later);
    assert_eq!(delivered(&verdict), key(4));
    // The endpoint returns it. It is held again, but not for longer in total.
    let reason = ReturnReason::NotReady;
    let verdict = chain.decide_returned(&opening(1), key(4), reason, &view, later);
    let RelayVerdict::Hold(HoldReason::Ready(wait)) = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(wait.until, now + millis(350));
    let verdict = chain.decide_returned(&opening(1), key(4), reason, &view, now + millis(350));
    assert_eq!(verdict, dropped);
}

/// Guards against two upstreams that accept a flow because its first packet and a copy were held and both released.
#[test]
fn held_packet_is_dropped_once_a_copy_is_held() {
    let now = Instant::now();
    let mut view = pending_view();
    let mut chain = chain(AdmissionPolicy::On, now);
    let copy = packet(1, PacketKind::Opening { copies: 1 });
    assert!(matches!(
        chain.decide(&opening(1), &view, now),
        RelayVerdict::Hold(_)
    ));
    let later = now + millis(200);
    assert!(matches!(
        chain.decide(&copy, &view, later),
        RelayVerdict::Hold(_)
    ));
    view.services.get_mut(FEED).expect("feed").endpoints[3].status = EndpointStatus::Ready;
    let later = now + millis(210);
    let duplicate = RelayVerdict::Drop(RelayDrop::Duplicate);
    assert_eq!(chain.decide(&opening(1), &view, later), duplicate);
    assert_eq!(delivered(&chain.decide(&copy, &view, later)), key(4));
}

/// Guards against two upstreams that accept a flow because a copy of its first packet was placed while the first packet
/// was held, and that was placed too when it was released.
#[test]
fn held_packet_is_dropped_once_a_copy_is_placed() {
    let now = Instant::now();
    let mut view = pending_view();
    view.services.get_mut(FEED).expect("feed").endpoints[0].status = EndpointStatus::Ready;
    let mut chain = chain(AdmissionPolicy::On, now);
    let copy = packet(1, PacketKind::Opening { copies: 1 });
    let verdict = exhaust(&mut chain, &opening(1), &view, 8, now);
    assert!(matches!(verdict, RelayVerdict::Hold(_)), "{verdict:?}");
    let verdict = exhaust(&mut chain, &copy, &view, 8, now + millis(200));
    assert_eq!(delivered(&verdict), key(1));
    view.services.get_mut(FEED).expect("feed").endpoints[3].status = EndpointStatus::Ready;
    let verdict = chain.decide(&opening(1), &view, now + millis(210));
    assert_eq!(verdict, RelayVerdict::Drop(RelayDrop::Duplicate));
}

/// Guards against a hopeless flow that is held for endpoints which may not take it, because their zone is evacuated.
#[test]
fn evacuated_endpoints_are_not_waited_for() {
    let now = Instant::now();
    let mut view = split_view(9, 0);
    timeout(&mut view, millis(1_500));
    for endpoint in &mut view.services.get_mut(FEED).expect("feed").endpoints[3..] {
        endpoint.status = EndpointStatus::Silent;
        endpoint.evacuated = true;
    }
    let verdict = exhaust(
        &mut chain(AdmissionPolicy::On, now),
        &opening(1),
        &view,
        500,
        now,
    );
    assert_eq!(verdict, RelayVerdict::Reset(ResetReason::Hopeless));
}

/// Guards against all held packets going to the first endpoint that is ready while most are still to come, and against
/// first packets that take the room of packets of open flows.
#[test]
fn few_held_packets_leave_at_each_endpoint_of_a_starting_service() {
    let now = Instant::now();
    let mut view = pending_view();
    let verdict = chain(AdmissionPolicy::On, now).decide(&opening(1), &view, now);
    let RelayVerdict::Hold(reason) = verdict else {
        panic!("{verdict:?}");
    };
    let mut queue = HoldQueue::default();
    let held = (0..1_000)
        .filter(|_| queue.push(b"first", reason, now))
        .count();
    assert!(held < 512, "{held} held");
    assert!(queue.push(b"open", HoldReason::Confirmation(now), now));
    let mut left = 0;
    for index in 0..7 {
        view.services.get_mut(FEED).expect("feed").endpoints[index].status = EndpointStatus::Ready;
        let ready = queue.release(&view, now).ready.len();
        assert!(ready <= 5 || index == 6, "{ready} at once");
        assert!(ready > 0);
        assert!(queue.release(&view, now).ready.is_empty());
        left += ready;
    }
    assert_eq!(left, held + 1);
}

/// Guards against a flow that is forced on the only endpoint that is ready while the others are about to be, and against a
/// copy that is held although its caller has waited for 200 ms.
#[test]
fn flow_is_not_forced_on_the_first_endpoint_of_a_starting_service() {
    let now = Instant::now();
    let mut view = pending_view();
    view.services.get_mut(FEED).expect("feed").endpoints[0].status = EndpointStatus::Ready;
    let mut chain = chain(AdmissionPolicy::On, now);
    let verdict = exhaust(&mut chain, &opening(1), &view, 8, now);
    assert!(matches!(verdict, RelayVerdict::Hold(_)), "{verdict:?}");
    let copy = packet(1, PacketKind::Opening { copies: 1 });
    let verdict = exhaust(&mut chain, &copy, &view, 8, now + millis(200));
    assert_eq!(delivered(&verdict), key(1));
}

/// Event of one flow, in the model of the property test.
#[derive(Clone, Copy, Debug)]
enum FlowEvent {
    /// The caller's original first packet arrives, maybe late, or a copy of it.
    Packet { copies: u32 },
    /// The packet that was delivered to an endpoint comes back.
    Return {
        index: usize,
        requests: u32,
        failing: bool,
    },
}

fn endpoint_load() -> impl Strategy<Value = u32> {
    prop_oneof![1 => 0_u32..6, 8 => 20_u32..40]
}

fn flow_event() -> impl Strategy<Value = FlowEvent> {
    let returned = (0_usize..4, 30_u32..400, prop::bool::weighted(0.1));
    prop_oneof![
        1 => (0_u32..2).prop_map(|copies| FlowEvent::Packet { copies }),
        9 => returned.prop_map(|(index, requests, failing)| FlowEvent::Return { index, requests, failing }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// Guards against a refusal while an endpoint of the route has a free slot by the entry's knowledge, after another
    /// first packet of the flow was seen or may have been sent, or while a copy is on its way to an upstream.
    #[test]
    fn refusal_is_given_only_without_room_and_before_any_copy(
        load in prop::collection::vec((endpoint_load(), prop::bool::weighted(0.8)), 24),
        weight in 0_u32..2,
        events in prop::collection::vec((0_u64..20, flow_event()), 1..40),
    ) {
        let start = Instant::now();
        let mut view = split_view(0, weight);
        view.services.insert(FEED.into(), service(21..=40));
        timeout(&mut view, millis(300));
        let mut endpoints = Vec::new();
        for (name, first) in [(FEED, 0), (BATCH, 20)] {
            let service = view.services.get_mut(name).expect("known");
            for (index, endpoint) in service.endpoints.iter_mut().enumerate() {
                let (busy, ready) = load[first + index];
                endpoint.busy = busy;
                endpoint.service_time = Some(millis(30));
                if !ready {
                    endpoint.status = EndpointStatus::Draining;
                }
                let used = name == FEED || weight > 0;
                endpoints.push((endpoint.key(), busy, ready && used));
            }
        }
        let mut chain = chain(AdmissionPolicy::On, start);
        let mut now = start;
        let mut on_the_way: Vec<(EndpointKey, u32)> = Vec::new();
        let mut placed: Vec<EndpointKey> = Vec::new();
        let mut returned: Vec<EndpointKey> = Vec::new();
        let mut packets = Vec::new();
        for (pause, event) in events {
            now += millis(pause);
            let verdict = match event {
                FlowEvent::Packet { copies } => {
                    packets.push((copies, now));
                    chain.decide(&packet(1, PacketKind::Opening { copies }), &view, now)
                }
                FlowEvent::Return { index, requests, failing } => {
                    if on_the_way.is_empty() {
                        continue;
                    }
                    let (key, copies) = on_the_way.remove(index % on_the_way.len());
                    returned.push(key);
                    let reason = match failing {
                        true => ReturnReason::Failing,
                        false => ReturnReason::Busy { requests },
                    };
                    let head = packet(1, PacketKind::Opening { copies });
                    chain.decide_returned(&head, key, reason, &view, now)
                }
            };
            if let RelayVerdict::Deliver { targets, .. } = &verdict {
                let copies = packets.last().map_or(0, |packet| packet.0);
                on_the_way.push((targets[0].endpoint, copies));
                placed.push(targets[0].endpoint);
                continue;
            }
            if verdict != RelayVerdict::Reset(ResetReason::Hopeless) {
                continue;
            }
            prop_assert!(on_the_way.is_empty(), "a copy may be accepted");
            prop_assert_eq!(packets.len(), 1, "another packet was seen");
            prop_assert!(packets[0].0 == 0 && now < packets[0].1 + millis(200));
            for (key, busy, usable) in &endpoints {
                let pending = placed.iter().filter(|placed| *placed == key).count();
                let free = busy + u32::try_from(pending).expect("few") < 4;
                let untried = !returned.contains(key);
                prop_assert!(!(*usable && free && untried), "{key:?} has a free slot");
            }
        }
    }
}
