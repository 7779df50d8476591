//! How the control thread resets open flows whose upstream has restarted, and keeps the open flows of its zone in the store.

use super::RelayControl;
use quetzalhill_core::ids::{address_of, EndpointId, IncarnationNumber};
use quetzalhill_core::relay::identity::{IncarnationChange, UNKNOWN_INCARNATION};
use quetzalhill_core::relay::open_flows::OpenFlow;
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::notices::NoticeKind;
use quetzalhill_node::relay::settings::FLOW_RECORD_PREFIX;
use quetzalhill_platform::store::PlatformCodec;
use quetzalhill_store::api::{CatalogueStore, KeyRange, PutOp, Transaction};
use quetzalhill_store::polled::PolledStore;
use quetzalhill_wire::relay::{
    decode_flow_record, encode_flow_record, OpenFlowNotice, RelayNotice, OPEN_FLOWS_MAX,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::time::sleep;

/// Interval at which an entry names its open flows to the entry that reads for the zone.
const NAME_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two records of a zone. Flows that were opened since the last one are not reset after a loss of power.
const RECORD_INTERVAL: Duration = Duration::from_secs(2);

/// Pause after a failed read of the record.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Reads of the record that may fail before the entry does without it.
const READS_MAX: usize = 6;

/// Largest difference between the wall clock and the time of a record that is used, in milliseconds. Clocks may jump by
/// seconds; a caller may use the ports of an old record again.
const RECORD_AGE_MAX_MS: u64 = 60_000;

/// Reads the record that the zone has in the store, and writes it while this entry reads for the zone.
pub(super) async fn keep_flow_record(
    control: Rc<RefCell<RelayControl>>,
    store: PolledStore<PlatformCodec>,
    zone: String,
) {
    let key = format!("{FLOW_RECORD_PREFIX}{zone}");
    read_record(&control, &store, &key).await;
    loop {
        sleep(RECORD_INTERVAL).await;
        let flows = control.borrow_mut().record_to_write(Instant::now());
        let Some(value) = flows.and_then(|flows| encode_flow_record(&flows, unix_millis()).ok())
        else {
            continue;
        };
        let put = PutOp {
            key: key.clone(),
            value,
            lease: None,
        };
        let transaction = Transaction {
            puts: vec![put],
            ..Transaction::default()
        };
        // A record that is not written is replaced by the next one.
        let _ = store.commit(&transaction).await;
    }
}

async fn read_record(
    control: &Rc<RefCell<RelayControl>>,
    store: &PolledStore<PlatformCodec>,
    key: &str,
) {
    for _ in 0..READS_MAX {
        let Ok(result) = store.range(&KeyRange::Key(key.into())).await else {
            sleep(READ_PAUSE).await;
            continue;
        };
        for entry in result.entries {
            let Ok((flows, written_ms)) = decode_flow_record(&entry.value) else {
                emit(
                    EventCode::RecordInvalid,
                    &[("key", &entry.key), ("error", &"not a record of flows")],
                );
                continue;
            };
            if unix_millis().abs_diff(written_ms) <= RECORD_AGE_MAX_MS {
                let mut control = control.borrow_mut();
                control.recorded_flows.load(flows);
                control.reset_recorded_flows(Instant::now());
            }
        }
        return;
    }
}

impl RelayControl {
    /// Resets the flows of this entry whose upstream has restarted.
    pub(super) fn reset_flows_of(&self, change: &IncarnationChange, now: Instant) {
        if !self.reset_ended || change.after == UNKNOWN_INCARNATION {
            return;
        }
        let ended = self
            .state
            .open_flows()
            .take_ended(change.id, change.after, now);
        self.reset_flows(&ended, "table");
    }

    /// Resets the flows of the record whose upstream has restarted.
    pub(super) fn reset_recorded_flows(&mut self, now: Instant) {
        let fleet = &self.fleet;
        let ended = self
            .recorded_flows
            .take_ended(|id| fleet.incarnation(id), now);
        self.reset_flows(&ended, "record");
    }

    fn reset_flows(&self, ended: &[OpenFlow], source: &str) {
        let mut counts: BTreeMap<EndpointId, usize> = BTreeMap::new();
        for open in ended {
            self.sockets.reset_flow(open);
            *counts.entry(open.holder.id).or_default() += 1;
        }
        let counter = &self.state.counters.ended_flows;
        counter
            .with_label_values(&[source])
            .inc_by(ended.len() as u64);
        for (id, count) in counts {
            let incarnation: IncarnationNumber =
                self.fleet.incarnation(id).unwrap_or(UNKNOWN_INCARNATION);
            emit(
                EventCode::FlowsEnded,
                &[
                    ("endpoint", &address_of(id)),
                    ("incarnation", &incarnation),
                    ("flows", &count),
                    ("source", &source),
                ],
            );
        }
    }

    /// Names the open flows of this entry to the entry that reads for the zone, once in [`NAME_INTERVAL`].
    pub(super) fn name_open_flows(&mut self, now: Instant) {
        if !self.reset_ended || now < self.next_naming {
            return;
        }
        self.next_naming = now + NAME_INTERVAL;
        let flows = self.state.open_flows().snapshot(now);
        let Some(reader) = self.peers.confirmer() else {
            return self.zone_flows.record(flows, now);
        };
        for chunk in flows.chunks(OPEN_FLOWS_MAX) {
            let notice = RelayNotice::OpenFlows(chunk.iter().map(OpenFlowNotice::new).collect());
            self.send_to_peer(&notice, reader, NoticeKind::OpenFlows);
        }
    }

    /// Records flows that another entry of the zone has named. Without `relay.reset_ended` nothing would remove them.
    pub(super) fn handle_open_flows(&mut self, flows: Vec<OpenFlow>, now: Instant) {
        if self.reset_ended {
            self.zone_flows.record(flows, now);
        }
    }

    /// Returns the flows of the zone if this entry has to write them.
    fn record_to_write(&mut self, now: Instant) -> Option<Vec<OpenFlow>> {
        let reads_for_zone = self.peers.confirmer().is_none();
        let flows = self.zone_flows.named(now);
        (reads_for_zone && !flows.is_empty()).then_some(flows)
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
