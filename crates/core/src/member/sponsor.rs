//! Endpoints as the entries that hear them see them.

use super::announce::SPONSORS;
use super::controller::MemberController;
use super::health::SuspicionTimer;
use super::index::{endpoint_digest, RecordKey};
use super::merge::{forget_time, seconds_until, TOMBSTONE_S};
use super::message::{AnnounceBeat, AnnounceReply, EntryStatus, MemberUpdate, UPDATE_BUDGET};
use super::{EndpointRecord, EndpointState, EntryRecord};
use crate::ids::{DigestValue, EndpointId, EntryId, IncarnationNumber};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Silence after which an entry that hears an endpoint suspects it; four announcements are missing then.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Shortest time to refute the suspicion of an endpoint.
const SUSPICION_MIN: Duration = Duration::from_millis(1_500);

/// Longest time to refute the suspicion of an endpoint.
const SUSPICION_MAX: Duration = Duration::from_secs(4);

/// Independent confirmations that make the time the shortest.
const CONFIRMATIONS: usize = SPONSORS - 1;

/// Time for which another entry's word of a beat keeps this entry from suspecting the endpoint itself.
const VOUCH_TIME: Duration = Duration::from_secs(60);

/// Endpoints for which one sweep checks whether anybody hears them.
const AUDIT_BATCH: usize = 8;

/// Live entries that an agent is told of at once.
const SAMPLE_ENTRIES: usize = 8;

/// Bytes of an answer that peers may take.
const PEERS_BUDGET: usize = UPDATE_BUDGET / 2;

/// Orders the entries for an endpoint; the lowest of its zone are those that it announces to.
pub(super) fn sponsor_score(entry: EntryId, endpoint: EndpointId) -> u64 {
    xxh3_64_with_seed(&entry.to_le_bytes(), endpoint)
}

/// Returns the digest of a set of records, whatever their order.
pub(super) fn set_digest<'a>(records: impl Iterator<Item = &'a EndpointRecord>) -> DigestValue {
    records.fold(0, |sum, record| sum ^ endpoint_digest(record))
}

impl MemberController {
    /// Takes an announcement and returns the answer.
    pub(super) fn announced(
        &mut self,
        beat: AnnounceBeat,
        now: Instant,
        rng: &mut SmallRng,
    ) -> AnnounceReply {
        if let Some(record) = beat.record {
            self.learn_endpoint(record, TOMBSTONE_S, true, now);
        }
        let known = self.hear_beat(beat.id, beat.version.incarnation, beat.beat, now);
        let zone = self.endpoint(beat.id).map(|record| record.zone.clone());
        if let Some(zone) = zone.filter(|zone| *zone != self.own.zone) {
            let statement = self.zones.heard_agent(&zone, now);
            self.spread_zone(statement);
        }
        let peers = self.peers_unless(beat.id, beat.peers);
        let entries = match beat.refresh {
            true => self.sample_entries(rng),
            false => Vec::new(),
        };
        AnnounceReply {
            beat: beat.beat,
            stamp: self.stamp,
            known,
            entries,
            peers,
        }
    }

    fn hear_beat(
        &mut self,
        id: EndpointId,
        incarnation: IncarnationNumber,
        beat: u64,
        now: Instant,
    ) -> Option<super::RecordVersion> {
        let slot = self.endpoints.slots.get_mut(&id)?;
        let version = slot.record.version();
        if version.incarnation != incarnation || beat <= slot.beat {
            return Some(version);
        }
        slot.beat = beat;
        if version.state == EndpointState::Left {
            return Some(version);
        }
        slot.silent_at = Some(now + self.health.scale(SILENCE_LIMIT));
        self.endpoints.watched.insert(id);
        if slot.suspicion.take().is_some() {
            self.spread.push(MemberUpdate::Heard {
                id,
                incarnation,
                beat,
            });
        }
        Some(version)
    }

    fn peers_unless(&self, id: EndpointId, known: DigestValue) -> Option<Vec<EndpointRecord>> {
        let service = &self.endpoint(id)?.service;
        let mut ranked: Vec<_> = self
            .endpoints
            .ready(service)
            .filter(|peer| peer.id != id)
            .map(|peer| (sponsor_score(peer.id, id), peer))
            .collect();
        ranked.sort_unstable_by_key(|&(score, _)| score);
        let mut budget = PEERS_BUDGET;
        let mut peers = Vec::new();
        for (_, peer) in ranked {
            let update = MemberUpdate::Endpoint {
                record: peer.clone(),
                remaining_s: 0,
            };
            let size = update.size_limit();
            if size > budget {
                break;
            }
            budget -= size;
            peers.push(peer.clone());
        }
        match set_digest(peers.iter()) == known {
            true => None,
            false => Some(peers),
        }
    }

