//! Parsers of the values in scenario files: durations, shares, rates, work, limits, names of nodes and comparisons.

use crate::deployment::ServicePlan;
use crate::upstream::UpstreamMode;
use crate::workload::WorkShape;
use quetzalhill_core::catalogue::{LimitSet, PathClass, TrafficClass};
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::str::FromStr;
use std::time::Duration;

/// Longest duration that a scenario file may contain.
const DURATION_MAX: Duration = Duration::from_secs(600);

/// Allowed forms of a duration, for error messages.
const DURATION_FORMS: &str = "a duration such as 500us, 500ms, 2s, 1.5s or 1m, at most 10m";

/// Allowed forms of the work of requests, for error messages.
const WORK_FORMS: &str = "20ms (always), exp:20ms (exponential with this mean) or mix:20ms,5%,50 \
                          (mean of the short ones, share of the long ones, how many times as long)";

/// Allowed forms of the name of a node, for error messages.
const NODE_FORMS: &str = "entry:N or agent:SERVICE:N, counted from 0";

/// Comparison operators of `expect`, for error messages.
const COMPARISON_FORMS: &str = "==, !=, <, <=, > or >=";

/// Parses a duration of at most 10 minutes, such as `1.5s`.
///
/// # Errors
///
/// Returns the allowed forms.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let invalid = || format!("expected {DURATION_FORMS}");
    let split = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .ok_or_else(invalid)?;
    let (number, unit) = text.split_at(split);
    let number: f64 = number.parse().map_err(|_| invalid())?;
    let seconds = match unit {
        "us" => number / 1e6,
        "ms" => number / 1e3,
        "s" => number,
        "m" => number * 60.0,
        _ => return Err(invalid()),
    };
    match Duration::try_from_secs_f64(seconds) {
        Ok(duration) if duration <= DURATION_MAX => Ok(duration),
        _ => Err(invalid()),
    }
}

/// Parses a share, 0 to 1 or 0% to 100%, and returns it as 0 to 1.
///
/// # Errors
///
/// Returns the allowed forms.
pub fn parse_share(text: &str) -> Result<f64, String> {
    let value = match text.strip_suffix('%') {
        Some(percent) => percent.parse::<f64>().map(|value| value / 100.0),
        None => text.parse::<f64>(),
    };
    match value {
        Ok(value) if (0.0..=1.0).contains(&value) => Ok(value),
        _ => Err("expected a share from 0 to 1, or from 0% to 100%".into()),
    }
}

/// Parses a rate in requests per second, above 0 and at most 20,000.
///
/// # Errors
///
/// Returns the allowed forms.
pub fn parse_rate(text: &str) -> Result<f64, String> {
    let number = text.strip_suffix("/s").unwrap_or(text);
    match number.parse::<f64>() {
        Ok(rate) if rate > 0.0 && rate <= 20_000.0 => Ok(rate),
        _ => Err("expected a rate such as 50 or 50/s, above 0 and at most 20000".into()),
    }
}

/// Parses the distribution of the work of requests, such as `exp:20ms`.
///
/// # Errors
///
/// Returns the allowed forms.
pub fn parse_work(text: &str) -> Result<WorkShape, String> {
    let invalid = || format!("expected {WORK_FORMS}");
    let ms = |text: &str| match parse_duration(text) {
        Ok(duration) => Ok(duration.as_secs_f64() * 1e3),
        Err(_) => Err(invalid()),
    };
    if let Some(mean) = text.strip_prefix("exp:") {
        return Ok(WorkShape::Exponential(ms(mean)?));
    }
    let Some(mix) = text.strip_prefix("mix:") else {
        // CAST: Durations are at most ten minutes.
        return Ok(WorkShape::Fixed(ms(text)?.round() as u32));
    };
    let parts: Vec<&str> = mix.split(',').collect();
    let [mean, share, factor] = parts.as_slice() else {
        return Err(invalid());
    };
    let factor: f64 = factor.parse().map_err(|_| invalid())?;
    if !(1.0..=1e6).contains(&factor) {
        return Err(invalid());
    }
    Ok(WorkShape::Bimodal {
        mean_ms: ms(mean)?,
        long_share: parse_share(share)?,
        factor,
    })
}

/// Parses a traffic class by its name in the catalogue.
///
/// # Errors
///
/// Returns the allowed forms.
pub fn parse_class(text: &str) -> Result<TrafficClass, String> {
    let found = TrafficClass::ALL.iter().find(|class| class.name() == text);
    found
        .copied()
        .ok_or_else(|| "expected urgent, standard or bulk".into())
}

/// Parses the traffic class of a path prefix, such as `/edit=standard`.
///
/// # Errors
///
/// Returns the allowed forms.
pub fn parse_path_class(text: &str) -> Result<PathClass, String> {
    let Some((prefix, class)) = text.split_once('=') else {
        return Err("expected PREFIX=CLASS, such as /edit=standard".into());
    };
    if !prefix.starts_with('/') {
        return Err("expected a prefix that starts with /, such as /edit=standard".into());
    }
    Ok(PathClass {
        prefix: prefix.into(),
        class: parse_class(class)?,
    })
}

/// Parses the behaviour of an upstream, such as `failing`.
///
/// # Errors
///
/// Returns the allowed forms.
pub fn parse_mode(text: &str) -> Result<UpstreamMode, String> {
    Ok(match text {
        "healthy" => UpstreamMode::Healthy,
        "failing" => UpstreamMode::Failing,
        "hanging" => UpstreamMode::Hanging,
        "truncating" => UpstreamMode::Truncating,
        "cold" => UpstreamMode::Cold,
        "draining" => UpstreamMode::Draining,
        _ => return Err("expected healthy, failing, hanging, truncating, cold or draining".into()),
    })
}

