//! Stated outcomes and the measures that they bound.

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

/// What a stated outcome bounds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// 99th percentile of the latency of answered requests, in milliseconds.
    P99Ms,
    /// The same for urgent requests.
    UrgentP99Ms,
    /// `p99_ms` over that of a central queue.
    P99OfCentral,
    /// p99 of requests that are not bulk over their p99 without the bulk requests.
    ShortP99OfAlone,
    /// Share of the requests answered within their deadline.
    InTime,
    /// The same for urgent requests.
    UrgentInTime,
    /// Work of requests answered in time, over the capacity of the goodput window.
    Goodput,
    /// Work of requests answered in time, over that of a central queue, in the goodput window.
    GoodputOfCentral,
    /// Busiest endpoint's work over the mean.
    Imbalance,
    /// Keyed requests and attempts that were started more than once.
    Duplicates,
    /// Requests that were refused as not run and were started.
    NotRunThenRun,
    /// Requests that were never answered or refused, or failed.
    Lost,
    /// Flows that no agent took or that lost a request.
    BrokenFlows,
    /// Requests that a draining endpoint started.
    StartsWhileDraining,
    /// Copies that were answered with the outcome of another copy.
    RepeatedAnswers,
    /// Messages between agents for each request.
    MessagesPerRequest,
}

/// How a measure is compared with its bound.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub enum Comparison {
    /// At most the bound.
    #[serde(rename = "<=")]
    AtMost,
    /// At least the bound.
    #[serde(rename = ">=")]
    AtLeast,
    /// Exactly the bound.
    #[serde(rename = "==")]
    Equal,
}

/// An outcome that a trace states.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpectedOutcome {
    /// Text of the statement.
    pub text: String,
    /// What is bounded.
    pub measure: Measure,
    /// How it is bounded.
    pub comparison: Comparison,
    /// The bound.
    pub bound: f64,
}

impl ExpectedOutcome {
    /// Reads a statement such as `p99_ms <= 130`.
    ///
    /// # Errors
    ///
    /// Returns what is wrong.
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

    /// Returns whether the measure satisfies the statement.
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

/// A finished replay, from which measures are taken.
pub struct ReplayMeasures<'a> {
    /// The trace.
    pub trace: &'a RecordedTrace,
    /// What the pool received.
    pub input: &'a ReplayInput,
    /// What became of it.
    pub run: &'a RunResult,
}

impl ReplayMeasures<'_> {
    /// Returns a measure.
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

    /// Returns whether a request has neither an answer nor a refusal.
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
