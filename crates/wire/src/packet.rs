//! The header in front of each QUIC datagram between entry and agent.
//!
//! A datagram consists of version, kind, key number, postcard header, payload and tag. The tag covers the header,
//! the length of the payload and its first 16 bytes; QUIC itself protects the rest. See docs/design.md, section 5.

use crate::key::{ControlKey, KeyRing, TAG_BYTES};
use quetzalhill_core::ids::ServiceNumber;
use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Version byte of all datagrams and of the hellos of TCP connections.
pub const WIRE_VERSION: u8 = 1;

/// Kind byte of a datagram that carries a QUIC packet.
pub const KIND_PACKET: u8 = 1;

/// Kind byte of a datagram that carries a control message.
pub const KIND_CONTROL: u8 = 2;

/// Bytes before the postcard body: version, kind, key number.
pub const PREFIX_BYTES: usize = 3;

/// Space for the prefix and the header, in bytes.
pub const HEADER_MAX: usize = 64;

/// Largest datagram that a process accepts, in bytes.
pub const DATAGRAM_MAX: usize = 2048;

/// Number of payload bytes that the tag covers.
const TAGGED_PAYLOAD: usize = 16;

/// Number of elements in the postcard tuple of a header.
const FIELDS: usize = 10;

/// Direction of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PacketDirection {
    /// From a caller to an agent.
    ToAgent,
    /// From an agent to a caller.
    ToCaller,
}

/// Routing information of one packet between entry and agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PacketHeader {
    /// Direction of the packet.
    pub direction: PacketDirection,
    /// Address of the caller.
    pub caller: SocketAddrV4,
    /// Address of the service that the caller uses.
    pub service_address: SocketAddrV4,
    /// Service to which the sender assigned the packet.
    pub service: ServiceNumber,
    /// Low bits of the incarnation from the connection ID; 0 in the first packets of a flow.
    pub incarnation: u32,
    /// Endpoint to which the agent forwards the first packet of a flow that it does not accept.
    pub second: Option<SocketAddrV4>,
    /// Number of agents that have forwarded the packet.
    pub hops: u8,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropReason {
    /// The datagram is shorter than prefix and tag.
    Short,
    /// The datagram is longer than [`DATAGRAM_MAX`] or does not fit its buffer.
    Long,
    /// The version byte is not [`WIRE_VERSION`].
    Version,
    /// This socket does not accept datagrams of this kind.
    Kind,
    /// No valid key has this number.
    Key,
    /// The tag does not match.
    Tag,
    /// The body cannot be encoded or decoded.
    Body,
}

fn pack(address: SocketAddrV4) -> u64 {
    quetzalhill_core::ids::id_of(address)
}

fn unpack(value: u64) -> SocketAddrV4 {
    quetzalhill_core::ids::address_of(value)
}

// Serialization is implemented by hand, because derived code would encode addresses as nested enums and take about
// twice the bytes per packet.
impl Serialize for PacketHeader {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&(self.direction == PacketDirection::ToCaller))?;
        tuple.serialize_element(&self.caller.ip().octets())?;
        tuple.serialize_element(&self.caller.port())?;
        tuple.serialize_element(&self.service_address.ip().octets())?;
        tuple.serialize_element(&self.service_address.port())?;
        tuple.serialize_element(&self.service)?;
        tuple.serialize_element(&self.incarnation)?;
        tuple.serialize_element(&self.second.is_some())?;
        tuple.serialize_element(&self.second.map_or(0, pack))?;
        tuple.serialize_element(&self.hops)?;
        tuple.end()
    }
}

struct HeaderVisitor;

