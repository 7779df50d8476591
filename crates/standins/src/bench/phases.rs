//! Phases of the benchmark: each applies one kind of load to the same deployment and stores its figures.

use super::figures::{OverloadPoint, PolicyFigures};
use super::PolicyBench;
use crate::caller::{CallOutcome, CallRequest};
use crate::upstream::UpstreamMode;
use crate::workload::{next_id, run_load_into, LoadCounters, LoadPlan, WorkShape};
use anyhow::Result;
use hdrhistogram::Histogram;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Deadline of urgent requests during overload, in milliseconds.
const URGENT_DEADLINE_MS: u32 = 500;

/// Deadline of standard requests during overload, in milliseconds.
const STANDARD_DEADLINE_MS: u32 = 1_000;

/// Pause after a phase, in which queued requests end before the next phase starts.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Interval between the points of a plot over time, and duration of a recovery window.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Rate and kind of the requests of one load; `load` is the offered work divided by the capacity.
struct PhaseLoad {
    load: f64,
    work: WorkShape,
    standard: bool,
    timeout_ms: u32,
    duration: Duration,
    seed: u64,
}

/// A load in progress, whose counters can be read meanwhile.
struct RunningLoad {
    counters: Arc<LoadCounters>,
    task: JoinHandle<()>,
}

impl PolicyBench {
    fn start_load(&self, load: &PhaseLoad) -> RunningLoad {
        let plan = LoadPlan {
            service: self.service.clone(),
            address: self
                .testbed
                .service_address(&self.service)
                .unwrap_or(self.testbed.fabrics[0].address()),
            path: match load.standard {
                true => format!("{}/work", self.standard_path),
                false => String::new(),
            },
            rate: load.load * self.slots * 1_000.0 / load.work.mean_ms(),
            duration: load.duration,
            work: load.work,
            bytes: 500,
            keyed: false,
            priority: None,
            timeout_ms: Some(load.timeout_ms),
            seed: load.seed,
        };
        let counters = Arc::new(LoadCounters::default());
        let load_task = run_load_into(
            plan,
            Arc::clone(&self.pool),
            self.delay_line.handle(),
            Arc::clone(&counters),
        );
        RunningLoad {
            counters,
            task: self.runtime.spawn(load_task),
        }
    }

    fn finish_load(&self, load: RunningLoad) -> Arc<LoadCounters> {
        // If the load panics, its counters show requests without an outcome.
        let _ = self.runtime.block_on(load.task);
        load.counters
    }

    fn run_load(&self, load: &PhaseLoad) -> Arc<LoadCounters> {
        let running = self.start_load(load);
        let counters = self.finish_load(running);
        std::thread::sleep(SETTLE_TIME);
        counters
    }

    fn short_requests(&self, load: f64) -> PhaseLoad {
        PhaseLoad {
            load,
            work: WorkShape::Exponential(self.mean_ms),
            standard: false,
            timeout_ms: 10_000,
            duration: self.steady_time,
            seed: 7,
        }
    }
}

fn p99_ms(histogram: &Histogram<u64>) -> f64 {
    // CAST: Latencies in microseconds are far below 2^53.
    histogram.value_at_quantile(0.99) as f64 / 1_000.0
}

fn share(part: u64, whole: u64) -> f64 {
    // CAST: Counts are far below 2^53.
    part as f64 / whole.max(1) as f64
}

/// Returns the 99th percentile of the latency under a steady load, in milliseconds.
pub fn steady_p99(bench: &PolicyBench, load: f64) -> f64 {
    let counters = bench.run_load(&bench.short_requests(load));
    p99_ms(&counters.latency())
}

/// Measures the latency of short requests at 0.2 load, first alone and then with 5% long requests that bring the load
/// to 0.72.
pub fn short_behind_long(bench: &PolicyBench, figures: &mut PolicyFigures) {
    let work = WorkShape::Bimodal {
        mean_ms: bench.mean_ms,
        long_share: 0.05,
        factor: 50.0,
    };
    let short_load = 0.72 * 0.95 * bench.mean_ms / work.mean_ms();
    let alone = PhaseLoad {
        duration: bench.steady_time * 2,
        ..bench.short_requests(short_load)
    };
    let mixed = PhaseLoad {
        load: 0.72,
        work,
        ..bench.short_requests(0.72)
    };
    let mixed = PhaseLoad {
        duration: bench.steady_time * 2,
        ..mixed
    };
    figures.short_alone_ms = p99_ms(&bench.run_load(&alone).latency());
    figures.short_mixed_ms = p99_ms(&bench.run_load(&mixed).latency());
}

