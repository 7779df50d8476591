//! Prometheus metrics of an entry, which the control loop updates.

use super::state::ControlState;
use crate::shared::SharedState;
use crate::traffic::counters::TrafficDrop;
use prometheus::{
    Counter, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, Result,
};
use quetzalhill_core::member::message::EntryStatus;
use quetzalhill_core::member::EndpointState;
use quetzalhill_store::budget::CallKind;
use quetzalhill_wire::packet::PacketDirection;
use std::collections::HashMap;
use std::fs;

/// Scheduler statistics of the calling thread; the first number is its CPU time in nanoseconds.
const SCHEDSTAT_FILE: &str = "/proc/thread-self/schedstat";

const DIRECTIONS: [(PacketDirection, &str); 2] = [
    (PacketDirection::ToAgent, "to-agent"),
    (PacketDirection::ToCaller, "to-caller"),
];

const ENDPOINT_STATES: [(EndpointState, &str); 4] = [
    (EndpointState::Starting, "starting"),
    (EndpointState::Ready, "ready"),
    (EndpointState::Draining, "draining"),
    (EndpointState::Left, "left"),
];

const ENTRY_STATUSES: [(EntryStatus, &str); 3] = [
    (EntryStatus::Alive, "alive"),
    (EntryStatus::Suspect, "suspect"),
    (EntryStatus::Left, "left"),
];

#[derive(Debug)]
pub(super) struct EntryMetrics {
    packets: IntCounterVec,
    bytes: IntCounterVec,
    drops: IntCounterVec,
    revision: IntGauge,
    snapshots: IntCounterVec,
    endpoints: IntGaugeVec,
    entries: IntGaugeVec,
    reader: IntGauge,
    store_calls: IntCounterVec,
    store_refused: IntCounter,
    store_watches: IntGauge,
    store_limits: IntGaugeVec,
    cpu_seconds: Counter,
    /// Bytes of control datagrams received.
    pub(super) received: IntCounter,
    /// Bytes of control datagrams sent.
    pub(super) sent: IntCounter,
}

