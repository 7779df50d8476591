//! The packet path of an entry over loopback sockets, with a plain socket as the agent.

use quetzalhill::settings::{EntrySection, EntrySettings, ListenSettings, StoreSection};
use quetzalhill::shared::SharedState;
use quetzalhill::traffic::counters::{DirectionCounters, TrafficDrop};
use quetzalhill::traffic::{self, TrafficHandle};
use quetzalhill_core::ids::id_of;
use quetzalhill_core::packet::PacketDrop;
use quetzalhill_core::route::{RouteTable, ServiceRoute};
use quetzalhill_node::settings::{LogSettings, NodeSettings};
use quetzalhill_wire::cid::CidContent;
use quetzalhill_wire::key::{ControlKey, KeyRing, TAG_BYTES};
use quetzalhill_wire::packet::{
    DropReason, PacketDirection, PacketHeader, DATAGRAM_MAX, HEADER_MAX,
};
use quinn_udp::{Transmit, UdpSocketState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};
use yare::parameterized;

const FEED_NUMBER: u32 = 7;
const INCARNATION: u64 = 5;

/// Longest wait for a packet or a counter; far longer than a loaded machine needs.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

fn ring(number: u8) -> KeyRing {
    KeyRing::new(ControlKey::new(number, &[number; 32]), None)
}

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback socket");
    socket.set_read_timeout(Some(WAIT_LIMIT)).expect("timeout");
    socket
}

fn v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => panic!("{address} is not an IPv4 address"),
    }
}

fn local(socket: &UdpSocket) -> SocketAddrV4 {
    v4(socket.local_addr().expect("bound"))
}

/// How the socket for callers gets the service address.
#[derive(Clone, Copy)]
enum Listener {
    /// Bound to one address.
    Bound,
    /// Bound to all addresses.
    Wildcard,
    /// Bound to one address, with another service address in the settings.
    Translated,
}

/// An entry with one service, whose only endpoint is a plain socket.
struct Fixture {
    state: Arc<SharedState>,
    traffic: TrafficHandle,
    agent: UdpSocket,
    caller: UdpSocket,
    service_address: SocketAddrV4,
}

impl Fixture {
    fn new(listener: Listener) -> Self {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let translated = SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 443);
        let (bind, address) = match listener {
            Listener::Bound => (any, None),
            Listener::Wildcard => (SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0), None),
            Listener::Translated => (any, Some(translated)),
        };
        let settings = settings(ListenSettings { bind, address });
        let state = SharedState::new(ring(1));
        let traffic = traffic::start(&settings, Arc::clone(&state)).expect("traffic threads");
        let port = traffic.listen_addresses()[0].port();
        let service_address = address.unwrap_or(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
        let agent = socket();
        let service = ServiceRoute {
            name: "feed".into(),
            number: FEED_NUMBER,
            new_flows_per_s: 1_000,
            ready: vec![id_of(local(&agent))],
        };
        state.routes.store(Arc::new(RouteTable {
            by_address: [(service_address, 0)].into(),
            services: vec![service],
        }));
        Self {
            state,
            traffic,
            agent,
            caller: socket(),
            service_address,
        }
    }

    /// Sends from the caller to the listener.
    fn send_from_caller(&self, payload: &[u8]) {
        let port = self.traffic.listen_addresses()[0].port();
        let sent = self.caller.send_to(payload, (Ipv4Addr::LOCALHOST, port));
        sent.expect("sent");
    }

    /// Sends from the agent to the data socket.
    fn send_from_agent(&self, datagram: &[u8]) {
        let sent = self.agent.send_to(datagram, self.traffic.data_address());
        sent.expect("sent");
    }

    /// Receives a valid datagram at the agent.
    fn receive_at_agent(&self) -> (PacketHeader, Vec<u8>) {
        let mut buffer = [0; DATAGRAM_MAX];
        let (length, from) = self.agent.recv_from(&mut buffer).expect("datagram");
        assert_eq!(v4(from), self.traffic.data_address());
        let (header, range) = PacketHeader::open(&ring(1), &buffer[..length]).expect("valid");
        (header, buffer[range].to_vec())
    }

    fn reply_header(&self) -> PacketHeader {
        PacketHeader {
            direction: PacketDirection::ToCaller,
            caller: local(&self.caller),
            service_address: self.service_address,
            service: FEED_NUMBER,
            incarnation: 0,
            second: None,
            hops: 0,
        }
    }

    fn stop(self) {
        self.traffic.stop().expect("no thread panicked");
    }
}

