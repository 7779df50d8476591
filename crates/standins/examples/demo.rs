//! Runs a whole deployment on loopback for less than 30 s. While callers send requests, it replaces every entry once,
//! changes the catalogue and drains one upstream, and it counts the outcomes of the requests.
//!
//! Exits with status 1 if an answer was wrong, a keyed request ran twice or a flow was broken.

use anyhow::{Context, Result};
use quetzalhill_core::dispatch::DispatchPolicy;
use quetzalhill_standins::caller::{CallOutcome, CallRequest, CallerStandin};
use quetzalhill_standins::delay::DelayLine;
use quetzalhill_standins::deployment::DeploymentPlan;
use quetzalhill_standins::testbed::Testbed;
use quetzalhill_standins::workload::{
    next_id, run_load_into, LoadCounters, LoadPlan, SessionPool, WorkShape,
};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

const PLAN: &str = r#"
name = "demo"
zones = ["a", "b"]
entries = 3
caller_delay_us = 300

[service.batch]
owner = "bakery"
class = "standard"
endpoints = 2
slots = 4

[service.feed]
owner = "bakery"
class = "urgent"
endpoints = 2
slots = 4
path_classes = [{ prefix = "/edit", class = "standard" }]
"#;

/// How long callers send requests.
const LOAD_DURATION: Duration = Duration::from_secs(14);

/// Time between two events of a stream, in milliseconds.
const EVENT_MS: u32 = 100;

/// Events of a stream; at one every `EVENT_MS`, a stream lasts 13 s and so is open during every change.
const EVENTS: u32 = 130;

/// Sessions to each service, each of which carries one stream.
const SESSIONS: usize = 20;

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<bool> {
    let plan: DeploymentPlan = toml::from_str(PLAN)?;
    let start = Instant::now();
    let progress = |text: &str| println!("{:5.1} s  {text}", start.elapsed().as_secs_f64());
    progress("starting the store, 3 entries, 4 agents and 4 upstreams");
    let mut testbed = Testbed::start(plan, DispatchPolicy::Pooled, 1)?;
    testbed.wait_all_ready()?;
    progress("all services are ready");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let delay_line = DelayLine::start();
    let load = runtime.block_on(DemoLoad::start(&testbed, &delay_line))?;
    progress("callers have opened 40 sessions with one stream each and send requests");
    let sleep_until = |seconds: f64| {
        let due = start + Duration::from_secs_f64(seconds);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    for index in 0..3 {
        sleep_until(4.0 + 1.5 * index as f64);
        testbed.replace_entry(index)?;
        progress(&format!("entry {index} has been replaced"));
    }
    sleep_until(9.0);
    testbed.edit_catalogue(|snapshot| {
        if let Some(entry) = snapshot.services.get_mut("batch") {
            entry.limits.queue += 1;
        }
    })?;
    progress("a limit of the batch service has been changed in the catalogue");
    sleep_until(10.5);
    testbed.drain_endpoint(0)?;
    progress("the first upstream drains");
    let totals = runtime.block_on(load.finish())?;
    progress("all requests have ended");
    let duplicates = testbed.duplicate_runs();
    println!("{}", totals.result_line(duplicates));
    for note in &totals.failure_notes {
        println!("note: {note}");
    }
    Ok(totals.is_clean(duplicates))
}

/// Sessions, loads and streams of the callers.
struct DemoLoad {
    pools: Vec<Arc<SessionPool>>,
    counters: Vec<Arc<LoadCounters>>,
    loads: Vec<JoinHandle<()>>,
    streams: Vec<JoinHandle<(CallOutcome, Duration)>>,
}

/// Sums over all loads and streams.
#[derive(Default)]
struct DemoTotals {
    requests: u64,
    ok: u64,
    not_run: u64,
    unknown: u64,
    wrong: u64,
    flows: u64,
    broken: u64,
    failure_notes: Vec<String>,
}

impl DemoLoad {
    async fn start(testbed: &Testbed, delay_line: &DelayLine) -> Result<Self> {
        let mut load = DemoLoad {
            pools: Vec::new(),
            counters: Vec::new(),
            loads: Vec::new(),
            streams: Vec::new(),
        };
        let caller = CallerStandin::new(&testbed.certificate.root)?;
        for (seed, (service, keyed)) in [("feed", true), ("batch", false)].into_iter().enumerate() {
            let address = testbed
                .service_address(service)
                .context("the service has no address in the testbed")?;
            let pool = SessionPool::open(&caller, address, SESSIONS).await?;
            for session in pool.sessions() {
                let request = CallRequest {
                    id: next_id(),
                    service: service.into(),
                    ms: EVENT_MS,
                    events: EVENTS,
                    timeout_ms: Some(5_000),
                    ..CallRequest::default()
                };
                let sent = Instant::now();
                load.streams.push(tokio::spawn(async move {
                    let outcome = session.call(&request).await;
                    (outcome, sent.elapsed())
                }));
            }
            let plan = LoadPlan {
                service: service.into(),
                address,
                path: String::new(),
                rate: 60.0,
                duration: LOAD_DURATION,
                work: WorkShape::Exponential(20.0),
                bytes: 2_000,
                keyed,
                priority: None,
                timeout_ms: Some(5_000),
                seed: seed as u64,
            };
            let counters = Arc::new(LoadCounters::default());
            let load_task = run_load_into(
                plan,
                Arc::clone(&pool),
                delay_line.handle(),
                Arc::clone(&counters),
            );
            load.loads.push(tokio::spawn(load_task));
            load.counters.push(counters);
            load.pools.push(pool);
        }
        Ok(load)
    }

    async fn finish(self) -> Result<DemoTotals> {
        let mut totals = DemoTotals::default();
        for load in self.loads {
            load.await?;
        }
        for stream in self.streams {
            totals.requests += 1;
            let (outcome, after) = stream.await?;
            totals.count_stream(outcome, after);
        }
        for counters in &self.counters {
            let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
            totals.requests += read(&counters.requests);
            totals.ok += read(&counters.whole);
            totals.not_run += read(&counters.not_run);
            totals.unknown += read(&counters.unknown) + read(&counters.failed);
            totals.wrong += read(&counters.wrong);
            totals.broken += read(&counters.broken);
            totals.failure_notes.extend(
                counters
                    .failure_notes
                    .lock()
                    .map(|notes| notes.clone())
                    .unwrap_or_default(),
            );
        }
        for pool in &self.pools {
            totals.flows += pool.opened.load(Ordering::Relaxed);
            totals.broken += pool.count_broken();
        }
        Ok(totals)
    }
}

impl DemoTotals {
    fn count_stream(&mut self, outcome: CallOutcome, after: Duration) {
        match outcome {
            CallOutcome::Whole => self.ok += 1,
            CallOutcome::NotRun(_) => self.not_run += 1,
            CallOutcome::Wrong(_) => self.wrong += 1,
            // A stream that was started and not completed counts as a broken flow.
            _ => self.broken += 1,
        }
        if outcome != CallOutcome::Whole {
            let after = after.as_secs_f64();
            self.failure_notes
                .push(format!("stream: {outcome:?} after {after:.2} s"));
        }
    }

    fn result_line(&self, duplicates: u64) -> String {
        format!(
            "RESULT requests={} ok={} not_run={} unknown={} wrong={} duplicates={duplicates} flows={} broken={}",
            self.requests, self.ok, self.not_run, self.unknown, self.wrong, self.flows, self.broken
        )
    }

    fn is_clean(&self, duplicates: u64) -> bool {
        self.wrong == 0 && duplicates == 0 && self.broken == 0
    }
}
