//! Offers requests to peers and relays the answers to the callers.

use super::body::initial_body;
use super::connection::{next, PeerConnection};
use super::exchange::{ExchangeEnd, PeerExchange, PeerHead, StreamedBody, PEER_GRACE};
use super::message::{from_parts, micros, remaining_micros};
use crate::traffic::body::{BodyReader, BodyStart};
use crate::traffic::context::TrafficContext;
use crate::traffic::counters::count;
use crate::traffic::relay::AnswerRelay;
use crate::traffic::request::ActiveRequest;
use crate::traffic::scheduler::RunDecision;
use http::{Method, StatusCode};
use quetzalhill_core::dispatch::DispatchEvent;
use quetzalhill_core::ids::EndpointId;
use quetzalhill_core::member::EndpointRecord;
use quetzalhill_core::once::OnceOutcome;
use quetzalhill_wire::frame::FrameError;
use quetzalhill_wire::handover::{
    HandoverReply, HandoverRequest, HandoverTarget, RequestBody, RequestOffer,
};
use std::time::{Duration, Instant};

/// Time within which a peer has to answer the withdrawal of an offer. After it, a request that is safe to retry goes
/// back to dispatch.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(200);

/// How the wait for a peer's reply to an offer ended.
enum OfferEnd {
    /// The peer did not run the request.
    Rejected,
    /// The connection failed or a withdrawal stayed unanswered; the request may have run.
    Lost,
    /// The peer did not reply before the deadline.
    Deadline,
    /// The peer runs the request, or refuses it with an HTTP answer.
    Running(Box<PeerExchange>),
}

/// Offers a request to a peer and relays its answer to the caller. Returns the request if dispatch has to decide on it
/// again.
pub(crate) async fn hand_over(
    context: &TrafficContext,
    peer: EndpointId,
    mut request: ActiveRequest,
) -> Option<ActiveRequest> {
    let view = context.view();
    let found = view.peers.iter().find(|record| record.id == peer);
    let Some(record) = found else {
        return requeue(context, peer, request);
    };
    count(&context.peer_counters.offered);
    request.set_outcome(OnceOutcome::Lost);
    let body = initial_body(&request.pending.head, &request.start);
    let streamed = body == RequestBody::Streamed;
    match send_offer(context, record, &mut request, body).await {
        OfferEnd::Rejected => requeue(context, peer, request),
        OfferEnd::Lost => handle_lost(context, peer, request).await,
        OfferEnd::Deadline => {
            handle_timeout(request).await;
            None
        }
        OfferEnd::Running(exchange) => {
            count(&context.peer_counters.handed_over);
            relay_answer(context, peer, *exchange, request, streamed).await
        }
    }
}

fn offer_message(
    context: &TrafficContext,
    peer: &EndpointRecord,
    request: &ActiveRequest,
    body: RequestBody,
) -> HandoverRequest {
    let meta = &request.meta;
    HandoverRequest::Offer(Box::new(RequestOffer {
        target: HandoverTarget {
            from: context.endpoint(),
            to: peer.id,
            incarnation: peer.incarnation,
            service: context.service_number(),
        },
        id: meta.id,
        class: meta.class,
        owner: meta.owner.clone(),
        work_key: meta.work_key,
        age_us: micros(meta.arrived.elapsed()),
        remaining_us: remaining_micros(meta.deadline),
        head: from_parts(&request.pending.head),
        body,
    }))
}

async fn send_offer(
    context: &TrafficContext,
    peer: &EndpointRecord,
    request: &mut ActiveRequest,
    body: RequestBody,
) -> OfferEnd {
    let acquired = tokio::select! {
        acquired = context.pool.acquire(peer) => acquired,
        // Nothing has been sent yet, so that the peer needs no withdrawal.
        () = withdrawn(request) => return OfferEnd::Rejected,
    };
    let Ok(mut connection) = acquired else {
        return OfferEnd::Rejected;
    };
    let offer = offer_message(context, peer, request, body);
    match connection.writer.write(&offer).await {
        Ok(()) => {}
        // The frame could not be encoded, so that nothing was written and the connection stays usable.
        Err(FrameError::Long | FrameError::Body) => {
            context.pool.release(peer, connection);
            return OfferEnd::Rejected;
        }
        // The frame was not written completely, so that the peer cannot have run the request.
        Err(_) => return OfferEnd::Rejected,
    }
    wait_for_answer(context, peer, request, connection).await
}

/// Completes when dispatch withdraws the offer; never completes once the channel of decisions is closed.
async fn withdrawn(request: &mut ActiveRequest) {
    loop {
        match request.decisions.recv().await {
            Some(RunDecision::Withdraw) => return,
            Some(_) => {}
            None => std::future::pending().await,
        }
    }
}

