//! Loads, streams and held sessions in the background, by name.

use super::bed::ScenarioBed;
use super::steps::{LoadStep, SessionsStep, StreamsStep};
use crate::caller::CallRequest;
use crate::delay::DelayLine;
use crate::workload::{next_id, run_load_into, LoadCounters, LoadPlan, SessionPool, WorkSample};
use anyhow::{bail, Context, Result};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

/// Deadline that the head of a stream's answer has.
const STREAM_TIMEOUT_MS: u32 = 5_000;

/// Notes of each load that explain a failure.
const NOTES: usize = 4;

/// Longest time to open the sessions of one step.
const OPEN_LIMIT: Duration = Duration::from_secs(20);

/// Sessions with what is sent over them.
pub struct RunningLoad {
    /// The sessions.
    pub pool: Arc<SessionPool>,
    /// How requests ended; absent for held sessions.
    pub counters: Option<Arc<LoadCounters>>,
    task: Option<JoinHandle<()>>,
}

/// Everything that callers do.
pub struct ScenarioLoads {
    runtime: Runtime,
    line: DelayLine,
    running: BTreeMap<String, RunningLoad>,
    seed: u64,
}

impl ScenarioLoads {
    /// Starts the threads of the callers.
    ///
    /// # Errors
    ///
    /// A thread cannot be started.
    pub fn new(seed: u64) -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        Ok(Self {
            runtime,
            line: DelayLine::start(),
            running: BTreeMap::new(),
            seed,
        })
    }

    /// Returns the runtime of the callers.
    pub fn handle(&self) -> tokio::runtime::Handle {
        self.runtime.handle().clone()
    }

    /// Returns a load, streams or sessions by name.
    pub fn get(&self, name: &str) -> Option<&RunningLoad> {
        self.running.get(name)
    }

    /// Returns all loads, streams and sessions.
    pub fn all(&self) -> impl Iterator<Item = &RunningLoad> {
        self.running.values()
    }

    /// Returns the first outcomes of each load that were neither whole nor refused.
    pub fn notes(&self) -> Vec<String> {
        let mut notes = Vec::new();
        for (name, load) in &self.running {
            let list = load
                .counters
                .iter()
                .filter_map(|c| c.failure_notes.lock().ok());
            let list = list.flat_map(|list| list.clone());
            notes.extend(list.take(NOTES).map(|note| format!("{name}: {note}")));
        }
        notes
    }

    fn open(
        &self,
        bed: &ScenarioBed,
        address: SocketAddrV4,
        count: usize,
    ) -> Result<Arc<SessionPool>> {
        let caller = bed.caller.clone();
        let open = async move {
            let opening = SessionPool::open(&caller, address, count);
            tokio::time::timeout(OPEN_LIMIT, opening).await
        };
        self.runtime
            .block_on(open)
            .with_context(|| format!("no {count} sessions in {} s", OPEN_LIMIT.as_secs()))?
    }

    /// Opens sessions and holds them.
    ///
    /// # Errors
    ///
    /// A session cannot be opened.
    pub fn hold(&mut self, bed: &ScenarioBed, step: &SessionsStep) -> Result<()> {
        let address = address_of(bed, &step.service, step.address)?;
        let load = RunningLoad {
            pool: self.open(bed, address, step.count)?,
            counters: None,
            task: None,
        };
        self.running.insert(step.name.clone(), load);
        Ok(())
    }

    /// Starts a load.
    ///
    /// # Errors
    ///
    /// A session cannot be opened.
    pub fn start(&mut self, bed: &ScenarioBed, step: &LoadStep) -> Result<()> {
        let address = address_of(bed, &step.service, step.address)?;
        let pool = self.open(bed, address, step.sessions)?;
        self.seed += 1;
        let plan = LoadPlan {
            service: step.answered_by.as_ref().unwrap_or(&step.service).clone(),
            address,
            path: step.path.clone(),
            rate: step.rate,
            duration: step.length,
            work: step.work,
            bytes: step.bytes,
            keyed: step.keyed,
            priority: step.priority.clone(),
            timeout_ms: Some(u32::try_from(step.timeout.as_millis())?),
            seed: self.seed,
        };
        let counters = Arc::new(LoadCounters::default());
        let run = run_load_into(
            plan,
            Arc::clone(&pool),
            self.line.handle(),
            Arc::clone(&counters),
        );
        let load = RunningLoad {
            pool,
            counters: Some(counters),
            task: Some(self.runtime.spawn(run)),
        };
        self.running.insert(step.name.clone(), load);
        Ok(())
    }

    /// Starts streams.
    ///
    /// # Errors
    ///
    /// A session cannot be opened.
    pub fn stream(&mut self, bed: &ScenarioBed, step: &StreamsStep) -> Result<()> {
        let address = address_of(bed, &step.service, step.address)?;
        let pool = self.open(bed, address, step.count)?;
        let counters = Arc::new(LoadCounters::default());
        let service = step.answered_by.as_ref().unwrap_or(&step.service).clone();
        let every = step.every.max(Duration::from_millis(1));
        let events = step.length.as_millis() / every.as_millis() + 1;
        let request = CallRequest {
            service,
            ms: u32::try_from(every.as_millis())?,
            events: u32::try_from(events)?,
            timeout_ms: Some(STREAM_TIMEOUT_MS),
            ..CallRequest::default()
        };
        let run = run_streams(Arc::clone(&pool), request, Arc::clone(&counters));
        let load = RunningLoad {
            pool,
            counters: Some(counters),
            task: Some(self.runtime.spawn(run)),
        };
        self.running.insert(step.name.clone(), load);
        Ok(())
    }

    /// Waits until loads have ended; all of them without a name.
    ///
    /// # Errors
    ///
    /// Names the load that has not ended after `limit`.
    pub fn finish(&mut self, names: &[String], limit: Duration) -> Result<()> {
        let end = tokio::time::Instant::from_std(Instant::now() + limit);
        for (name, load) in &mut self.running {
            if !names.is_empty() && !names.contains(name) {
                continue;
            }
            let Some(task) = load.task.take() else {
                continue;
            };
            let ended = self
                .runtime
                .block_on(async { tokio::time::timeout_at(end, task).await });
            match ended {
                Ok(result) => result?,
                Err(_) => bail!("{name} has not ended after {} s", limit.as_secs_f64()),
            }
        }
        Ok(())
    }

    /// Closes sessions in good order.
    ///
    /// # Errors
    ///
    /// There are none with one of these names.
    pub fn close(&self, names: &[String]) -> Result<()> {
        for name in names {
            let load = self.running.get(name).context("no such sessions")?;
            load.pool
                .sessions()
                .iter()
                .for_each(|session| session.close());
        }
        Ok(())
    }
}

fn address_of(bed: &ScenarioBed, service: &str, index: usize) -> Result<SocketAddrV4> {
    let address = bed.address_of(service, index);
    address.with_context(|| format!("no address {index} of {service}"))
}

async fn run_streams(pool: Arc<SessionPool>, request: CallRequest, counters: Arc<LoadCounters>) {
    let mut calls = Vec::new();
    for session in pool.sessions() {
        let request = CallRequest {
            id: next_id(),
            ..request.clone()
        };
        let counters = Arc::clone(&counters);
        calls.push(async move {
            counters.requests.fetch_add(1, Ordering::Relaxed);
            let start = Instant::now();
            let outcome = session.call(&request).await;
            let work = WorkSample { ms: 0, long: false };
            let request = CallRequest {
                // The time limit of a stream is that of its head.
                timeout_ms: None,
                ..request
            };
            counters.count(&request, &outcome, work, start.elapsed());
        });
    }
    futures_util::future::join_all(calls).await;
}
