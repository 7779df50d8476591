//! Authenticated frames over a TCP connection between processes of quetzalhill.
//!
//! Each side first sends a hello with a random nonce. Every frame is a length, a postcard body and a tag over both
//! nonces, the direction, a sequence number and the body. The receiver thereby detects frames that were modified,
//! repeated, reordered or replayed on another connection. See docs/design.md, section 5.

use crate::key::{ControlKey, KeyRing, TAG_BYTES};
use crate::packet::{PREFIX_BYTES, WIRE_VERSION};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt;
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Largest body of a frame, in bytes.
pub const FRAME_MAX: usize = 64 * 1024;

/// Kind byte of the hello of a TCP connection.
pub const KIND_STREAM: u8 = 3;

/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 16;

const LENGTH_BYTES: usize = 4;
const HELLO_BYTES: usize = PREFIX_BYTES + NONCE_BYTES;

/// Random bytes, unique per connection; the caller must generate them with a cryptographically secure generator.
pub type ConnectionNonce = [u8; NONCE_BYTES];

/// Reason for which a connection must be closed.
#[derive(Debug)]
pub enum FrameError {
    /// Reading from or writing to the connection failed.
    Io(io::Error),
    /// The peer closed the connection within a frame or where a message was expected.
    Closed,
    /// The hello has an unsupported version, the wrong kind or an unknown key number.
    Hello,
    /// The body of the frame is longer than [`FRAME_MAX`].
    Long,
    /// The tag does not match.
    Tag,
    /// The body cannot be encoded or decoded.
    Body,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Io(error) => write!(f, "I/O error on the connection: {error}"),
            FrameError::Closed => {
                f.write_str("the peer closed the connection before a complete message was received")
            }
            FrameError::Hello => {
                f.write_str("the hello has an unsupported version, a wrong kind or an unknown key")
            }
            FrameError::Long => write!(f, "the body of the frame is longer than {FRAME_MAX} bytes"),
            FrameError::Tag => f.write_str("the tag of the frame does not match"),
            FrameError::Body => f.write_str("the body of the frame cannot be encoded or decoded"),
        }
    }
}

impl std::error::Error for FrameError {}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        FrameError::Io(error)
    }
}

/// Role of a process on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameSide {
    /// Opened the connection.
    Client,
    /// Accepted the connection.
    Server,
}

impl FrameSide {
    fn other(self) -> Self {
        match self {
            FrameSide::Client => FrameSide::Server,
            FrameSide::Server => FrameSide::Client,
        }
    }
}

/// Encodes or decodes the frames of one direction, and creates or verifies their tags.
#[derive(Debug)]
pub struct FrameCodec {
    key: ControlKey,
    nonces: [u8; 2 * NONCE_BYTES],
    sender: FrameSide,
    sequence: u64,
}

impl FrameCodec {
    fn next_tag(&mut self, body: &[u8]) -> [u8; TAG_BYTES] {
        let sender = match self.sender {
            FrameSide::Client => [1],
            FrameSide::Server => [2],
        };
        let sequence = self.sequence.to_le_bytes();
        self.sequence += 1;
        self.key.tag(&[&self.nonces, &sender, &sequence, body])
    }

    /// Encodes `message` as the next frame.
    ///
    /// # Errors
    ///
    /// Fails if the body cannot be encoded or is longer than [`FRAME_MAX`].
    pub fn encode<T: Serialize>(&mut self, message: &T) -> Result<Vec<u8>, FrameError> {
        let head = vec![0; LENGTH_BYTES];
        let mut frame = postcard::to_extend(message, head).map_err(|_| FrameError::Body)?;
        let length = frame.len() - LENGTH_BYTES;
        if length > FRAME_MAX {
            return Err(FrameError::Long);
        }
        // CAST: The length is at most `FRAME_MAX`.
        frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
        let tag = self.next_tag(&frame[LENGTH_BYTES..]);
        frame.extend_from_slice(&tag);
        Ok(frame)
    }

    /// Decodes the frame at the start of `bytes` and returns the message and the length of the frame; `None` if the
    /// frame is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the frame is too long, its tag does not match or its body cannot be decoded. The connection must then
    /// be closed.
    pub fn decode<T: DeserializeOwned>(
        &mut self,
        bytes: &[u8],
    ) -> Result<Option<(T, usize)>, FrameError> {
        let Some(length) = bytes.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = usize::try_from(u32::from_le_bytes(*length)).unwrap_or(usize::MAX);
        if length > FRAME_MAX {
            return Err(FrameError::Long);
        }
        let body_end = LENGTH_BYTES + length;
        let end = body_end + TAG_BYTES;
        if bytes.len() < end {
            return Ok(None);
        }
        let body = &bytes[LENGTH_BYTES..body_end];
        if self.next_tag(body) != bytes[body_end..end] {
            return Err(FrameError::Tag);
        }
        let message = postcard::from_bytes(body).map_err(|_| FrameError::Body)?;
        Ok(Some((message, end)))
    }
}

