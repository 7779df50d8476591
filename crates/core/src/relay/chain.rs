//! The packet filter chain of an entry for opaque flows.
//!
//! The chain sees decoded heads, so that it serves every encoding, and returns verdicts that the traffic thread
//! executes. See docs/relay.md.

use crate::ids::{EndpointId, ServiceName};
use crate::relay::flows::{FlowRecord, FlowTable};
use crate::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use crate::relay::place::{self, EndpointLife};
use crate::relay::routes::choose_target;
use crate::relay::view::{EndpointStatus, RelayView, ServiceView, ViewEndpoint};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which an endpoint that left a first packet unanswered gets new flows only as a last resort; the third
/// and last copy of a first packet leaves 600 ms after the first.
const SUSPECT_TIME: Duration = Duration::from_millis(600);

/// Idle time after which a flow is forgotten while no routes are in force.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Endpoints on which the entry counts its own new flows; one entry sees only its service's endpoints.
const PENDING_MAX: usize = 4_096;

/// Why a packet goes no further.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RelayDrop {
    /// Callers send no such packet.
    Unexpected,
    /// No route has the address, and the routes may be out of date.
    NoRoute,
    /// No endpoint is known to hold the flow, and some could not be asked.
    NoHolder,
}

/// Why the caller is told that there is no flow.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ResetReason {
    /// No route has the address.
    NoRoute,
    /// No endpoint takes the new flow.
    Refused,
    /// No endpoint holds the flow.
    Ended,
}

/// How an endpoint was found for a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DeliverReason {
    /// The flow is new and was placed on the endpoint.
    Placed,
    /// The entry remembers the endpoint.
    Remembered,
    /// The endpoint is the next to be asked.
    Asked,
}

/// What the traffic thread does with a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RelayVerdict {
    /// Send the packet to the agent of the endpoint.
    Deliver {
        /// The endpoint.
        endpoint: EndpointLife,
        /// Service that must be that of the endpoint.
        service: ServiceName,
        /// How it was found.
        reason: DeliverReason,
    },
    /// Tell the caller that there is no flow.
    Reset(ResetReason),
    /// Do nothing.
    Drop(RelayDrop),
}

/// The steps that a packet takes, in order.
#[derive(Clone, Copy, Debug)]
enum RelayFilter {
    Kind,
    Route,
    Memory,
    Place,
    Find,
}

const CHAIN: [RelayFilter; 5] = [
    RelayFilter::Kind,
    RelayFilter::Route,
    RelayFilter::Memory,
    RelayFilter::Place,
    RelayFilter::Find,
];

/// New flows that an endpoint has not reported yet.
#[derive(Clone, Copy, Debug, Default)]
struct PendingFlows {
    report: u64,
    count: u32,
}

/// The chain and what an entry remembers between packets.
#[derive(Debug)]
pub struct RelayChain {
    flows: FlowTable,
    pending: HashMap<EndpointId, PendingFlows>,
    suspects: HashMap<EndpointId, Instant>,
}

