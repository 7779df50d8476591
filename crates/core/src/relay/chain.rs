//! The packet filter chain of an entry for opaque flows.
//!
//! The chain works on decoded packet heads and so does not depend on the encoding. It returns verdicts that the
//! traffic thread executes. See docs/relay.md.

mod opening;
mod search;
mod table;

pub use self::opening::UnansweredList;
pub use self::table::{DroppedHolder, DroppedHolders, RoundVerdict};
use crate::ids::{EndpointId, ServiceDigest, ServiceName};
use crate::relay::admit::{
    AdmissionContext, AdmissionPolicy, Overflow, BUSY_MAX, FAILING_REQUESTS,
};
use crate::relay::cold::ColdPolicy;
use crate::relay::credits::CreditTable;
use crate::relay::flows::FlowTable;
use crate::relay::hold::HoldReason;
use crate::relay::intake::ReturnReason;
use crate::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use crate::relay::pending::PendingTable;
use crate::relay::place::{EndpointKey, TriedList};
use crate::relay::routes::{choose_target, RouteSet};
use crate::relay::view::RelayView;
use smallvec::{smallvec, SmallVec};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which an endpoint that did not answer a first packet gets new flows only as a last resort. It spans the
/// caller's retransmissions: the third and last copy of a first packet leaves 600 ms after the first.
const SUSPECT_TIME: Duration = Duration::from_millis(600);

/// Idle time after which a flow is dropped from the flow table while no routes are in force.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Why a packet is dropped without an answer to its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RelayDrop {
    /// The packet is of a kind that only upstreams send.
    Unexpected,
    /// The address has no route, but the entry's routes may be out of date.
    NoRoute,
    /// No queried endpoint holds the flow, and some endpoints could not be queried.
    NoHolder,
    /// No ready endpoint accepts the new flow, but a silent or pending one may become ready. The caller retransmits
    /// its packet.
    NoReady,
    /// The ready endpoints are cold and have taken as many new flows as they may. The caller retransmits its packet, which
    /// is then placed anew.
    Cold,
    /// Another endpoint has received the same packet and may still accept it.
    Duplicate,
}

/// Why a flow is reset towards its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ResetReason {
    /// The address has no route.
    NoRoute,
    /// No endpoint accepts the new flow, and none is expected to become ready.
    Refused,
    /// No endpoint can answer the request of the new flow before its caller gives it up.
    Hopeless,
    /// Every endpoint that may hold the flow has been ruled out.
    Ended,
}

/// How an endpoint was found for a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DeliverReason {
    /// The flow is new and was placed on the endpoint by load.
    Placed,
    /// The flow is new and was placed on an endpoint of another service of its route, because its own has no room.
    Spilled,
    /// The flow table holds the endpoint.
    TableHit,
    /// The holder is unknown, and the endpoints are the next to be queried.
    Queried,
}

/// An endpoint that receives a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeliverTarget {
    /// Endpoint whose agent receives the packet.
    pub endpoint: EndpointKey,
    /// Service of the flow; an agent of another service returns the packet.
    pub service: ServiceDigest,
    /// Whether the endpoint has to take a new flow even if it is busy. With a packet of an open flow, whether its agent has
    /// to claim the flow if the upstream holds it.
    pub forced: bool,
    /// First packets a second that the endpoint may take while it is cold; only for first packets of services with such a
    /// limit.
    pub cold_limit: Option<u8>,
}

/// Endpoints that receive a packet: one for most packets, several during a search.
pub type DeliverList = SmallVec<[DeliverTarget; 2]>;

/// What the traffic thread does with a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RelayVerdict {
    /// Send the packet to the agents of the endpoints, of which at most one accepts it.
    Deliver {
        /// Endpoints that receive the packet.
        targets: DeliverList,
        /// How the endpoints were found.
        reason: DeliverReason,
    },
    /// Reset the flow towards the caller.
    Reset(ResetReason),
    /// Hold the packet and decide again when the awaited update has arrived.
    Hold(HoldReason),
    /// Drop the packet without an answer.
    Drop(RelayDrop),
}

/// The filters in the order in which a packet passes them; the first verdict ends the chain.
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

/// Rules of a chain that the settings of the entry enable. See docs/load.md.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChainPolicy {
    /// Limit of first packets to cold endpoints; without it they have no limit.
    pub cold: Option<ColdPolicy>,
    /// Decisions on new flows for which there is no room or no ready endpoint.
    pub admission: AdmissionPolicy,
}