    fn sample_entries(&self, rng: &mut SmallRng) -> Vec<EntryRecord> {
        let alive = self.entries.slots.values();
        let alive = alive.filter(|slot| slot.status == EntryStatus::Alive);
        // An agent announces to entries of its zone, which is the zone of the entries that it reaches first.
        let (near, far): (Vec<_>, Vec<_>) =
            alive.partition(|slot| slot.record.zone == self.own.zone);
        let mut sample = vec![self.own.clone()];
        let near = near.into_iter().choose_multiple(rng, SAMPLE_ENTRIES / 2);
        let far = far.into_iter().choose_multiple(rng, SAMPLE_ENTRIES / 2);
        sample.extend(near.into_iter().chain(far).map(|slot| slot.record.clone()));
        sample
    }

    /// Merges an endpoint record; returns whether it superseded what was known.
    pub(super) fn learn_endpoint(
        &mut self,
        record: EndpointRecord,
        remaining_s: u16,
        spread: bool,
        now: Instant,
    ) -> bool {
        let left = record.state == EndpointState::Left;
        match self.endpoint(record.id) {
            Some(known) if !record.supersedes(known) => return false,
            None if left && remaining_s == 0 => return false,
            _ => {}
        }
        let forget_at = match left {
            true => Some(forget_time(remaining_s, now)),
            false => None,
        };
        let id = record.id;
        self.store_endpoint(record, forget_at);
        if spread {
            self.spread_endpoint(id, now);
        }
        true
    }

    fn store_endpoint(&mut self, record: EndpointRecord, forget_at: Option<Instant>) {
        let key = RecordKey::Endpoint(record.id);
        if let Some(old) = self.endpoint(record.id) {
            let digest = endpoint_digest(old);
            self.index.remove(key, digest);
        }
        self.index.add(key, endpoint_digest(&record));
        self.endpoints.store(record, forget_at);
        self.changes += 1;
    }

    fn spread_endpoint(&mut self, id: EndpointId, now: Instant) {
        let Some(slot) = self.endpoints.slots.get(&id) else {
            return;
        };
        self.spread.push(MemberUpdate::Endpoint {
            record: slot.record.clone(),
            remaining_s: seconds_until(slot.forget_at, now),
        });
    }

    /// Takes another entry's word that an endpoint is silent; a later beat heard here refutes it.
    pub(super) fn learn_silence(
        &mut self,
        id: EndpointId,
        incarnation: IncarnationNumber,
        beat: u64,
        by: EntryId,
        now: Instant,
    ) {
        if by == self.own.id {
            return;
        }
        let Some(slot) = self.endpoints.slots.get(&id) else {
            return;
        };
        if slot.record.incarnation != incarnation {
            return;
        }
        if slot.beat > beat {
            self.spread.push(MemberUpdate::Heard {
                id,
                incarnation,
                beat: slot.beat,
            });
            return;
        }
        self.suspect_endpoint(id, by, beat, now);
    }

    fn suspect_endpoint(&mut self, id: EndpointId, by: EntryId, beat: u64, now: Instant) {
        let Some(slot) = self.endpoints.slots.get_mut(&id) else {
            return;
        };
        if slot.record.state == EndpointState::Left {
            return;
        }
        // A later beat refutes this suspicion, an earlier one does not.
        slot.beat = slot.beat.max(beat);
        let news = match &mut slot.suspicion {
            Some(timer) => timer.confirm(by),
            None => {
                let (earliest, latest) = (now + SUSPICION_MIN, now + SUSPICION_MAX);
                let timer = SuspicionTimer::new(by, earliest, latest, CONFIRMATIONS);
                slot.suspicion = Some(timer);
                self.endpoints.watched.insert(id);
                true
            }
        };
        if news {
            let incarnation = slot.record.incarnation;
            self.spread.push(MemberUpdate::Silent {
                id,
                incarnation,
                beat,
                by,
            });
        }
    }

