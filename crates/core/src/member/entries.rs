//! What one entry believes of the other entries.

use super::health::SuspicionTimer;
use super::message::EntryStatus;
use super::EntryRecord;
use crate::ids::{EntryId, ZoneName};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Entries of a zone that keep contact with other zones.
pub(super) const BRIDGES: usize = 3;

/// One other entry.
#[derive(Debug)]
pub(super) struct EntrySlot {
    /// What the entry says of itself.
    pub(super) record: EntryRecord,
    /// What is believed of it.
    pub(super) status: EntryStatus,
    /// Runs while the status is `Suspect`.
    pub(super) suspicion: Option<SuspicionTimer>,
    /// When a record with status `Left` is forgotten.
    pub(super) forget_at: Option<Instant>,
}

/// The other entries by id.
#[derive(Debug, Default)]
pub(super) struct EntryTable {
    /// All entries that are known, also those that have left.
    pub(super) slots: BTreeMap<EntryId, EntrySlot>,
    /// Entries with a deadline for suspicion or for being forgotten.
    pub(super) watched: BTreeSet<EntryId>,
    /// Entries that have not left, by zone, so that a choice within a zone does not look at all entries.
    zones: BTreeMap<ZoneName, BTreeSet<EntryId>>,
}

impl EntryTable {
    /// Stores what is believed of an entry.
    pub(super) fn store(&mut self, slot: EntrySlot) {
        let id = slot.record.id;
        self.remove(id);
        if slot.status != EntryStatus::Left {
            let zone = slot.record.zone.clone();
            self.zones.entry(zone).or_default().insert(id);
        }
        if slot.forget_at.is_some() {
            self.watched.insert(id);
        }
        self.slots.insert(id, slot);
    }

    /// Forgets an entry.
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

    /// Returns whether the entry is known and has not left.
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

    /// Returns whether `own` is one of the lowest-numbered live entries of its zone.
    pub(super) fn is_bridge(&self, own: &EntryRecord) -> bool {
        let lower = |record: &&EntryRecord| record.id < own.id;
        self.live_in(&own.zone).take(BRIDGES).filter(lower).count() < BRIDGES
    }

    /// Returns the zones of live entries other than `own`.
    pub(super) fn other_zones(&self, own: &str) -> Vec<ZoneName> {
        let zones = self.zones.keys().filter(|zone| *zone != own);
        zones.cloned().collect()
    }

    /// Chooses live entries of a zone at random.
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
