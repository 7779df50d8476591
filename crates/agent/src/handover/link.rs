//! The sending half of a connection on which a peer hands requests over.

use super::connection::PeerWriter;
use super::message::from_fields;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use quetzalhill_wire::frame::FrameError;
use quetzalhill_wire::handover::{AnswerOutcome, HandoverReply, BODY_CHUNK_MAX};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Mutex;

/// Sends the replies on a connection that a peer opened, for one request at a time.
#[derive(Debug)]
pub(crate) struct PeerLink {
    // Only one task sends at a time, so that the lock is never contended; it allows the borrow across await points.
    writer: Mutex<PeerWriter>,
    /// Whether the last reply of the current request was sent.
    complete: Cell<bool>,
}

impl PeerLink {
    /// Wraps the sending half of an idle connection.
    pub(super) fn new(writer: PeerWriter) -> Rc<Self> {
        Rc::new(Self {
            writer: Mutex::new(writer),
            complete: Cell::new(true),
        })
    }

    /// Marks the start of a request; [`PeerLink::finish`] marks its end.
    pub(super) fn begin(&self) {
        self.complete.set(false);
    }

    /// Returns whether the last request was answered completely, so that the connection can carry another one.
    pub(super) fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// Sends a reply that is not the last one of its request.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer closed the connection.
    pub(super) async fn send(&self, reply: HandoverReply) -> Result<(), FrameError> {
        self.writer.lock().await.write(&reply).await
    }

    /// Sends the last reply of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer closed the connection.
    pub(super) async fn finish(&self, reply: HandoverReply) -> Result<(), FrameError> {
        self.send(reply).await?;
        self.complete.set(true);
        Ok(())
    }

    /// Sends the head of an answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer closed the connection or the head does not fit into a frame.
    pub(crate) async fn head(
        &self,
        outcome: AnswerOutcome,
        status: StatusCode,
        fields: &HeaderMap,
    ) -> Result<(), FrameError> {
        let reply = HandoverReply::Head {
            outcome,
            status: status.as_u16(),
            fields: from_fields(fields),
        };
        self.send(reply).await
    }

    /// Sends bytes of the body in chunks of at most [`BODY_CHUNK_MAX`] bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer closed the connection.
    pub(crate) async fn data(&self, mut data: Bytes) -> Result<(), FrameError> {
        while !data.is_empty() {
            let size = data.len().min(BODY_CHUNK_MAX);
            self.send(HandoverReply::Chunk(data.split_to(size))).await?;
        }
        Ok(())
    }

    /// Sends the end of a complete answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer closed the connection.
    pub(crate) async fn end(&self) -> Result<(), FrameError> {
        self.finish(HandoverReply::End).await
    }
}
