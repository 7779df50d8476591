//! Status of a node, served at `/status` on its admin address.
//!
//! The operators' commands read it, also from nodes of another version: unknown fields are ignored, and missing
//! fields get their default values.

use quetzalhill_core::catalogue::guard::ServiceUse;
use quetzalhill_core::ids::{RevisionNumber, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Kind of a node.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeRole {
    /// Forwards packets between callers and agents.
    #[default]
    Entry,
    /// Runs beside an upstream and serves as its endpoint.
    Agent,
}

impl NodeRole {
    /// Returns the name that the operators' commands print.
    pub fn name(self) -> &'static str {
        match self {
            NodeRole::Entry => "entry",
            NodeRole::Agent => "agent",
        }
    }
}

/// Use of one service on one node; an entry and an agent each fill in only their part.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct ServiceStatus {
    /// Endpoints that accept new flows, from the entry's member list.
    pub ready: u32,
    /// Endpoints that drain, from the entry's member list.
    pub draining: u32,
    /// Open flows of this endpoint.
    pub flows: u32,
    /// Requests in progress or in the queue of this endpoint.
    pub in_flight: u32,
    /// Requests in the queue of this endpoint.
    pub queue: u32,
    /// New flows of the last second on this entry.
    pub new_flows_per_s: u32,
}

impl ServiceStatus {
    /// Returns the figures that the guards of a catalogue change check.
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
    /// Control address of an entry, which identifies it, or packet socket address of an agent.
    pub address: Option<SocketAddrV4>,
    /// Version of the binary.
    pub version: String,
    /// Seconds since the process started.
    pub uptime_s: u64,
    /// Whether the node accepts new flows.
    pub ready: bool,
    /// Revision of the catalogue in force; 0 while there is none.
    pub revision: RevisionNumber,
    /// Digest of the catalogue in force, for comparison between nodes.
    pub digest: u64,
    /// Live entries in the node's member list, including itself.
    pub entries: u32,
    /// Whether the node holds a reader slot of its zone.
    pub reader: bool,
    /// Use of each service in an entry's catalogue or member list, or of an agent's own service.
    pub services: BTreeMap<ServiceName, ServiceStatus>,
}
