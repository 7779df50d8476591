//! How the control thread keeps in touch with agents and with the other entries of its zone, and follows the list of endpoints.

use super::range::ENDPOINTS_NAME;
use super::{RelayControl, SETTLE_TIME};
use crate::relay::traffic::ArrivedReport;
use quetzalhill_core::ids::{address_of, id_of, EndpointId, EntryId, StoreEra};
use quetzalhill_core::relay::confirm::{ConfirmAction, ConfirmClient, ConfirmId, ConfirmOutcome};
use quetzalhill_core::relay::era::UNKNOWN_ERA;
use quetzalhill_core::relay::fleet::{
    DueKeepalive, ListChange, ListEffect, ListRead, ListRecord, ListState, ListedEndpoint,
    ReportOutcome,
};
use quetzalhill_core::relay::peers::ListRole;
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::follow::{FollowEvent, FollowMode};
use quetzalhill_node::relay::notices::NoticeKind;
use quetzalhill_node::relay::settings::ENDPOINT_PREFIX;
use quetzalhill_store::api::{KeyValue, StoreRevision, WatchEvent};
use quetzalhill_wire::relay::{
    decode_record, endpoint_of_key, KeepaliveNotice, ListNotice, PaceNotice, RelayNotice,
    LIST_CHANGES_MAX,
};
use std::sync::Arc;
use std::time::Instant;

impl RelayControl {
    /// Follows the list and the routes in the way of this entry's role among the entries of its zone.
    pub(super) fn update_role(&mut self, now: Instant) {
        self.peers.tick(now);
        let role = self.peers.role(now);
        // The entry with the lowest address polls shortly for the zone; the others hear of its answers.
        let watch = match self.peers.confirmer() {
            None => FollowMode::Watch,
            Some(_) => FollowMode::LongWatch,
        };
        let list_mode = match role {
            ListRole::Reader => watch,
            ListRole::Follower => FollowMode::Poll,
        };
        self.routes_mode
            .send_if_modified(|mode| std::mem::replace(mode, watch) != watch);
        if *self.list_mode.borrow() == list_mode {
            return;
        }
        let peers = self.peers.peers().count();
        emit(
            EventCode::ListRole,
            &[
                ("role", &role.name()),
                ("peers", &peers),
                ("mode", &list_mode.name()),
            ],
        );
        self.list_mode.send_replace(list_mode);
    }

    /// Sends the keepalives that are due. Agents answer them with reports.
    pub(super) fn send_keepalives(&mut self, now: Instant) {
        for keepalive in self.fleet.take_keepalives(now) {
            self.send_keepalive(&keepalive, now);
        }
    }

    /// Requests a fresh report from each agent that reports a digest of its flows, soon if not at once.
    pub(super) fn request_digests(&mut self, now: Instant) {
        if !self.digest_pacer.request(self.fleet.len(), now) {
            let due = self.digest_pacer.due().unwrap_or(now);
            self.next_tick = self.next_tick.min(due);
            return;
        }
        for keepalive in self.fleet.digest_requests(now) {
            self.send_keepalive(&keepalive, now);
        }
    }

    fn send_keepalive(&self, keepalive: &DueKeepalive, now: Instant) {
        let notice = RelayNotice::Keepalive(KeepaliveNotice::new(keepalive, self.epoch, now));
        let size = self.sockets.send_notice(&notice, address_of(keepalive.id));
        let notices = &self.state.counters.notices;
        notices.count(NoticeKind::Keepalive(keepalive.rate), size);
    }

    /// Applies an event of the list of endpoints.
    pub(super) fn handle_endpoints_event(&mut self, event: FollowEvent, now: Instant) {
        self.observe_era(ENDPOINTS_NAME, now);
        let state = Arc::clone(&self.state);
        let counters = &state.counters;
        match event {
            FollowEvent::Loaded {
                entries,
                era,
                revision,
                read,
                source,
            } => {
                let endpoints = self.load_endpoints(&entries, era, revision, now);
                let confirmed = read.unwrap_or(now);
                let mut age = self.endpoints_progress.age(now);
                // A replica may be older than the changes that other entries have passed on, and may lack other changes
                // that are older than these.
                if read.is_some() || revision >= self.list_revision {
                    self.endpoints_range.record_loaded(read);
                    let progress = &mut self.endpoints_progress;
                    age = progress.record_answer(revision, confirmed, now, counters);
                }
                self.list_revision = self.list_revision.max(revision);
                emit(
                    EventCode::ListLoaded,
                    &[
                        ("records", &entries.len()),
                        ("endpoints", &endpoints),
                        ("store_revision", &revision),
                        ("source", &source.name()),
                        ("age_ms", &age.as_millis()),
                    ],
                );
                self.answer_confirm_requests(read);
                if let Some(read) = read {
                    self.list_freshness.record_read(read);
                    self.tell_list_state(now);
                }
            }
            FollowEvent::Changed {
                events,
                era,
                revision,
            } => {
                let progress = &mut self.endpoints_progress;
                progress.record_answer(revision, now, now, counters);
                self.endpoints_range.current = true;
                self.change_endpoints(events, era, now);
                self.list_freshness.record_read(now);
                self.tell_list_state(now);
            }
            FollowEvent::Failed(end) => {
                self.endpoints_progress.record_failure(end, counters);
                self.endpoints_range.current = false;
            }
            FollowEvent::ConfirmStarted => return self.request_digests(now),
            FollowEvent::ConfirmFailed(end) => {
                self.list_freshness.record_failed_read(now);
                return self.endpoints_progress.count_failure(end, counters);
            }
        }
        self.send_keepalives(now);
        self.publish(now);
    }

