//! A small HTTP server for calls of other systems, such as probes and announcements.
//!
//! The server runs on the control thread. The handler interprets method, path and body.

use ntex::http::{HttpService, Request, Response, StatusCode};
use ntex::rt::{from_tcp_stream, spawn};
use ntex::time::{sleep, Millis};
use ntex::util::BytesMut;
use ntex::{ServiceFactory, SharedCfg};
use prometheus::{Encoder, Registry, TextEncoder};
use std::cell::Cell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;

/// Connections served at the same time. Further ones are closed, so that one peer cannot use up the descriptors and memory
/// of the process.
const CONNECTIONS_MAX: u32 = 256;

/// Largest request body in bytes; a larger one is answered with 413.
const BODY_MAX: usize = 64 << 10;

/// Pause after a connection could not be accepted, so that the server does not spin.
const ACCEPT_PAUSE: Millis = Millis(10);

/// An HTTP request with its whole body.
#[derive(Debug)]
pub struct ArrivedCall {
    /// HTTP method in capitals, such as `GET`.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Body of at most 64 KiB.
    pub body: Vec<u8>,
}

/// The HTTP response to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallReply {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Response body.
    pub body: Vec<u8>,
}

impl CallReply {
    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: &str) -> Self {
        Self {
            status,
            content_type: "application/json",
            body: body.into(),
        }
    }

    /// Creates a response with a plain text body, in the content type of Prometheus metrics.
    pub fn text(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            content_type: "text/plain; version=0.0.4",
            body: body.into(),
        }
    }
}

/// Answers a call of `GET /metrics` and returns `None` for any other call.
pub fn answer_metrics(registry: &Registry, call: &ArrivedCall) -> Option<CallReply> {
    if call.method != "GET" || call.path != "/metrics" {
        return None;
    }
    let mut text = Vec::new();
    let reply = match TextEncoder::new().encode(&registry.gather(), &mut text) {
        Ok(()) => CallReply::text(200, text),
        Err(error) => CallReply::text(500, error.to_string()),
    };
    Some(reply)
}

/// Callback that answers calls; runs on the control thread.
pub type CallHandler = Rc<dyn Fn(ArrivedCall) -> CallReply>;

/// Counts an open connection until it is dropped.
pub(crate) struct ConnectionGuard {
    open: Rc<Cell<u32>>,
}

impl ConnectionGuard {
    /// Counts a connection, or returns `None` if `limit` connections are open.
    pub(crate) fn new(open: &Rc<Cell<u32>>, limit: u32) -> Option<Self> {
        if open.get() >= limit {
            return None;
        }
        open.set(open.get() + 1);
        Some(Self { open: open.clone() })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

/// Serves calls until the future is dropped.
///
/// # Errors
///
/// The listener cannot be used. A connection that fails is closed and does not end the server.
pub async fn serve(listener: TcpListener, handler: CallHandler) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let service = HttpService::new(move |request| answer(request, handler.clone()))
        .pipeline(SharedCfg::default())
        .await
        .map_err(|()| io::Error::other("the call server cannot be set up"))?;
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The process may be out of descriptors, or the peer may have closed the connection already.
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Some(guard) = ConnectionGuard::new(&open, CONNECTIONS_MAX) else {
            continue;
        };
        let Ok(io) = stream
            .into_std()
            .and_then(|stream| from_tcp_stream(stream, SharedCfg::default()))
        else {
            continue;
        };
        let service = service.clone();
        spawn(async move {
            // The peer sees the failure, so it is not logged here.
            let _ = service.call(io).await;
            drop(guard);
        })
        .detach();
    }
}

async fn answer(mut request: Request, handler: CallHandler) -> Result<Response, io::Error> {
    let mut body = BytesMut::new();
    let mut payload = request.take_payload();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|error| io::Error::other(error.to_string()))?;
        if body.len() + chunk.len() > BODY_MAX {
            return Ok(Response::build(StatusCode::PAYLOAD_TOO_LARGE).finish());
        }
        body.extend_from_slice(&chunk);
    }
    let reply = handler(ArrivedCall {
        method: request.method().as_str().into(),
        path: request.path().into(),
        body: body.to_vec(),
    });
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Ok(Response::build(status)
        .content_type(reply.content_type)
        .body(reply.body))
}
