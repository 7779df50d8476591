//! The codec of packets, with examples from the platform's documentation.

use proptest::prelude::*;
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_platform::packet::{
    decode, decode_upstream, encode_reset, request_id, restore, set_mark, PacketError,
    PacketSender, UpstreamPacket, HEAD_BYTES,
};

/// Opening packet of a caller, from the platform's documentation.
const OPENING: [u8; HEAD_BYTES] = [
    0x11, 0x22, 0x33, 0x44, 0, 0, 0, 0, 0xa1, 0xb2, 0xc3, 0xd5, 0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01,
    0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0, 0, 0, 0, 0, 0, 0x40, 0, 0, 0,
];

/// Reset that the relay sends for [`OPENING`], from the platform's documentation.
const RESET: [u8; HEAD_BYTES] = [
    0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0xc6, 0x12,
    0x00, 0x01, 0, 0, 0, 0, 0, 0, 0x10, 0, 0, 0,
];

fn head() -> PacketHead {
    decode(&OPENING, PacketSender::Caller).expect("a packet")
}

/// Guards against header fields decoded at the wrong offset or in the wrong byte order.
#[test]
fn documented_packet_is_decoded() {
    let head = head();
    assert_eq!(
        head.flow.caller,
        "100.64.0.7:40001".parse().expect("address")
    );
    assert_eq!(
        head.flow.service,
        "198.18.0.1:443".parse().expect("address")
    );
    assert_eq!(head.kind, PacketKind::Opening { copies: 0 });
    assert_eq!(head.data_len, 0);
}

/// Guards against a reset with wrong addresses, flags or sequence number, which callers ignore.
#[test]
fn reset_matches_the_documented_one() {
    assert_eq!(encode_reset(&head()), RESET);
    let mut open = head();
    open.kind = PacketKind::Established;
    open.acknowledged = 0x0102_0304;
    assert_eq!(encode_reset(&open)[..4], [1, 2, 3, 4]);
}

/// Guards against a returned packet that is forwarded with other bytes than the caller sent, so that the next upstream
/// rejects its checksum.
#[test]
fn returned_packet_is_restored_to_its_original_bytes() {
    let mut packet = OPENING;
    set_mark(&mut packet, 0x0a01_0203);
    assert_eq!(decode(&packet, PacketSender::Caller), Ok(head()));
    packet[30] |= 128;
    let returned = decode_upstream(&packet);
    let expected = UpstreamPacket::Returned {
        head: head(),
        mark: 0x0a01_0203,
    };
    assert_eq!(returned, Ok(expected));
    restore(&mut packet);
    assert_eq!(packet, OPENING);
}

/// Guards against a failed request that cannot be found in the log by its id, and against reading other data of a flow
/// as a request.
#[test]
fn request_id_is_read_from_the_header() {
    let packet = |data: &str| [OPENING.as_slice(), data.as_bytes()].concat();
    let request = packet("POST /hold HTTP/1.1\r\nHost: a\r\nx-request-ID: 4781a0ec\r\n\r\n");
    assert_eq!(request_id(&request), Some("4781a0ec"));
    assert_eq!(request_id(&packet("X-Request-Id: 1\r\n")), None);
    assert_eq!(request_id(&packet("GET / HTTP/1.1\r\n\r\n")), None);
    assert_eq!(request_id(&OPENING[..10]), None);
}

proptest! {
    /// Guards against a panic or a wrong length on arbitrary bytes.
    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        let decoded = decode(&bytes, PacketSender::Caller);
        let _ = request_id(&bytes);
        match decoded {
            Ok(head) => prop_assert_eq!(head.data_len + HEAD_BYTES, bytes.len()),
            Err(PacketError::Short) => prop_assert!(bytes.len() < HEAD_BYTES),
            Err(PacketError::Length) => prop_assert!(bytes.len() >= HEAD_BYTES),
        }
        // The validity rules are the same for packets from upstreams.
        prop_assert_eq!(decode_upstream(&bytes).is_ok(), decoded.is_ok());
    }

    /// Guards against accepting a truncated packet.
    #[test]
    fn truncated_packet_is_refused(data in 1_usize..1_200, cut in 1_usize..1_200) {
        let mut packet = OPENING.to_vec();
        packet[24..26].copy_from_slice(&u16::try_from(data).expect("fits").to_be_bytes());
        packet.resize(HEAD_BYTES + data, 7);
        prop_assert!(decode(&packet, PacketSender::Caller).is_ok());
        packet.truncate((HEAD_BYTES + data).saturating_sub(cut));
        prop_assert!(decode(&packet, PacketSender::Caller).is_err());
    }
}
