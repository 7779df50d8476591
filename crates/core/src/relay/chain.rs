//! The packet filter chain of an entry for opaque flows.
//!
//! The chain sees decoded heads, so that it serves every encoding, and returns verdicts that the traffic thread
//! executes. See docs/relay.md.

use crate::ids::{EndpointId, ServiceDigest};
use crate::relay::digest::fingerprint_of;
use crate::relay::flows::{FlowRecord, FlowTable};
use crate::relay::hold::HoldReason;
use crate::relay::intake::ReturnReason;
use crate::relay::packet::{PacketHead, PacketKind};
use crate::relay::place::{self, EndpointKey};
use crate::relay::routes::choose_target;
use crate::relay::view::{EndpointStatus, RelayView, ServiceView, ViewEndpoint};
use smallvec::{smallvec, SmallVec};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which an endpoint that left a first packet unanswered gets new flows only as a last resort; the third
/// and last copy of a first packet leaves 600 ms after the first.
const SUSPECT_TIME: Duration = Duration::from_millis(600);

/// Idle time after which a flow is forgotten while no routes are in force.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Endpoints that are asked at once after the candidates of new flows; a service of the largest site has 50.
const QUERY_MAX: usize = 16;

/// Busy endpoints after which a new flow goes to the first of them; each question takes a round trip.
const BUSY_MAX: usize = 3;

/// Silent endpoints that a packet is sent to at once, since it is probably lost there.
const SILENT_MAX: usize = 2;

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
    /// No endpoint is known to take the new flow, and some do not answer; the caller repeats its packet.
    NoReady,
    /// Another endpoint has the same packet.
    Duplicate,
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
    TableHit,
    /// The endpoints are the next to be asked.
    Queried,
}

/// An endpoint that receives a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeliverTarget {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Service that must be that of the endpoint.
    pub service: ServiceDigest,
    /// Whether the endpoint takes a new flow although it is busy.
    pub forced: bool,
}

/// Endpoints that receive a packet; one for most packets.
pub type DeliverList = SmallVec<[DeliverTarget; 2]>;

/// What the traffic thread does with a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RelayVerdict {
    /// Send the packet to the agents of the endpoints, of which one at most takes it.
    Deliver {
        /// The endpoints.
        targets: DeliverList,
        /// How they were found.
        reason: DeliverReason,
    },
    /// Tell the caller that there is no flow.
    Reset(ResetReason),
    /// Decide again when the reason has passed.
    Hold(HoldReason),
    /// Do nothing.
    Drop(RelayDrop),
}

/// The steps that a packet takes, in order.
#[derive(Clone, Copy, Debug)]
enum RelayFilter {
    Kind,
    Loaded,
    Route,
    FlowTable,
    Place,
    Search,
}

