//! Load on a service: a pool of sessions, an open-loop arrival process and counters of request outcomes.

use crate::caller::{CallOutcome, CallRequest, CallerSession, CallerStandin};
use crate::delay::DelayHandle;
use anyhow::{bail, Result};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::runtime::Handle;

/// Limit for the attempts of one request, each of which uses another session.
const ATTEMPTS_MAX: u32 = 3;

/// Upper end of the latency histograms, in microseconds; longer latencies are recorded as this value.
const LATENCY_MAX_US: u64 = 600_000_000;

/// Distribution of the time that the upstream works on a request.
#[derive(Clone, Copy, Debug)]
pub enum WorkShape {
    /// The same time for every request, in milliseconds.
    Fixed(u32),
    /// An exponential distribution with this mean in milliseconds.
    Exponential(f64),
    /// Short requests with an exponential distribution, and a share of long requests of fixed duration.
    Bimodal {
        /// Mean of the short requests, in milliseconds.
        mean_ms: f64,
        /// Share of long requests, from 0 to 1.
        long_share: f64,
        /// Duration of a long request, as a multiple of `mean_ms`.
        factor: f64,
    },
}

/// Work drawn for one request.
#[derive(Clone, Copy, Debug)]
pub struct WorkSample {
    /// Time that the upstream works, in milliseconds; at least 1 if drawn by [`WorkShape::sample`].
    pub ms: u32,
    /// Whether it is a long request of [`WorkShape::Bimodal`], which the latency histogram leaves out.
    pub long: bool,
}

impl WorkShape {
    /// Draws the work of one request.
    pub fn sample(&self, rng: &mut SmallRng) -> WorkSample {
        let exponential = |rng: &mut SmallRng, mean: f64| -mean * (1.0 - rng.random::<f64>()).ln();
        let (ms, long) = match *self {
            WorkShape::Fixed(ms) => (f64::from(ms), false),
            WorkShape::Exponential(mean) => (exponential(rng, mean), false),
            WorkShape::Bimodal {
                mean_ms,
                long_share,
                factor,
            } => match rng.random_bool(long_share) {
                true => (mean_ms * factor, true),
                false => (exponential(rng, mean_ms), false),
            },
        };
        // CAST: The work fits 32 bits by far, and the cast saturates.
        let ms = (ms.round() as u32).max(1);
        WorkSample { ms, long }
    }

    /// Returns the mean work of a request, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        match *self {
            WorkShape::Fixed(ms) => f64::from(ms),
            WorkShape::Exponential(mean) => mean,
            WorkShape::Bimodal {
                mean_ms,
                long_share,
                factor,
            } => mean_ms * (1.0 - long_share + long_share * factor),
        }
    }
}

/// Parameters of the requests that a load sends to one service.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Name of the service; an answer by another service counts as wrong.
    pub service: String,
    /// Address of the service at the fabric.
    pub address: SocketAddrV4,
    /// Path of the requests; an empty path means `/work`.
    pub path: String,
    /// Mean arrival rate, in requests per second.
    pub rate: f64,
    /// How long requests are sent; answers may arrive later.
    pub duration: Duration,
    /// Distribution from which the work of each request is drawn.
    pub work: WorkShape,
    /// Size of each answer's body, in bytes.
    pub bytes: u32,
    /// Whether requests carry idempotency keys, so that no request may run twice.
    pub keyed: bool,
    /// Value of the `priority` header, if it is sent.
    pub priority: Option<String>,
    /// Deadline of each request, in milliseconds after it is sent.
    pub timeout_ms: Option<u32>,
    /// Seed of the random numbers that decide arrival times, work and sessions.
    pub seed: u64,
}

/// Counters of the outcomes of a load's requests.
#[derive(Debug)]
pub struct LoadCounters {
    /// Requests started so far, including those without an outcome yet.
    pub requests: AtomicU64,
    /// Requests with a complete and correct answer.
    pub whole: AtomicU64,
    /// Complete answers that arrived within the request's deadline; all of them if the requests have none.
    pub in_time: AtomicU64,
    /// Requests that no upstream ran.
    pub not_run: AtomicU64,
    /// Requests for which it is unknown whether an upstream ran them.
    pub unknown: AtomicU64,
    /// Answers that belong to another request or service.
    pub wrong: AtomicU64,
    /// Requests that the service answered with an error.
    pub failed: AtomicU64,
    /// Requests whose connection was closed before the answer.
    pub broken: AtomicU64,
    /// Sum of the work of completely answered requests, in milliseconds, also of those after their deadline.
    pub work_ms: AtomicU64,
    /// Latencies of complete answers, in microseconds from the planned arrival, without the long requests of
    /// [`WorkShape::Bimodal`].
    pub latency: Mutex<Histogram<u64>>,
    /// Ids of the requests counted in `not_run`, to check that no upstream ran them.
    pub not_run_ids: Mutex<Vec<u32>>,
    /// Descriptions of the first 20 outcomes other than a complete answer.
    pub failure_notes: Mutex<Vec<String>>,
}

