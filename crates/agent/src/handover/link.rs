//! The way back to a peer that handed a request over.

use super::connection::PeerWriter;
use super::message::from_fields;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use quetzalhill_wire::frame::FrameError;
use quetzalhill_wire::handover::{AnswerOutcome, HandoverReply, BODY_CHUNK_MAX};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Mutex;

/// Sending half of a connection that a peer opened.
#[derive(Debug)]
pub(crate) struct PeerLink {
    // Only one task sends at a time; the lock carries the half over its await points.
    writer: Mutex<PeerWriter>,
    complete: Cell<bool>,
}

impl PeerLink {
    /// Wraps the sending half.
    pub(super) fn new(writer: PeerWriter) -> Rc<Self> {
        Rc::new(Self {
            writer: Mutex::new(writer),
            complete: Cell::new(true),
        })
    }

    /// Marks the begin of a request.
    pub(super) fn begin(&self) {
        self.complete.set(false);
    }

    /// Returns whether the last request has its whole answer, so that the connection may carry another one.
    pub(super) fn is_complete(&self) -> bool {
        self.complete.get()
    }

    /// Sends a reply that is not the last one of its request.
    ///
    /// # Errors
    ///
    /// The peer is gone.
    pub(super) async fn send(&self, reply: HandoverReply) -> Result<(), FrameError> {
        self.writer.lock().await.write(&reply).await
    }

    /// Sends the last reply of a request.
    ///
    /// # Errors
    ///
    /// The peer is gone.
    pub(super) async fn finish(&self, reply: HandoverReply) -> Result<(), FrameError> {
        self.send(reply).await?;
        self.complete.set(true);
        Ok(())
    }

    /// Sends the head of an answer.
    ///
    /// # Errors
    ///
    /// The peer is gone, or the head does not fit a frame.
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

    /// Sends bytes of the body.
    ///
    /// # Errors
    ///
    /// The peer is gone.
    pub(crate) async fn data(&self, mut data: Bytes) -> Result<(), FrameError> {
        while !data.is_empty() {
            let size = data.len().min(BODY_CHUNK_MAX);
            self.send(HandoverReply::Chunk(data.split_to(size))).await?;
        }
        Ok(())
    }

    /// Ends a complete answer.
    ///
    /// # Errors
    ///
    /// The peer is gone.
    pub(crate) async fn end(&self) -> Result<(), FrameError> {
        self.finish(HandoverReply::End).await
    }
}
