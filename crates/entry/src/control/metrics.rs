//! Metrics of an entry, brought up to date by the control loop.

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

/// Processor time of the calling thread: nanoseconds on a processor come first.
const THREAD_TIME_FILE: &str = "/proc/thread-self/schedstat";

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

/// Metrics of one entry.
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
    processor: Counter,
    /// Bytes of control datagrams received.
    pub(super) received: IntCounter,
    /// Bytes of control datagrams sent.
    pub(super) sent: IntCounter,
}

impl EntryMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// The registry has metrics of these names already.
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
            "Calls to the store that the budget of this instance refused.",
        )?;
        registry.register(Box::new(refused.clone()))?;
        let processor = Counter::new(
            "quetzalhill_control_cpu_seconds_total",
            "Processor time of the control thread, in seconds.",
        )?;
        registry.register(Box::new(processor.clone()))?;
        let control = counters(
            "quetzalhill_control_bytes_total",
            "Bytes of control datagrams.",
            &["direction"],
        )?;
        Ok(Self {
            packets: counters(
                "quetzalhill_packets_total",
                "Packets forwarded.",
                &["direction"],
            )?,
            bytes: counters(
                "quetzalhill_packet_bytes_total",
                "Bytes of the forwarded payloads.",
                &["direction"],
            )?,
            drops: counters(
                "quetzalhill_packet_drops_total",
                "Packets dropped.",
                &["direction", "reason"],
            )?,
            revision: gauge(
                "quetzalhill_catalogue_revision",
                "Catalogue revision in force; 0 while none is.",
            )?,
            snapshots: counters(
                "quetzalhill_catalogue_snapshots_total",
                "Catalogue snapshots that reached this node.",
                &["outcome"],
            )?,
            endpoints: gauges(
                "quetzalhill_endpoints",
                "Endpoints by their state.",
                &["state"],
            )?,
            entries: gauges(
                "quetzalhill_members",
                "Other entries by what is believed of them.",
                &["status"],
            )?,
            reader: gauge(
                "quetzalhill_reader",
                "Whether the entry holds a reader slot of its zone.",
            )?,
            store_calls: counters(
                "quetzalhill_store_calls_total",
                "Calls to the store.",
                &["kind"],
            )?,
            store_refused: refused,
            store_watches: gauge(
                "quetzalhill_store_watches",
                "Watches at the store that wait now.",
            )?,
            store_limits: gauges(
                "quetzalhill_store_call_limit",
                "Budget of this instance: reads and writes a second, watches that may wait.",
                &["kind"],
            )?,
            processor,
            received: control.with_label_values(&["received"]),
            sent: control.with_label_values(&["sent"]),
        })
    }

    /// Brings the metrics up to date; has to be called on the control thread.
    pub(super) fn refresh(&self, state: &ControlState, shared: &SharedState) {
        self.refresh_traffic(shared);
        self.refresh_catalogue(state);
        self.refresh_members(state);
        self.refresh_store(state);
        let seconds = thread_seconds().unwrap_or_default();
        self.processor
            .inc_by((seconds - self.processor.get()).max(0.0));
    }

    fn refresh_traffic(&self, shared: &SharedState) {
        for (direction, label) in DIRECTIONS {
            let counters = shared.counters.for_direction(direction);
            raise(
                &self.packets.with_label_values(&[label]),
                counters.packets(),
            );
            raise(&self.bytes.with_label_values(&[label]), counters.bytes());
            for reason in TrafficDrop::all() {
                let drops = self.drops.with_label_values(&[label, reason.name()]);
                raise(&drops, counters.drops(reason));
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
            raise(&self.snapshots.with_label_values(&[label]), count);
        }
        self.revision
            .set(gauge_value(state.catalogue.stamp().revision));
    }

    fn refresh_members(&self, state: &ControlState) {
        // One pass over what may be 140,000 records.
        let mut endpoints: HashMap<EndpointState, i64> = HashMap::new();
        for record in state.member.endpoints() {
            *endpoints.entry(record.state).or_default() += 1;
        }
        for (wanted, label) in ENDPOINT_STATES {
            let gauge = self.endpoints.with_label_values(&[label]);
            gauge.set(endpoints.get(&wanted).copied().unwrap_or(0));
        }
        for (wanted, label) in ENTRY_STATUSES {
            let entries = state.member.entries();
            let count = entries.filter(|(_, status)| *status == wanted).count();
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
        // CAST: The limits are small whole numbers.
        let (reads, writes) = (limits.reads_per_s as i64, limits.writes_per_s as i64);
        for (kind, count, limit) in [
            (CallKind::Read, counts.reads, reads),
            (CallKind::Write, counts.writes, writes),
            (CallKind::Watch, counts.watches, i64::from(limits.watches)),
        ] {
            let label = [kind.name()];
            raise(&self.store_calls.with_label_values(&label), count);
            self.store_limits.with_label_values(&label).set(limit);
        }
        raise(&self.store_refused, counts.refused);
        self.store_watches.set(i64::from(counts.open_watches));
    }
}

/// Raises a counter to a total that is counted elsewhere.
fn raise(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn gauge_value(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// Returns the processor time of the calling thread in seconds, where the kernel counts it.
fn thread_seconds() -> Option<f64> {
    let text = fs::read_to_string(THREAD_TIME_FILE).ok()?;
    let nanos: u64 = text.split_whitespace().next()?.parse().ok()?;
    // CAST: A rounding error of nanoseconds does not matter.
    Some(nanos as f64 / 1e9)
}
