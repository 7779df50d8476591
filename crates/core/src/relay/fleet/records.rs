//! How the tracked endpoints follow the store's list: its changes, and reads of the whole list.

use super::{FleetController, KnownEndpoint, LAPSED_TIME};
use crate::ids::EndpointId;
use crate::relay::era::UNKNOWN_ERA;
use crate::relay::identity::IncarnationSource;
use crate::relay::list::{ListChange, ListEffect, ListRead, ListState, ListedEndpoint};
use crate::relay::revisions::RecordAge;
use std::collections::HashSet;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the fingerprint of the list.
const LIST_SEED: u64 = 0x0011_5700;

/// Seed of the part of a fingerprint that stands for the era.
const ERA_SEED: u64 = 0x0011_5702;

/// Whether a record may come from the copy from which the store was restored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RecordOrigin {
    /// The record was written in the store's current era, or is still there after the grace.
    Written,
    /// The record is in a read during the grace.
    MayBeCopied,
}

impl FleetController {
    /// Adds or updates an endpoint from the store's list, whatever the revision of its record.
    pub fn add_listed(&mut self, endpoint: ListedEndpoint, now: Instant) {
        self.add_record(endpoint, RecordOrigin::Written, now);
    }

    fn add_record(&mut self, endpoint: ListedEndpoint, origin: RecordOrigin, now: Instant) {
        let Some(known) = self.known.get_mut(&endpoint.id) else {
            let id = endpoint.id;
            self.known.insert(id, KnownEndpoint::new(endpoint, now));
            return;
        };
        known.listed = true;
        known.withheld = false;
        // A current report is newer than what the agent wrote to the store before, and what was known before a restore
        // may be newer than a record of the copy.
        let precedes = origin == RecordOrigin::MayBeCopied && known.is_preceded_by(&endpoint);
        known.set_aside = known.is_fresh(now) || precedes;
        if known.set_aside {
            return;
        }
        if known.endpoint.service != endpoint.service {
            known.last = None;
        }
        let change = known.set_endpoint(endpoint, IncarnationSource::List);
        self.incarnation_changes.extend(change);
    }

    /// Applies a change of the store's list, unless a later one of the same endpoint was applied: several entries pass
    /// on the same changes. A change of another era is ignored.
    pub fn apply_change(&mut self, change: ListChange, now: Instant) {
        if self.era.is_foreign(change.era) {
            return;
        }
        let id = match &change.effect {
            ListEffect::Written(endpoint) => endpoint.id,
            ListEffect::Removed(id) => *id,
        };
        let revision = change.revision;
        if self.revisions.compare(id, revision, revision) != RecordAge::Newer {
            return;
        }
        match change.effect {
            ListEffect::Written(endpoint) => {
                self.revisions.record_written(id, revision);
                self.add_listed(endpoint, now);
            }
            ListEffect::Removed(id) => {
                self.revisions.record_removed(id, revision, now);
                self.withhold_or_remove(id, now);
            }
        }
    }

    /// Marks the endpoint as removed from the store's list, whatever the revision of the removal.
    pub fn remove_listed(&mut self, id: EndpointId, now: Instant) {
        let Some(known) = self.known.get_mut(&id) else {
            return;
        };
        known.listed = false;
        known.withheld = false;
        known.set_aside = false;
        known.retained_until = now + LAPSED_TIME;
        self.doubt(id, now);
    }

    /// Marks the endpoint as removed, unless the store was restored so recently that its agent may not have registered
    /// again yet.
    fn withhold_or_remove(&mut self, id: EndpointId, now: Instant) {
        if !self.era.is_grace(now) {
            return self.remove_listed(id, now);
        }
        if let Some(known) = self.known.get_mut(&id) {
            known.withheld = known.listed;
            self.doubt(id, now);
        }
    }

    /// Removes the endpoints that the restored store still lacks after the grace.
    pub(super) fn release_withheld(&mut self, now: Instant) {
        if self.era.is_grace(now) {
            return;
        }
        let mut removed = Vec::new();
        for (id, known) in &self.known {
            if known.withheld {
                removed.push(*id);
            }
        }
        for id in removed {
            self.remove_listed(id, now);
        }
    }

    /// Applies a read of the whole list, unless it is of another era. Changes that are newer than the read may have been
    /// applied before, so each record is compared by its revision, and an endpoint that the read lacks is removed only if
    /// the read is not older than the endpoint's record.
    pub fn replace_list(&mut self, read: ListRead, now: Instant) {
        if self.era.is_foreign(read.era) {
            return;
        }
        let origin = match self.era.is_grace(now) {
            true => RecordOrigin::MayBeCopied,
            false => RecordOrigin::Written,
        };
        let mut listed = HashSet::with_capacity(read.records.len());
        for record in read.records {
            let id = record.endpoint.id;
            listed.insert(id);
            match self.revisions.compare(id, record.revision, read.revision) {
                RecordAge::Newer => {
                    self.revisions.record_written(id, record.revision);
                    self.add_record(record.endpoint, origin, now);
                }
                // The report for which the account was set aside may have expired.
                RecordAge::Same if self.is_set_aside(id) => {
                    self.add_record(record.endpoint, origin, now);
                }
                RecordAge::Same | RecordAge::Older => {}
            }
        }
        let mut removed = Vec::new();
        for (id, known) in &self.known {
            let newer = self.revisions.revision(*id) > read.revision;
            if known.listed && !newer && !listed.contains(id) {
                removed.push(*id);
            }
        }
        for id in removed {
            self.revisions.record_missing(id);
            self.withhold_or_remove(id, now);
        }
        self.revisions.record_read(read.revision);
    }

    /// Returns the state of the list, by which entries compare their lists record by record. Lists of different eras
    /// differ.
    pub fn list_state(&self) -> ListState {
        let mut state = self.revisions.state();
        let era = self.era.era();
        if era != UNKNOWN_ERA {
            state.fingerprint ^= xxh3_64_with_seed(&era.to_be_bytes(), ERA_SEED);
        }
        state
    }

    /// Returns a fingerprint of the endpoints that are listed, which is equal for lists of the same endpoints. It leaves
    /// out the revisions of their records: a reset needs to know only that no endpoint is missing, and after a power
    /// failure, when all records are rewritten, each difference would cost a read.
    pub fn list_fingerprint(&self) -> u64 {
        let listed = self.known.values().filter(|known| known.listed);
        listed.fold(0, |sum, known| {
            sum ^ xxh3_64_with_seed(&known.endpoint.id.to_be_bytes(), LIST_SEED)
        })
    }

    fn is_set_aside(&self, id: EndpointId) -> bool {
        self.known.get(&id).is_some_and(|known| known.set_aside)
    }
}
