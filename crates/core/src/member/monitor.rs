//! Failure detection of endpoints; longer than 500 lines so that a suspicion is in one file from start to end.
//!
//! The monitors of an endpoint are the entries that get its announcements. A monitor that misses heartbeats queries
//! the other monitors, then all entries, and removes the endpoint if none reports a later heartbeat.

use super::announce::MONITORS;
use super::controller::{send, ActionList, MemberController};
use super::endpoints::{EndpointSuspicion, HeartbeatQuery};
use super::index::{endpoint_digest, RecordKey};
use super::merge::{expiry_time, seconds_until, TOMBSTONE_S};
use super::message::{
    AnnounceReply, AnnounceRequest, EntryStatus, MemberMessage, MemberUpdate, ENDPOINT_BYTES,
    HEARTBEAT_BYTES, UPDATE_BUDGET,
};
use super::{EndpointRecord, EndpointState, EntryRecord};
use crate::ids::{DigestValue, EndpointId, EntryId, IncarnationNumber};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use smallvec::SmallVec;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time without a heartbeat after which a monitor suspects an endpoint; four heartbeats are missing then.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(2);

/// Time for the monitors to report a later heartbeat before all entries are queried; each sweep repeats the query.
const MONITOR_ANSWER_TIME: Duration = Duration::from_millis(1_500);

/// Shortest time for all entries to report a later heartbeat before the endpoint is removed.
const SUSPICION_TIME: Duration = Duration::from_secs(3);

/// Decimal logarithm of the number of entries up to which [`SUSPICION_TIME`] suffices; gossip takes longer in a
/// larger fleet.
const SUSPICION_DIGITS: f64 = 2.0;

/// Entries that are queried directly: one more than an endpoint has monitors, because the views of the live entries
/// differ.
const QUERIED_MONITORS: usize = MONITORS + 1;

/// Most queries to one entry in one sweep, as many as fit a datagram.
const QUERIES_MAX: usize = UPDATE_BUDGET / HEARTBEAT_BYTES;

/// Time for which another entry's report of a heartbeat keeps the audit from suspecting the endpoint.
const REPORT_VALID_TIME: Duration = Duration::from_secs(60);

/// Fewest endpoints that one sweep audits.
const AUDIT_BATCH: usize = 8;

/// Sweeps within which all endpoints are audited, even if that takes more than [`AUDIT_BATCH`] in each.
const AUDIT_SWEEPS: usize = 480;

/// Live entries of the own zone in a sample for an agent, beside the agent's monitors.
const SAMPLE_OWN_ZONE: usize = 3;

/// Live entries of other zones in a sample for an agent.
const SAMPLE_OTHER_ZONES: usize = 3;

/// Most bytes of peers in a reply to an announcement.
const PEERS_BUDGET: usize = UPDATE_BUDGET / 2;

/// Upper bound of the peers that fit [`PEERS_BUDGET`]; the lengths of their names lower it.
const PEERS_MAX: usize = PEERS_BUDGET / ENDPOINT_BYTES;

/// An endpoint, its agent's incarnation and the number of a heartbeat within that incarnation.
type HeartbeatKey = (EndpointId, IncarnationNumber, u64);

/// Returns the rendezvous hash of an entry for an endpoint; the entries of its zone with the lowest values are its
/// monitors.
pub(super) fn monitor_score(entry: EntryId, endpoint: EndpointId) -> u64 {
    xxh3_64_with_seed(&entry.to_le_bytes(), endpoint)
}

/// Returns the digest of a set of records, which does not depend on their order.
pub(super) fn set_digest<'a>(records: impl Iterator<Item = &'a EndpointRecord>) -> DigestValue {
    records.fold(0, |sum, record| sum ^ endpoint_digest(record))
}

