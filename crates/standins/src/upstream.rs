//! Stand-in for an upstream: an HTTP/1.1 server with simulated work, event streams and faults that can be switched on.
//!
//! - `/work?id=N&ms=N&bytes=N`, or a path below `/work`, waits `ms` milliseconds and answers with a body of `bytes`
//!   bytes that `id` determines.
//! - `/stream?id=N&ms=N&count=N` sends `count` events of 64 bytes, one every `ms` milliseconds, as
//!   `text/event-stream`.
//! - `/health` answers 200, or 503 while the upstream drains.

use crate::delay::{DelayHandle, DelayLine};
use crate::payload::body_of;
use anyhow::{Context, Result};
use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse};
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::sync::{mpsc, Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Size of one event of a stream, in bytes.
pub const EVENT_BYTES: usize = 64;

/// Delay of an answer in the mode `Hanging`, in milliseconds.
const HANG_MS: u32 = 3_600_000;

/// Fault mode of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum UpstreamMode {
    /// Answers every request correctly.
    #[default]
    Healthy,
    /// Answers `/health` with 200 and work immediately with 500.
    Failing,
    /// Accepts work but does not answer it; `/health` answers 200.
    Hanging,
    /// Closes the connection after half of each answer to work.
    Truncating,
    /// Needs three times the requested time for work.
    Cold,
    /// Answers `/health` with 503 and work as usual.
    Draining,
}

/// Counters of the requests that an upstream has received.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRecord {
    /// How many times each request id was started; more than 1 for a keyed request is a duplicate run.
    pub runs: HashMap<u64, u32>,
    /// Requests whose work or stream was completed.
    pub finished: u64,
    /// Requests that ended before completion: the connection closed, or the mode `Failing` answered 500.
    pub cancelled: u64,
    /// Requests in progress.
    pub running: u32,
    /// Largest number of requests that were in progress at the same time.
    pub max_running: u32,
    /// Sum of the requested work of the completed requests, in milliseconds.
    pub work_ms: u64,
    /// Time since the Unix epoch, in milliseconds, at which the last request arrived.
    pub last_arrival_ms: u64,
}

struct UpstreamState {
    service: String,
    mode: Mutex<UpstreamMode>,
    record: Mutex<UpstreamRecord>,
    delay_line: DelayHandle,
}

impl UpstreamState {
    /// Waits `ms` milliseconds on the delay line, because the runtime's timers have a resolution of only 16 ms.
    async fn wait(&self, ms: u32) {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let due = Instant::now() + Duration::from_millis(ms.into());
        self.delay_line.run_at(due, move || {
            let _ = sender.send(());
        });
        // The delay line drops the sender when the upstream stops.
        let _ = receiver.await;
    }

    fn record(&self) -> MutexGuard<'_, UpstreamRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn mode(&self) -> UpstreamMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An HTTP/1.1 server on its own thread, which stops when the value is dropped.
pub struct UpstreamStandin {
    address: SocketAddrV4,
    state: Arc<UpstreamState>,
    system: ntex::rt::System,
    thread: Option<JoinHandle<()>>,
    _delay_line: DelayLine,
}

impl UpstreamStandin {
    /// Starts an upstream of `service` on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the server cannot start.
    pub fn start(address: SocketAddrV4, service: &str) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .with_context(|| format!("cannot bind upstream address {address}"))?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            anyhow::bail!("upstream address {address} is not IPv4");
        };
        let delay_line = DelayLine::start();
        let state = Arc::new(UpstreamState {
            delay_line: delay_line.handle(),
            service: service.into(),
            mode: Mutex::default(),
            record: Mutex::default(),
        });
        let shared = Arc::clone(&state);
        let (started, start) = mpsc::channel();
        let thread = thread::spawn(move || serve(listener, shared, &started));
        let system = start
            .recv()
            .context("the upstream server failed to start")?;
        Ok(Self {
            address,
            state,
            system,
            thread: Some(thread),
            _delay_line: delay_line,
        })
    }

    /// Returns the address of the upstream.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Sets the fault mode; a request that already waits keeps the mode in which it started.
    pub fn set_mode(&self, mode: UpstreamMode) {
        *self
            .state
            .mode
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Returns a copy of the counters.
    pub fn record(&self) -> UpstreamRecord {
        self.state.record().clone()
    }
}

