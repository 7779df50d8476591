//! Orders what is learned of the records of the store's list by their store revisions.
//!
//! Changes reach an entry from its own watch and from other entries, and reads of the list are answered beside them, so
//! an older account of a record may arrive after a newer one. A removed record has no revision in the store any more;
//! its removal is kept until a read of the list shows that it took effect, or for a while. Accounts of records that are
//! not known are refused if they may be older than what is not kept any longer.
//!
//! A store that was restored from an older copy assigns revisions again, so that each of its eras has its own order.

use crate::ids::{EndpointId, StoreRevision};
use crate::relay::list::ListState;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the fingerprint of the records.
const RECORDS_SEED: u64 = 0x0011_5701;

/// Time for which the removal of a record is kept; more than twice the 26 s after which an open poll is given up.
const REMOVAL_TIME: Duration = Duration::from_secs(60);

/// Maximum number of removals that are kept, so that a list whose records come and go needs bounded memory.
const REMOVALS_MAX: usize = 4_096;

/// How an account of a record relates to the last one that was applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordAge {
    /// The account is newer and has to be applied.
    Newer,
    /// The account is the one that was applied.
    Same,
    /// A newer account has been applied, or may have been.
    Older,
}

#[derive(Clone, Copy, Debug)]
struct RecordState {
    revision: StoreRevision,
    removed: bool,
}

/// Revisions of the records of the list and of their removals.
#[derive(Debug, Default)]
pub struct RevisionLog {
    records: HashMap<EndpointId, RecordState>,
    /// Removals that are kept, in the order of their revisions, with the point in time until which they are.
    removals: BTreeMap<(StoreRevision, EndpointId), Instant>,
    /// Revision up to which a record that is not in `records` has been removed, if it existed: that of the latest read,
    /// or of the latest removal that is no longer kept.
    covered: StoreRevision,
    /// Highest revision of a record or removal that was recorded.
    latest: StoreRevision,
}

impl RevisionLog {
    /// Returns the revision of the last account of the record that was applied, or 0 if there is none.
    pub fn revision(&self, id: EndpointId) -> StoreRevision {
        self.records.get(&id).map_or(0, |record| record.revision)
    }

    /// Compares an account of a record, written or removed at `revision`, with the last one that was applied. The
    /// account comes from a state of the list at revision `seen` or later: that of a read, or that of the change.
    pub fn compare(
        &self,
        id: EndpointId,
        revision: StoreRevision,
        seen: StoreRevision,
    ) -> RecordAge {
        let Some(record) = self.records.get(&id) else {
            return match seen < self.covered {
                true => RecordAge::Older,
                false => RecordAge::Newer,
            };
        };
        match revision.cmp(&record.revision) {
            std::cmp::Ordering::Greater => RecordAge::Newer,
            std::cmp::Ordering::Equal => RecordAge::Same,
            std::cmp::Ordering::Less => RecordAge::Older,
        }
    }

    /// Records that the record was written at `revision`.
    pub fn record_written(&mut self, id: EndpointId, revision: StoreRevision) {
        self.replace(id, revision, false);
    }

    /// Records that the record was removed at `revision`.
    pub fn record_removed(&mut self, id: EndpointId, revision: StoreRevision, now: Instant) {
        self.replace(id, revision, true);
        self.removals.insert((revision, id), now + REMOVAL_TIME);
        if self.removals.len() > REMOVALS_MAX {
            self.forget_first();
        }
    }

    /// Records that a listed record is missing from a read. [`RevisionLog::record_read`] has to follow.
    pub fn record_missing(&mut self, id: EndpointId) {
        self.records.remove(&id);
    }

    /// Records that a read at `revision` was applied, which makes up for the removals until then.
    pub fn record_read(&mut self, revision: StoreRevision) {
        self.covered = self.covered.max(revision);
        while self
            .removals
            .first_key_value()
            .is_some_and(|((first, _), _)| *first <= self.covered)
        {
            self.forget_first();
        }
    }

    /// Starts the order of another era, in which any account is newer than what is known. Removals of the era before
    /// are forgotten: the restored store may have the records again.
    pub fn start_order(&mut self) {
        self.records.retain(|_, record| !record.removed);
        for record in self.records.values_mut() {
            record.revision = 0;
        }
        self.removals.clear();
        self.covered = 0;
        self.latest = 0;
    }

    /// Forgets removals whose time has passed.
    pub fn tick(&mut self, now: Instant) {
        while self
            .removals
            .first_key_value()
            .is_some_and(|(_, until)| *until <= now)
        {
            self.forget_first();
        }
    }

    /// Returns the number of removals that are kept.
    pub fn removals(&self) -> usize {
        self.removals.len()
    }

    /// Returns the state of the list, whose fingerprint is equal for lists of equal records.
    pub fn state(&self) -> ListState {
        let mut fingerprint = 0;
        for (id, record) in &self.records {
            if record.removed {
                continue;
            }
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&id.to_be_bytes());
            bytes[8..].copy_from_slice(&record.revision.to_be_bytes());
            fingerprint ^= xxh3_64_with_seed(&bytes, RECORDS_SEED);
        }
        ListState {
            revision: self.latest,
            fingerprint,
        }
    }

    fn replace(&mut self, id: EndpointId, revision: StoreRevision, removed: bool) {
        self.latest = self.latest.max(revision);
        let before = self.records.insert(id, RecordState { revision, removed });
        if let Some(before) = before.filter(|before| before.removed) {
            self.removals.remove(&(before.revision, id));
        }
    }

    fn forget_first(&mut self) {
        let Some(((revision, id), _)) = self.removals.pop_first() else {
            return;
        };
        self.records.remove(&id);
        self.covered = self.covered.max(revision);
    }
}