fn settings(listen: ListenSettings) -> EntrySettings {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    EntrySettings {
        node: NodeSettings {
            zone: "a".into(),
            control: any,
            admin: any,
            control_key: String::new(),
            previous_key: None,
        },
        log: LogSettings::default(),
        entry: EntrySection {
            listen: vec![listen],
            data: any,
            seeds: Vec::new(),
            threads: 1,
            linger_s: 0,
        },
        store: StoreSection::default(),
    }
}

fn seal_datagram(ring: &KeyRing, header: &PacketHeader, payload: &[u8]) -> Vec<u8> {
    let mut buffer = vec![0; HEADER_MAX + payload.len() + TAG_BYTES];
    buffer[HEADER_MAX..HEADER_MAX + payload.len()].copy_from_slice(payload);
    let range = header.seal(ring, &mut buffer, payload.len()).expect("fits");
    buffer[range].to_vec()
}

fn first_packet() -> Vec<u8> {
    let mut packet = vec![0xc0, 0, 0, 0, 1, 8];
    packet.extend(b"new flow");
    packet.push(0);
    packet.resize(1_200, 0xa5);
    packet
}

fn short_packet(agent: SocketAddrV4, service: u32) -> Vec<u8> {
    let cid = CidContent::new(agent, service, INCARNATION, 1).seal(&ring(1));
    [&[0x40], &cid[..], b"protected"].concat()
}

/// Waits until `counters` show `count` dropped packets.
fn wait_for_drops(counters: &DirectionCounters, count: u64) {
    let end = Instant::now() + WAIT_LIMIT;
    while counters.all_drops() < count && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(counters.all_drops(), count);
}

/// Guards against a packet or a reply that is modified or delivered to a wrong address, for each kind of listener.
#[parameterized(
    bound = { Listener::Bound },
    wildcard = { Listener::Wildcard },
    translated = { Listener::Translated },
)]
fn packet_goes_to_the_agent_and_back(listener: Listener) {
    let fixture = Fixture::new(listener);
    fixture.send_from_caller(&first_packet());
    let (header, payload) = fixture.receive_at_agent();
    assert_eq!(payload, first_packet());
    let expected = PacketHeader {
        direction: PacketDirection::ToAgent,
        ..fixture.reply_header()
    };
    assert_eq!(header, expected);

    fixture.send_from_agent(&seal_datagram(&ring(1), &fixture.reply_header(), b"reply"));
    let mut buffer = [0; DATAGRAM_MAX];
    let (length, from) = fixture.caller.recv_from(&mut buffer).expect("reply");
    assert_eq!(&buffer[..length], b"reply");
    let port = fixture.traffic.listen_addresses()[0].port();
    assert_eq!(v4(from), SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
    fixture.stop();
}

/// Guards against an entry that needs the member list to route an established flow: the agent's address is in the
/// connection ID, so the packet must arrive although no endpoint is ready.
#[test]
fn established_packet_goes_to_the_agent_in_its_connection_id() {
    let fixture = Fixture::new(Listener::Bound);
    let mut table = RouteTable::clone(&fixture.state.routes.load());
    table.services[0].ready.clear();
    fixture.state.routes.store(Arc::new(table));
    let packet = short_packet(local(&fixture.agent), FEED_NUMBER);
    fixture.send_from_caller(&packet);
    let (header, payload) = fixture.receive_at_agent();
    assert_eq!(payload, packet);
    assert_eq!((header.service, header.incarnation), (FEED_NUMBER, 5));
    fixture.stop();
}

/// Guards against a caller that reaches another service by sending a connection ID of that service.
#[test]
fn connection_id_of_another_service_is_dropped() {
    let fixture = Fixture::new(Listener::Bound);
    fixture.send_from_caller(&short_packet(local(&fixture.agent), FEED_NUMBER + 1));
    let counters = &fixture.state.counters.to_agent;
    wait_for_drops(counters, 1);
    let reason = TrafficDrop::Packet(PacketDrop::WrongService);
    assert_eq!(counters.drops(reason), 1);
    assert_eq!(counters.packets(), 0);
    fixture.stop();
}

/// Guards against a panic, an uncounted drop or a forwarded packet on random datagrams, in both directions.
#[parameterized(bound = { Listener::Bound }, wildcard = { Listener::Wildcard })]
fn random_input_is_counted_and_dropped(listener: Listener) {
    const ROUNDS: u64 = 500;
    let fixture = Fixture::new(listener);
    let mut table = RouteTable::clone(&fixture.state.routes.load());
    table.services[0].ready.clear();
    fixture.state.routes.store(Arc::new(table));
    let counters = &fixture.state.counters;
    let mut random = SmallRng::seed_from_u64(540);
    for round in 1..=ROUNDS {
        // Lengths range from an empty datagram to more than the longest valid one.
        let length = random.random_range(0..DATAGRAM_MAX + 512);
        let bytes: Vec<u8> = (0..length).map(|_| random.random()).collect();
        fixture.send_from_caller(&bytes);
        fixture.send_from_agent(&bytes);
        if round % 50 == 0 {
            wait_for_drops(&counters.to_agent, round);
            wait_for_drops(&counters.to_caller, round);
        }
    }
    assert_eq!(counters.to_agent.packets(), 0);
    assert_eq!(counters.to_caller.packets(), 0);
    fixture.stop();
}

/// Guards against forwarding a reply that has an unknown key or the wrong direction, comes from another service's agent,
/// or has a service address that the entry does not serve.
#[parameterized(
    wrong_key = { 2, |_| (), TrafficDrop::Datagram(DropReason::Key) },
    wrong_direction = {
        1, |header| header.direction = PacketDirection::ToAgent, TrafficDrop::Direction
    },
    wrong_service = { 1, |header| header.service = FEED_NUMBER + 1, TrafficDrop::Service },
    wrong_address = {
        1,
        |header| header.service_address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
        TrafficDrop::Listener
    },
)]
fn invalid_reply_is_dropped(key: u8, change: fn(&mut PacketHeader), reason: TrafficDrop) {
    let fixture = Fixture::new(Listener::Bound);
    let mut header = fixture.reply_header();
    change(&mut header);
    fixture.send_from_agent(&seal_datagram(&ring(key), &header, b"reply"));
    let counters = &fixture.state.counters.to_caller;
    wait_for_drops(counters, 1);
    assert_eq!(counters.drops(reason), 1);
    assert_eq!(counters.packets(), 0);
    fixture.stop();
}

