//! Reachability of the other zones from the own zone.
//!
//! Entries and endpoints of an unreachable zone are kept until a long deadline, because a broken link between zones
//! does not mean that the instances behind it have failed.

use crate::ids::ZoneName;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time without a message from a zone after which it is marked as unreachable.
pub(super) const ZONE_SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Time for which an unreachable zone protects its entries and endpoints from removal.
pub(super) const ZONE_REMOVAL_TIME: Duration = Duration::from_secs(30 * 60);

/// Shortest time between two statements that a zone is reachable, which messages from its agents cause.
const RESTATE_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct ZoneSlot {
    version: u32,
    /// When the zone is marked as unreachable unless a message from it arrives before.
    silent_at: Instant,
    /// When a message from an agent of the zone may cause the next statement.
    restate_at: Instant,
    /// When the entries of the zone may be removed; set while the zone is marked as unreachable.
    remove_at: Option<Instant>,
}

/// Reachability of one zone, for the other entries of the own zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ZoneStatement {
    /// The zone that is described.
    pub(super) zone: ZoneName,
    /// Orders the statements about one zone; the highest is valid.
    pub(super) version: u32,
    /// Whether no message has arrived from the zone for too long.
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
    pub(super) fn unreachable(&self) -> impl Iterator<Item = &ZoneName> {
        let marked = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.remove_at.is_some());
        marked.map(|(zone, _)| zone)
    }

    /// Records a message from an entry of the zone; returns a statement if the zone was marked as unreachable.
    pub(super) fn record_entry_message(
        &mut self,
        zone: &str,
        now: Instant,
    ) -> Option<ZoneStatement> {
        let slot = self.slot(zone, now);
        slot.silent_at = now + ZONE_SILENCE_LIMIT;
        slot.remove_at?;
        Some(slot.state_reachable(zone, now))
    }

    /// Records a message from an agent of the zone.
    ///
    /// It returns a statement if the zone was marked as unreachable, and otherwise again after [`RESTATE_INTERVAL`],
    /// because other entries of the own zone may receive nothing from that agent.
    pub(super) fn record_agent_message(
        &mut self,
        zone: &str,
        now: Instant,
    ) -> Option<ZoneStatement> {
        let slot = self.slot(zone, now);
        slot.silent_at = now + ZONE_SILENCE_LIMIT;
        if slot.remove_at.is_none() && slot.restate_at > now {
            return None;
        }
        Some(slot.state_reachable(zone, now))
    }

    /// Merges a statement of another entry of the own zone; returns whether it is new.
    pub(super) fn merge(&mut self, statement: &ZoneStatement, now: Instant) -> bool {
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

    /// Restarts the deadline of each zone; used when this entry becomes a bridge, because it had no contact with them
    /// before.
    pub(super) fn reset_deadlines(&mut self, now: Instant) {
        for slot in self.slots.values_mut() {
            slot.silent_at = now + ZONE_SILENCE_LIMIT;
        }
    }

    /// Marks silent zones as unreachable and returns a statement for each; `zones` are those with live entries.
    pub(super) fn mark_silent(&mut self, zones: &[ZoneName], now: Instant) -> Vec<ZoneStatement> {
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