async fn wait_for_answer(
    context: &TrafficContext,
    peer: &EndpointRecord,
    request: &mut ActiveRequest,
    mut connection: PeerConnection,
) -> OfferEnd {
    let id = request.meta.id;
    let answer_deadline = request.meta.deadline + PEER_GRACE;
    let mut accepted = false;
    let mut withdraw_deadline: Option<Instant> = None;
    loop {
        let limit = withdraw_deadline.map_or(answer_deadline, |withdraw_deadline| {
            withdraw_deadline.min(answer_deadline)
        });
        let reply = tokio::select! {
            biased;
            reply = next(&mut connection.reader) => reply,
            () = withdrawn(request), if !accepted => {
                if connection.writer.write(&HandoverRequest::Withdraw).await.is_err() {
                    return OfferEnd::Lost;
                }
                if is_safe_to_retry(request) {
                    withdraw_deadline.get_or_insert(Instant::now() + WITHDRAW_TIMEOUT);
                }
                continue;
            }
            () = tokio::time::sleep_until(limit.into()) => match limit < answer_deadline {
                true => return OfferEnd::Lost,
                false => return OfferEnd::Deadline,
            },
        };
        let mut exchange = PeerExchange {
            peer: peer.clone(),
            connection,
            started: false,
            head: None,
        };
        match reply {
            Ok(HandoverReply::Accept) => {
                accepted = true;
                withdraw_deadline = None;
                let event = DispatchEvent::OfferAccepted(id, peer.id);
                request.run.report_offer(event);
                connection = exchange.connection;
            }
            Ok(HandoverReply::Reject) => {
                context.pool.release(peer, exchange.connection);
                return OfferEnd::Rejected;
            }
            Ok(HandoverReply::Started) => {
                exchange.started = true;
                return OfferEnd::Running(Box::new(exchange));
            }
            Ok(HandoverReply::Head {
                outcome,
                status,
                fields,
            }) => {
                exchange.head = Some(PeerHead {
                    outcome,
                    status,
                    fields,
                });
                return OfferEnd::Running(Box::new(exchange));
            }
            Ok(HandoverReply::Chunk(_) | HandoverReply::End) | Err(_) => return OfferEnd::Lost,
        }
    }
}

async fn relay_answer(
    context: &TrafficContext,
    peer: EndpointId,
    exchange: PeerExchange,
    mut request: ActiveRequest,
    streamed: bool,
) -> Option<ActiveRequest> {
    let body = take_body(&mut request, streamed);
    let writer = request.pending.writer.take()?;
    let mut answer = AnswerRelay::new(writer, request.ticket.is_some());
    let answer_deadline = request.meta.deadline + PEER_GRACE;
    let end = exchange
        .relay(&context.pool, body, &mut answer, answer_deadline)
        .await;
    match end {
        ExchangeEnd::Complete { ok } => {
            request.run.finish(ok);
            answer.finish(request.ticket).await;
            None
        }
        ExchangeEnd::Cut => {
            count(&context.peer_counters.lost);
            request.run.finish(false);
            None
        }
        ExchangeEnd::Abandoned => {
            request.run.finish(true);
            None
        }
        // A rejection after the start violates the protocol, so that the request may have run.
        ExchangeEnd::Rejected | ExchangeEnd::Lost => {
            request.pending.writer = answer.into_writer();
            request.body_sent = streamed;
            handle_lost(context, peer, request).await
        }
        ExchangeEnd::Deadline => {
            request.pending.writer = answer.into_writer();
            handle_timeout(request).await;
            None
        }
    }
}

/// Moves the body out of a request whose body is streamed after the offer.
fn take_body(request: &mut ActiveRequest, streamed: bool) -> StreamedBody {
    if !streamed {
        return None;
    }
    let start = std::mem::replace(&mut request.start, BodyStart::End);
    let reader = std::mem::replace(&mut request.pending.reader, BodyReader::Whole(None));
    Some((start, reader))
}

/// Reports the rejection to dispatch, which decides again on a request that the peer has not run.
fn requeue(
    context: &TrafficContext,
    peer: EndpointId,
    mut request: ActiveRequest,
) -> Option<ActiveRequest> {
    count(&context.peer_counters.rejected);
    request.set_outcome(OnceOutcome::NotRun);
    let event = DispatchEvent::OfferRejected(request.meta.id, peer);
    request.run.report_offer(event);
    Some(request)
}

/// Handles a request whose peer failed while it held the request. Dispatch decides again if the request is safe to
/// retry and its body was not streamed; otherwise the caller gets the answer that the outcome is unknown.
async fn handle_lost(
    context: &TrafficContext,
    peer: EndpointId,
    request: ActiveRequest,
) -> Option<ActiveRequest> {
    count(&context.peer_counters.lost);
    if is_safe_to_retry(&request) && !request.body_sent {
        return requeue(context, peer, request);
    }
    request.run.finish(false);
    drop(request.ticket);
    if let Some(writer) = request.pending.writer {
        let text = "the endpoint that ran the request was lost";
        writer.send_unknown(StatusCode::BAD_GATEWAY, text).await;
    }
    None
}

/// Answers the caller that the outcome is unknown, after the peer did not answer before the deadline.
async fn handle_timeout(request: ActiveRequest) {
    request.run.finish(false);
    drop(request.ticket);
    if let Some(writer) = request.pending.writer {
        let text = "the deadline passed while another endpoint had the request";
        writer.send_unknown(StatusCode::GATEWAY_TIMEOUT, text).await;
    }
}

/// Returns whether a request may run twice: a GET or HEAD without an idempotency key. A key requires at most one run
/// for every method.
fn is_safe_to_retry(request: &ActiveRequest) -> bool {
    let method = &request.pending.head.method;
    request.ticket.is_none() && matches!(*method, Method::GET | Method::HEAD)
}