/// Receiving half of a framed connection.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    codec: FrameCodec,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Receives the next message; `None` if the peer closed the connection between two frames.
    ///
    /// Cancel-safe: received bytes stay in the buffer if the future is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or a frame is invalid. The connection must then be closed.
    pub async fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        loop {
            if let Some((message, end)) = self.codec.decode(&self.buffer)? {
                self.buffer.drain(..end);
                return Ok(Some(message));
            }
            if self.stream.read_buf(&mut self.buffer).await? > 0 {
                continue;
            }
            return match self.buffer.is_empty() {
                true => Ok(None),
                false => Err(FrameError::Closed),
            };
        }
    }
}

impl<R> FrameReader<R> {
    /// Returns the underlying stream.
    pub fn stream(&self) -> &R {
        &self.stream
    }

    /// Returns whether received bytes are buffered that have not been decoded yet.
    pub fn is_buffering(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Sending half of a framed connection.
#[derive(Debug)]
pub struct FrameWriter<W> {
    stream: W,
    codec: FrameCodec,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// Sends one message.
    ///
    /// Not cancel-safe: if the future is dropped before it completes, part of a frame may have been sent and the
    /// connection is unusable.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the message is too long.
    pub async fn write<T: Serialize>(&mut self, message: &T) -> Result<(), FrameError> {
        let frame = self.codec.encode(message)?;
        self.stream.write_all(&frame).await?;
        Ok(())
    }

    /// Shuts down the sending direction.
    ///
    /// # Errors
    ///
    /// Fails if the shutdown of the stream fails.
    pub async fn close(&mut self) -> Result<(), FrameError> {
        self.stream.shutdown().await?;
        Ok(())
    }
}

/// Exchanges hellos and returns both halves of the connection; `side` is the role of this process.
///
/// Both directions use the key of the client's hello. Callers must apply a timeout, because an unauthenticated peer
/// may connect and send nothing.
///
/// # Errors
///
/// Fails if the connection fails or the peer's hello is invalid.
pub async fn handshake<R, W>(
    mut reader: R,
    mut writer: W,
    side: FrameSide,
    ring: &KeyRing,
    nonce: ConnectionNonce,
) -> Result<(FrameReader<R>, FrameWriter<W>), FrameError>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let (key, client, server) = match side {
        FrameSide::Client => {
            let key = ring.current();
            write_hello(&mut writer, key, &nonce).await?;
            let (_, server) = read_hello(&mut reader, ring).await?;
            (key.clone(), nonce, server)
        }
        FrameSide::Server => {
            let (key, client) = read_hello(&mut reader, ring).await?;
            write_hello(&mut writer, &key, &nonce).await?;
            (key, client, nonce)
        }
    };
    let codec = |sender| FrameCodec::new(key.clone(), client, server, sender);
    let reader = FrameReader {
        stream: reader,
        codec: codec(side.other()),
        buffer: Vec::new(),
    };
    let writer = FrameWriter {
        stream: writer,
        codec: codec(side),
    };
    Ok((reader, writer))
}

impl FrameCodec {
    /// Creates the codec of the direction in which `sender` sends; both sides of a connection use the same arguments.
    pub fn new(
        key: ControlKey,
        client: ConnectionNonce,
        server: ConnectionNonce,
        sender: FrameSide,
    ) -> Self {
        let mut nonces = [0; 2 * NONCE_BYTES];
        nonces[..NONCE_BYTES].copy_from_slice(&client);
        nonces[NONCE_BYTES..].copy_from_slice(&server);
        Self {
            key,
            nonces,
            sender,
            sequence: 0,
        }
    }
}

async fn write_hello<W: AsyncWrite + Unpin>(
    writer: &mut W,
    key: &ControlKey,
    nonce: &ConnectionNonce,
) -> Result<(), FrameError> {
    let mut hello = [0; HELLO_BYTES];
    hello[..PREFIX_BYTES].copy_from_slice(&[WIRE_VERSION, KIND_STREAM, key.number()]);
    hello[PREFIX_BYTES..].copy_from_slice(nonce);
    writer.write_all(&hello).await?;
    Ok(())
}

async fn read_hello<R: AsyncRead + Unpin>(
    reader: &mut R,
    ring: &KeyRing,
) -> Result<(ControlKey, ConnectionNonce), FrameError> {
    let mut hello = [0; HELLO_BYTES];
    reader.read_exact(&mut hello).await?;
    if hello[0] != WIRE_VERSION || hello[1] != KIND_STREAM {
        return Err(FrameError::Hello);
    }
    let key = ring.find(hello[2]).ok_or(FrameError::Hello)?.clone();
    let mut nonce = [0; NONCE_BYTES];
    nonce.copy_from_slice(&hello[PREFIX_BYTES..]);
    Ok((key, nonce))
}
