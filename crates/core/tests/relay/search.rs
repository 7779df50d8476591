//! Tests of the search for the holder of a flow in a service of several zones.

use crate::chain::{search, Search};
use crate::support::*;
use quetzalhill_core::relay::chain::{RelayChain, RelayVerdict, RoundVerdict};
use quetzalhill_core::relay::intake::ReturnReason;
use quetzalhill_core::relay::packet::PacketHead;
use quetzalhill_core::relay::place::EndpointKey;
use quetzalhill_core::relay::view::{EndpointStatus, RelayView};
use std::time::{Duration, Instant};
use yare::parameterized;

/// Returns a view with 120 endpoints of feed in six zones, of which the entry's has the first 20.
fn zoned_view() -> RelayView {
    let mut view = view();
    let mut feed = service(1..=120);
    for (index, endpoint) in feed.endpoints.iter_mut().enumerate() {
        endpoint.same_zone = index < 20;
    }
    view.services.insert(FEED.into(), feed);
    view
}

fn is_near(key: &EndpointKey) -> bool {
    (1..=20).any(|number| key.id == id(number))
}

/// Guards against copies of packets in other zones for flows of the own one, and against more copies in a larger
/// service: each change of the rotation of entries starts a search for every open flow.
#[test]
fn flow_of_the_own_zone_is_found_without_copies_in_others() {
    let view = zoned_view();
    let now = Instant::now();
    for number in 0..200 {
        let placed = RelayChain::new(now).decide(&opening(number), &view, now);
        let holder = delivered(&placed);
        assert!(is_near(&holder));
        let mut other = RelayChain::new(now);
        let Search { queried, .. } = search(&mut other, &established(number), Some(holder), &view);
        assert!(queried.len() <= 2, "{} copies", queried.len());
        assert!(queried.iter().all(is_near));
    }
}

/// Guards against a flow that was placed in another zone and is not found among its candidates there.
#[test]
fn flow_of_another_zone_is_found_with_five_copies() {
    let mut view = zoned_view();
    let now = Instant::now();
    let feed = view.services.get_mut(FEED).expect("feed");
    for endpoint in &mut feed.endpoints[..20] {
        endpoint.busy = 40;
    }
    for number in 0..200 {
        let placed = RelayChain::new(now).decide(&opening(number), &view, now);
        let holder = delivered(&placed);
        assert!(!is_near(&holder));
        let mut other = RelayChain::new(now);
        let Search {
            queried, rounds, ..
        } = search(&mut other, &established(number), Some(holder), &view);
        assert!(queried.len() <= 5, "{} copies", queried.len());
        assert_eq!(rounds, 2);
    }
}

/// Guards against a search through the whole service for the flows of an endpoint that has begun to drain since it got
/// them, as on a day with a release.
#[test]
fn flow_of_a_draining_endpoint_is_found_among_the_candidates() {
    let mut view = zoned_view();
    let now = Instant::now();
    for number in 0..200 {
        let placed = RelayChain::new(now).decide(&opening(number), &view, now);
        let holder = delivered(&placed);
        let feed = view.services.get_mut(FEED).expect("feed");
        let index = feed
            .endpoints
            .iter()
            .position(|known| known.key() == holder);
        let index = index.expect("a known endpoint");
        feed.endpoints[index].status = EndpointStatus::Draining;
        let mut other = RelayChain::new(now);
        let Search { queried, .. } = search(&mut other, &established(number), Some(holder), &view);
        assert!(queried.len() <= 3, "{} copies", queried.len());
        let feed = view.services.get_mut(FEED).expect("feed");
        feed.endpoints[index].status = EndpointStatus::Ready;
    }
}

/// Guards against a caller that waits until a lost endpoint is known to be silent, because the search for its flow does
/// not go on without the answer of that endpoint.
#[test]
fn search_goes_on_without_an_endpoint_that_does_not_answer() {
    let view = zoned_view();
    let start = Instant::now();
    let mut chain = RelayChain::new(start);
    let head = established(7);
    let RelayVerdict::Deliver { targets: first, .. } = chain.decide(&head, &view, start) else {
        panic!("not queried");
    };
    let lost = first[0].endpoint;
    for target in &first[1..] {
        chain.decide_returned(&head, target.endpoint, ReturnReason::NotHeld, &view, start);
    }
    assert!(chain.take_unanswered().is_empty());
    let soon = start + Duration::from_millis(100);
    let RelayVerdict::Deliver { targets, .. } = chain.decide(&head, &view, soon) else {
        panic!("not delivered");
    };
    assert_eq!(targets.len(), 1);
    assert_eq!(
        (targets[0].endpoint, targets[0].service),
        (lost, first[0].service)
    );
    let retransmitted = start + Duration::from_millis(200);
    let RelayVerdict::Deliver { targets, .. } = chain.decide(&head, &view, retransmitted) else {
        panic!("not delivered");
    };
    assert_eq!(targets[0].endpoint, lost);
    assert_eq!(targets.len(), 4);
    assert_eq!(chain.take_unanswered().as_slice(), [lost.id]);
}

/// Ways in which an entry learns that a flow is served.
#[derive(Clone, Copy, Debug)]
enum Sign {
    /// The agent of the holder claims the flow.
    Claim,
    /// The caller acknowledges more than was under way.
    Window,
    /// The caller acknowledges more after it has sent a request.
    Response,
}

/// Guards against copies to ever more endpoints for a flow that is served, because one endpoint of its search is lost. An
/// acknowledgement of a few more bytes alone is no such sign: what the upstream sends again causes it too.
#[parameterized(
    claim = { Sign::Claim, 2_000 },
    window = { Sign::Window, 19_201 },
    response = { Sign::Response, 2_000 },
)]
fn search_does_not_go_on_for_a_flow_that_is_answered(sign: Sign, received: u32) {
    let view = zoned_view();
    let start = Instant::now();
    let mut chain = RelayChain::new(start);
    let first = PacketHead {
        data_len: match sign {
            Sign::Response => 100,
            Sign::Claim | Sign::Window => 0,
        },
        ..established(8)
    };
    let RelayVerdict::Deliver {
        targets: queried, ..
    } = chain.decide(&first, &view, start)
    else {
        panic!("not queried");
    };
    let mut expected: Vec<_> = queried.iter().map(|target| target.endpoint).collect();
    if let Sign::Claim = sign {
        expected = vec![queried[1].endpoint];
        chain.record_claim(flow(8), queried[1].endpoint);
    }
    let answered = PacketHead {
        acknowledged: 77 + received,
        ..established(8)
    };
    for millis in [300, 400, 900] {
        let later = start + Duration::from_millis(millis);
        let RelayVerdict::Deliver { targets, .. } = chain.decide(&answered, &view, later) else {
            panic!("not delivered");
        };
        let targets: Vec<_> = targets.iter().map(|target| target.endpoint).collect();
        assert_eq!(targets, expected);
        assert_eq!(chain.check_round(&first, &view, later), RoundVerdict::Over);
    }
    assert!(chain.take_unanswered().is_empty());
}
