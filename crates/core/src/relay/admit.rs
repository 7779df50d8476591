//! Decides at an entry what becomes of a new flow for which its service has no room.
//!
//! The expected loads are a burst of one kind of request while another service of the route is idle, and a service that
//! gets more than it can serve for long. An entry decides by what it knows at once: the last reports, its own flows since
//! then, and what agents have returned. See docs/design/admission.md.

use crate::ids::{EndpointId, ServiceName};
use crate::relay::credits::CreditTable;
use crate::relay::flows::FlowRecord;
use crate::relay::packet::FlowAddresses;
use crate::relay::pending::PendingTable;
use crate::relay::place::{self, EndpointKey, CANDIDATES};
use crate::relay::view::{EndpointStatus, RelayView, ServiceView, ViewEndpoint};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Number of endpoints of a service that may return a new flow as busy before it is placed on the least busy of them; each
/// attempt takes a round trip.
pub const BUSY_MAX: usize = 3;

/// Number of endpoints of the other services of a route that may return a new flow as busy before it stays with its own.
const SPILL_MAX: usize = 2;

/// Requests with which a failing upstream counts: as the busiest, so that it is chosen only if every candidate fails.
pub const FAILING_REQUESTS: u32 = u32::MAX;

/// Whether an entry decides on new flows for which there is no room; the setting `relay.schedule`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AdmissionPolicy {
    /// Flows are placed by weight and load only.
    #[default]
    Off,
    /// Flows may go to another service of their route, are held until an endpoint is ready, or are refused.
    On,
}

/// Room of an endpoint for a new flow by the entry's knowledge.
///
/// A flow leaves its service only if every candidate is full, and goes only to an endpoint with a free slot. The request
/// between the two keeps flows from alternating between services at each report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointRoom {
    /// A slot is free.
    Free,
    /// All slots are taken, and no request waits.
    Taken,
    /// Requests wait, or the endpoint has returned the flow or has no credit.
    Full,
}

/// What becomes of a new flow beyond the choice by load in its own service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Overflow<'v> {
    /// Nothing changes.
    Stay,
    /// The flow goes to an endpoint of another service of its route.
    Spill {
        /// Name of the other service.
        name: &'v ServiceName,
        /// The other service.
        service: &'v ServiceView,
        /// Index of the endpoint in it.
        index: usize,
    },
    /// The flow waits until another endpoint of its service is ready.
    Wait,
    /// No endpoint can answer the flow's request before its caller gives it up.
    Refuse,
}

/// What an entry knows when it decides on a new flow.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionContext<'v, 'c> {
    /// Routes and endpoints.
    pub view: &'v RelayView,
    /// Flow to decide on.
    pub flow: FlowAddresses,
    /// What has become of the flow so far.
    pub record: &'c FlowRecord,
    /// Flows that the entry has placed since the last reports.
    pub pending: &'c PendingTable,
    /// Endpoints without credit.
    pub credits: &'c CreditTable,
    /// Endpoints that left a first packet unanswered, and until when they are avoided.
    pub suspects: &'c HashMap<EndpointId, Instant>,
    /// Time of the decision.
    pub now: Instant,
}

