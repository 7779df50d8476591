//! Routes of opaque flows: map the address of a flow to the services that accept it.

use crate::ids::{RevisionNumber, ServiceName};
use crate::relay::packet::FlowAddresses;
use crate::relay::terms::FlowTerms;
use smallvec::SmallVec;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash that splits flows by weight, so that the split is independent of the ranks of endpoints.
const SPLIT_SEED: u64 = 0x51_7a11;

/// A service that takes a share of the new flows of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// Service that the target's flows go to.
    pub service: ServiceName,
    /// Share of new flows relative to the other targets of the route; 0 gives none.
    pub weight: u32,
}

/// The services of one route.
pub type TargetList = SmallVec<[RouteTarget; 2]>;

/// Services that may hold flows to an address, keyed by the address.
pub type FormerServices = HashMap<SocketAddrV4, SmallVec<[ServiceName; 2]>>;

/// All routes of one revision of the catalogue; immutable once published.
#[derive(Clone, Debug, Default)]
pub struct RouteSet {
    /// Revision of the operators' catalogue; 0 means that none has been received.
    pub revision: RevisionNumber,
    /// Targets by the address that callers use.
    pub by_address: HashMap<SocketAddrV4, TargetList>,
    /// Requirements on requests by the address that callers use.
    pub terms: HashMap<SocketAddrV4, FlowTerms>,
    /// Requests a second that a cold upstream of a service bears. A service without such a limit is absent.
    pub cold_rates: HashMap<ServiceName, f64>,
    /// Addresses whose requests must not be sent again once they may have run.
    pub unrepeatable: HashSet<SocketAddrV4>,
    /// Idle time after which a flow may be removed from the flow table.
    pub idle_timeout: Duration,
}

impl RouteSet {
    /// Returns the targets of flows to `address`, or `None` if it has no route.
    pub fn targets(&self, address: SocketAddrV4) -> Option<&TargetList> {
        self.by_address.get(&address)
    }

    /// Returns the requirements on requests to `address`.
    pub fn terms(&self, address: SocketAddrV4) -> FlowTerms {
        self.terms.get(&address).copied().unwrap_or_default()
    }
}

/// Returns the target that takes a new flow, or `None` if all weights are 0.
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

/// Result of a new set of routes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteOutcome {
    /// The set is in force.
    InForce,
    /// The set is not newer than the one in force, which stays.
    Stale,
}

/// Holds the routes in force and the services that held each route before.
///
/// An open flow stays with its endpoint when its route moves to another service, so entries must still find the
/// former one.
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

    /// Returns, for each address, the services that were targets of its route in earlier revisions.
    pub fn former(&self) -> &FormerServices {
        &self.former
    }

    /// Puts `routes` in force if its revision is higher than the current one.
    pub fn adopt(&mut self, routes: RouteSet) -> RouteOutcome {
        if routes.revision <= self.current.revision {
            return RouteOutcome::Stale;
        }
        let old = std::mem::replace(&mut self.current, routes);
        // Removing a route ends its flows, so a route that is added again starts without former services.
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
