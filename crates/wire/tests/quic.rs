//! The version-independent header of QUIC packets.

use proptest::prelude::*;
use quetzalhill_core::packet::FlowStage;
use quetzalhill_wire::cid::{CidContent, CID_BYTES};
use quetzalhill_wire::key::{ControlKey, KeyRing};
use quetzalhill_wire::quic::{parse_packet, InvariantHeader};
use std::net::{Ipv4Addr, SocketAddrV4};

fn ring(number: u8) -> KeyRing {
    KeyRing::new(ControlKey::new(number, &[number; 32]), None)
}

fn bytes(max: usize) -> impl Strategy<Value = Vec<u8>> {
    proptest::collection::vec(any::<u8>(), 0..=max)
}

fn long_packet(first: u8, destination: &[u8], source: &[u8], rest: &[u8]) -> Vec<u8> {
    let length = |id: &[u8]| u8::try_from(id.len()).expect("at most 255 bytes");
    let mut packet = vec![first | 0x80, 0, 0, 0, 1, length(destination)];
    packet.extend(destination);
    packet.push(length(source));
    packet.extend(source);
    packet.extend(rest);
    packet
}

proptest! {
    /// Guards against a wrong flow key, with which the first packets of one flow would reach different endpoints.
    #[test]
    fn long_header_yields_its_destination_connection_id(
        first in any::<u8>(), destination in bytes(255), source in bytes(255), rest in bytes(64),
    ) {
        let packet = long_packet(first, &destination, &source, &rest);
        let header = InvariantHeader::parse(&packet).expect("whole header");
        prop_assert_eq!(header.stage, FlowStage::Opening);
        prop_assert_eq!(header.destination, &destination[..]);
    }

    /// Guards against reading past the end of a truncated long header.
    #[test]
    fn truncated_long_header_is_refused(
        destination in bytes(255), source in bytes(255), at in any::<prop::sample::Index>(),
    ) {
        let packet = long_packet(0, &destination, &source, &[]);
        let cut = at.index(packet.len());
        prop_assert_eq!(InvariantHeader::parse(&packet[..cut]), None);
    }

    /// Guards against a short header whose connection ID does not decode to its endpoint, which would break the flow.
    #[test]
    fn short_header_yields_the_embedded_route(
        first in any::<u8>(), port in any::<u16>(), service in 0..0x100_0000_u32, incarnation in any::<u64>(),
        nonce in any::<u32>(), rest in bytes(64),
    ) {
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        let content = CidContent::new(address, service, incarnation, nonce);
        let cid = content.seal(&ring(1));
        let packet = [&[first & 0x7f], &cid[..], &rest[..]].concat();
        let parsed = parse_packet(&ring(1), &packet).expect("whole header");
        prop_assert_eq!(parsed.stage, FlowStage::Established);
        let embedded = parsed.embedded.expect("made with the same key");
        prop_assert_eq!(embedded.agent, address);
        prop_assert_eq!(embedded.service, service);
        prop_assert_eq!(embedded.incarnation, content.incarnation);
        prop_assert_eq!(parse_packet(&ring(2), &packet).and_then(|packet| packet.embedded), None);
    }

    /// Guards against reading past the end of a truncated short header.
    #[test]
    fn truncated_short_header_is_refused(first in any::<u8>(), rest in bytes(CID_BYTES - 1)) {
        let packet = [&[first & 0x7f], &rest[..]].concat();
        prop_assert_eq!(InvariantHeader::parse(&packet), None);
    }

    /// Guards against a panic on packets of unauthenticated senders.
    #[test]
    fn random_input_does_not_panic(packet in bytes(2_048)) {
        let _ = parse_packet(&ring(1), &packet);
    }
}
