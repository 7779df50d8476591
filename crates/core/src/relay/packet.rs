//! Facts about one packet of an opaque flow, independent of its encoding.

use std::fmt::{Display, Formatter, Result as FormatResult};
use std::net::SocketAddrV4;

/// The two ends of a flow, as its packets name them; the same for every packet of the flow.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FlowAddresses {
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address of the service that the caller uses.
    pub service: SocketAddrV4,
}

/// Bytes of [`FlowAddresses::to_bytes`].
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

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketKind {
    /// The first packet of a caller.
    Opening {
        /// Copies that the caller has sent before this one because no answer arrived.
        copies: u32,
    },
    /// The upstream accepts the flow.
    Accepting,
    /// Any packet in between.
    Established,
    /// The sender will send no more data.
    Ending,
    /// The sender does not know the flow or gives it up.
    Reset,
}

/// What the head of a packet says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PacketHead {
    /// The flow.
    pub flow: FlowAddresses,
    /// What the packet does to the flow.
    pub kind: PacketKind,
    /// Bytes of the flow that the sender has received; a reset has to be near it to be accepted.
    pub acknowledged: u32,
    /// Bytes of data in the packet.
    pub data_len: usize,
}
