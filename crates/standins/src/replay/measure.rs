//! Expected outcomes of a trace and the measures that they bound.

use super::run::{to_seconds, ReplayInput};
use super::trace::RecordedTrace;
use crate::pool::central::run_central;
use crate::pool::outcome::{JobOutcome, RunResult};
use crate::pool::sim::run_pool;
use crate::pool::workload::{Seconds, TraceJob};
use quetzalhill_core::catalogue::TrafficClass;
use serde::de::value::{Error, StrDeserializer};
use serde::de::IntoDeserializer;
use serde::Deserialize;
use std::collections::HashSet;

/// Quantity that an expected outcome bounds; a trace names it in snake case.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// 99th percentile of the latency of answered requests, in milliseconds.
    P99Ms,
    /// 99th percentile of the latency of answered urgent requests, in milliseconds.
    UrgentP99Ms,
    /// 99th percentile of the latency divided by that of an ideal central queue.
    P99OfCentral,
    /// 99th percentile of the latency of requests that are not bulk, divided by its value without bulk requests.
    ShortP99OfAlone,
    /// Share of the requests that are answered within their deadline, from 0 to 1.
    InTime,
    /// Share of the urgent requests that are answered within their deadline, from 0 to 1.
    UrgentInTime,
    /// Work of requests answered in time, divided by the capacity, in the goodput window.
    Goodput,
    /// Work of requests answered in time, divided by that of an ideal central queue, in the goodput window.
    GoodputOfCentral,
    /// Work of the busiest endpoint divided by the mean over all endpoints, until the last arrival.
    Imbalance,
    /// Attempts that were started or ended more than once, and repeated starts with one idempotency key.
    Duplicates,
    /// Times that a request was both refused as not run and started.
    NotRunThenRun,
    /// Requests that failed or have no outcome, including those of flows that no agent accepted.
    Lost,
    /// Flows that no agent accepted or that have a lost request.
    BrokenFlows,
    /// Requests that an endpoint started while it was draining.
    StartsWhileDraining,
    /// Keyed requests that were answered with the stored response of an earlier copy.
    RepeatedAnswers,
    /// Mean number of messages between agents per request.
    MessagesPerRequest,
}

/// Comparison of a measure with its bound, written as an operator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub enum Comparison {
    /// The measure is at most the bound.
    #[serde(rename = "<=")]
    AtMost,
    /// The measure is at least the bound.
    #[serde(rename = ">=")]
    AtLeast,
    /// The measure is exactly the bound.
    #[serde(rename = "==")]
    Equal,
}

/// An outcome that a trace expects of its replay.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpectedOutcome {
    /// Text in the header of the trace, for reports.
    pub text: String,
    /// Quantity that is bounded.
    pub measure: Measure,
    /// Direction of the bound.
    pub comparison: Comparison,
    /// Bound in the unit of the measure.
    pub bound: f64,
}

impl ExpectedOutcome {
    /// Parses an expected outcome such as `p99_ms <= 130`.
    ///
    /// # Errors
    ///
    /// Returns a message that names the invalid word, or the whole text if it does not have three words.
    pub fn parse(text: &str) -> Result<Self, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let [measure, comparison, bound] = words[..] else {
            return Err(format!(
                "`{text}` is not a measure, a comparison and a bound"
            ));
        };
        let bound: f64 = bound
            .parse()
            .map_err(|_| format!("`{bound}` is not a number"))?;
        Ok(Self {
            text: text.to_owned(),
            measure: parse_name(measure)?,
            comparison: parse_name(comparison)?,
            bound,
        })
    }

    /// Returns whether the measured value satisfies the bound.
    pub fn holds(&self, measured: f64) -> bool {
        match self.comparison {
            Comparison::AtMost => measured <= self.bound,
            Comparison::AtLeast => measured >= self.bound,
            Comparison::Equal => measured == self.bound,
        }
    }
}

fn parse_name<'a, T: Deserialize<'a>>(name: &'a str) -> Result<T, String> {
    let text: StrDeserializer<'a, Error> = name.into_deserializer();
    T::deserialize(text).map_err(|error| error.to_string())
}

/// Input and result of a replay, from which the measures are computed.
pub struct ReplayMeasures<'a> {
    /// The trace, which defines the goodput window.
    pub trace: &'a RecordedTrace,
    /// The simulated requests and the parameters of the simulation.
    pub input: &'a ReplayInput,
    /// Result of the simulation.
    pub run: &'a RunResult,
}

