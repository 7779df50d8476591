//! Replays a trace in virtual time and compares what is measured with what the trace states.

use super::flows::route_flows;
use super::measure::ReplayMeasures;
use super::trace::{EndpointChange, RecordedTrace};
use crate::pool::outcome::RunResult;
use crate::pool::sim::{run_pool, SimSpec};
use crate::pool::workload::{IdempotencyKey, PoolShape, Seconds, TraceJob};
use quetzalhill_core::catalogue::TrafficClass;
use std::collections::HashSet;

/// One stated outcome and what was measured.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeResult {
    /// The outcome as the trace states it.
    pub expected: String,
    /// The measure in the replay.
    pub measured: f64,
    /// Whether the outcome holds.
    pub holds: bool,
}

/// Result of a replay; the same for each replay of the same trace.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplayReport {
    /// The stated outcomes in their order.
    pub results: Vec<OutcomeResult>,
    /// What became of each request.
    pub run: RunResult,
}

impl ReplayReport {
    /// Returns whether all stated outcomes hold.
    pub fn holds(&self) -> bool {
        self.results.iter().all(|result| result.holds)
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
    pub unplaced_flows: HashSet<u32>,
}

/// Replays a trace.
pub fn replay(trace: &RecordedTrace) -> ReplayReport {
    let input = build_input(trace);
    let run = run_pool(&input.spec, &input.jobs);
    let measures = ReplayMeasures {
        trace,
        input: &input,
        run: &run,
    };
    let mut results = Vec::new();
    for outcome in &trace.outcomes {
        let measured = measures.value(outcome.measure);
        results.push(OutcomeResult {
            expected: outcome.text.clone(),
            measured,
            holds: outcome.holds(measured),
        });
    }
    ReplayReport { results, run }
}

/// Returns microseconds as seconds of the fake.
pub fn to_seconds(us: u64) -> Seconds {
    // CAST: Traces are far shorter than 2^52 microseconds.
    us as f64 / 1e6
}

/// Routes the flows of a trace and returns what the pool receives.
pub fn build_input(trace: &RecordedTrace) -> ReplayInput {
    let placements = route_flows(trace);
    let mut jobs = Vec::new();
    let mut unplaced_flows = HashSet::new();
    for record in &trace.records {
        let Some(placement) = placements.get(&record.flow) else {
            unplaced_flows.insert(record.flow);
            continue;
        };
        let at_us = record.at_us.max(placement.accepted_us);
        let job = TraceJob {
            arrival: to_seconds(at_us),
            ingress: placement.agent,
            work: to_seconds(record.work_us),
            class: record.class,
            owner: "owner",
            timeout: to_seconds(record.deadline_us.saturating_sub(at_us)),
            work_key: work_key(record.class),
            idempotency_key: (record.key != 0).then(|| IdempotencyKey {
                value: record.key,
                token_issued: to_seconds(placement.accepted_us),
            }),
        };
        jobs.push((job, record.flow));
    }
    jobs.sort_by(|a, b| a.0.arrival.total_cmp(&b.0.arrival));
    let (jobs, flows) = jobs.into_iter().unzip();
    ReplayInput {
        spec: build_spec(trace),
        jobs,
        flows,
        unplaced_flows,
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

fn build_spec(trace: &RecordedTrace) -> SimSpec {
    let change = |change: EndpointChange| (change.endpoint, to_seconds(change.at_us));
    let header = &trace.header;
    let mut spec = SimSpec::new(PoolShape {
        agents: usize::from(trace.service.endpoints),
        slots: trace.service.slots,
        delay: to_seconds(trace.plan.zone_delay_us),
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
