//! Offers requests to peers and passes their answers on.

use super::body::known_body;
use super::connection::{next, PeerConnection};
use super::exchange::{ExchangeEnd, PeerExchange, PeerHead, StreamedBody, PEER_GRACE};
use super::message::{from_parts, micros, micros_left};
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

/// How long a peer may leave the withdrawal of an offer unanswered before a request that is safe to retry goes
/// elsewhere.
const WITHDRAW_LIMIT: Duration = Duration::from_millis(200);

enum OfferEnd {
    /// The request was not run at the peer.
    Rejected,
    /// It is unknown whether it ran.
    Lost,
    /// The peer did not answer before the deadline.
    Deadline,
    /// The peer runs the request or refuses it with an answer.
    Running(Box<PeerExchange>),
}

/// Offers a request to a peer; returns it if dispatch has to decide again.
pub(crate) async fn hand_over(
    context: &TrafficContext,
    peer: EndpointId,
    mut request: ActiveRequest,
) -> Option<ActiveRequest> {
    let view = context.view();
    let known = view.peers.iter().find(|record| record.id == peer);
    let Some(record) = known else {
        return give_back(context, peer, request);
    };
    count(&context.peer_counters.offered);
    request.set_outcome(OnceOutcome::Lost);
    let body = known_body(&request.pending.head, &request.start);
    let streamed = body == RequestBody::Streamed;
    match offer(context, record, &mut request, body).await {
        OfferEnd::Rejected => give_back(context, peer, request),
        OfferEnd::Lost => lost(context, peer, request).await,
        OfferEnd::Deadline => {
            late(request).await;
            None
        }
        OfferEnd::Running(exchange) => {
            count(&context.peer_counters.handed_over);
            finish(context, peer, *exchange, request, streamed).await
        }
    }
}

fn message(
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
        remaining_us: micros_left(meta.deadline),
        head: from_parts(&request.pending.head),
        body,
    }))
}

async fn offer(
    context: &TrafficContext,
    peer: &EndpointRecord,
    request: &mut ActiveRequest,
    body: RequestBody,
) -> OfferEnd {
    let taken = tokio::select! {
        taken = context.pool.take(peer) => taken,
        // Nothing has been sent yet, so that the offer can just be dropped.
        () = withdrawn(request) => return OfferEnd::Rejected,
    };
    let Ok(mut connection) = taken else {
        return OfferEnd::Rejected;
    };
    let offer = message(context, peer, request, body);
    match connection.writer.write(&offer).await {
        Ok(()) => {}
        // An offer that is too long for a frame leaves the connection as it was.
        Err(FrameError::Long | FrameError::Body) => {
            context.pool.give(peer, connection);
            return OfferEnd::Rejected;
        }
        // The peer never has the whole frame.
        Err(_) => return OfferEnd::Rejected,
    }
    wait_for_answer(context, peer, request, connection).await
}

/// Waits until dispatch withdraws the offer.
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
    let give_up = request.meta.deadline + PEER_GRACE;
    let mut accepted = false;
    let mut lost_at: Option<Instant> = None;
    loop {
        let limit = lost_at.map_or(give_up, |lost_at| lost_at.min(give_up));
        let reply = tokio::select! {
            biased;
            reply = next(&mut connection.reader) => reply,
            () = withdrawn(request), if !accepted => {
                if connection.writer.write(&HandoverRequest::Withdraw).await.is_err() {
                    return OfferEnd::Lost;
                }
                if may_run_twice(request) {
                    lost_at.get_or_insert(Instant::now() + WITHDRAW_LIMIT);
                }
                continue;
            }
            () = tokio::time::sleep_until(limit.into()) => match limit < give_up {
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
                lost_at = None;
                let event = DispatchEvent::OfferAccepted(id, peer.id);
                request.run.report_offer(event);
                connection = exchange.connection;
            }
            Ok(HandoverReply::Reject) => {
                context.pool.give(peer, exchange.connection);
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

async fn finish(
    context: &TrafficContext,
    peer: EndpointId,
    exchange: PeerExchange,
    mut request: ActiveRequest,
    streamed: bool,
) -> Option<ActiveRequest> {
    let body = take_body(&mut request, streamed);
    let writer = request.pending.writer.take()?;
    let mut answer = AnswerRelay::new(writer, request.ticket.is_some());
    let give_up = request.meta.deadline + PEER_GRACE;
    let end = exchange
        .relay(&context.pool, body, &mut answer, give_up)
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
        // A peer gives nothing back after it has started.
        ExchangeEnd::Rejected | ExchangeEnd::Lost => {
            request.pending.writer = answer.into_writer();
            request.body_sent = streamed;
            lost(context, peer, request).await
        }
        ExchangeEnd::Deadline => {
            request.pending.writer = answer.into_writer();
            late(request).await;
            None
        }
    }
}

/// Takes the body out of a request whose body has to follow.
fn take_body(request: &mut ActiveRequest, streamed: bool) -> StreamedBody {
    if !streamed {
        return None;
    }
    let start = std::mem::replace(&mut request.start, BodyStart::End);
    let reader = std::mem::replace(&mut request.pending.reader, BodyReader::Whole(None));
    Some((start, reader))
}

/// Lets dispatch decide again on a request that the peer has not run.
fn give_back(
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

/// Decides on a request whose connection failed while the peer had it.
async fn lost(
    context: &TrafficContext,
    peer: EndpointId,
    request: ActiveRequest,
) -> Option<ActiveRequest> {
    count(&context.peer_counters.lost);
    if may_run_twice(&request) && !request.body_sent {
        return give_back(context, peer, request);
    }
    request.run.finish(false);
    drop(request.ticket);
    if let Some(writer) = request.pending.writer {
        let text = "the endpoint that ran the request was lost";
        writer.send_unknown(StatusCode::BAD_GATEWAY, text).await;
    }
    None
}

async fn late(request: ActiveRequest) {
    request.run.finish(false);
    drop(request.ticket);
    if let Some(writer) = request.pending.writer {
        let text = "the deadline passed while another endpoint had the request";
        writer.send_unknown(StatusCode::GATEWAY_TIMEOUT, text).await;
    }
}

/// Returns whether a request does no harm when it runs twice; a key asks for one run whatever the method.
fn may_run_twice(request: &ActiveRequest) -> bool {
    let method = &request.pending.head.method;
    request.ticket.is_none() && matches!(*method, Method::GET | Method::HEAD)
}
