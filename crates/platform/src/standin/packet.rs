//! Codec for packets from the view of the two ends of a flow, which compute and verify checksums.

use crate::packet::{
    self, PacketError, PacketSender, ACK, ACKED, DATA_MAX, DPORT, DST, ECHO, FIN, FLAGS,
    HEAD_BYTES, LEN, PAD, RETURNED, RST, SEQ, SPORT, SRC, SUM, SYN,
};
use quetzalhill_core::relay::packet::{FlowAddresses, PacketHead, PacketKind};

/// Content of a packet that an end of a flow sends.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingPacket<'a> {
    /// End that sends the packet, which decides which address is the source.
    pub sender: PacketSender,
    /// Addresses of the flow.
    pub flow: FlowAddresses,
    /// Kind of the packet, which sets the flags.
    pub kind: PacketKind,
    /// Sequence number of the first data byte.
    pub sequence: u32,
    /// Sequence number of the byte that the sender expects next. Ignored for an opening packet, whose field holds the
    /// number of its retransmissions instead.
    pub acknowledged: u32,
    /// Data after the header, at most [`DATA_MAX`] bytes.
    pub data: &'a [u8],
}

/// A packet that an end of a flow received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReceivedPacket<'a> {
    /// Header as the relay decodes it.
    pub head: PacketHead,
    /// Sequence number of the first data byte.
    pub sequence: u32,
    /// Whether the checksum matches, so that the packet is as its sender wrote it.
    pub intact: bool,
    /// Whether the packet is a reset from the relay, which has a checksum of 0.
    pub from_relay: bool,
    /// Id of the HTTP request that starts in the packet, if one does and has an id.
    pub request_id: Option<&'a str>,
    /// Data after the header.
    pub data: &'a [u8],
}

/// Computes the checksum of a packet. Its argument is the whole packet with zeros in place of what the checksum does
/// not cover.
pub type ChecksumFn = fn(&[u8]) -> u32;

/// Encodes a packet and its checksum.
///
/// # Panics
///
/// Panics if there are more than [`DATA_MAX`] bytes of data.
pub fn encode(outgoing: &OutgoingPacket<'_>, checksum: ChecksumFn) -> Vec<u8> {
    assert!(
        outgoing.data.len() <= DATA_MAX,
        "too much data for one packet"
    );
    let (flags, acknowledged) = match outgoing.kind {
        PacketKind::Opening { copies } => (SYN, copies),
        PacketKind::Accepting => (SYN | ACKED, outgoing.acknowledged),
        PacketKind::Established => (ACKED, outgoing.acknowledged),
        PacketKind::Ending => (FIN | ACKED, outgoing.acknowledged),
        PacketKind::Reset => (RST, outgoing.acknowledged),
    };
    let (source, destination) = match outgoing.sender {
        PacketSender::Caller => (outgoing.flow.caller, outgoing.flow.service),
        PacketSender::Upstream => (outgoing.flow.service, outgoing.flow.caller),
    };
    let data_len = u16::try_from(outgoing.data.len()).unwrap_or(u16::MAX);
    let mut packet = vec![0; HEAD_BYTES];
    packet[SEQ..SEQ + 4].copy_from_slice(&outgoing.sequence.to_be_bytes());
    packet[ACK..ACK + 4].copy_from_slice(&acknowledged.to_be_bytes());
    packet[SPORT..SPORT + 2].copy_from_slice(&source.port().to_be_bytes());
    packet[DST..DST + 4].copy_from_slice(&destination.ip().octets());
    packet[DPORT..DPORT + 2].copy_from_slice(&destination.port().to_be_bytes());
    packet[SRC..SRC + 4].copy_from_slice(&source.ip().octets());
    packet[LEN..LEN + 2].copy_from_slice(&data_len.to_be_bytes());
    packet[FLAGS] = flags;
    packet.extend_from_slice(outgoing.data);
    let sum = checksum(&checksum_input(&packet));
    packet[SUM..SUM + 4].copy_from_slice(&sum.to_be_bytes());
    packet
}

/// Decodes a packet that `sender` sent and verifies its checksum.
///
/// # Errors
///
/// Returns why the bytes are not a valid packet; a wrong checksum is not an error.
pub fn decode(
    bytes: &[u8],
    sender: PacketSender,
    checksum: ChecksumFn,
) -> Result<ReceivedPacket<'_>, PacketError> {
    let head = packet::decode(bytes, sender)?;
    let sum = packet::u32_at(bytes, SUM);
    Ok(ReceivedPacket {
        head,
        sequence: packet::u32_at(bytes, SEQ),
        intact: sum == checksum(&checksum_input(bytes)),
        from_relay: sum == 0 && head.kind == PacketKind::Reset,
        request_id: packet::request_id(bytes),
        data: &bytes[HEAD_BYTES..],
    })
}

/// Flags a caller's packet as one that the upstream refuses and returns.
///
/// # Panics
///
/// Panics if `packet` is shorter than the header.
pub fn set_returned(packet: &mut [u8]) {
    packet[FLAGS] |= RETURNED;
    packet[PAD..HEAD_BYTES].fill(0);
}

/// Returns a copy of the packet with zeros in place of what the checksum does not cover.
fn checksum_input(packet: &[u8]) -> Vec<u8> {
    let mut bytes = packet.to_vec();
    bytes[SUM..SUM + 4].fill(0);
    bytes[ECHO..ECHO + 4].fill(0);
    bytes[PAD..HEAD_BYTES].fill(0);
    bytes[FLAGS] &= !RETURNED;
    bytes
}

/// Returns the head of an HTTP request with the given id, as a caller sends it.
pub fn request_head(id: &str) -> Vec<u8> {
    format!("GET / HTTP/1.1\r\nX-Request-Id: {id}\r\n\r\n").into_bytes()
}
