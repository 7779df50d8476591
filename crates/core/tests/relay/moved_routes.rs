//! Tests of flows whose routes have moved to another service, at an entry that has not seen the former routes. It knows the
//! former service from the reports of agents only.

use crate::chain::{search, Search};
use crate::support::*;
use quetzalhill_core::ids::ServiceName;
use quetzalhill_core::relay::chain::{RelayChain, RelayDrop, RelayVerdict, ResetReason};
use quetzalhill_core::relay::fleet::{
    EndpointReport, FleetController, ListedEndpoint, SILENT_AFTER,
};
use quetzalhill_core::relay::intake::UpstreamState;
use quetzalhill_core::relay::load::{AddressSummary, FlowCoverage, LoadCounts, LoadMeter};
use quetzalhill_core::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use quetzalhill_core::relay::routes::RouteSet;
use quetzalhill_core::relay::view::RelayView;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};
use yare::parameterized;

/// Routes of the deployment, one flow on each; more than a report names.
const ROUTES: u16 = 96;

fn address(route: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 1_000 + route)
}

fn head(route: u16, kind: PacketKind) -> PacketHead {
    let flow = FlowAddresses {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 40_000),
        service: address(route),
    };
    PacketHead {
        flow,
        ..packet(1, kind)
    }
}

/// Returns the addresses in the report of an agent whose upstream holds a flow on each of these routes.
fn named_addresses(routes: u16, now: Instant) -> AddressSummary {
    let mut meter = LoadMeter::default();
    for route in 0..routes {
        meter.record_sent(&head(route, PacketKind::Accepting), now);
    }
    meter.addresses()
}

fn report(
    number: u8,
    service: &str,
    addresses: AddressSummary,
    seen_all: bool,
    now: Instant,
) -> EndpointReport {
    EndpointReport {
        endpoint: ListedEndpoint {
            id: id(number),
            service: service.into(),
            zone: "a".into(),
            incarnation: INCARNATION,
            slots: 4,
        },
        order: (1, 1),
        state: UpstreamState::Ready,
        stopping: false,
        load: LoadCounts::default(),
        coverage: FlowCoverage::new(seen_all, addresses.complete),
        addresses: addresses.list,
        cold_until: None,
        digest: None,
        keepalive_sent: Some(now),
        pace: None,
        expires: now + SILENT_AFTER,
    }
}

/// Returns the view of an entry that knows the routes to batch only, with feed's endpoint 1 and batch's endpoint 11.
fn view_after_move(former: EndpointReport, now: Instant) -> RelayView {
    let mut fleet = FleetController::new("a".into());
    let nothing = named_addresses(0, now);
    for report in [former, report(11, BATCH, nothing, true, now)] {
        fleet.add_listed(report.endpoint.clone(), now);
        fleet.report(report, now);
    }
    let mut view = RelayView {
        routes: RouteSet {
            revision: 9,
            by_address: (0..ROUTES)
                .map(|route| (address(route), targets(&[(BATCH, 1)])))
                .collect(),
            idle_timeout: Duration::from_secs(15),
            ..RouteSet::default()
        },
        unnamed: fleet.unnamed_services(),
        holders_known: fleet.holders_known(),
        services: fleet.services(now),
        synced: true,
        routes_read: Some(now + Duration::from_secs(60)),
        endpoints_read: Some(now + Duration::from_secs(60)),
        loaded: true,
        ..RelayView::default()
    };
    fleet.add_holders(&mut view.former);
    view
}

/// Guards against the reset of living flows of a moved route by an added entry, because a report names only some of the
/// addresses and the entry takes them for all (review/9). The flows of a restarted agent, which names none, have to be found
/// as well (review/5).
#[parameterized(
    all_named = { 60, true },
    some_named = { ROUTES, true },
    restarted_agent = { 0, false },
)]
fn flow_of_the_former_service_is_found(named: u16, seen_all: bool) {
    let now = Instant::now();
    let former = report(1, FEED, named_addresses(named, now), seen_all, now);
    let view = view_after_move(former, now);
    let mut chain = RelayChain::new(now);
    let routes = match named {
        0 => ROUTES,
        named => named,
    };
    for route in 0..routes {
        let packet = head(route, PacketKind::Established);
        let Search { verdict, .. } = search(&mut chain, &packet, Some(key(1)), &view);
        assert!(
            matches!(verdict, RelayVerdict::Deliver { .. }),
            "route {route}: {verdict:?}"
        );
        let next = chain.decide(&packet, &view, now);
        assert_eq!(delivered(&next), key(1), "route {route}");
    }
}

/// Guards against a caller that waits until its deadline for a flow that has ended, as long as any upstream holds flows to
/// more addresses than a report names. While an agent has not seen all flows, no flow is reset.
#[parameterized(
    some_named = { ROUTES, true, RelayVerdict::Reset(ResetReason::Ended) },
    restarted_agent = { 0, false, RelayVerdict::Drop(RelayDrop::NoHolder) },
)]
fn ended_flow_is_reset_once_every_service_is_ruled_out(
    named: u16,
    seen_all: bool,
    expected: RelayVerdict,
) {
    let now = Instant::now();
    let former = report(1, FEED, named_addresses(named, now), seen_all, now);
    let view = view_after_move(former, now);
    let mut chain = RelayChain::new(now);
    for route in 0..ROUTES {
        let packet = head(route, PacketKind::Established);
        let Search {
            verdict, queried, ..
        } = search(&mut chain, &packet, None, &view);
        assert_eq!(verdict, expected, "route {route}");
        assert!(queried.contains(&key(1)), "route {route}");
        assert!(queried.contains(&key(11)), "route {route}");
    }
}

/// Guards against a new flow at a service to which no manifest has sent it, because that service may hold flows to
/// addresses that no report names.
#[test]
fn first_packet_does_not_reach_an_unnamed_service() {
    let now = Instant::now();
    let former = report(1, FEED, named_addresses(0, now), false, now);
    let mut view = view_after_move(former, now);
    assert_eq!(view.unnamed.as_slice(), [ServiceName::from(FEED)]);
    // With a weight of 0, the first packet may belong to a flow that was opened before.
    for weight in [1, 0] {
        view.routes.by_address = [(address(0), targets(&[(BATCH, weight)]))].into();
        let mut chain = RelayChain::new(now);
        let opening = head(0, PacketKind::Opening { copies: 0 });
        let Search { queried, .. } = search(&mut chain, &opening, None, &view);
        assert_eq!(queried, [key(11)]);
    }
}
