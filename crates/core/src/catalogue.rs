//! The catalogue of services, as one immutable snapshot.
//!
//! Operators edit it, the platform's store keeps it, and every instance holds the last revision that passed
//! validation. See docs/design.md, section 4.

pub mod change;
mod digest;
pub mod guard;
pub mod reader;
pub mod validate;

use crate::ids::{DigestValue, OwnerName, RevisionNumber, ServiceName, ServiceNumber};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// How urgent the traffic of a service or of a request is; ordered from most to least urgent.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum TrafficClass {
    /// Served first when demand exceeds capacity.
    Urgent,
    /// Served after urgent traffic.
    #[default]
    Standard,
    /// Served with what the other classes leave.
    Bulk,
}

impl TrafficClass {
    /// All classes, most urgent first.
    pub const ALL: [TrafficClass; 3] = [
        TrafficClass::Urgent,
        TrafficClass::Standard,
        TrafficClass::Bulk,
    ];

    /// Returns the position of the class in [`TrafficClass::ALL`].
    pub fn index(self) -> usize {
        match self {
            TrafficClass::Urgent => 0,
            TrafficClass::Standard => 1,
            TrafficClass::Bulk => 2,
        }
    }

    /// Returns the name used in the catalogue, in logs and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            TrafficClass::Urgent => "urgent",
            TrafficClass::Standard => "standard",
            TrafficClass::Bulk => "bulk",
        }
    }
}

/// Gives the requests below a path prefix a class of their own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PathClass {
    /// Prefix of the request path, starting with `/`.
    pub prefix: String,
    /// Class of the requests whose path starts with `prefix`.
    pub class: TrafficClass,
}

/// What a service may use; the defaults serve a small site.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSet {
    /// Open flows per endpoint.
    pub flows: u32,
    /// New flows a second per entry.
    pub new_flows_per_s: u32,
    /// Requests that one endpoint runs or holds in its queue for this service.
    pub in_flight: u32,
    /// Requests that one endpoint holds in its queue.
    pub queue: u32,
    /// Share of the slots, from 0 to 1, that bulk and long-running requests may occupy.
    pub slot_share: f64,
    /// Extra attempts as a fraction of requests, from 0 to 1.
    pub retry_budget: f64,
    /// Deadline of a request that names none, in milliseconds after its arrival.
    pub deadline_ms: u64,
    /// Longest deadline a request may name, in milliseconds after its arrival.
    pub max_deadline_ms: u64,
}

impl Default for LimitSet {
    fn default() -> Self {
        Self {
            flows: 4_000,
            new_flows_per_s: 4_000,
            in_flight: 512,
            queue: 256,
            slot_share: 0.72,
            retry_budget: 0.1,
            deadline_ms: 10_000,
            max_deadline_ms: 3_600_000,
        }
    }
}

/// One service of the catalogue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Number of the service; 0 until the first `apply` assigns one.
    #[serde(default)]
    pub number: ServiceNumber,
    /// Who answers for the service and shares its limits.
    pub owner: OwnerName,
    /// Class of the requests for which no path prefix says otherwise.
    #[serde(default)]
    pub class: TrafficClass,
    /// Addresses that callers use; no two services share one.
    pub addresses: SmallVec<[SocketAddrV4; 2]>,
    /// Classes by path prefix; the longest matching prefix decides.
    #[serde(default)]
    pub path_classes: SmallVec<[PathClass; 2]>,
    /// What the service may use.
    #[serde(default)]
    pub limits: LimitSet,
}

/// One revision of the whole catalogue.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CatalogueSnapshot {
    /// Revision of this snapshot; 0 means that none has been received.
    pub revision: RevisionNumber,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
}

impl CatalogueSnapshot {
    /// Returns the service that callers reach at `address`.
    pub fn service_at(&self, address: SocketAddrV4) -> Option<(&ServiceName, &ServiceEntry)> {
        self.services
            .iter()
            .find(|(_, entry)| entry.addresses.contains(&address))
    }

    /// Returns a digest of revision and content, which is the same on every instance that holds this snapshot.
    pub fn digest(&self) -> DigestValue {
        digest::catalogue_digest(self)
    }
}