impl ReplayMeasures<'_> {
    /// Computes a measure; some measures need another simulation of the same requests.
    pub fn value(&self, measure: Measure) -> f64 {
        let jobs = &self.input.jobs;
        let run = self.run;
        let shape = self.input.spec.shape;
        match measure {
            Measure::P99Ms => run.p99(jobs, |_| true) * 1e3,
            Measure::UrgentP99Ms => run.p99(jobs, is_urgent) * 1e3,
            Measure::P99OfCentral => {
                run.p99(jobs, |_| true) / run_central(shape, jobs).p99(jobs, |_| true)
            }
            Measure::ShortP99OfAlone => self.short_p99_of_alone(),
            Measure::InTime => run.answered_in_time(jobs, |_| true),
            Measure::UrgentInTime => run.answered_in_time(jobs, is_urgent),
            Measure::Goodput => {
                let (from, until) = self.goodput_window();
                run.useful_work(jobs, from, until) / (shape.capacity() * (until - from))
            }
            Measure::GoodputOfCentral => {
                let (from, until) = self.goodput_window();
                let central = run_central(shape, jobs).useful_work(jobs, from, until);
                run.useful_work(jobs, from, until) / central
            }
            Measure::Imbalance => run.imbalance(shape.agents, 0.0, self.last_arrival()),
            Measure::Duplicates => to_f64(run.duplicate_runs + run.duplicate_key_starts),
            Measure::NotRunThenRun => to_f64(run.refused_starts),
            Measure::Lost => self.lost(),
            Measure::BrokenFlows => self.broken_flows(),
            Measure::StartsWhileDraining => self.starts_while_draining(),
            Measure::RepeatedAnswers => to_f64(run.repeated_answers),
            // CAST: Traces have far fewer than 2^52 requests.
            Measure::MessagesPerRequest => to_f64(run.messages) / jobs.len() as f64,
        }
    }

    fn last_arrival(&self) -> Seconds {
        self.input.jobs.last().map_or(0.0, |job| job.arrival)
    }

    fn goodput_window(&self) -> (Seconds, Seconds) {
        let window = self.trace.header.goodput_window;
        window.map_or((0.0, self.last_arrival()), |window| {
            (to_seconds(window.from_us), to_seconds(window.until_us))
        })
    }

    fn short_p99_of_alone(&self) -> f64 {
        let jobs = &self.input.jobs;
        let is_short = |job: &TraceJob| job.class != TrafficClass::Bulk;
        let short: Vec<TraceJob> = jobs.iter().filter(|job| is_short(job)).cloned().collect();
        let alone = run_pool(&self.input.spec, &short).p99(&short, |_| true);
        self.run.p99(jobs, is_short) / alone
    }

    /// Returns whether a request counts as lost.
    ///
    /// [`JobOutcome::Unknown`] does not count: the caller gets a response, and this copy did not run.
    fn is_lost(outcome: &JobOutcome) -> bool {
        matches!(outcome, JobOutcome::Unfinished | JobOutcome::Failed)
    }

    fn lost(&self) -> f64 {
        let unplaced = self.trace.records.len() - self.input.jobs.len();
        // CAST: Traces have far fewer than 2^52 requests.
        (self.run.count(Self::is_lost) + unplaced) as f64
    }

    fn broken_flows(&self) -> f64 {
        let outcomes = self.input.flows.iter().zip(&self.run.outcomes);
        let lost = outcomes.filter(|(_, outcome)| Self::is_lost(outcome));
        let mut broken: HashSet<u32> = lost.map(|(flow, _)| *flow).collect();
        broken.extend(&self.input.unplaced_flows);
        // CAST: Traces have far fewer than 2^52 flows.
        broken.len() as f64
    }

    fn starts_while_draining(&self) -> f64 {
        let drain = self.input.spec.drain;
        let work = self.run.work.iter();
        let starts = work.filter(|(start, _, agent)| {
            drain.is_some_and(|(endpoint, at)| *agent == endpoint && *start > at)
        });
        // CAST: Traces have far fewer than 2^52 requests.
        starts.count() as f64
    }
}

fn to_f64(count: u64) -> f64 {
    // CAST: Counts of a trace are far below 2^52.
    count as f64
}

fn is_urgent(job: &TraceJob) -> bool {
    job.class == TrafficClass::Urgent
}
