//! An entry with sockets in the place of agents and callers.

use quetzalhill::relay::run::{start, RelayHandle};
use quetzalhill::relay::settings::{RelaySection, RelaySettings};
use quetzalhill_core::ids::{id_of, service_digest};
use quetzalhill_core::relay::fleet::ListedEndpoint;
use quetzalhill_core::relay::intake::ReturnReason;
use quetzalhill_core::relay::packet::{FlowAddresses, PacketKind};
use quetzalhill_core::relay::routes::{RouteSet, RouteTarget};
use quetzalhill_core::relay::terms::FlowTerms;
use quetzalhill_node::relay::settings::{RelayNode, RelayStore};
use quetzalhill_node::settings::LogSettings;
use quetzalhill_platform::manifest::MANIFEST_KEY;
use quetzalhill_platform::packet::{decode, PacketSender};
use quetzalhill_platform::standin::call;
use quetzalhill_platform::standin::packet::{encode, OutgoingPacket};
use quetzalhill_standins::store::{StoreApi, StoreStandin};
use quetzalhill_wire::packet::DATAGRAM_MAX;
use quetzalhill_wire::relay::{
    decode_datagram, CoverageNotice, RelayDatagram, RelayHeader, RelayNotice, ReportNotice,
    StateNotice, RELAY_HEADER_MAX,
};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

pub(crate) const SERVICE: &str = "feed";

const AGENTS: u16 = 7_301;
const CALLERS: u16 = 7_302;
const STORE: u16 = 7_303;
const METRICS: u16 = 7_304;
const ENTRY: u16 = 7_305;
const READY: u16 = 7_306;

/// Time limit of one wait.
pub(crate) const TIME_LIMIT: Duration = Duration::from_secs(10);

/// Time within which a packet arrives on loopback.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// What a test sets up.
pub(crate) struct SiteOptions {
    /// Number that no other test of this program has.
    pub(crate) number: u8,
    /// Whether agents get the terms of routes.
    pub(crate) schedule: bool,
    pub(crate) terms: Option<FlowTerms>,
    /// Availability zone of each agent; that of the entry is `zone-a`.
    pub(crate) zones: &'static [&'static str],
}

/// A running entry with its callers and agents.
pub(crate) struct EntrySite {
    entry: RelayHandle,
    entry_ip: Ipv4Addr,
    caller: UdpSocket,
    caller_ip: Ipv4Addr,
    agents: Vec<UdpSocket>,
    endpoints: Vec<ListedEndpoint>,
    /// Keeps the store running.
    _store: StoreStandin,
}

impl EntrySite {
    /// Starts an entry on loopback addresses that no other test uses.
    pub(crate) fn start(options: &SiteOptions) -> Self {
        let pid = std::process::id();
        // CAST: The masks leave at most eight bits.
        let (high, low) = (((pid >> 8) & 0x3f) as u8, (pid & 0xff) as u8);
        let ip = |host: u8| Ipv4Addr::new(127, 192 + high, low, 100 + options.number * 8 + host);
        let at = |port| SocketAddrV4::new(ip(0), port);
        let bind = |ip, port| {
            let socket = UdpSocket::bind(SocketAddrV4::new(ip, port)).expect("a free address");
            let timeout = Some(ARRIVAL_TIME);
            socket.set_read_timeout(timeout).expect("a valid timeout");
            socket
        };
        let (mut agents, mut endpoints) = (Vec::new(), Vec::new());
        for (host, zone) in (2..).zip(options.zones) {
            agents.push(bind(ip(host), AGENTS));
            endpoints.push(ListedEndpoint {
                id: id_of(SocketAddrV4::new(ip(host), AGENTS)),
                service: SERVICE.into(),
                zone: (*zone).into(),
                incarnation: 1,
                slots: 2,
            });
        }
        let store_address = SocketAddr::V4(at(STORE));
        let store = StoreStandin::start_with(StoreApi::Polled, store_address).expect("a store");
        let target = RouteTarget {
            service: SERVICE.into(),
            weight: 1,
        };
        let mut routes = RouteSet {
            revision: 1,
            by_address: [(service_address(), [target].into_iter().collect())].into(),
            idle_timeout: Duration::from_secs(15),
            ..RouteSet::default()
        };
        if let Some(terms) = options.terms {
            routes.terms.insert(service_address(), terms);
        }
        store.put(MANIFEST_KEY, &call::manifest(&routes));
        let entry = start(RelaySettings {
            node: RelayNode {
                name: "entry".into(),
                zone: "zone-a".into(),
                metrics: at(METRICS),
            },
            log: LogSettings::default(),
            store: RelayStore {
                address: at(STORE),
                poll_ms: 25_000,
            },
            relay: RelaySection {
                packets: at(CALLERS),
                agents: at(ENTRY),
                ready: at(READY),
                linger_ms: 0,
                apply_ms: 3_000,
                pace: false,
                schedule: options.schedule,
                evacuations: false,
                evacuate_ms: None,
                reset_ended: false,
                cold_overrun: None,
                cold_slack: 0.0,
            },
        })
        .expect("a running entry");
        Self {
            entry,
            entry_ip: ip(0),
            caller: bind(ip(1), CALLERS),
            caller_ip: ip(1),
            agents,
            endpoints,
            _store: store,
        }
    }

