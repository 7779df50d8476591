//! Messages with which agents of a service hand over requests to each other.
//!
//! A connection carries one request at a time. The agent that opened it sends [`HandoverRequest`]s, the other agent
//! sends [`HandoverReply`]s. See docs/design.md, section 5.

use bytes::Bytes;
use quetzalhill_core::catalogue::TrafficClass;
use quetzalhill_core::ids::{EndpointId, IncarnationNumber, OwnerName, RequestId, ServiceNumber};
use serde::{Deserialize, Serialize};

/// Largest part of a body in one frame, in bytes.
pub const BODY_CHUNK_MAX: usize = 32 * 1024;

/// Names and values of HTTP header fields, in their order of arrival.
pub type FieldList = Vec<(String, Bytes)>;

/// Sender and receiver of a request; an agent that does not match the receiver must not run the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverTarget {
    /// Agent that sends the request.
    pub from: EndpointId,
    /// Agent that receives the request.
    pub to: EndpointId,
    /// Incarnation of the receiving agent.
    pub incarnation: IncarnationNumber,
    /// Service of both agents.
    pub service: ServiceNumber,
}

/// Head of an HTTP request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestHead {
    /// Method, such as `GET`.
    pub method: String,
    /// Path and query of the request target.
    pub path: String,
    /// Authority of the request target; `None` if the caller sent none.
    pub authority: Option<String>,
    /// Header fields, including the idempotency key and the session token.
    pub fields: FieldList,
}

/// Body of a request, as far as it has been received when the head is sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestBody {
    /// The request has no body.
    Empty,
    /// The complete body.
    Whole(Bytes),
    /// The body follows in [`HandoverRequest::Body`] frames after [`HandoverReply::Started`].
    Streamed,
}

/// A queued request that an agent offers to a peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestOffer {
    /// The agents.
    pub target: HandoverTarget,
    /// Identity of the request.
    pub id: RequestId,
    /// Class of the request after the path prefixes and the caller's priority have been applied.
    pub class: TrafficClass,
    /// Owner toward whose limits the request counts.
    pub owner: OwnerName,
    /// Hash of the attributes by which requests are classified as short or long-running.
    pub work_key: u64,
    /// Time since the first agent received the request, in microseconds.
    pub age_us: u64,
    /// Time until its answer is of no use any more, in microseconds.
    pub remaining_us: u64,
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: RequestBody,
}

/// A request with an idempotency key that is forwarded to the agent that issued its session token (home agent).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardRequest {
    /// The agents.
    pub target: HandoverTarget,
    /// Time until its answer is of no use any more, in microseconds.
    pub remaining_us: u64,
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: RequestBody,
}

/// Frames that the agent that opened the connection sends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HandoverRequest {
    /// Offers a request, which the receiver accepts or rejects.
    Offer(Box<RequestOffer>),
    /// Forwards a request with an idempotency key to its home agent.
    Forward(Box<ForwardRequest>),
    /// Next part of the request body, at most [`BODY_CHUNK_MAX`] bytes.
    Body(Bytes),
    /// The request body is complete.
    BodyEnd,
    /// Withdraws an offer; the reply is [`HandoverReply::Reject`] unless the request has already started.
    Withdraw,
    /// Cancels the request in any state; the connection is then closed.
    Cancel,
}

/// Whether the upstream has run a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AnswerOutcome {
    /// The upstream ran the request and answered it.
    Answered,
    /// The request was not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Frames that the agent that accepted the connection sends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HandoverReply {
    /// The offer is accepted.
    Accept,
    /// The request was not run and will not be run; may follow [`HandoverReply::Accept`] until the request starts.
    Reject,
    /// The request is being sent to the upstream and may run from now on.
    Started,
    /// Head of the answer.
    Head {
        /// Whether the upstream has run the request.
        outcome: AnswerOutcome,
        /// HTTP status code.
        status: u16,
        /// Header fields of the answer.
        fields: FieldList,
    },
    /// Next part of the answer's body, at most [`BODY_CHUNK_MAX`] bytes.
    Chunk(Bytes),
    /// The answer is complete.
    End,
}
