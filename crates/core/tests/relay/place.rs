//! Tests of the placement of new flows; each names the load that it covers.

use crate::support::*;
use quetzalhill_core::relay::chain::RelayChain;
use quetzalhill_core::relay::place::{choose_endpoint, rank, TriedList};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use yare::parameterized;

/// Places `count` flows through one entry and returns the number of flows of each endpoint.
fn place_flows(view: &quetzalhill_core::relay::view::RelayView, count: u16) -> HashMap<u64, u32> {
    let mut chain = RelayChain::new(Instant::now());
    let mut placed = HashMap::new();
    for number in 0..count {
        let verdict = chain.decide(&opening(number), view, Instant::now());
        *placed.entry(delivered(&verdict).id).or_default() += 1;
    }
    placed
}

/// Load: a few hundred long flows that open at once, as at dawn. Guards against shares that are left to chance;
/// hashing alone gives the busiest of seven endpoints about 1.3 times the mean here.
#[test]
fn flows_that_open_at_once_are_spread_evenly() {
    let placed = place_flows(&view(), 350);
    let most = placed.values().copied().max().expect("flows");
    assert_eq!(placed.len(), 7);
    assert!(f64::from(most) <= 1.10 * 50.0, "{most} of 350 on one of 7");
}

/// Load: flows in a zone with endpoints of its own. Guards against needless traffic between zones, and against a zone
/// that is overloaded while others are idle.
#[test]
fn own_zone_is_preferred_until_it_is_busy() {
    let mut view = view();
    let service = view.services.get_mut(FEED).expect("feed");
    for endpoint in &mut service.endpoints[2..] {
        endpoint.same_zone = false;
    }
    let placed = place_flows(&view, 8);
    assert!(placed.keys().all(|key| [id(1), id(2)].contains(key)));
    let service = view.services.get_mut(FEED).expect("feed");
    for endpoint in &mut service.endpoints[..2] {
        endpoint.busy = 8;
    }
    let placed = place_flows(&view, 8);
    assert!(placed.keys().all(|key| ![id(1), id(2)].contains(key)));
}

/// Load: an ordinary day, on which each endpoint of the zone runs a request and has free slots. Guards against traffic
/// between zones that no caller is served sooner for.
#[parameterized(
    two_slots = { 2, 1 },
    four_slots = { 4, 2 },
    seven_slots = { 7, 5 },
)]
fn own_zone_is_preferred_while_it_has_free_slots(slots: u32, busy: u32) {
    let mut view = view();
    let service = view.services.get_mut(FEED).expect("feed");
    for (index, endpoint) in service.endpoints.iter_mut().enumerate() {
        endpoint.slots = slots;
        endpoint.same_zone = index < 2;
        endpoint.busy = if index < 2 { busy } else { 0 };
    }
    let service = &view.services[FEED];
    for number in 0..100 {
        let tried = TriedList::new();
        let index = choose_endpoint(
            service,
            flow(number),
            &tried,
            |_| 0,
            |_| false,
            Instant::now(),
        );
        assert!(
            index.is_some_and(|index| index < 2),
            "flow {number} left the zone"
        );
    }
}

/// Load: a peak at which the endpoints of the zone have no free slot while another zone is idle. Guards against callers
/// that wait to save traffic between zones.
#[parameterized(
    two_slots = { 2 },
    four_slots = { 4 },
    seven_slots = { 7 },
)]
fn idle_zone_is_used_once_the_own_one_is_full(slots: u32) {
    let mut view = view();
    let service = view.services.get_mut(FEED).expect("feed");
    for (index, endpoint) in service.endpoints.iter_mut().enumerate() {
        endpoint.slots = slots;
        endpoint.same_zone = index < 2;
        endpoint.busy = if index < 2 { slots } else { 0 };
    }
    let service = &view.services[FEED];
    for number in 0..100 {
        let tried = TriedList::new();
        let now = Instant::now();
        let index = choose_endpoint(service, flow(number), &tried, |_| 0, |_| false, now);
        assert!(
            index.is_some_and(|index| index >= 2),
            "flow {number} waits in its zone"
        );
    }
}

/// Load: an endpoint that is slow after its start. Guards against new flows that all go to it because it has none
/// yet.
#[test]
fn cold_endpoint_gets_fewer_flows() {
    let mut view = view();
    let service = view.services.get_mut(FEED).expect("feed");
    service.endpoints.truncate(2);
    service.endpoints[0].cold_until = Some(Instant::now() + Duration::from_secs(600));
    let placed = place_flows(&view, 90);
    let (cold, warm) = (placed[&id(1)], placed[&id(2)]);
    assert!(cold * 3 < warm * 2, "{cold} cold, {warm} warm");
}

/// Guards against entries that compute different candidates for a flow, so that one entry does not find a flow that
/// another has placed.
#[test]
fn rank_does_not_depend_on_the_order_of_the_view() {
    let one = service(1..=7);
    let other = service((1..=7).rev());
    let ids = |service: &quetzalhill_core::relay::view::ServiceView| -> Vec<u64> {
        let order = rank(service, flow(9));
        order
            .iter()
            .map(|index| service.endpoints[*index].id)
            .collect()
    };
    assert_eq!(ids(&one), ids(&other));
}

/// Guards against a refusal while an endpoint is left that was only slow to answer.
#[test]
fn avoided_endpoint_is_chosen_if_no_other_is_left() {
    let service = service([1, 2]);
    let mut tried = TriedList::new();
    tried.push(key(1));
    let index = choose_endpoint(&service, flow(1), &tried, |_| 0, |_| true, Instant::now());
    assert_eq!(index.map(|index| service.endpoints[index].id), Some(id(2)));
}
