//! Simulations of the request pool of one service in virtual time, compared with an ideal central queue.
//!
//! All bounds are the targets of docs/design.md, section 1. The option `--nocapture` prints the measures.

use quetzalhill_core::catalogue::TrafficClass;
use quetzalhill_core::dispatch::{DispatchOptions, DispatchPolicy, QueueOrder};
use quetzalhill_standins::pool::central::run_central;
use quetzalhill_standins::pool::outcome::{JobOutcome, RunResult};
use quetzalhill_standins::pool::sim::{run_pool, SimSpec};
use quetzalhill_standins::pool::workload::{
    merge_streams, PoolShape, StreamSpec, TraceJob, ARCHIVE, BATCH, DESK, FEED,
};
use yare::parameterized;

const MEAN: f64 = 0.02;

fn steady_requests(
    shape: PoolShape,
    load: f64,
    mean: f64,
    requests: f64,
    seed: u64,
) -> Vec<TraceJob> {
    let until = requests * mean / (load * shape.capacity());
    StreamSpec::new(shape, load, mean, until).generate(seed)
}

/// Asserts that every request was answered and none was run twice.
fn assert_all_answered(result: &RunResult) {
    let answered = result.count(|end| matches!(end, JobOutcome::Answered { .. }));
    assert_eq!(answered, result.outcomes.len());
    assert_eq!(result.duplicate_runs, 0);
}

fn options_with(change: impl FnOnce(&mut DispatchOptions)) -> DispatchOptions {
    let mut options = DispatchOptions::default();
    change(&mut options);
    options
}

/// Guards against requests that wait at a busy agent while another agent has a free slot.
#[parameterized(
    feed_80 = { FEED, 0.8 }, feed_90 = { FEED, 0.9 },
    desk_80 = { DESK, 0.8 }, desk_90 = { DESK, 0.9 },
    batch_80 = { BATCH, 0.8 }, batch_90 = { BATCH, 0.9 },
    archive_80 = { ARCHIVE, 0.8 }, archive_90 = { ARCHIVE, 0.9 },
)]
fn p99_is_close_to_central_queue(shape: PoolShape, load: f64) {
    let jobs = steady_requests(shape, load, MEAN, 10_000.0, 11);
    let limit = run_central(shape, &jobs).p99(&jobs, |_| true);
    let pooled = run_pool(&SimSpec::new(shape), &jobs);
    let ratio = pooled.p99(&jobs, |_| true) / limit;
    println!("p99 {shape:?} load {load}: ratio {ratio:.3}");
    assert_all_answered(&pooled);
    assert!(ratio <= 1.10, "{ratio}");
}

/// Guards against a pooled policy whose p99 latency at a load of 0.9 is no better than that of the simpler policies.
///
/// The test also prints the p99 latency without pulls and without balancing.
#[test]
fn pooled_policy_beats_the_alternatives() {
    let jobs = steady_requests(DESK, 0.9, MEAN, 6_000.0, 11);
    let limit = run_central(DESK, &jobs).p99(&jobs, |_| true);
    let ratio = |name: &str, policy: DispatchPolicy, options: DispatchOptions| {
        let mut spec = SimSpec::new(DESK);
        spec.policy = policy;
        spec.options = options;
        let result = run_pool(&spec, &jobs);
        let ratio = result.p99(&jobs, |_| true) / limit;
        let messages = result.messages as f64 / jobs.len() as f64;
        println!("desk 0.9 {name}: p99 ratio {ratio:.3}, {messages:.1} messages a request");
        ratio
    };
    let all = DispatchOptions::default();
    let pooled = ratio("pooled", DispatchPolicy::Pooled, all);
    ratio(
        "no pull",
        DispatchPolicy::Pooled,
        options_with(|o| o.pull = false),
    );
    ratio(
        "no balance",
        DispatchPolicy::Pooled,
        options_with(|o| o.balance = false),
    );
    for policy in [
        DispatchPolicy::Random,
        DispatchPolicy::RoundRobin,
        DispatchPolicy::LeastReported,
        DispatchPolicy::Local,
    ] {
        let other = ratio(&format!("{policy:?}"), policy, all);
        assert!(pooled < other, "{policy:?}");
    }
}

