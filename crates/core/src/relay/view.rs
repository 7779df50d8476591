//! Immutable snapshot of routes and endpoints from which the traffic threads of an entry decide.

use crate::ids::{EndpointId, IncarnationNumber, ServiceDigest, ServiceName};
use crate::relay::digest::FlowDigest;
use crate::relay::packet::FlowAddresses;
use crate::relay::place::EndpointKey;
use crate::relay::routes::{choose_target, FormerServices, RouteSet};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the fingerprint of ready endpoints.
const READY_SEED: u64 = 0x004e_ad11;

/// State of an endpoint as an entry sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointStatus {
    /// The upstream accepts new flows.
    Ready,
    /// The upstream finishes its open flows and accepts no new ones.
    Draining,
    /// The agent reports, but the upstream has not announced itself.
    Pending,
    /// The agent does not report, is stopping, or has lost its upstream; the upstream may still hold its flows.
    Silent,
}

/// State and load of one endpoint in a view.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewEndpoint {
    /// Identity: the packet address of its agent.
    pub id: EndpointId,
    /// Incarnation of the upstream; 0 while it is not known.
    pub incarnation: IncarnationNumber,
    /// State by which the endpoint is placed and queried.
    pub status: EndpointStatus,
    /// Whether the endpoint is in the availability zone of the entry.
    pub same_zone: bool,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Open flows in the last report.
    pub flows: u32,
    /// Requests in progress in the last report.
    pub busy: u32,
    /// Number of reports received from the agent; tells whether `flows` already counts a placed flow.
    pub reports: u64,
    /// End of the time for which the upstream is slow after its start.
    pub cold_until: Option<Instant>,
    /// Digest of the flows in the last report, if the agent sends one.
    pub digest: Option<Arc<FlowDigest>>,
    /// When the entry sent the keepalive that the last report answers; the report is not older than this.
    pub keepalive_sent: Option<Instant>,
    /// Service time of the upstream over the median of its service; 1 if it is like the others or not measured.
    pub pace_factor: f64,
    /// Least time that a kind of request runs at the upstream, if its agent measures it.
    pub service_time: Option<Duration>,
    /// Whether the service time was measured and compared with that of others.
    pub pace_known: bool,
    /// Whether operators have evacuated the endpoint's availability zone, so that it takes no new flows.
    pub evacuated: bool,
}

/// The endpoints of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceView {
    /// Digest of the name of the service.
    pub digest: ServiceDigest,
    /// All endpoints that may hold flows of the service.
    pub endpoints: Vec<ViewEndpoint>,
    /// Whether `endpoints` contains every endpoint that may still hold flows, and all of them are ready or draining.
    /// Only then may a flow be declared ended.
    pub complete: bool,
}

impl ServiceView {
    /// Returns a fingerprint of the endpoints that are ready for new flows; 0 if there is none.
    pub fn ready_mark(&self) -> u64 {
        let mut mark = 0;
        for endpoint in &self.endpoints {
            if endpoint.status == EndpointStatus::Ready && !endpoint.evacuated {
                let bytes = endpoint.id.to_be_bytes();
                mark ^= xxh3_64_with_seed(&bytes, READY_SEED ^ endpoint.incarnation);
            }
        }
        mark
    }

    /// Returns whether most endpoints that may take new flows have yet to become ready, as after a loss of power. To place
    /// all flows on the first ones would overload them shortly before the others are ready.
    pub fn is_starting(&self) -> bool {
        let (mut ready, mut awaited) = (0, 0);
        for endpoint in &self.endpoints {
            if endpoint.evacuated {
                continue;
            }
            match endpoint.status {
                EndpointStatus::Ready => ready += 1,
                EndpointStatus::Silent | EndpointStatus::Pending => awaited += 1,
                EndpointStatus::Draining => {}
            }
        }
        awaited > ready
    }

