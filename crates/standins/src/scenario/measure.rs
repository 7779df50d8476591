//! Names, units and subjects of the measures that `expect` compares.

use super::values::{parse_duration, parse_share};
use std::str::FromStr;

/// What a measure is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeasureSubject {
    /// A load, or all loads together.
    Load,
    /// A set of sessions or of streams or a load, or all of them together.
    Sessions,
    /// An endpoint or a service, or all endpoints together.
    Upstream,
    /// A service.
    Service,
    /// A node, or all nodes that run.
    Node,
    /// One node.
    OneNode,
    /// The whole file; takes no `--of`.
    Whole,
}

/// How the value of a measure is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MeasureUnit {
    /// A number.
    Count,
    /// 0 to 1, or a percentage.
    Share,
    /// A duration.
    Time,
}

macro_rules! measures {
    ($($variant:ident, $name:literal, $subject:ident, $unit:ident, $text:literal;)*) => {
        /// A measure.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum MeasureName {
            $(#[doc = $text] $variant,)*
        }

        impl MeasureName {
            /// All measures.
            pub const ALL: &[MeasureName] = &[$(MeasureName::$variant),*];

            /// Returns the name in scenario files.
            pub fn name(self) -> &'static str {
                match self { $(MeasureName::$variant => $name),* }
            }

            /// Returns what the measure is about.
            pub fn subject(self) -> MeasureSubject {
                match self { $(MeasureName::$variant => MeasureSubject::$subject),* }
            }

            /// Returns how values are written.
            pub fn unit(self) -> MeasureUnit {
                match self { $(MeasureName::$variant => MeasureUnit::$unit),* }
            }
        }
    };
}

measures! {
    Requests, "requests", Load, Count, "Requests sent.";
    Ok, "ok", Load, Count, "Whole answers.";
    OkShare, "ok-share", Load, Share, "Whole answers over requests.";
    InTimeShare, "in-time-share", Load, Share, "Whole answers within the timeout over requests.";
    NotRun, "not-run", Load, Count, "Requests that were not run.";
    Unknown, "unknown", Load, Count, "Requests of which nobody can say whether they ran.";
    Wrong, "wrong", Load, Count, "Answers that belong to another request or service.";
    Failed, "failed", Load, Count, "Errors of the service.";
    Broken, "broken", Load, Count, "Requests lost with their connection.";
    P50, "p50", Load, Time, "Median latency of whole answers.";
    P99, "p99", Load, Time, "Latency that 99 % of the whole answers stay under.";
    BrokenFlows, "broken-flows", Sessions, Count, "Sessions that were lost.";
    MovedFlows, "moved-flows", Sessions, Count, "Sessions that were asked to move and were replaced.";
    Flows, "flows", Sessions, Count, "Sessions opened.";
    Duplicates, "duplicates", Whole, Count, "Runs of requests beyond the first, over all upstreams.";
    FalseNotRun, "false-not-run", Whole, Count, "Requests that callers were told were not run and that did run.";
    Runs, "runs", Upstream, Count, "Requests that arrived at upstreams.";
    Finished, "finished", Upstream, Count, "Requests that upstreams finished.";
    Cancelled, "cancelled", Upstream, Count, "Requests whose connection closed before their end.";
    Running, "running", Upstream, Count, "Requests that upstreams run now.";
    MostRunning, "most-running", Upstream, Count, "Most requests that one upstream ran at the same time.";
    Imbalance, "imbalance", Service, Count, "Busiest endpoint's arrivals over the mean of the service.";
    Revision, "revision", Node, Count, "Lowest catalogue revision in force on the nodes.";
    Ready, "ready", Service, Count, "Fewest endpoints that an entry counts as ready.";
    ExitStatus, "exit-status", OneNode, Count, "Exit status of a process that has ended; 128 and the signal's number after a signal.";
    Accepted, "accepted", Whole, Count, "Catalogue changes that were accepted after the start.";
    LostRaces, "lost-races", Whole, Count, "Catalogue changes that lost a race against another.";
    Refused, "refused", Whole, Count, "Catalogue changes of which nothing was written because of an error.";
    Doubtful, "doubtful", Whole, Count, "Catalogue changes that ended with an unknown outcome.";
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
    /// Reads a value in the unit of the measure; times become seconds.
    ///
    /// # Errors
    ///
    /// Says what is allowed.
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

    /// Returns a value as text.
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
