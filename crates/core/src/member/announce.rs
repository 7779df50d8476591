//! The agent's side of membership: announces the endpoint record to entries and merges their replies.
//!
//! An agent announces periodically to [`MONITORS`] entries, its monitors, which detect its failure. A change of the
//! record goes to all entries that the agent has contact data of, and is repeated until each confirms it.

use super::message::{
    AnnounceReply, AnnounceRequest, CatalogueStamp, MemberMessage, OutgoingMessage,
};
use super::monitor::{monitor_score, set_digest};
use super::{EndpointRecord, EndpointState, EntryRecord, RecordVersion};
use crate::catalogue::ServiceEntry;
use crate::ids::{address_of, id_of, EntryId, RevisionNumber, ServiceNumber};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Mean time between two announcements to one monitor.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Entries that get every announcement of an endpoint and detect its failure.
pub const MONITORS: usize = 3;

/// Time between two copies of a change to an entry that has not confirmed it.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(150);

/// Most copies of a change that are sent to one entry; at 50 % loss one entry in 1,000 gets none of them.
const COPIES_MAX: u8 = 10;

/// Time between two requests for a sample of live entries.
const REFRESH_INTERVAL: Duration = Duration::from_secs(4);

/// Time without a reply after which a monitor counts as unresponsive and another entry takes its place.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Time without a reply after which the agent requests a sample of live entries from another entry.
const LATE_LIMIT: Duration = Duration::from_millis(400);

/// Time for which an entry is kept after its own reply or after another entry's sample has contained it.
const CONTACT_LIFETIME: Duration = Duration::from_secs(24);

/// Most entries to which an agent announces a change directly; gossip among entries reaches the others.
const ENTRIES_MAX: usize = 64;

#[derive(Debug)]
struct ContactState {
    record: Option<EntryRecord>,
    seed: bool,
    /// When the entry counts as unresponsive; set by an announcement and cleared by any reply.
    unresponsive_at: Option<Instant>,
    /// When the entry is dropped unless it replies or a sample contains it before; a seed is never dropped.
    expires_at: Instant,
    confirmed: Option<RecordVersion>,
    copies_left: u8,
    next_copy_at: Instant,
}

/// What a reply changed, so that the agent recomputes only the state that depends on it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AnnounceChange {
    /// Whether the peers, the entries or the version of the endpoint's own record changed.
    pub view_changed: bool,
    /// The entry that replied and its catalogue, if that is newer than the agent's.
    pub newer: Option<(EntryId, CatalogueStamp)>,
}

/// Owns the record of one endpoint and its agent's view of entries and peers.
#[derive(Debug)]
pub struct AnnounceController {
    record: EndpointRecord,
    service: Option<ServiceEntry>,
    revision: RevisionNumber,
    contacts: BTreeMap<EntryId, ContactState>,
    peers: BTreeMap<u64, EndpointRecord>,
    heartbeat: u64,
    next_heartbeat: Instant,
    next_refresh: Instant,
    /// Whether a sample of live entries was requested and has not arrived.
    sample_pending: bool,
}

impl AnnounceController {
    /// Makes a controller that contacts the entries at `seeds`, the addresses from the agent's settings, first.
    pub fn new(record: EndpointRecord, seeds: &[SocketAddrV4], now: Instant) -> Self {
        let mut contacts = BTreeMap::new();
        for &seed in seeds {
            contacts.insert(id_of(seed), ContactState::new(None, true, now));
        }
        Self {
            record,
            service: None,
            revision: 0,
            contacts,
            peers: BTreeMap::new(),
            heartbeat: 0,
            next_heartbeat: now,
            next_refresh: now,
            sample_pending: false,
        }
    }

    /// Returns the endpoint record in its present version.
    pub fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Returns the catalogue revision of the agent's service.
    pub fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// Returns the agent's service in the catalogue.
    pub fn service(&self) -> Option<&ServiceEntry> {
        self.service.as_ref()
    }

    /// Returns the other endpoints of the service that are ready.
    pub fn ready_peers(&self) -> Vec<EndpointRecord> {
        let ready = |peer: &&EndpointRecord| peer.state == EndpointState::Ready;
        self.peers.values().filter(ready).cloned().collect()
    }

    /// Returns the other endpoints of the service that are starting or draining.
    pub fn other_peers(&self) -> Vec<EndpointRecord> {
        let other = |peer: &&EndpointRecord| {
            matches!(
                peer.state,
                EndpointState::Starting | EndpointState::Draining
            )
        };
        self.peers.values().filter(other).cloned().collect()
    }

    /// Returns the entries that have a record, are responsive and have not expired.
    pub fn live_entries(&self, now: Instant) -> Vec<EntryRecord> {
        let alive = self
            .contacts
            .values()
            .filter(|contact| contact.is_alive(now));
        alive.filter_map(|contact| contact.record.clone()).collect()
    }

