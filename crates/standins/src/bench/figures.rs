//! Figures of one policy and their targets.

use super::BenchPolicy;
use serde::Serialize;

/// One point of a plot over time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CrestPoint {
    /// Seconds since the phase began.
    pub at_s: f64,
    /// Urgent answers within their deadline in the last interval.
    pub urgent: u64,
    /// Standard answers within their deadline in the last interval.
    pub standard: u64,
}

/// Everything that was measured of one policy; latencies in milliseconds, shares from 0 to 1.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyFigures {
    /// The policy.
    pub policy: BenchPolicy,
    /// 99th percentile at 0.8 load.
    pub p99_80_ms: f64,
    /// 99th percentile at 0.9 load.
    pub p99_90_ms: f64,
    /// 99th percentile of short requests without long ones.
    pub short_alone_ms: f64,
    /// 99th percentile of short requests with long ones.
    pub short_mixed_ms: f64,
    /// Work of the busiest endpoint over the mean.
    pub imbalance: f64,
    /// Milliseconds of work of each endpoint in the imbalance phase.
    pub endpoint_work_ms: Vec<u64>,
    /// Share of urgent requests answered within their deadline at the crest.
    pub crest_urgent: f64,
    /// Work in answers within their deadline over the capacity, at the crest.
    pub crest_useful: f64,
    /// The crest over time.
    pub crest_points: Vec<CrestPoint>,
    /// Seconds until the 99th percentile is back after the crest.
    pub recovery_s: f64,
    /// Extra attempts over requests while every third endpoint fails.
    pub extra_attempts: Option<f64>,
    /// Share of requests lost to one failing endpoint after 2 s.
    pub lying_lost: Option<f64>,
    /// Flows broken by planned changes.
    pub broken_flows: Option<u64>,
    /// Flows and streams open during planned changes.
    pub flows: Option<u64>,
    /// Cumulative distribution of latency at 0.8 load: milliseconds and share.
    pub distribution: Vec<(f64, f64)>,
}

impl PolicyFigures {
    /// Makes figures of a policy of which nothing has been measured.
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

/// How a measure is compared with its target.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetBound {
    /// The measure has to be at least this.
    AtLeast(f64),
    /// The measure may be at most this.
    AtMost(f64),
}

impl TargetBound {
    /// Returns whether `value` meets the target; a value that was not measured does not.
    pub fn is_met(self, value: f64) -> bool {
        match self {
            TargetBound::AtLeast(bound) => value >= bound,
            TargetBound::AtMost(bound) => value <= bound,
        }
    }

    /// Returns the target as text.
    pub fn text(self) -> String {
        match self {
            TargetBound::AtLeast(bound) => format!(">= {bound}"),
            TargetBound::AtMost(bound) => format!("<= {bound}"),
        }
    }
}

/// One row of the report.
#[derive(Clone, Debug, Serialize)]
pub struct MeasureRow {
    /// Policy that was measured.
    pub policy: &'static str,
    /// What was measured.
    pub measure: &'static str,
    /// Value seen.
    pub value: f64,
    /// Target of the value.
    pub target: TargetBound,
    /// Whether the target is met.
    pub ok: bool,
}

/// Returns the rows of one policy, compared with those of the central queue.
pub fn rows_of(figures: &PolicyFigures, central: &PolicyFigures) -> Vec<MeasureRow> {
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
    let mixed = figures.short_mixed_ms / figures.short_alone_ms;
    add(
        "p99 of short behind long / short alone",
        mixed,
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
    let against = figures.crest_useful / central.crest_useful;
    add(
        "useful work at the crest / central",
        against,
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
