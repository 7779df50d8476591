//! Endpoint and entry records, the facts that membership spreads.
//!
//! An agent announces its endpoint record to a few entries, and entries spread it among themselves. Only the
//! process that a record describes raises its incarnation. See docs/design.md, sections 4 and 5.

use crate::ids::{
    address_of, EndpointId, EntryId, IncarnationNumber, ServiceName, ServiceNumber, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

pub mod announce;
pub mod controller;
mod endpoints;
mod entries;
mod health;
mod index;
mod merge;
pub mod message;
mod probe;
pub mod routes;
mod sponsor;
mod spread;
mod sync;
mod zones;

/// What an endpoint says of itself; ordered so that a later state of one incarnation wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum EndpointState {
    /// The agent runs, its upstream does not answer yet.
    Starting,
    /// The endpoint takes new flows.
    Ready,
    /// The endpoint takes no new flows and finishes what it holds.
    Draining,
    /// The endpoint has stopped or has been removed after it failed.
    Left,
}

/// Orders the records of one endpoint; a higher version replaces a lower one.
///
/// Within one incarnation only the agent raises the sequence number, and an entry that removes a silent endpoint
/// keeps it. So an agent that was removed by mistake returns with a higher sequence number, and its connection
/// IDs, which carry the incarnation, stay valid.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RecordVersion {
    /// Life of the agent.
    pub incarnation: IncarnationNumber,
    /// Counts the changes within that life.
    pub sequence: u32,
    /// State, which only moves forward under one sequence number.
    pub state: EndpointState,
}

/// What an agent announces of its endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointRecord {
    /// Identity, which is also the address of the agent's packet socket.
    pub id: EndpointId,
    /// Life of the agent at this address.
    pub incarnation: IncarnationNumber,
    /// Counts the changes of this record within one incarnation.
    pub sequence: u32,
    /// Name of the service, as the agent's settings give it.
    pub service: ServiceName,
    /// Number of the service as the agent's catalogue has it; 0 while it is unknown.
    pub number: ServiceNumber,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Where the agent receives load reports (UDP) and handed-over requests (TCP) from its peers.
    pub peer: SocketAddrV4,
    /// State that the agent announces.
    pub state: EndpointState,
    /// Requests that the upstream runs at the same time.
    pub slots: u16,
}

impl EndpointRecord {
    /// Returns the address of the agent's packet socket.
    pub fn address(&self) -> SocketAddrV4 {
        address_of(self.id)
    }

    /// Returns the part of the record that orders it among the records of the same endpoint.
    pub fn version(&self) -> RecordVersion {
        RecordVersion {
            incarnation: self.incarnation,
            sequence: self.sequence,
            state: self.state,
        }
    }

    /// Returns whether this record replaces `other` of the same endpoint.
    pub fn supersedes(&self, other: &EndpointRecord) -> bool {
        self.version() > other.version()
    }
}

/// What an entry says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// Identity, which is also the address of the entry's control socket.
    pub id: EntryId,
    /// Life of the entry at this address.
    pub incarnation: IncarnationNumber,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Where the entry receives packets from agents.
    pub data: SocketAddrV4,
}

impl EntryRecord {
    /// Returns the address of the entry's control socket.
    pub fn address(&self) -> SocketAddrV4 {
        address_of(self.id)
    }
}
