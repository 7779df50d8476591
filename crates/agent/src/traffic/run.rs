//! Running of requests of callers and peers at the upstream of this agent.

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

/// Pause after which a response of unknown length counts as a stream.
const STREAM_IDLE_TIME: Duration = Duration::from_secs(1);

/// A request that dispatch has started.
pub(crate) struct StartedRequest {
    /// Reports the end of the request to dispatch.
    pub(crate) run: RunTicket,
    /// Method, path and header fields.
    pub(crate) head: Parts,
    /// Part of the body that has been read already.
    pub(crate) start: BodyStart,
    /// Source of the rest of the body.
    pub(crate) reader: BodyReader,
    /// Destination of the response.
    pub(crate) writer: AnswerWriter,
    /// Deadline for the head of the response; the body may take longer.
    pub(crate) deadline: Instant,
    /// Reports the outcome of a keyed request; `None` without a key.
    pub(crate) ticket: Option<OnceTicket>,
}

/// Sends a request to the upstream and relays the response.
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

/// Relays the response of the upstream and reports the end of the request.
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
    answer
        .send_head(AnswerOutcome::Answered, status, fields)
        .await;
    let mut payload = response.take_payload();
    while let Some(item) = next_chunk(&mut payload, &mut slot).await {
        let Ok(chunk) = item else {
            // Dropping the writer resets the stream, and dropping the ticket reports the outcome `Lost`.
            slot.finish(false);
            return;
        };
        if !answer.send_data(Bytes::copy_from_slice(&chunk)).await {
            break;
        }
    }
    slot.finish(!status.is_server_error());
    answer.finish(ticket).await;
}

/// The upstream slot that a response occupies while it is relayed.
///
/// A stream stays open as long as the caller's session, but the upstream works on it only while it sends data. A stream
/// therefore releases its slot early, so that thousands of streams can be open with a few slots.
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

/// Returns the next chunk of a response; releases the slot if a response of unknown length pauses for
/// [`STREAM_IDLE_TIME`].
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
            writer
                .send_not_run(StatusCode::SERVICE_UNAVAILABLE, text)
                .await;
        }
        UpstreamError::Lost => {
            run.finish(false);
            drop(ticket);
            let text = "the upstream was lost while the request ran";
            writer.send_unknown(StatusCode::BAD_GATEWAY, text).await;
        }
        UpstreamError::Deadline => {
            run.finish(false);
            drop(ticket);
            let text = "the deadline passed while the request ran";
            writer.send_unknown(StatusCode::GATEWAY_TIMEOUT, text).await;
        }
    }
}
