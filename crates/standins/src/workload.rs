//! Load on a service: sessions, an open-loop arrival process and counts of how requests ended.

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

/// Sessions on which one request is tried.
const ATTEMPTS_MAX: u32 = 3;

/// Longest latency that histograms tell apart, in microseconds.
const LATENCY_MAX_US: u64 = 600_000_000;

/// How long the upstream works on a request.
#[derive(Clone, Copy, Debug)]
pub enum WorkShape {
    /// Always the same time, in milliseconds.
    Fixed(u32),
    /// Exponentially distributed, with this mean in milliseconds.
    Exponential(f64),
    /// Exponential with a share of requests that take a multiple of the mean.
    Bimodal {
        /// Mean of the short requests, in milliseconds.
        mean_ms: f64,
        /// Share of long requests, from 0 to 1.
        long_share: f64,
        /// How many times the mean a long request takes.
        factor: f64,
    },
}

/// Work of one request.
#[derive(Clone, Copy, Debug)]
pub struct WorkSample {
    /// Milliseconds of work.
    pub ms: u32,
    /// Whether the request is one of the long ones.
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
        // CAST: Work is far below the range of 32 bits; the cast saturates.
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

/// One stream of requests to one service.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Service that has to answer.
    pub service: String,
    /// Address of the service at the fabric.
    pub address: SocketAddrV4,
    /// Path of the requests; empty means `/work`.
    pub path: String,
    /// Requests a second.
    pub rate: f64,
    /// How long requests are sent.
    pub length: Duration,
    /// Work of each request.
    pub work: WorkShape,
    /// Bytes of each answer.
    pub bytes: u32,
    /// Whether requests carry idempotency keys.
    pub keyed: bool,
    /// Value of the `priority` header.
    pub priority: Option<String>,
    /// Deadline of each request, in milliseconds.
    pub timeout_ms: Option<u32>,
    /// Decides arrivals and work.
    pub seed: u64,
}

/// How the requests of a load ended.
#[derive(Debug)]
pub struct LoadCounters {
    /// Requests sent.
    pub requests: AtomicU64,
    /// Whole answers.
    pub whole: AtomicU64,
    /// Whole answers within the request's deadline.
    pub in_time: AtomicU64,
    /// Requests that were not run.
    pub not_run: AtomicU64,
    /// Requests of which nobody can say whether they ran.
    pub unknown: AtomicU64,
    /// Answers that belong to another request or service.
    pub wrong: AtomicU64,
    /// Errors of the service.
    pub failed: AtomicU64,
    /// Requests lost with their connection.
    pub broken: AtomicU64,
    /// Milliseconds of work in whole answers.
    pub work_ms: AtomicU64,
    /// Latency of whole answers to requests that are not long, in microseconds.
    pub latency: Mutex<Histogram<u64>>,
    /// Identities of the requests that were not run.
    pub not_run_ids: Mutex<Vec<u32>>,
    /// Last outcomes that were neither whole nor refused, for reports.
    pub notes: Mutex<Vec<String>>,
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
            notes: Mutex::new(Vec::new()),
        }
    }
}

impl LoadCounters {
    /// Returns a copy of the latencies.
    pub fn latency(&self) -> Histogram<u64> {
        self.latency
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Counts how a request ended.
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
                let after = latency.as_secs_f64();
                self.note(format!("{other:?} after {after:.2} s"));
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

    fn note(&self, note: String) {
        let mut notes = self.notes.lock().unwrap_or_else(PoisonError::into_inner);
        if notes.len() < 20 {
            notes.push(note);
        }
    }
}

/// Sessions to one service, replaced when they take no more requests.
pub struct SessionPool {
    caller: CallerStandin,
    address: SocketAddrV4,
    sessions: Mutex<Vec<Arc<CallerSession>>>,
    /// Sessions opened so far.
    pub opened: AtomicU64,
    /// Sessions that were told to move and were replaced.
    pub moved: AtomicU64,
    /// Sessions that were lost.
    pub broken: AtomicU64,
}

impl SessionPool {
    /// Opens `count` sessions, at most 32 at a time.
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
        let mut left = count;
        while left > 0 {
            let batch = left.min(32);
            let opening = (0..batch).map(|_| pool.caller.connect(address));
            for session in futures_util::future::join_all(opening).await {
                pool.lock().push(Arc::new(session?));
                pool.opened.fetch_add(1, Ordering::Relaxed);
            }
            left -= batch;
        }
        Ok(pool)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<CallerSession>>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the sessions that are open now.
    pub fn sessions(&self) -> Vec<Arc<CallerSession>> {
        self.lock().clone()
    }

