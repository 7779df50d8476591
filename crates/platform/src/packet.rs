//! Codec for the packets of flows between callers and upstreams.
//!
//! A header of 34 bytes in network byte order precedes the data. Only the two ends of a flow can compute the checksum,
//! so the relay must forward packets unchanged. The checksum does not cover `echo` and `pad`.

use quetzalhill_core::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Length of the packet header in bytes.
pub const HEAD_BYTES: usize = 34;

/// Largest number of data bytes after the header.
pub const DATA_MAX: usize = 1_200;

/// Largest packet in bytes, header included.
pub const PACKET_MAX: usize = HEAD_BYTES + DATA_MAX;

// Byte offsets of the header fields.
pub(crate) const SEQ: usize = 0;
pub(crate) const ACK: usize = 4;
pub(crate) const SUM: usize = 8;
pub(crate) const SPORT: usize = 12;
pub(crate) const DST: usize = 14;
pub(crate) const DPORT: usize = 18;
pub(crate) const SRC: usize = 20;
pub(crate) const LEN: usize = 24;
pub(crate) const ECHO: usize = 26;
pub(crate) const FLAGS: usize = 30;
pub(crate) const PAD: usize = 31;

// Bits of the flags field.
pub(crate) const SYN: u8 = 64;
pub(crate) const ACKED: u8 = 32;
pub(crate) const FIN: u8 = 4;
pub(crate) const RST: u8 = 16;
pub(crate) const RETURNED: u8 = 128;

/// End of a flow that sent a packet, which decides which of its two addresses is the caller's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketSender {
    /// Client of the service; the source address is the caller's.
    Caller,
    /// Server of the flow; the source address is the service's.
    Upstream,
}

/// Why bytes are not a valid packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PacketError {
    /// Shorter than the header.
    Short,
    /// The length field does not match the number of data bytes, or exceeds [`DATA_MAX`].
    Length,
}

/// A packet that arrived from an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamPacket {
    /// A packet that the upstream sends to the caller.
    Answer(PacketHead),
    /// A caller's packet that the upstream refused and sent back.
    Returned {
        /// Header of the caller's packet.
        head: PacketHead,
        /// Value that [`set_mark`] wrote before the packet was forwarded to the upstream.
        mark: u32,
    },
}

fn u16_at(packet: &[u8], offset: usize) -> u16 {
    u16::from_be_bytes([packet[offset], packet[offset + 1]])
}

pub(crate) fn u32_at(packet: &[u8], offset: usize) -> u32 {
    let bytes = [0, 1, 2, 3].map(|index| packet[offset + index]);
    u32::from_be_bytes(bytes)
}

fn address_at(packet: &[u8], ip: usize, port: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(u32_at(packet, ip)), u16_at(packet, port))
}

/// Decodes the header of a packet; does not verify the checksum.
///
/// # Errors
///
/// Returns why the bytes are not a valid packet.
pub fn decode(packet: &[u8], sender: PacketSender) -> Result<PacketHead, PacketError> {
    if packet.len() < HEAD_BYTES {
        return Err(PacketError::Short);
    }
    let data_len = packet.len() - HEAD_BYTES;
    if usize::from(u16_at(packet, LEN)) != data_len || data_len > DATA_MAX {
        return Err(PacketError::Length);
    }
    let source = address_at(packet, SRC, SPORT);
    let destination = address_at(packet, DST, DPORT);
    let (caller, service) = match sender {
        PacketSender::Caller => (source, destination),
        PacketSender::Upstream => (destination, source),
    };
    Ok(PacketHead {
        flow: FlowAddresses { caller, service },
        kind: kind_of(packet),
        sequence: u32_at(packet, SEQ),
        acknowledged: u32_at(packet, ACK),
        data_len,
    })
}

fn kind_of(packet: &[u8]) -> PacketKind {
    let flags = packet[FLAGS];
    if flags & RST != 0 {
        return PacketKind::Reset;
    }
    if flags & SYN != 0 {
        return match flags & ACKED != 0 {
            true => PacketKind::Accepting,
            // An opening packet acknowledges nothing, so callers use its `ack` field to count its retransmissions.
            false => PacketKind::Opening {
                copies: u32_at(packet, ACK),
            },
        };
    }
    match flags & FIN != 0 {
        true => PacketKind::Ending,
        false => PacketKind::Established,
    }
}

