//! How the control thread follows the routes, and learns from other entries of its zone that it has missed a change.

use super::range::ROUTES_NAME;
use super::RelayControl;
use crate::relay::counters::set;
use quetzalhill_core::ids::RevisionNumber;
use quetzalhill_core::relay::evacuation::OperatorState;
use quetzalhill_core::relay::peers::ListRole;
use quetzalhill_core::relay::routes::RouteOutcome;
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::follow::{FollowEvent, FollowSource};
use quetzalhill_node::relay::notices::NoticeKind;
use quetzalhill_platform::manifest;
use quetzalhill_store::api::{KeyValue, WatchEvent};
use quetzalhill_wire::relay::RelayNotice;
use std::sync::Arc;
use std::time::{Duration, Instant};

impl RelayControl {
    /// Applies an event of the routes.
    pub(super) fn handle_routes_event(&mut self, event: FollowEvent, now: Instant) {
        self.observe_era(ROUTES_NAME, now);
        let before = self.routes_range;
        let state = Arc::clone(&self.state);
        let counters = &state.counters;
        match event {
            FollowEvent::Loaded {
                entries,
                revision,
                read,
                source,
                ..
            } => {
                let confirmed = read.unwrap_or(now);
                let progress = &mut self.routes_progress;
                let age = progress.record_answer(revision, confirmed, now, counters);
                let before = self.operator_state();
                // Changed evacuations publish the view, which must not count the routes as read before they are in force:
                // a flow to a new route would be reset.
                self.load_evacuations(&entries, revision, source, age);
                self.routes_range.record_loaded(read);
                for entry in entries {
                    if self.is_manifest(&entry) {
                        self.apply_routes(&entry, source, age);
                    }
                }
                self.routes_freshness.record_read(confirmed);
                self.tell_operator_state(before, now);
            }
            FollowEvent::Changed {
                events, revision, ..
            } => {
                let progress = &mut self.routes_progress;
                let age = progress.record_answer(revision, now, now, counters);
                self.routes_range.current = true;
                let before = self.operator_state();
                for event in events {
                    self.change_evacuation(&event, revision, age);
                    // The key of the routes is only ever replaced, never deleted.
                    if let WatchEvent::Put(entry) = event {
                        if self.is_manifest(&entry) {
                            self.apply_routes(&entry, FollowSource::Poll, age);
                        }
                    }
                }
                self.routes_freshness.record_read(now);
                self.tell_operator_state(before, now);
            }
            FollowEvent::Failed(end) => {
                self.routes_progress.record_failure(end, counters);
                self.routes_range.current = false;
            }
            FollowEvent::ConfirmStarted => {}
            FollowEvent::ConfirmFailed(end) => {
                self.routes_progress.count_failure(end, counters);
                self.routes_freshness.record_failed_read(now);
            }
        }
        if before != self.routes_range {
            self.publish(now);
        }
    }

    /// Puts routes in force if they are newer. `age` is the age of the state before the answer that brought them.
    fn apply_routes(&mut self, entry: &KeyValue, source: FollowSource, age: Duration) {
        let routes = match manifest::decode(&entry.value) {
            Ok(routes) => routes,
            Err(error) => {
                emit(
                    EventCode::RoutesInvalid,
                    &[("error", &error), ("store_revision", &entry.mod_revision)],
                );
                return;
            }
        };
        let (revision, count) = (routes.revision, routes.by_address.len());
        let older = revision < self.routes.current().revision;
        if self.routes.adopt(routes) == RouteOutcome::Stale {
            if older {
                let counter = &self.state.counters.older_routes;
                counter.with_label_values(&[source.name()]).inc();
            }
            return;
        }
        emit(
            EventCode::RoutesInForce,
            &[
                ("revision", &revision),
                ("routes", &count),
                ("store_revision", &entry.mod_revision),
                ("source", &source.name()),
                ("age_ms", &age.as_millis()),
            ],
        );
        set(&self.state.counters.revision, revision);
        self.publish(Instant::now());
    }

    /// Tells the other entries of the zone which routes and evacuations are in force after an answer of the store, if this
    /// entry reads for them. `before` is the state before the answer.
    fn tell_operator_state(&mut self, before: OperatorState, now: Instant) {
        let state = self.operator_state();
        let due = self.routes_freshness.take_notice(now) || state != before;
        if self.peers.role(now) != ListRole::Reader || !due {
            return;
        }
        let OperatorState {
            routes,
            evacuations,
        } = state;
        let (notice, kind) = match self.follows_evacuations {
            true => {
                let notice = RelayNotice::OperatorState {
                    routes,
                    evacuations,
                };
                (notice, NoticeKind::OperatorState)
            }
            false => (RelayNotice::RoutesState(routes), NoticeKind::RoutesState),
        };
        for peer in self.peers.peers() {
            self.send_to_peer(&notice, peer, kind);
        }
    }

    /// Compares the own routes with those of an entry that reads for the zone. An entry that follows evacuations ignores
    /// the notice, whose sender does not: it would make missed evacuations count as confirmed.
    pub(super) fn handle_routes_state(&mut self, routes: RevisionNumber, now: Instant) {
        if !self.follows_evacuations {
            self.compare_operator_state(
                OperatorState {
                    routes,
                    evacuations: 0,
                },
                now,
            );
        }
    }

    /// Compares the own routes and evacuations with those of an entry that reads for the zone.
    pub(super) fn handle_operator_state(&mut self, told: OperatorState, now: Instant) {
        match self.follows_evacuations {
            true => self.compare_operator_state(told, now),
            false => self.handle_routes_state(told.routes, now),
        }
    }

    fn compare_operator_state(&mut self, told: OperatorState, now: Instant) {
        let own = self.operator_state();
        // The notice may be from before a restore of the store, and does not show that the entry has what was written since.
        if told == own && self.fleet.era().is_grace(now) {
            return;
        }
        let freshness = &mut self.routes_freshness;
        freshness.record_state(told.told_state(own), own.own_state(), now);
        if told == own {
            self.routes_progress.record_confirmed(now);
        }
    }

    /// Reads the routes if this entry polls for them seldom and may have missed a change. After a failed poll the follower
    /// reads them anyway.
    pub(super) fn check_routes_age(&mut self, now: Instant) {
        if self.peers.confirmer().is_none() || !self.routes_range.current {
            return;
        }
        let own = self.operator_state().own_state();
        if self.routes_freshness.take_read(own, now) {
            self.confirm_routes.notify_one();
        }
    }
}
