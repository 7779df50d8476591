//! Decoded head of a packet of an opaque flow, independent of its encoding.

use std::fmt::{Display, Formatter, Result as FormatResult};
use std::net::SocketAddrV4;

/// Addresses of the two ends of a flow, which are the same in every packet of the flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FlowAddresses {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address of the service to which the caller opened the flow.
    pub service: SocketAddrV4,
}

/// Length of [`FlowAddresses::to_bytes`] in bytes.
pub const FLOW_BYTES: usize = 12;

impl FlowAddresses {
    /// Returns the addresses and ports in network byte order, as input of a hash.
    pub fn to_bytes(self) -> [u8; FLOW_BYTES] {
        let mut bytes = [0; FLOW_BYTES];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.service.ip().octets());
        bytes[10..].copy_from_slice(&self.service.port().to_be_bytes());
        bytes
    }
}

impl Display for FlowAddresses {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        write!(f, "{}>{}", self.caller, self.service)
    }
}

/// Effect of a packet on its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketKind {
    /// The caller opens the flow with its first packet.
    Opening {
        /// Number of copies that the caller has sent before this one because no answer arrived.
        copies: u32,
    },
    /// The upstream accepts the flow.
    Accepting,
    /// A packet of an established flow.
    Established,
    /// The sender will send no more data.
    Ending,
    /// The sender does not know the flow or aborts it.
    Reset,
}

/// Fields of a packet that decisions need.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PacketHead {
    /// Flow to which the packet belongs.
    pub flow: FlowAddresses,
    /// Effect of the packet on the flow.
    pub kind: PacketKind,
    /// Number of the first byte of data among all bytes that the sender has sent; wraps around.
    pub sequence: u32,
    /// Number of bytes that the sender has received; a reset is accepted only with a value near it.
    pub acknowledged: u32,
    /// Bytes of data in the packet.
    pub data_len: usize,
}

impl PacketHead {
    /// Returns the sequence number of the byte after the data of the packet.
    pub fn end(&self) -> u32 {
        let data_len = u32::try_from(self.data_len).unwrap_or(u32::MAX);
        self.sequence.wrapping_add(data_len)
    }
}

/// Returns how many bytes `position` is behind `other` in the sequence of a flow, or `None` if it is before it.
pub fn bytes_after(position: u32, other: u32) -> Option<u32> {
    let distance = position.wrapping_sub(other);
    // Sequence numbers wrap around, so that the shorter way between two of them tells their order.
    (distance < 1 << 31).then_some(distance)
}
