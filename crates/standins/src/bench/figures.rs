//! Measured figures of each policy and the targets that they have to meet.

use super::BenchPolicy;
use serde::Serialize;

/// Answers during one interval of the overload phase, as a point of a plot over time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct OverloadPoint {
    /// End of the interval, in seconds since the phase began.
    pub at_s: f64,
    /// Urgent requests that were answered within their deadline in the interval.
    pub urgent: u64,
    /// Standard requests that were answered within their deadline in the interval.
    pub standard: u64,
}

/// Figures of one policy; latencies are in milliseconds and shares from 0 to 1.
///
/// Load 1 is the capacity of the service. The fields that start with `crest` belong to the overload phase, in which
/// the load is 3 times the capacity.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyFigures {
    /// Policy under which the figures were measured.
    pub policy: BenchPolicy,
    /// 99th percentile of the latency at 0.8 load.
    pub p99_80_ms: f64,
    /// 99th percentile of the latency at 0.9 load.
    pub p99_90_ms: f64,
    /// 99th percentile of the latency of short requests when no long ones are sent.
    pub short_alone_ms: f64,
    /// 99th percentile of the latency of short requests when long ones occupy slots as well.
    pub short_mixed_ms: f64,
    /// Work of the busiest endpoint divided by the mean over all endpoints, at 0.7 load.
    pub imbalance: f64,
    /// Work of each endpoint at 0.7 load, in milliseconds.
    pub endpoint_work_ms: Vec<u64>,
    /// Share of urgent requests that were answered within their deadline during overload.
    pub crest_urgent: f64,
    /// Work of completely answered requests divided by the capacity, during overload.
    pub crest_useful: f64,
    /// Answers within their deadline over time, during overload.
    pub crest_points: Vec<OverloadPoint>,
    /// Seconds from the end of the overload until the 99th percentile is at most a tenth above its value before.
    pub recovery_s: f64,
    /// Attempts beyond the first, divided by requests, while every third endpoint fails.
    pub extra_attempts: Option<f64>,
    /// Share of requests that end with an error or an unknown outcome because one endpoint fails them while it passes
    /// health checks, without the first 2 s.
    pub lying_lost: Option<f64>,
    /// Sessions, requests and streams broken by planned changes.
    pub broken_flows: Option<u64>,
    /// Sessions opened until the end of the planned changes, and streams open during them.
    pub flows: Option<u64>,
    /// Cumulative distribution of the latency at 0.7 load: milliseconds and share of requests.
    pub distribution: Vec<(f64, f64)>,
}

impl PolicyFigures {
    /// Returns figures without measurements: NaN misses every target, and `None` adds no row.
    pub fn new(policy: BenchPolicy) -> Self {
        Self {
            policy,
            p99_80_ms: f64::NAN,
            p99_90_ms: f64::NAN,
            short_alone_ms: f64::NAN,
            short_mixed_ms: f64::NAN,
            imbalance: f64::NAN,
            endpoint_work_ms: Vec::new(),
            crest_urgent: f64::NAN,
            crest_useful: f64::NAN,
            crest_points: Vec::new(),
            recovery_s: f64::NAN,
            extra_attempts: None,
            lying_lost: None,
            broken_flows: None,
            flows: None,
            distribution: Vec::new(),
        }
    }
}

/// Target of a measure: a lower or an upper bound.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetBound {
    /// The measure must not be less than this.
    AtLeast(f64),
    /// The measure must not be greater than this.
    AtMost(f64),
}

impl TargetBound {
    /// Returns whether `value` meets the target; NaN, which stands for a value that was not measured, does not.
    pub fn is_met(self, value: f64) -> bool {
        match self {
            TargetBound::AtLeast(bound) => value >= bound,
            TargetBound::AtMost(bound) => value <= bound,
        }
    }

    /// Returns the bound as text for reports, such as `<= 1.1`.
    pub fn format_bound(self) -> String {
        match self {
            TargetBound::AtLeast(bound) => format!(">= {bound}"),
            TargetBound::AtMost(bound) => format!("<= {bound}"),
        }
    }
}

/// One row of the report: a measure of one policy and its target.
#[derive(Clone, Debug, Serialize)]
pub struct MeasureRow {
    /// Name of the policy.
    pub policy: &'static str,
    /// Name of the measure, with the conditions under which it was taken.
    pub measure: &'static str,
    /// Measured value.
    pub value: f64,
    /// Bound that the value has to keep.
    pub target: TargetBound,
    /// Whether the value keeps the bound.
    pub ok: bool,
}

/// Returns the report rows of one policy; some measures are ratios to the figures of the central queue.
pub fn measure_rows(figures: &PolicyFigures, central: &PolicyFigures) -> Vec<MeasureRow> {
    let policy = figures.policy.name();
    let mut rows = Vec::new();
    let mut add = |measure, value: f64, target: TargetBound| {
        rows.push(MeasureRow {
            policy,
            measure,
            value,
            target,
            ok: target.is_met(value),
        });
    };
    add(
        "p99 at 0.8 load / central",
        figures.p99_80_ms / central.p99_80_ms,
        TargetBound::AtMost(1.10),
    );
    add(
        "p99 at 0.9 load / central",
        figures.p99_90_ms / central.p99_90_ms,
        TargetBound::AtMost(1.10),
    );
    let mixed_over_alone = figures.short_mixed_ms / figures.short_alone_ms;
    add(
        "p99 of short behind long / short alone",
        mixed_over_alone,
        TargetBound::AtMost(1.15),
    );
    add(
        "busiest endpoint / mean, 0.7 load",
        figures.imbalance,
        TargetBound::AtMost(1.10),
    );
    add(
        "urgent in time at the crest",
        figures.crest_urgent,
        TargetBound::AtLeast(0.999),
    );
    add(
        "useful work at the crest / capacity",
        figures.crest_useful,
        TargetBound::AtLeast(0.95),
    );
    let useful_over_central = figures.crest_useful / central.crest_useful;
    add(
        "useful work at the crest / central",
        useful_over_central,
        TargetBound::AtLeast(0.95),
    );
    add(
        "seconds until p99 is back",
        figures.recovery_s,
        TargetBound::AtMost(2.0),
    );
    if let Some(value) = figures.extra_attempts {
        add(
            "extra attempts, every third fails",
            value,
            TargetBound::AtMost(0.10),
        );
    }
    if let Some(value) = figures.lying_lost {
        add(
            "lost to a failing endpoint after 2 s",
            value,
            TargetBound::AtMost(0.001),
        );
    }
    if let Some(value) = figures.broken_flows {
        // CAST: Counts of broken flows are small.
        add(
            "flows broken by planned changes",
            value as f64,
            TargetBound::AtMost(0.0),
        );
    }
    rows
}