    /// Returns whether any endpoint is silent or pending and so may accept new flows later.
    pub fn may_become_ready(&self) -> bool {
        self.endpoints.iter().any(|endpoint| match endpoint.status {
            EndpointStatus::Silent | EndpointStatus::Pending => !endpoint.evacuated,
            EndpointStatus::Ready | EndpointStatus::Draining => false,
        })
    }

    /// Returns whether any endpoint takes no new flows because its zone is evacuated.
    pub fn has_evacuated(&self) -> bool {
        self.endpoints.iter().any(|endpoint| endpoint.evacuated)
    }
}

/// Routes and endpoints from which a traffic thread decides on packets.
#[derive(Clone, Debug, Default)]
pub struct RelayView {
    /// Routes in force.
    pub routes: RouteSet,
    /// Services that held the route of an address before, or report flows to it.
    pub former: FormerServices,
    /// Services with an endpoint whose reports do not name the addresses of all its flows.
    pub unnamed: UnnamedServices,
    /// Whether the agents have seen all open flows, so that `former` and `unnamed` have every service that holds flows.
    /// Only then may a flow be declared ended.
    pub holders_known: bool,
    /// Endpoints by service.
    pub services: HashMap<ServiceName, ServiceView>,
    /// Whether routes and endpoints were read from a store that still answers.
    pub synced: bool,
    /// Start of the store read that returned the routes. A route created after this time may be missing.
    pub routes_read: Option<Instant>,
    /// When the store last confirmed the routes: start of a read, or arrival of the answer to a poll. For logs only.
    pub routes_confirmed: Option<Instant>,
    /// Start of the store read that returned the list of endpoints. The list may have changed since, so it proves
    /// only that an endpoint was missing before this time.
    pub endpoints_read: Option<Instant>,
    /// Earliest `keepalive_sent` of the endpoints with a digest; `None` if there is no such endpoint.
    pub oldest_keepalive: Option<Instant>,
    /// Whether the entry has loaded its routes and its endpoints have reported or had time to.
    pub loaded: bool,
}

/// Services that may hold flows to any address.
pub type UnnamedServices = SmallVec<[ServiceName; 4]>;

/// Names of services; a route has a few.
pub type ServiceNames<'a> = SmallVec<[&'a ServiceName; 4]>;

impl RelayView {
    /// Returns the services whose endpoints may hold the flow, the most probable first.
    pub fn holder_services(&self, flow: FlowAddresses) -> ServiceNames<'_> {
        let mut names = ServiceNames::new();
        let targets = self.routes.targets(flow.service);
        if let Some(target) = targets.and_then(|targets| choose_target(targets, flow)) {
            names.push(&target.service);
        }
        let former = self.former.get(&flow.service);
        let others = targets.into_iter().flatten().map(|target| &target.service);
        for name in others.chain(former.into_iter().flatten()) {
            if !names.contains(&name) {
                names.push(name);
            }
        }
        names
    }

    /// Returns the services that no route or report names for the address of the flow, but that may hold it all the same.
    pub fn unnamed_services(&self, flow: FlowAddresses) -> ServiceNames<'_> {
        let named = self.holder_services(flow);
        let mut names = ServiceNames::new();
        for name in &self.unnamed {
            if !named.contains(&name) {
                names.push(name);
            }
        }
        names
    }

    /// Returns the key of the endpoint `id` in this view, if the endpoint may hold the flow.
    pub fn key_of(&self, flow: FlowAddresses, id: EndpointId) -> Option<EndpointKey> {
        let endpoints = self.holders(flow).flat_map(|service| &service.endpoints);
        let mut keys = endpoints.map(ViewEndpoint::key);
        keys.find(|key| key.id == id)
    }

    /// Returns the services that may hold the flow, the most probable first.
    pub(super) fn holders(&self, flow: FlowAddresses) -> impl Iterator<Item = &ServiceView> {
        let named = self.holder_services(flow).into_iter();
        let names = named.chain(self.unnamed_services(flow));
        names.filter_map(|name| self.services.get(name))
    }
}
