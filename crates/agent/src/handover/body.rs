//! Request bodies between agents.

use super::connection::PeerWriter;
use crate::traffic::body::{read_chunk, BodyReader, BodyStart};
use crate::traffic::headers;
use bytes::Bytes;
use http::request::Parts;
use quetzalhill_wire::handover::{HandoverRequest, RequestBody, BODY_CHUNK_MAX};
use std::io;
use tokio::sync::mpsc;

/// Chunks that are buffered between the connection and the upstream.
const BUFFERED_CHUNKS_MAX: usize = 4;

/// One item of a body that a peer streams.
#[derive(Debug)]
pub(super) enum BodyItem {
    /// The next bytes of the body.
    Chunk(Bytes),
    /// The body is complete.
    End,
}

/// Body that a peer streams; without a final [`BodyItem::End`] the peer failed before the body was complete.
#[derive(Debug)]
pub(crate) struct PeerBody {
    items: mpsc::Receiver<BodyItem>,
    complete: bool,
}

impl PeerBody {
    /// Creates a body and the sender that fills it.
    pub(super) fn new() -> (mpsc::Sender<BodyItem>, Self) {
        let (sender, items) = mpsc::channel(BUFFERED_CHUNKS_MAX);
        let body = Self {
            items,
            complete: false,
        };
        (sender, body)
    }

    /// Returns the next bytes, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns `UnexpectedEof` if the peer failed before the body was complete.
    pub(crate) async fn next(&mut self) -> io::Result<Option<Bytes>> {
        if self.complete {
            return Ok(None);
        }
        match self.items.recv().await {
            Some(BodyItem::Chunk(chunk)) => Ok(Some(chunk)),
            Some(BodyItem::End) => {
                self.complete = true;
                Ok(None)
            }
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}

/// Returns the form of a body in the first message of a handover: empty, whole if all of it was read and fits, or
/// streamed.
pub(super) fn initial_body(head: &Parts, start: &BodyStart) -> RequestBody {
    match start {
        BodyStart::End => RequestBody::Empty,
        BodyStart::Chunk(chunk) if is_whole(head, chunk) => RequestBody::Whole(chunk.clone()),
        BodyStart::Chunk(_) | BodyStart::Unread => RequestBody::Streamed,
    }
}

fn is_whole(head: &Parts, chunk: &Bytes) -> bool {
    // CAST: Lengths of slices fit 64 bits on every supported target.
    let size = chunk.len() as u64;
    chunk.len() <= BODY_CHUNK_MAX && headers::content_length(&head.headers) == Some(size)
}

/// Why a body could not be sent completely.
pub(super) enum BodyFailure {
    /// Reading from the caller failed.
    Caller,
    /// Writing to the peer failed.
    Peer,
}

/// Sends a body in chunks of at most [`BODY_CHUNK_MAX`] bytes, at the rate at which the peer reads them.
pub(super) async fn send_body(
    writer: &mut PeerWriter,
    start: BodyStart,
    mut reader: BodyReader,
) -> Result<(), BodyFailure> {
    let mut next = match start {
        BodyStart::Chunk(chunk) => Some(chunk),
        BodyStart::Unread => read_chunk(&mut reader)
            .await
            .map_err(|_| BodyFailure::Caller)?,
        BodyStart::End => None,
    };
    while let Some(mut chunk) = next {
        while !chunk.is_empty() {
            let size = chunk.len().min(BODY_CHUNK_MAX);
            let part = HandoverRequest::Body(chunk.split_to(size));
            writer.write(&part).await.map_err(|_| BodyFailure::Peer)?;
        }
        next = read_chunk(&mut reader)
            .await
            .map_err(|_| BodyFailure::Caller)?;
    }
    let end = writer.write(&HandoverRequest::BodyEnd).await;
    end.map_err(|_| BodyFailure::Peer)
}
