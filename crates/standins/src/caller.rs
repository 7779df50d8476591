//! Stand-in for callers: an HTTP/3 client that checks every answer.

use crate::certificate::SERVER_NAME;
use crate::payload::body_of;
use crate::upstream::EVENT_BYTES;
use anyhow::{Context, Result};
use bytes::{Buf, Bytes};
use h3::client::SendRequest;
use h3_quinn::OpenStreams;
use http::{HeaderMap, Request, StatusCode};
use quinn::crypto::rustls::QuicClientConfig;
use rustls::pki_types::CertificateDer;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// HTTP/3 error code `H3_NO_ERROR`, with which a connection is closed without an error.
const H3_NO_ERROR: u32 = 0x100;

/// A request to a stand-in upstream, with the answer that is expected.
#[derive(Clone, Debug, Default)]
pub struct CallRequest {
    /// Request id, unique within the run; it determines the expected body.
    pub id: u32,
    /// Name of the service whose upstreams may answer.
    pub service: String,
    /// Path without the query; an empty path means `/work`, or `/stream` if `events` is not 0.
    pub path: String,
    /// Time that the upstream works, or time between two events of a stream, in milliseconds.
    pub ms: u32,
    /// Size of the answer's body, in bytes; streams ignore it.
    pub bytes: u32,
    /// Number of events of the stream; 0 requests a single answer.
    pub events: u32,
    /// Whether the request is a POST with an idempotency key, which must not run twice.
    pub keyed: bool,
    /// Value of the `priority` header, if it is sent.
    pub priority: Option<String>,
    /// Deadline in the `quetzalhill-timeout-ms` header, in milliseconds after the request is sent.
    pub timeout_ms: Option<u32>,
}

/// Outcome of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The complete answer to this request, from the right service.
    Whole,
    /// An answer of another request or service, or one that ended early without an error; the text says which.
    Wrong(String),
    /// No upstream ran the request; the text is the status or the error.
    NotRun(String),
    /// It is unknown whether an upstream ran the request, or its answer was cut off; the text is the status or error.
    Unknown(String),
    /// The upstream answered with this status instead of 200.
    Failed(u16),
    /// The connection was closed before the head of the answer arrived.
    Broken(String),
}

/// A QUIC client endpoint that opens sessions to services.
#[derive(Clone, Debug)]
pub struct CallerStandin {
    endpoint: quinn::Endpoint,
}

/// One HTTP/3 connection to a service.
pub struct CallerSession {
    connection: quinn::Connection,
    send: SendRequest<OpenStreams, Bytes>,
    token: Arc<std::sync::Mutex<Option<String>>>,
    draining: Arc<std::sync::atomic::AtomicBool>,
}

impl CallerStandin {
    /// Creates a caller that trusts the root certificate `root`; has to be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificate is invalid or no socket can be opened.
    pub fn new(root: &CertificateDer<'static>) -> Result<Self> {
        let mut roots = rustls::RootCertStore::empty();
        roots.add(root.clone())?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(roots)
            .with_no_client_auth();
        tls.alpn_protocols = vec![b"h3".to_vec()];
        let mut config = quinn::ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
        let mut transport = quinn::TransportConfig::default();
        transport.max_idle_timeout(Some(Duration::from_secs(30).try_into()?));
        transport.keep_alive_interval(Some(Duration::from_secs(5)));
        transport.mtu_discovery_config(None);
        config.transport_config(Arc::new(transport));
        let mut endpoint = quinn::Endpoint::client((Ipv4Addr::LOCALHOST, 0).into())?;
        endpoint.set_default_client_config(config);
        Ok(Self { endpoint })
    }

    /// Opens a session to the service at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the handshake fails or takes longer than 10 seconds.
    pub async fn connect(&self, address: SocketAddrV4) -> Result<CallerSession> {
        let connecting = self.endpoint.connect(address.into(), SERVER_NAME)?;
        let connection = tokio::time::timeout(Duration::from_secs(10), connecting)
            .await
            .context("QUIC handshake did not finish within 10 s")??;
        let h3_connection = h3_quinn::Connection::new(connection.clone());
        let (mut driver, send) = h3::client::new(h3_connection).await?;
        let draining = Arc::new(std::sync::atomic::AtomicBool::new(false));
        let flag = Arc::clone(&draining);
        tokio::spawn(async move {
            let _ = futures_util::future::poll_fn(|cx| driver.poll_close(cx)).await;
            flag.store(true, std::sync::atomic::Ordering::Relaxed);
        });
        Ok(CallerSession {
            connection,
            send,
            token: Arc::default(),
            draining,
        })
    }
}

/// An answer as it was received; `end` is the error that cut off the body, if any.
struct ReceivedAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Vec<u8>,
    end: Option<String>,
}

impl CallerSession {
    /// Returns whether the connection has been closed, by either side or by a timeout.
    pub fn is_closed(&self) -> bool {
        self.connection.close_reason().is_some()
    }

    /// Returns whether the connection ended with an error, rather than by a close of this side or an `H3_NO_ERROR`
    /// close of the server.
    pub fn is_lost(&self) -> bool {
        match self.connection.close_reason() {
            None | Some(quinn::ConnectionError::LocallyClosed) => false,
            Some(quinn::ConnectionError::ApplicationClosed(close)) => {
                close.error_code != quinn::VarInt::from_u32(H3_NO_ERROR)
            }
            Some(_) => true,
        }
    }

    /// Returns whether the session accepts no more requests, because of a GOAWAY or a closed connection, so that the
    /// caller has to open another.
    pub fn is_draining(&self) -> bool {
        self.draining.load(std::sync::atomic::Ordering::Relaxed) || self.is_closed()
    }

