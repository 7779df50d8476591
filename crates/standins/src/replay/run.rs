//! Replays a trace in virtual time and compares what is seen with what the trace states.

use super::flows::route_flows;
use super::measure::Measures;
use super::trace::{EndpointChange, Trace};
use crate::pool::outcome::RunResult;
use crate::pool::sim::{run_pool, SimSpec};
use crate::pool::workload::{KeyedCopy, PoolShape, Seconds, TraceJob};
use quetzalhill_core::catalogue::TrafficClass;
use std::collections::HashSet;

/// One stated outcome and what was seen.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeLine {
    /// The outcome as the trace states it.
    pub stated: String,
    /// The measure in the replay.
    pub seen: f64,
    /// Whether the outcome holds.
    pub holds: bool,
}

/// Result of a replay; the same for each replay of the same trace.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplayReport {
    /// The stated outcomes in their order.
    pub lines: Vec<OutcomeLine>,
    /// What became of each request.
    pub run: RunResult,
}

impl ReplayReport {
    /// Returns whether all stated outcomes hold.
    pub fn holds(&self) -> bool {
        self.lines.iter().all(|line| line.holds)
    }
}

/// The requests of a trace as the pool receives them.
pub struct ReplayInput {
    /// The pool.
    pub spec: SimSpec,
    /// Requests of the flows that an agent took.
    pub jobs: Vec<TraceJob>,
    /// Flow of each job.
    pub flows: Vec<u32>,
    /// Flows that no agent took.
    pub refused_flows: HashSet<u32>,
}

/// Replays a trace.
pub fn replay(trace: &Trace) -> ReplayReport {
    let input = input_of(trace);
    let run = run_pool(&input.spec, &input.jobs);
    let measures = Measures {
        trace,
        input: &input,
        run: &run,
    };
    let mut lines = Vec::new();
    for outcome in &trace.outcomes {
        let seen = measures.value(outcome.measure);
        lines.push(OutcomeLine {
            stated: outcome.text.clone(),
            seen,
            holds: outcome.holds(seen),
        });
    }
    ReplayReport { lines, run }
}

/// Returns microseconds as seconds of the fake.
pub fn seconds(us: u64) -> Seconds {
    // CAST: Traces are far shorter than 2^52 microseconds.
    us as f64 / 1e6
}

fn input_of(trace: &Trace) -> ReplayInput {
    let homes = route_flows(trace);
    let mut jobs = Vec::new();
    let mut refused_flows = HashSet::new();
    for record in &trace.records {
        let Some(home) = homes.get(&record.flow) else {
            refused_flows.insert(record.flow);
            continue;
        };
        let at_us = record.at_us.max(home.opened_us);
        let job = TraceJob {
            at: seconds(at_us),
            home: home.agent,
            service: seconds(record.work_us),
            class: record.class,
            owner: "owner",
            patience: seconds(record.deadline_us.saturating_sub(at_us)),
            key: work_key(record.class),
            once: (record.key != 0).then(|| KeyedCopy {
                key: record.key,
                issued: seconds(home.opened_us),
            }),
        };
        jobs.push((job, record.flow));
    }
    jobs.sort_by(|a, b| a.0.at.total_cmp(&b.0.at));
    let (jobs, flows) = jobs.into_iter().unzip();
    ReplayInput {
        spec: spec_of(trace),
        jobs,
        flows,
        refused_flows,
    }
}

/// Returns the key that tells short from long work; paths of one class have about the same work.
fn work_key(class: TrafficClass) -> u64 {
    match class {
        TrafficClass::Urgent => 1,
        TrafficClass::Standard => 2,
        TrafficClass::Bulk => 3,
    }
}

fn spec_of(trace: &Trace) -> SimSpec {
    let change = |change: EndpointChange| (change.endpoint, seconds(change.at_us));
    let header = &trace.header;
    let mut spec = SimSpec::new(PoolShape {
        agents: usize::from(trace.service.endpoints),
        slots: trace.service.slots,
        delay: seconds(trace.plan.zone_delay_us),
    });
    spec.limits = trace.service.limits.clone();
    spec.seed = header.seed;
    spec.loss = header.loss;
    spec.cold = header.cold.map(change);
    spec.drain = header.drain.map(change);
    spec.faulty = header.faulty.iter().copied().map(change).collect();
    spec.retry = true;
    spec
}
