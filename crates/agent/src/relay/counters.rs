//! What an agent of the relay counts.

use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, Result};

/// Upper bounds of the histogram of answers, in seconds.
const ANSWER_BUCKETS: [f64; 11] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// Counters of the traffic threads.
#[derive(Clone, Debug)]
pub(super) struct AgentCounters {
    /// Packets by what was done with them.
    pub(super) packets: IntCounterVec,
    /// Datagrams that could not be decoded, by reason.
    pub(super) malformed: IntCounterVec,
    /// Time from a request's first packet to the first packet of its answer.
    pub(super) answers: Histogram,
    /// Open flows.
    pub(super) flows: IntGauge,
    /// Requests in progress.
    pub(super) busy: IntGauge,
}

impl AgentCounters {
    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// The registry has metrics of these names already.
    pub(super) fn new(registry: &Registry) -> Result<Self> {
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let options = HistogramOpts::new(
            "quetzalhill_relay_answer_seconds",
            "Time from the first packet of a request to the first of its answer, in seconds.",
        );
        let answers = Histogram::with_opts(options.buckets(ANSWER_BUCKETS.to_vec()))?;
        registry.register(Box::new(answers.clone()))?;
        Ok(Self {
            packets: counter(
                "quetzalhill_relay_packets_total",
                "Packets by what was done with them.",
                "verdict",
            )?,
            malformed: counter(
                "quetzalhill_relay_malformed_total",
                "Datagrams that could not be decoded.",
                "reason",
            )?,
            answers,
            flows: gauge("quetzalhill_relay_flows", "Open flows of the upstream.")?,
            busy: gauge(
                "quetzalhill_relay_requests",
                "Requests in progress at the upstream.",
            )?,
        })
    }
}