    /// Takes another entry's word that it heard a beat.
    pub(super) fn learn_beat(
        &mut self,
        id: EndpointId,
        incarnation: IncarnationNumber,
        beat: u64,
        now: Instant,
    ) {
        let Some(slot) = self.endpoints.slots.get_mut(&id) else {
            return;
        };
        if slot.record.incarnation != incarnation || beat <= slot.beat {
            return;
        }
        slot.vouched_until = Some(now + VOUCH_TIME);
        slot.suspicion = None;
        if slot.silent_at.is_none_or(|deadline| deadline <= now) {
            // The agent announces to other entries by now, which detect its silence.
            slot.beat = beat;
            slot.silent_at = None;
            self.endpoints.watched.remove(&id);
        }
        // Entries that do not suspect the endpoint pass this on as well, because the suspicion spreads everywhere.
        self.spread.push(MemberUpdate::Heard {
            id,
            incarnation,
            beat,
        });
    }

    /// Suspects endpoints that fell silent and removes those whose suspicion nobody refuted.
    pub(super) fn sweep_endpoints(&mut self, now: Instant) {
        let mut silent = Vec::new();
        let mut removed = Vec::new();
        for &id in &self.endpoints.watched {
            let Some(slot) = self.endpoints.slots.get(&id) else {
                continue;
            };
            if self.is_frozen(&slot.record.zone, now) {
                continue;
            }
            if slot.silent_at.is_some_and(|deadline| deadline <= now) {
                silent.push((id, slot.beat));
            }
            if let Some(timer) = &slot.suspicion {
                if timer.deadline() <= now {
                    removed.push(id);
                }
            }
        }
        for (id, beat) in silent {
            if let Some(slot) = self.endpoints.slots.get_mut(&id) {
                slot.silent_at = None;
            }
            self.suspect_endpoint(id, self.own.id, beat, now);
        }
        for id in removed {
            self.remove_endpoint(id, now);
        }
    }

    fn remove_endpoint(&mut self, id: EndpointId, now: Instant) {
        self.endpoints.watched.remove(&id);
        let Some(mut record) = self.endpoint(id).cloned() else {
            return;
        };
        if record.state == EndpointState::Left {
            return;
        }
        record.state = EndpointState::Left;
        self.store_endpoint(record, Some(forget_time(TOMBSTONE_S, now)));
        self.spread_endpoint(id, now);
    }

    /// Checks some endpoints in turn: forgets old tombstones, and suspects endpoints that should announce to this
    /// entry and do not, because all entries that heard them may have failed together.
    pub(super) fn audit_endpoints(&mut self, now: Instant) {
        let range = self.endpoints.slots.range(self.audit_cursor..);
        let batch: Vec<_> = range.take(AUDIT_BATCH).map(|(&id, _)| id).collect();
        self.audit_cursor = match batch.last() {
            Some(&last) if batch.len() == AUDIT_BATCH => last + 1,
            _ => 0,
        };
        for id in batch {
            let Some(slot) = self.endpoints.slots.get_mut(&id) else {
                continue;
            };
            if slot.forget_at.is_some_and(|deadline| deadline <= now) {
                if let Some(slot) = self.endpoints.forget(id) {
                    let digest = endpoint_digest(&slot.record);
                    self.index.remove(RecordKey::Endpoint(id), digest);
                }
                continue;
            }
            let watched = slot.silent_at.is_some() || slot.suspicion.is_some();
            if watched || slot.record.state == EndpointState::Left {
                continue;
            }
            let vouched = *slot.vouched_until.get_or_insert(now + VOUCH_TIME / 4);
            if vouched > now {
                continue;
            }
            let beat = slot.beat;
            let zone = slot.record.zone.clone();
            if self.is_sponsor(id, &zone, now) && !self.is_frozen(&zone, now) {
                self.suspect_endpoint(id, self.own.id, beat, now);
            }
        }
    }

    /// Returns whether the endpoint should announce to this entry.
    fn is_sponsor(&self, id: EndpointId, zone: &str, now: Instant) -> bool {
        let own = sponsor_score(self.own.id, id);
        let reachable = |entry: &&EntryRecord| !self.zones.is_unreachable(&entry.zone, now);
        let local = zone == self.own.zone;
        if !local && self.entries.live_in(zone).any(|entry| reachable(&entry)) {
            return false;
        }
        let before = self
            .entries
            .live()
            .filter(reachable)
            .filter(|entry| !local || entry.zone == zone)
            .filter(|entry| sponsor_score(entry.id, id) < own);
        before.take(SPONSORS).count() < SPONSORS
    }
}
