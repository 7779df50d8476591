//! Bodies of requests on their way between agents.

use super::connection::PeerWriter;
use crate::traffic::body::{read_chunk, BodyReader, BodyStart};
use crate::traffic::headers;
use bytes::Bytes;
use http::request::Parts;
use quetzalhill_wire::handover::{HandoverRequest, RequestBody, BODY_CHUNK_MAX};
use std::io;
use tokio::sync::mpsc;

/// Chunks that are taken from the connection before the upstream reads them.
const CHUNKS_AHEAD: usize = 4;

/// One step of a body that arrives from a peer.
#[derive(Debug)]
pub(super) enum BodyItem {
    /// Bytes.
    Chunk(Bytes),
    /// The body is complete.
    End,
}

/// Body that arrives from a peer; a peer that is gone ends it without [`BodyItem::End`].
#[derive(Debug)]
pub(crate) struct PeerBody {
    items: mpsc::Receiver<BodyItem>,
    complete: bool,
}

impl PeerBody {
    /// Makes a body and the way to fill it.
    pub(super) fn new() -> (mpsc::Sender<BodyItem>, Self) {
        let (sender, items) = mpsc::channel(CHUNKS_AHEAD);
        let body = Self {
            items,
            complete: false,
        };
        (sender, body)
    }

    /// Returns the next bytes; `None` is the end of the body.
    ///
    /// # Errors
    ///
    /// The peer is gone.
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

/// Returns what is known of a body before its request leaves.
pub(super) fn known_body(head: &Parts, start: &BodyStart) -> RequestBody {
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

/// Why a body could not be sent to its end.
pub(super) enum BodyFailure {
    /// The caller is gone.
    Caller,
    /// The peer takes no more.
    Peer,
}

/// Sends a body as fast as the peer takes it.
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
