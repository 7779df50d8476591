//! Forwards keyed requests to their home agent, the agent that issued their session token.

use super::body::initial_body;
use super::exchange::{ExchangeEnd, PeerExchange, StreamedBody, PEER_GRACE};
use super::message::{from_parts, remaining_micros};
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

/// A keyed request whose session token was issued by another endpoint.
pub(crate) struct ForeignRequest {
    /// Session token of the request, which names the issuer.
    pub(crate) token: SessionToken,
    /// Method, path and header fields.
    pub(crate) head: Parts,
    /// Part of the body that has been read already.
    pub(crate) start: BodyStart,
    /// The rest of the body.
    pub(crate) reader: BodyReader,
    /// Writes the answer to the caller.
    pub(crate) writer: AnswerWriter,
    /// Point in time until which the head of the answer has to arrive.
    pub(crate) deadline: Instant,
}

/// Forwards a request to its home agent and relays the answer.
///
/// An earlier copy may have run there, so that every failure is answered with "outcome unknown".
pub(crate) async fn forward(context: &TrafficContext, request: ForeignRequest) {
    let body = initial_body(&request.head, &request.start);
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
    let answer_deadline = request.deadline + PEER_GRACE;
    let end = exchange
        .relay(&context.pool, body, &mut answer, answer_deadline)
        .await;
    let (status, text) = match end {
        ExchangeEnd::Complete { .. } => {
            answer.finish(None).await;
            return;
        }
        // Dropping the writer resets the caller's stream.
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
    let peer = peers.find(|peer| is_home_agent(peer, &request.token))?;
    let mut connection = context.pool.acquire(peer).await.ok()?;
    let message = HandoverRequest::Forward(Box::new(ForwardRequest {
        target: HandoverTarget {
            from: context.endpoint(),
            to: peer.id,
            incarnation: request.token.incarnation,
            service: context.service_number(),
        },
        remaining_us: remaining_micros(request.deadline),
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

/// Returns whether a peer is the home agent of a token. A later incarnation of the issuer is not, because it has lost
/// the outcomes of keys. An earlier one is accepted, because the view may lag behind a restart of the home agent.
fn is_home_agent(peer: &EndpointRecord, token: &SessionToken) -> bool {
    peer.id == token.issuer && peer.incarnation <= token.incarnation
}
