//! The phases of a measurement, each a load on the same deployment.

use super::figures::{CrestPoint, PolicyFigures};
use super::BenchBed;
use crate::caller::{CallOutcome, CallRequest};
use crate::upstream::UpstreamMode;
use crate::workload::{next_id, run_load_into, LoadCounters, LoadPlan, WorkShape};
use anyhow::Result;
use hdrhistogram::Histogram;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Deadline of urgent requests at the crest, in milliseconds.
const URGENT_MS: u32 = 500;

/// Deadline of standard requests at the crest, in milliseconds.
const STANDARD_MS: u32 = 1_000;

/// Time for what is left of a phase to end before the next one.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Interval of the points over time.
const INTERVAL: Duration = Duration::from_millis(500);

/// Which requests a load sends.
struct PhaseLoad {
    load: f64,
    work: WorkShape,
    standard: bool,
    timeout_ms: u32,
    length: Duration,
    seed: u64,
}

/// A load that runs.
struct RunningLoad {
    counters: Arc<LoadCounters>,
    task: JoinHandle<()>,
}

impl BenchBed {
    fn begin(&self, load: &PhaseLoad) -> RunningLoad {
        let plan = LoadPlan {
            service: self.service.clone(),
            address: self
                .bed
                .service_address(&self.service)
                .unwrap_or(self.bed.fabrics[0].address()),
            path: match load.standard {
                true => format!("{}/work", self.standard_path),
                false => String::new(),
            },
            rate: load.load * self.slots * 1_000.0 / load.work.mean_ms(),
            length: load.length,
            work: load.work,
            bytes: 500,
            keyed: false,
            priority: None,
            timeout_ms: Some(load.timeout_ms),
            seed: load.seed,
        };
        let counters = Arc::new(LoadCounters::default());
        let sending = run_load_into(
            plan,
            Arc::clone(&self.pool),
            self.line.handle(),
            Arc::clone(&counters),
        );
        RunningLoad {
            counters,
            task: self.runtime.spawn(sending),
        }
    }

    fn end(&self, load: RunningLoad) -> Arc<LoadCounters> {
        // A panic in the load shows as requests without an outcome.
        let _ = self.runtime.block_on(load.task);
        load.counters
    }

    fn run(&self, load: &PhaseLoad) -> Arc<LoadCounters> {
        let running = self.begin(load);
        let counters = self.end(running);
        std::thread::sleep(SETTLE);
        counters
    }