    /// Lets the agents report and opens flows until one of them gets a first packet, whose header is returned.
    pub(crate) fn place_flow(&self) -> RelayHeader {
        let started = Instant::now();
        for sequence in 1.. {
            assert!(started.elapsed() < TIME_LIMIT, "no agent got a packet");
            for (agent, endpoint) in self.agents.iter().zip(&self.endpoints) {
                let report = RelayNotice::Report(report(endpoint, sequence));
                self.notify(agent, &report);
            }
            self.send(1_024, PacketKind::Opening { copies: 0 });
            for index in 0..self.agents.len() {
                if let Some((1_024, header)) = self.next(index) {
                    return header;
                }
            }
        }
        unreachable!("the loop ends with a packet or the time limit");
    }

    pub(crate) fn flow(&self, number: u16) -> FlowAddresses {
        FlowAddresses {
            caller: SocketAddrV4::new(self.caller_ip, number),
            service: service_address(),
        }
    }

    /// The caller sends a packet.
    pub(crate) fn send(&self, number: u16, kind: PacketKind) {
        let entry = SocketAddrV4::new(self.entry_ip, CALLERS);
        let packet = self.packet(number, kind);
        self.caller.send_to(&packet, entry).expect("a sent packet");
    }

    /// Returns the next packet that an agent gets within [`ARRIVAL_TIME`], as the number of its flow and its header.
    pub(crate) fn next(&self, agent: usize) -> Option<(u16, RelayHeader)> {
        let mut buffer = [0; DATAGRAM_MAX];
        loop {
            let length = self.agents[agent].recv(&mut buffer).ok()?;
            let decoded = decode_datagram(&mut buffer[..length]);
            let Ok(RelayDatagram::Flow(header, packet)) = decoded else {
                continue;
            };
            let head = decode(packet, PacketSender::Caller);
            let number = head.expect("a packet").flow.caller.port();
            return Some((number, header));
        }
    }

    /// Waits until an agent gets a packet of the flow with this number, and returns its header.
    pub(crate) fn wait(&self, agent: usize, number: u16) -> RelayHeader {
        let started = Instant::now();
        loop {
            assert!(started.elapsed() < TIME_LIMIT, "the agent got no packet");
            match self.next(agent) {
                Some((next, header)) if next == number => return header,
                Some(_) | None => {}
            }
        }
    }

    /// An agent returns a packet of an open flow.
    pub(crate) fn return_packet(&self, agent: usize, number: u16) {
        let mut buffer = vec![0; RELAY_HEADER_MAX];
        buffer.extend(self.packet(number, PacketKind::Established));
        let header = RelayHeader::Return {
            incarnation: 1,
            reason: ReturnReason::NotHeld,
        };
        let start = header.prepend_to(&mut buffer).expect("room for a header");
        let entry = SocketAddrV4::new(self.entry_ip, ENTRY);
        self.agents[agent]
            .send_to(&buffer[start..], entry)
            .expect("a sent packet");
    }

    /// An agent sends a notice to the entry.
    pub(crate) fn notify_from(&self, agent: usize, notice: &RelayNotice) {
        self.notify(&self.agents[agent], notice);
    }

    pub(crate) fn stop(self) {
        self.entry.stop().expect("an orderly stop");
    }

    fn notify(&self, agent: &UdpSocket, notice: &RelayNotice) {
        let datagram = notice.encode().expect("a datagram");
        let entry = SocketAddrV4::new(self.entry_ip, ENTRY);
        agent.send_to(&datagram, entry).expect("a sent notice");
    }

    fn packet(&self, number: u16, kind: PacketKind) -> Vec<u8> {
        let outgoing = OutgoingPacket {
            sender: PacketSender::Caller,
            flow: self.flow(number),
            kind,
            sequence: 1,
            acknowledged: 0,
            data: &[],
        };
        encode(&outgoing, |_| 1)
    }
}

fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Returns the header of a packet for the service of the site.
pub(crate) fn deliver_header(forced: bool, terms: Option<FlowTerms>) -> RelayHeader {
    RelayHeader::Deliver {
        service: service_digest(SERVICE),
        forced,
        terms,
        cold_limit: None,
    }
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
        lifetime_ms: 10_000,
        peers: Vec::new(),
    }
}