/// A limit of the catalogue with its value.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitValue {
    /// Name of the limit in scenario files. Names of times, such as `deadline`, contain no unit.
    pub name: String,
    /// Value: shares as 0 to 1, times in milliseconds, others as counts.
    pub value: f64,
}

impl FromStr for LimitValue {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let Some((name, value)) = text.split_once('=') else {
            return Err("expected NAME=VALUE, such as queue=100".into());
        };
        let limit = LimitValue {
            name: name.into(),
            value: parse_limit_value(name, value)?,
        };
        limit.set(&mut LimitSet::default())?;
        Ok(limit)
    }
}

fn parse_limit_value(name: &str, text: &str) -> Result<f64, String> {
    match name {
        "slot_share" | "retry_budget" => parse_share(text),
        "deadline" | "max_deadline" => parse_duration(text).map(|time| time.as_secs_f64() * 1e3),
        _ => text
            .parse::<u32>()
            .map(f64::from)
            .map_err(|_| format!("expected a whole number for {name}")),
    }
}

impl LimitValue {
    /// Sets the limit of this name in `limits`.
    ///
    /// # Errors
    ///
    /// The name is unknown; returns the allowed names.
    pub fn set(&self, limits: &mut LimitSet) -> Result<(), String> {
        // CAST: `parse_limit_value` allows only numbers that fit `u32`.
        let whole = self.value as u32;
        match self.name.as_str() {
            "flows" => limits.flows = whole,
            "new_flows_per_s" => limits.new_flows_per_s = whole,
            "in_flight" => limits.in_flight = whole,
            "queue" => limits.queue = whole,
            "slot_share" => limits.slot_share = self.value,
            "retry_budget" => limits.retry_budget = self.value,
            "deadline" => limits.deadline_ms = whole.into(),
            "max_deadline" => limits.max_deadline_ms = whole.into(),
            _ => {
                return Err(
                    "expected flows, new_flows_per_s, in_flight, queue, slot_share, retry_budget, \
                     deadline or max_deadline before the ="
                        .into(),
                )
            }
        }
        Ok(())
    }
}

/// Sets all `limits` in the plan of a service.
pub fn set_limits(plan: &mut ServicePlan, limits: &[LimitValue]) {
    for limit in limits {
        // The name is known: `LimitValue::from_str` has checked it.
        let _ = limit.set(&mut plan.limits);
    }
}

/// An endpoint: a service and the position of the endpoint in it, from 0.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointName {
    /// Name of the service; not empty and without `:`.
    pub service: String,
    /// Position among the endpoints of the service, from 0.
    pub index: usize,
}

impl FromStr for EndpointName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let parts = text.rsplit_once(':');
        let parsed = parts.and_then(|(service, index)| Some((service, index.parse().ok()?)));
        match parsed {
            Some((service, index)) if !service.is_empty() && !service.contains(':') => Ok(Self {
                service: service.into(),
                index,
            }),
            _ => Err("expected SERVICE:N, counted from 0, such as feed:0".into()),
        }
    }
}

impl Display for EndpointName {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        write!(f, "{}:{}", self.service, self.index)
    }
}

/// Name of a node's process: `entry:N` or `agent:SERVICE:N`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NodeName {
    /// The entry at this position, from 0.
    Entry(usize),
    /// The agent of this endpoint.
    Agent(EndpointName),
}

impl FromStr for NodeName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid = || format!("expected {NODE_FORMS}");
        let (kind, rest) = text.split_once(':').ok_or_else(invalid)?;
        match kind {
            "entry" => rest.parse().map(NodeName::Entry).map_err(|_| invalid()),
            "agent" => rest.parse().map(NodeName::Agent).map_err(|_| invalid()),
            _ => Err(invalid()),
        }
    }
}

impl Display for NodeName {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        match self {
            NodeName::Entry(index) => write!(f, "entry:{index}"),
            NodeName::Agent(endpoint) => write!(f, "agent:{endpoint}"),
        }
    }
}

/// Comparison operator of an expectation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ComparisonOperator {
    /// `==`
    Equal,
    /// `!=`
    Different,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    More,
    /// `>=`
    AtLeast,
}

impl FromStr for ComparisonOperator {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Ok(match text {
            "==" => ComparisonOperator::Equal,
            "!=" => ComparisonOperator::Different,
            "<" => ComparisonOperator::Less,
            "<=" => ComparisonOperator::AtMost,
            ">" => ComparisonOperator::More,
            ">=" => ComparisonOperator::AtLeast,
            _ => return Err(format!("expected {COMPARISON_FORMS}")),
        })
    }
}

impl Display for ComparisonOperator {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        f.write_str(match self {
            ComparisonOperator::Equal => "==",
            ComparisonOperator::Different => "!=",
            ComparisonOperator::Less => "<",
            ComparisonOperator::AtMost => "<=",
            ComparisonOperator::More => ">",
            ComparisonOperator::AtLeast => ">=",
        })
    }
}

impl ComparisonOperator {
    /// Returns whether the comparison holds for these operands, without tolerance.
    pub fn holds(self, actual: f64, expected: f64) -> bool {
        match self {
            ComparisonOperator::Equal => actual == expected,
            ComparisonOperator::Different => actual != expected,
            ComparisonOperator::Less => actual < expected,
            ComparisonOperator::AtMost => actual <= expected,
            ComparisonOperator::More => actual > expected,
            ComparisonOperator::AtLeast => actual >= expected,
        }
    }
}