impl RelayChain {
    /// Makes a chain that remembers nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            flows: FlowTable::new(now),
            pending: HashMap::new(),
            suspects: HashMap::new(),
        }
    }

    /// Returns the number of flows that the entry remembers.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Decides on a packet of a caller.
    pub fn decide(&mut self, head: &PacketHead, view: &RelayView, now: Instant) -> RelayVerdict {
        let idle = match view.routes.idle_timeout {
            Duration::ZERO => DEFAULT_IDLE,
            idle => idle,
        };
        self.flows.rotate(idle, now);
        for filter in CHAIN {
            let verdict = match filter {
                RelayFilter::Kind => check_kind(head),
                RelayFilter::Route => check_route(head, view),
                RelayFilter::Memory => self.check_memory(head, view, now),
                RelayFilter::Place => self.place(head, view, now),
                RelayFilter::Find => self.find(head, view),
            };
            if let Some(verdict) = verdict {
                return verdict;
            }
        }
        RelayVerdict::Drop(RelayDrop::NoHolder)
    }

    /// Decides on a packet that `life` returned because it does not hold the flow or takes no new one.
    pub fn decide_returned(
        &mut self,
        head: &PacketHead,
        life: EndpointLife,
        view: &RelayView,
        now: Instant,
    ) -> RelayVerdict {
        if let Some(verdict) = check_kind(head).or_else(|| check_route(head, view)) {
            return verdict;
        }
        let record = self.flows.record(head.flow);
        // The view may be behind the agent; the life in it is not asked again either, or the packet would circle.
        for life in [Some(life), view_life(view, head.flow, life.id)] {
            let Some(life) = life else {
                continue;
            };
            if !record.tried.contains(&life) {
                record.tried.push(life);
            }
            // A packet that was on its way before the holder changed says nothing about the new holder.
            if record.holder == Some(life) {
                record.holder = None;
            }
        }
        let verdict = self.place(head, view, now);
        let verdict = verdict.or_else(|| self.check_memory(head, view, now));
        let verdict = verdict.or_else(|| self.find(head, view));
        verdict.unwrap_or(RelayVerdict::Drop(RelayDrop::NoHolder))
    }

    /// Uses what the entry remembers of the flow.
    fn check_memory(
        &mut self,
        head: &PacketHead,
        view: &RelayView,
        now: Instant,
    ) -> Option<RelayVerdict> {
        let record = self.flows.record(head.flow);
        if let PacketKind::Opening { copies } = head.kind {
            note_copy(record, copies, &mut self.suspects, now);
            return None;
        }
        if std::mem::take(&mut record.opening) {
            // An endpoint that refused the first packet may have taken a copy of it through another entry.
            record.tried.clear();
        }
        if record.ended {
            return Some(RelayVerdict::Reset(ResetReason::Ended));
        }
        let holder = record.holder?;
        if let Some((service, _)) = find_life(view, head.flow, holder) {
            return Some(RelayVerdict::Deliver {
                endpoint: holder,
                service: service.clone(),
                reason: DeliverReason::Remembered,
            });
        }
        // The endpoint has gone or lives again without its flows.
        record.holder = None;
        record.tried.push(holder);
        None
    }

    /// Chooses an endpoint for a new flow.
    fn place(&mut self, head: &PacketHead, view: &RelayView, now: Instant) -> Option<RelayVerdict> {
        let PacketKind::Opening { .. } = head.kind else {
            return None;
        };
        let refused = Some(RelayVerdict::Reset(ResetReason::Refused));
        let target = choose_target(view.routes.targets(head.flow.service)?, head.flow)?;
        let Some(service) = view.services.get(&target.service) else {
            return refused;
        };
        let record = self.flows.record(head.flow);
        record.opening = true;
        let (pending, suspects) = (&self.pending, &self.suspects);
        let count = |id| pending_of(service, pending, id);
        let avoid = |id| suspects.get(&id).is_some_and(|until| now < *until);
        let Some(index) = place::place(service, head.flow, &record.tried, count, avoid, now) else {
            return refused;
        };
        let endpoint = &service.endpoints[index];
        record.holder = Some(endpoint.life());
        record.ended = false;
        self.count_pending(endpoint);
        Some(RelayVerdict::Deliver {
            endpoint: endpoint.life(),
            service: target.service.clone(),
            reason: DeliverReason::Placed,
        })
    }

    /// Chooses the next endpoint to ask for a flow that the entry does not know.
    fn find(&mut self, head: &PacketHead, view: &RelayView) -> Option<RelayVerdict> {
        let record = self.flows.record(head.flow);
        let mut silent = None;
        let mut complete = view.synced && view.attributed;
        for name in holder_services(view, head.flow) {
            let Some(service) = view.services.get(name) else {
                complete = false;
                continue;
            };
            complete &= service.complete;
            for index in place::rank(service, head.flow) {
                let endpoint = &service.endpoints[index];
                if record.tried.contains(&endpoint.life()) {
                    continue;
                }
                if endpoint.status == EndpointStatus::Silent {
                    silent = silent.or(Some((name, endpoint.life())));
                    continue;
                }
                record.holder = Some(endpoint.life());
                return Some(deliver(endpoint.life(), name));
            }
        }
        // A silent endpoint is asked last, since the packet may well be lost there.
        if let Some((name, life)) = silent {
            return Some(deliver(life, name));
        }
        if !complete {
            return None;
        }
        record.ended = true;
        Some(RelayVerdict::Reset(ResetReason::Ended))
    }

    fn count_pending(&mut self, endpoint: &ViewEndpoint) {
        if self.pending.len() >= PENDING_MAX {
            self.pending.clear();
        }
        let pending = self.pending.entry(endpoint.id).or_default();
        if pending.report != endpoint.reports {
            *pending = PendingFlows {
                report: endpoint.reports,
                count: 0,
            };
        }
        pending.count += 1;
    }
}

