//! What a node tells operators at `/status` on its admin address.
//!
//! The operators' commands read it, also from nodes of another version: unknown fields are ignored and missing
//! ones take their default.

use quetzalhill_core::catalogue::guard::ServiceUse;
use quetzalhill_core::ids::{RevisionNumber, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Kind of a node.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeRole {
    /// Forwards packets.
    #[default]
    Entry,
    /// Stands beside an upstream.
    Agent,
}

impl NodeRole {
    /// Returns the name used in tables.
    pub fn name(self) -> &'static str {
        match self {
            NodeRole::Entry => "entry",
            NodeRole::Agent => "agent",
        }
    }
}

/// Use of one service as a node sees it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ServiceStatus {
    /// Endpoints that take new flows, as an entry knows them.
    pub ready: u32,
    /// Endpoints that drain, as an entry knows them.
    pub draining: u32,
    /// Open flows on this endpoint.
    pub flows: u32,
    /// Requests in progress or in the queue of this endpoint.
    pub in_flight: u32,
    /// Requests in the queue of this endpoint.
    pub queue: u32,
    /// New flows in the last second on this entry.
    pub new_flows_per_s: u32,
}

impl ServiceStatus {
    /// Returns the facts that the guards of a change look at.
    pub fn service_use(&self) -> ServiceUse {
        ServiceUse {
            ready: self.ready,
            flows: self.flows,
            in_flight: self.in_flight,
            queue: self.queue,
            new_flows_per_s: self.new_flows_per_s,
        }
    }
}

/// Status of one node.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct NodeStatus {
    /// Kind of the node.
    pub role: NodeRole,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Control address, the identity of an entry; an agent gives the address of its packet socket.
    pub address: Option<SocketAddrV4>,
    /// Version of the program.
    pub version: String,
    /// Seconds since the process started.
    pub uptime_s: u64,
    /// Whether the node takes new flows.
    pub ready: bool,
    /// Catalogue revision in force; 0 while none is.
    pub revision: RevisionNumber,
    /// Digest of that catalogue.
    pub digest: u64,
    /// Live entries that the node knows, itself included.
    pub entries: u32,
    /// Whether the node holds a reader slot of its zone.
    pub reader: bool,
    /// Services that the node knows.
    pub services: BTreeMap<ServiceName, ServiceStatus>,
}