    fn short(&self, load: f64) -> PhaseLoad {
        PhaseLoad {
            load,
            work: WorkShape::Exponential(self.mean_ms),
            standard: false,
            timeout_ms: 10_000,
            length: self.length,
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

/// Returns the 99th percentile under a steady load, in milliseconds.
pub fn steady_p99(bench: &BenchBed, load: f64) -> f64 {
    let counters = bench.run(&bench.short(load));
    p99_ms(&counters.latency())
}

/// Measures short requests at 0.2 load alone and with the long ones that bring the load to 0.72.
pub fn short_behind_long(bench: &BenchBed, figures: &mut PolicyFigures) {
    let work = WorkShape::Bimodal {
        mean_ms: bench.mean_ms,
        long_share: 0.05,
        factor: 50.0,
    };
    let short_load = 0.72 * 0.95 * bench.mean_ms / work.mean_ms();
    let alone = PhaseLoad {
        length: bench.length * 2,
        ..bench.short(short_load)
    };
    let mixed = PhaseLoad {
        load: 0.72,
        work,
        ..bench.short(0.72)
    };
    let mixed = PhaseLoad {
        length: bench.length * 2,
        ..mixed
    };
    figures.short_alone_ms = p99_ms(&bench.run(&alone).latency());
    figures.short_mixed_ms = p99_ms(&bench.run(&mixed).latency());
}

/// Measures how evenly the endpoints work over 10 s.
pub fn imbalance(bench: &BenchBed, figures: &mut PolicyFigures) {
    let load = PhaseLoad {
        length: Duration::from_secs(10),
        ..bench.short(0.7)
    };
    let work = |bench: &BenchBed| -> Vec<u64> {
        let records = bench
            .bed
            .endpoints
            .iter()
            .map(|endpoint| endpoint.upstream.record());
        records.map(|record| record.work_ms).collect()
    };
    let before = work(bench);
    let counters = bench.run(&load);
    let done: Vec<u64> = work(bench)
        .iter()
        .zip(before)
        .map(|(after, before)| after - before)
        .collect();
    let most = done.iter().copied().max().unwrap_or(0);
    let total: u64 = done.iter().sum();
    // CAST: The number of endpoints is small.
    figures.imbalance = share(most, total) * done.len() as f64;
    figures.endpoint_work_ms = done;
    figures.distribution = distribution(&counters.latency());
}

fn distribution(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    let steps = (1..=200_u32).map(|step| f64::from(step) / 200.0 * 0.9999);
    // CAST: Latencies in microseconds are far below 2^53.
    steps
        .map(|q| (histogram.value_at_quantile(q) as f64 / 1_000.0, q))
        .collect()
}

/// Measures a crest of 3 times the capacity and the time until the latency of before is back.
pub fn crest(bench: &BenchBed, figures: &mut PolicyFigures) {
    let base = bench.short(0.5);
    let before = p99_ms(&bench.run(&base).latency());
    let crest = Duration::from_secs(6);
    let exponential = WorkShape::Exponential(bench.mean_ms);
    let started = Instant::now();
    let urgent = bench.begin(&PhaseLoad {
        load: 0.8,
        work: exponential,
        standard: false,
        timeout_ms: URGENT_MS,
        length: crest,
        seed: 11,
    });
    let standard = bench.begin(&PhaseLoad {
        load: 2.2,
        work: exponential,
        standard: true,
        timeout_ms: STANDARD_MS,
        length: crest,
        seed: 12,
    });
    let (mut last_urgent, mut last_standard) = (0, 0);
    while started.elapsed() < crest {
        std::thread::sleep(INTERVAL);
        let now_urgent = urgent.counters.in_time.load(Ordering::Relaxed);
        let now_standard = standard.counters.in_time.load(Ordering::Relaxed);
        figures.crest_points.push(CrestPoint {
            at_s: started.elapsed().as_secs_f64(),
            urgent: now_urgent - last_urgent,
            standard: now_standard - last_standard,
        });
        (last_urgent, last_standard) = (now_urgent, now_standard);
    }
    figures.recovery_s = recovery(bench, before);
    let urgent = bench.end(urgent);
    let standard = bench.end(standard);
    let in_time = urgent.in_time.load(Ordering::Relaxed);
    figures.crest_urgent = share(in_time, urgent.requests.load(Ordering::Relaxed));
    let work = urgent.work_ms.load(Ordering::Relaxed) + standard.work_ms.load(Ordering::Relaxed);
    // CAST: The capacity in milliseconds is far below 2^53.
    figures.crest_useful = work as f64 / (bench.slots * crest.as_secs_f64() * 1_000.0);
}

/// Returns the seconds after which short windows show the 99th percentile of before again, within a tenth.
fn recovery(bench: &BenchBed, before: f64) -> f64 {
    let started = Instant::now();
    for _ in 0..10 {
        let window = PhaseLoad {
            length: INTERVAL,
            ..bench.short(0.5)
        };
        let begin = started.elapsed().as_secs_f64();
        let running = bench.begin(&window);
        if p99_ms(&bench.end(running).latency()) <= before * 1.10 {
            return begin;
        }
    }
    f64::INFINITY
}

/// Measures what is lost to one endpoint that claims health and fails, after 2 s.
pub fn lying_endpoint(bench: &BenchBed, figures: &mut PolicyFigures) {
    let load = PhaseLoad {
        length: Duration::from_secs(6),
        ..bench.short(0.5)
    };
    bench.bed.endpoints[0]
        .upstream
        .set_mode(UpstreamMode::Failing);
    let running = bench.begin(&load);
    std::thread::sleep(Duration::from_secs(2));
    let counted = |counters: &LoadCounters| {
        let lost =
            counters.failed.load(Ordering::Relaxed) + counters.unknown.load(Ordering::Relaxed);
        (lost, counters.requests.load(Ordering::Relaxed))
    };
    let (lost_early, sent_early) = counted(&running.counters);
    let counters = bench.end(running);
    let (lost, sent) = counted(&counters);
    figures.lying_lost = Some(share(lost - lost_early, sent - sent_early));
    bench.bed.endpoints[0]
        .upstream
        .set_mode(UpstreamMode::Healthy);
    std::thread::sleep(SETTLE);
}

/// Measures extra attempts while every third endpoint fails.
pub fn every_third_fails(bench: &BenchBed, figures: &mut PolicyFigures) {
    let runs = |bench: &BenchBed| -> u64 {
        let records = bench
            .bed
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
    for endpoint in bench.bed.endpoints.iter().step_by(3) {
        endpoint.upstream.set_mode(UpstreamMode::Failing);
    }
    let before = runs(bench);
    let counters = bench.run(&bench.short(0.4));
    let sent = counters.requests.load(Ordering::Relaxed);
    let ran = runs(bench) - before;
    figures.extra_attempts = Some(share(ran.saturating_sub(sent), sent));
    for endpoint in &bench.bed.endpoints {
        endpoint.upstream.set_mode(UpstreamMode::Healthy);
    }
    std::thread::sleep(SETTLE);
}

/// Counts flows broken while every entry is replaced, the catalogue changes and an endpoint drains.
///
/// # Errors
///
/// Returns an error if a change cannot be made.
pub fn planned_changes(bench: &mut BenchBed, figures: &mut PolicyFigures) -> Result<()> {
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
        length: Duration::from_secs(10),
        ..bench.short(0.5)
    };
    let running = bench.begin(&load);
    for index in 0..bench.bed.entries.len() {
        bench.bed.replace_entry(index)?;
    }
    bench.bed.edit_catalogue(|snapshot| {
        for entry in snapshot.services.values_mut() {
            entry.limits.queue += 1;
        }
    })?;
    bench.bed.drain_endpoint(0)?;
    let counters = bench.end(running);
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