impl EntryMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has metrics with these names.
    pub(super) fn new(registry: &Registry) -> Result<Self> {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vector.clone()))?;
            Result::Ok(vector)
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(vector.clone()))?;
            Result::Ok(vector)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Result::Ok(gauge)
        };
        let refused = IntCounter::new(
            "quetzalhill_store_refused_total",
            "Calls to the store that were not made because the call budget of this instance was used up.",
        )?;
        registry.register(Box::new(refused.clone()))?;
        let cpu_seconds = Counter::new(
            "quetzalhill_control_cpu_seconds_total",
            "CPU time of the control thread, in seconds.",
        )?;
        registry.register(Box::new(cpu_seconds.clone()))?;
        let control = counters(
            "quetzalhill_control_bytes_total",
            "Bytes of control datagrams, by direction.",
            &["direction"],
        )?;
        Ok(Self {
            packets: counters(
                "quetzalhill_packets_total",
                "Packets forwarded, by direction.",
                &["direction"],
            )?,
            bytes: counters(
                "quetzalhill_packet_bytes_total",
                "Bytes of the forwarded payloads.",
                &["direction"],
            )?,
            drops: counters(
                "quetzalhill_packet_drops_total",
                "Packets dropped, by direction and reason.",
                &["direction", "reason"],
            )?,
            revision: gauge(
                "quetzalhill_catalogue_revision",
                "Catalogue revision in force; 0 if there is no catalogue yet.",
            )?,
            snapshots: counters(
                "quetzalhill_catalogue_snapshots_total",
                "Catalogue snapshots received by this node, by outcome.",
                &["outcome"],
            )?,
            endpoints: gauges(
                "quetzalhill_endpoints",
                "Endpoints, by state.",
                &["state"],
            )?,
            entries: gauges(
                "quetzalhill_members",
                "Other entries, by membership status.",
                &["status"],
            )?,
            reader: gauge(
                "quetzalhill_reader",
                "1 if the entry holds a reader slot of its zone, otherwise 0.",
            )?,
            store_calls: counters(
                "quetzalhill_store_calls_total",
                "Calls to the store, by kind.",
                &["kind"],
            )?,
            store_refused: refused,
            store_watches: gauge(
                "quetzalhill_store_watches",
                "Watches that are open at the store.",
            )?,
            store_limits: gauges(
                "quetzalhill_store_call_limit",
                "Call budget of this instance: reads and writes per second, and concurrently open watches.",
                &["kind"],
            )?,
            cpu_seconds,
            received: control.with_label_values(&["received"]),
            sent: control.with_label_values(&["sent"]),
        })
    }

    /// Updates all metrics. Must be called on the control thread, because it measures the CPU time of the calling
    /// thread.
    pub(super) fn refresh(&self, state: &ControlState, shared: &SharedState) {
        self.refresh_traffic(shared);
        self.refresh_catalogue(state);
        self.refresh_members(state);
        self.refresh_store(state);
        let seconds = thread_cpu_seconds().unwrap_or_default();
        self.cpu_seconds
            .inc_by((seconds - self.cpu_seconds.get()).max(0.0));
    }

    fn refresh_traffic(&self, shared: &SharedState) {
        for (direction, label) in DIRECTIONS {
            let counters = shared.counters.for_direction(direction);
            raise_to(
                &self.packets.with_label_values(&[label]),
                counters.packets(),
            );
            raise_to(&self.bytes.with_label_values(&[label]), counters.bytes());
            for reason in TrafficDrop::all() {
                let drops = self.drops.with_label_values(&[label, reason.name()]);
                raise_to(&drops, counters.drops(reason));
            }
        }
    }

    fn refresh_catalogue(&self, state: &ControlState) {
        let counters = state.catalogue.counters();
        for (label, count) in [
            ("applied", counters.applied),
            ("stale", counters.stale),
            ("invalid", counters.invalid),
            ("failed-fetch", counters.failed_fetches),
            ("conflict", counters.conflicts),
        ] {
            raise_to(&self.snapshots.with_label_values(&[label]), count);
        }
        self.revision
            .set(to_gauge_value(state.catalogue.stamp().revision));
    }

    fn refresh_members(&self, state: &ControlState) {
        // There may be 140,000 records, so all states are counted in one pass.
        let mut endpoints: HashMap<EndpointState, i64> = HashMap::new();
        for record in state.member.endpoints() {
            *endpoints.entry(record.state).or_default() += 1;
        }
        for (expected, label) in ENDPOINT_STATES {
            let gauge = self.endpoints.with_label_values(&[label]);
            gauge.set(endpoints.get(&expected).copied().unwrap_or(0));
        }
        for (expected, label) in ENTRY_STATUSES {
            let entries = state.member.entries();
            let count = entries.filter(|(_, status)| *status == expected).count();
            let gauge = self.entries.with_label_values(&[label]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    fn refresh_store(&self, state: &ControlState) {
        self.reader.set(i64::from(state.holds_slot.get()));
        let Some(store) = &state.store else {
            return;
        };
        let (counts, limits) = (store.counts(), store.limits());
        // CAST: The limits are small whole numbers, which `i64` represents exactly.
        let (reads, writes) = (limits.reads_per_s as i64, limits.writes_per_s as i64);
        for (kind, count, limit) in [
            (CallKind::Read, counts.reads, reads),
            (CallKind::Write, counts.writes, writes),
            (CallKind::Watch, counts.watches, i64::from(limits.watches)),
        ] {
            let label = [kind.name()];
            raise_to(&self.store_calls.with_label_values(&label), count);
            self.store_limits.with_label_values(&label).set(limit);
        }
        raise_to(&self.store_refused, counts.refused);
        self.store_watches.set(i64::from(counts.open_watches));
    }
}

/// Increments a counter to `total`, a value that is counted elsewhere.
fn raise_to(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn to_gauge_value(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// Returns the CPU time of the calling thread in seconds, or `None` if the kernel has no scheduler statistics.
fn thread_cpu_seconds() -> Option<f64> {
    let text = fs::read_to_string(SCHEDSTAT_FILE).ok()?;
    let nanos: u64 = text.split_whitespace().next()?.parse().ok()?;
    // CAST: A rounding error of some nanoseconds does not matter.
    Some(nanos as f64 / 1e9)
}
