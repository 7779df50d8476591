//! Adapter between HTTP/3 and QUIC that reports the end of request streams.
//!
//! `h3_quinn` reports a cancelled response only when the next byte is written. The agent has to detect it immediately,
//! to free the slot or the place in the queue, and a drain has to wait until the caller has acknowledged the whole
//! response. Request streams are therefore adapted here; all other streams use `h3_quinn`.

use bytes::{Buf, Bytes};
use futures_util::future::{FutureExt, LocalBoxFuture, Shared};
use h3::error::Code;
use h3::quic::{self, ConnectionErrorIncoming, StreamErrorIncoming, StreamId, WriteBuf};
use quinn::{ReadError, VarInt, WriteError};
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

/// Most bytes of one read from a request stream.
const READ_BYTES: usize = 16 * 1024;

/// How the sending half of a request stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamEnd {
    /// The caller sent STOP_SENDING.
    Cancelled,
    /// The caller has acknowledged the whole response.
    Acknowledged,
    /// The connection was lost or the stream was reset.
    Lost,
}

/// Completes when the sending half of a request stream ends.
pub(crate) type StreamWatch = Shared<LocalBoxFuture<'static, StreamEnd>>;

type AcceptFuture = Pin<
    Box<
        dyn Future<Output = Result<(quinn::SendStream, quinn::RecvStream), quinn::ConnectionError>>
            + Send,
    >,
>;

/// Passes the watch of the request stream that was accepted last out of the transport, which HTTP/3 owns.
#[derive(Clone, Default)]
pub(crate) struct WatchSlot(Rc<RefCell<Option<StreamWatch>>>);

impl WatchSlot {
    /// Removes the watch of the stream that [`h3::server::Connection::accept`] returned last.
    pub(crate) fn take(&self) -> Option<StreamWatch> {
        self.0.borrow_mut().take()
    }
}

/// QUIC connection of a caller, implementing the transport traits of HTTP/3.
pub(crate) struct CallerTransport {
    inner: h3_quinn::Connection,
    connection: quinn::Connection,
    accepting: Option<AcceptFuture>,
    slot: WatchSlot,
}

impl CallerTransport {
    /// Wraps a connection; `slot` receives the watch of each accepted stream.
    pub(crate) fn new(connection: quinn::Connection, slot: WatchSlot) -> Self {
        Self {
            inner: h3_quinn::Connection::new(connection.clone()),
            connection,
            accepting: None,
            slot,
        }
    }
}

impl quic::Connection<Bytes> for CallerTransport {
    type RecvStream = h3_quinn::RecvStream;
    type OpenStreams = CallerOpener;

    fn poll_accept_recv(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::RecvStream, ConnectionErrorIncoming>> {
        quic::Connection::<Bytes>::poll_accept_recv(&mut self.inner, cx)
    }

    fn poll_accept_bidi(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::BidiStream, ConnectionErrorIncoming>> {
        let connection = &self.connection;
        let accepting = self.accepting.get_or_insert_with(|| {
            let connection = connection.clone();
            Box::pin(async move { connection.accept_bi().await })
        });
        let accepted = ready!(accepting.as_mut().poll(cx));
        self.accepting = None;
        let (send, recv) = accepted.map_err(connection_error)?;
        let watch = watch(&send);
        self.slot.0.borrow_mut().replace(watch);
        Poll::Ready(Ok(CallerStream {
            send: CallerSend {
                stream: send,
                writing: None,
            },
            recv: CallerRecv { stream: recv },
        }))
    }

    fn opener(&self) -> Self::OpenStreams {
        CallerOpener(quic::Connection::<Bytes>::opener(&self.inner))
    }
}

fn watch(stream: &quinn::SendStream) -> StreamWatch {
    let stopped = stream.stopped();
    async move {
        match stopped.await {
            Ok(Some(_)) => StreamEnd::Cancelled,
            Ok(None) => StreamEnd::Acknowledged,
            Err(_) => StreamEnd::Lost,
        }
    }
    .boxed_local()
    .shared()
}

impl quic::OpenStreams<Bytes> for CallerTransport {
    type BidiStream = CallerStream;
    type SendStream = h3_quinn::SendStream<Bytes>;

    fn poll_open_bidi(
        &mut self,
        _cx: &mut Context<'_>,
    ) -> Poll<Result<Self::BidiStream, StreamErrorIncoming>> {
        Poll::Ready(Err(no_request_streams()))
    }

    fn poll_open_send(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::SendStream, StreamErrorIncoming>> {
        quic::OpenStreams::<Bytes>::poll_open_send(&mut self.inner, cx)
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        quic::OpenStreams::<Bytes>::close(&mut self.inner, code, reason);
    }
}

/// Opens the unidirectional streams of HTTP/3; a server opens no request streams.
pub(crate) struct CallerOpener(h3_quinn::OpenStreams);

impl quic::OpenStreams<Bytes> for CallerOpener {
    type BidiStream = CallerStream;
    type SendStream = h3_quinn::SendStream<Bytes>;

    fn poll_open_bidi(
        &mut self,
        _cx: &mut Context<'_>,
    ) -> Poll<Result<Self::BidiStream, StreamErrorIncoming>> {
        Poll::Ready(Err(no_request_streams()))
    }

    fn poll_open_send(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Self::SendStream, StreamErrorIncoming>> {
        quic::OpenStreams::<Bytes>::poll_open_send(&mut self.0, cx)
    }

    fn close(&mut self, code: Code, reason: &[u8]) {
        quic::OpenStreams::<Bytes>::close(&mut self.0, code, reason);
    }
}

fn no_request_streams() -> StreamErrorIncoming {
    StreamErrorIncoming::Unknown("a server opens no request streams".into())
}

/// Both halves of a request stream.
pub(crate) struct CallerStream {
    send: CallerSend,
    recv: CallerRecv,
}

impl quic::BidiStream<Bytes> for CallerStream {
    type SendStream = CallerSend;
    type RecvStream = CallerRecv;

    fn split(self) -> (Self::SendStream, Self::RecvStream) {
        (self.send, self.recv)
    }
}

impl quic::RecvStream for CallerStream {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        self.recv.poll_data(cx)
    }

    fn stop_sending(&mut self, code: u64) {
        self.recv.stop_sending(code);
    }

    fn recv_id(&self) -> StreamId {
        self.recv.recv_id()
    }
}

impl quic::SendStream<Bytes> for CallerStream {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_ready(cx)
    }

    fn send_data<T: Into<WriteBuf<Bytes>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        self.send.send_data(data)
    }

    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        self.send.poll_finish(cx)
    }