impl<'v> AdmissionContext<'v, '_> {
    /// Returns the endpoint of `service` that placement by load chooses, or `None` if no ready one is left to try.
    pub fn choose(&self, service: &ServiceView) -> Option<usize> {
        let excluded = self.credits.exclude(service, &self.record.tried, self.now);
        let count = |id| self.pending.of_id(service, id);
        let avoid = |id| {
            self.suspects
                .get(&id)
                .is_some_and(|until| self.now < *until)
        };
        place::choose_endpoint(service, self.flow, &excluded, count, avoid, self.now)
    }

    /// Returns the least busy of the endpoints of `service` that returned the flow as busy and have credit, with its
    /// requests.
    pub fn least_busy(&self, service: &ServiceView) -> Option<(usize, u32)> {
        let mut least: Option<(usize, u32)> = None;
        for (key, requests) in &self.record.busy {
            let Some(index) = index_of(service, *key) else {
                continue;
            };
            let spent = self.credits.is_spent(*key, self.now);
            if !spent && least.is_none_or(|(_, fewest)| *requests < fewest) {
                least = Some((index, *requests));
            }
        }
        least
    }

    /// Returns the number of endpoints of `service` that returned the flow as busy.
    pub fn busy_count(&self, service: &ServiceView) -> usize {
        let busy = self.record.busy.iter();
        busy.filter(|(key, _)| index_of(service, *key).is_some())
            .count()
    }

    /// Decides on a flow of `own`, the service that the weights of the route chose. `index` is the endpoint that
    /// placement by load chose in it; `None` if the flow is about to be forced on a busy one.
    pub fn overflow(&self, own: &ServiceName, index: Option<usize>) -> Overflow<'v> {
        let Some(service) = self.view.services.get(own) else {
            return Overflow::Stay;
        };
        let has_room = index.is_some_and(|index| self.has_room(service, index));
        if has_room || self.record.forced {
            return Overflow::Stay;
        }
        if let Some(spill) = self.spill(own, service) {
            return spill;
        }
        let (None, Some((least, requests))) = (index, self.least_busy(service)) else {
            return Overflow::Stay;
        };
        if service.is_starting() {
            return Overflow::Wait;
        }
        match self.is_hopeless(&service.endpoints[least], requests) {
            true => Overflow::Refuse,
            false => Overflow::Stay,
        }
    }

    fn has_room(&self, service: &ServiceView, index: usize) -> bool {
        self.room(&service.endpoints[index]) != EndpointRoom::Full
    }

    fn room(&self, endpoint: &ViewEndpoint) -> EndpointRoom {
        let key = endpoint.key();
        if self.record.tried.contains(&key) || self.credits.is_spent(key, self.now) {
            return EndpointRoom::Full;
        }
        let requests = endpoint.busy.saturating_add(self.pending.of(endpoint));
        match requests.cmp(&endpoint.slots.max(1)) {
            std::cmp::Ordering::Less => EndpointRoom::Free,
            std::cmp::Ordering::Equal => EndpointRoom::Taken,
            std::cmp::Ordering::Greater => EndpointRoom::Full,
        }
    }

    /// Returns whether the service has candidates for the flow and all of them are full.
    fn is_full(&self, service: &ServiceView) -> bool {
        let mut candidates = 0;
        for index in place::rank(service, self.flow) {
            let endpoint = &service.endpoints[index];
            if !accepts_flows(endpoint) {
                continue;
            }
            if self.room(endpoint) != EndpointRoom::Full {
                return false;
            }
            candidates += 1;
            if candidates >= CANDIDATES {
                break;
            }
        }
        candidates > 0
    }

    /// Returns an endpoint with a free slot of another service of the route, if all candidates of the flow's own service
    /// are full.
    fn spill(&self, own: &ServiceName, service: &ServiceView) -> Option<Overflow<'v>> {
        let targets = self.view.routes.targets(self.flow.service)?;
        let spilled = self.record.busy.len() - self.busy_count(service);
        if targets.len() < 2 || spilled >= SPILL_MAX || !self.is_full(service) {
            return None;
        }
        for target in targets {
            if target.weight == 0 || target.service == *own {
                continue;
            }
            let Some(other) = self.view.services.get(&target.service) else {
                continue;
            };
            let Some(index) = self.choose(other) else {
                continue;
            };
            if self.room(&other.endpoints[index]) == EndpointRoom::Free {
                return Some(Overflow::Spill {
                    name: &target.service,
                    service: other,
                    index,
                });
            }
        }
        None
    }

    /// Returns whether a request at the least busy endpoint, and so at every other, is answered only after its caller has
    /// given it up, and no copy of the first packet can be accepted anywhere.
    fn is_hopeless(&self, least: &ViewEndpoint, requests: u32) -> bool {
        let timeout = self.view.routes.terms(self.flow.service).timeout;
        let refusable = self.record.refusable_until;
        if timeout.is_zero() || refusable.is_none_or(|until| until <= self.now) {
            return false;
        }
        let Some(service_time) = least.service_time else {
            return false;
        };
        if requests == FAILING_REQUESTS {
            return false;
        }
        let answer = queue_delay(requests, least.slots, service_time) + service_time;
        answer > timeout && !self.has_hope()
    }

    /// Returns whether an endpoint of the route's services has a free slot, or only lacks credit.
    fn has_hope(&self) -> bool {
        let targets = self.view.routes.targets(self.flow.service);
        let with_weight = targets
            .into_iter()
            .flatten()
            .filter(|target| target.weight > 0);
        let mut services = with_weight.filter_map(|target| self.view.services.get(&target.service));
        services.any(|service| {
            let mut ready = service
                .endpoints
                .iter()
                .filter(|known| accepts_flows(known));
            self.credits.is_awaited(service, self.now)
                || ready.any(|endpoint| self.room(endpoint) == EndpointRoom::Free)
        })
    }
}

/// Returns how long a new request waits at an upstream with this many requests in progress.
pub fn queue_delay(requests: u32, slots: u32, service_time: Duration) -> Duration {
    let slots = slots.max(1);
    service_time.saturating_mul(requests.saturating_sub(slots)) / slots
}

fn accepts_flows(endpoint: &ViewEndpoint) -> bool {
    endpoint.status == EndpointStatus::Ready && !endpoint.evacuated
}

/// Returns the index of an endpoint that may take new flows; one of an evacuated zone may not.
fn index_of(service: &ServiceView, key: EndpointKey) -> Option<usize> {
    let mut endpoints = service.endpoints.iter();
    endpoints.position(|known| !known.evacuated && known.key().may_be(key))
}
