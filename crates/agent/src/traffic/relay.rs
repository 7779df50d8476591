//! Relaying of a response to the caller; the response to a keyed request is also stored.

use super::answer::AnswerWriter;
use super::once::OnceTicket;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use quetzalhill_core::once::{OnceOutcome, StoredAnswer};
use quetzalhill_wire::handover::AnswerOutcome;

/// Most bytes of a response body that is stored for retries of a keyed request.
const STORED_BODY_MAX: usize = 16 * 1024;

/// Relays a response, from the upstream or from a peer, to its writer.
///
/// The writer is `None` once sending to it has failed.
pub(crate) struct AnswerRelay {
    writer: Option<AnswerWriter>,
    keyed: bool,
    copy: Option<AnswerCopy>,
    outcome: AnswerOutcome,
}

impl AnswerRelay {
    /// Creates the relay of a response; `keyed` makes it keep a copy of the response.
    pub(crate) fn new(writer: AnswerWriter, keyed: bool) -> Self {
        Self {
            writer: Some(writer),
            keyed,
            copy: None,
            outcome: AnswerOutcome::Answered,
        }
    }

    /// Returns the writer, for a response that has not begun.
    pub(crate) fn into_writer(self) -> Option<AnswerWriter> {
        self.writer
    }

    /// Relays the status and header fields and starts the copy for a keyed request.
    pub(crate) async fn send_head(
        &mut self,
        outcome: AnswerOutcome,
        status: StatusCode,
        fields: HeaderMap,
    ) {
        self.outcome = outcome;
        self.copy = self.keyed.then(|| AnswerCopy::new(status, &fields));
        let Some(writer) = &mut self.writer else {
            return;
        };
        if writer.send_head(outcome, status, fields).await.is_err() {
            self.writer = None;
        }
    }

    /// Relays a chunk of the body; returns false if the rest of the body is needed neither by the writer nor by the
    /// copy.
    pub(crate) async fn send_data(&mut self, chunk: Bytes) -> bool {
        if let Some(copy) = &mut self.copy {
            copy.push(&chunk);
        }
        if let Some(writer) = &mut self.writer {
            if writer.send_data(chunk).await.is_err() {
                self.writer = None;
            }
        }
        let wanted = self.copy.as_ref().is_some_and(|copy| !copy.too_large);
        self.writer.is_some() || wanted
    }

    /// Ends a complete response and reports the outcome of a keyed request.
    pub(crate) async fn finish(self, mut ticket: Option<OnceTicket>) {
        if let Some(ticket) = &mut ticket {
            ticket.set(match (self.outcome, self.copy) {
                (AnswerOutcome::Answered, Some(copy)) => copy.outcome(),
                (AnswerOutcome::NotRun, _) => OnceOutcome::NotRun,
                (AnswerOutcome::Answered | AnswerOutcome::Unknown, _) => OnceOutcome::Lost,
            });
        }
        drop(ticket);
        if let Some(writer) = self.writer {
            // Fails only if the caller's stream has closed, which needs no handling.
            let _ = writer.finish().await;
        }
    }
}

/// Copy of a response for retries of a keyed request, without the body if it exceeds [`STORED_BODY_MAX`].
struct AnswerCopy {
    answer: StoredAnswer,
    too_large: bool,
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
            too_large: false,
        }
    }

    fn push(&mut self, chunk: &[u8]) {
        if self.answer.body.len() + chunk.len() > STORED_BODY_MAX {
            self.too_large = true;
            self.answer.body = Vec::new();
        }
        if !self.too_large {
            self.answer.body.extend_from_slice(chunk);
        }
    }

    fn outcome(self) -> OnceOutcome {
        match self.too_large {
            true => OnceOutcome::AnsweredLarge,
            false => OnceOutcome::Answered(self.answer),
        }
    }
}
