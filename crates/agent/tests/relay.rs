//! The relay's agent with real sockets: requests that wait for a slot of the upstream.
//!
//! The test plays entry, callers and upstream. The store is away, which the agent does not need for traffic.

use ntex::client::Client;
use ntex::SharedCfg;
use quetzalhill_agent::relay::run::{start, RelayHandle};
use quetzalhill_agent::relay::settings::{RelaySection, RelaySettings};
use quetzalhill_core::ids::service_digest;
use quetzalhill_core::relay::packet::{FlowAddresses, PacketKind};
use quetzalhill_core::relay::terms::FlowTerms;
use quetzalhill_node::relay::settings::{RelayNode, RelayStore};
use quetzalhill_node::settings::LogSettings;
use quetzalhill_platform::packet::{PacketSender, HEAD_BYTES};
use quetzalhill_platform::standin::call::{self, OutgoingAnnouncement};
use quetzalhill_platform::standin::packet::{decode, encode, OutgoingPacket};
use quetzalhill_wire::packet::DATAGRAM_MAX;
use quetzalhill_wire::relay::{
    decode_datagram, KeepaliveNotice, RelayDatagram, RelayHeader, RelayNotice, RELAY_HEADER_MAX,
};
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const SERVICE: &str = "feed";
const SLOTS: u32 = 2;

const PACKETS: u16 = 7_201;
const OUTBOUND: u16 = 7_202;
const UPSTREAM: u16 = 7_203;
const ANNOUNCEMENTS: u16 = 7_204;
const READY: u16 = 7_205;
const METRICS: u16 = 7_206;
const ENTRY: u16 = 7_207;

/// Time within which a packet arrives on loopback even on a busy machine.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

const STREAM: FlowTerms = terms(2, 1_500);
const URGENT: FlowTerms = terms(0, 1_500);

const fn terms(priority: u8, timeout_ms: u64) -> FlowTerms {
    FlowTerms {
        priority,
        target: Duration::from_millis(248),
        timeout: Duration::from_millis(timeout_ms),
    }
}

/// An agent with sockets in the place of an entry, the callers and the upstream.
struct TestSite {
    agent: RelayHandle,
    agent_ip: Ipv4Addr,
    caller_ip: Ipv4Addr,
    entry: UdpSocket,
    callers: UdpSocket,
    upstream: UdpSocket,
}

fn no_checksum(_: &[u8]) -> u32 {
    1
}

impl TestSite {
    /// Starts an agent whose upstream has announced itself, on loopback addresses that no other test uses.
    fn start(schedule: bool) -> Self {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let pid = std::process::id();
        // CAST: The masks leave at most eight bits.
        let (high, low) = (((pid >> 8) & 0x3f) as u8, (pid & 0xff) as u8);
        let ip = |host: u8| Ipv4Addr::new(127, 192 + high, low, number * 4 + host);
        let (agent_ip, caller_ip, entry_ip) = (ip(0), ip(1), ip(2));
        let bind = |ip, port| {
            let socket = UdpSocket::bind(SocketAddrV4::new(ip, port)).expect("a free address");
            socket
                .set_read_timeout(Some(ARRIVAL_TIME))
                .expect("a valid timeout");
            socket
        };
        let at = |port| SocketAddrV4::new(agent_ip, port);
        let settings = RelaySettings {
            node: RelayNode {
                name: "agent".into(),
                zone: "zone-a".into(),
                metrics: at(METRICS),
            },
            log: LogSettings::default(),
            store: RelayStore {
                address: at(1),
                poll_ms: 25_000,
            },
            relay: RelaySection {
                service: SERVICE.into(),
                upstream: at(UPSTREAM),
                outbound: at(OUTBOUND),
                packets: at(PACKETS),
                announcements: at(ANNOUNCEMENTS),
                ready: at(READY),
                entry_port: ENTRY,
                announce_ms: 60_000,
                pace: false,
                slow_start: false,
                schedule,
            },
        };
        let site = Self {
            entry: bind(entry_ip, ENTRY),
            callers: bind(caller_ip, PACKETS),
            upstream: bind(agent_ip, UPSTREAM),
            agent: start(settings).expect("a running agent"),
            agent_ip,
            caller_ip,
        };
        site.announce();
        site
    }

