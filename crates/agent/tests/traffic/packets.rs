//! Filtering, forwarding and sending of packets by the packet socket.

use crate::support::{block_on, header, ring, seal, TestSite, INCARNATION, SERVICE, STEP};
use quetzalhill_core::catalogue::LimitSet;
use quetzalhill_core::member::{EndpointRecord, EndpointState};
use quetzalhill_wire::cid::CidContent;
use quetzalhill_wire::packet::{PacketDirection, PacketHeader, DATAGRAM_MAX};
use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

fn wait_for(counter: &AtomicU64, value: u64) {
    let end = Instant::now() + STEP;
    while counter.load(Ordering::Relaxed) < value {
        assert!(Instant::now() < end, "the counter stays below {value}");
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(counter.load(Ordering::Relaxed), value);
}

/// Returns a packet with the length of a first packet and a connection ID that the caller chose.
fn first_packet() -> Vec<u8> {
    let mut packet = vec![0; 1_200];
    packet[0] = 0xc0;
    packet[4] = 1;
    packet[5] = 8;
    packet[6..14].copy_from_slice(b"chosenid");
    packet
}

fn short_packet(incarnation: u64, site: &TestSite) -> Vec<u8> {
    let address = site.settings.agent.packets;
    let id = CidContent::new(address, SERVICE, incarnation, 9).seal(&ring(1));
    let mut packet = vec![0x40];
    packet.extend_from_slice(&id);
    packet.resize(200, 7);
    packet
}

/// Guards against delivering a packet of another service, incarnation, direction or key to QUIC.
#[test]
fn mismatched_packets_are_dropped() {
    let site = TestSite::start(4, LimitSet::default());
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let agent = site.settings.agent.packets;
    let head = header("127.0.0.1:9".parse().unwrap(), site.entry.service_address);
    let other_service = PacketHeader {
        service: SERVICE + 1,
        ..head
    };
    let other_incarnation = PacketHeader {
        incarnation: 99,
        ..head
    };
    let other_direction = PacketHeader {
        direction: PacketDirection::ToCaller,
        ..head
    };
    let counters = site.traffic.counters();
    for wrong in [other_service, other_incarnation, other_direction] {
        let datagram = seal(&wrong, &ring(1), &first_packet());
        socket.send_to(&datagram, agent).unwrap();
    }
    wait_for(&counters.mismatched, 3);
    let datagram = seal(&head, &ring(2), &first_packet());
    socket.send_to(&datagram, agent).unwrap();
    socket.send_to(&[1, 2, 3], agent).unwrap();
    wait_for(&counters.bad_header, 2);
    assert_eq!(counters.delivered.load(Ordering::Relaxed), 0);
}

/// Guards against callers that wait for the idle timeout after a restart of the agent, because it does not send a
/// stateless reset for connection IDs of its earlier incarnation.
#[test]
fn old_connection_id_is_answered_with_a_reset() {
    let site = TestSite::start(4, LimitSet::default());
    let caller = UdpSocket::bind("127.0.0.1:0").unwrap();
    caller.set_read_timeout(Some(STEP)).unwrap();
    let packet = short_packet(INCARNATION - 1, &site);
    caller.send_to(&packet, site.entry.service_address).unwrap();
    let mut buffer = [0; DATAGRAM_MAX];
    let (size, _) = caller.recv_from(&mut buffer).unwrap();
    assert!(size < packet.len(), "a reset is shorter than its cause");
    assert_eq!(buffer[0] & 0xc0, 0x40, "a reset looks like a short header");
}

/// Guards against losing first packets that an entry with a stale view sends to a draining agent.
#[test]
fn draining_agent_forwards_first_packets() {
    let site = TestSite::start(4, LimitSet::default());
    let entry = UdpSocket::bind("127.0.0.1:0").unwrap();
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_read_timeout(Some(STEP)).unwrap();
    let std::net::SocketAddr::V4(second) = peer.local_addr().unwrap() else {
        unreachable!("bound to an IPv4 address");
    };
    site.set_state(EndpointState::Draining);
    let head = PacketHeader {
        second: Some(second),
        ..header("127.0.0.1:9".parse().unwrap(), site.entry.service_address)
    };
    let agent = site.settings.agent.packets;
    entry
        .send_to(&seal(&head, &ring(1), &first_packet()), agent)
        .unwrap();
    let mut buffer = [0; DATAGRAM_MAX];
    let (size, _) = peer.recv_from(&mut buffer).unwrap();
    let (forwarded, payload) = PacketHeader::open(&ring(1), &buffer[..size]).unwrap();
    assert_eq!((forwarded.hops, forwarded.second), (1, None));
    assert_eq!(forwarded.caller, head.caller);
    assert_eq!(&buffer[payload], first_packet());
    // A forwarded packet is not forwarded again.
    entry
        .send_to(&seal(&forwarded, &ring(1), &first_packet()), agent)
        .unwrap();
    wait_for(&site.traffic.counters().dropped, 1);
}

/// Guards against losing responses because the entry that forwarded the request has stopped.
#[test]
fn answers_take_a_live_entry() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        let live = UdpSocket::bind("127.0.0.1:0").unwrap();
        live.set_read_timeout(Some(STEP)).unwrap();
        let std::net::SocketAddr::V4(data) = live.local_addr().unwrap() else {
            unreachable!("bound to an IPv4 address");
        };
        let mut view = quetzalhill_agent::shared::AgentView::clone(&site.shared.view.load());
        view.entries[0].data = data;
        site.shared.publish(view);
        let _ = tokio::time::timeout(Duration::from_millis(200), caller.get("/hello")).await;
        let mut buffer = [0; DATAGRAM_MAX];
        let (size, _) = live.recv_from(&mut buffer).unwrap();
        let (head, _) = PacketHeader::open(&ring(1), &buffer[..size]).unwrap();
        assert_eq!(head.direction, PacketDirection::ToCaller);
        assert_eq!(head.service_address, site.entry.service_address);
    });
}

