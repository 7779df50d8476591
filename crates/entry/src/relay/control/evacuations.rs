//! How the control thread follows the evacuations of availability zones, which it reads together with the routes.

use super::RelayControl;
use crate::relay::counters::set;
use quetzalhill_core::ids::{StoreRevision, ZoneName};
use quetzalhill_core::relay::evacuation::{OperatorState, ZoneChange, ZoneChanges};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::follow::FollowSource;
use quetzalhill_platform::manifest::MANIFEST_KEY;
use quetzalhill_platform::operator::{self, OPERATOR_PREFIX};
use quetzalhill_store::api::{KeyRange, KeyValue, WatchEvent};
use std::time::{Duration, Instant};

impl RelayControl {
    /// Returns the keys of the store that hold the routes, and the evacuations if they are followed.
    pub(super) fn operator_range(&self) -> KeyRange {
        match self.follows_evacuations {
            true => KeyRange::Prefix(OPERATOR_PREFIX.into()),
            false => KeyRange::Key(MANIFEST_KEY.into()),
        }
    }

    /// Returns whether `entry` may hold routes: the range has other keys only if evacuations are followed.
    pub(super) fn is_manifest(&self, entry: &KeyValue) -> bool {
        !self.follows_evacuations || entry.key == MANIFEST_KEY
    }

    /// Returns the state of routes and evacuations, which entries of a zone compare.
    pub(super) fn operator_state(&self) -> OperatorState {
        OperatorState {
            routes: self.routes.current().revision,
            evacuations: self.evacuations.fingerprint(),
        }
    }

    /// Applies a read of the whole range. `age` is the age of the state before it.
    pub(super) fn load_evacuations(
        &mut self,
        entries: &[KeyValue],
        revision: StoreRevision,
        source: FollowSource,
        age: Duration,
    ) {
        if !self.follows_evacuations {
            return;
        }
        let mut zones = Vec::new();
        for entry in entries {
            let Some(zone) = self.zone_of(&entry.key) else {
                continue;
            };
            // An item that could not be decoded has no revision, and was written before the read.
            let written = match entry.mod_revision {
                0 => revision,
                written => written,
            };
            zones.push((zone, written));
        }
        let changes = self.evacuations.replace(&zones, revision);
        self.record_evacuations(&changes, source, age);
    }

    /// Applies a change from a poll whose answer shows the range at `revision`.
    pub(super) fn change_evacuation(
        &mut self,
        event: &WatchEvent,
        revision: StoreRevision,
        age: Duration,
    ) {
        if !self.follows_evacuations {
            return;
        }
        let (key, written, evacuated) = match event {
            WatchEvent::Put(entry) => (&entry.key, entry.mod_revision, true),
            WatchEvent::Delete { key, revision } => (key, *revision, false),
        };
        let Some(zone) = self.zone_of(key) else {
            return;
        };
        let written = match written {
            0 => {
                // The event could not be decoded, and may be a removal. A read shows whether the key exists.
                self.confirm_routes.notify_one();
                revision
            }
            written => written,
        };
        let change = ZoneChange {
            zone,
            revision: written,
            evacuated,
        };
        let changes = self.evacuations.apply(&change);
        self.record_evacuations(&changes, FollowSource::Poll, age);
    }

    /// Takes back the evacuations of before a restore of the store that are not in the restored store.
    pub(super) fn tick_evacuations(&mut self, now: Instant) {
        let changes = self.evacuations.tick(now);
        let age = self.routes_progress.age(now);
        self.record_evacuations(&changes, FollowSource::Read, age);
    }

    /// Returns the zone whose evacuation a key requests. An invalid key is logged and ignored.
    fn zone_of(&self, key: &str) -> Option<ZoneName> {
        match operator::evacuated_zone(key) {
            Ok(zone) => zone,
            Err(error) => {
                emit(
                    EventCode::EvacuationInvalid,
                    &[("key", &key), ("error", &error)],
                );
                None
            }
        }
    }

    /// Logs changes and publishes the view with them.
    fn record_evacuations(&mut self, changes: &ZoneChanges, source: FollowSource, age: Duration) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            emit(
                EventCode::ZoneEvacuation,
                &[
                    ("zone", &change.zone),
                    ("evacuated", &change.evacuated),
                    ("store_revision", &change.revision),
                    ("source", &source.name()),
                    ("age_ms", &age.as_millis()),
                ],
            );
        }
        let count = self.evacuations.zones().len();
        set(&self.state.counters.evacuated_zones, count);
        self.publish(Instant::now());
    }
}
