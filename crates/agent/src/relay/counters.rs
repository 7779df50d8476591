//! Metrics of the agent for opaque flows.

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry,
    Result,
};
use quetzalhill_core::relay::pace::EndpointPace;
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
    /// Time from the delivery of a request's first packet to the first packet of its answer, in seconds.
    pub(super) answers: Histogram,
    /// Era of the store and its restores.
    pub(super) era: EraCounters,
    /// Reports to entries.
    pub(super) notices: NoticeCounters,
    /// Open flows of the upstream.
    pub(super) flows: IntGauge,
    /// Requests in progress at the upstream, and held ones.
    pub(super) busy: IntGauge,
    /// Requests that wait at the agent.
    pub(super) held: IntGauge,
    /// Time for which requests were held until they were delivered, by priority, in seconds.
    pub(super) held_times: HistogramVec,
    /// Requests that were held or for which the queue had no room, by what became of them.
    pub(super) scheduled: IntCounterVec,
    /// Average service time of the upstream in seconds, by service address.
    pub(super) service_times: GaugeVec,
    /// Requests in progress at which new flows are returned.
    pub(super) window: IntGauge,
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
            "Time from the delivery of a request's first packet to the first of its answer, in seconds.",
        );
        let answers = Histogram::with_opts(options.buckets(ANSWER_BUCKETS.to_vec()))?;
        registry.register(Box::new(answers.clone()))?;
        let options = HistogramOpts::new(
            "quetzalhill_relay_held_seconds",
            "Time for which requests were held until they were delivered, in seconds.",
        );
        let options = options.buckets(ANSWER_BUCKETS.to_vec());
        let held_times = HistogramVec::new(options, &["priority"])?;
        registry.register(Box::new(held_times.clone()))?;
        let times = Opts::new(
            "quetzalhill_relay_service_seconds",
            "Average time from the start of a request at the upstream to its answer, in seconds.",
        );
        let service_times = GaugeVec::new(times, &["address"])?;
        registry.register(Box::new(service_times.clone()))?;
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
                "Requests in progress at the upstream or held.",
            )?,
            held: gauge(
                "quetzalhill_relay_held_requests",
                "Requests that wait at the agent.",
            )?,
            held_times,
            scheduled: counter(
                "quetzalhill_relay_scheduled_total",
                "Requests that were held, and what became of them.",
                "outcome",
            )?,
            service_times,
            window: gauge(
                "quetzalhill_relay_window",
                "Requests in progress at which new flows are returned; 0 if not measured.",
            )?,
        })
    }

    /// Sets the gauges of the upstream's pace. Addresses without a current average have none.
    pub(super) fn set_pace(&self, pace: &EndpointPace) {
        self.window.set(pace.window.into());
        self.service_times.reset();
        for time in &pace.service_times {
            let gauge = self
                .service_times
                .with_label_values(&[&time.address.to_string()]);
            gauge.set(time.average.as_secs_f64());
        }
    }
}
