//! One request of a caller, from its head to the end of its answer.

use super::answer::{AnswerWriter, RequestMeter};
use super::body::{read_chunk, BodyReader, BodyStart};
use super::context::TrafficContext;
use super::headers;
use super::once::OnceTicket;
use super::run::{run_here, StartedRequest};
use super::scheduler::{RunDecision, RunTicket};
use super::transport::{StreamEnd, StreamWatch};
use crate::handover::home::{self, ForeignRequest};
use crate::handover::offer;
use bytes::Bytes;
use http::request::Parts;
use http::{Method, StatusCode};
use quetzalhill_core::dispatch::{RefusalReason, RequestMeta};
use quetzalhill_core::ids::ServiceNumber;
use quetzalhill_core::once::{OnceOutcome, SessionToken};
use quetzalhill_core::request::{
    self, InvalidReason, NotRunReason, RequestContext, RequestPlan, RequestVerdict,
};
use quetzalhill_wire::session;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::mpsc;

/// A request whose head has been read.
pub(crate) struct CallerRequest {
    /// Method, path and header fields.
    pub(crate) head: Parts,
    /// The request's body.
    pub(crate) reader: BodyReader,
    /// The way to the caller.
    pub(crate) writer: AnswerWriter,
    /// Service for which the connection was made.
    pub(crate) number: ServiceNumber,
    /// When the head was read.
    pub(crate) arrived: Instant,
    /// Whether another agent passed the request to this one as its home.
    pub(crate) passed: bool,
}

/// Serves a request; `watch` tells when the caller is gone.
pub(crate) async fn serve(context: Rc<TrafficContext>, request: CallerRequest, watch: StreamWatch) {
    if request.head.method == Method::CONNECT {
        let text = "tunnels are not supported";
        let writer = request.writer;
        writer.not_run(StatusCode::NOT_IMPLEMENTED, text).await;
        return;
    }
    let verdict = judge(&context, &request);
    let mut writer = request.writer;
    match verdict {
        RequestVerdict::Dispatch(plan) => {
            writer.set_meter(RequestMeter {
                shared: context.shared.clone(),
                class: plan.class,
                owner: plan.owner.clone(),
                arrived: request.arrived,
            });
            let pending = PendingRequest {
                head: request.head,
                reader: request.reader,
                writer: Some(writer),
            };
            let arrived = request.arrived;
            if plan.once_key.is_some() {
                // The outcome is worth having even if the caller is gone, because it may ask again.
                dispatch(&context, plan, pending, arrived, Some(watch)).await;
                return;
            }
            tokio::select! {
                () = dispatch(&context, plan, pending, arrived, None) => {}
                () = gone(watch) => {}
            }
        }
        RequestVerdict::Forward { token, deadline } => {
            let pending = PendingRequest {
                head: request.head,
                reader: request.reader,
                writer: Some(writer),
            };
            // The home agent finishes what it has begun, and keeps the outcome.
            tokio::select! {
                () = pass_home(&context, token, deadline, pending) => {}
                () = gone(watch) => {}
            }
        }
        RequestVerdict::NotRun(reason) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            writer.not_run(status, not_run_text(reason)).await;
        }
        RequestVerdict::SessionNeeded(token) => {
            let text = session::seal(&token, &context.shared.ring.load());
            writer.session_needed(&text).await;
        }
        RequestVerdict::Invalid(reason) => {
            let (status, text) = match reason {
                InvalidReason::KeyLength => (
                    StatusCode::BAD_REQUEST,
                    "the idempotency key has 1 to 128 ASCII characters",
                ),
                InvalidReason::KeyReused => (
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "the idempotency key was used for another request",
                ),
            };
            writer.not_run(status, text).await;
        }
        RequestVerdict::InProgress => {
            let text = "a copy of the request is in progress";
            writer.unknown(StatusCode::CONFLICT, text).await;
        }
        RequestVerdict::Replay(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let fields = headers::from_stored(&answer);
            writer.whole(status, fields, Bytes::from(answer.body)).await;
        }
        RequestVerdict::Unknown(reason) => {
            writer.unknown(StatusCode::BAD_GATEWAY, reason.text()).await;
        }
    }
}

/// Waits until the caller has cancelled the request or its connection is lost.
async fn gone(watch: StreamWatch) {
    if watch.await == StreamEnd::Acknowledged {
        std::future::pending().await
    }
}

fn judge(context: &TrafficContext, request: &CallerRequest) -> RequestVerdict {
    let view = context.view();
    let facts = headers::facts(&request.head, &context.shared.ring.load(), request.arrived);
    let mut once = context.once.borrow_mut();
    let mut chain = RequestContext {
        service: view.service.as_ref(),
        number: request.number,
        closing: false,
        forwarded: request.passed,
        endpoint: context.endpoint(),
        in_flight: context.scheduler.in_flight(),
        once: &mut once,
    };
    request::decide(&facts, &mut chain)
}

/// What is needed of a request until it runs.
pub(crate) struct PendingRequest {
    /// Method, path and header fields.
    pub(crate) head: Parts,
    /// The rest of the body.
    pub(crate) reader: BodyReader,
    /// The way back; `None` while a peer answers.
    pub(crate) writer: Option<AnswerWriter>,
}

