//! Messages of the hand-over of requests between agents of a service.
//!
//! A connection carries one request at a time. The agent that opened it sends [`HandoverRequest`]s, the other one
//! [`HandoverReply`]s. See docs/design.md, section 5.

use bytes::Bytes;
use quetzalhill_core::catalogue::TrafficClass;
use quetzalhill_core::ids::{EndpointId, IncarnationNumber, OwnerName, RequestId, ServiceNumber};
use serde::{Deserialize, Serialize};

/// Most bytes of a body in one frame.
pub const BODY_CHUNK_MAX: usize = 32 * 1024;

/// Header fields in their order.
pub type FieldList = Vec<(String, Bytes)>;

/// Where a request goes; an agent that is not the one named there does not run it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverTarget {
    /// Agent that sends the request.
    pub from: EndpointId,
    /// Agent that is to receive it.
    pub to: EndpointId,
    /// Life of that agent.
    pub incarnation: IncarnationNumber,
    /// Service of both.
    pub service: ServiceNumber,
}

/// Head of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestHead {
    /// Method, such as `GET`.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Authority that the caller asked.
    pub authority: Option<String>,
    /// Header fields, among them those of idempotency and session.
    pub fields: FieldList,
}

/// Body of a request, as far as it is known when the request leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestBody {
    /// There is none.
    Empty,
    /// The whole body.
    Whole(Bytes),
    /// [`HandoverRequest::Body`] frames follow after [`HandoverReply::Started`].
    Streamed,
}

/// A request that dispatch offers to a peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestOffer {
    /// The agents.
    pub target: HandoverTarget,
    /// Identity of the request.
    pub id: RequestId,
    /// Class after path prefixes and the caller's priority.
    pub class: TrafficClass,
    /// Owner whose limits the request uses.
    pub owner: OwnerName,
    /// Hash of what tells short from long work.
    pub work_key: u64,
    /// Time since the first agent received it, in microseconds.
    pub age_us: u64,
    /// Time until its answer is of no use any more, in microseconds.
    pub left_us: u64,
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: RequestBody,
}

/// A keyed request on its way to the agent that issued its session token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HomeRequest {
    /// The agents.
    pub target: HandoverTarget,
    /// Time until its answer is of no use any more, in microseconds.
    pub left_us: u64,
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: RequestBody,
}

/// What the agent that opened the connection sends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HandoverRequest {
    /// Offers a request.
    Offer(Box<RequestOffer>),
    /// Passes a keyed request to its home agent.
    Home(Box<HomeRequest>),
    /// Bytes of the body.
    Body(Bytes),
    /// The body is complete.
    BodyEnd,
    /// Takes back an offer that has not started; the answer is [`HandoverReply::Reject`] unless it has.
    Withdraw,
    /// Cancels the request, whatever its state; the connection is closed.
    Cancel,
}

/// What is known of a request that has been answered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AnswerOutcome {
    /// The upstream answered.
    Answered,
    /// The request was not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// What the agent that accepted the connection sends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HandoverReply {
    /// The offer is taken.
    Accept,
    /// The request was not run and will not be; may follow [`HandoverReply::Accept`] while it has not started.
    Reject,
    /// The request is sent to the upstream.
    Started,
    /// Head of the answer.
    Head {
        /// What is known of the request.
        outcome: AnswerOutcome,
        /// HTTP status code.
        status: u16,
        /// Header fields.
        fields: FieldList,
    },
    /// Bytes of the answer's body.
    Chunk(Bytes),
    /// The answer is complete.
    End,
}