/// Guards against a build whose runtime uses io_uring, which many sites forbid.
#[test]
fn no_io_uring_descriptor_is_open() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        assert_eq!(caller.get("/hello").await.unwrap().body, "hello");
        for descriptor in std::fs::read_dir("/proc/self/fd").unwrap().flatten() {
            let Ok(target) = std::fs::read_link(descriptor.path()) else {
                continue;
            };
            assert!(!target.to_string_lossy().contains("io_uring"), "{target:?}");
        }
    });
}

/// Guards against forwarding first packets to a peer that accepts no new flows either.
#[test]
fn first_packets_go_to_ready_peers_only() {
    let site = TestSite::start(4, LimitSet::default());
    let entry = UdpSocket::bind("127.0.0.1:0").unwrap();
    let record = EndpointRecord {
        id: 1,
        incarnation: 1,
        sequence: 1,
        service: "feed".into(),
        number: SERVICE,
        zone: "a".into(),
        peer: "127.0.0.1:9".parse().unwrap(),
        state: EndpointState::Draining,
        slots: 1,
    };
    let mut view = quetzalhill_agent::shared::AgentView::clone(&site.shared.view.load());
    view.state = EndpointState::Draining;
    view.peers = vec![record];
    site.shared.publish(view);
    let head = header("127.0.0.1:9".parse().unwrap(), site.entry.service_address);
    let agent = site.settings.agent.packets;
    entry
        .send_to(&seal(&head, &ring(1), &first_packet()), agent)
        .unwrap();
    wait_for(&site.traffic.counters().dropped, 1);
    assert_eq!(site.traffic.counters().forwarded.load(Ordering::Relaxed), 0);
}

/// Guards against reset tokens that differ between the incarnations of an agent, so that callers ignore its resets.
#[test]
fn restarted_agent_resets_old_connections() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        assert_eq!(caller.get("/hello").await.unwrap().body, "hello");
        let site = site.restart(INCARNATION + 1);
        let _ = tokio::time::timeout(Duration::from_millis(50), caller.get("/hello")).await;
        let closed = tokio::time::timeout(STEP, caller.connection.closed()).await;
        assert_eq!(closed.unwrap(), quinn::ConnectionError::Reset);
        let again = site.connect().await;
        assert_eq!(again.get("/hello").await.unwrap().body, "hello");
    });
}