    /// Closes the connection with `H3_NO_ERROR`.
    pub fn close(&self) {
        self.connection.close(H3_NO_ERROR.into(), b"done");
    }

    /// Sends a request and checks its answer.
    ///
    /// A keyed request without a valid session token is answered with status 428 and a token, and is sent once more
    /// with this token.
    pub async fn call(&self, request: &CallRequest) -> CallOutcome {
        match self.call_once(request).await {
            CallOutcome::NotRun(reason) if reason.starts_with("428") => {
                self.call_once(request).await
            }
            outcome => outcome,
        }
    }

    async fn call_once(&self, request: &CallRequest) -> CallOutcome {
        match self.exchange(request).await {
            Ok(answer) => check_answer(request, answer),
            Err(CallFault::NotRun(reason)) => CallOutcome::NotRun(reason),
            Err(CallFault::Lost(reason)) => match self.is_closed() {
                true => CallOutcome::Broken(reason),
                false => CallOutcome::Unknown(reason),
            },
        }
    }

    async fn exchange(&self, request: &CallRequest) -> Result<ReceivedAnswer, CallFault> {
        let head = self
            .request_head(request)
            .map_err(|error| CallFault::NotRun(error.to_string()))?;
        let mut send = self.send.clone();
        let send_result = send.send_request(head).await;
        let mut stream = send_result.map_err(|error| self.unsent_fault(&error))?;
        stream.finish().await.map_err(stream_fault)?;
        let head = stream.recv_response().await.map_err(stream_fault)?;
        if let Some(token) = head.headers().get("quetzalhill-session") {
            let token = token.to_str().ok().map(str::to_string);
            *self
                .token
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner) = token;
        }
        let mut answer = ReceivedAnswer {
            status: head.status(),
            headers: head.headers().clone(),
            body: Vec::new(),
            end: None,
        };
        loop {
            match stream.recv_data().await {
                Ok(Some(mut data)) => answer
                    .body
                    .extend_from_slice(&data.copy_to_bytes(data.remaining())),
                Ok(None) => break,
                Err(error) => {
                    answer.end = Some(error.to_string());
                    break;
                }
            }
        }
        Ok(answer)
    }

    /// Classifies a failure to open a request stream. On an open connection the request was not sent, and a GOAWAY is
    /// the cause, so that the session is marked as draining.
    fn unsent_fault(&self, error: &h3::error::StreamError) -> CallFault {
        if self.is_closed() {
            return CallFault::Lost(error.to_string());
        }
        self.draining
            .store(true, std::sync::atomic::Ordering::Relaxed);
        CallFault::NotRun(error.to_string())
    }

    fn request_head(&self, request: &CallRequest) -> Result<Request<()>> {
        let path = match (request.path.as_str(), request.events) {
            ("", 0) => "/work",
            ("", _) => "/stream",
            (path, _) => path,
        };
        let uri = format!(
            "https://{SERVER_NAME}{path}?id={}&ms={}&bytes={}&count={}",
            request.id, request.ms, request.bytes, request.events
        );
        let method = match request.keyed {
            true => "POST",
            false => "GET",
        };
        let mut head = Request::builder().method(method).uri(uri);
        if request.keyed {
            head = head.header("idempotency-key", format!("key-{}", request.id));
            let token = self
                .token
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner)
                .clone();
            if let Some(token) = token {
                head = head.header("quetzalhill-session", token);
            }
        }
        if let Some(priority) = &request.priority {
            head = head.header("priority", priority);
        }
        if let Some(timeout) = request.timeout_ms {
            head = head.header("quetzalhill-timeout-ms", timeout);
        }
        Ok(head.body(())?)
    }
}

/// Why the head of an answer was not received.
enum CallFault {
    NotRun(String),
    Lost(String),
}

fn stream_fault(error: h3::error::StreamError) -> CallFault {
    let text = error.to_string();
    match error {
        h3::error::StreamError::RemoteTerminate { code, .. }
            if code == h3::error::Code::H3_REQUEST_REJECTED =>
        {
            CallFault::NotRun(text)
        }
        _ => CallFault::Lost(text),
    }
}

fn check_answer(request: &CallRequest, answer: ReceivedAnswer) -> CallOutcome {
    let header = |name: &str| {
        answer
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    match header("quetzalhill-outcome") {
        Some("not-run") => return CallOutcome::NotRun(answer.status.to_string()),
        Some("unknown") => {
            let reason = String::from_utf8_lossy(&answer.body);
            return CallOutcome::Unknown(format!("{}: {reason}", answer.status));
        }
        _ => {}
    }
    if answer.status != StatusCode::OK {
        return CallOutcome::Failed(answer.status.as_u16());
    }
    let service = header("upstream-service");
    if service != Some(request.service.as_str()) {
        return CallOutcome::Wrong(format!("answered by {service:?}"));
    }
    if let Some(end) = answer.end {
        return CallOutcome::Unknown(end);
    }
    let expected = match request.events {
        0 => body_of(request.id.into(), request.bytes as usize),
        // CAST: Event counts of tests fit every supported target.
        events => body_of(request.id.into(), EVENT_BYTES).repeat(events as usize),
    };
    if answer.body != expected {
        let (got, want) = (answer.body.len(), expected.len());
        return CallOutcome::Wrong(format!("body of {got} bytes, expected {want}"));
    }
    CallOutcome::Whole
}

/// Returns the point in time `ms` milliseconds from now.
pub fn deadline_in(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}
