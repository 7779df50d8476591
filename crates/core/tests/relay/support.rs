//! Builders of views and packets for the relay tests.

use quetzalhill_core::ids::{id_of, EndpointId};
use quetzalhill_core::relay::chain::RelayVerdict;
use quetzalhill_core::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use quetzalhill_core::relay::place::EndpointKey;
use quetzalhill_core::relay::routes::{RouteSet, RouteTarget, TargetList};
use quetzalhill_core::relay::view::{EndpointStatus, RelayView, ServiceView, ViewEndpoint};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

pub(crate) const FEED: &str = "feed";
pub(crate) const BATCH: &str = "batch";

/// Incarnation of every endpoint in a view.
pub(crate) const INCARNATION: u64 = 1_000;

pub(crate) fn agent(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_000)
}

pub(crate) fn id(number: u8) -> EndpointId {
    id_of(agent(number))
}

pub(crate) fn key(number: u8) -> EndpointKey {
    EndpointKey {
        id: id(number),
        incarnation: INCARNATION,
    }
}

pub(crate) fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

pub(crate) fn flow(number: u16) -> FlowAddresses {
    FlowAddresses {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), number),
        service: service_address(),
    }
}

pub(crate) fn packet(number: u16, kind: PacketKind) -> PacketHead {
    PacketHead {
        flow: flow(number),
        kind,
        sequence: 0,
        acknowledged: 77,
        data_len: 0,
    }
}

pub(crate) fn opening(number: u16) -> PacketHead {
    packet(number, PacketKind::Opening { copies: 0 })
}

pub(crate) fn established(number: u16) -> PacketHead {
    packet(number, PacketKind::Established)
}

pub(crate) fn endpoint(number: u8) -> ViewEndpoint {
    ViewEndpoint {
        id: id(number),
        incarnation: INCARNATION,
        status: EndpointStatus::Ready,
        same_zone: true,
        slots: 4,
        flows: 0,
        busy: 0,
        reports: 1,
        cold_until: None,
        digest: None,
        keepalive_sent: None,
        pace_factor: 1.0,
        service_time: None,
        pace_known: false,
        evacuated: false,
    }
}

pub(crate) fn service(numbers: impl IntoIterator<Item = u8>) -> ServiceView {
    ServiceView {
        digest: 0,
        endpoints: numbers.into_iter().map(endpoint).collect(),
        complete: true,
    }
}

pub(crate) fn targets(shares: &[(&str, u32)]) -> TargetList {
    let target = |(service, weight): &(&str, u32)| RouteTarget {
        service: (*service).into(),
        weight: *weight,
    };
    shares.iter().map(target).collect()
}

pub(crate) fn routes(revision: u64, shares: &[(&str, u32)]) -> RouteSet {
    RouteSet {
        revision,
        by_address: [(service_address(), targets(shares))].into(),
        idle_timeout: Duration::from_secs(15),
        ..RouteSet::default()
    }
}

/// Returns a view with seven endpoints of feed and four of batch; the route leads to feed.
pub(crate) fn view() -> RelayView {
    RelayView {
        routes: routes(1, &[(FEED, 1)]),
        services: [
            (FEED.into(), service(1..=7)),
            (BATCH.into(), service(11..=14)),
        ]
        .into(),
        holders_known: true,
        synced: true,
        routes_confirmed: Some(Instant::now()),
        routes_read: Some(Instant::now() + Duration::from_secs(60)),
        endpoints_read: Some(Instant::now() + Duration::from_secs(60)),
        loaded: true,
        ..RelayView::default()
    }
}

/// Returns the only endpoint that a verdict delivers to.
pub(crate) fn delivered(verdict: &RelayVerdict) -> EndpointKey {
    match verdict {
        RelayVerdict::Deliver { targets, .. } if targets.len() == 1 => targets[0].endpoint,
        other => panic!("not delivered to one endpoint: {other:?}"),
    }
}
