//! What a simulation plays, and what comes out.

use quetzalhill_core::relay::chain::{ChainPolicy, DeliverReason, RelayVerdict, ResetReason};
use std::collections::BTreeMap;
use std::time::Duration;

/// One service of a plan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServicePlan {
    pub(crate) name: &'static str,
    pub(crate) endpoints: usize,
    pub(crate) slots: u32,
    /// Requests that wait at an upstream; it refuses further ones.
    pub(crate) queue_max: usize,
    pub(crate) cold_rate: Option<f64>,
}

/// One kind of request, which has a route of its own.
#[derive(Clone, Debug)]
pub(crate) struct KindPlan {
    pub(crate) shares: Vec<(&'static str, u32)>,
    pub(crate) work_ms: f64,
    pub(crate) target: Duration,
    pub(crate) timeout: Duration,
    pub(crate) rate_per_s: f64,
    /// Requests that arrive within the first 50 ms.
    pub(crate) returning: usize,
}

/// What a simulation plays.
#[derive(Clone, Debug)]
pub(crate) struct SurgePlan {
    pub(crate) policy: ChainPolicy,
    pub(crate) entries: usize,
    pub(crate) services: Vec<ServicePlan>,
    pub(crate) kinds: Vec<KindPlan>,
    pub(crate) length: Duration,
    /// Time over which the agents come up, and for which their upstreams are cold then.
    pub(crate) start_spread: Duration,
    pub(crate) cold_time: Duration,
    /// Share of the packets between entries and agents, and to callers, that are lost.
    pub(crate) loss: f64,
}

/// What callers and upstreams saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct SurgeResult {
    /// Latency of each request by kind; `None` if it was not answered before its timeout.
    pub(crate) latencies: Vec<(usize, Option<Duration>)>,
    /// Requests refused by an upstream whose queue was full.
    pub(crate) queue_refusals: usize,
    /// Verdicts of the chains by name.
    pub(crate) verdicts: BTreeMap<&'static str, usize>,
    /// Times of the first packets at each upstream.
    pub(crate) first_packets: Vec<Vec<Duration>>,
    /// Flows that were reset although an upstream accepted them.
    pub(crate) false_resets: usize,
    /// Longest time from an original first packet to the reset of its flow.
    pub(crate) longest_refusal: Duration,
}

impl SurgeResult {
    /// Returns the share of the requests of `kind` that were answered within `limit`.
    pub(crate) fn share_within(&self, kind: usize, limit: Duration) -> f64 {
        let of_kind = self.latencies.iter().filter(|(of, _)| *of == kind);
        let all = of_kind.clone().count();
        let good = of_kind.filter(|(_, latency)| latency.is_some_and(|latency| latency <= limit));
        // CAST: Counts are far below 2^52.
        good.count() as f64 / all.max(1) as f64
    }

    pub(crate) fn count(&self, verdict: &str) -> usize {
        self.verdicts.get(verdict).copied().unwrap_or(0)
    }
}

pub(super) fn verdict_name(verdict: &RelayVerdict) -> &'static str {
    match verdict {
        RelayVerdict::Deliver { targets, reason } => match reason {
            DeliverReason::Spilled => "spilled",
            _ if targets[0].forced => "forced",
            _ => "placed",
        },
        RelayVerdict::Reset(ResetReason::Hopeless) => "hopeless",
        RelayVerdict::Reset(_) => "reset",
        RelayVerdict::Hold(_) => "held",
        RelayVerdict::Drop(_) => "dropped",
    }
}
