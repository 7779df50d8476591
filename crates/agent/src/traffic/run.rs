//! Runs a request at the upstream of this agent, whether a caller sent it or a peer handed it over.

use super::answer::AnswerWriter;
use super::body::{BodyReader, BodyStart};
use super::context::TrafficContext;
use super::headers;
use super::once::OnceTicket;
use super::relay::AnswerRelay;
use super::scheduler::RunTicket;
use super::upstream::UpstreamError;
use bytes::Bytes;
use futures_util::StreamExt;
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use ntex::client::ClientResponse;
use ntex::http::error::PayloadError;
use ntex::http::Payload;
use quetzalhill_core::health::HealthEvent;
use quetzalhill_core::once::OnceOutcome;
use quetzalhill_wire::handover::AnswerOutcome;
use std::time::{Duration, Instant};

/// An answer of unknown length that pauses for this long is a stream.
const STREAM_IDLE_TIME: Duration = Duration::from_secs(1);

/// A request that dispatch has started.
pub(crate) struct StartedRequest {
    /// Tells dispatch how the request ends.
    pub(crate) run: RunTicket,
    /// Method, path and header fields.
    pub(crate) head: Parts,
    /// Part of the body that was read already.
    pub(crate) start: BodyStart,
    /// The rest of the body.
    pub(crate) reader: BodyReader,
    /// The way back.
    pub(crate) writer: AnswerWriter,
    /// When the answer's head is of no use any more.
    pub(crate) deadline: Instant,
    /// Takes the outcome of a keyed request.
    pub(crate) ticket: Option<OnceTicket>,
}

/// Sends a request to the upstream and passes the answer on.
pub(crate) async fn run_at_upstream(context: &TrafficContext, request: StartedRequest) {
    let StartedRequest {
        run,
        head,
        start,
        reader,
        writer,
        deadline,
        mut ticket,
    } = request;
    if let Some(ticket) = &mut ticket {
        ticket.set(OnceOutcome::Lost);
    }
    let sent = context.upstream.send(&head, start, reader, deadline).await;
    match sent {
        Ok(response) => forward_answer(context, run, response, writer, ticket).await,
        Err(error) => report_failure(context, run, error, writer, ticket).await,
    }
}

/// Passes the upstream's answer on.
async fn forward_answer(
    context: &TrafficContext,
    run: RunTicket,
    response: ClientResponse,
    writer: AnswerWriter,
    ticket: Option<OnceTicket>,
) {
    context.handle_health(HealthEvent::Answered);
    let status = StatusCode::from_u16(response.status().as_u16());
    let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let fields = headers::from_upstream(response.headers());
    let mut slot = StreamSlot::new(run, &fields);
    let mut answer = AnswerRelay::new(writer, ticket.is_some());
    answer.head(AnswerOutcome::Answered, status, fields).await;
    let mut payload = response.take_payload();
    while let Some(item) = next_chunk(&mut payload, &mut slot).await {
        let Ok(chunk) = item else {
            // The writer resets the stream when it is dropped, and the outcome of a keyed request stays unknown.
            slot.finish(false);
            return;
        };
        if !answer.data(Bytes::copy_from_slice(&chunk)).await {
            break;
        }
    }
    slot.finish(!status.is_server_error());
    answer.finish(ticket).await;
}

/// The upstream's slot of an answer that is being passed on.
///
/// A stream lasts as long as a session, and its upstream works only when it sends. It gives its slot back, so that
/// a few slots carry thousands of streams.
struct StreamSlot {
    run: Option<RunTicket>,
    unknown_length: bool,
}

impl StreamSlot {
    fn new(run: RunTicket, fields: &HeaderMap) -> Self {
        let mut slot = Self {
            run: Some(run),
            unknown_length: headers::content_length(fields).is_none(),
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
    if slot.run.is_some() && slot.unknown_length {
        match tokio::time::timeout(STREAM_IDLE_TIME, payload.next()).await {
            Ok(item) => return item,
            Err(_) => slot.finish(true),
        }
    }
    payload.next().await
}

async fn report_failure(
    context: &TrafficContext,
    run: RunTicket,
    error: UpstreamError,
    writer: AnswerWriter,
    mut ticket: Option<OnceTicket>,
) {
    match error {
        UpstreamError::RequestBody => {
            run.finish(true);
        }
        UpstreamError::NotSent => {
            context.handle_health(HealthEvent::Failed);
            run.finish(false);
            if let Some(ticket) = &mut ticket {
                ticket.set(OnceOutcome::NotRun);
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