impl MemberController {
    /// Handles an announcement: merges its record, records the heartbeat and returns the reply.
    pub(super) fn receive_announcement(
        &mut self,
        request: AnnounceRequest,
        now: Instant,
        rng: &mut SmallRng,
    ) -> AnnounceReply {
        if let Some(record) = request.record {
            self.merge_endpoint(record, TOMBSTONE_S, true, now);
        }
        let known = self.record_heartbeat(
            request.id,
            request.version.incarnation,
            request.heartbeat,
            now,
        );
        let zone = self.endpoint(request.id).map(|record| record.zone.clone());
        if let Some(zone) = zone.filter(|zone| *zone != self.own_record.zone) {
            let statement = self.zones.record_agent_message(&zone, now);
            self.spread_zone(statement);
        }
        let peers = self.peers_if_changed(request.id, request.peers);
        let entries = match request.refresh {
            true => self.sample_entries(request.id, rng),
            false => Vec::new(),
        };
        AnnounceReply {
            heartbeat: request.heartbeat,
            stamp: self.stamp,
            known,
            entries,
            peers,
        }
    }

    fn record_heartbeat(
        &mut self,
        id: EndpointId,
        incarnation: IncarnationNumber,
        heartbeat: u64,
        now: Instant,
    ) -> Option<super::RecordVersion> {
        let slot = self.endpoints.slots.get_mut(&id)?;
        let version = slot.record.version();
        if version.incarnation != incarnation || heartbeat <= slot.heartbeat {
            return Some(version);
        }
        slot.heartbeat = heartbeat;
        if version.state == EndpointState::Left {
            return Some(version);
        }
        slot.silent_at = Some(now + self.health.scale(HEARTBEAT_LIMIT));
        self.endpoints.watched.insert(id);
        slot.suspicion = None;
        Some(version)
    }