/// Measures how evenly 10 s of 0.7 load are distributed over the endpoints, and the latency distribution.
pub fn imbalance(bench: &PolicyBench, figures: &mut PolicyFigures) {
    let load = PhaseLoad {
        duration: Duration::from_secs(10),
        ..bench.short_requests(0.7)
    };
    let endpoint_work = |bench: &PolicyBench| -> Vec<u64> {
        let records = bench
            .testbed
            .endpoints
            .iter()
            .map(|endpoint| endpoint.upstream.record());
        records.map(|record| record.work_ms).collect()
    };
    let before = endpoint_work(bench);
    let counters = bench.run_load(&load);
    let work_done: Vec<u64> = endpoint_work(bench)
        .iter()
        .zip(before)
        .map(|(after, before)| after - before)
        .collect();
    let largest = work_done.iter().copied().max().unwrap_or(0);
    let total: u64 = work_done.iter().sum();
    // CAST: The number of endpoints is small.
    figures.imbalance = share(largest, total) * work_done.len() as f64;
    figures.endpoint_work_ms = work_done;
    figures.distribution = distribution(&counters.latency());
}

fn distribution(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    let steps = (1..=200_u32).map(|step| f64::from(step) / 200.0 * 0.9999);
    // CAST: Latencies in microseconds are far below 2^53.
    steps
        .map(|q| (histogram.value_at_quantile(q) as f64 / 1_000.0, q))
        .collect()
}

/// Measures 6 s of load at 3 times the capacity, and the time until the latency has recovered.
///
/// Urgent requests alone stay below the capacity (0.8), standard requests exceed it (2.2).
pub fn overload(bench: &PolicyBench, figures: &mut PolicyFigures) {
    let base = bench.short_requests(0.5);
    let before = p99_ms(&bench.run_load(&base).latency());
    let duration = Duration::from_secs(6);
    let exponential = WorkShape::Exponential(bench.mean_ms);
    let started = Instant::now();
    let urgent = bench.start_load(&PhaseLoad {
        load: 0.8,
        work: exponential,
        standard: false,
        timeout_ms: URGENT_DEADLINE_MS,
        duration,
        seed: 11,
    });
    let standard = bench.start_load(&PhaseLoad {
        load: 2.2,
        work: exponential,
        standard: true,
        timeout_ms: STANDARD_DEADLINE_MS,
        duration,
        seed: 12,
    });
    let (mut last_urgent, mut last_standard) = (0, 0);
    while started.elapsed() < duration {
        std::thread::sleep(SAMPLE_INTERVAL);
        let now_urgent = urgent.counters.in_time.load(Ordering::Relaxed);
        let now_standard = standard.counters.in_time.load(Ordering::Relaxed);
        figures.crest_points.push(OverloadPoint {
            at_s: started.elapsed().as_secs_f64(),
            urgent: now_urgent - last_urgent,
            standard: now_standard - last_standard,
        });
        (last_urgent, last_standard) = (now_urgent, now_standard);
    }
    figures.recovery_s = recovery(bench, before);
    let urgent = bench.finish_load(urgent);
    let standard = bench.finish_load(standard);
    let in_time = urgent.in_time.load(Ordering::Relaxed);
    figures.crest_urgent = share(in_time, urgent.requests.load(Ordering::Relaxed));
    let work = urgent.work_ms.load(Ordering::Relaxed) + standard.work_ms.load(Ordering::Relaxed);
    // CAST: The capacity in milliseconds is far below 2^53.
    figures.crest_useful = work as f64 / (bench.slots * duration.as_secs_f64() * 1_000.0);
}

/// Returns the seconds until a short window of 0.5 load has a 99th percentile at most a tenth above `before`, the
/// value before the overload, or infinity if none of 10 windows has.
fn recovery(bench: &PolicyBench, before: f64) -> f64 {
    let started = Instant::now();
    for _ in 0..10 {
        let window = PhaseLoad {
            duration: SAMPLE_INTERVAL,
            ..bench.short_requests(0.5)
        };
        let window_start = started.elapsed().as_secs_f64();
        let running = bench.start_load(&window);
        if p99_ms(&bench.finish_load(running).latency()) <= before * 1.10 {
            return window_start;
        }
    }
    f64::INFINITY
}

