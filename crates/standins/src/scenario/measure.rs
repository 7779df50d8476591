//! Names, units and subjects of the measures that `expect` compares.

use super::values::{parse_duration, parse_share};
use std::str::FromStr;

/// What `--of` of a measure may name, and what the measure covers without it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeasureSubject {
    /// A load or streams, or all of them together.
    Load,
    /// A load, streams or sessions, or all of them together.
    Sessions,
    /// An endpoint or a service, or all endpoints together.
    Upstream,
    /// A service; `--of` is required.
    Service,
    /// A node, or all nodes in service.
    Node,
    /// A node; `--of` is required.
    OneNode,
    /// The whole scenario; `--of` is not allowed.
    Whole,
}

/// Unit of a measure, which decides how its values are read and printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeasureUnit {
    /// A plain number: a count or a ratio.
    Count,
    /// A share, written as 0 to 1 or as a percentage.
    Share,
    /// A duration, kept in seconds.
    Time,
}

macro_rules! measures {
    ($($variant:ident, $name:literal, $subject:ident, $unit:ident, $text:literal;)*) => {
        /// A measure that `expect` compares with a value.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum MeasureName {
            $(#[doc = $text] $variant,)*
        }

        impl MeasureName {
            /// All measures, in the order of the table in docs/scenarios.md.
            pub const ALL: &[MeasureName] = &[$(MeasureName::$variant),*];

            /// Returns the name of the measure in scenario files.
            pub fn name(self) -> &'static str {
                match self { $(MeasureName::$variant => $name),* }
            }

            /// Returns what `--of` may name.
            pub fn subject(self) -> MeasureSubject {
                match self { $(MeasureName::$variant => MeasureSubject::$subject),* }
            }

            /// Returns the unit of the values.
            pub fn unit(self) -> MeasureUnit {
                match self { $(MeasureName::$variant => MeasureUnit::$unit),* }
            }
        }
    };
}

measures! {
    Requests, "requests", Load, Count, "Requests sent.";
    Ok, "ok", Load, Count, "Complete answers.";
    OkShare, "ok-share", Load, Share, "Share of requests with a complete answer.";
    InTimeShare, "in-time-share", Load, Share, "Share of requests with a complete answer within the timeout.";
    NotRun, "not-run", Load, Count, "Requests that were not run.";
    Unknown, "unknown", Load, Count, "Requests that may or may not have run.";
    Wrong, "wrong", Load, Count, "Answers that belong to another request or service.";
    Failed, "failed", Load, Count, "Errors of the service.";
    Broken, "broken", Load, Count, "Requests lost with their connection.";
    P50, "p50", Load, Time, "Median latency of complete answers.";
    P99, "p99", Load, Time, "99th percentile of the latency of complete answers.";
    BrokenFlows, "broken-flows", Sessions, Count, "Sessions that were lost.";
    MovedFlows, "moved-flows", Sessions, Count, "Sessions that the service drained and callers replaced.";
    Flows, "flows", Sessions, Count, "Sessions opened.";
    Duplicates, "duplicates", Whole, Count, "Runs of requests beyond the first, over all upstreams.";
    FalseNotRun, "false-not-run", Whole, Count, "Requests that were reported to callers as not run but did run.";
    Runs, "runs", Upstream, Count, "Requests that arrived at upstreams.";
    Finished, "finished", Upstream, Count, "Requests that upstreams finished.";
    Cancelled, "cancelled", Upstream, Count, "Requests whose connection closed before their end.";
    Running, "running", Upstream, Count, "Requests that upstreams are running now.";
    MostRunning, "most-running", Upstream, Count, "Most requests that one upstream ran at the same time.";
    Imbalance, "imbalance", Service, Count, "Arrivals at the busiest endpoint over the mean of the service.";
    Revision, "revision", Node, Count, "Lowest catalogue revision in force on the nodes.";
    Ready, "ready", Service, Count, "Endpoints that an entry counts as ready; the lowest count of all entries.";
    ExitStatus, "exit-status", OneNode, Count, "Exit status of a process that has ended; 128 plus the signal's number if a signal ended it.";
    Accepted, "accepted", Whole, Count, "Catalogue changes that were accepted after the start.";
    LostRaces, "lost-races", Whole, Count, "Catalogue changes that lost a race against another.";
    Refused, "refused", Whole, Count, "Catalogue changes that failed before anything was written.";
    Doubtful, "doubtful", Whole, Count, "Catalogue changes with an unknown outcome.";
}

impl FromStr for MeasureName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|measure| measure.name() == text);
        found.copied().ok_or_else(|| {
            let names: Vec<&str> = Self::ALL.iter().map(|measure| measure.name()).collect();
            format!("expected one of {}", names.join(", "))
        })
    }
}

impl MeasureName {
    /// Parses a value in the unit of the measure; durations become seconds.
    ///
    /// # Errors
    ///
    /// Returns the allowed forms.
    pub fn parse_value(self, text: &str) -> Result<f64, String> {
        match self.unit() {
            MeasureUnit::Share => parse_share(text),
            MeasureUnit::Time => parse_duration(text).map(|time| time.as_secs_f64()),
            MeasureUnit::Count => match text.parse::<f64>() {
                Ok(value) if value.is_finite() => Ok(value),
                _ => Err("expected a number".into()),
            },
        }
    }

    /// Formats a value in the unit of the measure; times in milliseconds.
    pub fn format_value(self, value: f64) -> String {
        match self.unit() {
            MeasureUnit::Time => format!("{:.1}ms", value * 1e3),
            MeasureUnit::Share => format!("{:.2}%", value * 100.0),
            MeasureUnit::Count => match value.fract() == 0.0 {
                true => format!("{value:.0}"),
                false => format!("{value:.2}"),
            },
        }
    }
}