    /// Tells the other entries of the zone the state of the list after an answer of the store, if this entry watches it.
    fn tell_list_state(&mut self, now: Instant) {
        if self.peers.role(now) != ListRole::Reader || !self.list_freshness.take_notice(now) {
            return;
        }
        self.tell_era(now);
        let state = self.fleet.list_state();
        let notice = RelayNotice::ListState {
            revision: state.revision,
            fingerprint: state.fingerprint,
        };
        for peer in self.peers.peers() {
            self.send_to_peer(&notice, peer, NoticeKind::ListState);
        }
    }

    /// Compares the own list with that of a reader.
    pub(super) fn handle_list_state(&mut self, state: ListState, now: Instant) {
        let own = self.fleet.list_state();
        self.list_freshness.record_state(state, own, now);
        if state == own {
            self.endpoints_progress.record_confirmed(now);
        }
    }

    /// Reads the list if another entry polls shortly for the zone and this one may have missed a change.
    pub(super) fn check_list_age(&mut self, now: Instant) {
        if self.peers.confirmer().is_none() {
            return;
        }
        let own = self.fleet.list_state();
        if self.list_freshness.take_read(own, now) {
            self.confirm_endpoints.notify_one();
        }
    }

    /// Has the list confirmed as of now, by another entry of the zone if there is one.
    pub(super) fn confirm_list(&mut self, now: Instant) {
        match self.confirm.request(self.peers.confirmer(), now) {
            ConfirmAction::Read => self.confirm_endpoints.notify_one(),
            ConfirmAction::Ask { entry, id } => {
                self.send_to_peer(&RelayNotice::ConfirmRequest(id), entry, NoticeKind::Confirm);
                self.request_digests(now);
            }
            ConfirmAction::Wait(until) => self.next_tick = self.next_tick.min(until),
        }
    }

    /// Reads the list for another entry.
    pub(super) fn handle_confirm_request(&mut self, client: ConfirmClient, now: Instant) {
        // The entry may have started since the restore, and is about to reset a flow because of what the store lacks.
        if self.fleet.era().is_told(now) {
            let notice = RelayNotice::StoreEra(self.fleet.era().era());
            self.send_to_peer(&notice, client.entry, NoticeKind::StoreEra);
        }
        self.confirm_clients.push(client);
        self.confirm_endpoints.notify_one();
    }

    /// Tells the entries that have asked before the read began which list was read.
    fn answer_confirm_requests(&mut self, read: Option<Instant>) {
        let Some(read) = read else {
            return;
        };
        let list = self.fleet.list_fingerprint();
        for client in self.confirm_clients.take_answered(read) {
            let answer = RelayNotice::ConfirmAnswer {
                id: client.id,
                list,
            };
            self.send_to_peer(&answer, client.entry, NoticeKind::Confirm);
        }
    }

    /// Applies the answer of another entry, or reads the list if it is not the own one.
    pub(super) fn handle_confirm_answer(&mut self, id: ConfirmId, list: u64, now: Instant) {
        let same_list = list == self.fleet.list_fingerprint();
        match self.confirm.record_answer(id, same_list) {
            ConfirmOutcome::Confirmed(read) => {
                self.endpoints_range.record_loaded(Some(read));
                self.endpoints_progress.record_confirmed(read);
                self.publish(now);
            }
            ConfirmOutcome::Differs => self.confirm_endpoints.notify_one(),
            ConfirmOutcome::Ignored => {}
        }
    }

    pub(super) fn send_to_peer(&self, notice: &RelayNotice, peer: EntryId, kind: NoticeKind) {
        let size = self.sockets.send_notice(notice, address_of(peer));
        self.state.counters.notices.count(kind, size);
    }

