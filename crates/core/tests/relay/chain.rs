//! Tests of an entry's packet filter chain.

use crate::support::*;
use quetzalhill_core::relay::admit::AdmissionPolicy;
use quetzalhill_core::relay::chain::{
    ChainPolicy, DeliverList, DeliverReason, RelayChain, RelayDrop, RelayVerdict, ResetReason,
};
use quetzalhill_core::relay::intake::ReturnReason;
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_core::relay::place::EndpointKey;
use quetzalhill_core::relay::view::{EndpointStatus, RelayView, ServiceView};
use std::time::{Duration, Instant};
use yare::parameterized;

/// Result of deciding on a packet until it is delivered to its holder or goes no further.
#[derive(Debug)]
pub(crate) struct Search {
    /// Verdict that ended the search.
    pub(crate) verdict: RelayVerdict,
    /// Endpoints that received the packet, in order.
    pub(crate) queried: Vec<EndpointKey>,
    /// Number of deliveries to one or more endpoints at once.
    pub(crate) rounds: usize,
}

/// Lets every endpoint except `holder` return `head` until the packet reaches the holder or is not sent on.
pub(crate) fn search(
    chain: &mut RelayChain,
    head: &PacketHead,
    holder: Option<EndpointKey>,
    view: &RelayView,
) -> Search {
    let now = Instant::now();
    let mut search = Search {
        verdict: chain.decide(head, view, now),
        queried: Vec::new(),
        rounds: 0,
    };
    while let RelayVerdict::Deliver { targets, .. } = search.verdict.clone() {
        search.rounds += 1;
        assert!(search.rounds < 100, "the packet loops");
        let mut next = None;
        for target in targets {
            search.queried.push(target.endpoint);
            if Some(target.endpoint) == holder {
                continue;
            }
            let verdict =
                chain.decide_returned(head, target.endpoint, ReturnReason::NotHeld, view, now);
            if verdict != RelayVerdict::Drop(RelayDrop::Duplicate) {
                assert!(next.is_none(), "the packet was sent on twice");
                next = Some(verdict);
            }
        }
        let Some(verdict) = next else {
            break;
        };
        search.verdict = verdict;
    }
    search
}

/// Guards against an entry with an empty flow table that does not find the endpoint of a flow, or queries an endpoint
/// twice.
#[test]
fn unknown_flow_is_found_at_every_endpoint() {
    let view = view();
    for number in 1..=7 {
        let mut chain = RelayChain::new(Instant::now());
        let Search { queried, .. } = search(&mut chain, &established(40), Some(key(number)), &view);
        assert!(queried.contains(&key(number)));
        for (index, key) in queried.iter().enumerate() {
            assert!(!queried[..index].contains(key), "{key:?} was queried twice");
        }
        let again = chain.decide(&established(40), &view, Instant::now());
        assert_eq!(delivered(&again), key(number));
        assert!(matches!(
            again,
            RelayVerdict::Deliver {
                reason: DeliverReason::TableHit,
                ..
            }
        ));
    }
}

/// Guards against a search whose length grows with the service: a placed flow has to be found among the first
/// candidates.
#[test]
fn placed_flow_is_found_in_the_first_round() {
    let mut view = view();
    view.services.insert(FEED.into(), service(1..=200));
    for number in 0..200 {
        let placed =
            RelayChain::new(Instant::now()).decide(&opening(number), &view, Instant::now());
        let mut other = RelayChain::new(Instant::now());
        let holder = Some(delivered(&placed));
        let Search {
            queried, rounds, ..
        } = search(&mut other, &established(number), holder, &view);
        assert!(queried.len() <= 5, "{} steps", queried.len());
        assert_eq!(rounds, 1);
    }
}

/// Guards against a caller that waits until its deadline although every endpoint has returned the packet of its flow.
#[test]
fn packets_of_a_flow_that_no_endpoint_holds_are_reset() {
    let view = view();
    let mut chain = RelayChain::new(Instant::now());
    let Search {
        verdict, queried, ..
    } = search(&mut chain, &established(41), None, &view);
    assert_eq!(verdict, RelayVerdict::Reset(ResetReason::Ended));
    assert_eq!(queried.len(), 7);
    let again = chain.decide(&established(41), &view, Instant::now());
    assert_eq!(again, RelayVerdict::Reset(ResetReason::Ended));
}

/// Ways in which a view can be incomplete.
#[derive(Clone, Copy, Debug)]
enum ViewGap {
    Unsynced,
    Incomplete,
    HoldersUnknown,
    NoService,
}

