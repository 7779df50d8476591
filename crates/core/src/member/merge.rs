//! Merges updates that other entries gossip, and keeps the SWIM status of entries.

use super::controller::{ActionList, MemberController};
use super::entries::EntrySlot;
use super::health::SuspicionTimer;
use super::index::{entry_digest, RecordKey};
use super::message::{EntryStatus, MemberUpdate};
use super::zones::ZoneStatement;
use super::EntryRecord;
use crate::ids::EntryId;
use std::time::{Duration, Instant};

/// Seconds for which a removed record is kept as a tombstone, so that an outdated copy does not restore it.
pub(super) const TOMBSTONE_S: u16 = 3_600;

/// Shortest time that a suspected entry has to refute, times the decimal logarithm of the number of entries.
const SUSPICION_TIME: Duration = Duration::from_secs(4);

/// Shortest time that a suspected entry of another zone has to refute; it is long enough that the loss of contact
/// with the whole zone is detected before.
const CROSS_ZONE_SUSPICION_TIME: Duration = Duration::from_secs(12);

/// Longest time that a suspected entry has to refute, as a multiple of the shortest.
const SUSPICION_MAX_FACTOR: u32 = 6;

/// Independent confirmations that reduce the time to refute to the shortest.
const CONFIRMATIONS: usize = 3;

/// Returns the seconds until a deadline, from 1 to [`TOMBSTONE_S`]; 0 if there is no deadline.
pub(super) fn seconds_until(deadline: Option<Instant>, now: Instant) -> u16 {
    let Some(deadline) = deadline else {
        return 0;
    };
    let left = deadline.saturating_duration_since(now).as_secs();
    u16::try_from(left)
        .unwrap_or(TOMBSTONE_S)
        .clamp(1, TOMBSTONE_S)
}

/// Returns when to drop a tombstone that the sender keeps for another `remaining_s` seconds.
pub(super) fn expiry_time(remaining_s: u16, now: Instant) -> Instant {
    now + Duration::from_secs(u64::from(remaining_s.min(TOMBSTONE_S)))
}

impl MemberController {
    /// Merges one update and gossips it on if it is new and `spread` is set.
    pub(super) fn merge_update(
        &mut self,
        update: MemberUpdate,
        spread: bool,
        now: Instant,
        actions: &mut ActionList,
    ) {
        match update {
            MemberUpdate::Entry {
                record,
                status,
                by,
                remaining_s,
            } => self.merge_entry(record, status, by, remaining_s, spread, now),
            MemberUpdate::Endpoint {
                record,
                remaining_s,
            } => {
                self.merge_endpoint(record, remaining_s, spread, now);
            }
            MemberUpdate::HeartbeatQuery {
                id,
                incarnation,
                heartbeat,
                by,
                all_entries,
            } => self.receive_query(
                (id, incarnation, heartbeat),
                (by, all_entries),
                now,
                actions,
            ),
            MemberUpdate::HeartbeatReport {
                id,
                incarnation,
                heartbeat,
            } => self.merge_heartbeat_report((id, incarnation, heartbeat), now),
            MemberUpdate::Zone {
                zone,
                observer,
                version,
                unreachable,
            } => {
                if observer != self.own_record.zone || zone == self.own_record.zone {
                    return;
                }
                let statement = ZoneStatement {
                    zone,
                    version,
                    unreachable,
                };
                if self.zones.merge(&statement, now) {
                    self.spread_zone(Some(statement));
                }
            }
        }
    }

    fn merge_entry(
        &mut self,
        record: EntryRecord,
        status: EntryStatus,
        by: EntryId,
        remaining_s: u16,
        spread: bool,
        now: Instant,
    ) {
        if record.id == self.own_record.id {
            self.refute(&record, status);
            return;
        }
        let known = self.entries.slots.get(&record.id);
        let known = known.map(|slot| (slot.record.incarnation, slot.status));
        match (known, status) {
            (None, EntryStatus::Left) if remaining_s == 0 => return,
            (Some((incarnation, _)), EntryStatus::Alive) if record.incarnation <= incarnation => {
                return
            }
            (Some((incarnation, old)), EntryStatus::Left)
                if record.incarnation < incarnation || old == EntryStatus::Left =>
            {
                return
            }
            (Some((incarnation, old)), EntryStatus::Suspect) => {
                if record.incarnation < incarnation {
                    return;
                }
                if record.incarnation == incarnation {
                    if old != EntryStatus::Left {
                        self.suspect_entry(record.id, by, spread, now);
                    }
                    return;
                }
            }
            _ => {}
        }
        let id = record.id;
        let stored = match status {
            EntryStatus::Left => EntryStatus::Left,
            EntryStatus::Alive | EntryStatus::Suspect => EntryStatus::Alive,
        };
        let expires_at = match stored {
            EntryStatus::Left => Some(expiry_time(remaining_s, now)),
            _ => None,
        };
        self.store_entry(record, stored, expires_at);
        if spread {
            self.spread_entry(id, by, now);
        }
        if status == EntryStatus::Suspect {
            self.suspect_entry(id, by, spread, now);
        }
    }

