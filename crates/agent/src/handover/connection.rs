//! Connections between agents that carry authenticated frames.

use quetzalhill_wire::frame::{handshake, FrameError, FrameReader, FrameSide, FrameWriter};
use quetzalhill_wire::key::KeyRing;
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

/// Timeout of the handshake, and of the connect before it, after which the connection is dropped.
const SETUP_TIMEOUT: Duration = Duration::from_millis(500);

/// Receiving half of a connection.
pub(crate) type PeerReader = FrameReader<OwnedReadHalf>;

/// Sending half of a connection.
pub(crate) type PeerWriter = FrameWriter<OwnedWriteHalf>;

/// A connection to a peer after the handshake, split into its halves.
#[derive(Debug)]
pub(crate) struct PeerConnection {
    /// Reads the messages of the peer.
    pub(crate) reader: PeerReader,
    /// Writes messages to the peer.
    pub(crate) writer: PeerWriter,
}

impl PeerConnection {
    /// Returns whether the peer has neither closed the connection nor sent anything that was not read yet.
    pub(crate) fn is_idle(&self) -> bool {
        let read = self.reader.stream().try_read(&mut [0]);
        let would_block = read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        would_block && !self.reader.is_buffering()
    }
}

/// Returns the next message. The call is cancel safe: dropping the future loses no bytes.
///
/// # Errors
///
/// Returns an error if the connection has ended or the frame is invalid; the connection is unusable then.
pub(crate) async fn next<T: DeserializeOwned>(reader: &mut PeerReader) -> Result<T, FrameError> {
    let message = reader.read().await?;
    message.ok_or(FrameError::Closed)
}

/// Opens a connection to a peer.
///
/// # Errors
///
/// Returns an error if the peer cannot be reached or takes too long, or if the two agents share no key.
pub(crate) async fn connect(
    address: SocketAddrV4,
    ring: &KeyRing,
) -> Result<PeerConnection, FrameError> {
    let setup = async {
        let stream = TcpStream::connect(address).await?;
        set_up(stream, FrameSide::Client, ring).await
    };
    let connected = tokio::time::timeout(SETUP_TIMEOUT, setup).await;
    connected.map_err(io::Error::from)?
}

/// Performs the handshake on a connection that a peer has opened.
///
/// # Errors
///
/// Returns an error if the other end does not prove that it has a shared key or takes too long.
pub(crate) async fn accept(
    stream: TcpStream,
    ring: &KeyRing,
) -> Result<PeerConnection, FrameError> {
    let setup = set_up(stream, FrameSide::Server, ring);
    let connected = tokio::time::timeout(SETUP_TIMEOUT, setup).await;
    connected.map_err(io::Error::from)?
}

async fn set_up(
    stream: TcpStream,
    side: FrameSide,
    ring: &KeyRing,
) -> Result<PeerConnection, FrameError> {
    // Disables Nagle's algorithm: a small frame whose sender waits for the reply must not be delayed.
    stream.set_nodelay(true)?;
    let (receive, send) = stream.into_split();
    let (reader, writer) = handshake(receive, send, side, ring, rand::random()).await?;
    Ok(PeerConnection { reader, writer })
}
