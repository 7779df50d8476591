//! How the control thread applies changes of the list of endpoints and reports of agents.

use super::{RangeState, RelayControl, LOAD_AGE, SETTLE_TIME};
use crate::relay::traffic::ArrivedReport;
use quetzalhill_core::ids::{address_of, id_of};
use quetzalhill_core::relay::fleet::{ListedEndpoint, ReportOutcome};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::follow::FollowEvent;
use quetzalhill_store::api::{KeyValue, WatchEvent};
use quetzalhill_wire::relay::decode_endpoint;
use std::time::Instant;

impl RelayControl {
    /// Applies an event of the list of endpoints.
    pub(super) fn handle_endpoints_event(&mut self, event: FollowEvent, now: Instant) {
        match event {
            FollowEvent::Loaded { entries, read } => self.load_endpoints(entries, read, now),
            FollowEvent::Changed(events) => {
                self.endpoints_range.current = true;
                for event in events {
                    self.change_endpoint(event, now);
                }
            }
            FollowEvent::Failed => self.endpoints_range.current = false,
            FollowEvent::ConfirmStarted => return self.request_digests(now),
            FollowEvent::ConfirmFailed => return,
        }
        self.send_keepalives(now);
        self.publish(now);
    }

    fn load_endpoints(&mut self, entries: Vec<KeyValue>, read: Instant, now: Instant) {
        self.endpoints_range = RangeState::loaded(read);
        self.settle_deadline = self.settle_deadline.or(Some(now + SETTLE_TIME));
        self.listed.clear();
        let mut endpoints = Vec::new();
        for entry in &entries {
            endpoints.extend(self.read_record(entry));
        }
        emit(
            EventCode::ListLoaded,
            &[("records", &entries.len()), ("endpoints", &endpoints.len())],
        );
        self.fleet.replace_list(endpoints, now);
    }

    fn change_endpoint(&mut self, event: WatchEvent, now: Instant) {
        match event {
            WatchEvent::Put(entry) => {
                let Some(endpoint) = self.read_record(&entry) else {
                    return;
                };
                self.fleet.add_listed(endpoint, now);
            }
            WatchEvent::Delete { key, .. } => {
                if let Some(id) = self.listed.remove(&key) {
                    emit(
                        EventCode::EndpointChanged,
                        &[("endpoint", &address_of(id)), ("state", &"unlisted")],
                    );
                    self.fleet.remove_listed(id, now);
                }
            }
        }
    }

    /// Decodes a record of the list. An invalid record is logged and skipped.
    fn read_record(&mut self, entry: &KeyValue) -> Option<ListedEndpoint> {
        match decode_endpoint(&entry.value) {
            Ok(endpoint) => {
                self.listed.insert(entry.key.clone(), endpoint.id);
                Some(endpoint)
            }
            Err(error) => {
                emit(
                    EventCode::RecordInvalid,
                    &[("key", &entry.key), ("error", &format!("{error:?}"))],
                );
                None
            }
        }
    }

    /// Applies the report of an agent, and publishes the view if an endpoint's state changed or the published load is older
    /// than [`LOAD_AGE`].
    pub(super) fn handle_report(&mut self, arrived: ArrivedReport, now: Instant) {
        let id = id_of(arrived.agent);
        let report = arrived.notice.into_report(id, self.epoch, now);
        let (state, incarnation) = (report.state, report.endpoint.incarnation);
        let (order, stopping) = (report.order, report.stopping);
        match self.fleet.report(report, now) {
            ReportOutcome::Status => {
                emit(
                    EventCode::EndpointChanged,
                    &[
                        ("endpoint", &arrived.agent),
                        ("state", &state.name()),
                        ("stopping", &stopping),
                        ("incarnation", &incarnation),
                        ("report", &order.1),
                    ],
                );
                self.publish(now);
            }
            ReportOutcome::Load if now >= self.last_published + LOAD_AGE => self.publish(now),
            ReportOutcome::Load | ReportOutcome::Stale => {}
        }
    }
}
