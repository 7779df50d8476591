//! Version-independent properties of QUIC packets (RFC 8999).
//!
//! An entry reads nothing else of a packet, so that callers may use QUIC versions that the entry does not support.

use crate::cid::{CidContent, CID_BYTES};
use crate::key::KeyRing;
use quetzalhill_core::packet::{EmbeddedRoute, FlowStage, ParsedPacket};

/// Bit of the first byte that is set in a long header.
const LONG_HEADER: u8 = 0x80;

/// Bytes in front of the connection IDs of a long header: the first byte and the version.
const LONG_PREFIX: usize = 5;

/// Bytes in front of the connection ID of a short header: the first byte.
const SHORT_PREFIX: usize = 1;

/// Version-independent part of the first packet header in a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvariantHeader<'a> {
    /// [`FlowStage::Opening`] for a long header, [`FlowStage::Established`] for a short one.
    pub stage: FlowStage,
    /// The destination connection ID. A short header does not contain its length; agents issue IDs of [`CID_BYTES`].
    pub destination: &'a [u8],
}

impl<'a> InvariantHeader<'a> {
    /// Parses the first header of a datagram; `None` if the datagram ends within the header.
    pub fn parse(datagram: &'a [u8]) -> Option<Self> {
        let first = *datagram.first()?;
        match first & LONG_HEADER {
            0 => Self::parse_short(datagram),
            _ => Self::parse_long(datagram),
        }
    }

    fn parse_short(datagram: &'a [u8]) -> Option<Self> {
        let destination = datagram.get(SHORT_PREFIX..SHORT_PREFIX + CID_BYTES)?;
        Some(Self {
            stage: FlowStage::Established,
            destination,
        })
    }

    fn parse_long(datagram: &'a [u8]) -> Option<Self> {
        let (destination, rest) = split_id(datagram.get(LONG_PREFIX..)?)?;
        let _source = split_id(rest)?;
        Some(Self {
            stage: FlowStage::Opening,
            destination,
        })
    }
}

/// Splits off a connection ID that is prefixed with its length in one byte.
fn split_id(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (&length, rest) = bytes.split_first()?;
    rest.split_at_checked(usize::from(length))
}

/// Parses a datagram for the packet filter chain; `None` if it has no valid header.
pub fn parse_packet<'a>(ring: &KeyRing, datagram: &'a [u8]) -> Option<ParsedPacket<'a>> {
    let header = InvariantHeader::parse(datagram)?;
    let content = CidContent::open(ring, header.destination);
    Some(ParsedPacket {
        stage: header.stage,
        key: header.destination,
        embedded: content.map(|content| EmbeddedRoute {
            agent: content.address,
            service: content.service,
            incarnation: content.incarnation,
        }),
    })
}
