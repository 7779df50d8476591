//! Metrics of an entry of the relay.

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, Result,
};
use quetzalhill_core::relay::chain::{DeliverReason, RelayDrop, RelayVerdict, ResetReason};
use quetzalhill_core::relay::hold::HoldReason;
use quetzalhill_node::relay::era::EraCounters;
use quetzalhill_node::relay::notices::NoticeCounters;

/// Upper bounds of the buckets of the decision histogram, in seconds.
const DECISION_BUCKETS: [f64; 8] = [
    0.000_002, 0.000_005, 0.000_01, 0.000_02, 0.000_05, 0.000_1, 0.001, 0.01,
];

/// Upper bounds of the buckets of the time to catch up after an outage of the store, in seconds. They separate the bound
/// of three seconds for a change from a poll that stays unanswered, which takes 26 s.
const CATCH_UP_BUCKETS: [f64; 9] = [0.1, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 30.0, 60.0];

/// Metrics that the traffic threads and the control thread update.
#[derive(Clone, Debug)]
pub(super) struct RelayCounters {
    /// Packets by verdict.
    pub(super) packets: IntCounterVec,
    /// Datagrams that could not be decoded, by reason.
    pub(super) malformed: IntCounterVec,
    /// Keepalives to agents and messages to other entries.
    pub(super) notices: NoticeCounters,
    /// Records of the list of endpoints that could not be decoded; counted again with each read.
    pub(super) invalid_records: IntCounter,
    /// Packets that agents returned, by reason.
    pub(super) returned: IntCounterVec,
    /// Changes of the incarnation of an endpoint, by the source that told of it.
    pub(super) incarnations: IntCounterVec,
    /// Flows whose holder was dropped from the flow table, by what the view says of it.
    pub(super) dropped_holders: IntCounterVec,
    /// Open flows that were reset because their upstream had restarted, by where they were known from.
    pub(super) ended_flows: IntCounterVec,
    /// Time from the arrival of a packet to the end of its handling, in seconds.
    pub(super) decision: Histogram,
    /// Flows in the flow table.
    pub(super) flows: IntGauge,
    /// Revision of the routes in force.
    pub(super) revision: IntGauge,
    /// Availability zones that operators have evacuated.
    pub(super) evacuated_zones: IntGauge,
    /// Endpoints by status.
    pub(super) endpoints: prometheus::IntGaugeVec,
    /// Endpoints whose service times differ from the median of their service, by direction.
    pub(super) paced_endpoints: prometheus::IntGaugeVec,
    /// Calls to the store since the start, by kind.
    pub(super) store_calls: prometheus::IntGaugeVec,
    /// Failed calls to the store by range and end of the call.
    pub(super) store_failures: IntCounterVec,
    /// Store revision of the last answer, by range.
    pub(super) range_revision: prometheus::IntGaugeVec,
    /// Time since the store last confirmed a range, in seconds.
    pub(super) range_age: GaugeVec,
    /// Time from the last answer before an outage to the first answer after it, in seconds, by range.
    pub(super) store_catch_up: HistogramVec,
    /// Era of the store and its restores.
    pub(super) era: EraCounters,
    /// Routes from the store that were older than the ones in force, by the call that returned them.
    pub(super) older_routes: IntCounterVec,
}