/// A request that dispatch decides on.
pub(crate) struct ActiveRequest {
    /// What dispatch knows of it.
    pub(crate) meta: RequestMeta,
    /// Tells dispatch how the request ends.
    pub(crate) run: RunTicket,
    /// What dispatch decides.
    pub(crate) decisions: mpsc::UnboundedReceiver<RunDecision>,
    /// The request itself.
    pub(crate) pending: PendingRequest,
    /// Part of the body that was read already.
    pub(crate) start: BodyStart,
    /// Whether a part of the body was sent to a peer.
    pub(crate) body_sent: bool,
    /// Takes the outcome of a keyed request.
    pub(crate) ticket: Option<OnceTicket>,
}

impl ActiveRequest {
    /// Sets the outcome of a keyed request.
    pub(crate) fn set_outcome(&mut self, outcome: OnceOutcome) {
        if let Some(ticket) = &mut self.ticket {
            ticket.set(outcome);
        }
    }
}

async fn dispatch(
    context: &Rc<TrafficContext>,
    plan: RequestPlan,
    mut pending: PendingRequest,
    arrived: Instant,
    watch: Option<StreamWatch>,
) {
    let ticket = plan
        .once_key
        .map(|key| OnceTicket::new(context.clone(), key));
    let Some(start) = first_bytes(&mut pending, plan.deadline).await else {
        return;
    };
    let head = &pending.head;
    let meta = RequestMeta {
        id: context.next_request(),
        class: plan.class,
        owner: plan.owner,
        arrived,
        deadline: plan.deadline,
        work_key: request::work_key(head.method.as_str(), head.uri.path()),
    };
    let (run, decisions) = context.scheduler.submit(meta.clone());
    let mut request = ActiveRequest {
        meta,
        run,
        decisions,
        pending,
        start,
        body_sent: false,
        ticket,
    };
    while let Some(decision) = wait_for_decision(&mut request, &watch).await {
        match decision {
            RunDecision::Start => return start_here(context, request).await,
            RunDecision::Refuse(reason) => return refuse(request, reason).await,
            RunDecision::HandOver(peer) => {
                let Some(returned) = offer::hand_over(context, peer, request).await else {
                    return;
                };
                request = returned;
            }
            // The offer has ended meanwhile, and offers of peers are not decided here.
            RunDecision::Withdraw | RunDecision::Accept | RunDecision::Reject => {}
        }
    }
}

async fn start_here(context: &TrafficContext, request: ActiveRequest) {
    let Some(writer) = request.pending.writer else {
        return;
    };
    let started = StartedRequest {
        run: request.run,
        head: request.pending.head,
        start: request.start,
        reader: request.pending.reader,
        writer,
        deadline: request.meta.deadline,
        ticket: request.ticket,
    };
    run_here(context, started).await;
}

async fn refuse(request: ActiveRequest, reason: RefusalReason) {
    request.run.refused();
    drop(request.ticket);
    if let Some(writer) = request.pending.writer {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        writer.not_run(status, refusal_text(reason)).await;
    }
}

async fn pass_home(
    context: &TrafficContext,
    token: SessionToken,
    deadline: Instant,
    mut pending: PendingRequest,
) {
    let Some(start) = first_bytes(&mut pending, deadline).await else {
        return;
    };
    let Some(writer) = pending.writer else {
        return;
    };
    let request = ForeignRequest {
        token,
        head: pending.head,
        start,
        reader: pending.reader,
        writer,
        deadline,
    };
    home::forward(context, request).await;
}

/// Reads ahead where only the stream's end tells whether there is a body; `None` if the caller gave up.
async fn first_bytes(pending: &mut PendingRequest, deadline: Instant) -> Option<BodyStart> {
    match headers::content_length(&pending.head.headers) {
        Some(0) => return Some(BodyStart::End),
        Some(_) => return Some(BodyStart::Unread),
        None if !pending.head.method.is_safe() => return Some(BodyStart::Unread),
        None => {}
    }
    let read = read_chunk(&mut pending.reader);
    match tokio::time::timeout_at(deadline.into(), read).await {
        Ok(Ok(Some(chunk))) => Some(BodyStart::Chunk(chunk)),
        Ok(Ok(None)) => Some(BodyStart::End),
        Ok(Err(_)) | Err(_) => None,
    }
}

/// Waits for dispatch; `None` if the caller cancelled the request while it waited.
async fn wait_for_decision(
    request: &mut ActiveRequest,
    watch: &Option<StreamWatch>,
) -> Option<RunDecision> {
    let gone = async {
        match watch {
            Some(watch) => gone(watch.clone()).await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(gone);
    while let BodyStart::Unread = request.start {
        tokio::select! {
            biased;
            decided = request.decisions.recv() => return decided,
            () = &mut gone => return None,
            read = read_chunk(&mut request.pending.reader) => match read {
                Ok(Some(chunk)) => request.start = BodyStart::Chunk(chunk),
                Ok(None) => request.start = BodyStart::End,
                Err(_) => return None,
            },
        }
    }
    tokio::select! {
        biased;
        decided = request.decisions.recv() => decided,
        () = gone => None,
    }
}

fn not_run_text(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::Service => "the service is not served here",
        NotRunReason::KeyTableFull => "no further idempotency key can be kept",
        NotRunReason::Dispatch(reason) => refusal_text(reason),
    }
}

fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::QueueFull => "the queue is full",
        RefusalReason::InFlightLimit => "too many requests in flight",
        RefusalReason::OwnerLimit => "the owner's limit is reached",
        RefusalReason::Deadline => "the deadline cannot be met",
        RefusalReason::Overload => "more urgent requests need the capacity",
        RefusalReason::Draining => "the endpoint is draining",
    }
}
