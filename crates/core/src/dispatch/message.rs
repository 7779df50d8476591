//! Events, actions and reports of the dispatch controller.

use crate::catalogue::{LimitSet, TrafficClass};
use crate::ids::{EndpointId, OwnerName, RequestId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
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
    /// Hash of what tells short from long work, such as the path; 0 when nothing does.
    pub work_key: u64,
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
    /// Most urgent class in the queue; of no meaning while `queued` is 0.
    pub waiting_class: TrafficClass,
    /// Age of the oldest request of `waiting_class` that a peer may pull, in microseconds; 0 when there is none.
    pub oldest_us: u32,
    /// Running requests that are bulk or long.
    pub long_running: u16,
    /// Average share of the slots in use over about a second, in thousandths.
    pub busy_permille: u16,
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
    /// A peer did not take it, gave it back, or could not be reached before the offer left; it was not run there.
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
    /// The upstream serves or is out of service; while it is, peers run all requests.
    UpstreamChanged {
        /// Whether it serves.
        serving: bool,
    },
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
    /// Tell the peer that its offer is not taken; it may follow `AcceptOffer` as long as no `Start` did.
    RejectOffer(RequestId),
    /// Answer the caller that the request was not run.
    Refuse(RequestId, RefusalReason),
    /// Ask the peer for waiting work.
    SendPull(EndpointId),
    /// Tell the peers in [`super::DispatchController::load_targets`] this load.
    SendLoad(LoadReport),
    /// Withdraw an offer that the peer has not answered in time.
    ///
    /// The runtime reports [`DispatchEvent::OfferRejected`] if the peer has not run it and will not,
    /// [`DispatchEvent::OfferAccepted`] if it has taken it, and [`DispatchEvent::Finished`] with `ok: false` if
    /// that cannot be known.
    WithdrawOffer(RequestId, EndpointId),
}

/// Order in which the requests of one class leave the queue; all but the default exist to be measured against it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// Oldest first.
    Fifo,
    /// Oldest first, and newest first while the class has been waiting without a break.
    #[default]
    NewestUnderOverload,
    /// Earliest deadline first.
    EarliestDeadline,
    /// Oldest first; refuses what waited longer than a short target while the class is overloaded.
    ControlledDelay,
}

/// Mechanisms that can be switched off to measure what each contributes.
#[derive(Clone, Copy, Debug)]
pub struct DispatchOptions {
    /// Idle agents ask for waiting work.
    pub pull: bool,
    /// Agents ask shortly before a slot frees.
    pub prefetch: bool,
    /// Long and bulk work is bounded by `slot_share`.
    pub long_share: bool,
    /// Requests that would miss their deadline are refused early.
    pub early_refusal: bool,
    /// Work moves from agents that are busier than their peers before their slots are full.
    pub balance: bool,
    /// The local upstream and peers that fail are avoided.
    pub eject: bool,
    /// Work handed to a new peer rises slowly.
    pub slow_start: bool,
    /// Order within a class.
    pub order: QueueOrder,
}

impl Default for DispatchOptions {
    fn default() -> Self {
        Self {
            pull: true,
            prefetch: true,
            long_share: true,
            early_refusal: true,
            balance: true,
            eject: true,
            slow_start: true,
            order: QueueOrder::default(),
        }
    }
}

/// Actions that one event causes.
pub type ActionList = SmallVec<[DispatchAction; 4]>;