impl RelayCounters {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// The registry already has metrics with these names.
    pub(super) fn new(registry: &Registry) -> Result<Self> {
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauges = |name: &str, help: &str, label: &str| {
            let gauges = prometheus::IntGaugeVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, prometheus::Error>(gauges)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let options = HistogramOpts::new(
            "quetzalhill_relay_decision_seconds",
            "Time from the arrival of a packet to the end of its handling, in seconds.",
        );
        let decision = Histogram::with_opts(options.buckets(DECISION_BUCKETS.to_vec()))?;
        registry.register(Box::new(decision.clone()))?;
        let invalid_records = IntCounter::new(
            "quetzalhill_relay_invalid_records_total",
            "Records of the list of endpoints that could not be decoded, counted with each read.",
        )?;
        registry.register(Box::new(invalid_records.clone()))?;
        let failures = Opts::new(
            "quetzalhill_store_failures_total",
            "Failed calls to the store by range and end of the call.",
        );
        let store_failures = IntCounterVec::new(failures, &["follows", "end"])?;
        registry.register(Box::new(store_failures.clone()))?;
        let age = Opts::new(
            "quetzalhill_store_range_age_seconds",
            "Time since the store last confirmed the range, in seconds.",
        );
        let range_age = GaugeVec::new(age, &["follows"])?;
        registry.register(Box::new(range_age.clone()))?;
        let options = HistogramOpts::new(
            "quetzalhill_store_catch_up_seconds",
            "Time from the last answer before an outage to the first one after it, in seconds.",
        );
        let options = options.buckets(CATCH_UP_BUCKETS.to_vec());
        let store_catch_up = HistogramVec::new(options, &["follows"])?;
        registry.register(Box::new(store_catch_up.clone()))?;
        Ok(Self {
            store_failures,
            range_age,
            store_catch_up,
            range_revision: gauges(
                "quetzalhill_store_range_revision",
                "Store revision of the last answer for the range.",
                "follows",
            )?,
            older_routes: counter(
                "quetzalhill_relay_older_routes_total",
                "Routes from the store that were older than the ones in force.",
                "source",
            )?,
            invalid_records,
            era: EraCounters::new(registry)?,
            notices: NoticeCounters::new(registry)?,
            packets: counter(
                "quetzalhill_relay_packets_total",
                "Packets of callers by verdict.",
                "verdict",
            )?,
            malformed: counter(
                "quetzalhill_relay_malformed_total",
                "Datagrams that could not be decoded.",
                "reason",
            )?,
            returned: counter(
                "quetzalhill_relay_returned_total",
                "Packets that agents returned.",
                "reason",
            )?,
            incarnations: counter(
                "quetzalhill_relay_incarnation_changes_total",
                "Changes of the incarnation of an endpoint.",
                "source",
            )?,
            dropped_holders: counter(
                "quetzalhill_relay_dropped_holders_total",
                "Flows whose holder was dropped from the flow table.",
                "state",
            )?,
            ended_flows: counter(
                "quetzalhill_relay_ended_flows_total",
                "Open flows that were reset because their upstream had restarted",
                "source",
            )?,
            decision,
            flows: gauge(
                "quetzalhill_relay_flows",
                "Flows in the flow table of the entry.",
            )?,
            revision: gauge(
                "quetzalhill_relay_route_revision",
                "Revision of the routes in force.",
            )?,
            evacuated_zones: gauge(
                "quetzalhill_relay_evacuated_zones",
                "Availability zones whose upstreams take no new flows because operators have evacuated them.",
            )?,
            endpoints: gauges(
                "quetzalhill_relay_endpoints",
                "Endpoints by status.",
                "status",
            )?,
            paced_endpoints: gauges(
                "quetzalhill_relay_paced_endpoints",
                "Endpoints whose service times differ from the median of their service.",
                "pace",
            )?,
            store_calls: gauges(
                "quetzalhill_store_calls",
                "Calls to the store since the start.",
                "kind",
            )?,
        })
    }
}

/// Sets a gauge to a count; a count above `i64::MAX` is shown as `i64::MAX`.
pub(super) fn set(gauge: &IntGauge, count: impl TryInto<i64>) {
    gauge.set(count.try_into().unwrap_or(i64::MAX));
}

/// Returns the name of a verdict in logs and metrics.
pub(super) fn verdict_name(verdict: &RelayVerdict) -> &'static str {
    match verdict {
        RelayVerdict::Deliver { reason, .. } => match reason {
            DeliverReason::Placed => "placed",
            DeliverReason::Spilled => "spilled",
            DeliverReason::TableHit => "remembered",
            DeliverReason::Queried => "asked",
        },
        RelayVerdict::Reset(reason) => match reason {
            ResetReason::NoRoute => "reset-no-route",
            ResetReason::Refused => "reset-refused",
            ResetReason::Hopeless => "reset-hopeless",
            ResetReason::Ended => "reset-ended",
        },
        RelayVerdict::Hold(HoldReason::Load) => "hold-load",
        RelayVerdict::Hold(HoldReason::Confirmation(_)) => "hold-confirmation",
        RelayVerdict::Hold(HoldReason::Routes(_)) => "hold-routes",
        RelayVerdict::Hold(HoldReason::Ready(_)) => "hold-ready",
        RelayVerdict::Drop(reason) => match reason {
            RelayDrop::Unexpected => "drop-unexpected",
            RelayDrop::NoRoute => "drop-no-route",
            RelayDrop::NoHolder => "drop-no-holder",
            RelayDrop::NoReady => "drop-no-ready",
            RelayDrop::Cold => "drop-cold",
            RelayDrop::Duplicate => "drop-copied",
        },
    }
}
