//! Which other zones the entries of the own zone hear.
//!
//! Entries and endpoints of a zone that can't be heard are kept until a long deadline, because a broken link
//! between zones says nothing about the instances behind it.

use crate::ids::ZoneName;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Silence after which a zone is marked as unreachable.
pub(super) const ZONE_SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Time after which the entries of an unreachable zone are removed.
pub(super) const ZONE_REMOVAL_TIME: Duration = Duration::from_secs(30 * 60);

/// Time between two statements that a zone is heard through its agents.
const RESTATE_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct ZoneSlot {
    version: u32,
    /// When the zone is marked unless it is heard before.
    silent_at: Instant,
    /// When a statement about agents of the zone may be repeated.
    restate_at: Instant,
    /// When the entries of the zone are removed; set while it is unreachable.
    remove_at: Option<Instant>,
}

/// A statement for the other entries of the own zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ZoneStatement {
    /// The zone that is described.
    pub(super) zone: ZoneName,
    /// Orders the statements.
    pub(super) version: u32,
    /// Whether nothing has been heard.
    pub(super) unreachable: bool,
}

/// Reachability of the other zones.
#[derive(Debug, Default)]
pub(super) struct ZoneTable {
    slots: BTreeMap<ZoneName, ZoneSlot>,
}

impl ZoneTable {
    /// Returns whether the zone is marked as unreachable and its removal deadline has not come.
    pub(super) fn is_unreachable(&self, zone: &str, now: Instant) -> bool {
        let slot = self.slots.get(zone);
        slot.and_then(|slot| slot.remove_at)
            .is_some_and(|deadline| deadline > now)
    }

    /// Returns the zones that are marked as unreachable.
    pub(super) fn marked(&self) -> impl Iterator<Item = &ZoneName> {
        let marked = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.remove_at.is_some());
        marked.map(|(zone, _)| zone)
    }

    /// Notes a message of an entry of the zone.
    pub(super) fn heard_entry(&mut self, zone: &str, now: Instant) -> Option<ZoneStatement> {
        let slot = self.slot(zone, now);
        slot.silent_at = now + ZONE_SILENCE_LIMIT;
        slot.remove_at?;
        Some(slot.state_reachable(zone, now))
    }

    /// Notes a message of an agent of the zone, which other entries of the own zone may not hear.
    pub(super) fn heard_agent(&mut self, zone: &str, now: Instant) -> Option<ZoneStatement> {
        let slot = self.slot(zone, now);
        slot.silent_at = now + ZONE_SILENCE_LIMIT;
        if slot.remove_at.is_none() && slot.restate_at > now {
            return None;
        }
        Some(slot.state_reachable(zone, now))
    }

    /// Takes a statement of another entry of the own zone; returns whether it is new.
    pub(super) fn learn(&mut self, statement: &ZoneStatement, now: Instant) -> bool {
        let slot = self.slot(&statement.zone, now);
        if statement.version <= slot.version {
            return false;
        }
        slot.version = statement.version;
        if !statement.unreachable {
            slot.silent_at = now + ZONE_SILENCE_LIMIT;
            slot.restate_at = now + RESTATE_INTERVAL;
            slot.remove_at = None;
            return true;
        }
        slot.remove_at.get_or_insert(now + ZONE_REMOVAL_TIME);
        true
    }

    /// Starts the wait for a sign of each zone again, because this entry has not been in contact with them.
    pub(super) fn restart(&mut self, now: Instant) {
        for slot in self.slots.values_mut() {
            slot.silent_at = now + ZONE_SILENCE_LIMIT;
        }
    }

    /// Marks zones that have been silent for too long; `zones` are those with live entries.
    pub(super) fn check(&mut self, zones: &[ZoneName], now: Instant) -> Vec<ZoneStatement> {
        let mut statements = Vec::new();
        self.slots.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            let slot = self.slot(zone, now);
            if slot.remove_at.is_some() || slot.silent_at > now {
                continue;
            }
            slot.version += 1;
            slot.remove_at = Some(now + ZONE_REMOVAL_TIME);
            statements.push(ZoneStatement {
                zone: zone.clone(),
                version: slot.version,
                unreachable: true,
            });
        }
        statements
    }

    fn slot(&mut self, zone: &str, now: Instant) -> &mut ZoneSlot {
        self.slots.entry(zone.into()).or_insert(ZoneSlot {
            version: 0,
            silent_at: now + ZONE_SILENCE_LIMIT,
            restate_at: now,
            remove_at: None,
        })
    }
}

impl ZoneSlot {
    fn state_reachable(&mut self, zone: &str, now: Instant) -> ZoneStatement {
        self.version += 1;
        self.remove_at = None;
        self.restate_at = now + RESTATE_INTERVAL;
        ZoneStatement {
            zone: zone.into(),
            version: self.version,
            unreachable: false,
        }
    }
}