/// Guards against the reset of a flow whose endpoint the entry does not know or cannot query.
#[parameterized(
    unsynced = { ViewGap::Unsynced },
    service_incomplete = { ViewGap::Incomplete },
    holders_unknown = { ViewGap::HoldersUnknown },
    no_service = { ViewGap::NoService },
)]
fn flow_is_not_reset_while_the_view_is_incomplete(gap: ViewGap) {
    let mut view = view();
    match gap {
        ViewGap::Unsynced => view.synced = false,
        ViewGap::Incomplete => {
            let service = view.services.get_mut(FEED).expect("feed");
            service.complete = false;
        }
        ViewGap::HoldersUnknown => view.holders_known = false,
        ViewGap::NoService => {
            view.services.remove(FEED);
        }
    }
    let mut chain = RelayChain::new(Instant::now());
    let Search { verdict, .. } = search(&mut chain, &established(42), None, &view);
    assert_eq!(verdict, RelayVerdict::Drop(RelayDrop::NoHolder));
}

/// Guards against the reset of a flow while the agent of its endpoint restarts, which violated the check FLOW on
/// planned days.
#[test]
fn silent_endpoint_is_queried_last_and_flow_is_not_reset() {
    let mut view = view();
    let service = view.services.get_mut(FEED).expect("feed");
    service.complete = false;
    service.endpoints[2].status = EndpointStatus::Silent;
    let mut chain = RelayChain::new(Instant::now());
    let Search {
        verdict, queried, ..
    } = search(&mut chain, &established(43), Some(key(3)), &view);
    assert_eq!(delivered(&verdict), key(3));
    assert_eq!(queried.len(), 7);
    // The next packet goes to the silent endpoint only, since the others do not hold the flow.
    let again = chain.decide(&established(43), &view, Instant::now());
    assert_eq!(delivered(&again), key(3));
}

/// Guards against the reset of a flow that the former service of its route still holds. Seen on quiet-1 after the
/// restart of an entry, whose flow table was then empty.
#[test]
fn former_service_is_queried_before_a_reset() {
    let mut view = view();
    let former = [(service_address(), [BATCH.into()].into_iter().collect())];
    view.former = former.into();
    let mut chain = RelayChain::new(Instant::now());
    search(&mut chain, &established(44), Some(key(12)), &view);
    let next = chain.decide(&established(44), &view, Instant::now());
    assert_eq!(delivered(&next), key(12));
    let Search {
        verdict, queried, ..
    } = search(&mut chain, &established(45), None, &view);
    assert_eq!(verdict, RelayVerdict::Reset(ResetReason::Ended));
    assert_eq!(queried.len(), 11);
}

/// Guards against an endpoint that is not queried again after it returned a first packet, although it accepted a copy
/// of the packet later through another entry.
#[test]
fn endpoint_that_returned_a_first_packet_is_queried_again() {
    let view = view();
    let now = Instant::now();
    let mut chain = RelayChain::new(now);
    let first = delivered(&chain.decide(&opening(46), &view, now));
    let second = chain.decide_returned(&opening(46), first, ReturnReason::NotHeld, &view, now);
    assert_ne!(delivered(&second), first);
    let refusing = delivered(&second);
    let next = chain.decide(&established(46), &view, now);
    assert_eq!(delivered(&next), refusing);
    let next = chain.decide_returned(
        &established(46),
        refusing,
        ReturnReason::NotHeld,
        &view,
        now,
    );
    let RelayVerdict::Deliver { targets, .. } = next else {
        panic!("{next:?}");
    };
    assert!(targets.iter().any(|target| target.endpoint == first));
}

/// Guards against a caller that waits although no endpoint can take its flow, and against a false "not run".
#[test]
fn first_packet_that_all_endpoints_return_is_reset() {
    let view = view();
    let mut chain = RelayChain::new(Instant::now());
    let Search {
        verdict, queried, ..
    } = search(&mut chain, &opening(47), None, &view);
    assert_eq!(verdict, RelayVerdict::Reset(ResetReason::Refused));
    assert_eq!(queried.len(), 7);
}

/// Guards against the reset of a flow that is open through another entry. An entry that was paused reads an old copy
/// of the flow's first packet while all endpoints look silent, because no report was read during the pause (seed 5045
/// of the soak).
#[test]
fn first_packet_is_not_refused_while_endpoints_are_silent() {
    let mut view = view();
    let service = view.services.get_mut(FEED).expect("feed");
    for endpoint in &mut service.endpoints[1..] {
        endpoint.status = EndpointStatus::Silent;
    }
    let now = Instant::now();
    let mut chain = RelayChain::new(now);
    let only = delivered(&chain.decide(&opening(49), &view, now));
    let verdict = chain.decide_returned(&opening(49), only, ReturnReason::NotReady, &view, now);
    assert_eq!(verdict, RelayVerdict::Drop(RelayDrop::NoReady));
    let service = view.services.get_mut(FEED).expect("feed");
    for endpoint in &mut service.endpoints[1..] {
        endpoint.status = EndpointStatus::Draining;
    }
    let verdict = chain.decide_returned(&opening(49), only, ReturnReason::NotReady, &view, now);
    assert_eq!(verdict, RelayVerdict::Reset(ResetReason::Refused));
}