    /// Moves the endpoint to a later state and returns whether it did; an earlier state is ignored.
    pub fn set_state(&mut self, state: EndpointState, now: Instant) -> bool {
        if state <= self.record.state {
            return false;
        }
        self.record.state = state;
        self.raise_sequence(now);
        true
    }

    /// Sets the state to `Ready` or `Starting` by the health of the upstream and returns whether it changed.
    ///
    /// The call is ignored once the endpoint drains or has left.
    pub fn set_ready(&mut self, ready: bool, now: Instant) -> bool {
        let state = match ready {
            true => EndpointState::Ready,
            false => EndpointState::Starting,
        };
        if self.record.state > EndpointState::Ready || self.record.state == state {
            return false;
        }
        // The higher sequence number lets the earlier state replace the later one.
        self.record.state = state;
        self.raise_sequence(now);
        true
    }

    /// Sets the agent's service from a newer catalogue revision and returns whether it did; an older one is ignored.
    pub fn set_service(
        &mut self,
        revision: RevisionNumber,
        service: Option<ServiceEntry>,
        now: Instant,
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        let number: ServiceNumber = service.as_ref().map_or(0, |entry| entry.number);
        self.service = service;
        if number != self.record.number {
            self.record.number = number;
            self.raise_sequence(now);
        }
        true
    }

    fn raise_sequence(&mut self, now: Instant) {
        self.record.sequence += 1;
        for contact in self.contacts.values_mut() {
            contact.copies_left = COPIES_MAX;
            contact.next_copy_at = now;
        }
    }