/// Generates an urgent load of 0.8 and a standard load of 2.2, in sum 3 times the capacity.
fn peak_trace(shape: PoolShape, until: f64) -> Vec<TraceJob> {
    let mut urgent = StreamSpec::new(shape, 0.8, MEAN, until);
    urgent.class = TrafficClass::Urgent;
    urgent.timeout = 1.0;
    let mut standard = StreamSpec::new(shape, 2.2, MEAN, until);
    standard.timeout = 1.0;
    merge_streams(vec![urgent.generate(21), standard.generate(22)])
}

/// Guards against an overload of standard requests that delays urgent ones or spends slots on requests that miss their
/// deadlines.
#[parameterized(feed = { FEED }, desk = { DESK })]
fn peak_serves_urgent_requests_and_does_useful_work(shape: PoolShape) {
    let until = 5.0;
    let jobs = peak_trace(shape, until);
    let urgent = |job: &TraceJob| job.class == TrafficClass::Urgent;
    let central = run_central(shape, &jobs).useful_work(&jobs, 1.0, until);
    let capacity = shape.capacity() * (until - 1.0);
    let run = |name: &str, options: DispatchOptions| {
        let mut spec = SimSpec::new(shape);
        spec.options = options;
        let result = run_pool(&spec, &jobs);
        let served = result.answered_in_time(&jobs, urgent);
        let useful = result.useful_work(&jobs, 1.0, until);
        let (of_all, of_central) = (useful / capacity, useful / central);
        println!("peak {shape:?} {name}: urgent {served:.5}, useful work {of_all:.3} of capacity, {of_central:.3} of central");
        assert_eq!(result.duplicate_runs, 0);
        (served, of_all, of_central)
    };
    for order in [
        QueueOrder::Fifo,
        QueueOrder::EarliestDeadline,
        QueueOrder::ControlledDelay,
    ] {
        run(&format!("{order:?}"), options_with(|o| o.order = order));
    }
    let (served, of_all, of_central) = run("default", DispatchOptions::default());
    assert!(served >= 0.999, "{served}");
    assert!(of_all >= 0.95, "{of_all}");
    assert!(of_central >= 0.95, "{of_central}");
}

/// Guards against long requests that occupy all slots, so that short requests wait behind them.
#[parameterized(feed = { FEED, 31 }, desk = { DESK, 33 })]
fn short_requests_do_not_wait_behind_long_ones(shape: PoolShape, seed: u64) {
    // Of each 20 requests, 19 take 1 unit of work and 1 takes 50, so that 19/69 of the load is short.
    let until = 45.0;
    let short = StreamSpec::new(shape, 0.72 * 19.0 / 69.0, MEAN, until).generate(seed);
    let mut long = StreamSpec::new(shape, 0.72 * 50.0 / 69.0, MEAN * 50.0, until);
    long.work_key = 2;
    let mixed = merge_streams(vec![short.clone(), long.generate(seed + 1)]);
    let alone = run_pool(&SimSpec::new(shape), &short).p99(&short, |_| true);
    let ratio = |name: &str, options: DispatchOptions| {
        let mut spec = SimSpec::new(shape);
        spec.options = options;
        let result = run_pool(&spec, &mixed);
        let ratio = result.p99(&mixed, |job| job.work_key == 1) / alone;
        println!("short behind long {shape:?} {name}: ratio {ratio:.3}");
        ratio
    };
    ratio("no share", options_with(|o| o.long_share = false));
    let with = ratio("default", DispatchOptions::default());
    assert!(with <= 1.15, "{with}");
}

/// Guards against an endpoint that does more work than the others because callers opened more flows to it.
#[test]
fn work_is_balanced() {
    let mut stream = StreamSpec::new(FEED, 0.7, 0.01, 11.0);
    stream.agent_weights = vec![1.3, 1.2, 1.0, 1.0, 1.0, 0.8, 0.7];
    let jobs = stream.generate(41);
    let imbalance = |name: &str, options: DispatchOptions| {
        let mut spec = SimSpec::new(FEED);
        spec.options = options;
        let imbalance = run_pool(&spec, &jobs).imbalance(7, 1.0, 11.0);
        println!("imbalance {name}: {imbalance:.3}");
        imbalance
    };
    imbalance("no balance", options_with(|o| o.balance = false));
    let with = imbalance("default", DispatchOptions::default());
    assert!(with <= 1.10, "{with}");
}

