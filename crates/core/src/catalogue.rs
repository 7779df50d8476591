//! The catalogue of services, as one immutable snapshot.
//!
//! Operators edit the catalogue, the platform's store persists it, and every instance keeps the last revision that
//! passed validation. See docs/design.md, section 4.

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

/// Priority class of a service or of a request; ordered from most to least urgent.
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
    /// Served with the capacity that the other classes leave unused.
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

/// Overrides the class of the requests whose path starts with a prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PathClass {
    /// Prefix of the request path, starting with `/`.
    pub prefix: String,
    /// Class of the requests whose path starts with `prefix`.
    pub class: TrafficClass,
}

/// Resource limits of a service; the defaults suit a small site.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSet {
    /// Most open flows per endpoint.
    pub flows: u32,
    /// Most new flows per second and entry.
    pub new_flows_per_s: u32,
    /// Most requests of this service that one endpoint runs or queues at a time.
    pub in_flight: u32,
    /// Most requests in the queue of one endpoint.
    pub queue: u32,
    /// Largest share of an endpoint's slots, from 0 to 1, that bulk and long-running requests may occupy.
    pub slot_share: f64,
    /// Most extra attempts (retries) as a fraction of requests, from 0 to 1.
    pub retry_budget: f64,
    /// Default deadline of a request that specifies none, in milliseconds after its arrival.
    pub deadline_ms: u64,
    /// Longest deadline that a request may specify, in milliseconds after its arrival.
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
    /// Party that is responsible for the service; agents limit the requests in progress per owner.
    pub owner: OwnerName,
    /// Class of the requests that match no prefix in `path_classes`.
    #[serde(default)]
    pub class: TrafficClass,
    /// Addresses that callers use; no two services share one.
    pub addresses: SmallVec<[SocketAddrV4; 2]>,
    /// Classes by path prefix; the longest matching prefix decides.
    #[serde(default)]
    pub path_classes: SmallVec<[PathClass; 2]>,
    /// Resource limits of the service.
    #[serde(default)]
    pub limits: LimitSet,
}

/// One revision of the whole catalogue.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CatalogueSnapshot {
    /// Revision of this snapshot; 0 until a catalogue has been received.
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

    /// Returns a digest of the revision and all services, equal on every instance that holds this snapshot.
    pub fn digest(&self) -> DigestValue {
        digest::catalogue_digest(self)
    }
}
