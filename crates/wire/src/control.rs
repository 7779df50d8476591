//! Control datagrams: membership, load reports and requests for work.

use crate::key::{KeyRing, TAG_BYTES};
use crate::packet::{
    check_prefix, DropReason, DATAGRAM_MAX, KIND_CONTROL, PREFIX_BYTES, WIRE_VERSION,
};
use quetzalhill_core::dispatch::LoadReport;
use quetzalhill_core::ids::EndpointId;
use quetzalhill_core::member::message::MemberMessage;
use serde::{Deserialize, Serialize};

/// Message that the control sockets of agents and entries receive.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ControlMessage {
    /// Membership message between an agent and an entry or between two entries.
    Member(Box<MemberMessage>),
    /// Load report from an agent to a peer of the same service.
    Load {
        /// Endpoint that sends the report.
        from: EndpointId,
        /// Sequence number; a report whose number is not above the last one is dropped as a late copy.
        sequence: u64,
        /// Load of the sender at the time of sending.
        report: LoadReport,
    },
    /// Request from an agent with a free slot for a queued request of a peer.
    Pull {
        /// Endpoint that has the free slot.
        from: EndpointId,
        /// Sequence number; a message whose number is not above the last one is dropped as a late copy.
        sequence: u64,
    },
}

impl ControlMessage {
    /// Encodes the message as a datagram with a tag under the current key.
    ///
    /// # Errors
    ///
    /// Returns [`DropReason::Long`] if the datagram would exceed [`DATAGRAM_MAX`] bytes.
    pub fn seal(&self, ring: &KeyRing) -> Result<Vec<u8>, DropReason> {
        let key = ring.current();
        let head = vec![WIRE_VERSION, KIND_CONTROL, key.number()];
        let mut datagram = postcard::to_extend(self, head).map_err(|_| DropReason::Body)?;
        let tag = key.tag(&[&datagram]);
        datagram.extend_from_slice(&tag);
        if datagram.len() > DATAGRAM_MAX {
            return Err(DropReason::Long);
        }
        Ok(datagram)
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns why the datagram must be dropped.
    pub fn open(ring: &KeyRing, datagram: &[u8]) -> Result<Self, DropReason> {
        let key = check_prefix(ring, datagram, KIND_CONTROL)?;
        let end = datagram.len() - TAG_BYTES;
        if key.tag(&[&datagram[..end]]) != datagram[end..] {
            return Err(DropReason::Tag);
        }
        postcard::from_bytes(&datagram[PREFIX_BYTES..end]).map_err(|_| DropReason::Body)
    }
}
