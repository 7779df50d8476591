//! What became of the requests of a trace.

use super::workload::{Seconds, TraceJob};

/// The end of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobOutcome {
    /// Not ended when the run stopped.
    Unfinished,
    /// The answer reached the caller.
    Answered {
        /// When the caller had the answer.
        at: Seconds,
        /// Agent whose upstream answered.
        agent: usize,
    },
    /// Refused as not run.
    Refused,
    /// The upstream failed.
    Failed,
    /// The outcome is unknown, or a copy of the request is in progress; not run.
    Unknown,
}

/// Result of one run over a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct RunResult {
    /// End of each request, in the order of the trace.
    pub outcomes: Vec<JobOutcome>,
    /// Start, length and agent of each piece of work.
    pub work: Vec<(Seconds, Seconds, usize)>,
    /// Messages between agents.
    pub messages: u64,
    /// Attempts beyond the first of each request.
    pub extra_attempts: u64,
    /// Times that a request was started, per request and attempt, beyond the first.
    pub duplicate_runs: u64,
    /// Times that a request was started while a copy with its key had been.
    pub duplicate_key_starts: u64,
    /// Times that a request was both refused as not run and started.
    pub refused_starts: u64,
    /// Copies that were answered with the outcome of another copy.
    pub repeated_answers: u64,
    /// Requests that ended.
    pub ended: usize,
}

impl RunResult {
    /// Makes the result of a run of `requests` requests that has not begun.
    pub fn new(requests: usize) -> Self {
        Self {
            outcomes: vec![JobOutcome::Unfinished; requests],
            work: Vec::new(),
            messages: 0,
            extra_attempts: 0,
            duplicate_runs: 0,
            duplicate_key_starts: 0,
            refused_starts: 0,
            repeated_answers: 0,
            ended: 0,
        }
    }

    /// Times from arrival to answer of the answered requests for which `filter` holds.
    pub fn latencies(&self, jobs: &[TraceJob], filter: impl Fn(&TraceJob) -> bool) -> Vec<Seconds> {
        let mut latencies = Vec::new();
        for (job, outcome) in jobs.iter().zip(&self.outcomes) {
            if !filter(job) {
                continue;
            }
            if let JobOutcome::Answered { at, .. } = outcome {
                latencies.push(at - job.arrival);
            }
        }
        latencies
    }

    /// 99th percentile of [`RunResult::latencies`].
    pub fn p99(&self, jobs: &[TraceJob], filter: impl Fn(&TraceJob) -> bool) -> Seconds {
        percentile(self.latencies(jobs, filter), 0.99)
    }

    /// Number of requests with a matching end.
    pub fn count(&self, matching: impl Fn(&JobOutcome) -> bool) -> usize {
        self.outcomes
            .iter()
            .filter(|outcome| matching(outcome))
            .count()
    }

    /// Share of the requests answered within their deadline.
    pub fn answered_in_time(&self, jobs: &[TraceJob], filter: impl Fn(&TraceJob) -> bool) -> f64 {
        let mut total = 0_u32;
        let mut in_time = 0_u32;
        for (job, outcome) in jobs.iter().zip(&self.outcomes) {
            if !filter(job) {
                continue;
            }
            total += 1;
            in_time += u32::from(is_in_time(job, outcome));
        }
        f64::from(in_time) / f64::from(total.max(1))
    }

    /// Service time of the requests answered within their deadline that arrived in the given time.
    pub fn useful_work(&self, jobs: &[TraceJob], from: Seconds, until: Seconds) -> Seconds {
        let outcomes = jobs.iter().zip(&self.outcomes);
        outcomes
            .filter(|(job, outcome)| {
                matches!(outcome, JobOutcome::Answered { at, .. } if *at >= from && *at < until)
                    && is_in_time(job, outcome)
            })
            .map(|(job, _)| job.work)
            .sum()
    }

    /// Work of the busiest agent over the mean of all, in the given time.
    pub fn imbalance(&self, agents: usize, from: Seconds, until: Seconds) -> f64 {
        let mut busy = vec![0.0; agents];
        for (start, length, agent) in &self.work {
            let overlap = (start + length).min(until) - start.max(from);
            busy[*agent] += overlap.max(0.0);
        }
        let mean = busy.iter().sum::<f64>() / agents as f64;
        busy.iter().copied().fold(0.0, f64::max) / mean
    }
}

fn is_in_time(job: &TraceJob, outcome: &JobOutcome) -> bool {
    matches!(outcome, JobOutcome::Answered { at, .. } if at - job.arrival <= job.timeout)
}

/// Returns the value that the given share of the values does not exceed.
pub fn percentile(mut values: Vec<f64>, share: f64) -> f64 {
    assert!(!values.is_empty(), "no values");
    values.sort_by(f64::total_cmp);
    let rank = (share * values.len() as f64).ceil() as usize;
    values[rank.clamp(1, values.len()) - 1]
}
