//! Packets of flows between callers and upstreams.
//!
//! A head of 34 bytes in network byte order precedes the data. Only the two ends can compute its checksum, so that
//! a packet is passed on as it came; `echo` and `pad` are outside the checksum.

use quetzalhill_core::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Bytes of the head.
pub const HEAD_BYTES: usize = 34;

/// Most bytes of data behind the head.
pub const DATA_MAX: usize = 1_200;

/// Most bytes of a packet.
pub const PACKET_MAX: usize = HEAD_BYTES + DATA_MAX;

// Offsets of the fields.
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

pub(crate) const SYN: u8 = 64;
pub(crate) const ACKED: u8 = 32;
pub(crate) const FIN: u8 = 4;
pub(crate) const RST: u8 = 16;
pub(crate) const BOUNCED: u8 = 128;

/// Which end sent a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketSender {
    /// The caller.
    Caller,
    /// The upstream.
    Upstream,
}

/// Why bytes are not a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PacketError {
    /// Shorter than a head.
    Short,
    /// The length in the head is not that of the data.
    Length,
}

/// A packet that came from an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamPacket {
    /// A packet of the upstream itself, for the caller.
    Answer(PacketHead),
    /// A caller's packet that the upstream does not take.
    Returned {
        /// Head of the caller's packet.
        head: PacketHead,
        /// Mark that [`mark`] had set when the packet was given to the upstream.
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

/// Decodes the head of a packet.
///
/// # Errors
///
/// Returns why the bytes are not a packet.
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
            // A first packet acknowledges nothing; the field counts its copies.
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

/// Decodes a packet that came from an upstream.
///
/// # Errors
///
/// Returns why the bytes are not a packet.
pub fn decode_upstream(packet: &[u8]) -> Result<UpstreamPacket, PacketError> {
    if packet.len() < HEAD_BYTES {
        return Err(PacketError::Short);
    }
    if packet[FLAGS] & BOUNCED == 0 {
        return decode(packet, PacketSender::Upstream).map(UpstreamPacket::Answer);
    }
    Ok(UpstreamPacket::Returned {
        head: decode(packet, PacketSender::Caller)?,
        mark: u32_at(packet, ECHO),
    })
}

/// Writes a mark into a packet that is given to an upstream; the upstream returns it with the packet.
///
/// # Panics
///
/// Panics if `packet` is shorter than a head.
pub fn mark(packet: &mut [u8], mark: u32) {
    packet[ECHO..ECHO + 4].copy_from_slice(&mark.to_be_bytes());
}

/// Makes a returned packet what it was when the caller sent it.
///
/// # Panics
///
/// Panics if `packet` is shorter than a head.
pub fn restore(packet: &mut [u8]) {
    packet[FLAGS] &= !BOUNCED;
    mark(packet, 0);
}

/// Makes the packet that tells the caller of `head` that there is no flow.
pub fn encode_reset(head: &PacketHead) -> [u8; HEAD_BYTES] {
    let mut packet = [0; HEAD_BYTES];
    let FlowAddresses { caller, service } = head.flow;
    // While no flow is open, any number is accepted.
    let sequence = match head.kind {
        PacketKind::Opening { .. } => 0,
        _ => head.acknowledged,
    };
    packet[SEQ..ACK].copy_from_slice(&sequence.to_be_bytes());
    packet[SUM..SPORT].copy_from_slice(&[0; 4]);
    packet[SPORT..DST].copy_from_slice(&service.port().to_be_bytes());
    packet[DST..DPORT].copy_from_slice(&caller.ip().octets());
    packet[DPORT..SRC].copy_from_slice(&caller.port().to_be_bytes());
    packet[SRC..LEN].copy_from_slice(&service.ip().octets());
    packet[FLAGS] = RST;
    packet
}

/// Header in which a caller names its request.
const REQUEST_HEADER: &[u8] = b"x-request-id:";

/// Returns the name of the request that begins in a caller's packet, if one does.
///
/// Requests are read only for the log: the bytes of a flow belong to its two ends. A request whose head spans
/// several packets has no name here.
pub fn request_name(packet: &[u8]) -> Option<&str> {
    let data = packet.get(HEAD_BYTES..)?;
    if !data.starts_with(b"GET ") && !data.starts_with(b"POST ") {
        return None;
    }
    for line in data.split(|byte| *byte == b'\n') {
        let Some(name) = line.get(..REQUEST_HEADER.len()) else {
            continue;
        };
        if !name.eq_ignore_ascii_case(REQUEST_HEADER) {
            continue;
        }
        let value = std::str::from_utf8(&line[REQUEST_HEADER.len()..]).ok()?;
        return Some(value.trim());
    }
    None
}