impl<'de> Visitor<'de> for HeaderVisitor {
    type Value = PacketHeader;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a packet header of {FIELDS} elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<PacketHeader, A::Error> {
        fn next<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(seq: &mut A) -> Result<T, A::Error> {
            let missing = || serde::de::Error::custom("the packet header is too short");
            seq.next_element()?.ok_or_else(missing)
        }
        let to_caller: bool = next(&mut seq)?;
        let caller_ip: [u8; 4] = next(&mut seq)?;
        let caller_port: u16 = next(&mut seq)?;
        let service_ip: [u8; 4] = next(&mut seq)?;
        let service_port: u16 = next(&mut seq)?;
        let service = next(&mut seq)?;
        let incarnation = next(&mut seq)?;
        let has_second: bool = next(&mut seq)?;
        let second: u64 = next(&mut seq)?;
        let hops = next(&mut seq)?;
        Ok(PacketHeader {
            direction: match to_caller {
                true => PacketDirection::ToCaller,
                false => PacketDirection::ToAgent,
            },
            caller: SocketAddrV4::new(Ipv4Addr::from(caller_ip), caller_port),
            service_address: SocketAddrV4::new(Ipv4Addr::from(service_ip), service_port),
            service,
            incarnation,
            second: has_second.then(|| unpack(second)),
            hops,
        })
    }
}

impl<'de> Deserialize<'de> for PacketHeader {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, HeaderVisitor)
    }
}

impl PacketHeader {
    /// Writes the header in front of the payload at `buffer[HEADER_MAX..HEADER_MAX + length]` and the tag after it, and
    /// returns the range of the whole datagram.
    ///
    /// The payload is not copied, because this runs for every packet.
    ///
    /// # Errors
    ///
    /// Returns [`DropReason::Long`] if the datagram does not fit the buffer.
    pub fn seal(
        &self,
        ring: &KeyRing,
        buffer: &mut [u8],
        length: usize,
    ) -> Result<std::ops::Range<usize>, DropReason> {
        let end = HEADER_MAX + length;
        if buffer.len() < end + TAG_BYTES {
            return Err(DropReason::Long);
        }
        let key = ring.current();
        let mut head = [0_u8; HEADER_MAX];
        head[0] = WIRE_VERSION;
        head[1] = KIND_PACKET;
        head[2] = key.number();
        let body =
            postcard::to_slice(self, &mut head[PREFIX_BYTES..]).map_err(|_| DropReason::Long)?;
        let size = PREFIX_BYTES + body.len();
        let start = HEADER_MAX - size;
        buffer[start..HEADER_MAX].copy_from_slice(&head[..size]);
        let tag = payload_tag(key, &head[..size], &buffer[HEADER_MAX..end]);
        buffer[end..end + TAG_BYTES].copy_from_slice(&tag);
        Ok(start..end + TAG_BYTES)
    }

    /// Verifies a datagram and returns its header and the range of its payload.
    ///
    /// # Errors
    ///
    /// Returns why the datagram has to be dropped.
    pub fn open(
        ring: &KeyRing,
        datagram: &[u8],
    ) -> Result<(PacketHeader, std::ops::Range<usize>), DropReason> {
        let key = check_prefix(ring, datagram, KIND_PACKET)?;
        let end = datagram.len() - TAG_BYTES;
        let (header, rest) =
            postcard::take_from_bytes::<PacketHeader>(&datagram[PREFIX_BYTES..end])
                .map_err(|_| DropReason::Body)?;
        let start = end - rest.len();
        let tag = payload_tag(key, &datagram[..start], rest);
        if tag != datagram[end..] {
            return Err(DropReason::Tag);
        }
        Ok((header, start..end))
    }
}

/// Checks the length, version and kind of a datagram and returns the key with which its tag must be verified.
///
/// # Errors
///
/// Returns why the datagram has to be dropped.
pub(crate) fn check_prefix<'a>(
    ring: &'a KeyRing,
    datagram: &[u8],
    kind: u8,
) -> Result<&'a ControlKey, DropReason> {
    if datagram.len() < PREFIX_BYTES + TAG_BYTES {
        return Err(DropReason::Short);
    }
    if datagram.len() > DATAGRAM_MAX {
        return Err(DropReason::Long);
    }
    if datagram[0] != WIRE_VERSION {
        return Err(DropReason::Version);
    }
    if datagram[1] != kind {
        return Err(DropReason::Kind);
    }
    ring.find(datagram[2]).ok_or(DropReason::Key)
}

fn payload_tag(key: &ControlKey, head: &[u8], payload: &[u8]) -> [u8; TAG_BYTES] {
    // CAST: Payload lengths fit 64 bits on every supported target.
    let length = (payload.len() as u64).to_le_bytes();
    let covered = &payload[..payload.len().min(TAGGED_PAYLOAD)];
    key.tag(&[head, &length, covered])
}