/// The filter chain with its state: flow table, unreported flows per endpoint, endpoints without credit and suspected
/// endpoints.
#[derive(Debug)]
pub struct RelayChain {
    policy: ChainPolicy,
    flows: FlowTable,
    pending: PendingTable,
    credits: CreditTable,
    suspects: HashMap<EndpointId, Instant>,
    /// Endpoints that became suspect since they were taken last.
    unanswered: UnansweredList,
    /// Holders that were dropped from the flow table since they were taken last.
    dropped_holders: DroppedHolders,
    /// Point in time up to which all answers of endpoints that have arrived are read.
    answers_read: Instant,
}

impl RelayChain {
    /// Makes a chain with an empty flow table that places new flows by load only.
    pub fn new(now: Instant) -> Self {
        Self::with_policy(ChainPolicy::default(), now)
    }

    /// Makes a chain with an empty flow table and the rules of `policy`.
    pub fn with_policy(policy: ChainPolicy, now: Instant) -> Self {
        Self {
            policy,
            flows: FlowTable::new(now),
            pending: PendingTable::default(),
            credits: CreditTable::default(),
            suspects: HashMap::new(),
            unanswered: UnansweredList::new(),
            dropped_holders: DroppedHolders::new(),
            answers_read: now,
        }
    }

    /// Returns the number of flows in the flow table.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Removes and returns the endpoints that left a first packet unanswered, as the last decision has shown.
    pub fn take_unanswered(&mut self) -> UnansweredList {
        std::mem::take(&mut self.unanswered)
    }

    /// Removes and returns the holders that the last decisions dropped from the flow table.
    pub fn take_dropped_holders(&mut self) -> DroppedHolders {
        std::mem::take(&mut self.dropped_holders)
    }

    /// Returns the endpoints that the search for a flow leaves out because they returned a packet of it.
    pub fn ruled_out(&self, flow: FlowAddresses) -> TriedList {
        let record = self.flows.get(flow);
        record.map_or_else(TriedList::new, |record| record.tried.clone())
    }

    /// Decides what to do with a packet that a caller sent.
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