/// Decodes a packet that arrived from an upstream, which is either its own or a caller's that it returned.
///
/// # Errors
///
/// Returns why the bytes are not a valid packet.
pub fn decode_upstream(packet: &[u8]) -> Result<UpstreamPacket, PacketError> {
    if packet.len() < HEAD_BYTES {
        return Err(PacketError::Short);
    }
    if packet[FLAGS] & RETURNED == 0 {
        return decode(packet, PacketSender::Upstream).map(UpstreamPacket::Answer);
    }
    Ok(UpstreamPacket::Returned {
        head: decode(packet, PacketSender::Caller)?,
        mark: mark_of(packet),
    })
}

/// Writes `mark` into the `echo` field of a packet before it is forwarded to an upstream. If the upstream returns the
/// packet, it still contains the mark.
///
/// # Panics
///
/// Panics if `packet` is shorter than the header.
pub fn set_mark(packet: &mut [u8], mark: u32) {
    packet[ECHO..ECHO + 4].copy_from_slice(&mark.to_be_bytes());
}

/// Returns the mark that [`set_mark`] wrote into a packet.
///
/// # Panics
///
/// Panics if `packet` is shorter than the header.
pub fn mark_of(packet: &[u8]) -> u32 {
    u32_at(packet, ECHO)
}

/// Restores a returned packet to what the caller sent: clears the mark and the flag of a returned packet.
///
/// # Panics
///
/// Panics if `packet` is shorter than the header.
pub fn restore(packet: &mut [u8]) {
    packet[FLAGS] &= !RETURNED;
    set_mark(packet, 0);
}

/// Encodes a reset of the flow of `head`, to be sent to its caller. Its checksum is 0, since only the ends of a flow
/// can compute one.
pub fn encode_reset(head: &PacketHead) -> [u8; HEAD_BYTES] {
    // A caller whose flow is not open yet accepts a reset with any sequence number.
    let sequence = match head.kind {
        PacketKind::Opening { .. } => 0,
        _ => head.acknowledged,
    };
    encode_flow_reset(head.flow, sequence)
}

/// Encodes a reset of an open flow whose caller has acknowledged `sequence` bytes, or a few more or less.
pub fn encode_flow_reset(flow: FlowAddresses, sequence: u32) -> [u8; HEAD_BYTES] {
    let mut packet = [0; HEAD_BYTES];
    let FlowAddresses { caller, service } = flow;
    packet[SEQ..ACK].copy_from_slice(&sequence.to_be_bytes());
    packet[SUM..SPORT].copy_from_slice(&[0; 4]);
    packet[SPORT..DST].copy_from_slice(&service.port().to_be_bytes());
    packet[DST..DPORT].copy_from_slice(&caller.ip().octets());
    packet[DPORT..SRC].copy_from_slice(&caller.port().to_be_bytes());
    packet[SRC..LEN].copy_from_slice(&service.ip().octets());
    packet[FLAGS] = RST;
    packet
}

/// HTTP header that carries the id of a request.
const REQUEST_ID_HEADER: &[u8] = b"x-request-id:";

/// Returns the id of the HTTP request that starts in a caller's packet, if one does and has an id.
///
/// The id is used only in the log; the relay otherwise treats the data of a flow as opaque. The id is not found if the
/// request's head spans several packets and the header is not in the first one.
pub fn request_id(packet: &[u8]) -> Option<&str> {
    let data = packet.get(HEAD_BYTES..)?;
    if !data.starts_with(b"GET ") && !data.starts_with(b"POST ") {
        return None;
    }
    for line in data.split(|byte| *byte == b'\n') {
        let Some(name) = line.get(..REQUEST_ID_HEADER.len()) else {
            continue;
        };
        if !name.eq_ignore_ascii_case(REQUEST_ID_HEADER) {
            continue;
        }
        let value = std::str::from_utf8(&line[REQUEST_ID_HEADER.len()..]).ok()?;
        return Some(value.trim());
    }
    None
}
