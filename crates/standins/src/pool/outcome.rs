//! Outcomes of simulated requests, and statistics over them.

use super::workload::{Seconds, TraceJob};

/// Outcome of one request at its ingress agent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobOutcome {
    /// The request had no outcome when the run stopped.
    Unfinished,
    /// The ingress agent returned the upstream's response to the caller.
    Answered {
        /// When the ingress agent had the response.
        at: Seconds,
        /// Agent whose upstream ran the request, or the ingress agent for a stored response.
        agent: usize,
    },
    /// Refused as not run: the queue was full or the deadline could not be met, for example.
    Refused,
    /// The upstream failed, and the request was not retried any more.
    Failed,
    /// A keyed request that was not run because a copy is in progress or because it is unknown whether a copy ran.
    Unknown,
}

/// Outcomes and counters of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunResult {
    /// Outcome of each request, in the order of the input.
    pub outcomes: Vec<JobOutcome>,
    /// Start, duration and agent of each execution at an upstream.
    pub work: Vec<(Seconds, Seconds, usize)>,
    /// Messages sent between agents, including those that were lost.
    pub messages: u64,
    /// Retries: attempts beyond the first of each request.
    pub extra_attempts: u64,
    /// Times that one attempt of a request was started again, or ended again at its ingress agent.
    pub duplicate_runs: u64,
    /// Times that a keyed request was started after another start with its key.
    pub duplicate_key_starts: u64,
    /// Times that a request was both refused as not run and started.
    pub refused_starts: u64,
    /// Keyed requests that were answered with the stored response of an earlier copy.
    pub repeated_answers: u64,
    /// Number of requests that have an outcome.
    pub ended: usize,
}

impl RunResult {
    /// Creates the empty result of a run of `requests` requests.
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

    /// Returns the latencies of the answered requests that match `filter`.
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

    /// Returns the 99th percentile of [`RunResult::latencies`].
    pub fn p99(&self, jobs: &[TraceJob], filter: impl Fn(&TraceJob) -> bool) -> Seconds {
        percentile(self.latencies(jobs, filter), 0.99)
    }

    /// Returns the number of requests whose outcome matches.
    pub fn count(&self, matching: impl Fn(&JobOutcome) -> bool) -> usize {
        self.outcomes
            .iter()
            .filter(|outcome| matching(outcome))
            .count()
    }

    /// Returns the share, from 0 to 1, of the requests matching `filter` that were answered within their deadline.
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

    /// Returns the total work of the requests answered within their deadline whose response came at or after `from` and
    /// before `until`.
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

    /// Returns the work of the busiest agent divided by the mean over all agents, between `from` and `until`.
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

/// Returns the smallest of the values such that at least the given share of them is not greater.
///
/// # Panics
///
/// Panics if `values` is empty.
pub fn percentile(mut values: Vec<f64>, share: f64) -> f64 {
    assert!(!values.is_empty(), "no values");
    values.sort_by(f64::total_cmp);
    let rank = (share * values.len() as f64).ceil() as usize;
    values[rank.clamp(1, values.len()) - 1]
}
