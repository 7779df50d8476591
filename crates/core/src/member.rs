//! Membership of the fleet: the records of endpoints and entries that gossip replicates to every entry.
//!
//! An agent announces its endpoint record to a few entries, and the entries gossip it to each other. Only the
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
mod monitor;
mod probe;
pub mod routes;
mod spread;
mod sync;
mod zones;

/// Lifecycle state of an endpoint.
///
/// The order decides between records with the same incarnation and sequence number: the later state wins.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum EndpointState {
    /// The agent runs, but its upstream is not in service: it has not started yet or has failed.
    Starting,
    /// The endpoint accepts new flows.
    Ready,
    /// The endpoint accepts no new flows and finishes those that it has.
    Draining,
    /// The endpoint has stopped or has been removed after it failed.
    Left,
}

/// Orders the records of one endpoint; a higher version replaces a lower one.
///
/// Within one incarnation only the agent raises the sequence number, and an entry that removes a silent endpoint
/// leaves it unchanged. So an agent that was removed by mistake returns with a higher sequence number, and its
/// connection IDs, which carry the incarnation, stay valid.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RecordVersion {
    /// Number of the agent's run at this address; a later run has a higher one.
    pub incarnation: IncarnationNumber,
    /// Counts the changes of the record within that incarnation.
    pub sequence: u32,
    /// State, which only advances while the sequence number stays the same.
    pub state: EndpointState,
}

/// Describes one endpoint, as its agent announces it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointRecord {
    /// Identity, which is also the address of the agent's packet socket.
    pub id: EndpointId,
    /// Number of the agent's run at this address; a later run has a higher one.
    pub incarnation: IncarnationNumber,
    /// Counts the changes of this record within one incarnation.
    pub sequence: u32,
    /// Name of the service, as the agent's settings give it.
    pub service: ServiceName,
    /// Number of the service in the agent's catalogue; 0 while it is unknown.
    pub number: ServiceNumber,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address at which the agent receives load reports (UDP) and handed-over requests (TCP) from its peers.
    pub peer: SocketAddrV4,
    /// Lifecycle state; the agent sets it, and an entry that removes the endpoint sets it to `Left`.
    pub state: EndpointState,
    /// Most requests that the upstream runs at the same time.
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

/// Describes one entry, as the entry itself announces it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// Identity, which is also the address of the entry's control socket.
    pub id: EntryId,
    /// Number of the entry's run at this address; the entry also raises it to refute a suspicion.
    pub incarnation: IncarnationNumber,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address at which the entry receives packets from agents.
    pub data: SocketAddrV4,
}

impl EntryRecord {
    /// Returns the address of the entry's control socket.
    pub fn address(&self) -> SocketAddrV4 {
        address_of(self.id)
    }
}
