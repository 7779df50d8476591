//! Decides where and when each request of an agent runs.
//!
//! Agents of one service form one pool: a request that finds no free local slot is handed to a peer believed to
//! have one, and an agent with a free slot pulls waiting work. See docs/design.md, decision 4.

use crate::catalogue::{LimitSet, TrafficClass};
use crate::ids::{EndpointId, OwnerName, RequestId};
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::VecDeque;
use std::time::Instant;

/// Which peer runs a request; the alternatives to `Pooled` exist to be measured against it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatchPolicy {
    /// Hand over to a free peer and pull waiting work.
    #[default]
    Pooled,
    /// A peer chosen at random.
    Random,
    /// All peers in turn.
    RoundRobin,
    /// The peer with the least load in its last report.
    LeastReported,
    /// The agent on which the request arrived.
    Local,
}

/// What the controller knows of one request.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// Identity, kept over a hand-over.
    pub id: RequestId,
    /// Class after path prefixes and the caller's priority.
    pub class: TrafficClass,
    /// Owner whose limits the request uses.
    pub owner: OwnerName,
    /// When the first agent received it.
    pub arrived: Instant,
    /// When its answer is of no use any more.
    pub deadline: Instant,
}

/// Load that an agent tells its peers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Slots that run nothing.
    pub free_slots: u16,
    /// Requests that run.
    pub running: u16,
    /// Requests in the queue.
    pub queued: u16,
    /// Age of the oldest request in the queue, in microseconds.
    pub oldest_us: u32,
    /// Whether the agent accepts requests from its peers.
    pub accepting: bool,
}

/// Why a request was refused; a refused request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The queue of the service is full.
    QueueFull,
    /// The limit on requests in flight is reached.
    InFlightLimit,
    /// The owner's limit is reached.
    OwnerLimit,
    /// The request would not be answered before its deadline.
    Deadline,
    /// A more urgent class needs the capacity.
    Overload,
    /// The endpoint is draining and no peer takes the request.
    Draining,
}

/// What happened at the agent.
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// A caller's request passed the filters before dispatch.
    Arrived(RequestMeta),
    /// A peer offers a request.
    Offered(EndpointId, RequestMeta),
    /// A peer took the request that was offered to it.
    OfferAccepted(RequestId, EndpointId),
    /// A peer did not take it, or could not be reached before the offer left; it was not run there.
    OfferRejected(RequestId, EndpointId),
    /// The caller cancelled a request, or its connection closed.
    Cancelled(RequestId),
    /// The upstream or the peer finished the request; `ok` is what it says of the upstream's health.
    Finished {
        /// The request.
        id: RequestId,
        /// Whether the upstream answered without failing.
        ok: bool,
    },
    /// A peer reported its load.
    PeerLoad(EndpointId, LoadReport),
    /// A peer with a free slot asks for waiting work.
    PullReceived(EndpointId),
    /// The set of ready peers of the service changed.
    PeersChanged(Vec<EndpointId>),
    /// The catalogue changed the limits.
    LimitsChanged(LimitSet),
    /// This endpoint began to drain.
    DrainStarted,
    /// The time from `next_deadline` has come.
    TimerFired,
}

/// What the runtime around the controller has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DispatchAction {
    /// Send the request to the local upstream.
    Start(RequestId),
    /// Offer the request to a peer over TCP.
    HandOver(RequestId, EndpointId),
    /// Tell the peer that its offer is taken; a `Start` follows at once or later.
    AcceptOffer(RequestId),
    /// Tell the peer that its offer is not taken.
    RejectOffer(RequestId),
    /// Answer the caller that the request was not run.
    Refuse(RequestId, RefusalReason),
    /// Ask the peer for waiting work.
    SendPull(EndpointId),
    /// Tell all peers this load.
    SendLoad(LoadReport),
}

/// Actions that one event causes.
pub type ActionList = SmallVec<[DispatchAction; 4]>;

/// Owns the queue and the slots of one agent.
#[derive(Debug)]
pub struct DispatchController {
    policy: DispatchPolicy,
    slots: u16,
    limits: LimitSet,
    queue: VecDeque<RequestMeta>,
    running: Vec<RequestId>,
}

impl DispatchController {
    /// Makes a controller for an upstream that runs `slots` requests at the same time.
    pub fn new(policy: DispatchPolicy, slots: u16, limits: LimitSet) -> Self {
        Self {
            policy,
            slots,
            limits,
            queue: VecDeque::new(),
            running: Vec::new(),
        }
    }

    /// Returns the policy in use.
    pub fn policy(&self) -> DispatchPolicy {
        self.policy
    }

    /// Returns the load to report to peers.
    pub fn load(&self, now: Instant) -> LoadReport {
        // CAST: The queue is bounded by the catalogue's limits; larger values saturate before the cast.
        let queued = self.queue.len().min(usize::from(u16::MAX)) as u16;
        // CAST: At most `slots` requests run.
        let running = self.running.len().min(usize::from(u16::MAX)) as u16;
        let oldest = self.queue.front().map_or(0, |meta| {
            u32::try_from(now.saturating_duration_since(meta.arrived).as_micros())
                .unwrap_or(u32::MAX)
        });
        LoadReport {
            free_slots: self.slots.saturating_sub(running),
            running,
            queued,
            oldest_us: oldest,
            accepting: true,
        }
    }

    /// Returns when [`DispatchEvent::TimerFired`] is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.queue.iter().map(|meta| meta.deadline).min()
    }

    /// Takes one event and returns what has to be done.
    pub fn handle(
        &mut self,
        event: DispatchEvent,
        now: Instant,
        _rng: &mut SmallRng,
    ) -> ActionList {
        let mut actions = ActionList::new();
        match event {
            DispatchEvent::Arrived(meta) => self.arrive(meta, &mut actions),
            DispatchEvent::Offered(_, meta) => actions.push(DispatchAction::RejectOffer(meta.id)),
            DispatchEvent::Cancelled(id) | DispatchEvent::Finished { id, .. } => self.forget(id),
            DispatchEvent::LimitsChanged(limits) => self.limits = limits,
            DispatchEvent::OfferAccepted(..)
            | DispatchEvent::OfferRejected(..)
            | DispatchEvent::PeerLoad(..)
            | DispatchEvent::PullReceived(_)
            | DispatchEvent::PeersChanged(_)
            | DispatchEvent::DrainStarted
            | DispatchEvent::TimerFired => {}
        }
        self.refuse_late(now, &mut actions);
        self.start_waiting(&mut actions);
        actions
    }

    fn arrive(&mut self, meta: RequestMeta, actions: &mut ActionList) {
        if self.queue.len() >= usize::try_from(self.limits.queue).unwrap_or(usize::MAX) {
            actions.push(DispatchAction::Refuse(meta.id, RefusalReason::QueueFull));
            return;
        }
        self.queue.push_back(meta);
    }

    fn forget(&mut self, id: RequestId) {
        self.running.retain(|&other| other != id);
        self.queue.retain(|meta| meta.id != id);
    }

    fn refuse_late(&mut self, now: Instant, actions: &mut ActionList) {
        self.queue.retain(|meta| {
            let late = meta.deadline <= now;
            if late {
                actions.push(DispatchAction::Refuse(meta.id, RefusalReason::Deadline));
            }
            !late
        });
    }

    fn start_waiting(&mut self, actions: &mut ActionList) {
        while self.running.len() < usize::from(self.slots) {
            let Some(meta) = self.queue.pop_front() else {
                break;
            };
            self.running.push(meta.id);
            actions.push(DispatchAction::Start(meta.id));
        }
    }
}
