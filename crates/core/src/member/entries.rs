//! What one entry believes of the other entries.

use super::health::SuspicionTimer;
use super::message::EntryStatus;
use super::EntryRecord;
use crate::ids::{EntryId, ZoneName};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;
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
}

impl EntryTable {
    /// Returns the entries that have not left.
    pub(super) fn live(&self) -> impl Iterator<Item = &EntryRecord> {
        self.slots
            .values()
            .filter(|slot| slot.status != EntryStatus::Left)
            .map(|slot| &slot.record)
    }

    /// Returns the entries of a zone that have not left, by id.
    pub(super) fn live_in<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a EntryRecord> {
        self.live().filter(move |record| record.zone == zone)
    }

    /// Returns whether `own` is one of the lowest-numbered live entries of its zone.
    pub(super) fn is_bridge(&self, own: &EntryRecord) -> bool {
        let lower = |record: &&EntryRecord| record.id < own.id;
        self.live_in(&own.zone).filter(lower).count() < BRIDGES
    }

    /// Returns the zones of live entries other than `own`.
    pub(super) fn other_zones(&self, own: &str) -> Vec<ZoneName> {
        let mut zones: Vec<_> = self
            .live()
            .map(|record| &record.zone)
            .filter(|zone| *zone != own)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        zones.into_iter().cloned().collect()
    }

    /// Chooses live entries of a zone at random.
    pub(super) fn choose(
        &self,
        zone: &str,
        except: EntryId,
        amount: usize,
        rng: &mut SmallRng,
    ) -> Vec<EntryId> {
        self.live_in(zone)
            .map(|record| record.id)
            .filter(|&id| id != except)
            .choose_multiple(rng, amount)
    }
}
