//! Connections between agents that carry authenticated frames.

use quetzalhill_wire::frame::{handshake, FrameError, FrameReader, FrameSide, FrameWriter};
use quetzalhill_wire::key::KeyRing;
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

/// How long a connection may take until both ends have sent their hello.
const SETUP_LIMIT: Duration = Duration::from_millis(500);

/// Receiving half of a connection.
pub(crate) type PeerReader = FrameReader<OwnedReadHalf>;

/// Sending half of a connection.
pub(crate) type PeerWriter = FrameWriter<OwnedWriteHalf>;

/// Both halves of a connection.
#[derive(Debug)]
pub(crate) struct PeerConnection {
    /// Receiving half.
    pub(crate) reader: PeerReader,
    /// Sending half.
    pub(crate) writer: PeerWriter,
}

impl PeerConnection {
    /// Returns whether the other end has neither closed the connection nor sent anything.
    pub(crate) fn is_quiet(&self) -> bool {
        let read = self.reader.stream().try_read(&mut [0]);
        let waits = read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        waits && !self.reader.is_buffering()
    }
}

/// Returns the next message; a call that is dropped early loses nothing.
///
/// # Errors
///
/// The connection has ended, or the frame is not valid; the connection is of no use any more.
pub(crate) async fn next<T: DeserializeOwned>(reader: &mut PeerReader) -> Result<T, FrameError> {
    let message = reader.read().await?;
    message.ok_or(FrameError::Closed)
}

/// Opens a connection to a peer.
///
/// # Errors
///
/// The peer cannot be reached, or the two have no key in common.
pub(crate) async fn connect(
    address: SocketAddrV4,
    ring: &KeyRing,
) -> Result<PeerConnection, FrameError> {
    let setup = async {
        let stream = TcpStream::connect(address).await?;
        set_up(stream, FrameSide::Client, ring).await
    };
    let connected = tokio::time::timeout(SETUP_LIMIT, setup).await;
    connected.map_err(io::Error::from)?
}

/// Sets up a connection that a peer has opened.
///
/// # Errors
///
/// The other end is no agent with a key in common, or takes too long.
pub(crate) async fn accept(
    stream: TcpStream,
    ring: &KeyRing,
) -> Result<PeerConnection, FrameError> {
    let setup = set_up(stream, FrameSide::Server, ring);
    let connected = tokio::time::timeout(SETUP_LIMIT, setup).await;
    connected.map_err(io::Error::from)?
}

async fn set_up(
    stream: TcpStream,
    side: FrameSide,
    ring: &KeyRing,
) -> Result<PeerConnection, FrameError> {
    // Small frames wait for their answer, so that the kernel must not collect them.
    stream.set_nodelay(true)?;
    let (receive, send) = stream.into_split();
    let (reader, writer) = handshake(receive, send, side, ring, rand::random()).await?;
    Ok(PeerConnection { reader, writer })
}