impl Default for LoadCounters {
    fn default() -> Self {
        let latency = Histogram::new_with_max(LATENCY_MAX_US, 3).expect("the bounds are valid");
        Self {
            requests: AtomicU64::new(0),
            whole: AtomicU64::new(0),
            in_time: AtomicU64::new(0),
            not_run: AtomicU64::new(0),
            unknown: AtomicU64::new(0),
            wrong: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            broken: AtomicU64::new(0),
            work_ms: AtomicU64::new(0),
            latency: Mutex::new(latency),
            not_run_ids: Mutex::new(Vec::new()),
            failure_notes: Mutex::new(Vec::new()),
        }
    }
}

impl LoadCounters {
    /// Returns a copy of the latency histogram.
    pub fn latency(&self) -> Histogram<u64> {
        self.latency
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Counts the outcome of a request, which took `latency` from its planned start.
    pub fn count(
        &self,
        request: &CallRequest,
        outcome: &CallOutcome,
        work: WorkSample,
        latency: Duration,
    ) {
        let counter = match outcome {
            CallOutcome::Whole => &self.whole,
            CallOutcome::NotRun(_) => &self.not_run,
            CallOutcome::Unknown(_) => &self.unknown,
            CallOutcome::Wrong(_) => &self.wrong,
            CallOutcome::Failed(_) => &self.failed,
            CallOutcome::Broken(_) => &self.broken,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        match outcome {
            CallOutcome::Whole => self.count_whole(work, latency, request.timeout_ms),
            other => {
                if let CallOutcome::NotRun(_) = other {
                    self.add_not_run(request.id);
                }
                let seconds = latency.as_secs_f64();
                self.record_failure(format!("{other:?} after {seconds:.2} s"));
            }
        }
    }

    fn add_not_run(&self, id: u32) {
        let mut ids = self
            .not_run_ids
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        ids.push(id);
    }

    fn count_whole(&self, work: WorkSample, latency: Duration, timeout_ms: Option<u32>) {
        let in_time = timeout_ms.is_none_or(|ms| latency <= Duration::from_millis(ms.into()));
        if in_time {
            self.in_time.fetch_add(1, Ordering::Relaxed);
        }
        self.work_ms.fetch_add(work.ms.into(), Ordering::Relaxed);
        if work.long {
            return;
        }
        let us = u64::try_from(latency.as_micros()).unwrap_or(LATENCY_MAX_US);
        let mut histogram = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record(us.min(LATENCY_MAX_US));
    }

    fn record_failure(&self, failure: String) {
        let mut failures = self
            .failure_notes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if failures.len() < 20 {
            failures.push(failure);
        }
    }
}

/// A fixed number of sessions to one service; a session that accepts no more requests is replaced by a new one.
pub struct SessionPool {
    caller: CallerStandin,
    address: SocketAddrV4,
    sessions: Mutex<Vec<Arc<CallerSession>>>,
    /// Sessions opened so far, including replacements.
    pub opened: AtomicU64,
    /// Sessions that were replaced after the server sent GOAWAY or closed them without an error.
    pub moved: AtomicU64,
    /// Sessions that were replaced because their connection was lost.
    pub broken: AtomicU64,
}

impl SessionPool {
    /// Opens a pool of `count` sessions, at most 32 concurrently.
    ///
    /// # Errors
    ///
    /// Returns an error if a session cannot be opened.
    pub async fn open(
        caller: &CallerStandin,
        address: SocketAddrV4,
        count: usize,
    ) -> Result<Arc<Self>> {
        let pool = Arc::new(Self {
            caller: caller.clone(),
            address,
            sessions: Mutex::new(Vec::with_capacity(count)),
            opened: AtomicU64::new(0),
            moved: AtomicU64::new(0),
            broken: AtomicU64::new(0),
        });
        let mut remaining = count;
        while remaining > 0 {
            let batch = remaining.min(32);
            let opening = (0..batch).map(|_| pool.caller.connect(address));
            for session in futures_util::future::join_all(opening).await {
                pool.lock().push(Arc::new(session?));
                pool.opened.fetch_add(1, Ordering::Relaxed);
            }
            remaining -= batch;
        }
        Ok(pool)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<CallerSession>>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current sessions, which may include closed ones that have not been replaced yet.
    pub fn sessions(&self) -> Vec<Arc<CallerSession>> {
        self.lock().clone()
    }

    /// Returns the session with the index `selector` modulo the number of sessions; a session that accepts no more
    /// requests is replaced first.
    ///
    /// # Errors
    ///
    /// Returns an error if the pool is empty or a replacement cannot be opened.
    pub async fn pick(&self, selector: u64) -> Result<Arc<CallerSession>> {
        let (index, session) = {
            let sessions = self.lock();
            if sessions.is_empty() {
                bail!("no session to {}", self.address);
            }
            // CAST: The remainder is an index of the vector.
            let index = (selector % sessions.len() as u64) as usize;
            (index, Arc::clone(&sessions[index]))
        };
        if !session.is_draining() {
            return Ok(session);
        }
        let replacement = Arc::new(self.caller.connect(self.address).await?);
        let mut sessions = self.lock();
        if !Arc::ptr_eq(&sessions[index], &session) {
            return Ok(Arc::clone(&sessions[index]));
        }
        let counter = match session.is_lost() {
            true => &self.broken,
            false => &self.moved,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        self.opened.fetch_add(1, Ordering::Relaxed);
        sessions[index] = Arc::clone(&replacement);
        Ok(replacement)
    }

    /// Returns how many sessions were lost, whether or not they have been replaced.
    pub fn count_broken(&self) -> u64 {
        let lost = self
            .lock()
            .iter()
            .filter(|session| session.is_lost())
            .count();
        // CAST: Session counts of tests fit 64 bits.
        self.broken.load(Ordering::Relaxed) + lost as u64
    }
}

/// Next request id of this process.
static NEXT_ID: AtomicU32 = AtomicU32::new(1);

/// Returns a request id that is unique within this process.
pub fn next_id() -> u32 {
    NEXT_ID.fetch_add(1, Ordering::Relaxed)
}

/// Sends requests at the arrival times of a Poisson process, whether or not earlier requests were answered, and
/// returns when every request has an outcome.
pub async fn run_load(
    plan: LoadPlan,
    pool: Arc<SessionPool>,
    delay_line: DelayHandle,
) -> Arc<LoadCounters> {
    let counters = Arc::new(LoadCounters::default());
    run_load_into(plan, pool, delay_line, Arc::clone(&counters)).await;
    counters
}

/// Does the same as [`run_load`], with counters that the caller of the function can read while the load runs.
pub async fn run_load_into(
    plan: LoadPlan,
    pool: Arc<SessionPool>,
    delay_line: DelayHandle,
    counters: Arc<LoadCounters>,
) {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let start = Instant::now();
    let mut offset = Duration::ZERO;
    let (done, mut all_done) = tokio::sync::mpsc::unbounded_channel::<()>();
    let runtime = Handle::current();
    loop {
        offset += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / plan.rate);
        if offset >= plan.duration {
            break;
        }
        let work = plan.work.sample(&mut rng);
        let call = ScheduledCall {
            due: start + offset,
            work,
            selector: rng.random(),
            request: new_request(&plan, work),
            pool: Arc::clone(&pool),
            counters: Arc::clone(&counters),
            _done: done.clone(),
        };
        // At most the next second of arrivals is scheduled, so that memory does not grow with the duration of the load.
        let lead = call.due.saturating_duration_since(Instant::now());
        if lead > Duration::from_secs(1) {
            tokio::time::sleep(lead - Duration::from_millis(500)).await;
        }
        let runtime = runtime.clone();
        delay_line.run_at(call.due, move || {
            runtime.spawn(call.run());
        });
    }
    drop(done);
    // Returns when the last call has dropped its sender.
    let _ = all_done.recv().await;
}

fn new_request(plan: &LoadPlan, work: WorkSample) -> CallRequest {
    CallRequest {
        id: next_id(),
        service: plan.service.clone(),
        path: plan.path.clone(),
        ms: work.ms,
        bytes: plan.bytes,
        events: 0,
        keyed: plan.keyed,
        priority: plan.priority.clone(),
        timeout_ms: plan.timeout_ms,
    }
}

/// One request of a load, which starts at the point in time `due`.
struct ScheduledCall {
    due: Instant,
    work: WorkSample,
    selector: u64,
    request: CallRequest,
    pool: Arc<SessionPool>,
    counters: Arc<LoadCounters>,
    _done: tokio::sync::mpsc::UnboundedSender<()>,
}

impl ScheduledCall {
    async fn run(self) {
        self.counters.requests.fetch_add(1, Ordering::Relaxed);
        let outcome = self.send_with_retries().await;
        self.counters
            .count(&self.request, &outcome, self.work, self.due.elapsed());
    }

    /// Sends the request, and again on a new session if it was not run because its session accepts no more requests.
    async fn send_with_retries(&self) -> CallOutcome {
        let mut last = CallOutcome::NotRun("no session".into());
        for _ in 0..ATTEMPTS_MAX {
            let session = match self.pool.pick(self.selector).await {
                Ok(session) => session,
                Err(error) => return CallOutcome::NotRun(format!("{error:#}")),
            };
            last = session.call(&self.request).await;
            let should_retry = matches!(last, CallOutcome::NotRun(_)) && session.is_draining();
            if !should_retry {
                break;
            }
        }
        last
    }
}
