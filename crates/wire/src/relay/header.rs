//! Header of a packet between entry and agent.

use super::terms::{decode_terms, encode_terms};
use super::{RelayError, KIND_FLOW, PREFIX_BYTES};
use crate::packet::WIRE_VERSION;
use quetzalhill_core::ids::{IncarnationNumber, ServiceDigest};
use quetzalhill_core::relay::intake::ReturnReason;
use quetzalhill_core::relay::terms::FlowTerms;
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Space for the prefix and the header of a packet, in bytes.
pub const RELAY_HEADER_MAX: usize = 24;

/// Number of elements in the postcard tuple of a header.
const FIELDS: usize = 3;

/// Header of a packet between entry and agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayHeader {
    /// From an entry to an agent: the packet is for the agent's endpoint.
    Deliver {
        /// Service of the packet, which must match the service of the endpoint.
        service: ServiceDigest,
        /// Whether the endpoint must accept a new flow even if it is busy, because the other endpoints are busy too. With
        /// a packet of an open flow, whether the agent must claim the flow if its upstream holds it; agents of earlier
        /// versions ignore it there.
        forced: bool,
        /// Requirements of the route on the requests of the flow, if the entry passes them on.
        terms: Option<FlowTerms>,
        /// First packets a second that the endpoint may take while it is cold, if its service has a limit.
        cold_limit: Option<u8>,
    },
    /// From an agent to an entry: the endpoint does not accept the packet.
    Return {
        /// Incarnation of the upstream; 0 until its first announcement.
        incarnation: IncarnationNumber,
        /// Reason for which the packet is returned.
        reason: ReturnReason,
    },
}

const TAG_DELIVER: u8 = 0;
const TAG_NOT_HELD: u8 = 1;
const TAG_NOT_READY: u8 = 2;
const TAG_WRONG_SERVICE: u8 = 3;
const TAG_BUSY: u8 = 4;
const TAG_FAILING: u8 = 5;
const TAG_DELIVER_TERMS: u8 = 6;
const TAG_COLD: u8 = 7;

// Serialization is implemented by hand, because every packet has this header and derived code would encode two nested
// enums.
impl Serialize for RelayHeader {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let (tag, value, detail) = match *self {
            RelayHeader::Deliver {
                service,
                forced,
                terms: None,
                cold_limit: None,
            } => (TAG_DELIVER, service, u32::from(forced)),
            RelayHeader::Deliver {
                service,
                forced,
                terms,
                cold_limit,
            } => (
                TAG_DELIVER_TERMS,
                service,
                encode_terms(forced, terms, cold_limit),
            ),
            RelayHeader::Return {
                incarnation,
                reason,
            } => (reason_tag(reason), incarnation, reason_detail(reason)),
        };
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&tag)?;
        tuple.serialize_element(&value)?;
        tuple.serialize_element(&detail)?;
        tuple.end()
    }
}

fn reason_tag(reason: ReturnReason) -> u8 {
    match reason {
        ReturnReason::NotHeld => TAG_NOT_HELD,
        ReturnReason::NotReady => TAG_NOT_READY,
        ReturnReason::WrongService => TAG_WRONG_SERVICE,
        ReturnReason::Busy { .. } => TAG_BUSY,
        ReturnReason::Failing => TAG_FAILING,
        ReturnReason::Cold { .. } => TAG_COLD,
    }
}

fn reason_detail(reason: ReturnReason) -> u32 {
    match reason {
        ReturnReason::Busy { requests } => requests,
        ReturnReason::Cold { wait_ms } => wait_ms,
        ReturnReason::NotHeld
        | ReturnReason::NotReady
        | ReturnReason::Failing
        | ReturnReason::WrongService => 0,
    }
}

struct HeaderVisitor;

impl<'de> Visitor<'de> for HeaderVisitor {
    type Value = RelayHeader;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a relay header of {FIELDS} elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<RelayHeader, A::Error> {
        let missing = || A::Error::custom("the relay header is too short");
        let tag: u8 = seq.next_element()?.ok_or_else(missing)?;
        let value: u64 = seq.next_element()?.ok_or_else(missing)?;
        let detail: u32 = seq.next_element()?.ok_or_else(missing)?;
        let reason = match tag {
            TAG_DELIVER => {
                return Ok(RelayHeader::Deliver {
                    service: value,
                    forced: detail != 0,
                    terms: None,
                    cold_limit: None,
                })
            }
            TAG_DELIVER_TERMS => return Ok(decode_terms(value, detail)),
            TAG_NOT_HELD => ReturnReason::NotHeld,
            TAG_NOT_READY => ReturnReason::NotReady,
            TAG_WRONG_SERVICE => ReturnReason::WrongService,
            TAG_BUSY => ReturnReason::Busy { requests: detail },
            TAG_FAILING => ReturnReason::Failing,
            TAG_COLD => ReturnReason::Cold { wait_ms: detail },
            _ => return Err(A::Error::custom("an unknown kind of relay header")),
        };
        Ok(RelayHeader::Return {
            incarnation: value,
            reason,
        })
    }
}

impl<'de> Deserialize<'de> for RelayHeader {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, HeaderVisitor)
    }
}

impl RelayHeader {
    /// Writes the header in front of the packet at `buffer[RELAY_HEADER_MAX..]` and returns the start of the datagram.
    ///
    /// The packet is not copied, because this runs for every packet.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError::Body`] if the buffer is shorter than a header.
    pub fn prepend_to(&self, buffer: &mut [u8]) -> Result<usize, RelayError> {
        let mut head = [0_u8; RELAY_HEADER_MAX];
        head[0] = WIRE_VERSION;
        head[1] = KIND_FLOW;
        let body = postcard::to_slice(self, &mut head[PREFIX_BYTES..]);
        let size = PREFIX_BYTES + body.map_err(|_| RelayError::Body)?.len();
        let start = RELAY_HEADER_MAX - size;
        let space = buffer.get_mut(start..RELAY_HEADER_MAX);
        space
            .ok_or(RelayError::Body)?
            .copy_from_slice(&head[..size]);
        Ok(start)
    }
}