/// Measures the share of requests lost because one endpoint passes health checks but answers every request with 500.
/// The first 2 s do not count, so that the agents have time to eject the endpoint.
pub fn failing_endpoint(bench: &PolicyBench, figures: &mut PolicyFigures) {
    let load = PhaseLoad {
        duration: Duration::from_secs(6),
        ..bench.short_requests(0.5)
    };
    bench.testbed.endpoints[0]
        .upstream
        .set_mode(UpstreamMode::Failing);
    let running = bench.start_load(&load);
    std::thread::sleep(Duration::from_secs(2));
    let lost_and_sent = |counters: &LoadCounters| {
        let lost =
            counters.failed.load(Ordering::Relaxed) + counters.unknown.load(Ordering::Relaxed);
        (lost, counters.requests.load(Ordering::Relaxed))
    };
    let (lost_early, sent_early) = lost_and_sent(&running.counters);
    let counters = bench.finish_load(running);
    let (lost, sent) = lost_and_sent(&counters);
    figures.lying_lost = Some(share(lost - lost_early, sent - sent_early));
    bench.testbed.endpoints[0]
        .upstream
        .set_mode(UpstreamMode::Healthy);
    std::thread::sleep(SETTLE_TIME);
}

/// Measures the retries while every third endpoint answers every request with 500.
pub fn every_third_fails(bench: &PolicyBench, figures: &mut PolicyFigures) {
    let total_runs = |bench: &PolicyBench| -> u64 {
        let records = bench
            .testbed
            .endpoints
            .iter()
            .map(|endpoint| endpoint.upstream.record());
        records
            .map(|record| {
                record
                    .runs
                    .values()
                    .map(|&count| u64::from(count))
                    .sum::<u64>()
            })
            .sum()
    };
    for endpoint in bench.testbed.endpoints.iter().step_by(3) {
        endpoint.upstream.set_mode(UpstreamMode::Failing);
    }
    let before = total_runs(bench);
    let counters = bench.run_load(&bench.short_requests(0.4));
    let sent = counters.requests.load(Ordering::Relaxed);
    let runs = total_runs(bench) - before;
    figures.extra_attempts = Some(share(runs.saturating_sub(sent), sent));
    for endpoint in &bench.testbed.endpoints {
        endpoint.upstream.set_mode(UpstreamMode::Healthy);
    }
    std::thread::sleep(SETTLE_TIME);
}

/// Counts sessions, requests and streams broken while every entry is replaced, the catalogue changes and an endpoint
/// drains.
///
/// # Errors
///
/// Returns an error if one of the changes fails or a stream's task panics.
pub fn planned_changes(bench: &mut PolicyBench, figures: &mut PolicyFigures) -> Result<()> {
    let mut streams = Vec::new();
    for session in bench.pool.sessions() {
        let request = CallRequest {
            id: next_id(),
            service: bench.service.clone(),
            ms: 100,
            events: 120,
            timeout_ms: Some(5_000),
            ..CallRequest::default()
        };
        streams.push(
            bench
                .runtime
                .spawn(async move { session.call(&request).await }),
        );
    }
    let load = PhaseLoad {
        duration: Duration::from_secs(10),
        ..bench.short_requests(0.5)
    };
    let running = bench.start_load(&load);
    for index in 0..bench.testbed.entries.len() {
        bench.testbed.replace_entry(index)?;
    }
    bench.testbed.edit_catalogue(|snapshot| {
        for entry in snapshot.services.values_mut() {
            entry.limits.queue += 1;
        }
    })?;
    bench.testbed.drain_endpoint(0)?;
    let counters = bench.finish_load(running);
    let mut broken = counters.broken.load(Ordering::Relaxed) + bench.pool.count_broken();
    // CAST: Stream counts are small.
    let flows = streams.len() as u64 + bench.pool.opened.load(Ordering::Relaxed);
    for stream in streams {
        let outcome = bench.runtime.block_on(stream)?;
        if !matches!(outcome, CallOutcome::Whole | CallOutcome::NotRun(_)) {
            broken += 1;
        }
    }
    figures.broken_flows = Some(broken);
    figures.flows = Some(flows);
    Ok(())
}
