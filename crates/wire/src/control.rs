//! Control datagrams: announcements, gossip and load.

use crate::key::{KeyRing, TAG_BYTES};
use crate::packet::{
    check_prefix, DropReason, DATAGRAM_MAX, KIND_CONTROL, PREFIX_BYTES, WIRE_VERSION,
};
use quetzalhill_core::dispatch::LoadReport;
use quetzalhill_core::ids::EndpointId;
use quetzalhill_core::member::message::MemberMessage;
use serde::{Deserialize, Serialize};

/// Everything that control sockets receive.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ControlMessage {
    /// Membership between agents and entries and among entries.
    Member(Box<MemberMessage>),
    /// An agent tells a peer of its load.
    Load {
        /// The endpoint that reports.
        from: EndpointId,
        /// Counts the reports, so that late copies are dropped.
        beat: u64,
        /// The load.
        report: LoadReport,
    },
    /// An agent with a free slot asks a peer for waiting work.
    Pull {
        /// The endpoint that asks.
        from: EndpointId,
        /// Counts the requests, so that late copies are dropped.
        beat: u64,
    },
}

impl ControlMessage {
    /// Returns the datagram for this message.
    ///
    /// # Errors
    ///
    /// Returns [`DropReason::Long`] if the message does not fit a datagram.
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

    /// Checks and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns why the datagram has to be dropped.
    pub fn open(ring: &KeyRing, datagram: &[u8]) -> Result<Self, DropReason> {
        let key = check_prefix(ring, datagram, KIND_CONTROL)?;
        let end = datagram.len() - TAG_BYTES;
        if key.tag(&[&datagram[..end]]) != datagram[end..] {
            return Err(DropReason::Tag);
        }
        postcard::from_bytes(&datagram[PREFIX_BYTES..end]).map_err(|_| DropReason::Body)
    }
}
