//! A small HTTP server for calls that other systems make, such as probes and announcements.
//!
//! The server runs on the control thread; the handler sees method, path and body, and knows what they mean.

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

/// Connections served at the same time; more are closed, so that one peer cannot fill the process.
const CONNECTIONS_MAX: u32 = 256;

/// Largest body that is read, in bytes.
const BODY_MAX: usize = 64 << 10;

/// Pause after a connection could not be accepted, which keeps the server from spinning.
const ACCEPT_PAUSE: Millis = Millis(10);

/// A call that arrived.
#[derive(Debug)]
pub struct ArrivedCall {
    /// Method, in capitals.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
}

/// The answer to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallReply {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

impl CallReply {
    /// Makes an answer with a JSON body.
    pub fn json(status: u16, body: &str) -> Self {
        Self {
            status,
            content_type: "application/json",
            body: body.into(),
        }
    }

    /// Makes an answer with a plain text.
    pub fn text(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            content_type: "text/plain; version=0.0.4",
            body: body.into(),
        }
    }
}

/// Answers a request for the metrics, or returns nothing if the call asks for something else.
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

/// Answers calls; runs on the control thread.
pub type CallHandler = Rc<dyn Fn(ArrivedCall) -> CallReply>;

/// Counts a connection for as long as it lives.
pub(crate) struct ConnectionGuard {
    open: Rc<Cell<u32>>,
}

impl ConnectionGuard {
    /// Counts a connection, or returns nothing if there are `limit` already.
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
/// The listener cannot be used. A connection that fails is closed and changes nothing else.
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
            // The process may be out of descriptors; a connection that has ended already concerns its peer only.
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
            // The peer sees the failure.
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
