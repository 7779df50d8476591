//! The packet path of an entry over loopback sockets, with a socket in place of an agent.

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

const FEED: u32 = 7;
const LIFE: u64 = 5;

/// Fails a test whose packet never comes; far longer than a loaded machine needs.
const PATIENCE: Duration = Duration::from_secs(10);

fn ring(number: u8) -> KeyRing {
    KeyRing::new(ControlKey::new(number, &[number; 32]), None)
}

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback socket");
    socket.set_read_timeout(Some(PATIENCE)).expect("timeout");
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

/// How the listener learns the service address.
#[derive(Clone, Copy)]
enum Listener {
    /// Bound to one address.
    Bound,
    /// Bound to all addresses.
    Wildcard,
    /// Bound to one address that stands for another.
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
            number: FEED,
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
    fn call(&self, payload: &[u8]) {
        let port = self.traffic.listen_addresses()[0].port();
        let sent = self.caller.send_to(payload, (Ipv4Addr::LOCALHOST, port));
        sent.expect("sent");
    }

    /// Sends from the agent to the data socket.
    fn answer(&self, datagram: &[u8]) {
        let sent = self.agent.send_to(datagram, self.traffic.data_address());
        sent.expect("sent");
    }

    /// Receives a valid datagram at the agent.
    fn at_agent(&self) -> (PacketHeader, Vec<u8>) {
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
            service: FEED,
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

fn sealed(ring: &KeyRing, header: &PacketHeader, payload: &[u8]) -> Vec<u8> {
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
    let cid = CidContent::new(agent, service, LIFE, 1).seal(&ring(1));
    [&[0x40], &cid[..], b"protected"].concat()
}

/// Waits until `counters` show `count` dropped packets.
fn wait_for_drops(counters: &DirectionCounters, count: u64) {
    let end = Instant::now() + PATIENCE;
    while counters.all_drops() < count && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(counters.all_drops(), count);
}

/// Guards against a packet or a reply that is changed or reaches another address.
#[parameterized(
    bound = { Listener::Bound },
    wildcard = { Listener::Wildcard },
    translated = { Listener::Translated },
)]
fn packet_goes_to_the_agent_and_back(listener: Listener) {
    let fixture = Fixture::new(listener);
    fixture.call(&first_packet());
    let (header, payload) = fixture.at_agent();
    assert_eq!(payload, first_packet());
    let expected = PacketHeader {
        direction: PacketDirection::ToAgent,
        ..fixture.reply_header()
    };
    assert_eq!(header, expected);

    fixture.answer(&sealed(&ring(1), &fixture.reply_header(), b"reply"));
    let mut buffer = [0; DATAGRAM_MAX];
    let (length, from) = fixture.caller.recv_from(&mut buffer).expect("reply");
    assert_eq!(&buffer[..length], b"reply");
    let port = fixture.traffic.listen_addresses()[0].port();
    assert_eq!(v4(from), SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
    fixture.stop();
}

/// Guards against an entry that needs the membership to route an established flow.
#[test]
fn established_packet_goes_to_the_agent_in_its_connection_id() {
    let fixture = Fixture::new(Listener::Bound);
    let mut table = RouteTable::clone(&fixture.state.routes.load());
    table.services[0].ready.clear();
    fixture.state.routes.store(Arc::new(table));
    let packet = short_packet(local(&fixture.agent), FEED);
    fixture.call(&packet);
    let (header, payload) = fixture.at_agent();
    assert_eq!(payload, packet);
    assert_eq!((header.service, header.incarnation), (FEED, 5));
    fixture.stop();
}

/// Guards against a caller that reaches another service with that service's connection ID.
#[test]
fn connection_id_of_another_service_is_dropped() {
    let fixture = Fixture::new(Listener::Bound);
    fixture.call(&short_packet(local(&fixture.agent), FEED + 1));
    let counters = &fixture.state.counters.to_agent;
    wait_for_drops(counters, 1);
    let reason = TrafficDrop::Packet(PacketDrop::WrongService);
    assert_eq!(counters.drops(reason), 1);
    assert_eq!(counters.packets(), 0);
    fixture.stop();
}

/// Guards against a panic, a lost count or a forwarded packet on input from strangers, in both directions.
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
        // Lengths reach from an empty datagram to more than the longest one.
        let length = random.random_range(0..DATAGRAM_MAX + 512);
        let bytes: Vec<u8> = (0..length).map(|_| random.random()).collect();
        fixture.call(&bytes);
        fixture.answer(&bytes);
        if round % 50 == 0 {
            wait_for_drops(&counters.to_agent, round);
            wait_for_drops(&counters.to_caller, round);
        }
    }
    assert_eq!(counters.to_agent.packets(), 0);
    assert_eq!(counters.to_caller.packets(), 0);
    fixture.stop();
}

/// Guards against a reply from a stranger, from another service's agent or for an address that is not ours.
#[parameterized(
    wrong_key = { 2, |_| (), TrafficDrop::Datagram(DropReason::Key) },
    wrong_direction = {
        1, |header| header.direction = PacketDirection::ToAgent, TrafficDrop::Direction
    },
    wrong_service = { 1, |header| header.service = FEED + 1, TrafficDrop::Service },
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
    fixture.answer(&sealed(&ring(key), &header, b"reply"));
    let counters = &fixture.state.counters.to_caller;
    wait_for_drops(counters, 1);
    assert_eq!(counters.drops(reason), 1);
    assert_eq!(counters.packets(), 0);
    fixture.stop();
}

/// Guards against a forged reply under the number of a valid key.
#[test]
fn reply_with_forged_tag_is_dropped() {
    let fixture = Fixture::new(Listener::Bound);
    let forger = KeyRing::new(ControlKey::new(1, &[9; 32]), None);
    fixture.answer(&sealed(&forger, &fixture.reply_header(), b"reply"));
    let counters = &fixture.state.counters.to_caller;
    wait_for_drops(counters, 1);
    let reason = TrafficDrop::Datagram(DropReason::Tag);
    assert_eq!(counters.drops(reason), 1);
    fixture.stop();
}

/// Guards against a name or a position that two reasons share, which would merge their counters.
#[test]
fn drop_reasons_have_counters_of_their_own() {
    let mut names = HashSet::new();
    for (position, reason) in TrafficDrop::all().enumerate() {
        assert_eq!(reason.index(), position);
        assert!(names.insert(reason.name()), "{}", reason.name());
    }
}

/// Guards against damage to datagrams that the kernel joined, where the tag of one overlaps the next.
#[test]
fn joined_datagrams_are_forwarded_one_by_one() {
    const SEGMENT: usize = 100;
    let fixture = Fixture::new(Listener::Wildcard);
    let cid = CidContent::new(local(&fixture.agent), FEED, LIFE, 1).seal(&ring(1));
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
        assert_eq!(fixture.at_agent().1, segment);
    }
    fixture.stop();
}
