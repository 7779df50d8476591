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
use std::time::{Duration, Instant};

/// Idle time after which a connection to the upstream is closed.
const IDLE_TIMEOUT: Seconds = Seconds(5);

/// Most connections to the upstream at the same time.
///
/// Must not be 0 (no limit): without a limit the client never wakes a request that waits while another connection is
/// being established, and 2 % of the requests exceeded their deadline.
const CONNECTIONS_MAX: usize = 10_000;

/// Longest wait for the first part of a body before the head is sent. A caller may want the head of the response before
/// it sends its body.
const BODY_WAIT: Duration = Duration::from_millis(20);

/// Reason why a request got no response from the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum UpstreamError {
    /// Nothing was sent, because no connection could be established or the method or URL is invalid.
    NotSent,
    /// The connection failed; the request may have run.
    Lost,
    /// The deadline passed; the request may have run.
    Deadline,
    /// The caller's request body could not be read or does not have the announced length.
    RequestBody,
}

/// Result of a call to the health endpoint of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthReply {
    /// A status below 500, which includes the 404 of an upstream without a health endpoint.
    Serving,
    /// Status 503: the upstream accepts no new requests.
    Unavailable,
    /// Another server error, or no response.
    Failed,
}

/// HTTP/1.1 client of the upstream, which reuses connections only for safe requests.
pub(crate) struct UpstreamClient {
    address: SocketAddrV4,
    pooled: Client,
    unpooled: Client,
}

impl UpstreamClient {
    /// Creates a client of the upstream at `address`, without connecting yet.
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

    /// Calls the health endpoint at `path` over a new connection.
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

    /// Sends a request and returns the head of the response; its body is read from the returned value.
    ///
    /// A request with an unsafe method uses a new connection: the upstream may close a reused connection just as the
    /// request is sent, which would make the outcome unknown.
    ///
    /// # Errors
    ///
    /// Returns an error that shows whether the request may have run.
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
        let mut reader = reader;
        let start = read_start(start, &mut reader)
            .await
            .map_err(|_| UpstreamError::RequestBody)?;
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

/// Reads the first part of a body if it arrives soon.
///
/// The end of an empty body may arrive just after the head. If the body were sent as a stream, its end would follow the
/// head in a separate write, and an upstream that answers and closes the connection in between makes the client lose the
/// answer.
async fn read_start(start: BodyStart, reader: &mut BodyReader) -> std::io::Result<BodyStart> {
    let BodyStart::Unread = start else {
        return Ok(start);
    };
    match tokio::time::timeout(BODY_WAIT, read_chunk(reader)).await {
        Ok(Ok(Some(chunk))) => Ok(BodyStart::Chunk(chunk)),
        Ok(Ok(None)) => Ok(BodyStart::End),
        Ok(Err(error)) => Err(error),
        Err(_) => Ok(BodyStart::Unread),
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
        .map_err(|error| anyhow::anyhow!("cannot build the upstream client: {error}"))
}

/// Maps a client error; only errors that occur before the first byte is sent become [`UpstreamError::NotSent`].
fn classify(error: &ClientError) -> UpstreamError {
    match error {
        // Without an I/O error the connection was established and closed before a response arrived.
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

/// State of the stream that sends a request body to the upstream.
struct BodyRelay {
    start: BodyStart,
    reader: BodyReader,
    remaining: Option<u64>,
    body_failed: Rc<Cell<bool>>,
}

impl BodyRelay {
    /// Returns the next chunk, or an error if the body is shorter or longer than its `content-length`.
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

/// Streams the caller's body; each chunk is read only when the upstream can accept it.
fn body_chunks(relay: BodyRelay) -> impl Stream<Item = Result<ntex::util::Bytes, BodyError>> {
    stream::unfold(relay, |mut relay| async {
        let item = relay.next().await?;
        Some((item, relay))
    })
}
