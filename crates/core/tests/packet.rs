//! The packet filter chain of an entry.

use quetzalhill_core::ids::id_of;
use quetzalhill_core::packet::{
    EmbeddedRoute, FlowStage, PacketContext, PacketController, PacketDrop, PacketRoute,
    PacketVerdict, ParsedPacket,
};
use quetzalhill_core::route::{RouteTable, ServiceRoute};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};
use yare::parameterized;

const FEED: u32 = 7;
const BATCH: u32 = 8;
const RATE: u32 = 100;

fn local(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

/// Returns a table with service `FEED` at port 443, which has two endpoints, and `BATCH` at port 444, which has none.
fn table() -> RouteTable {
    let service = |number, ready| ServiceRoute {
        number,
        new_flows_per_s: RATE,
        ready,
        ..ServiceRoute::default()
    };
    RouteTable {
        by_address: [(local(443), 0), (local(444), 1)].into(),
        services: vec![
            service(FEED, vec![id_of(local(7001)), id_of(local(7002))]),
            service(BATCH, Vec::new()),
        ],
    }
}

fn embedded(service: u32) -> Option<EmbeddedRoute> {
    Some(EmbeddedRoute {
        agent: local(7009),
        service,
        incarnation: 5,
    })
}

fn packet(stage: FlowStage, embedded: Option<EmbeddedRoute>) -> Option<ParsedPacket<'static>> {
    Some(ParsedPacket {
        stage,
        key: b"opaque flow key",
        embedded,
    })
}

fn decide(parsed: Option<ParsedPacket<'_>>, port: u16) -> PacketVerdict {
    let context = PacketContext {
        parsed,
        service_address: local(port),
        now: Instant::now(),
    };
    PacketController::new(1).decide(&context, &table())
}

fn to_embedded_route() -> PacketVerdict {
    PacketVerdict::Forward(PacketRoute {
        agent: local(7009),
        service: FEED,
        incarnation: 5,
        second: None,
    })
}

fn to_candidates() -> PacketVerdict {
    let pair = table().services[0]
        .candidates(b"opaque flow key")
        .expect("two endpoints");
    PacketVerdict::Forward(PacketRoute {
        agent: pair.first,
        service: FEED,
        incarnation: 0,
        second: pair.second,
    })
}

/// Guards against a packet that is forwarded to an endpoint of another service or to one that does not hold its flow.
#[parameterized(
    malformed = { None, 443, PacketVerdict::Drop(PacketDrop::Malformed) },
    no_service = { packet(FlowStage::Opening, None), 445, PacketVerdict::Drop(PacketDrop::NoService) },
    no_service_established = {
        packet(FlowStage::Established, embedded(FEED)), 445, PacketVerdict::Drop(PacketDrop::NoService)
    },
    established = { packet(FlowStage::Established, embedded(FEED)), 443, to_embedded_route() },
    handshake = { packet(FlowStage::Opening, embedded(FEED)), 443, to_embedded_route() },
    established_wrong_service = {
        packet(FlowStage::Established, embedded(BATCH)), 443, PacketVerdict::Drop(PacketDrop::WrongService)
    },
    established_without_route = {
        packet(FlowStage::Established, None), 443, PacketVerdict::Drop(PacketDrop::UnknownConnection)
    },
    opening = { packet(FlowStage::Opening, None), 443, to_candidates() },
    opening_wrong_service = { packet(FlowStage::Opening, embedded(BATCH)), 443, to_candidates() },
    no_endpoint = { packet(FlowStage::Opening, None), 444, PacketVerdict::Drop(PacketDrop::NoEndpoint) },
)]
fn verdict(parsed: Option<ParsedPacket<'_>>, port: u16, expected: PacketVerdict) {
    assert_eq!(decide(parsed, port), expected);
}

/// Passes `count` first packets through the chain at `now` and returns how many are forwarded.
fn count_forwarded(
    chain: &mut PacketController,
    table: &RouteTable,
    port: u16,
    now: Instant,
    count: u32,
) -> u32 {
    let context = PacketContext {
        parsed: packet(FlowStage::Opening, None),
        service_address: local(port),
        now,
    };
    let mut forwarded = 0;
    for _ in 0..count {
        match chain.decide(&context, table) {
            PacketVerdict::Forward(_) => forwarded += 1,
            PacketVerdict::Drop(reason) => assert_eq!(reason, PacketDrop::NewFlowLimit),
        }
    }
    forwarded
}

/// Guards against a flood of first packets that opens more flows than the service's limit allows.
#[test]
fn new_flows_stay_below_the_limit() {
    let mut chain = PacketController::new(1);
    let start = Instant::now();
    assert_eq!(
        count_forwarded(&mut chain, &table(), 443, start, 1_000),
        RATE
    );
    let later = start + Duration::from_millis(500);
    assert_eq!(
        count_forwarded(&mut chain, &table(), 443, later, 1_000),
        RATE / 2
    );
    let much_later = start + Duration::from_secs(60);
    assert_eq!(
        count_forwarded(&mut chain, &table(), 443, much_later, 1_000),
        RATE
    );
}

/// Guards against an effective limit that is multiplied by the number of traffic threads.
#[test]
fn threads_share_the_limit() {
    let mut chain = PacketController::new(4);
    assert_eq!(
        count_forwarded(&mut chain, &table(), 443, Instant::now(), 1_000),
        RATE / 4
    );
}

/// Guards against a new-flow limit that drops packets of established flows or of another service.
#[test]
fn limit_affects_only_new_flows_of_its_service() {
    let mut table = table();
    table.services[1].ready = vec![id_of(local(7003))];
    let mut chain = PacketController::new(1);
    let now = Instant::now();
    assert_eq!(count_forwarded(&mut chain, &table, 443, now, 1_000), RATE);
    assert_eq!(count_forwarded(&mut chain, &table, 444, now, 1), 1);
    let context = PacketContext {
        parsed: packet(FlowStage::Established, embedded(FEED)),
        service_address: local(443),
        now,
    };
    assert_eq!(chain.decide(&context, &table), to_embedded_route());
}

/// Guards against a limit of 0 that is treated as unlimited.
#[test]
fn limit_of_zero_admits_nothing() {
    let mut table = table();
    table.services[0].new_flows_per_s = 0;
    let mut chain = PacketController::new(1);
    assert_eq!(
        count_forwarded(&mut chain, &table, 443, Instant::now(), 10),
        0
    );
}