impl Drop for UpstreamStandin {
    fn drop(&mut self) {
        self.system.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(
    listener: TcpListener,
    state: Arc<UpstreamState>,
    started: &mpsc::Sender<ntex::rt::System>,
) {
    let runner = ntex::rt::System::new("upstream", ntex::rt::DefaultRuntime);
    let started = started.clone();
    let result = runner.run(move || {
        let server = web::server(async move || {
            App::new()
                .state(Arc::clone(&state))
                .service(web::resource(["/work", "/work/{part}*"]).to(work))
                .service(web::resource("/stream").to(stream))
                .service(web::resource("/health").to(health))
        });
        server.workers(1).disable_signals().listen(listener)?.run();
        let _ = started.send(ntex::rt::System::current());
        Ok(())
    });
    if let Err(error) = result {
        log::error!("upstream server failed: {error}");
    }
}

/// Parameters of the query string; one that is missing or no number is 0.
struct WorkQuery {
    id: u64,
    ms: u32,
    bytes: usize,
    count: u32,
}

impl WorkQuery {
    fn parse(request: &HttpRequest) -> Self {
        let mut query = Self {
            id: 0,
            ms: 0,
            bytes: 0,
            count: 0,
        };
        for pair in request.query_string().split('&') {
            let Some((name, value)) = pair.split_once('=') else {
                continue;
            };
            let Ok(value) = value.parse::<u32>() else {
                continue;
            };
            match name {
                "id" => query.id = value.into(),
                "ms" => query.ms = value,
                "bytes" => query.bytes = usize::try_from(value).unwrap_or(usize::MAX),
                "count" => query.count = value,
                _ => {}
            }
        }
        query
    }
}

/// Counts a request in progress, and on drop as finished or, if it was not completed, as cancelled.
struct RunGuard {
    state: Arc<UpstreamState>,
    ms: u32,
    finished: bool,
}

impl RunGuard {
    fn start(state: &Arc<UpstreamState>, query: &WorkQuery) -> Self {
        let mut record = state.record();
        *record.runs.entry(query.id).or_default() += 1;
        record.running += 1;
        record.max_running = record.max_running.max(record.running);
        record.last_arrival_ms = unix_ms();
        Self {
            state: Arc::clone(state),
            ms: query.ms,
            finished: false,
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut record = self.state.record();
        record.running -= 1;
        match self.finished {
            true => {
                record.finished += 1;
                record.work_ms += u64::from(self.ms);
            }
            false => record.cancelled += 1,
        }
    }
}

fn unix_ms() -> u64 {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

async fn work(request: HttpRequest, state: web::types::State<Arc<UpstreamState>>) -> HttpResponse {
    let query = WorkQuery::parse(&request);
    let mut guard = RunGuard::start(state.get_ref(), &query);
    let mode = state.mode();
    match mode {
        UpstreamMode::Failing => return HttpResponse::InternalServerError().finish(),
        UpstreamMode::Hanging => state.wait(HANG_MS).await,
        UpstreamMode::Cold => state.wait(query.ms.saturating_mul(3)).await,
        _ => state.wait(query.ms).await,
    }
    guard.finished = true;
    let body = body_of(query.id, query.bytes);
    let mut response = HttpResponse::Ok();
    response.header("upstream-service", state.service.as_str());
    if mode == UpstreamMode::Truncating {
        let half = Bytes::from(body[..body.len() / 2].to_vec());
        let error = std::io::Error::other("truncated");
        let parts = vec![Ok(half), Err(error)];
        return response.streaming(futures_util::stream::iter(parts));
    }
    response.body(body)
}

async fn stream(
    request: HttpRequest,
    state: web::types::State<Arc<UpstreamState>>,
) -> HttpResponse {
    let query = WorkQuery::parse(&request);
    let guard = RunGuard::start(state.get_ref(), &query);
    let body = body_of(query.id, EVENT_BYTES);
    let waiter = Arc::clone(state.get_ref());
    let events = futures_util::stream::unfold((0, guard), move |(sent, mut guard)| {
        let state = Arc::clone(&waiter);
        let event = Bytes::from(body.clone());
        async move {
            if sent == query.count {
                guard.finished = true;
                drop(guard);
                return None;
            }
            if sent > 0 {
                state.wait(query.ms).await;
            }
            Some((Ok::<_, std::io::Error>(event), (sent + 1, guard)))
        }
    });
    HttpResponse::Ok()
        .header("upstream-service", state.service.as_str())
        .content_type("text/event-stream")
        .streaming(Box::pin(events))
}

async fn health(state: web::types::State<Arc<UpstreamState>>) -> HttpResponse {
    match state.mode() {
        UpstreamMode::Draining => HttpResponse::ServiceUnavailable().finish(),
        _ => HttpResponse::Ok().finish(),
    }
}
