//! Requests to the upstream over HTTP/1.1.

use super::body::{read_chunk, BodyReader, BodyStart};
use super::headers;
use futures_util::{stream, Stream};
use http::request::Parts;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::body::{Body, BoxedBodyStream, SizedStream};
use ntex::http::StatusCode;
use ntex::time::Seconds;
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Instant;

/// Idle connections to the upstream are closed after this long.
const IDLE_TIMEOUT: Seconds = Seconds(5);

/// Most connections to the upstream at the same time.
///
/// Must not be 0, which means no limit: with 0 the client never wakes a request that waited while another
/// connection was being made, and 2 % of requests ran into their deadline.
const CONNECTIONS_MAX: usize = 10_000;

/// Why the upstream gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UpstreamError {
    /// Nothing was sent.
    NotSent,
    /// The request may have run.
    Lost,
    /// The deadline passed; the request may have run.
    Deadline,
    /// The caller's request body ended early.
    RequestBody,
}

/// What the health endpoint of the upstream says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthReply {
    /// It serves; also the answer of an upstream without a health endpoint.
    Serving,
    /// It takes no new work.
    Unavailable,
    /// It does not answer, or not with success.
    Failed,
}

/// Calls the upstream of this agent.
pub(crate) struct UpstreamClient {
    address: SocketAddrV4,
    pooled: Client,
    unpooled: Client,
}

impl UpstreamClient {
    /// Prepares calls to the upstream at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the client can't be built.
    pub(crate) async fn new(address: SocketAddrV4) -> anyhow::Result<Self> {
        Ok(Self {
            address,
            pooled: build(
                Connector::new()
                    .limit(CONNECTIONS_MAX)
                    .keep_alive(IDLE_TIMEOUT),
            )
            .await?,
            unpooled: build(Connector::new().limit(CONNECTIONS_MAX)).await?,
        })
    }

    /// Asks the upstream for its health.
    pub(crate) async fn health(&self, path: &str) -> HealthReply {
        let url = format!("http://{}{path}", self.address);
        let request = self.unpooled.get(url).force_close();
        match request.send().await {
            Err(_) => HealthReply::Failed,
            Ok(reply) if reply.status() == StatusCode::SERVICE_UNAVAILABLE => {
                HealthReply::Unavailable
            }
            Ok(reply) if reply.status().is_server_error() => HealthReply::Failed,
            Ok(_) => HealthReply::Serving,
        }
    }

    /// Sends a request and returns the head of the answer, of which the body can be read.
    ///
    /// A request that is not safe gets a connection of its own: a reused one may be closed by the upstream at the
    /// moment of sending, which would make the outcome unknown.
    ///
    /// # Errors
    ///
    /// Says whether the request may have run.
    pub(crate) async fn send(
        &self,
        head: &Parts,
        start: BodyStart,
        reader: BodyReader,
        deadline: Instant,
    ) -> Result<ClientResponse, UpstreamError> {
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let url = format!("http://{}{path}", self.address);
        let safe = head.method.is_safe();
        let client = match safe {
            true => &self.pooled,
            false => &self.unpooled,
        };
        let method = ntex::http::Method::from_bytes(head.method.as_str().as_bytes())
            .map_err(|_| UpstreamError::NotSent)?;
        let mut request = client.request(method, url).no_decompress();
        headers::to_upstream(head, deadline, request.headers_mut());
        if !safe {
            request = request.force_close();
        }
        let body_failed = Rc::new(Cell::new(false));
        let body = request_body(head, start, reader, body_failed.clone());
        let answer = tokio::time::timeout_at(deadline.into(), request.send_body(body)).await;
        match answer {
            Err(_) => Err(UpstreamError::Deadline),
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) if body_failed.get() => Err(UpstreamError::RequestBody),
            Ok(Err(error)) => Err(classify(&error)),
        }
    }
}

async fn build(connector: Connector) -> anyhow::Result<Client> {
    Client::builder()
        .connector::<()>(connector.lifetime(Seconds(3_600)))
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .build(ntex::SharedCfg::default())
        .await
        .map_err(|error| anyhow::anyhow!("upstream client: {error}"))
}

/// Only errors from before the first byte was sent count as not sent.
fn classify(error: &ClientError) -> UpstreamError {
    match error {
        // Without an I/O error the connection was made and closed before an answer.
        ClientError::Connect(ConnectError::Disconnected(None)) => UpstreamError::Lost,
        ClientError::Connect(_) | ClientError::Url(_) => UpstreamError::NotSent,
        _ => UpstreamError::Lost,
    }
}

fn request_body(
    head: &Parts,
    start: BodyStart,
    reader: BodyReader,
    body_failed: Rc<Cell<bool>>,
) -> Body {
    if let BodyStart::End = start {
        return Body::Empty;
    }
    let length = headers::content_length(&head.headers);
    let chunks = Box::pin(body_chunks(BodyRelay {
        start,
        reader,
        remaining: length,
        body_failed,
    }));
    match length {
        Some(0) => Body::Empty,
        Some(length) => Body::from_message(SizedStream::new(length, chunks)),
        None => Body::from_message(BoxedBodyStream::new(chunks)),
    }
}

type BodyError = Rc<dyn std::error::Error>;

/// A request body on its way to the upstream.
struct BodyRelay {
    start: BodyStart,
    reader: BodyReader,
    remaining: Option<u64>,
    body_failed: Rc<Cell<bool>>,
}

impl BodyRelay {
    /// Returns the next bytes; a body of another length than announced is an error.
    async fn next(&mut self) -> Option<Result<ntex::util::Bytes, BodyError>> {
        let start = std::mem::replace(&mut self.start, BodyStart::Unread);
        let chunk = match start {
            BodyStart::Chunk(chunk) => Some(chunk),
            BodyStart::End => None,
            BodyStart::Unread => match read_chunk(&mut self.reader).await {
                Ok(chunk) => chunk,
                Err(error) => return Some(Err(self.record_failure(error))),
            },
        };
        let Some(chunk) = chunk else {
            return match self.remaining {
                None | Some(0) => None,
                Some(_) => Some(Err(
                    self.record_failure(std::io::ErrorKind::UnexpectedEof.into())
                )),
            };
        };
        // CAST: Lengths of slices fit 64 bits on every supported target.
        let size = chunk.len() as u64;
        if let Some(remaining) = self.remaining {
            let Some(rest) = remaining.checked_sub(size) else {
                return Some(Err(
                    self.record_failure(std::io::ErrorKind::InvalidData.into())
                ));
            };
            self.remaining = Some(rest);
        }
        Some(Ok(ntex::util::Bytes::copy_from_slice(&chunk)))
    }

    fn record_failure(&self, error: std::io::Error) -> BodyError {
        self.body_failed.set(true);
        Rc::new(error)
    }
}

/// Reads the caller's body chunk by chunk, as fast as the upstream takes it.
fn body_chunks(relay: BodyRelay) -> impl Stream<Item = Result<ntex::util::Bytes, BodyError>> {
    stream::unfold(relay, |mut relay| async {
        let item = relay.next().await?;
        Some((item, relay))
    })
}