/// Guards against retransmissions of a first packet that all go to an endpoint which does not answer.
#[test]
fn retransmitted_first_packet_goes_to_another_endpoint() {
    let view = view();
    let now = Instant::now();
    let mut chain = RelayChain::new(now);
    let first = delivered(&chain.decide(&opening(48), &view, now));
    let copy = packet(48, PacketKind::Opening { copies: 1 });
    let later = now + Duration::from_millis(200);
    let second = delivered(&chain.decide(&copy, &view, later));
    assert_ne!(first, second);
    // Other new flows avoid the suspect endpoint too, for a while.
    for number in 0..100 {
        let other = chain.decide(&opening(100 + number), &view, later);
        assert_ne!(delivered(&other), first);
    }
}

/// Guards against packets that still go to an endpoint which has restarted and lost its flows.
#[test]
fn new_incarnation_of_the_holder_ends_the_flow() {
    let mut view = view();
    view.services.insert(FEED.into(), service([1]));
    let now = Instant::now();
    let mut chain = RelayChain::new(now);
    let holder = delivered(&chain.decide(&opening(49), &view, now));
    assert_eq!(holder, key(1));
    let service = view.services.get_mut(FEED).expect("feed");
    service.endpoints[0].incarnation = INCARNATION + 1;
    let Search {
        verdict, queried, ..
    } = search(&mut chain, &established(49), None, &view);
    assert_eq!(queried.len(), 1);
    assert_eq!(verdict, RelayVerdict::Reset(ResetReason::Ended));
}

/// Guards against a packet that loops between entry and agent because the agent knows another incarnation than the
/// view.
#[parameterized(
    incarnation_unknown_to_the_agent = { 0 },
    later_incarnation_at_the_agent = { INCARNATION + 5 },
)]
fn endpoint_that_returns_another_incarnation_is_not_queried_again(incarnation: u64) {
    let view = view();
    let now = Instant::now();
    let mut chain = RelayChain::new(now);
    let mut queried = Vec::new();
    let mut verdict = chain.decide(&established(50), &view, now);
    while let RelayVerdict::Deliver { targets, .. } = verdict.clone() {
        for target in targets {
            let id = target.endpoint.id;
            assert!(!queried.contains(&id), "queried again");
            queried.push(id);
            let key = EndpointKey { id, incarnation };
            verdict =
                chain.decide_returned(&established(50), key, ReturnReason::NotHeld, &view, now);
        }
    }
    assert_eq!(verdict, RelayVerdict::Reset(ResetReason::Ended));
    assert_eq!(queried.len(), 7);
}

/// Guards against the loss of packets that arrive while the holder of their flow is being searched for.
#[test]
fn packets_that_arrive_during_a_search_are_forwarded() {
    let view = view();
    let now = Instant::now();
    let mut chain = RelayChain::new(now);
    let first_round = |chain: &mut RelayChain| match chain.decide(&established(54), &view, now) {
        RelayVerdict::Deliver { targets, .. } => targets,
        other => panic!("{other:?}"),
    };
    let queried = first_round(&mut chain);
    let next = first_round(&mut chain);
    // The agents have to claim the flow with the first packet only.
    assert!(queried.iter().all(|target| target.forced));
    assert!(next.iter().all(|target| !target.forced));
    let endpoints = |targets: &DeliverList| -> Vec<_> {
        let keys = targets.iter();
        keys.map(|target| (target.endpoint, target.service))
            .collect()
    };
    assert_eq!(endpoints(&next), endpoints(&queried));
    // Every endpoint of the round returns both packets, and each packet goes to the next round once.
    let mut sent_on = 0;
    for target in queried.iter().chain(&queried) {
        let verdict = chain.decide_returned(
            &established(54),
            target.endpoint,
            ReturnReason::NotHeld,
            &view,
            now,
        );
        sent_on += usize::from(matches!(verdict, RelayVerdict::Deliver { .. }));
    }
    assert_eq!(sent_on, 2);
}

