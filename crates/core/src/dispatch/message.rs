//! Events, actions, options and load reports of the dispatch controller.

use crate::catalogue::{LimitSet, TrafficClass};
use crate::ids::{EndpointId, OwnerName, RequestId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::time::Instant;

/// Selects the agent that runs a request; the alternatives to `Pooled` are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatchPolicy {
    /// Any agent with a free slot: requests are handed over to peers, and idle agents pull waiting requests.
    #[default]
    Pooled,
    /// An agent chosen uniformly at random, including the one on which the request arrived.
    Random,
    /// All agents in turn, including the one on which the request arrived.
    RoundRobin,
    /// The agent with the fewest running and queued requests, according to the last reports.
    LeastReported,
    /// Always the agent on which the request arrived.
    Local,
}

/// Scheduling attributes of one request.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// Identifier, which stays the same when the request is handed over.
    pub id: RequestId,
    /// Traffic class, from the path prefix and the caller's priority.
    pub class: TrafficClass,
    /// Owner of the service; waiting requests of one class are served fairly between owners.
    pub owner: OwnerName,
    /// When the first agent received the request; the queue is ordered by it, also after a hand-over.
    pub arrived: Instant,
    /// Time after which a response is useless; a request that still waits is refused then.
    pub deadline: Instant,
    /// Hash of attributes that predict the service time, such as the path; 0 if there are none.
    pub work_key: u64,
}

/// Load that an agent reports to its peers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Slots that are neither in use nor needed by waiting requests; 0 while the agent does not accept requests.
    pub free_slots: u16,
    /// Requests that run on the local upstream.
    pub running: u16,
    /// Requests in the queue, including those accepted from peers.
    pub queued: u16,
    /// Most urgent class that a peer may pull; meaningless while `oldest_us` is 0.
    pub waiting_class: TrafficClass,
    /// Age of the oldest request of `waiting_class` that a peer may pull, in microseconds; 0 when there is none.
    pub oldest_us: u32,
    /// Running requests of the bulk class or with a long service time, which are bounded by `slot_share`.
    pub long_running: u16,
    /// Moving average of the share of slots in use, with a time constant of 1 s, in thousandths.
    pub busy_permille: u16,
    /// Whether the agent accepts requests from its peers.
    pub accepting: bool,
}

/// Why dispatch or the filters refused a request; a refused request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum RefusalReason {
    /// The queue of the service is full.
    QueueFull,
    /// The `in_flight` limit is reached.
    InFlightLimit,
    /// The owner already holds its fair share of the `in_flight` limit.
    OwnerLimit,
    /// The deadline passed while the request was waiting, or the caller allowed no time.
    Deadline,
    /// The class is overloaded, or a full queue evicted the request in favour of a more urgent class.
    Overload,
    /// The endpoint is draining and no peer accepts requests.
    Draining,
}

/// Input of [`super::DispatchController::handle`].
#[derive(Clone, Debug)]
pub enum DispatchEvent {
    /// A caller's request passed the filters before dispatch.
    Arrived(RequestMeta),
    /// A peer offers a request.
    Offered(EndpointId, RequestMeta),
    /// A peer accepted the offered request.
    OfferAccepted(RequestId, EndpointId),
    /// A peer rejected the offered request, returned it later, or could not be reached before the offer was sent; the
    /// request did not run there.
    OfferRejected(RequestId, EndpointId),
    /// The caller cancelled a request, or its connection closed.
    Cancelled(RequestId),
    /// The request ended on the local upstream or on a peer; its outcome counts for outlier ejection.
    Finished {
        /// Identifier of a local or remote request; an unknown one is ignored.
        id: RequestId,
        /// Whether the upstream responded without a failure.
        ok: bool,
    },
    /// A load report of a peer was received.
    PeerLoad(EndpointId, LoadReport),
    /// A peer with a free slot pulls one of this agent's waiting requests.
    PullReceived(EndpointId),
    /// The set of ready peers of the service changed.
    PeersChanged(Vec<EndpointId>),
    /// The limits of the service changed in the catalogue; they apply to later decisions.
    LimitsChanged(LimitSet),
    /// The health of the upstream changed; while it is out of service, all requests are handed over to peers.
    UpstreamChanged {
        /// Whether the upstream is in service.
        serving: bool,
    },
    /// This endpoint began to drain; it starts no further requests and hands waiting ones over to peers.
    DrainStarted,
    /// The time returned by [`super::DispatchController::next_deadline`] was reached.
    TimerFired,
}

/// Output of [`super::DispatchController::handle`], which the runtime has to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DispatchAction {
    /// Send the request to the local upstream.
    Start(RequestId),
    /// Offer the request to a peer over TCP.
    HandOver(RequestId, EndpointId),
    /// Accept the offer of a peer; `Start` follows immediately or later.
    AcceptOffer(RequestId),
    /// Reject the offer of a peer; this can follow `AcceptOffer` as long as the request has not been started.
    RejectOffer(RequestId),
    /// Respond to the caller that the request was not run, with the reason.
    Refuse(RequestId, RefusalReason),
    /// Pull a waiting request from the peer.
    SendPull(EndpointId),
    /// Send this load report to the peers in [`super::DispatchController::load_targets`].
    SendLoad(LoadReport),
    /// Withdraw an offer that the peer did not answer in time.
    ///
    /// The runtime then reports [`DispatchEvent::OfferRejected`] if the peer has not run the request and will not,
    /// [`DispatchEvent::OfferAccepted`] if the peer has accepted it, and [`DispatchEvent::Finished`] with `ok: false`
    /// if neither can be determined.
    WithdrawOffer(RequestId, EndpointId),
}

/// Order in which the requests of one class leave the queue; all but the default are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// Oldest first, also under overload.
    Fifo,
    /// Oldest first, but newest first while the class is overloaded.
    #[default]
    NewestUnderOverload,
    /// Earliest deadline first.
    EarliestDeadline,
    /// Oldest first; while the class is overloaded, refuses requests that waited longer than a short target.
    ControlledDelay,
}

/// Mechanisms that can be disabled to measure the effect of each.
#[derive(Clone, Copy, Debug)]
pub struct DispatchOptions {
    /// Idle agents pull waiting requests from their peers.
    pub pull: bool,
    /// Long and bulk requests are bounded by `slot_share`.
    pub long_share: bool,
    /// Agents busier than the mean of their peers hand over requests even while they have free slots.
    pub balance: bool,
    /// The local upstream and peers are ejected when their requests fail.
    pub eject: bool,
    /// The rate of requests handed over to a new peer increases gradually.
    pub slow_start: bool,
    /// Order in which the requests of one class leave the queue.
    pub order: QueueOrder,
}

impl Default for DispatchOptions {
    fn default() -> Self {
        Self {
            pull: true,
            long_share: true,
            balance: true,
            eject: true,
            slow_start: true,
            order: QueueOrder::default(),
        }
    }
}

/// Actions caused by one event; most events cause at most 4, which need no heap allocation.
pub type ActionList = SmallVec<[DispatchAction; 4]>;
