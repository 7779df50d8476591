//! Rendezvous hashing of first packets.

use quetzalhill_core::ids::id_of;
use quetzalhill_core::route::ServiceRoute;
use std::net::{Ipv4Addr, SocketAddrV4};

fn route(endpoints: std::ops::Range<u16>) -> ServiceRoute {
    let ready = endpoints
        .map(|port| id_of(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000 + port)))
        .collect();
    ServiceRoute {
        ready,
        ..ServiceRoute::default()
    }
}

/// Guards against candidates that depend on the order in which an entry discovered the endpoints.
#[test]
fn candidates_do_not_depend_on_the_order_of_endpoints() {
    let forward = route(0..7);
    let mut backward = forward.clone();
    backward.ready.reverse();
    for flow in 0..1_000_u32 {
        let key = flow.to_le_bytes();
        assert_eq!(forward.candidates(&key), backward.candidates(&key));
    }
}

/// Guards against the removal of one endpoint that moves flows of the other endpoints.
#[test]
fn removed_endpoint_moves_only_its_own_flows_to_their_second_candidate() {
    let before = route(0..7);
    let after = route(0..6);
    for flow in 0..1_000_u32 {
        let key = flow.to_le_bytes();
        let old = before.candidates(&key).expect("seven endpoints");
        let new = after.candidates(&key).expect("six endpoints");
        match old.first.port() == 7006 {
            true => assert_eq!(Some(new.first), old.second),
            false => assert_eq!(new.first, old.first),
        }
    }
}

/// Guards against a hash that spreads flows unevenly over the endpoints.
#[test]
fn flows_are_spread_evenly() {
    let table = route(0..7);
    let mut counts = [0_u32; 7];
    for flow in 0..70_000_u32 {
        let pair = table
            .candidates(&flow.to_le_bytes())
            .expect("seven endpoints");
        counts[usize::from(pair.first.port() - 7000)] += 1;
    }
    for count in counts {
        assert!((9_500..10_500).contains(&count), "{counts:?}");
    }
}

/// Guards against a panic or a made-up candidate for a service without endpoints.
#[test]
fn service_without_endpoints_has_no_candidate() {
    assert_eq!(route(0..0).candidates(b"flow"), None);
}
