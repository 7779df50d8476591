//! Availability zones that operators have evacuated, so that their upstreams take no new flows.
//!
//! The store holds a key for each evacuated zone. An entry learns of the keys from reads of the whole prefix and from
//! watches, whose answers may overtake each other; the store revisions give them their order. See docs/load.md and
//! docs/design/evacuation.md.

use crate::ids::{RevisionNumber, StoreRevision, ZoneName};
use crate::relay::list::ListState;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the fingerprint of the evacuated zones.
const ZONES_SEED: u64 = 0x00e7_ac7e;

/// Maximum number of removals that are kept, so that memory stays bounded if an operator's program writes and removes
/// keys with ever new names.
const REMOVALS_MAX: usize = 256;

/// An account of the key of one zone, or a change of what is in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneChange {
    /// Availability zone.
    pub zone: ZoneName,
    /// Store revision at which the key was written, or until which it was removed.
    pub revision: StoreRevision,
    /// Whether the zone is evacuated.
    pub evacuated: bool,
}

/// Changes of what is in force; one for most answers of the store.
pub type ZoneChanges = SmallVec<[ZoneChange; 2]>;

/// Last account of a zone that was applied.
#[derive(Clone, Copy, Debug)]
struct ZoneRecord {
    revision: StoreRevision,
    evacuated: bool,
}

/// Tracks which availability zones are evacuated.
#[derive(Debug, Default)]
pub struct EvacuationController {
    zones: BTreeMap<ZoneName, ZoneRecord>,
    /// Highest revision of a read that was applied, or of a removal that is no longer kept. An account of a zone that is
    /// not in `zones` is older than its removal if it is not newer than this.
    covered: StoreRevision,
    /// Zones that were evacuated before the last restart of the revisions.
    held: BTreeSet<ZoneName>,
    /// End of the time for which `held` counts.
    held_until: Option<Instant>,
}