    /// Returns when [`AnnounceController::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        let mut deadline = self.next_heartbeat;
        for contact in self.contacts.values() {
            if contact.copies_left > 0 {
                deadline = deadline.min(contact.next_copy_at);
            }
        }
        deadline
    }

    /// Returns the announcements that are due.
    pub fn tick(&mut self, now: Instant, rng: &mut SmallRng) -> Vec<OutgoingMessage> {
        let mut receivers = Vec::new();
        self.contacts
            .retain(|_, contact| contact.seed || contact.expires_at > now);
        if self.next_heartbeat <= now {
            // The jitter keeps agents that started together from announcing together.
            self.next_heartbeat = now + HEARTBEAT_INTERVAL.mul_f64(rng.random_range(0.9..1.1));
            receivers = self.choose_monitors(now);
        }
        for (&id, contact) in &mut self.contacts {
            if contact.copies_left == 0 || contact.next_copy_at > now {
                continue;
            }
            contact.copies_left -= 1;
            contact.next_copy_at = now + RETRANSMIT_INTERVAL;
            if !receivers.contains(&id) {
                receivers.push(id);
            }
        }
        let sample_source = self.choose_sample_source(&receivers, now, rng);
        if sample_source.is_some() {
            self.sample_pending = true;
        }
        if sample_source.is_some() && self.next_refresh <= now {
            self.next_refresh = now + REFRESH_INTERVAL;
            receivers.extend(self.choose_unresponsive(now, rng));
        }
        let announce = |id| self.announce(id, sample_source == Some(id), now);
        receivers.into_iter().map(announce).collect()
    }

    /// Chooses the receiver whose announcement also requests a sample of live entries, if a sample is due.
    ///
    /// One reply is enough, so only one receiver gets the request, preferably one that replies in time; the request
    /// is repeated with each heartbeat until the sample arrives. A receiver whose reply is late makes a sample due at
    /// once: agents lost contact with all entries when entries were replaced faster than samples arrived.
    fn choose_sample_source(
        &self,
        receivers: &[EntryId],
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<EntryId> {
        let late = |id: &&EntryId| {
            self.contacts
                .get(id)
                .is_some_and(|contact| contact.is_late(now))
        };
        let due = self.next_refresh <= now || self.sample_pending;
        if !due && !receivers.iter().any(|id| late(&id)) {
            return None;
        }
        let prompt = receivers.iter().filter(|id| !late(id)).choose(rng);
        prompt.or_else(|| receivers.choose(rng)).copied()
    }

    /// Chooses the monitors: responsive entries of the own zone first, then seeds that have not replied yet, then
    /// entries of other zones. Rendezvous hashing orders the entries of one rank.
    fn choose_monitors(&self, now: Instant) -> Vec<EntryId> {
        let mut ranked: Vec<_> = self
            .contacts
            .iter()
            .map(|(&id, contact)| {
                (
                    contact.rank(&self.record, now),
                    monitor_score(id, self.record.id),
                    id,
                )
            })
            .collect();
        ranked.sort_unstable();
        ranked.iter().take(MONITORS).map(|&(_, _, id)| id).collect()
    }

    /// Chooses one unresponsive entry to retry, because it may be reachable again.
    fn choose_unresponsive(&self, now: Instant, rng: &mut SmallRng) -> Option<EntryId> {
        let unresponsive = self
            .contacts
            .iter()
            .filter(|(_, contact)| !contact.is_responsive(now));
        unresponsive.map(|(&id, _)| id).choose(rng)
    }

    fn announce(&mut self, id: EntryId, refresh: bool, now: Instant) -> OutgoingMessage {
        let version = self.record.version();
        let digest = set_digest(self.peers.values());
        self.heartbeat += 1;
        let mut record = Some(self.record.clone());
        let mut first = true;
        if let Some(contact) = self.contacts.get_mut(&id) {
            first = contact.record.is_none();
            if contact.confirmed == Some(version) {
                record = None;
            }
            contact.unresponsive_at.get_or_insert(now + ANSWER_LIMIT);
        }
        OutgoingMessage {
            to: address_of(id),
            message: MemberMessage::Announce(AnnounceRequest {
                id: self.record.id,
                version,
                heartbeat: self.heartbeat,
                revision: self.revision,
                peers: digest,
                refresh: refresh || first,
                record,
            }),
        }
    }

    /// Merges the reply of the entry whose control address is `from`.
    pub fn receive(
        &mut self,
        from: SocketAddrV4,
        reply: AnnounceReply,
        now: Instant,
    ) -> AnnounceChange {
        let mut change = AnnounceChange::default();
        let id = id_of(from);
        let own = self.record.version();
        change.view_changed |= self.refute(reply.known, now);
        let Some(contact) = self.contacts.get_mut(&id) else {
            return change;
        };
        change.view_changed |= !contact.is_alive(now);
        contact.unresponsive_at = None;
        contact.expires_at = now + CONTACT_LIFETIME;
        contact.confirmed = reply.known;
        if reply.known == Some(own) && own == self.record.version() {
            contact.copies_left = 0;
        }
        if !reply.entries.is_empty() {
            self.sample_pending = false;
        }
        for entry in reply.entries {
            change.view_changed |= self.merge_entry(entry, now);
        }
        if let Some(peers) = reply.peers {
            change.view_changed |= self.merge_peers(peers);
        }
        if reply.stamp.revision > self.revision {
            change.newer = Some((id, reply.stamp));
        }
        change
    }

    /// Raises the own version above `known` if an entry has a newer one than this agent announced: its removal, or a
    /// record of an earlier run with a higher incarnation.
    fn refute(&mut self, known: Option<RecordVersion>, now: Instant) -> bool {
        let Some(known) = known else {
            return false;
        };
        if known <= self.record.version() {
            return false;
        }
        if known.incarnation > self.record.incarnation {
            self.record.incarnation = known.incarnation + 1;
        }
        self.record.sequence = self.record.sequence.max(known.sequence);
        self.raise_sequence(now);
        true
    }

    fn merge_entry(&mut self, entry: EntryRecord, now: Instant) -> bool {
        if let Some(contact) = self.contacts.get_mut(&entry.id) {
            contact.expires_at = now + CONTACT_LIFETIME;
            if contact.record.as_ref() == Some(&entry) {
                return false;
            }
            let newer = |old: &EntryRecord| old.incarnation <= entry.incarnation;
            if contact.record.as_ref().is_none_or(newer) {
                contact.record = Some(entry);
                contact.unresponsive_at = None;
            }
            return true;
        }
        if self.contacts.len() >= ENTRIES_MAX {
            return false;
        }
        let contact = ContactState::new(Some(entry.clone()), false, now);
        self.contacts.insert(entry.id, contact);
        true
    }

    fn merge_peers(&mut self, peers: Vec<EndpointRecord>) -> bool {
        let before = set_digest(self.peers.values());
        let mut merged = BTreeMap::new();
        for peer in peers {
            if peer.id == self.record.id || peer.service != self.record.service {
                continue;
            }
            let kept = match self.peers.remove(&peer.id) {
                Some(old) if old.supersedes(&peer) => old,
                _ => peer,
            };
            merged.insert(kept.id, kept);
        }
        self.peers = merged;
        before != set_digest(self.peers.values())
    }
}

impl ContactState {
    fn new(record: Option<EntryRecord>, seed: bool, now: Instant) -> Self {
        Self {
            record,
            seed,
            unresponsive_at: None,
            expires_at: now + CONTACT_LIFETIME,
            confirmed: None,
            copies_left: 0,
            next_copy_at: now,
        }
    }

    fn is_responsive(&self, now: Instant) -> bool {
        self.unresponsive_at.is_none_or(|deadline| deadline > now)
    }

    /// Returns whether a reply is outstanding for longer than [`LATE_LIMIT`].
    fn is_late(&self, now: Instant) -> bool {
        self.unresponsive_at
            .is_some_and(|deadline| deadline <= now + ANSWER_LIMIT - LATE_LIMIT)
    }

    fn is_alive(&self, now: Instant) -> bool {
        self.record.is_some() && self.is_responsive(now) && self.expires_at > now
    }

    /// Ranks a contact for the choice of monitors; a lower rank is preferred.
    fn rank(&self, own: &EndpointRecord, now: Instant) -> u8 {
        if !self.is_responsive(now) {
            return 3;
        }
        match &self.record {
            Some(record) if record.zone == own.zone => 0,
            None => 1,
            Some(_) => 2,
        }
    }
}
