//! Decoders of datagrams and connection IDs with valid, modified and random input.

use proptest::prelude::*;
use quetzalhill_wire::cid::{CidContent, CID_BYTES};
use quetzalhill_wire::control::ControlMessage;
use quetzalhill_wire::key::{ControlKey, KeyRing, TAG_BYTES};
use quetzalhill_wire::packet::{PacketDirection, PacketHeader, DATAGRAM_MAX, HEADER_MAX};
use std::net::SocketAddrV4;

fn ring(number: u8) -> KeyRing {
    KeyRing::new(ControlKey::new(number, &[number; 32]), None)
}

fn address() -> impl Strategy<Value = SocketAddrV4> {
    (any::<[u8; 4]>(), any::<u16>()).prop_map(|(ip, port)| SocketAddrV4::new(ip.into(), port))
}

fn header() -> impl Strategy<Value = PacketHeader> {
    (
        any::<bool>(),
        address(),
        address(),
        0..0x100_0000_u32,
        0..0x100_0000_u32,
        proptest::option::of(address()),
        any::<u8>(),
    )
        .prop_map(
            |(back, caller, service_address, service, incarnation, second, hops)| PacketHeader {
                direction: match back {
                    true => PacketDirection::ToCaller,
                    false => PacketDirection::ToAgent,
                },
                caller,
                service_address,
                service,
                incarnation,
                second,
                hops,
            },
        )
}

fn sealed(header: &PacketHeader, payload: &[u8]) -> Vec<u8> {
    let mut buffer = vec![0; HEADER_MAX + payload.len() + TAG_BYTES];
    buffer[HEADER_MAX..HEADER_MAX + payload.len()].copy_from_slice(payload);
    let range = header
        .seal(&ring(1), &mut buffer, payload.len())
        .expect("fits");
    buffer[range].to_vec()
}

proptest! {
    /// Guards against an encoding that loses or changes a field of the header or the payload.
    #[test]
    fn packet_round_trip(header in header(), payload in proptest::collection::vec(any::<u8>(), 0..1400)) {
        let datagram = sealed(&header, &payload);
        let (decoded, range) = PacketHeader::open(&ring(1), &datagram).expect("valid");
        prop_assert_eq!(decoded, header);
        prop_assert_eq!(&datagram[range], &payload[..]);
    }

    /// Guards against accepting a packet whose header, length or first 16 payload bytes were modified in transit.
    #[test]
    fn changed_packet_is_dropped(header in header(), at in any::<prop::sample::Index>(), bit in 0..8_u32) {
        let mut datagram = sealed(&header, b"sixteen bytes ok");
        let index = at.index(datagram.len());
        datagram[index] ^= 1 << bit;
        prop_assert!(PacketHeader::open(&ring(1), &datagram).is_err());
    }

    /// Guards against a panic on datagrams of unauthenticated senders, and against accepting one.
    #[test]
    fn random_input_is_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..DATAGRAM_MAX + 64)) {
        prop_assert!(PacketHeader::open(&ring(1), &bytes).is_err());
        prop_assert!(ControlMessage::open(&ring(1), &bytes).is_err());
    }

    /// Guards against a connection ID that does not decode to the endpoint that issued it, or that decodes under
    /// another key.
    #[test]
    fn connection_id_round_trip(
        address in address(), service in 0..0x100_0000_u32, incarnation in any::<u64>(), nonce in any::<u32>(),
    ) {
        let content = CidContent::new(address, service, incarnation, nonce);
        let cid = content.seal(&ring(1));
        prop_assert_eq!(CidContent::open(&ring(1), &cid), Some(content));
        prop_assert_eq!(CidContent::open(&ring(2), &cid), None);
    }

    /// Guards against accepting connection IDs that a caller made up. One in 16 million passes the 24-bit tag, and
    /// its decrypted service number must then match as well.
    #[test]
    fn random_connection_id_does_not_decode_to_the_service(cid in any::<[u8; CID_BYTES]>()) {
        let content = CidContent::open(&ring(1), &cid);
        prop_assert!(content.is_none_or(|content| content.service != 7));
    }
}
