//! Endpoints as the entries that hear them see them.

use super::announce::SPONSORS;
use super::controller::{send, ActionList, MemberController};
use super::endpoints::{EndpointSuspicion, SilenceQuestion};
use super::index::{endpoint_digest, RecordKey};
use super::merge::{forget_time, seconds_until, TOMBSTONE_S};
use super::message::{
    AnnounceBeat, AnnounceReply, EntryStatus, MemberMessage, MemberUpdate, BEAT_BYTES,
    ENDPOINT_BYTES, UPDATE_BUDGET,
};
use super::{EndpointRecord, EndpointState, EntryRecord};
use crate::ids::{DigestValue, EndpointId, EntryId, IncarnationNumber};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Silence after which an entry that hears an endpoint suspects it; four announcements are missing then.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Time for the sponsors to answer whether they have heard an endpoint; each sweep asks again.
const SPONSOR_ANSWER_TIME: Duration = Duration::from_millis(1_500);

/// Shortest time for any entry to answer whether it has heard an endpoint.
const SUSPICION_TIME: Duration = Duration::from_secs(3);

/// Decimal digits of the number of entries up to which [`SUSPICION_TIME`] suffices; gossip takes longer beyond.
const SUSPICION_DIGITS: f64 = 2.0;

/// Entries that a question goes to directly: one more than hear every announcement, because views differ.
const ASKED: usize = SPONSORS + 1;

/// Questions to one entry in one sweep, as many as fit a datagram.
const QUESTIONS_MAX: usize = UPDATE_BUDGET / BEAT_BYTES;

/// Time for which another entry's word of a beat keeps this entry from suspecting the endpoint itself.
const VOUCH_TIME: Duration = Duration::from_secs(60);

/// Fewest endpoints for which one sweep checks whether anybody hears them.
const AUDIT_BATCH: usize = 8;

/// Sweeps in which all endpoints are checked, if that takes more than [`AUDIT_BATCH`] in each.
const AUDIT_SWEEPS: usize = 480;

/// Live entries of the own zone that an agent is told of at once, beside those that it announces to.
const SAMPLE_NEAR: usize = 3;

/// Live entries of other zones that an agent is told of at once.
const SAMPLE_FAR: usize = 3;

/// Bytes of an answer that peers may take.
const PEERS_BUDGET: usize = UPDATE_BUDGET / 2;

/// Peers that fit [`PEERS_BUDGET`] whatever their names.
const PEERS_MAX: usize = PEERS_BUDGET / ENDPOINT_BYTES;

