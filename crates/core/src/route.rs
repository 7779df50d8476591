//! Selects the endpoint for the first packets of a flow by rendezvous hashing.
//!
//! Every entry that has the same list of endpoints computes the same two candidates for a flow and needs no state
//! per flow. When an endpoint is removed, only its own flows move. See docs/design.md, decision 3.

use crate::ids::{address_of, EndpointId, ServiceName, ServiceNumber};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes that are equal in all packets of a flow until an agent issues a connection ID; the input of the hash.
pub type FlowKey<'a> = &'a [u8];

/// The endpoints that may accept a new flow, in order of preference.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CandidatePair {
    /// Endpoint with the highest score, to which the entry sends the packet.
    pub first: SocketAddrV4,
    /// Endpoint to which `first` forwards the packet if it accepts no new flows; `None` if there is only one.
    pub second: Option<SocketAddrV4>,
}

/// Routing data of one service on an entry.
#[derive(Clone, Debug, Default)]
pub struct ServiceRoute {
    /// Name, which labels the metrics of the service.
    pub name: ServiceName,
    /// Number that the connection IDs of the service carry.
    pub number: ServiceNumber,
    /// Most new flows per second that this entry forwards.
    pub new_flows_per_s: u32,
    /// Endpoints that accept new flows.
    pub ready: Vec<EndpointId>,
}

/// Immutable routing table of the traffic threads; a change publishes a new table.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Index into `services` by the address that callers use.
    pub by_address: HashMap<SocketAddrV4, usize>,
    /// Services to which `by_address` refers by position.
    pub services: Vec<ServiceRoute>,
}

impl RouteTable {
    /// Returns the service that callers reach at `address`.
    pub fn service_at(&self, address: SocketAddrV4) -> Option<&ServiceRoute> {
        let index = *self.by_address.get(&address)?;
        self.services.get(index)
    }
}

impl ServiceRoute {
    /// Returns the two endpoints with the highest scores for a new flow; `None` if no endpoint is ready.
    pub fn candidates(&self, key: FlowKey<'_>) -> Option<CandidatePair> {
        let mut first: Option<(u64, EndpointId)> = None;
        let mut second: Option<(u64, EndpointId)> = None;
        for &id in &self.ready {
            let score = (xxh3_64_with_seed(key, id), id);
            if first.is_none_or(|best| score > best) {
                second = first;
                first = Some(score);
                continue;
            }
            if second.is_none_or(|best| score > best) {
                second = Some(score);
            }
        }
        let first = address_of(first?.1);
        let second = second.map(|(_, id)| address_of(id));
        Some(CandidatePair { first, second })
    }
}
