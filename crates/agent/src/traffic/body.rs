//! Bodies of requests, from callers and from peers.

use super::transport::CallerRecv;
use crate::handover::PeerBody;
use bytes::{Buf, Bytes};
use h3::server::RequestStream;
use std::io;

/// Receiving half of a request.
pub(crate) enum BodyReader {
    /// A caller sends the body.
    Caller(RequestStream<CallerRecv, Bytes>),
    /// A peer passes the body on.
    Peer(PeerBody),
    /// The rest of a body that came with its head.
    Whole(Option<Bytes>),
}

/// Part of a request body that was read while the request waited.
pub(crate) enum BodyStart {
    /// Nothing was read.
    Unread,
    /// The first bytes.
    Chunk(Bytes),
    /// The request has no body.
    End,
}

/// Reads the next bytes of a request body; `None` is its end.
///
/// # Errors
///
/// Returns an error if the caller reset the stream, or the connection was lost.
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