    fn peers_if_changed(
        &mut self,
        id: EndpointId,
        known: DigestValue,
    ) -> Option<Vec<EndpointRecord>> {
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

    /// Returns the ready peers for the reply to an agent, as many as fit [`PEERS_BUDGET`].
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

    /// Returns this entry, the monitors of the endpoint, and some other live entries.
    fn sample_entries(&self, id: EndpointId, rng: &mut SmallRng) -> Vec<EntryRecord> {
        let mut ids = self.expected_monitors(id, MONITORS).into_vec();
        let own = &self.own_record;
        let local = self.entries.choose(&own.zone, own.id, SAMPLE_OWN_ZONE, rng);
        ids.extend(local);
        let zones = self.entries.other_zones(&own.zone);
        let each = SAMPLE_OTHER_ZONES / zones.len().clamp(1, SAMPLE_OTHER_ZONES);
        for zone in zones.choose_multiple(rng, SAMPLE_OTHER_ZONES) {
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

    /// Merges an endpoint record; returns whether it replaced an older one or was new.
    pub(super) fn merge_endpoint(
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
        let expires_at = match left {
            true => Some(expiry_time(remaining_s, now)),
            false => None,
        };
        let id = record.id;
        self.store_endpoint(record, expires_at);
        if spread {
            self.spread_endpoint(id, now);
        }
        true
    }

    fn store_endpoint(&mut self, record: EndpointRecord, expires_at: Option<Instant>) {
        let key = RecordKey::Endpoint(record.id);
        if let Some(old) = self.endpoint(record.id) {
            let digest = endpoint_digest(old);
            self.index.remove(key, digest);
        }
        self.index.add(key, endpoint_digest(&record));
        self.endpoints.store(record, expires_at);
        self.change_count += 1;
    }

    fn spread_endpoint(&mut self, id: EndpointId, now: Instant) {
        let Some(slot) = self.endpoints.slots.get(&id) else {
            return;
        };
        self.queue.push(MemberUpdate::Endpoint {
            record: slot.record.clone(),
            remaining_s: seconds_until(slot.expires_at, now),
        });
    }

    /// Handles another entry's query about an endpoint that it suspects.
    ///
    /// A monitor that has a later heartbeat reports it to the querying entry. Otherwise a query to all entries is
    /// gossiped on once, because the agent may announce to entries that the querying one does not expect.
    pub(super) fn receive_query(
        &mut self,
        (id, incarnation, heartbeat): HeartbeatKey,
        (by, all_entries): (EntryId, bool),
        now: Instant,
        actions: &mut ActionList,
    ) {
        if by == self.own_record.id {
            return;
        }
        let Some(slot) = self.endpoints.slots.get_mut(&id) else {
            return;
        };
        if slot.record.incarnation != incarnation || slot.record.state == EndpointState::Left {
            return;
        }
        let is_monitor = slot.silent_at.is_some_and(|deadline| deadline > now);
        if is_monitor && slot.heartbeat > heartbeat {
            let mut head = self.bare_head();
            let heartbeat = self
                .endpoints
                .slots
                .get(&id)
                .map_or(0, |slot| slot.heartbeat);
            head.updates.push(MemberUpdate::HeartbeatReport {
                id,
                incarnation,
                heartbeat,
            });
            actions.push(send(by, MemberMessage::Gossip(head)));
            return;
        }
        if !all_entries {
            return;
        }
        let query = slot.query.get_or_insert_default();
        if heartbeat > query.heartbeat {
            **query = HeartbeatQuery {
                heartbeat,
                sources: SmallVec::new(),
            };
        }
        if query.sources.contains(&by) || query.sources.len() >= QUERIED_MONITORS {
            return;
        }
        query.sources.push(by);
        self.queue.push(MemberUpdate::HeartbeatQuery {
            id,
            incarnation,
            heartbeat,
            by,
            all_entries,
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
            all_entries: false,
            deadline: now + self.health.scale(MONITOR_ANSWER_TIME),
        });
        self.endpoints.watched.insert(id);
    }

    /// Merges another entry's report of a later heartbeat, which ends a suspicion by this entry.
    pub(super) fn merge_heartbeat_report(
        &mut self,
        (id, incarnation, heartbeat): HeartbeatKey,
        now: Instant,
    ) {
        let Some(slot) = self.endpoints.slots.get_mut(&id) else {
            return;
        };
        if slot.record.incarnation != incarnation || heartbeat <= slot.heartbeat {
            return;
        }
        if slot.suspicion.take().is_none() {
            return;
        }
        // The reporting entry receives the heartbeats, so it detects a later failure of the endpoint.
        slot.heartbeat = heartbeat;
        slot.report_valid_until = Some(now + REPORT_VALID_TIME);
        if slot.silent_at.is_none() {
            self.endpoints.watched.remove(&id);
        }
    }

    /// Suspects endpoints whose heartbeats stopped, sends the queries about them, and removes those of which no entry
    /// reported a later heartbeat in time.
    pub(super) fn sweep_endpoints(&mut self, now: Instant, actions: &mut ActionList) {
        let mut overdue = Vec::new();
        let mut suspects = Vec::new();
        for &id in &self.endpoints.watched {
            let Some(slot) = self.endpoints.slots.get(&id) else {
                continue;
            };
            if self.is_removal_suspended(&slot.record.zone, now) {
                continue;
            }
            if slot.silent_at.is_some_and(|deadline| deadline <= now) {
                overdue.push(id);
            }
            if let Some(suspicion) = slot.suspicion {
                suspects.push((id, suspicion));
            }
        }
        for &id in &overdue {
            if let Some(slot) = self.endpoints.slots.get_mut(&id) {
                slot.silent_at = None;
            }
            self.suspect_endpoint(id, now);
        }
        for &(id, suspicion) in &suspects {
            if suspicion.deadline > now {
                continue;
            }
            match suspicion.all_entries {
                true => self.remove_endpoint(id, now),
                false => self.query_all_entries(id, now),
            }
        }
        let queried = overdue
            .into_iter()
            .chain(suspects.into_iter().map(|(id, _)| id));
        self.query_monitors(queried.collect(), actions);
    }

    /// Queries the other monitors of suspected endpoints, with one message to each of them.
    fn query_monitors(&self, suspects: Vec<EndpointId>, actions: &mut ActionList) {
        let mut queries: BTreeMap<EntryId, Vec<MemberUpdate>> = BTreeMap::new();
        for id in suspects {
            let Some(update) = self.query_about(id) else {
                continue;
            };
            for monitor in self.expected_monitors(id, QUERIED_MONITORS) {
                if monitor == self.own_record.id {
                    continue;
                }
                let updates = queries.entry(monitor).or_default();
                if updates.len() < QUERIES_MAX {
                    updates.push(update.clone());
                }
            }
        }
        for (monitor, updates) in queries {
            let mut head = self.bare_head();
            head.updates = updates;
            actions.push(send(monitor, MemberMessage::Gossip(head)));
        }
    }

    fn query_about(&self, id: EndpointId) -> Option<MemberUpdate> {
        let slot = self.endpoints.slots.get(&id)?;
        let suspicion = slot.suspicion?;
        Some(MemberUpdate::HeartbeatQuery {
            id,
            incarnation: slot.record.incarnation,
            heartbeat: slot.heartbeat,
            by: self.own_record.id,
            all_entries: suspicion.all_entries,
        })
    }

    /// Gossips the query about a suspected endpoint to all entries.
    fn query_all_entries(&mut self, id: EndpointId, now: Instant) {
        // CAST: The logarithm of a count is a small positive number.
        let digits = ((self.entries.live_count() + 1) as f64).log10();
        let stretch = (digits / SUSPICION_DIGITS).max(1.0);
        let time = self.health.scale(SUSPICION_TIME.mul_f64(stretch));
        if let Some(slot) = self.endpoints.slots.get_mut(&id) {
            slot.suspicion = Some(EndpointSuspicion {
                all_entries: true,
                deadline: now + time,
            });
        }
        if let Some(update) = self.query_about(id) {
            self.queue.push(update);
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
        self.store_endpoint(record, Some(expiry_time(TOMBSTONE_S, now)));
        self.spread_endpoint(id, now);
    }

    /// Audits the next batch of endpoints: drops expired tombstones, and suspects endpoints that should announce to
    /// this entry and do not, because the entries that monitored them may have failed together.
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
            if slot.expires_at.is_some_and(|deadline| deadline <= now) {
                if let Some(slot) = self.endpoints.remove(id) {
                    let digest = endpoint_digest(&slot.record);
                    self.index.remove(RecordKey::Endpoint(id), digest);
                }
                continue;
            }
            let watched = slot.silent_at.is_some() || slot.suspicion.is_some();
            if watched || slot.record.state == EndpointState::Left {
                continue;
            }
            let valid_until = *slot
                .report_valid_until
                .get_or_insert(now + REPORT_VALID_TIME / 4);
            if valid_until > now {
                continue;
            }
            let zone = slot.record.zone.clone();
            if self.is_removal_suspended(&zone, now)
                || !self
                    .expected_monitors(id, MONITORS)
                    .contains(&self.own_record.id)
            {
                continue;
            }
            self.suspect_endpoint(id, now);
        }
    }

    /// Returns the `amount` live entries that the agent of an endpoint is expected to choose first as monitors: those
    /// of its zone, or of all zones if its own has none.
    fn expected_monitors(
        &self,
        id: EndpointId,
        amount: usize,
    ) -> SmallVec<[EntryId; QUERIED_MONITORS]> {
        let Some(slot) = self.endpoints.slots.get(&id) else {
            return SmallVec::new();
        };
        let zone = slot.record.zone.as_str();
        let mut ranked: Vec<_> = self.entries.live_in(zone).map(|record| record.id).collect();
        if zone == self.own_record.zone {
            ranked.push(self.own_record.id);
        }
        if ranked.is_empty() {
            ranked = self.entries.live().map(|record| record.id).collect();
            ranked.push(self.own_record.id);
        }
        let mut ranked: Vec<_> = ranked
            .into_iter()
            .map(|entry| (monitor_score(entry, id), entry))
            .collect();
        if ranked.len() > amount {
            ranked.select_nth_unstable(amount);
            ranked.truncate(amount);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, entry)| entry).collect()
    }
}
