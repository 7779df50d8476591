//! A request that runs at a peer, seen from the agent that passed it there.

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

/// Time beyond a deadline in which the peer, which refuses a late request itself, may still say that it did.
pub(super) const PEER_GRACE: Duration = Duration::from_millis(250);

/// How a request at a peer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExchangeEnd {
    /// The answer is complete; `ok` is what it says of the peer's upstream.
    Complete {
        /// Whether the upstream answered without failing.
        ok: bool,
    },
    /// The peer gave the request back; it was not run.
    Rejected,
    /// The connection failed before the answer began; the request may have run.
    Lost,
    /// The answer did not begin in time; the request may have run.
    Deadline,
    /// The connection failed after the answer began.
    Cut,
    /// The caller is gone, or nobody wants the rest of the answer.
    Abandoned,
}

/// Head of an answer from a peer.
#[derive(Debug)]
pub(super) struct PeerHead {
    pub(super) outcome: AnswerOutcome,
    pub(super) status: u16,
    pub(super) fields: FieldList,
}

/// A connection on which a peer runs a request.
#[derive(Debug)]
pub(crate) struct PeerExchange {
    pub(super) peer: EndpointRecord,
    pub(super) connection: PeerConnection,
    /// Whether the peer has started the request.
    pub(super) started: bool,
    /// Head that came without a start, because the peer refused.
    pub(super) head: Option<PeerHead>,
}

/// A body that is sent after the peer has started the request.
pub(crate) type StreamedBody = Option<(BodyStart, BodyReader)>;

impl PeerExchange {
    /// Sends the rest of the body and passes the answer on; the answer's head has to begin before `give_up`.
    ///
    /// Dropping the call closes the connection, which cancels the request at the peer.
    pub(crate) async fn relay(
        self,
        pool: &ConnectionPool,
        body: StreamedBody,
        answer: &mut AnswerRelay,
        give_up: Instant,
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
        let start = Notify::new();
        if started {
            start.notify_one();
        }
        let sent = Cell::new(body.is_none());
        let sending = async {
            if let Some((first, rest)) = body {
                start.notified().await;
                match send_body(&mut writer, first, rest).await {
                    Ok(()) => sent.set(true),
                    Err(BodyFailure::Caller) => return,
                    // The other half tells what became of the request.
                    Err(BodyFailure::Peer) => {}
                }
            }
            std::future::pending::<()>().await;
        };
        let end = tokio::select! {
            biased;
            end = receive(&mut reader, head, answer, give_up, &start) => end,
            () = sending => ExchangeEnd::Abandoned,
        };
        let reusable = matches!(end, ExchangeEnd::Complete { .. } | ExchangeEnd::Rejected);
        if reusable && sent.get() {
            pool.give(&peer, PeerConnection { reader, writer });
        }
        end
    }
}

async fn receive(
    reader: &mut PeerReader,
    head: Option<PeerHead>,
    answer: &mut AnswerRelay,
    give_up: Instant,
    start: &Notify,
) -> ExchangeEnd {
    let head = match head {
        Some(head) => Ok(head),
        None => {
            let received = receive_head(reader, start);
            let head = tokio::time::timeout_at(give_up.into(), received).await;
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

async fn receive_head(reader: &mut PeerReader, start: &Notify) -> Result<PeerHead, ExchangeEnd> {
    loop {
        match next(reader).await {
            Ok(HandoverReply::Accept) => {}
            Ok(HandoverReply::Started) => start.notify_one(),
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