    /// Decides what to do with a packet that the endpoint `key` returned because it does not hold the flow or does
    /// not accept a new one.
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
        let requests = match reason {
            ReturnReason::Busy { requests } => Some(requests),
            ReturnReason::Failing => Some(FAILING_REQUESTS),
            ReturnReason::NotHeld
            | ReturnReason::NotReady
            | ReturnReason::Cold { .. }
            | ReturnReason::WrongService => None,
        };
        if let Some(requests) = requests {
            if record.busy.iter().all(|(key, _)| *key != known) {
                record.busy.push((known, requests));
            }
        }
        if let ReturnReason::Cold { wait_ms } = reason {
            self.credits.spend(known, wait_ms, now);
            record.cold_returned = true;
        }
        // The view may lag behind the agent. The incarnation in the view is not queried again either; otherwise the
        // packet would loop between entry and agent.
        for key in [key, known] {
            if !record.tried.contains(&key) {
                record.tried.push(key);
            }
        }
        let queried = record.queried.iter().position(|key| key.may_be(known));
        match queried {
            Some(index) => {
                record.queried.remove(index);
                record.placed = record.placed.saturating_sub(u8::from(opening));
                // Silent endpoints probably do not answer, so that the round is over without them. They could still accept a
                // first packet.
                let mut left = record.queried.iter();
                if left.any(|key| opening || view.is_awaited(head.flow, *key)) {
                    return RelayVerdict::Drop(RelayDrop::Duplicate);
                }
                record.last_in_round = Some(known);
                if !record.queried.is_empty() {
                    return self.widen(head, DeliverList::new(), view, now);
                }
            }
            None if record.last_in_round != Some(known) && !opening => {
                return RelayVerdict::Drop(RelayDrop::Duplicate);
            }
            None => {}
        }
        let mut verdict = self.place(head, view, now);
        // A returned first packet is no new one; the endpoints that returned it stay ruled out.
        if verdict.is_none() && !opening {
            verdict = self.check_flow_table(head, view, now);
        }
        let verdict = verdict.or_else(|| self.search(head, view, now));
        verdict.unwrap_or(RelayVerdict::Drop(RelayDrop::NoHolder))
    }

    /// Resets flows to addresses without a route. A caller may use a route that this entry has not read yet, so an
    /// open flow is reset only if routes that were read after its packet arrived have no route either.
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

    /// Chooses the endpoint of a new flow.
    fn place(&mut self, head: &PacketHead, view: &RelayView, now: Instant) -> Option<RelayVerdict> {
        let PacketKind::Opening { copies } = head.kind else {
            return None;
        };
        let refused = Some(RelayVerdict::Reset(ResetReason::Refused));
        let target = choose_target(view.routes.targets(head.flow.service)?, head.flow)?;
        let mut name = &target.service;
        let Some(mut service) = view.services.get(name) else {
            return refused;
        };
        let record = self.flows.record(head.flow);
        record.record_opening(copies);
        let context = AdmissionContext {
            view,
            flow: head.flow,
            record,
            pending: &self.pending,
            credits: &self.credits,
            suspects: &self.suspects,
            now,
        };
        let admission = self.policy.admission;
        let mut index = match context.busy_count(service) < BUSY_MAX {
            true => context.choose(service),
            false => None,
        };
        let mut reason = DeliverReason::Placed;
        let least = context.least_busy(service);
        let overflow = match admission {
            AdmissionPolicy::Off => Overflow::Stay,
            AdmissionPolicy::On => context.overflow(name, index),
        };
        match overflow {
            Overflow::Stay => {}
            Overflow::Spill {
                name: other,
                service: other_service,
                index: other_index,
            } => {
                (name, service, index) = (other, other_service, Some(other_index));
                reason = DeliverReason::Spilled;
            }
            // A copy is not held, since its caller has waited for 200 ms already.
            Overflow::Wait if copies > 0 => {}
            Overflow::Wait => {
                if let Some(held) = self.hold_until_ready(head, copies, service, now) {
                    return Some(held);
                }
            }
            Overflow::Refuse => return Some(RelayVerdict::Reset(ResetReason::Hopeless)),
        }
        let record = self.flows.record(head.flow);
        if let (None, Some((best, _)), false) = (index, least, record.forced) {
            // All candidates are busy. Queueing at the least busy one is better than a refusal, and further attempts
            // would add to the load.
            index = Some(best);
            record.forced = true;
        }
        let Some(index) = index else {
            if self.credits.is_awaited(service, now) {
                return Some(RelayVerdict::Drop(RelayDrop::Cold));
            }
            // The flow is not reset while an endpoint may become ready: after a pause of this process all endpoints
            // look silent for a moment, and a late copy of a first packet may belong to a flow that is open by now.
            if service.may_become_ready() {
                let held = self.hold_until_ready(head, copies, service, now);
                return held.or(Some(RelayVerdict::Drop(RelayDrop::NoReady)));
            }
            // The flow may be open at an endpoint that has taken it before its zone was evacuated.
            if record.placed > 0 && service.has_evacuated() {
                return Some(RelayVerdict::Drop(RelayDrop::Duplicate));
            }
            return refused;
        };
        let endpoint = &service.endpoints[index];
        record.record_placed();
        record.queried = smallvec![endpoint.key()];
        let target = DeliverTarget {
            endpoint: endpoint.key(),
            service: service.digest,
            forced: record.forced,
            cold_limit: self.policy.cold_limit(&view.routes, name),
        };
        self.pending.count(endpoint);
        Some(RelayVerdict::Deliver {
            targets: smallvec![target],
            reason,
        })
    }
}

impl ChainPolicy {
    /// Returns the limit of first packets that go with a new flow of `service`.
    fn cold_limit(&self, routes: &RouteSet, service: &ServiceName) -> Option<u8> {
        let rate = routes.cold_rates.get(service)?;
        self.cold.map(|cold| cold.limit(*rate))
    }
}

fn check_kind(head: &PacketHead) -> Option<RelayVerdict> {
    match head.kind {
        // Only an upstream accepts a flow; the endpoint would accept such a packet from a caller as genuine.
        PacketKind::Accepting => Some(RelayVerdict::Drop(RelayDrop::Unexpected)),
        PacketKind::Opening { .. }
        | PacketKind::Established
        | PacketKind::Ending
        | PacketKind::Reset => None,
    }
}