const CHAIN: [RelayFilter; 6] = [
    RelayFilter::Kind,
    RelayFilter::Loaded,
    RelayFilter::Route,
    RelayFilter::FlowTable,
    RelayFilter::Place,
    RelayFilter::Search,
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
                RelayFilter::Loaded => {
                    (!view.loaded).then_some(RelayVerdict::Hold(HoldReason::Load))
                }
                RelayFilter::Route => self.check_route(head, view, now),
                RelayFilter::FlowTable => self.check_flow_table(head, view, now),
                RelayFilter::Place => self.place(head, view, now),
                RelayFilter::Search => self.search(head, view, now),
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
        key: EndpointKey,
        reason: ReturnReason,
        view: &RelayView,
        now: Instant,
    ) -> RelayVerdict {
        let verdict = check_kind(head).or_else(|| self.check_route(head, view, now));
        if let Some(verdict) = verdict {
            return verdict;
        }
        let opening = matches!(head.kind, PacketKind::Opening { .. });
        let record = self.flows.record(head.flow);
        let known = view.key_of(head.flow, key.id).unwrap_or(key);
        // A failing upstream is the last to wait at.
        let requests = match reason {
            ReturnReason::Busy { requests } => Some(requests),
            ReturnReason::Failing => Some(u32::MAX),
            ReturnReason::NotHeld | ReturnReason::NotReady | ReturnReason::WrongService => None,
        };
        if let Some(requests) = requests {
            if record.busy.iter().all(|(key, _)| *key != known) {
                record.busy.push((known, requests));
            }
        }
        // The view may be behind the agent; the life in it is not asked again either, or the packet would circle.
        for key in [key, known] {
            if !record.tried.contains(&key) {
                record.tried.push(key);
            }
        }
        match record.queried.iter().position(|queried| *queried == known) {
            Some(index) => {
                record.queried.remove(index);
                if !record.queried.is_empty() {
                    return RelayVerdict::Drop(RelayDrop::Duplicate);
                }
                record.last_in_round = Some(known);
            }
            None if record.last_in_round != Some(known) && !opening => {
                return RelayVerdict::Drop(RelayDrop::Duplicate);
            }
            None => {}
        }
        let verdict = self.place(head, view, now);
        let verdict = verdict.or_else(|| self.check_flow_table(head, view, now));
        let verdict = verdict.or_else(|| self.search(head, view, now));
        verdict.unwrap_or(RelayVerdict::Drop(RelayDrop::NoHolder))
    }

    /// Ends flows to addresses that have no route. A caller may use a route that this entry has not heard of yet, so that
    /// an open flow is ended only by routes which are read after its packet arrived.
    fn check_route(
        &mut self,
        head: &PacketHead,
        view: &RelayView,
        now: Instant,
    ) -> Option<RelayVerdict> {
        if view.routes.targets(head.flow.service).is_some() {
            return None;
        }
        if !view.synced {
            return Some(RelayVerdict::Drop(RelayDrop::NoRoute));
        }
        if let PacketKind::Opening { .. } = head.kind {
            return Some(RelayVerdict::Reset(ResetReason::NoRoute));
        }
        let unresolved_since = *self
            .flows
            .record(head.flow)
            .unresolved_since
            .get_or_insert(now);
        if view.routes_read < Some(unresolved_since) {
            return Some(RelayVerdict::Hold(HoldReason::Routes(unresolved_since)));
        }
        Some(RelayVerdict::Reset(ResetReason::NoRoute))
    }

    /// Uses what the entry remembers of the flow.
    fn check_flow_table(
        &mut self,
        head: &PacketHead,
        view: &RelayView,
        now: Instant,
    ) -> Option<RelayVerdict> {
        let record = self.flows.record(head.flow);
        if let PacketKind::Opening { copies } = head.kind {
            record_opening(record, copies, &mut self.suspects, now);
            return None;
        }
        if std::mem::take(&mut record.opening) {
            // An endpoint that refused the first packet may have taken a copy of it through another entry.
            record.tried.clear();
        }
        if record.ended {
            return Some(RelayVerdict::Reset(ResetReason::Ended));
        }
        let mut targets = DeliverList::new();
        let queried = std::mem::take(&mut record.queried);
        for key in queried {
            match view.service_of(head.flow, key) {
                Some(service) => {
                    targets.push(DeliverTarget {
                        endpoint: key,
                        service: service.digest,
                        forced: false,
                    });
                    record.queried.push(key);
                }
                // The endpoint has gone or lives again without its flows.
                None => record.tried.push(key),
            }
        }
        if targets.is_empty() {
            return None;
        }
        Some(RelayVerdict::Deliver {
            targets,
            reason: DeliverReason::TableHit,
        })
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
        let mut index = None;
        if record.busy.len() < BUSY_MAX {
            index = place::choose_endpoint(service, head.flow, &record.tried, count, avoid, now);
        }
        let least = record.busy.iter().min_by_key(|(_, requests)| *requests);
        if let (None, Some((best, _)), false) = (index, least, record.forced) {
            // Waiting at the least busy one beats a refusal, and more questions would add to the load.
            index = service
                .endpoints
                .iter()
                .position(|known| known.key() == *best);
            record.forced = true;
        }
        let Some(index) = index else {
            // After a pause of this process all endpoints look silent for a moment, and a late copy of a first packet may
            // belong to a flow that is open by now.
            if service.may_become_ready() {
                return Some(RelayVerdict::Drop(RelayDrop::NoReady));
            }
            return refused;
        };
        let endpoint = &service.endpoints[index];
        record.queried = smallvec![endpoint.key()];
        record.ended = false;
        let target = DeliverTarget {
            endpoint: endpoint.key(),
            service: service.digest,
            forced: record.forced,
        };
        self.count_pending(endpoint);
        Some(RelayVerdict::Deliver {
            targets: smallvec![target],
            reason: DeliverReason::Placed,
        })
    }

    /// Chooses the next endpoints to ask for a flow that the entry does not know.
    fn search(
        &mut self,
        head: &PacketHead,
        view: &RelayView,
        now: Instant,
    ) -> Option<RelayVerdict> {
        let record = self.flows.record(head.flow);
        // The flow was open before this moment, so that what is learned later tells whether it still is.
        let unresolved_since = *record.unresolved_since.get_or_insert(now);
        let fingerprint = fingerprint_of(head.flow);
        let mut targets = DeliverList::new();
        let mut silent = DeliverList::new();
        let mut complete = view.synced && view.holders_known;
        let mut needs_confirmation = view.endpoints_read < Some(unresolved_since);
        // The candidates of new flows are asked first, then many at once.
        let query_limit = match record.tried.len() {
            0..place::CANDIDATES => place::CANDIDATES,
            _ => QUERY_MAX,
        };
        for name in view.holder_services(head.flow) {
            let Some(service) = view.services.get(name) else {
                complete = false;
                continue;
            };
            complete &= service.complete;
            for (position, index) in place::rank(service, head.flow).into_iter().enumerate() {
                let endpoint = &service.endpoints[index];
                if record.tried.contains(&endpoint.key()) {
                    continue;
                }
                let digest = endpoint.digest.as_ref();
                if digest.is_some_and(|digest| !digest.contains(fingerprint)) {
                    if endpoint.keepalive_sent >= Some(unresolved_since) {
                        continue;
                    }
                    // A flow that was opened since the last report is at one of the candidates.
                    if position >= place::CANDIDATES {
                        needs_confirmation = true;
                        continue;
                    }
                }
                let (list, limit) = match endpoint.status {
                    EndpointStatus::Silent => (&mut silent, SILENT_MAX),
                    _ => (&mut targets, query_limit),
                };
                if list.len() < limit {
                    list.push(DeliverTarget {
                        endpoint: endpoint.key(),
                        service: service.digest,
                        forced: false,
                    });
                }
            }
        }
        // Silent endpoints are asked last, since the packet may well be lost there.
        if targets.is_empty() {
            targets = silent;
        }
        if !targets.is_empty() {
            record.queried = targets.iter().map(|target| target.endpoint).collect();
            return Some(RelayVerdict::Deliver {
                targets,
                reason: DeliverReason::Queried,
            });
        }
        if !complete {
            return None;
        }
        // Its endpoint was listed before it took the flow, so that a list read after the doubt names it.
        if needs_confirmation {
            return Some(RelayVerdict::Hold(HoldReason::Confirmation(
                unresolved_since,
            )));
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

/// Starts a record anew for a first packet, and suspects the endpoint that left an earlier copy unanswered.
fn record_opening(
    record: &mut FlowRecord,
    copies: u32,
    suspects: &mut HashMap<EndpointId, Instant>,
    now: Instant,
) {
    if copies == 0 {
        *record = FlowRecord::default();
        return;
    }
    suspects.retain(|_, until| now < *until);
    for holder in record.queried.drain(..) {
        suspects.insert(holder.id, now + SUSPECT_TIME);
    }
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
