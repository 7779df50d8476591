//! Traffic of callers in the background, by name: loads, streams and idle sessions.

use super::steps::{LoadStep, SessionsStep, StreamsStep};
use super::testbed::ScenarioTestbed;
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

/// Deadline for the head of a stream's response.
const STREAM_TIMEOUT_MS: u32 = 5_000;

/// Bad outcomes of each load that a failure report shows.
const NOTES_MAX: usize = 4;

/// Longest time to open all sessions of one step.
const OPEN_TIMEOUT: Duration = Duration::from_secs(20);

/// The sessions of one step, and the task that sends requests over them.
pub struct RunningLoad {
    /// Open sessions, with counts of lost and moved ones.
    pub pool: Arc<SessionPool>,
    /// Outcomes of the requests; `None` for idle sessions.
    pub counters: Option<Arc<LoadCounters>>,
    task: Option<JoinHandle<()>>,
}

/// All loads, streams and sessions of a scenario, and the runtime that they run on.
pub struct ScenarioLoads {
    runtime: Runtime,
    line: DelayLine,
    running: BTreeMap<String, RunningLoad>,
    seed: u64,
}

impl ScenarioLoads {
    /// Starts the threads of the callers. Each load gets a seed of its own, counted up from `seed`.
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

    /// Returns the runtime of the callers, on which the testbed runs its own caller too.
    pub fn handle(&self) -> tokio::runtime::Handle {
        self.runtime.handle().clone()
    }

    /// Returns the load, streams or sessions that a step started under this name.
    pub fn get(&self, name: &str) -> Option<&RunningLoad> {
        self.running.get(name)
    }

    /// Returns all loads, streams and sessions, ended ones included, in the order of their names.
    pub fn all(&self) -> impl Iterator<Item = &RunningLoad> {
        self.running.values()
    }

    /// Returns the first 4 outcomes of each load other than a complete answer.
    pub fn failure_notes(&self) -> Vec<String> {
        let mut notes = Vec::new();
        for (name, load) in &self.running {
            let list = load
                .counters
                .iter()
                .filter_map(|c| c.failure_notes.lock().ok());
            let list = list.flat_map(|list| list.clone());
            notes.extend(list.take(NOTES_MAX).map(|note| format!("{name}: {note}")));
        }
        notes
    }

    fn open_pool(
        &self,
        testbed: &ScenarioTestbed,
        address: SocketAddrV4,
        count: usize,
    ) -> Result<Arc<SessionPool>> {
        let caller = testbed.caller.clone();
        let open = async move {
            let opening = SessionPool::open(&caller, address, count);
            tokio::time::timeout(OPEN_TIMEOUT, opening).await
        };
        self.runtime.block_on(open).with_context(|| {
            format!(
                "cannot open {count} sessions within {} s",
                OPEN_TIMEOUT.as_secs()
            )
        })?
    }

    /// Opens sessions and keeps them open without requests.
    ///
    /// # Errors
    ///
    /// A session cannot be opened within 20 seconds.
    pub fn open_sessions(&mut self, testbed: &ScenarioTestbed, step: &SessionsStep) -> Result<()> {
        let address = address_of(testbed, &step.service, step.address)?;
        let load = RunningLoad {
            pool: self.open_pool(testbed, address, step.count)?,
            counters: None,
            task: None,
        };
        self.running.insert(step.name.clone(), load);
        Ok(())
    }

    /// Opens the sessions of a load and starts to send its requests in the background.
    ///
    /// # Errors
    ///
    /// A session cannot be opened within 20 seconds.
    pub fn start_load(&mut self, testbed: &ScenarioTestbed, step: &LoadStep) -> Result<()> {
        let address = address_of(testbed, &step.service, step.address)?;
        let pool = self.open_pool(testbed, address, step.sessions)?;
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

    /// Opens sessions and starts one stream of events on each in the background.
    ///
    /// # Errors
    ///
    /// A session cannot be opened within 20 seconds.
    pub fn start_streams(&mut self, testbed: &ScenarioTestbed, step: &StreamsStep) -> Result<()> {
        let address = address_of(testbed, &step.service, step.address)?;
        let pool = self.open_pool(testbed, address, step.count)?;
        let counters = Arc::new(LoadCounters::default());
        let service = step.answered_by.as_ref().unwrap_or(&step.service).clone();
        let interval = step.every.max(Duration::from_millis(1));
        let events = step.length.as_millis() / interval.as_millis() + 1;
        let request = CallRequest {
            service,
            ms: u32::try_from(interval.as_millis())?,
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

    /// Waits until the named loads and streams have ended, or all of them if `names` is empty.
    ///
    /// # Errors
    ///
    /// A load has not ended after `limit`, or its task has panicked.
    pub fn finish(&mut self, names: &[String], limit: Duration) -> Result<()> {
        let deadline = tokio::time::Instant::from_std(Instant::now() + limit);
        for (name, load) in &mut self.running {
            if !names.is_empty() && !names.contains(name) {
                continue;
            }
            let Some(task) = load.task.take() else {
                continue;
            };
            let ended = self
                .runtime
                .block_on(async { tokio::time::timeout_at(deadline, task).await });
            match ended {
                Ok(result) => result?,
                Err(_) => bail!("{name} has not ended after {} s", limit.as_secs_f64()),
            }
        }
        Ok(())
    }

    /// Closes the sessions of loads, streams or sets of sessions gracefully.
    ///
    /// # Errors
    ///
    /// No step has started anything under one of these names.
    pub fn close(&self, names: &[String]) -> Result<()> {
        for name in names {
            let load = self
                .running
                .get(name)
                .context("no load, streams or sessions have this name")?;
            load.pool
                .sessions()
                .iter()
                .for_each(|session| session.close());
        }
        Ok(())
    }
}

fn address_of(testbed: &ScenarioTestbed, service: &str, index: usize) -> Result<SocketAddrV4> {
    let address = testbed.address_of(service, index);
    address.with_context(|| format!("the service {service} has no address {index}"))
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
                // The deadline covers only the head of the response, not the whole stream.
                timeout_ms: None,
                ..request
            };
            counters.count(&request, &outcome, work, start.elapsed());
        });
    }
    futures_util::future::join_all(calls).await;
}