/// An endpoint, the life of its agent and a beat of that life.
type BeatName = (EndpointId, IncarnationNumber, u64);

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
            true => self.sample_entries(beat.id, rng),
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
        slot.suspicion = None;
        Some(version)
    }

    fn peers_unless(&mut self, id: EndpointId, known: DigestValue) -> Option<Vec<EndpointRecord>> {
        let slot = self.endpoints.slots.get(&id)?;
        let version = self.endpoints.service_version(&slot.record.service);
        if slot.peers == Some((version, known)) {
            return None;
        }
        let peers = self.peers_of(id, &slot.record.service);
        let digest = set_digest(peers.iter());
        if let Some(slot) = self.endpoints.slots.get_mut(&id) {
            slot.peers = Some((version, digest));
        }
        match digest == known {
            true => None,
            false => Some(peers),
        }
    }

    /// Returns the ready peers that an agent is told of, as many as fit an answer.
    fn peers_of(&self, id: EndpointId, service: &str) -> Vec<EndpointRecord> {
        let mut budget = PEERS_BUDGET;
        let mut peers = Vec::new();
        for peer in self.endpoints.ready_for(service, id, PEERS_MAX) {
            let size = peer.size_limit();
            if size > budget {
                break;
            }
            budget -= size;
            peers.push(peer.clone());
        }
        peers
    }

    /// Returns this entry, those that should hear the endpoint, and some others.
    fn sample_entries(&self, id: EndpointId, rng: &mut SmallRng) -> Vec<EntryRecord> {
        let mut ids = self.sponsors_of(id, SPONSORS).into_vec();
        let own = &self.own;
        let near = self.entries.choose(&own.zone, own.id, SAMPLE_NEAR, rng);
        ids.extend(near);
        let zones = self.entries.other_zones(&own.zone);
        let each = SAMPLE_FAR / zones.len().clamp(1, SAMPLE_FAR);
        for zone in zones.choose_multiple(rng, SAMPLE_FAR) {
            let others = self.entries.choose(zone, own.id, each, rng);
            ids.extend(others);
        }
        ids.sort_unstable();
        ids.dedup();
        let slots = ids.iter().filter_map(|id| self.entries.slots.get(id));
        let alive = slots.filter(|slot| slot.status == EntryStatus::Alive);
        let mut sample = vec![own.clone()];
        sample.extend(alive.map(|slot| slot.record.clone()));
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

    /// Takes another entry's question about a silent endpoint: answers if this entry hears the endpoint, and passes
    /// the question on once, because the agent may announce to entries that the asking one does not expect.
    pub(super) fn learn_silence(
        &mut self,
        (id, incarnation, beat): BeatName,
        by: EntryId,
        now: Instant,
        actions: &mut ActionList,
    ) {
        if by == self.own.id {
            return;
        }
        let Some(slot) = self.endpoints.slots.get_mut(&id) else {
            return;
        };
        if slot.record.incarnation != incarnation || slot.record.state == EndpointState::Left {
            return;
        }
        let listens = slot.silent_at.is_some_and(|deadline| deadline > now);
        if listens && slot.beat > beat {
            let mut head = self.bare_head();
            let beat = self.endpoints.slots.get(&id).map_or(0, |slot| slot.beat);
            head.updates.push(MemberUpdate::Heard {
                id,
                incarnation,
                beat,
            });
            actions.push(send(by, MemberMessage::Gossip(head)));
            return;
        }
        let question = slot.question.get_or_insert_default();
        if beat > question.beat {
            **question = SilenceQuestion {
                beat,
                sources: SmallVec::new(),
            };
        }
        if question.sources.contains(&by) || question.sources.len() >= ASKED {
            return;
        }
        question.sources.push(by);
        self.spread.push(MemberUpdate::Silent {
            id,
            incarnation,
            beat,
            by,
        });
    }

    fn suspect_endpoint(&mut self, id: EndpointId, now: Instant) {
        let Some(slot) = self.endpoints.slots.get_mut(&id) else {
            return;
        };
        if slot.record.state == EndpointState::Left || slot.suspicion.is_some() {
            return;
        }
        slot.suspicion = Some(EndpointSuspicion {
            everyone: false,
            deadline: now + self.health.scale(SPONSOR_ANSWER_TIME),
        });
        self.endpoints.watched.insert(id);
    }

    /// Takes another entry's word that it heard a beat, which ends a suspicion of this entry.
    pub(super) fn learn_beat(&mut self, (id, incarnation, beat): BeatName, now: Instant) {
        let Some(slot) = self.endpoints.slots.get_mut(&id) else {
            return;
        };
        if slot.record.incarnation != incarnation || beat <= slot.beat {
            return;
        }
        if slot.suspicion.take().is_none() {
            return;
        }
        // The entry that answered detects the silence of the endpoint if it follows.
        slot.beat = beat;
        slot.vouched_until = Some(now + VOUCH_TIME);
        if slot.silent_at.is_none() {
            self.endpoints.watched.remove(&id);
        }
    }

    /// Suspects endpoints that fell silent, asks whether anybody hears them, and removes those that nobody heard.
    pub(super) fn sweep_endpoints(&mut self, now: Instant, actions: &mut ActionList) {
        let mut silent = Vec::new();
        let mut suspects = Vec::new();
        for &id in &self.endpoints.watched {
            let Some(slot) = self.endpoints.slots.get(&id) else {
                continue;
            };
            if self.is_frozen(&slot.record.zone, now) {
                continue;
            }
            if slot.silent_at.is_some_and(|deadline| deadline <= now) {
                silent.push(id);
            }
            if let Some(suspicion) = slot.suspicion {
                suspects.push((id, suspicion));
            }
        }
        for &id in &silent {
            if let Some(slot) = self.endpoints.slots.get_mut(&id) {
                slot.silent_at = None;
            }
            self.suspect_endpoint(id, now);
        }
        for &(id, suspicion) in &suspects {
            if suspicion.deadline > now {
                continue;
            }
            match suspicion.everyone {
                true => self.remove_endpoint(id, now),
                false => self.ask_everyone(id, now),
            }
        }
        let asked = silent
            .into_iter()
            .chain(suspects.into_iter().map(|(id, _)| id));
        self.ask_sponsors(asked.collect(), actions);
    }

    /// Asks the other sponsors of suspected endpoints, in one message to each of them.
    fn ask_sponsors(&self, suspects: Vec<EndpointId>, actions: &mut ActionList) {
        let mut questions: BTreeMap<EntryId, Vec<MemberUpdate>> = BTreeMap::new();
        for id in suspects {
            let Some(update) = self.silence_of(id) else {
                continue;
            };
            for sponsor in self.sponsors_of(id, ASKED) {
                if sponsor == self.own.id {
                    continue;
                }
                let updates = questions.entry(sponsor).or_default();
                if updates.len() < QUESTIONS_MAX {
                    updates.push(update.clone());
                }
            }
        }
        for (sponsor, updates) in questions {
            let mut head = self.bare_head();
            head.updates = updates;
            actions.push(send(sponsor, MemberMessage::Gossip(head)));
        }
    }

    fn silence_of(&self, id: EndpointId) -> Option<MemberUpdate> {
        let slot = self.endpoints.slots.get(&id)?;
        slot.suspicion?;
        Some(MemberUpdate::Silent {
            id,
            incarnation: slot.record.incarnation,
            beat: slot.beat,
            by: self.own.id,
        })
    }

    /// Spreads the question whether anybody hears an endpoint.
    fn ask_everyone(&mut self, id: EndpointId, now: Instant) {
        // CAST: The logarithm of a count is a small positive number.
        let digits = ((self.entries.live_count() + 1) as f64).log10();
        let stretch = (digits / SUSPICION_DIGITS).max(1.0);
        let time = self.health.scale(SUSPICION_TIME.mul_f64(stretch));
        if let Some(slot) = self.endpoints.slots.get_mut(&id) {
            slot.suspicion = Some(EndpointSuspicion {
                everyone: true,
                deadline: now + time,
            });
        }
        if let Some(update) = self.silence_of(id) {
            self.spread.push(update);
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
        let amount = AUDIT_BATCH.max(self.endpoints.slots.len() / AUDIT_SWEEPS);
        let range = self.endpoints.slots.range(self.audit_cursor..);
        let batch: Vec<_> = range.take(amount).map(|(&id, _)| id).collect();
        self.audit_cursor = match batch.last() {
            Some(&last) if batch.len() == amount => last + 1,
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
            let zone = slot.record.zone.clone();
            if self.is_frozen(&zone, now) || !self.sponsors_of(id, SPONSORS).contains(&self.own.id)
            {
                continue;
            }
            self.suspect_endpoint(id, now);
        }
    }

    /// Returns the first entries of the order in which the agent of an endpoint chooses: those of its zone, or all
    /// that are reachable where the zone has none.
    fn sponsors_of(&self, id: EndpointId, amount: usize) -> SmallVec<[EntryId; ASKED]> {
        let Some(slot) = self.endpoints.slots.get(&id) else {
            return SmallVec::new();
        };
        let zone = slot.record.zone.as_str();
        let mut ranked: Vec<_> = self.entries.live_in(zone).map(|record| record.id).collect();
        if zone == self.own.zone {
            ranked.push(self.own.id);
        }
        if ranked.is_empty() {
            ranked = self.entries.live().map(|record| record.id).collect();
            ranked.push(self.own.id);
        }
        let mut ranked: Vec<_> = ranked
            .into_iter()
            .map(|entry| (sponsor_score(entry, id), entry))
            .collect();
        if ranked.len() > amount {
            ranked.select_nth_unstable(amount);
            ranked.truncate(amount);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, entry)| entry).collect()
    }
}