/// Guards against an endpoint that gets too much or too little work after it became ready, because callers have no
/// flows to it and its peers hand requests over to it.
#[parameterized(feed = { FEED }, batch = { BATCH })]
fn cold_endpoint_takes_its_share(shape: PoolShape) {
    let mut stream = StreamSpec::new(shape, 0.7, 0.01, 13.0);
    // Callers keep their existing flows, so that no request arrives at the cold endpoint itself.
    stream.agent_weights = vec![1.0; shape.agents - 1];
    let jobs = stream.generate(51);
    let mut spec = SimSpec::new(shape);
    spec.cold = Some((shape.agents - 1, 2.0));
    let imbalance = run_pool(&spec, &jobs).imbalance(shape.agents, 2.0, 12.0);
    println!("imbalance within 10 s of a cold start {shape:?}: {imbalance:.3}");
    assert!(imbalance <= 1.25, "{imbalance}");
}

/// Guards against a backlog that still delays requests 2 s after an overload has ended.
#[test]
fn p99_returns_after_a_peak() {
    let base = StreamSpec::new(FEED, 0.6, MEAN, 14.0);
    let mut peak = StreamSpec::new(FEED, 2.4, MEAN, 6.0);
    peak.from = 4.0;
    peak.timeout = 1.0;
    let jobs = merge_streams(vec![base.generate(61), peak.generate(62)]);
    let result = run_pool(&SimSpec::new(FEED), &jobs);
    let before = result.p99(&jobs, |job| job.arrival < 4.0);
    let after = result.p99(&jobs, |job| job.arrival >= 8.0);
    println!("p99 before the peak {before:.4}, from 2 s after it {after:.4}");
    assert!(after <= before, "{after} {before}");
}

/// Guards against retries that multiply the load when some of the endpoints fail.
#[test]
fn retries_of_faulty_endpoints_are_bounded() {
    let jobs = steady_requests(FEED, 0.5, MEAN, 10_000.0, 71);
    let mut spec = SimSpec::new(FEED);
    spec.faulty = vec![(2, 1.0), (5, 1.0)];
    spec.retry = true;
    let result = run_pool(&spec, &jobs);
    let extra = result.extra_attempts as f64 / jobs.len() as f64;
    println!("extra attempts with every third endpoint faulty: {extra:.4}");
    assert!(extra <= 0.10, "{extra}");
}

/// Guards against an endpoint that fails requests quickly, looks idle for this reason and attracts more requests.
#[test]
fn failing_endpoint_loses_few_requests() {
    let jobs = steady_requests(FEED, 0.6, MEAN, 20_000.0, 81);
    let lost = |name: &str, options: DispatchOptions| {
        let mut spec = SimSpec::new(FEED);
        spec.faulty = vec![(3, 2.0)];
        spec.options = options;
        let result = run_pool(&spec, &jobs);
        let late = jobs
            .iter()
            .zip(&result.outcomes)
            .filter(|(job, _)| job.arrival >= 4.0);
        let failed = late
            .clone()
            .filter(|(_, end)| **end == JobOutcome::Failed)
            .count();
        let lost = failed as f64 / late.count() as f64;
        println!("lost to a failing endpoint after 2 s, {name}: {lost:.5}");
        lost
    };
    lost("no ejection", options_with(|o| o.eject = false));
    let with = lost("default", DispatchOptions::default());
    assert!(with <= 0.001, "{with}");
}

/// Guards against message loss that loses requests or slots or makes a request run twice.
#[test]
fn lost_messages_lose_no_request() {
    let jobs = steady_requests(DESK, 0.8, MEAN, 4_000.0, 91);
    let mut spec = SimSpec::new(DESK);
    spec.loss = 0.05;
    assert_all_answered(&run_pool(&spec, &jobs));
}

/// Guards against new work on a draining endpoint and against requests that the drain loses.
#[test]
fn draining_endpoint_gets_no_new_work() {
    let jobs = steady_requests(DESK, 0.6, MEAN, 3_000.0, 95);
    let mut spec = SimSpec::new(DESK);
    spec.drain = Some((2, 0.5));
    let result = run_pool(&spec, &jobs);
    assert_all_answered(&result);
    let late = result
        .work
        .iter()
        .filter(|(start, _, agent)| *agent == 2 && *start > 0.6);
    assert_eq!(late.count(), 0);
}
