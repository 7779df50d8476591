//! Choice of the endpoint for the first packets of a flow.
//!
//! Rendezvous hashing gives every entry with the same endpoints the same two candidates for a flow, without any
//! state per flow, and moves only the flows of an endpoint that leaves. See docs/design.md, decision 3.

use crate::ids::{address_of, EndpointId, ServiceName, ServiceNumber};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Opaque bytes that all packets of a flow share before an agent has issued a connection ID.
pub type FlowKey<'a> = &'a [u8];

/// The endpoints that may accept a new flow, in order of preference.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CandidatePair {
    /// Receives the packet.
    pub first: SocketAddrV4,
    /// Receives it from the first if that one does not accept new flows.
    pub second: Option<SocketAddrV4>,
}

/// One service, as an entry routes it.
#[derive(Clone, Debug, Default)]
pub struct ServiceRoute {
    /// Name, for metrics.
    pub name: ServiceName,
    /// Number that connection IDs must carry.
    pub number: ServiceNumber,
    /// New flows a second that this entry lets pass.
    pub new_flows_per_s: u32,
    /// Endpoints that take new flows.
    pub ready: Vec<EndpointId>,
}

/// All that a traffic thread needs to route a packet; published whole and never changed.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Services by the address that callers use.
    pub by_address: HashMap<SocketAddrV4, usize>,
    /// Services, in the order that `by_address` refers to.
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
    /// Returns the candidates for a new flow, or nothing when no endpoint is ready.
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
