//! Table of the other entries with their SWIM status, indexed by zone.

use super::health::SuspicionTimer;
use super::message::EntryStatus;
use super::EntryRecord;
use crate::ids::{EntryId, ZoneName};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Entries of each zone that exchange messages with other zones; the live ones with the lowest ids.
pub(super) const BRIDGES: usize = 3;

/// One other entry.
#[derive(Debug)]
pub(super) struct EntrySlot {
    /// Newest record of the entry.
    pub(super) record: EntryRecord,
    /// Status in the view of this entry.
    pub(super) status: EntryStatus,
    /// Timer of the suspicion; set while the status is `Suspect`.
    pub(super) suspicion: Option<SuspicionTimer>,
    /// When a tombstone, a record with status `Left`, is dropped.
    pub(super) expires_at: Option<Instant>,
}

/// The other entries by id.
#[derive(Debug, Default)]
pub(super) struct EntryTable {
    /// All other entries, including the tombstones of those that have left.
    pub(super) slots: BTreeMap<EntryId, EntrySlot>,
    /// Entries with a running suspicion timer or a tombstone that expires.
    pub(super) watched: BTreeSet<EntryId>,
    /// Entries that have not left, by zone, so that a choice within a zone need not scan all entries.
    zones: BTreeMap<ZoneName, BTreeSet<EntryId>>,
}

impl EntryTable {
    /// Stores an entry in place of an earlier slot with the same id.
    pub(super) fn store(&mut self, slot: EntrySlot) {
        let id = slot.record.id;
        self.remove(id);
        if slot.status != EntryStatus::Left {
            let zone = slot.record.zone.clone();
            self.zones.entry(zone).or_default().insert(id);
        }
        if slot.expires_at.is_some() {
            self.watched.insert(id);
        }
        self.slots.insert(id, slot);
    }

    /// Removes an entry without leaving a tombstone.
    pub(super) fn remove(&mut self, id: EntryId) -> Option<EntrySlot> {
        let slot = self.slots.remove(&id)?;
        self.watched.remove(&id);
        if let Some(ids) = self.zones.get_mut(&slot.record.zone) {
            ids.remove(&id);
            if ids.is_empty() {
                self.zones.remove(&slot.record.zone);
            }
        }
        Some(slot)
    }

    /// Returns whether the entry is in the table and has not left.
    pub(super) fn is_live(&self, id: EntryId) -> bool {
        let slot = self.slots.get(&id);
        slot.is_some_and(|slot| slot.status != EntryStatus::Left)
    }

    /// Returns how many entries have not left.
    pub(super) fn live_count(&self) -> usize {
        self.zones.values().map(BTreeSet::len).sum()
    }

    /// Returns the entries that have not left.
    pub(super) fn live(&self) -> impl Iterator<Item = &EntryRecord> {
        self.slots
            .values()
            .filter(|slot| slot.status != EntryStatus::Left)
            .map(|slot| &slot.record)
    }

    /// Returns the entries of a zone that have not left, by id.
    pub(super) fn live_in<'a>(&'a self, zone: &str) -> impl Iterator<Item = &'a EntryRecord> {
        let ids = self.zones.get(zone).into_iter().flatten();
        ids.filter_map(|id| self.slots.get(id))
            .map(|slot| &slot.record)
    }

    /// Returns whether `own` is a bridge: one of the [`BRIDGES`] live entries of its zone with the lowest ids.
    pub(super) fn is_bridge(&self, own: &EntryRecord) -> bool {
        let lower = |record: &&EntryRecord| record.id < own.id;
        self.live_in(&own.zone).take(BRIDGES).filter(lower).count() < BRIDGES
    }

    /// Returns the zones with live entries, except the zone `own`.
    pub(super) fn other_zones(&self, own: &str) -> Vec<ZoneName> {
        let zones = self.zones.keys().filter(|zone| *zone != own);
        zones.cloned().collect()
    }

    /// Chooses up to `amount` live entries of a zone at random, never `except`.
    pub(super) fn choose(
        &self,
        zone: &str,
        except: EntryId,
        amount: usize,
        rng: &mut SmallRng,
    ) -> Vec<EntryId> {
        let ids = self.zones.get(zone).into_iter().flatten().copied();
        ids.filter(|&id| id != except).choose_multiple(rng, amount)
    }
}
