//! Packets as the two ends of a flow write and read them.

use crate::packet::{
    self, PacketError, PacketSender, ACK, ACKED, BOUNCED, DATA_MAX, DPORT, DST, ECHO, FIN, FLAGS,
    HEAD_BYTES, LEN, PAD, RST, SEQ, SPORT, SRC, SUM, SYN,
};
use quetzalhill_core::relay::packet::{FlowAddresses, PacketHead, PacketKind};

/// A packet as one end of a flow writes it.
#[derive(Clone, Copy, Debug)]
pub struct EndPacket<'a> {
    /// Which end writes it.
    pub sender: PacketSender,
    /// The flow.
    pub flow: FlowAddresses,
    /// What it does to the flow.
    pub kind: PacketKind,
    /// Number of the first byte of the data.
    pub sequence: u32,
    /// Number of the byte that the sender expects next; ignored for a first packet, which counts its copies here.
    pub acknowledged: u32,
    /// The data.
    pub data: &'a [u8],
}

/// What an end reads in a packet beyond its [`PacketHead`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndHead<'a> {
    /// Head.
    pub head: PacketHead,
    /// Number of the first byte of the data.
    pub sequence: u32,
    /// Whether the checksum fits, so that nobody but the sender has written the packet.
    pub intact: bool,
    /// Whether the system itself made the packet, which is possible only for a reset.
    pub from_system: bool,
    /// Name of the request that begins in the packet, if one does.
    pub request: Option<&'a str>,
    /// The data.
    pub data: &'a [u8],
}

/// Computes the checksum of a packet from the bytes that it covers.
pub type ChecksumFn = fn(&[u8]) -> u32;

/// Writes a packet.
///
/// # Panics
///
/// Panics if there are more than [`DATA_MAX`] bytes of data.
pub fn encode(end: &EndPacket<'_>, checksum: ChecksumFn) -> Vec<u8> {
    assert!(end.data.len() <= DATA_MAX, "too much data for one packet");
    let (flags, acknowledged) = match end.kind {
        PacketKind::Opening { copies } => (SYN, copies),
        PacketKind::Accepting => (SYN | ACKED, end.acknowledged),
        PacketKind::Established => (ACKED, end.acknowledged),
        PacketKind::Ending => (FIN | ACKED, end.acknowledged),
        PacketKind::Reset => (RST, end.acknowledged),
    };
    let (source, destination) = match end.sender {
        PacketSender::Caller => (end.flow.caller, end.flow.service),
        PacketSender::Upstream => (end.flow.service, end.flow.caller),
    };
    let data_len = u16::try_from(end.data.len()).unwrap_or(u16::MAX);
    let mut packet = vec![0; HEAD_BYTES];
    packet[SEQ..SEQ + 4].copy_from_slice(&end.sequence.to_be_bytes());
    packet[ACK..ACK + 4].copy_from_slice(&acknowledged.to_be_bytes());
    packet[SPORT..SPORT + 2].copy_from_slice(&source.port().to_be_bytes());
    packet[DST..DST + 4].copy_from_slice(&destination.ip().octets());
    packet[DPORT..DPORT + 2].copy_from_slice(&destination.port().to_be_bytes());
    packet[SRC..SRC + 4].copy_from_slice(&source.ip().octets());
    packet[LEN..LEN + 2].copy_from_slice(&data_len.to_be_bytes());
    packet[FLAGS] = flags;
    packet.extend_from_slice(end.data);
    let sum = checksum(&covered(&packet));
    packet[SUM..SUM + 4].copy_from_slice(&sum.to_be_bytes());
    packet
}

/// Reads a packet that `sender` wrote.
///
/// # Errors
///
/// Returns why the bytes are not a packet.
pub fn decode(
    bytes: &[u8],
    sender: PacketSender,
    checksum: ChecksumFn,
) -> Result<EndHead<'_>, PacketError> {
    let head = packet::decode(bytes, sender)?;
    let sum = packet::u32_at(bytes, SUM);
    Ok(EndHead {
        head,
        sequence: packet::u32_at(bytes, SEQ),
        intact: sum == checksum(&covered(bytes)),
        from_system: sum == 0 && head.kind == PacketKind::Reset,
        request: packet::request_name(bytes),
        data: &bytes[HEAD_BYTES..],
    })
}

/// Marks a packet as one that an upstream does not take.
///
/// # Panics
///
/// Panics if `packet` is shorter than a head.
pub fn set_returned(packet: &mut [u8]) {
    packet[FLAGS] |= BOUNCED;
    packet[PAD..HEAD_BYTES].fill(0);
}

/// Returns the bytes that the checksum covers.
fn covered(packet: &[u8]) -> Vec<u8> {
    let mut bytes = packet.to_vec();
    bytes[SUM..SUM + 4].fill(0);
    bytes[ECHO..ECHO + 4].fill(0);
    bytes[PAD..HEAD_BYTES].fill(0);
    bytes[FLAGS] &= !BOUNCED;
    bytes
}

/// Returns the head of a request named `name`, as a caller writes it.
pub fn request(name: &str) -> Vec<u8> {
    format!("GET / HTTP/1.1\r\nX-Request-Id: {name}\r\n\r\n").into_bytes()
}