    fn reset(&mut self, code: u64) {
        self.send.reset(code);
    }

    fn send_id(&self) -> StreamId {
        self.send.send_id()
    }
}

/// Receiving half of a request stream.
pub(crate) struct CallerRecv {
    stream: quinn::RecvStream,
}

impl quic::RecvStream for CallerRecv {
    type Buf = Bytes;

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, StreamErrorIncoming>> {
        let mut buffer = [0; READ_BYTES];
        let size = ready!(self.stream.poll_read(cx, &mut buffer)).map_err(read_error)?;
        // A read is empty only at the end of the stream.
        let data = (size > 0).then(|| Bytes::copy_from_slice(&buffer[..size]));
        Poll::Ready(Ok(data))
    }

    fn stop_sending(&mut self, code: u64) {
        // Fails only if the stream has already ended.
        let _ = self.stream.stop(error_code(code));
    }

    fn recv_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

/// Sending half of a request stream.
pub(crate) struct CallerSend {
    stream: quinn::SendStream,
    writing: Option<WriteBuf<Bytes>>,
}

impl quic::SendStream<Bytes> for CallerSend {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        let Some(data) = &mut self.writing else {
            return Poll::Ready(Ok(()));
        };
        while data.has_remaining() {
            let stream = Pin::new(&mut self.stream);
            let written = ready!(stream.poll_write(cx, data.chunk())).map_err(write_error)?;
            data.advance(written);
        }
        self.writing = None;
        Poll::Ready(Ok(()))
    }

    fn send_data<T: Into<WriteBuf<Bytes>>>(&mut self, data: T) -> Result<(), StreamErrorIncoming> {
        if self.writing.is_some() {
            return Err(StreamErrorIncoming::Unknown(
                "the stream is not ready for data".into(),
            ));
        }
        self.writing = Some(data.into());
        Ok(())
    }

    fn poll_finish(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), StreamErrorIncoming>> {
        let finished = self.stream.finish();
        Poll::Ready(finished.map_err(|error| StreamErrorIncoming::Unknown(error.into())))
    }

    fn reset(&mut self, code: u64) {
        // Fails only if the stream has already ended.
        let _ = self.stream.reset(error_code(code));
    }

    fn send_id(&self) -> StreamId {
        stream_id(self.stream.id())
    }
}

fn error_code(code: u64) -> VarInt {
    VarInt::from_u64(code).unwrap_or(VarInt::MAX)
}

/// Converts a stream ID from `quinn` to `h3`; both have 62 bits.
fn stream_id(id: quinn::StreamId) -> StreamId {
    let number = u64::from(VarInt::from(id));
    StreamId::try_from(number).expect("a QUIC stream ID has 62 bits")
}

fn connection_error(error: quinn::ConnectionError) -> ConnectionErrorIncoming {
    match error {
        quinn::ConnectionError::ApplicationClosed(close) => {
            ConnectionErrorIncoming::ApplicationClose {
                error_code: close.error_code.into(),
            }
        }
        quinn::ConnectionError::TimedOut => ConnectionErrorIncoming::Timeout,
        other => ConnectionErrorIncoming::Undefined(Arc::new(other)),
    }
}

fn read_error(error: ReadError) -> StreamErrorIncoming {
    match error {
        ReadError::Reset(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into(),
        },
        ReadError::ConnectionLost(lost) => StreamErrorIncoming::ConnectionErrorIncoming {
            connection_error: connection_error(lost),
        },
        other => StreamErrorIncoming::Unknown(other.into()),
    }
}

fn write_error(error: WriteError) -> StreamErrorIncoming {
    match error {
        WriteError::Stopped(code) => StreamErrorIncoming::StreamTerminated {
            error_code: code.into(),
        },
        WriteError::ConnectionLost(lost) => StreamErrorIncoming::ConnectionErrorIncoming {
            connection_error: connection_error(lost),
        },
        other => StreamErrorIncoming::Unknown(other.into()),
    }
}
