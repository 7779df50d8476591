//! Binding of UDP and TCP sockets with the same port.

use quetzalhill_node::sockets::SocketPair;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

/// TCP ports that other programs hold; about one in fifty of those that the system chooses from.
const HELD: usize = 600;

/// Pairs that are bound; without another attempt nearly one in fifty would fail.
const PAIRS: usize = 600;

/// Guards against a start that fails because another process holds the TCP port of the UDP port that the system chose.
#[test]
fn pair_is_bound_although_other_programs_hold_tcp_ports() {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let mut held = Vec::new();
    for _ in 0..HELD {
        held.push(TcpListener::bind(any).expect("a free port"));
    }
    for _ in 0..PAIRS {
        let pair = SocketPair::bind(any).expect("a port that is free for both");
        let bound = pair.connections.local_addr().expect("an address");
        assert_eq!(bound, pair.address.into());
        assert_eq!(pair.datagrams.local_addr().expect("an address"), bound);
    }
}

/// Guards against an entry that starts on another port than its settings say.
#[test]
fn port_of_the_settings_is_not_replaced() {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let first = SocketPair::bind(any).expect("a free port");
    SocketPair::bind(first.address).expect_err("the port is in use");
}
