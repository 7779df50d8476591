//! One request of a caller, from its head to the end of its answer.

use super::answer::AnswerWriter;
use super::context::TrafficContext;
use super::headers;
use super::scheduler::{RunDecision, RunTicket};
use super::transport::{StreamEnd, StreamWatch};
use super::upstream::{read_chunk, BodyReader, BodyStart, UpstreamError};
use crate::handover;
use bytes::Bytes;
use futures_util::StreamExt;
use http::request::Parts;
use http::{HeaderMap, Method, StatusCode};
use ntex::client::ClientResponse;
use ntex::http::error::PayloadError;
use ntex::http::Payload;
use quetzalhill_core::dispatch::{RefusalReason, RequestMeta};
use quetzalhill_core::ids::ServiceNumber;
use quetzalhill_core::once::{OnceKey, OnceOutcome, StoredAnswer};
use quetzalhill_core::request::{
    self, InvalidReason, NotRunReason, RequestContext, RequestPlan, RequestVerdict,
};
use quetzalhill_wire::session;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Most bytes of the body of an answer that is kept for copies of a keyed request.
const STORED_BODY_MAX: usize = 16 * 1024;

/// An answer of unknown length that pauses for this long is a stream.
const STREAM_PAUSE: Duration = Duration::from_secs(1);

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
}

/// Reports the outcome of a keyed request, also when its task ends early.
struct OnceTicket {
    context: Rc<TrafficContext>,
    key: OnceKey,
    outcome: OnceOutcome,
}

