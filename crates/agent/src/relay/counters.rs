//! Metrics of the agent for opaque flows.

use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, Result};
use quetzalhill_node::relay::era::EraCounters;
use quetzalhill_node::relay::notices::NoticeCounters;

/// Upper bounds of the buckets of the answer time histogram, in seconds.
const ANSWER_BUCKETS: [f64; 11] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// Metrics that the traffic threads and the control thread update.
#[derive(Clone, Debug)]
pub(super) struct AgentCounters {
    /// Packets by verdict.
    pub(super) packets: IntCounterVec,
    /// Datagrams that could not be decoded, by reason.
    pub(super) malformed: IntCounterVec,
    /// Time from the first packet of a request to the first packet of its answer, in seconds.
    pub(super) answers: Histogram,
    /// Era of the store and its restores.
    pub(super) era: EraCounters,
    /// Reports to entries.
    pub(super) notices: NoticeCounters,
    /// Open flows of the upstream.
    pub(super) flows: IntGauge,
    /// Requests in progress at the upstream.
    pub(super) busy: IntGauge,
}

impl AgentCounters {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error if the registry already has a metric of one of these names.
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
                "Packets by verdict.",
                "verdict",
            )?,
            malformed: counter(
                "quetzalhill_relay_malformed_total",
                "Datagrams that could not be decoded.",
                "reason",
            )?,
            answers,
            era: EraCounters::new(registry)?,
            notices: NoticeCounters::new(registry)?,
            flows: gauge("quetzalhill_relay_flows", "Open flows of the upstream.")?,
            busy: gauge(
                "quetzalhill_relay_requests",
                "Requests in progress at the upstream.",
            )?,
        })
    }
}