    /// Raises the own incarnation if other entries suspect or removed this entry, or if they have a record of it with
    /// a higher incarnation, which remains from an earlier run whose clock was ahead.
    fn refute(&mut self, record: &EntryRecord, status: EntryStatus) {
        let own_incarnation = self.own_record.incarnation;
        let stale = match status {
            EntryStatus::Alive => record.incarnation <= own_incarnation,
            EntryStatus::Suspect | EntryStatus::Left => record.incarnation < own_incarnation,
        };
        if stale {
            return;
        }
        if record.incarnation == own_incarnation {
            self.health.worsen();
        }
        let digest = entry_digest(&self.own_record, false);
        self.index
            .remove(RecordKey::Entry(self.own_record.id), digest);
        self.own_record.incarnation = record.incarnation + 1;
        self.index_own_record();
        self.spread_own_record();
    }

    pub(super) fn index_own_record(&mut self) {
        let digest = entry_digest(&self.own_record, false);
        self.index.add(RecordKey::Entry(self.own_record.id), digest);
    }

    pub(super) fn spread_own_record(&mut self) {
        let update = self.own_update();
        self.queue.push(update);
    }

    pub(super) fn own_update(&self) -> MemberUpdate {
        MemberUpdate::Entry {
            record: self.own_record.clone(),
            status: EntryStatus::Alive,
            by: self.own_record.id,
            remaining_s: 0,
        }
    }

    fn store_entry(
        &mut self,
        record: EntryRecord,
        status: EntryStatus,
        expires_at: Option<Instant>,
    ) {
        let key = RecordKey::Entry(record.id);
        if let Some(old) = self.entries.slots.get(&record.id) {
            let left = old.status == EntryStatus::Left;
            self.index.remove(key, entry_digest(&old.record, left));
        }
        let left = status == EntryStatus::Left;
        self.index.add(key, entry_digest(&record, left));
        let slot = EntrySlot {
            record,
            status,
            suspicion: None,
            expires_at,
        };
        self.entries.store(slot);
    }

    fn spread_entry(&mut self, id: EntryId, by: EntryId, now: Instant) {
        let Some(slot) = self.entries.slots.get(&id) else {
            return;
        };
        self.queue.push(MemberUpdate::Entry {
            record: slot.record.clone(),
            status: slot.status,
            by,
            remaining_s: seconds_until(slot.expires_at, now),
        });
    }

    /// Starts the suspicion of an entry, or adds the confirmation by `by` to a running one.
    pub(super) fn suspect_entry(&mut self, id: EntryId, by: EntryId, spread: bool, now: Instant) {
        let others = self.entries.live_count();
        // CAST: The logarithm of a count is a small positive number.
        let digits = ((others + 1).max(10) as f64).log10();
        let mut shortest = SUSPICION_TIME.mul_f64(digits);
        let Some(slot) = self.entries.slots.get_mut(&id) else {
            return;
        };
        if slot.record.zone != self.own_record.zone {
            shortest = shortest.max(CROSS_ZONE_SUSPICION_TIME);
        }
        let is_new = match (&mut slot.suspicion, slot.status) {
            (_, EntryStatus::Left) => false,
            (Some(timer), _) => timer.confirm(by),
            (None, _) => {
                let earliest = now + shortest;
                let latest = now + shortest * SUSPICION_MAX_FACTOR;
                let needed = CONFIRMATIONS.min(others.saturating_sub(1));
                slot.suspicion = Some(SuspicionTimer::new(by, earliest, latest, needed));
                slot.status = EntryStatus::Suspect;
                self.entries.watched.insert(id);
                true
            }
        };
        if is_new && spread {
            self.spread_entry(id, by, now);
        }
    }

    /// Removes suspected entries at their deadline and drops expired tombstones.
    pub(super) fn sweep_entries(&mut self, now: Instant) {
        let mut removed = Vec::new();
        let mut expired = Vec::new();
        for &id in &self.entries.watched {
            let Some(slot) = self.entries.slots.get(&id) else {
                continue;
            };
            if slot.expires_at.is_some_and(|deadline| deadline <= now) {
                expired.push(id);
                continue;
            }
            let Some(timer) = &slot.suspicion else {
                continue;
            };
            if timer.deadline() <= now && !self.is_removal_suspended(&slot.record.zone, now) {
                removed.push(id);
            }
        }
        for id in removed {
            let Some(slot) = self.entries.slots.get(&id) else {
                continue;
            };
            let record = slot.record.clone();
            let expires_at = expiry_time(TOMBSTONE_S, now);
            self.store_entry(record, EntryStatus::Left, Some(expires_at));
            self.spread_entry(id, self.own_record.id, now);
        }
        for id in expired {
            if let Some(slot) = self.entries.remove(id) {
                let digest = entry_digest(&slot.record, true);
                self.index.remove(RecordKey::Entry(id), digest);
            }
        }
    }
}