/// Guards against accepting a reply that names a valid key but has a tag made with another secret.
#[test]
fn reply_with_forged_tag_is_dropped() {
    let fixture = Fixture::new(Listener::Bound);
    let forger = KeyRing::new(ControlKey::new(1, &[9; 32]), None);
    fixture.send_from_agent(&seal_datagram(&forger, &fixture.reply_header(), b"reply"));
    let counters = &fixture.state.counters.to_caller;
    wait_for_drops(counters, 1);
    let reason = TrafficDrop::Datagram(DropReason::Tag);
    assert_eq!(counters.drops(reason), 1);
    fixture.stop();
}

/// Guards against two drop reasons with the same name or index, which would merge their counters.
#[test]
fn drop_reasons_have_unique_names_and_indexes() {
    let mut names = HashSet::new();
    for (position, reason) in TrafficDrop::all().enumerate() {
        assert_eq!(reason.index(), position);
        assert!(names.insert(reason.name()), "{}", reason.name());
    }
}

/// Guards against damage to datagrams that the kernel joined into one buffer: the tag of each is written over the start of
/// the next.
#[test]
fn joined_datagrams_are_forwarded_one_by_one() {
    const SEGMENT: usize = 100;
    let fixture = Fixture::new(Listener::Wildcard);
    let cid = CidContent::new(local(&fixture.agent), FEED_NUMBER, INCARNATION, 1).seal(&ring(1));
    let mut contents = Vec::new();
    for number in 0..4_u8 {
        let end = contents.len() + SEGMENT;
        contents.push(0x40);
        contents.extend(cid);
        contents.resize(end, number);
    }
    contents.truncate(contents.len() - 50);
    let state = UdpSocketState::new((&fixture.caller).into()).expect("segmentation");
    let port = fixture.traffic.listen_addresses()[0].port();
    let transmit = Transmit {
        destination: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        ecn: None,
        contents: &contents,
        segment_size: Some(SEGMENT),
        src_ip: None,
    };
    let sent = state.try_send((&fixture.caller).into(), &transmit);
    sent.expect("sent");
    for segment in contents.chunks(SEGMENT) {
        assert_eq!(fixture.receive_at_agent().1, segment);
    }
    fixture.stop();
}