/// Guards against a caller that reuses an address and gets the reset of the flow that had it before.
#[test]
fn first_packet_replaces_the_flow_record() {
    let view = view();
    let mut chain = RelayChain::new(Instant::now());
    let Search { verdict, .. } = search(&mut chain, &established(51), None, &view);
    assert_eq!(verdict, RelayVerdict::Reset(ResetReason::Ended));
    let placed = chain.decide(&opening(51), &view, Instant::now());
    let holder = delivered(&placed);
    let next = chain.decide(&established(51), &view, Instant::now());
    assert_eq!(delivered(&next), holder);
}

/// Guards against a caller that opens a flow at an endpoint by sending the packet with which an upstream accepts one.
#[test]
fn accepting_packet_from_a_caller_is_dropped() {
    let mut chain = RelayChain::new(Instant::now());
    let verdict = chain.decide(&packet(52, PacketKind::Accepting), &view(), Instant::now());
    assert_eq!(verdict, RelayVerdict::Drop(RelayDrop::Unexpected));
}

/// Guards against a reset for a route that the entry has not read yet, and against callers that wait for a route that
/// does not exist.
#[parameterized(
    synced = { true, RelayVerdict::Reset(ResetReason::NoRoute) },
    unsynced = { false, RelayVerdict::Drop(RelayDrop::NoRoute) },
)]
fn packet_without_a_route_is_reset_only_if_the_view_is_synced(
    synced: bool,
    expected: RelayVerdict,
) {
    let mut view = view();
    view.routes.by_address.clear();
    view.synced = synced;
    let mut chain = RelayChain::new(Instant::now());
    assert_eq!(chain.decide(&opening(53), &view, Instant::now()), expected);
}

/// Guards against new flows on endpoints that are draining, pending or silent.
#[test]
fn only_ready_endpoints_take_new_flows() {
    let mut view = view();
    let service: &mut ServiceView = view.services.get_mut(FEED).expect("feed");
    service.endpoints[0].status = EndpointStatus::Draining;
    service.endpoints[1].status = EndpointStatus::Pending;
    service.endpoints[2].status = EndpointStatus::Silent;
    let mut chain = RelayChain::new(Instant::now());
    for number in 0..500 {
        let verdict = chain.decide(&opening(number), &view, Instant::now());
        let id = delivered(&verdict).id;
        assert!((4..=7).any(|number| id == key(number).id));
    }
}

/// Load: a peak at which every endpoint is busy. Guards against a new flow that tries all endpoints one after the
/// other, against a refusal while one of them would queue it, and against queueing at one that is busier than others.
#[test]
fn new_flow_queues_at_the_least_busy_of_the_tried_endpoints() {
    let view = view();
    let now = Instant::now();
    let mut chain = RelayChain::new(now);
    let mut verdict = chain.decide(&opening(60), &view, now);
    let mut queried = Vec::new();
    for requests in [9, 8, 12] {
        let RelayVerdict::Deliver { targets, .. } = &verdict else {
            panic!("{verdict:?}");
        };
        assert!(!targets[0].forced);
        let key = targets[0].endpoint;
        queried.push(key);
        let reason = ReturnReason::Busy { requests };
        verdict = chain.decide_returned(&opening(60), key, reason, &view, now);
    }
    let least = queried[1];
    assert_eq!(delivered(&verdict), least);
    let RelayVerdict::Deliver { targets, .. } = &verdict else {
        panic!("{verdict:?}");
    };
    assert!(targets[0].forced);
    let verdict = chain.decide_returned(&opening(60), least, ReturnReason::NotReady, &view, now);
    assert_eq!(verdict, RelayVerdict::Reset(ResetReason::Refused));
}

/// Guards against a first packet that goes back and forth between an entry and its agents without end, because its route
/// gives no service any weight and each return started the search anew.
#[test]
fn returned_first_packet_of_a_route_without_weights_is_not_searched_for_again() {
    for admission in [AdmissionPolicy::Off, AdmissionPolicy::On] {
        let mut view = view();
        view.routes = routes(1, &[(FEED, 0)]);
        let now = Instant::now();
        let policy = ChainPolicy {
            admission,
            ..ChainPolicy::default()
        };
        let mut chain = RelayChain::with_policy(policy, now);
        let mut queried = Vec::new();
        let mut verdicts = vec![chain.decide(&opening(1), &view, now)];
        while let Some(verdict) = verdicts.pop() {
            let RelayVerdict::Deliver { targets, .. } = verdict else {
                continue;
            };
            for target in targets {
                let key = target.endpoint;
                assert!(!queried.contains(&key), "{key:?} is queried again");
                queried.push(key);
                let reason = ReturnReason::NotReady;
                verdicts.push(chain.decide_returned(&opening(1), key, reason, &view, now));
            }
        }
        assert_eq!(queried.len(), 7);
    }
}
