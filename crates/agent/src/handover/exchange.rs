//! The sending agent's side of a request that runs at a peer.

use super::body::{send_body, BodyFailure};
use super::connection::{next, PeerConnection, PeerReader};
use super::message::to_fields;
use super::pool::ConnectionPool;
use crate::traffic::body::{BodyReader, BodyStart};
use crate::traffic::relay::AnswerRelay;
use http::StatusCode;
use quetzalhill_core::member::EndpointRecord;
use quetzalhill_wire::handover::{AnswerOutcome, FieldList, HandoverReply};
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time after the deadline for which the sender still waits. The peer refuses a late request itself, and its refusal
/// needs time to arrive.
pub(super) const PEER_GRACE: Duration = Duration::from_millis(250);

/// How a request at a peer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExchangeEnd {
    /// The whole answer was relayed.
    Complete {
        /// Whether the peer's upstream answered without a server error.
        ok: bool,
    },
    /// The peer rejected the request without running it.
    Rejected,
    /// The connection failed before the answer began; the request may have run.
    Lost,
    /// The answer did not begin in time; the request may have run.
    Deadline,
    /// The connection failed after the answer began.
    Cut,
    /// The caller failed while it sent its body, or closed its stream while no stored copy needs the rest of the
    /// answer.
    Abandoned,
}

/// Head of an answer from a peer.
#[derive(Debug)]
pub(super) struct PeerHead {
    pub(super) outcome: AnswerOutcome,
    pub(super) status: u16,
    pub(super) fields: FieldList,
}

/// A request at a peer and the connection that carries it.
#[derive(Debug)]
pub(crate) struct PeerExchange {
    pub(super) peer: EndpointRecord,
    pub(super) connection: PeerConnection,
    /// Whether the peer has reported that it started the request, which allows the body to be sent.
    pub(super) started: bool,
    /// Head of an answer with which the peer refused the request instead of starting it.
    pub(super) head: Option<PeerHead>,
}

/// A body that is sent after the peer has started the request; `None` if the first message carried the whole body.
pub(crate) type StreamedBody = Option<(BodyStart, BodyReader)>;

impl PeerExchange {
    /// Sends the rest of the body and relays the answer, whose head has to arrive before `answer_deadline`.
    ///
    /// Dropping the future closes the connection, which cancels the request at the peer.
    pub(crate) async fn relay(
        self,
        pool: &ConnectionPool,
        body: StreamedBody,
        answer: &mut AnswerRelay,
        answer_deadline: Instant,
    ) -> ExchangeEnd {
        let Self {
            peer,
            connection,
            started,
            head,
        } = self;
        let PeerConnection {
            mut reader,
            mut writer,
        } = connection;
        let peer_started = Notify::new();
        if started {
            peer_started.notify_one();
        }
        let sent = Cell::new(body.is_none());
        let sending = async {
            if let Some((first, rest)) = body {
                peer_started.notified().await;
                match send_body(&mut writer, first, rest).await {
                    Ok(()) => sent.set(true),
                    Err(BodyFailure::Caller) => return,
                    // The receiving half determines how the exchange ended.
                    Err(BodyFailure::Peer) => {}
                }
            }
            std::future::pending::<()>().await;
        };
        let end = tokio::select! {
            biased;
            end = receive_answer(&mut reader, head, answer, answer_deadline, &peer_started) => end,
            () = sending => ExchangeEnd::Abandoned,
        };
        let reusable = matches!(end, ExchangeEnd::Complete { .. } | ExchangeEnd::Rejected);
        if reusable && sent.get() {
            pool.release(&peer, PeerConnection { reader, writer });
        }
        end
    }
}

async fn receive_answer(
    reader: &mut PeerReader,
    head: Option<PeerHead>,
    answer: &mut AnswerRelay,
    answer_deadline: Instant,
    peer_started: &Notify,
) -> ExchangeEnd {
    let head = match head {
        Some(head) => Ok(head),
        None => {
            let received = receive_head(reader, peer_started);
            let head = tokio::time::timeout_at(answer_deadline.into(), received).await;
            head.unwrap_or(Err(ExchangeEnd::Deadline))
        }
    };
    let head = match head {
        Ok(head) => head,
        Err(end) => return end,
    };
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let ok = head.outcome == AnswerOutcome::Answered && !status.is_server_error();
    answer
        .send_head(head.outcome, status, to_fields(head.fields))
        .await;
    loop {
        match next(reader).await {
            Ok(HandoverReply::Chunk(chunk)) => {
                if !answer.send_data(chunk).await {
                    return ExchangeEnd::Abandoned;
                }
            }
            Ok(HandoverReply::End) => return ExchangeEnd::Complete { ok },
            Ok(_) | Err(_) => return ExchangeEnd::Cut,
        }
    }
}

async fn receive_head(
    reader: &mut PeerReader,
    peer_started: &Notify,
) -> Result<PeerHead, ExchangeEnd> {
    loop {
        match next(reader).await {
            Ok(HandoverReply::Accept) => {}
            Ok(HandoverReply::Started) => peer_started.notify_one(),
            Ok(HandoverReply::Reject) => return Err(ExchangeEnd::Rejected),
            Ok(HandoverReply::Head {
                outcome,
                status,
                fields,
            }) => {
                return Ok(PeerHead {
                    outcome,
                    status,
                    fields,
                })
            }
            Ok(HandoverReply::Chunk(_) | HandoverReply::End) | Err(_) => {
                return Err(ExchangeEnd::Lost)
            }
        }
    }
}
