//! Processing of one request, from its head to the end of the response.

use super::answer::{AnswerWriter, RequestMeter};
use super::body::{read_chunk, BodyReader, BodyStart};
use super::context::TrafficContext;
use super::headers;
use super::once::OnceTicket;
use super::run::{run_at_upstream, StartedRequest};
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
    /// Source of the request body.
    pub(crate) reader: BodyReader,
    /// Destination of the response.
    pub(crate) writer: AnswerWriter,
    /// Service number from the accepted connection or from the forwarding peer; 0 if it was unknown.
    pub(crate) number: ServiceNumber,
    /// When the head was read.
    pub(crate) arrived: Instant,
    /// Whether another agent forwarded the request here, because this agent issued its session token.
    pub(crate) forwarded: bool,
}

/// Serves a request; `watch` completes when the caller cancels the request or its connection is lost.
pub(crate) async fn serve(context: Rc<TrafficContext>, request: CallerRequest, watch: StreamWatch) {
    if request.head.method == Method::CONNECT {
        let text = "tunnels are not supported";
        let writer = request.writer;
        writer.send_not_run(StatusCode::NOT_IMPLEMENTED, text).await;
        return;
    }
    let verdict = apply_filters(&context, &request);
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
                // Once started, a keyed request runs to its end even without its caller, because the caller may retry
                // and then needs the outcome.
                dispatch(&context, plan, pending, arrived, Some(watch)).await;
                return;
            }
            tokio::select! {
                () = dispatch(&context, plan, pending, arrived, None) => {}
                () = wait_until_cancelled(watch) => {}
            }
        }
        RequestVerdict::Forward { token, deadline } => {
            let pending = PendingRequest {
                head: request.head,
                reader: request.reader,
                writer: Some(writer),
            };
            // If the caller cancels, the issuer of the token still completes the request and stores its outcome.
            tokio::select! {
                () = forward_to_issuer(&context, token, deadline, pending) => {}
                () = wait_until_cancelled(watch) => {}
            }
        }
        RequestVerdict::NotRun(reason) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            writer.send_not_run(status, not_run_text(reason)).await;
        }
        RequestVerdict::SessionNeeded(token) => {
            let text = session::seal(&token, &context.shared.ring.load());
            writer.send_session_needed(&text).await;
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
            writer.send_not_run(status, text).await;
        }
        RequestVerdict::InProgress => {
            let text = "a copy of the request is in progress";
            writer.send_unknown(StatusCode::CONFLICT, text).await;
        }
        RequestVerdict::Replay(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            let fields = headers::from_stored(&answer);
            writer
                .send_answer(status, fields, Bytes::from(answer.body))
                .await;
        }
        RequestVerdict::Unknown(reason) => {
            writer
                .send_unknown(StatusCode::BAD_GATEWAY, reason.text())
                .await;
        }
    }
}

/// Waits until the caller has cancelled the request or its connection is lost.
async fn wait_until_cancelled(watch: StreamWatch) {
    if watch.await == StreamEnd::Acknowledged {
        std::future::pending().await
    }
}

fn apply_filters(context: &TrafficContext, request: &CallerRequest) -> RequestVerdict {
    let view = context.view();
    let attributes =
        headers::request_attributes(&request.head, &context.shared.ring.load(), request.arrived);
    let mut once = context.once.borrow_mut();
    let mut chain = RequestContext {
        service: view.service.as_ref(),
        number: request.number,
        closing: false,
        forwarded: request.forwarded,
        endpoint: context.endpoint(),
        in_flight: context.scheduler.in_flight(),
        once: &mut once,
    };
    request::decide(&attributes, &mut chain)
}

/// Content of a request that has not been started.
pub(crate) struct PendingRequest {
    /// Method, path and header fields.
    pub(crate) head: Parts,
    /// Source of the body that has not been read yet.
    pub(crate) reader: BodyReader,
    /// Destination of the response; `None` while a peer's response is being relayed.
    pub(crate) writer: Option<AnswerWriter>,
}

/// A request that was submitted to dispatch.
pub(crate) struct ActiveRequest {
    /// Attributes on which dispatch bases its decisions.
    pub(crate) meta: RequestMeta,
    /// Reports the end of the request to dispatch.
    pub(crate) run: RunTicket,
    /// Decisions of dispatch about this request.
    pub(crate) decisions: mpsc::UnboundedReceiver<RunDecision>,
    /// Head, rest of the body and destination of the response.
    pub(crate) pending: PendingRequest,
    /// Part of the body that has been read already.
    pub(crate) start: BodyStart,
    /// Whether a part of the body was sent to a peer, so that it cannot be sent again.
    pub(crate) body_sent: bool,
    /// Reports the outcome of a keyed request; `None` without a key.
    pub(crate) ticket: Option<OnceTicket>,
}

impl ActiveRequest {
    /// Sets the outcome to report for a keyed request; does nothing without a key.
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
    let Some(start) = read_body_start(&mut pending, plan.deadline).await else {
        return;
    };
    let head = &pending.head;
    let meta = RequestMeta {
        id: context.next_request_id(),
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
            RunDecision::Start => return start_run(context, request).await,
            RunDecision::Refuse(reason) => return refuse(request, reason).await,
            RunDecision::HandOver(peer) => {
                let Some(returned) = offer::hand_over(context, peer, request).await else {
                    return;
                };
                request = returned;
            }
            // The withdrawn offer has ended already, and the others concern offers that peers made to this agent.
            RunDecision::Withdraw | RunDecision::Accept | RunDecision::Reject => {}
        }
    }
}

async fn start_run(context: &TrafficContext, request: ActiveRequest) {
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
    run_at_upstream(context, started).await;
}

async fn refuse(request: ActiveRequest, reason: RefusalReason) {
    request.run.close_refused();
    drop(request.ticket);
    if let Some(writer) = request.pending.writer {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        writer.send_not_run(status, refusal_text(reason)).await;
    }
}

async fn forward_to_issuer(
    context: &TrafficContext,
    token: SessionToken,
    deadline: Instant,
    mut pending: PendingRequest,
) {
    let Some(start) = read_body_start(&mut pending, deadline).await else {
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

/// Reads the first chunk of a safe request without a `content-length`, of which only the end of the stream shows
/// whether it has a body.
///
/// Returns `None` if the read fails or the deadline passes.
async fn read_body_start(pending: &mut PendingRequest, deadline: Instant) -> Option<BodyStart> {
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

/// Waits for the next decision and meanwhile reads the first chunk of the body.
///
/// Returns `None` if the caller cancels the request or the body cannot be read.
async fn wait_for_decision(
    request: &mut ActiveRequest,
    watch: &Option<StreamWatch>,
) -> Option<RunDecision> {
    let cancelled = async {
        match watch {
            Some(watch) => wait_until_cancelled(watch.clone()).await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(cancelled);
    while let BodyStart::Unread = request.start {
        tokio::select! {
            biased;
            decided = request.decisions.recv() => return decided,
            () = &mut cancelled => return None,
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
        () = cancelled => None,
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
