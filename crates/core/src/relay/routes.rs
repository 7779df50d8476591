//! Routes of opaque flows: which service takes the flows to an address.

use crate::ids::{RevisionNumber, ServiceName};
use crate::relay::packet::FlowAddresses;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash that splits flows by weight, so that it is independent of the one that ranks endpoints.
const SPLIT_SEED: u64 = 0x51_7a11;

/// A service that takes a share of the new flows of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Share of new flows, relative to the other targets.
    pub weight: u32,
}

/// The services of one route.
pub type TargetList = SmallVec<[RouteTarget; 2]>;

/// Services that may hold flows to an address, by the address.
pub type FormerServices = HashMap<SocketAddrV4, SmallVec<[ServiceName; 2]>>;

/// All routes of one revision; published whole and never changed.
#[derive(Clone, Debug, Default)]
pub struct RouteSet {
    /// Revision of the operators' catalogue; 0 means that none has been received.
    pub revision: RevisionNumber,
    /// Targets by the address that callers use.
    pub by_address: HashMap<SocketAddrV4, TargetList>,
    /// Time without packets after which a flow may be forgotten.
    pub idle_timeout: Duration,
}

impl RouteSet {
    /// Returns the targets of the flows to `address`.
    pub fn targets(&self, address: SocketAddrV4) -> Option<&TargetList> {
        self.by_address.get(&address)
    }
}

/// Returns the service that takes a new flow.
///
/// Every entry with the same routes chooses the same service, so that copies of a first packet that reach several
/// entries open one flow.
pub fn choose_target(targets: &TargetList, flow: FlowAddresses) -> Option<&RouteTarget> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut point = xxh3_64_with_seed(&flow.to_bytes(), SPLIT_SEED) % total;
    for target in targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return Some(target);
        }
        point -= weight;
    }
    None
}

/// What became of a received set of routes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteOutcome {
    /// The set is in force.
    InForce,
    /// The set is not newer than the one in force, which stays.
    Stale,
}

/// Services that took flows of an address before the routes changed.
///
/// An open flow stays with its endpoint when its route turns to another service, so that its packets must still
/// find the old one.
#[derive(Clone, Debug, Default)]
pub struct RouteController {
    current: RouteSet,
    former: FormerServices,
}

impl RouteController {
    /// Returns the routes in force.
    pub fn current(&self) -> &RouteSet {
        &self.current
    }

    /// Returns the services that took flows to `address` before and take none now.
    pub fn former(&self) -> &FormerServices {
        &self.former
    }

    /// Puts `routes` in force if its revision is higher than the one in force.
    pub fn adopt(&mut self, routes: RouteSet) -> RouteOutcome {
        if routes.revision <= self.current.revision {
            return RouteOutcome::Stale;
        }
        let old = std::mem::replace(&mut self.current, routes);
        // A removed route ends its flows, and a route that returns starts anew.
        let kept = &self.current.by_address;
        self.former.retain(|address, _| kept.contains_key(address));
        for (address, targets) in &old.by_address {
            if !kept.contains_key(address) {
                continue;
            }
            let services = self.former.entry(*address).or_default();
            for target in targets {
                if !services.contains(&target.service) {
                    services.push(target.service.clone());
                }
            }
        }
        RouteOutcome::InForce
    }
}
