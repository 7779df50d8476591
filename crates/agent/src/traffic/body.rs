//! Reading of request bodies from callers and peers.

use super::transport::CallerRecv;
use crate::handover::PeerBody;
use bytes::{Buf, Bytes};
use h3::server::RequestStream;
use std::io;

/// Source of a request body.
pub(crate) enum BodyReader {
    /// HTTP/3 stream of a caller.
    Caller(RequestStream<CallerRecv, Bytes>),
    /// Body that a peer sends in frames after the head.
    Peer(PeerBody),
    /// Unread remainder of a body that arrived complete with the head; `None` once it has been read.
    Whole(Option<Bytes>),
}

/// First part of a request body, read while the request waits for dispatch.
pub(crate) enum BodyStart {
    /// Nothing has been read yet.
    Unread,
    /// The first chunk; more may follow.
    Chunk(Bytes),
    /// The body is empty.
    End,
}

/// Reads the next chunk of a request body, or `None` at its end.
///
/// # Errors
///
/// Returns an error if the stream was reset or the connection was lost.
pub(crate) async fn read_chunk(reader: &mut BodyReader) -> io::Result<Option<Bytes>> {
    let stream = match reader {
        BodyReader::Caller(stream) => stream,
        BodyReader::Peer(body) => return body.next().await,
        BodyReader::Whole(rest) => return Ok(rest.take()),
    };
    let data = stream.recv_data().await.map_err(io::Error::other)?;
    let Some(mut data) = data else {
        return Ok(None);
    };
    Ok(Some(data.copy_to_bytes(data.remaining())))
}