impl EvacuationController {
    /// Returns whether `zone` is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let record = self.zones.get(zone);
        record.is_some_and(|record| record.evacuated) || self.held.contains(zone)
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.zones.values().all(|record| !record.evacuated)
    }

    /// Returns the evacuated zones in the order of their names.
    pub fn zones(&self) -> BTreeSet<ZoneName> {
        let mut zones = self.held.clone();
        for (zone, record) in &self.zones {
            if record.evacuated {
                zones.insert(zone.clone());
            }
        }
        zones
    }

    /// Applies a read of the whole prefix at `revision`, which returned these zones with the revisions of their keys.
    /// Returns what it changed. A key that was written after the read stays, as does a removal that is newer than a key
    /// in the read.
    pub fn replace(
        &mut self,
        read: &[(ZoneName, StoreRevision)],
        revision: StoreRevision,
    ) -> ZoneChanges {
        let before = self.zones();
        for (zone, written) in read {
            self.record(zone, *written, true);
        }
        for (zone, record) in &mut self.zones {
            let listed = read.iter().any(|(name, _)| name == zone);
            if record.evacuated && !listed && record.revision <= revision {
                *record = ZoneRecord {
                    revision,
                    evacuated: false,
                };
            }
        }
        self.covered = self.covered.max(revision);
        let covered = self.covered;
        self.zones
            .retain(|_, record| record.evacuated || record.revision > covered);
        self.changes_since(&before, revision)
    }

    /// Applies a change that a watch reported, unless a newer account of its zone was applied. Returns what it changed.
    pub fn apply(&mut self, change: &ZoneChange) -> ZoneChanges {
        let before = self.zones();
        if self.record(&change.zone, change.revision, change.evacuated) && !change.evacuated {
            // The operators have removed the key in the new epoch of the store, which ends the hold.
            self.held.remove(&change.zone);
        }
        self.limit_removals();
        self.changes_since(&before, change.revision)
    }

    /// Accepts any revision again, because the store was restored and gives out revisions anew. Zones that are evacuated
    /// now stay so until `held_until`, or until a watch reports the removal of their key: the restored store may lack
    /// keys that the operators have to write again.
    pub fn restart(&mut self, held_until: Instant) {
        self.held = self.zones();
        self.held_until = Some(held_until);
        self.zones.clear();
        self.covered = 0;
    }

    /// Ends the hold after [`EvacuationController::restart`] once its time is over. Returns what that changed.
    pub fn tick(&mut self, now: Instant) -> ZoneChanges {
        if self.held_until.is_none_or(|until| now < until) {
            return ZoneChanges::new();
        }
        let before = self.zones();
        self.held_until = None;
        self.held.clear();
        self.changes_since(&before, self.covered)
    }

    /// Returns the fingerprint of the zones whose keys the store has, as far as this entry knows; 0 if there are none.
    /// Zones that are only held do not count: no read of the store would add them elsewhere.
    pub fn fingerprint(&self) -> u64 {
        let mut fingerprint = 0;
        for (zone, record) in &self.zones {
            if record.evacuated {
                fingerprint ^= xxh3_64_with_seed(zone.as_bytes(), ZONES_SEED);
            }
        }
        fingerprint
    }

    /// Records an account of a zone unless a newer one was applied, and returns whether it was recorded.
    fn record(&mut self, zone: &ZoneName, revision: StoreRevision, evacuated: bool) -> bool {
        let known = self.zones.get(zone);
        if revision <= known.map_or(self.covered, |record| record.revision) {
            return false;
        }
        let record = ZoneRecord {
            revision,
            evacuated,
        };
        self.zones.insert(zone.clone(), record);
        true
    }

    /// Forgets the oldest removal if too many are kept.
    fn limit_removals(&mut self) {
        let removals = self.zones.iter().filter(|(_, record)| !record.evacuated);
        if removals.clone().count() <= REMOVALS_MAX {
            return;
        }
        let oldest = removals.min_by_key(|(_, record)| record.revision);
        if let Some((zone, record)) = oldest.map(|(zone, record)| (zone.clone(), *record)) {
            self.zones.remove(&zone);
            self.covered = self.covered.max(record.revision);
        }
    }

    /// Returns how the evacuated zones differ from those before; `revision` is that of the answer which changed them.
    fn changes_since(&self, before: &BTreeSet<ZoneName>, revision: StoreRevision) -> ZoneChanges {
        let after = self.zones();
        let mut changes = ZoneChanges::new();
        for zone in before.symmetric_difference(&after) {
            let record = self.zones.get(zone).filter(|record| record.evacuated);
            changes.push(ZoneChange {
                zone: zone.clone(),
                revision: record.map_or(revision, |record| record.revision),
                evacuated: after.contains(zone),
            });
        }
        changes
    }
}

/// State of what operators wrote, as far as an entry knows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OperatorState {
    /// Revision of the routes in force.
    pub routes: RevisionNumber,
    /// Fingerprint of the evacuated zones; 0 if there are none or they are not followed.
    pub evacuations: u64,
}

impl OperatorState {
    /// Returns the state by which [`crate::relay::freshness::FreshnessController`] compares the own state with those of
    /// other entries.
    pub fn own_state(self) -> ListState {
        self.state_with(0)
    }

    /// Returns the state of another entry for the comparison with `own`.
    ///
    /// A fingerprint has no order, so of two entries with the same routes it is not known which one is behind. Other
    /// evacuations count as newer, and lead to a read. A third entry whose state is equal does then not hide the
    /// difference.
    pub fn told_state(self, own: OperatorState) -> ListState {
        self.state_with(u64::from(self.evacuations != own.evacuations))
    }

    fn state_with(self, newer: u64) -> ListState {
        let revision = self.routes.saturating_mul(2).saturating_add(newer);
        ListState {
            revision: StoreRevision::try_from(revision).unwrap_or(StoreRevision::MAX),
            fingerprint: self.routes ^ self.evacuations,
        }
    }
}
