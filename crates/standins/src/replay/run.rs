//! Replays a trace in virtual time and compares the measures with the expected outcomes of the trace.

use super::flows::route_flows;
use super::measure::ReplayMeasures;
use super::trace::{EndpointChange, RecordedTrace};
use crate::pool::outcome::RunResult;
use crate::pool::sim::{run_pool, SimSpec};
use crate::pool::workload::{IdempotencyKey, PoolShape, Seconds, TraceJob};
use quetzalhill_core::catalogue::TrafficClass;
use std::collections::HashSet;

/// One expected outcome and the value of its measure in the replay.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeResult {
    /// Text of the expected outcome in the trace.
    pub expected: String,
    /// Measured value, in the unit of the measure.
    pub measured: f64,
    /// Whether the measured value satisfies the bound.
    pub holds: bool,
}

/// Result of a replay; every replay of a trace gives the same result.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplayReport {
    /// Results for the expected outcomes, in the order of the trace.
    pub results: Vec<OutcomeResult>,
    /// Outcome of each request, and counters.
    pub run: RunResult,
}

impl ReplayReport {
    /// Returns whether the replay meets all expected outcomes.
    pub fn holds(&self) -> bool {
        self.results.iter().all(|result| result.holds)
    }
}

/// Input of the pool simulation for a trace.
pub struct ReplayInput {
    /// Parameters of the simulation.
    pub spec: SimSpec,
    /// Requests of the flows that an agent accepted, in the order of arrival.
    pub jobs: Vec<TraceJob>,
    /// Flow of each request in `jobs`.
    pub flows: Vec<u32>,
    /// Flows that no agent accepted.
    pub unplaced_flows: HashSet<u32>,
}

/// Replays a trace and checks its expected outcomes.
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

/// Converts microseconds of a trace to seconds of the simulation.
pub fn to_seconds(us: u64) -> Seconds {
    // CAST: Traces are far shorter than 2^52 microseconds.
    us as f64 / 1e6
}

/// Routes the flows of a trace and builds the input of the simulation.
///
/// A request arrives no earlier than its flow is accepted; its deadline does not move.
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

/// Returns the work key of a class; traces contain no paths, and the paths of one class need about the same work.
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