    /// Applies a read of the list, and returns the number of endpoints in it.
    fn load_endpoints(
        &mut self,
        entries: &[KeyValue],
        era: StoreEra,
        revision: StoreRevision,
        now: Instant,
    ) -> usize {
        self.settle_deadline = self.settle_deadline.or(Some(now + SETTLE_TIME));
        let mut records = Vec::new();
        for entry in entries {
            records.extend(self.read_record(entry).map(|endpoint| ListRecord {
                revision: entry.mod_revision,
                endpoint,
            }));
        }
        let count = records.len();
        let read = ListRead {
            era,
            revision,
            records,
        };
        self.fleet.replace_list(read, now);
        count
    }

    /// Applies changes from the store, and passes them on to the other entries of the zone.
    fn change_endpoints(&mut self, events: Vec<WatchEvent>, era: StoreEra, now: Instant) {
        let mut changes = Vec::new();
        for event in events {
            changes.extend(match event {
                WatchEvent::Put(entry) => self.read_record(&entry).map(|endpoint| ListChange {
                    era,
                    revision: entry.mod_revision,
                    effect: ListEffect::Written(endpoint),
                }),
                WatchEvent::Delete { key, revision } => {
                    endpoint_of_key(ENDPOINT_PREFIX, &key).map(|id| ListChange {
                        era,
                        revision,
                        effect: ListEffect::Removed(id),
                    })
                }
            });
        }
        for chunk in changes.chunks(LIST_CHANGES_MAX) {
            let notice = ListNotice::new(chunk);
            self.pass_on(&match era {
                UNKNOWN_ERA => RelayNotice::ListChange(notice),
                era => RelayNotice::EraListChange(era, notice),
            });
        }
        self.apply_changes(changes, now);
    }

    /// Sends a notice to the other entries of the zone, which do not watch the list. Their next read of the list makes
    /// up for a lost one.
    fn pass_on(&self, notice: &RelayNotice) {
        for peer in self.peers.peers() {
            self.send_to_peer(notice, peer, NoticeKind::ListChange);
        }
    }

    /// Applies changes of the list that another entry passes on, from this era of the store.
    pub(super) fn handle_list_change(&mut self, era: StoreEra, notice: ListNotice, now: Instant) {
        if self.fleet.era().is_foreign(era) {
            // Changes of a later era are in the read that follows.
            return self.handle_store_era(era, now);
        }
        self.apply_changes(notice.into_changes(era), now);
        self.send_keepalives(now);
        self.publish(now);
    }

    fn apply_changes(&mut self, changes: Vec<ListChange>, now: Instant) {
        for change in changes {
            if let ListEffect::Removed(id) = change.effect {
                emit(
                    EventCode::EndpointChanged,
                    &[("endpoint", &address_of(id)), ("state", &"unlisted")],
                );
            }
            self.list_revision = self.list_revision.max(change.revision);
            self.fleet.apply_change(change, now);
        }
    }

    /// Checks an endpoint that left a first packet unanswered, before its last report expires.
    pub(super) fn doubt(&mut self, id: EndpointId, now: Instant) {
        self.fleet.doubt(id, now);
        self.send_keepalives(now);
    }

    /// Logs the incarnations that changed since the last call, with the source from which each was learned.
    pub(super) fn log_incarnations(&mut self) {
        for change in self.fleet.take_incarnation_changes() {
            let source = change.source.name();
            let counter = &self.state.counters.incarnations;
            counter.with_label_values(&[source]).inc();
            self.reset_flows_of(&change, Instant::now());
            emit(
                EventCode::IncarnationChanged,
                &[
                    ("endpoint", &address_of(change.id)),
                    ("before", &change.before),
                    ("after", &change.after),
                    ("source", &source),
                ],
            );
        }
    }

    /// Decodes a record of the list. An invalid record is logged and skipped.
    fn read_record(&self, entry: &KeyValue) -> Option<ListedEndpoint> {
        match decode_record(ENDPOINT_PREFIX, &entry.key, &entry.value) {
            Ok(endpoint) => Some(endpoint),
            Err(error) => {
                self.state.counters.invalid_records.inc();
                emit(
                    EventCode::RecordInvalid,
                    &[("key", &entry.key), ("error", &format!("{error:?}"))],
                );
                None
            }
        }
    }

    /// Applies the report of an agent, and publishes the view at once if an endpoint's state changed, or soon if only its
    /// load did.
    pub(super) fn handle_report(&mut self, arrived: ArrivedReport, now: Instant) {
        let id = id_of(arrived.agent);
        self.peers.record_named(&arrived.notice.peers, now);
        let mut report = arrived.notice.into_report(id, self.epoch, now);
        report.pace = arrived.pace.map(PaceNotice::into_pace);
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
            ReportOutcome::Load => self.publish_soon(now),
            ReportOutcome::Stale => {}
        }
    }
}