impl Drop for OnceTicket {
    fn drop(&mut self) {
        let outcome = std::mem::replace(&mut self.outcome, OnceOutcome::NotRun);
        self.context.once.borrow_mut().finish(&self.key, outcome);
    }
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
    let writer = request.writer;
    match verdict {
        RequestVerdict::Dispatch(plan) => {
            let pending = PendingRequest {
                head: request.head,
                reader: request.reader,
                writer,
                arrived: request.arrived,
            };
            if plan.once.is_some() {
                // The outcome is worth having even if the caller is gone, because it may ask again.
                dispatch(&context, plan, pending, Some(watch)).await;
                return;
            }
            tokio::select! {
                () = dispatch(&context, plan, pending, None) => {}
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
        RequestVerdict::Repeat(answer) => {
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
        endpoint: context.endpoint(),
        in_flight: context.scheduler.in_flight(),
        once: &mut once,
    };
    request::decide(&facts, &mut chain)
}

struct PendingRequest {
    head: Parts,
    reader: BodyReader,
    writer: AnswerWriter,
    arrived: Instant,
}

async fn dispatch(
    context: &Rc<TrafficContext>,
    plan: RequestPlan,
    mut pending: PendingRequest,
    watch: Option<StreamWatch>,
) {
    let mut ticket = plan.once.map(|key| OnceTicket {
        context: context.clone(),
        key,
        outcome: OnceOutcome::NotRun,
    });
    let Some(mut start) = first_bytes(&mut pending, plan.deadline).await else {
        return;
    };
    let meta = RequestMeta {
        id: context.next_request(),
        class: plan.class,
        owner: plan.owner,
        arrived: pending.arrived,
        deadline: plan.deadline,
    };
    let (run, mut decisions) = context.scheduler.submit(meta);
    let mut waited = wait_for_decision(&mut decisions, &mut pending, &mut start, &watch).await;
    while let Some(RunDecision::HandOver(peer)) = waited {
        let event = handover::offer(run.id(), peer, &pending.head).await;
        run.offered(event);
        waited = wait_for_decision(&mut decisions, &mut pending, &mut start, &watch).await;
    }
    match waited {
        None | Some(RunDecision::HandOver(_)) => return,
        Some(RunDecision::Refuse(reason)) => {
            run.refused();
            drop(ticket);
            let text = refusal_text(reason);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            pending.writer.not_run(status, text).await;
            return;
        }
        Some(RunDecision::Start) => {}
    }
    if let Some(ticket) = &mut ticket {
        ticket.outcome = OnceOutcome::Lost;
    }
    let sent = context
        .upstream
        .send(&pending.head, start, pending.reader, plan.deadline)
        .await;
    match sent {
        Ok(response) => relay(context, run, response, pending.writer, ticket).await,
        Err(error) => fail(context, run, error, pending.writer, ticket).await,
    }
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
    decisions: &mut mpsc::UnboundedReceiver<RunDecision>,
    pending: &mut PendingRequest,
    start: &mut BodyStart,
    watch: &Option<StreamWatch>,
) -> Option<RunDecision> {
    let gone = async {
        match watch {
            Some(watch) => gone(watch.clone()).await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(gone);
    while let BodyStart::Unread = start {
        tokio::select! {
            biased;
            decided = decisions.recv() => return decided,
            () = &mut gone => return None,
            read = read_chunk(&mut pending.reader) => match read {
                Ok(Some(chunk)) => *start = BodyStart::Chunk(chunk),
                Ok(None) => *start = BodyStart::End,
                Err(_) => return None,
            },
        }
    }
    tokio::select! {
        biased;
        decided = decisions.recv() => decided,
        () = gone => None,
    }
}

/// Passes the upstream's answer on and keeps a copy for a keyed request.
async fn relay(
    context: &TrafficContext,
    run: RunTicket,
    response: ClientResponse,
    writer: AnswerWriter,
    mut ticket: Option<OnceTicket>,
) {
    context.report_health(true);
    let status = StatusCode::from_u16(response.status().as_u16());
    let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let fields = headers::from_upstream(response.headers());
    let mut slot = StreamSlot::new(run, &fields);
    let mut copy = ticket.as_ref().map(|_| AnswerCopy::new(status, &fields));
    let mut caller = Some(writer);
    if let Some(writer) = &mut caller {
        if writer.head(status, fields).await.is_err() {
            caller = None;
        }
    }
    let mut payload = response.take_payload();
    while let Some(item) = next_chunk(&mut payload, &mut slot).await {
        let Ok(chunk) = item else {
            // The writer resets the stream when it is dropped, and the outcome of a keyed request stays unknown.
            slot.finish(false);
            return;
        };
        if let Some(copy) = &mut copy {
            copy.push(&chunk);
        }
        if let Some(writer) = &mut caller {
            if writer.data(Bytes::copy_from_slice(&chunk)).await.is_err() {
                caller = None;
            }
        }
        let wanted = copy.as_ref().is_some_and(|copy| !copy.large);
        if caller.is_none() && !wanted {
            break;
        }
    }
    slot.finish(!status.is_server_error());
    if let (Some(ticket), Some(copy)) = (&mut ticket, copy) {
        ticket.outcome = copy.outcome();
    }
    drop(ticket);
    if let Some(writer) = caller {
        // A caller that is gone needs no end of its answer.
        let _ = writer.finish().await;
    }
}

/// The upstream's slot of an answer that is being passed on.
///
/// A stream lasts as long as a session, and its upstream works only when it sends. It gives its slot back, so that
/// a few slots carry thousands of streams.
struct StreamSlot {
    run: Option<RunTicket>,
    may_idle: bool,
}

impl StreamSlot {
    fn new(run: RunTicket, fields: &HeaderMap) -> Self {
        let mut slot = Self {
            run: Some(run),
            may_idle: headers::content_length(fields).is_none(),
        };
        if headers::is_event_stream(fields) {
            slot.finish(true);
        }
        slot
    }

    fn finish(&mut self, ok: bool) {
        if let Some(run) = self.run.take() {
            run.finish(ok);
        }
    }
}

/// Returns the next bytes of an answer; gives the slot back when an answer of unknown length pauses.
async fn next_chunk(
    payload: &mut Payload,
    slot: &mut StreamSlot,
) -> Option<Result<ntex::util::Bytes, PayloadError>> {
    if slot.run.is_some() && slot.may_idle {
        match tokio::time::timeout(STREAM_PAUSE, payload.next()).await {
            Ok(item) => return item,
            Err(_) => slot.finish(true),
        }
    }
    payload.next().await
}

async fn fail(
    context: &TrafficContext,
    run: RunTicket,
    error: UpstreamError,
    writer: AnswerWriter,
    mut ticket: Option<OnceTicket>,
) {
    match error {
        UpstreamError::CallerGone => {
            run.finish(true);
        }
        UpstreamError::NotSent => {
            context.report_health(false);
            run.finish(false);
            if let Some(ticket) = &mut ticket {
                ticket.outcome = OnceOutcome::NotRun;
            }
            drop(ticket);
            let text = "the upstream takes no connection";
            writer.not_run(StatusCode::SERVICE_UNAVAILABLE, text).await;
        }
        UpstreamError::Lost => {
            run.finish(false);
            drop(ticket);
            let text = "the upstream was lost while the request ran";
            writer.unknown(StatusCode::BAD_GATEWAY, text).await;
        }
        UpstreamError::Deadline => {
            run.finish(false);
            drop(ticket);
            let text = "the deadline passed while the request ran";
            writer.unknown(StatusCode::GATEWAY_TIMEOUT, text).await;
        }
    }
}

/// Collects a small answer for copies of a keyed request.
struct AnswerCopy {
    answer: StoredAnswer,
    large: bool,
}

impl AnswerCopy {
    fn new(status: StatusCode, fields: &HeaderMap) -> Self {
        let headers = fields
            .iter()
            .map(|(name, value)| (name.as_str().into(), value.as_bytes().into()))
            .collect();
        Self {
            answer: StoredAnswer {
                status: status.as_u16(),
                headers,
                body: Vec::new(),
            },
            large: false,
        }
    }

    fn push(&mut self, chunk: &[u8]) {
        if self.answer.body.len() + chunk.len() > STORED_BODY_MAX {
            self.large = true;
            self.answer.body = Vec::new();
        }
        if !self.large {
            self.answer.body.extend_from_slice(chunk);
        }
    }

    fn outcome(self) -> OnceOutcome {
        match self.large {
            true => OnceOutcome::AnsweredLarge,
            false => OnceOutcome::Answered(self.answer),
        }
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