    /// Announces the upstream, so that the agent knows its slots.
    fn announce(&self) {
        let announcement = call::announce(&OutgoingAnnouncement {
            name: "upstream".into(),
            incarnation: 1,
            sequence: 1,
            service: SERVICE.into(),
            address: SocketAddrV4::new(self.agent_ip, UPSTREAM),
            zone: "zone-a".into(),
            slots: SLOTS,
            draining: false,
        });
        let address = SocketAddrV4::new(self.agent_ip, ANNOUNCEMENTS);
        let url = format!("http://{address}{}", announcement.path);
        let system = ntex::rt::System::build()
            .name("test")
            .build(ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let client = Client::builder().build(SharedCfg::default()).await;
            let request = client.expect("a client").post(url);
            let body = announcement.body.expect("a body");
            let answer = request.send_body(body).await.expect("an answer");
            assert!(answer.status().is_success());
        });
    }

    fn flow(&self, number: u16) -> FlowAddresses {
        FlowAddresses {
            caller: SocketAddrV4::new(self.caller_ip, number),
            service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        }
    }

    fn packet(&self, sender: PacketSender, number: u16, kind: PacketKind, data: &[u8]) -> Vec<u8> {
        let outgoing = OutgoingPacket {
            sender,
            flow: self.flow(number),
            kind,
            sequence: 100,
            acknowledged: 100,
            data,
        };
        encode(&outgoing, no_checksum)
    }

    /// The entry sends a packet of a caller to the agent.
    fn deliver(&self, number: u16, kind: PacketKind, data: &[u8], terms: Option<FlowTerms>) {
        let mut buffer = vec![0; RELAY_HEADER_MAX];
        buffer.extend(self.packet(PacketSender::Caller, number, kind, data));
        let header = RelayHeader::Deliver {
            service: service_digest(SERVICE),
            forced: true,
            terms,
            cold_limit: None,
        };
        let start = header.prepend_to(&mut buffer).expect("room for a header");
        let agent = SocketAddrV4::new(self.agent_ip, PACKETS);
        self.entry
            .send_to(&buffer[start..], agent)
            .expect("a sent packet");
    }

    /// The upstream sends a packet to a caller, which gets it.
    fn answer(&self, number: u16, kind: PacketKind, data: &[u8]) {
        let packet = self.packet(PacketSender::Upstream, number, kind, data);
        let outbound = SocketAddrV4::new(self.agent_ip, OUTBOUND);
        self.upstream
            .send_to(&packet, outbound)
            .expect("a sent packet");
        let mut buffer = [0; DATAGRAM_MAX];
        let length = self.callers.recv(&mut buffer).expect("a packet");
        assert_eq!(buffer[..length], packet);
    }

    /// Opens a flow at the upstream.
    fn open(&self, number: u16) {
        self.deliver(number, PacketKind::Opening { copies: 0 }, &[], None);
        assert_eq!(self.next().map(|(flow, _)| flow), Some(number));
        self.answer(number, PacketKind::Accepting, &[]);
    }

    fn request(&self, number: u16, terms: FlowTerms) {
        self.deliver(number, PacketKind::Established, b"request", Some(terms));
    }

    /// Returns the next packet that the upstream gets, as the number of its flow and its kind.
    fn next(&self) -> Option<(u16, PacketKind)> {
        let mut buffer = [0; DATAGRAM_MAX];
        let length = self.upstream.recv(&mut buffer).ok()?;
        assert!(length >= HEAD_BYTES);
        let packet = decode(&buffer[..length], PacketSender::Caller, no_checksum);
        let head = packet.expect("a packet").head;
        Some((head.flow.caller.port(), head.kind))
    }

    /// Returns the flows whose packets the upstream gets within [`ARRIVAL_TIME`] of each other.
    fn arrived(&self) -> Vec<u16> {
        let mut flows = Vec::new();
        while let Some((number, _)) = self.next() {
            flows.push(number);
        }
        flows
    }

    /// Returns the requests in progress in the agent's report.
    fn reported_load(&self) -> u32 {
        let keepalive = RelayNotice::Keepalive(KeepaliveNotice {
            clock_ms: 1,
            urgent: true,
            sparse: true,
            lifetime_ms: 100,
        });
        let datagram = keepalive.encode().expect("a datagram");
        let agent = SocketAddrV4::new(self.agent_ip, PACKETS);
        self.entry
            .send_to(&datagram, agent)
            .expect("a sent keepalive");
        let mut buffer = [0; DATAGRAM_MAX];
        loop {
            let length = self.entry.recv(&mut buffer).expect("a report");
            let decoded = decode_datagram(&mut buffer[..length]);
            if let Ok(RelayDatagram::Notice(RelayNotice::Report(report))) = decoded {
                return report.busy;
            }
        }
    }

    /// Returns the flow that the agent claims at the entry within [`ARRIVAL_TIME`], if any.
    fn claimed(&self) -> Option<FlowAddresses> {
        let mut buffer = [0; DATAGRAM_MAX];
        loop {
            let length = self.entry.recv(&mut buffer).ok()?;
            let decoded = decode_datagram(&mut buffer[..length]);
            if let Ok(RelayDatagram::Notice(RelayNotice::FlowClaim(claim))) = decoded {
                assert_eq!(claim.incarnation, 1);
                return Some(claim.flow());
            }
        }
    }

    fn stop(self) {
        self.agent.stop().expect("an orderly stop");
    }
}

/// Time after which the agent takes a request without an answer for hung, before the upstream has answered any.
const HANG_TIME: Duration = Duration::from_secs(1);

