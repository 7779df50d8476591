//! The relay's entry with real sockets: the header of the packets that agents get.
//!
//! The test plays the agent, the caller and the store.

use quetzalhill::relay::run::start;
use quetzalhill::relay::settings::{RelaySection, RelaySettings};
use quetzalhill_core::ids::{id_of, service_digest};
use quetzalhill_core::relay::fleet::ListedEndpoint;
use quetzalhill_core::relay::packet::{FlowAddresses, PacketKind};
use quetzalhill_core::relay::routes::{RouteSet, RouteTarget};
use quetzalhill_core::relay::terms::FlowTerms;
use quetzalhill_node::relay::settings::{RelayNode, RelayStore};
use quetzalhill_node::settings::LogSettings;
use quetzalhill_platform::manifest::MANIFEST_KEY;
use quetzalhill_platform::packet::PacketSender;
use quetzalhill_platform::standin::call;
use quetzalhill_platform::standin::packet::{encode, OutgoingPacket};
use quetzalhill_standins::store::{StoreApi, StoreStandin};
use quetzalhill_wire::packet::DATAGRAM_MAX;
use quetzalhill_wire::relay::{
    decode_datagram, CoverageNotice, RelayDatagram, RelayHeader, RelayNotice, ReportNotice,
    StateNotice,
};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

const SERVICE: &str = "feed";
const TERMS: FlowTerms = FlowTerms {
    priority: 2,
    target: Duration::from_millis(248),
    timeout: Duration::from_millis(1_536),
};

/// Time limit of one test.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// Starts an entry whose route has `terms`, and returns the header with which an agent gets a first packet.
fn deliver_header(host: u8, schedule: bool, terms: Option<FlowTerms>) -> RelayHeader {
    let pid = std::process::id();
    // CAST: The masks leave at most eight bits.
    let (high, low) = (((pid >> 8) & 0x3f) as u8, (pid & 0xff) as u8);
    let ip = |number: u8| Ipv4Addr::new(127, 192 + high, low, 100 + host * 4 + number);
    let at = |port| SocketAddrV4::new(ip(0), port);
    let agent = UdpSocket::bind(SocketAddrV4::new(ip(1), 7_301)).expect("a free address");
    let caller = UdpSocket::bind(SocketAddrV4::new(ip(2), 7_302)).expect("a free address");
    let timeout = Some(Duration::from_millis(100));
    agent.set_read_timeout(timeout).expect("a valid timeout");
    let SocketAddr::V4(agent_address) = agent.local_addr().expect("bound") else {
        unreachable!("bound to an IPv4 address");
    };

    let address = SocketAddr::V4(at(7_303));
    let store = StoreStandin::start_with(StoreApi::Polled, address).expect("a store");
    let service = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    let target = RouteTarget {
        service: SERVICE.into(),
        weight: 1,
    };
    let mut routes = RouteSet {
        revision: 1,
        by_address: [(service, [target].into_iter().collect())].into(),
        idle_timeout: Duration::from_secs(15),
        ..RouteSet::default()
    };
    if let Some(terms) = terms {
        routes.terms.insert(service, terms);
    }
    store.put(MANIFEST_KEY, &call::manifest(&routes));
    let endpoint = ListedEndpoint {
        id: id_of(agent_address),
        service: SERVICE.into(),
        zone: "zone-a".into(),
        incarnation: 1,
        slots: 2,
    };

    let entry = start(RelaySettings {
        node: RelayNode {
            name: "entry".into(),
            zone: "zone-a".into(),
            metrics: at(7_304),
        },
        log: LogSettings::default(),
        store: RelayStore {
            address: at(7_303),
            poll_ms: 25_000,
        },
        relay: RelaySection {
            packets: at(7_302),
            agents: at(7_305),
            ready: at(7_306),
            linger_ms: 0,
            apply_ms: 3_000,
            pace: false,
            schedule,
            evacuations: false,
            evacuate_ms: None,
            reset_ended: false,
            cold_overrun: None,
            cold_slack: 0.0,
        },
    })
    .expect("a running entry");

    let opening = encode(
        &OutgoingPacket {
            sender: PacketSender::Caller,
            flow: FlowAddresses {
                caller: SocketAddrV4::new(ip(2), 1_024),
                service,
            },
            kind: PacketKind::Opening { copies: 0 },
            sequence: 1,
            acknowledged: 0,
            data: &[],
        },
        |_| 1,
    );
    let started = Instant::now();
    let mut sequence = 0;
    let mut buffer = [0; DATAGRAM_MAX];
    let header = loop {
        assert!(started.elapsed() < TIME_LIMIT, "the agent got no packet");
        sequence += 1;
        let report = RelayNotice::Report(report(&endpoint, sequence));
        let datagram = report.encode().expect("a datagram");
        agent.send_to(&datagram, at(7_305)).expect("a sent report");
        caller.send_to(&opening, at(7_302)).expect("a sent packet");
        let Ok(length) = agent.recv(&mut buffer) else {
            continue;
        };
        if let Ok(RelayDatagram::Flow(header, _)) = decode_datagram(&mut buffer[..length]) {
            break header;
        }
    };
    entry.stop().expect("an orderly stop");
    header
}

fn report(endpoint: &ListedEndpoint, sequence: u64) -> ReportNotice {
    ReportNotice {
        service: endpoint.service.clone(),
        zone: endpoint.zone.clone(),
        incarnation: endpoint.incarnation,
        slots: endpoint.slots,
        started: 1,
        sequence,
        state: StateNotice::Ready,
        stopping: false,
        flows: 0,
        busy: 0,
        cold_left_ms: 0,
        addresses: Vec::new(),
        coverage: CoverageNotice::Complete,
        fingerprints: None,
        keepalive_ms: 0,
        lifetime_ms: 1_500,
        peers: Vec::new(),
    }
}

/// Guards against an agent that cannot order requests because the terms of their route do not reach it, and against
/// headers that older agents cannot read where the setting is off or the route states no terms.
#[yare::parameterized(
    scheduled = { 0, true, Some(TERMS), Some(TERMS) },
    setting_off = { 1, false, Some(TERMS), None },
    no_terms = { 2, true, None, None },
)]
fn terms_reach_the_agent_where_the_setting_is_on(
    host: u8,
    schedule: bool,
    stated: Option<FlowTerms>,
    terms: Option<FlowTerms>,
) {
    let expected = RelayHeader::Deliver {
        service: service_digest(SERVICE),
        forced: false,
        terms,
        cold_limit: None,
    };
    assert_eq!(deliver_header(host, schedule, stated), expected);
}
