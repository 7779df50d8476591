//! What a traffic thread of an entry knows of routes and endpoints; published whole and never changed.

use crate::ids::{EndpointId, IncarnationNumber, ServiceDigest, ServiceName};
use crate::relay::digest::FlowDigest;
use crate::relay::packet::FlowAddresses;
use crate::relay::place::EndpointKey;
use crate::relay::routes::{choose_target, FormerServices, RouteSet};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// What an entry believes of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointStatus {
    /// It takes new flows.
    Ready,
    /// It finishes its flows and takes no new ones.
    Draining,
    /// Its agent answers, but the upstream has not announced itself.
    Pending,
    /// Its agent does not answer; it may still hold its flows.
    Silent,
}

/// One endpoint as traffic threads see it.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewEndpoint {
    /// Identity: the packet address of its agent.
    pub id: EndpointId,
    /// Life of the upstream; 0 while it is not known.
    pub incarnation: IncarnationNumber,
    /// What the entry believes of it.
    pub status: EndpointStatus,
    /// Whether it is in the availability zone of the entry.
    pub same_zone: bool,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Open flows, as the agent reported.
    pub flows: u32,
    /// Requests in progress, as the agent reported.
    pub busy: u32,
    /// Reports received from the agent; tells whether `flows` already counts a placed flow.
    pub reports: u64,
    /// Until when it is slow after its start.
    pub cold_until: Option<Instant>,
    /// Flows that it held when its agent last reported, if the agent says so.
    pub digest: Option<Arc<FlowDigest>>,
    /// When the entry sent the greeting that the last report answers; the report is later.
    pub keepalive_sent: Option<Instant>,
}

/// The endpoints of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceView {
    /// Digest of the name of the service.
    pub digest: ServiceDigest,
    /// All endpoints that may hold flows.
    pub endpoints: Vec<ViewEndpoint>,
    /// Whether no endpoint is missing that may still hold flows; only then can a flow be known to have ended.
    pub complete: bool,
}

impl ServiceView {
    /// Returns whether an endpoint of which nothing is known at the moment may take new flows.
    pub fn may_become_ready(&self) -> bool {
        self.endpoints.iter().any(|endpoint| match endpoint.status {
            EndpointStatus::Silent | EndpointStatus::Pending => true,
            EndpointStatus::Ready | EndpointStatus::Draining => false,
        })
    }
}

/// All that a traffic thread needs to route a packet.
#[derive(Clone, Debug, Default)]
pub struct RelayView {
    /// Routes in force.
    pub routes: RouteSet,
    /// Services that took flows of an address before, or report that they hold some.
    pub former: FormerServices,
    /// Whether `former` names all services that hold flows.
    pub holders_known: bool,
    /// Endpoints by service.
    pub services: HashMap<ServiceName, ServiceView>,
    /// Whether routes and endpoints come from a store that answers.
    pub synced: bool,
    /// When the read of the routes began that are in force, as `confirmed` says for the list.
    pub routes_read: Option<Instant>,
    /// When the read of the list began that the endpoints come from. The list may have changed since, so that only a
    /// flow which was missing before is known to be missing.
    pub endpoints_read: Option<Instant>,
    /// When the entry sent the oldest greeting that the last report of an endpoint with a digest answers; nothing if
    /// there is no such endpoint.
    pub oldest_keepalive: Option<Instant>,
    /// Whether the entry has loaded its routes and heard of its endpoints.
    pub loaded: bool,
}

/// Services by name; a route leads to a few.
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

    /// Returns the known life of the endpoint `id`, if it may hold the flow.
    pub fn key_of(&self, flow: FlowAddresses, id: EndpointId) -> Option<EndpointKey> {
        let endpoints = self.holders(flow).flat_map(|service| &service.endpoints);
        let mut keys = endpoints.map(ViewEndpoint::key);
        keys.find(|key| key.id == id)
    }

    /// Returns the service of the endpoint of `life`, if it still lives and may hold the flow.
    pub fn service_of(&self, flow: FlowAddresses, key: EndpointKey) -> Option<&ServiceView> {
        let holds_key =
            |service: &&ServiceView| service.endpoints.iter().any(|known| known.key() == key);
        self.holders(flow).find(holds_key)
    }

    fn holders(&self, flow: FlowAddresses) -> impl Iterator<Item = &ServiceView> {
        let names = self.holder_services(flow).into_iter();
        names.filter_map(|name| self.services.get(name))
    }
}
