//! Passes keyed requests to the agent that issued their session token.

use super::body::known_body;
use super::exchange::{ExchangeEnd, PeerExchange, StreamedBody, PEER_GRACE};
use super::message::{from_parts, micros_left};
use crate::traffic::answer::AnswerWriter;
use crate::traffic::body::{BodyReader, BodyStart};
use crate::traffic::context::TrafficContext;
use crate::traffic::counters::count;
use crate::traffic::relay::AnswerRelay;
use http::request::Parts;
use http::StatusCode;
use quetzalhill_core::member::EndpointRecord;
use quetzalhill_core::once::{SessionToken, UnknownReason};
use quetzalhill_wire::handover::{ForwardRequest, HandoverRequest, HandoverTarget, RequestBody};
use std::time::Instant;

/// A keyed request whose token names another endpoint.
pub(crate) struct ForeignRequest {
    /// The token.
    pub(crate) token: SessionToken,
    /// Method, path and header fields.
    pub(crate) head: Parts,
    /// Part of the body that was read already.
    pub(crate) start: BodyStart,
    /// The rest of the body.
    pub(crate) reader: BodyReader,
    /// The way to the caller.
    pub(crate) writer: AnswerWriter,
    /// When the answer's head is of no use any more.
    pub(crate) deadline: Instant,
}

/// Passes a request to its home agent.
///
/// An earlier copy may have run there, so that every failure is answered with "outcome unknown".
pub(crate) async fn pass(context: &TrafficContext, request: ForeignRequest) {
    let body = known_body(&request.head, &request.start);
    let streamed = body == RequestBody::Streamed;
    let Some(exchange) = send(context, &request, body).await else {
        count(&context.peer_counters.lost);
        let text = UnknownReason::OtherEndpoint.text();
        request
            .writer
            .send_unknown(StatusCode::BAD_GATEWAY, text)
            .await;
        return;
    };
    count(&context.peer_counters.sent_home);
    let body: StreamedBody = streamed.then_some((request.start, request.reader));
    let mut answer = AnswerRelay::new(request.writer, false);
    let give_up = request.deadline + PEER_GRACE;
    let end = exchange
        .relay(&context.pool, body, &mut answer, give_up)
        .await;
    let (status, text) = match end {
        ExchangeEnd::Complete { .. } => {
            answer.finish(None).await;
            return;
        }
        // The writer resets the stream when it is dropped.
        ExchangeEnd::Cut | ExchangeEnd::Abandoned => return,
        ExchangeEnd::Rejected | ExchangeEnd::Lost => (
            StatusCode::BAD_GATEWAY,
            "the endpoint that issued the session was lost",
        ),
        ExchangeEnd::Deadline => (
            StatusCode::GATEWAY_TIMEOUT,
            "the endpoint that issued the session does not answer",
        ),
    };
    count(&context.peer_counters.lost);
    if let Some(writer) = answer.into_writer() {
        writer.send_unknown(status, text).await;
    }
}

async fn send(
    context: &TrafficContext,
    request: &ForeignRequest,
    body: RequestBody,
) -> Option<PeerExchange> {
    let view = context.view();
    let mut peers = view.peers.iter().chain(&view.other_peers);
    let peer = peers.find(|peer| is_home(peer, &request.token))?;
    let mut connection = context.pool.take(peer).await.ok()?;
    let message = HandoverRequest::Forward(Box::new(ForwardRequest {
        target: HandoverTarget {
            from: context.endpoint(),
            to: peer.id,
            incarnation: request.token.incarnation,
            service: context.service_number(),
        },
        remaining_us: micros_left(request.deadline),
        head: from_parts(&request.head),
        body,
    }));
    connection.writer.write(&message).await.ok()?;
    Some(PeerExchange {
        peer: peer.clone(),
        connection,
        started: false,
        head: None,
    })
}

/// Returns whether a peer may remember the key; the view may still show an earlier life of the home.
fn is_home(peer: &EndpointRecord, token: &SessionToken) -> bool {
    peer.id == token.issuer && peer.incarnation <= token.incarnation
}