fn deliver(endpoint: EndpointLife, service: &ServiceName) -> RelayVerdict {
    RelayVerdict::Deliver {
        endpoint,
        service: service.clone(),
        reason: DeliverReason::Asked,
    }
}

fn check_kind(head: &PacketHead) -> Option<RelayVerdict> {
    match head.kind {
        // Only an endpoint accepts a flow; a caller that says so would be believed by the endpoint.
        PacketKind::Accepting => Some(RelayVerdict::Drop(RelayDrop::Unexpected)),
        PacketKind::Opening { .. }
        | PacketKind::Established
        | PacketKind::Ending
        | PacketKind::Reset => None,
    }
}

fn check_route(head: &PacketHead, view: &RelayView) -> Option<RelayVerdict> {
    if view.routes.targets(head.flow.service).is_some() {
        return None;
    }
    if !view.synced {
        return Some(RelayVerdict::Drop(RelayDrop::NoRoute));
    }
    Some(RelayVerdict::Reset(ResetReason::NoRoute))
}

/// Starts a record anew for a first packet, and suspects the endpoint that left an earlier copy unanswered.
fn note_copy(
    record: &mut FlowRecord,
    copies: u32,
    suspects: &mut HashMap<EndpointId, Instant>,
    now: Instant,
) {
    if copies == 0 {
        *record = FlowRecord::default();
        return;
    }
    let Some(holder) = record.holder.take() else {
        return;
    };
    suspects.retain(|_, until| now < *until);
    suspects.insert(holder.id, now + SUSPECT_TIME);
}

fn pending_of(
    service: &ServiceView,
    pending: &HashMap<EndpointId, PendingFlows>,
    id: EndpointId,
) -> u32 {
    let Some(flows) = pending.get(&id) else {
        return 0;
    };
    let endpoint = service.endpoints.iter().find(|endpoint| endpoint.id == id);
    match endpoint {
        Some(endpoint) if endpoint.reports == flows.report => flows.count,
        _ => 0,
    }
}

/// Returns the services whose endpoints may hold the flow, the most probable first.
fn holder_services(view: &RelayView, flow: FlowAddresses) -> SmallVec<[&ServiceName; 4]> {
    let mut names: SmallVec<[&ServiceName; 4]> = SmallVec::new();
    let targets = view.routes.targets(flow.service);
    if let Some(target) = targets.and_then(|targets| choose_target(targets, flow)) {
        names.push(&target.service);
    }
    let former = view.former.get(&flow.service);
    let others = targets.into_iter().flatten().map(|target| &target.service);
    for name in others.chain(former.into_iter().flatten()) {
        if !names.contains(&name) {
            names.push(name);
        }
    }
    names
}

/// Returns the life of the endpoint `id` that the view knows.
fn view_life(view: &RelayView, flow: FlowAddresses, id: EndpointId) -> Option<EndpointLife> {
    for name in holder_services(view, flow) {
        let endpoints = view.services.get(name).into_iter();
        for endpoint in endpoints.flat_map(|service| &service.endpoints) {
            if endpoint.id == id {
                return Some(endpoint.life());
            }
        }
    }
    None
}

/// Returns the service and the endpoint of `life`, if it still lives and may hold the flow.
fn find_life(
    view: &RelayView,
    flow: FlowAddresses,
    life: EndpointLife,
) -> Option<(&ServiceName, &ViewEndpoint)> {
    for name in holder_services(view, flow) {
        let Some(service) = view.services.get(name) else {
            continue;
        };
        for endpoint in &service.endpoints {
            if endpoint.life() == life {
                return Some((name, endpoint));
            }
        }
    }
    None
}