    /// Returns a session chosen by `pick`; one that takes no more requests is replaced first.
    ///
    /// # Errors
    ///
    /// Returns an error if a replacement cannot be opened.
    pub async fn pick(&self, pick: u64) -> Result<Arc<CallerSession>> {
        let (index, session) = {
            let sessions = self.lock();
            if sessions.is_empty() {
                bail!("no session to {}", self.address);
            }
            // CAST: The remainder is an index of the vector.
            let index = (pick % sessions.len() as u64) as usize;
            (index, Arc::clone(&sessions[index]))
        };
        if !session.is_draining() {
            return Ok(session);
        }
        let fresh = Arc::new(self.caller.connect(self.address).await?);
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
        sessions[index] = Arc::clone(&fresh);
        Ok(fresh)
    }

    /// Returns how many sessions have been lost, with those that are lost now.
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

/// Gives requests of one run their identities.
static NEXT_ID: AtomicU32 = AtomicU32::new(1);

/// Returns an identity that no other request of this process has.
pub fn next_id() -> u32 {
    NEXT_ID.fetch_add(1, Ordering::Relaxed)
}

/// Sends requests at the times of a Poisson process, whether or not earlier ones were answered, and waits for all
/// answers.
pub async fn run_load(
    plan: LoadPlan,
    pool: Arc<SessionPool>,
    line: DelayHandle,
) -> Arc<LoadCounters> {
    let counters = Arc::new(LoadCounters::default());
    run_load_into(plan, pool, line, Arc::clone(&counters)).await;
    counters
}

/// As [`run_load`], with counters that can be read meanwhile.
pub async fn run_load_into(
    plan: LoadPlan,
    pool: Arc<SessionPool>,
    line: DelayHandle,
    counters: Arc<LoadCounters>,
) {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    let (done, mut all_done) = tokio::sync::mpsc::unbounded_channel::<()>();
    let runtime = Handle::current();
    loop {
        at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / plan.rate);
        if at >= plan.length {
            break;
        }
        let work = plan.work.sample(&mut rng);
        let call = OneCall {
            due: start + at,
            work,
            pick: rng.random(),
            request: request_of(&plan, work),
            pool: Arc::clone(&pool),
            counters: Arc::clone(&counters),
            _done: done.clone(),
        };
        // Only a second of arrivals waits in the line, so that memory does not grow with the length of the run.
        let lead = call.due.saturating_duration_since(Instant::now());
        if lead > Duration::from_secs(1) {
            tokio::time::sleep(lead - Duration::from_millis(500)).await;
        }
        let runtime = runtime.clone();
        line.run_at(call.due, move || {
            runtime.spawn(call.run());
        });
    }
    drop(done);
    // Ends when the last call has dropped its sender.
    let _ = all_done.recv().await;
}

fn request_of(plan: &LoadPlan, work: WorkSample) -> CallRequest {
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

/// One request of a load.
struct OneCall {
    due: Instant,
    work: WorkSample,
    pick: u64,
    request: CallRequest,
    pool: Arc<SessionPool>,
    counters: Arc<LoadCounters>,
    _done: tokio::sync::mpsc::UnboundedSender<()>,
}

impl OneCall {
    async fn run(self) {
        self.counters.requests.fetch_add(1, Ordering::Relaxed);
        let outcome = self.attempt().await;
        self.counters
            .count(&self.request, &outcome, self.work, self.due.elapsed());
    }

    /// A request that was not run because its session moves is sent again on the session's successor.
    async fn attempt(&self) -> CallOutcome {
        let mut last = CallOutcome::NotRun("no session".into());
        for _ in 0..ATTEMPTS_MAX {
            let session = match self.pool.pick(self.pick).await {
                Ok(session) => session,
                Err(error) => return CallOutcome::NotRun(format!("{error:#}")),
            };
            last = session.call(&self.request).await;
            let moved = matches!(last, CallOutcome::NotRun(_)) && session.is_draining();
            if !moved {
                break;
            }
        }
        last
    }
}