/// Attempts at a test whose first steps have to be over within [`HANG_TIME`]; beside load the machine may be too slow for
/// one.
const ATTEMPTS_MAX: usize = 10;

/// Returns whether a play of `play` was in time, and repeats one that was not.
fn assert_in_time(play: impl Fn() -> bool) {
    let in_time = (0..ATTEMPTS_MAX).any(|_| play());
    assert!(in_time, "the machine is too slow");
}

/// Guards against an upstream that answers some requests and hangs on others, which would block the slots of its agent
/// for good, and against held requests that entries do not see in the load.
#[test]
fn hung_requests_block_the_slots_for_a_bounded_time() {
    assert_in_time(play_hung_requests);
}

fn play_hung_requests() -> bool {
    let site = TestSite::start(true);
    for number in 1..=6 {
        site.open(number);
    }
    let began = Instant::now();
    for number in 1..=4 {
        site.request(number, STREAM);
    }
    let first = site.arrived();
    site.request(5, URGENT);
    // The caller repeats its request while it is held.
    site.request(3, STREAM);
    let second = site.arrived();
    let load = site.reported_load();
    if began.elapsed() >= HANG_TIME {
        site.stop();
        return false;
    }
    assert_eq!(first, [1, 2]);
    assert_eq!(second, [0_u16; 0]);
    assert_eq!(load, 5);
    // The upstream answers the first request and hangs on the second.
    site.answer(1, PacketKind::Established, b"answer");
    assert_eq!(site.arrived(), [5]);
    site.answer(5, PacketKind::Established, b"answer");
    assert_eq!(site.arrived(), [3]);
    // It answers no other request: the slot of the second one is free again after a second.
    let start = Instant::now();
    while site.next().map(|(flow, _)| flow) != Some(4) {
        assert!(start.elapsed() < Duration::from_secs(3), "the slot is lost");
    }
    // A late answer still reaches its caller.
    site.answer(2, PacketKind::Established, b"answer");
    site.stop();
    true
}

/// Guards against a request that runs after its caller has given up, and against one that vanishes without the end of
/// its flow reaching the upstream.
#[test]
fn request_is_dropped_after_its_timeout() {
    let site = TestSite::start(true);
    for number in 1..=3 {
        site.open(number);
    }
    site.request(1, STREAM);
    site.request(2, STREAM);
    assert_eq!(site.arrived(), [1, 2]);
    site.request(3, terms(0, 256));
    sleep(Duration::from_millis(10));
    site.deliver(3, PacketKind::Ending, &[], Some(URGENT));
    let start = Instant::now();
    let ending = loop {
        match site.next() {
            Some(next) => break next,
            None => assert!(start.elapsed() < Duration::from_secs(3), "nothing came"),
        }
    };
    assert_eq!(ending, (3, PacketKind::Ending));
    assert!(start.elapsed() > Duration::from_millis(200));
    assert_eq!(site.reported_load(), 2);
    site.stop();
}

/// Guards against held requests that are lost when the agent stops; their callers would send them again only after up
/// to 1.6 s.
#[test]
fn stopping_agent_delivers_what_it_holds() {
    assert_in_time(play_stop);
}

fn play_stop() -> bool {
    let site = TestSite::start(true);
    for number in 1..=3 {
        site.open(number);
    }
    let began = Instant::now();
    for number in 1..=3 {
        site.request(number, STREAM);
    }
    let first = site.arrived();
    if began.elapsed() >= HANG_TIME {
        site.stop();
        return false;
    }
    assert_eq!(first, [1, 2]);
    let TestSite {
        agent, upstream, ..
    } = site;
    agent.stop().expect("an orderly stop");
    let mut buffer = [0; DATAGRAM_MAX];
    assert!(upstream.recv(&mut buffer).is_ok());
    true
}

/// Guards against an agent that holds requests although its settings do not say so.
#[test]
fn nothing_is_held_without_the_setting() {
    let site = TestSite::start(false);
    for number in 1..=5 {
        site.open(number);
    }
    for number in 1..=5 {
        site.request(number, STREAM);
    }
    assert_eq!(site.arrived(), [1, 2, 3, 4, 5]);
    site.stop();
}

/// Guards against an entry that searches on for the holder of a flow, because the agent of the holder does not answer: the
/// upstream answers the caller, past the entry.
#[test]
fn agent_claims_the_flows_that_its_upstream_holds() {
    let site = TestSite::start(false);
    site.open(1);
    // The upstream has accepted the flow, which may have opened at another one.
    site.deliver(1, PacketKind::Established, b"request", None);
    assert_eq!(site.claimed(), None);
    site.answer(1, PacketKind::Established, b"answer");
    site.deliver(1, PacketKind::Established, &[], None);
    assert_eq!(site.claimed(), Some(site.flow(1)));
    site.deliver(2, PacketKind::Established, &[], None);
    assert_eq!(site.claimed(), None);
    assert_eq!(site.arrived(), [1, 1, 2]);
    site.stop();
}
