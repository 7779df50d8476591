//! Membership as an entry keeps it: SWIM among entries and the records of all endpoints.
//!
//! See docs/design.md, decision 6. The parts are in the files beside this one: probes of other entries
//! (`probe`), endpoints and their announcements (`sponsor`), merging of updates (`merge`) and comparison of all
//! records (`sync`).

use super::endpoints::EndpointTable;
use super::entries::EntryTable;
use super::health::LocalHealth;
use super::index::DigestIndex;
use super::message::{
    CatalogueStamp, EntryStatus, GossipHead, MemberMessage, MemberUpdate, OutgoingMessage,
    UPDATE_BUDGET,
};
use super::probe::ProbeState;
use super::spread::SpreadQueue;
use super::zones::{ZoneStatement, ZoneTable};
use super::{EndpointRecord, EntryRecord};
use crate::ids::{address_of, id_of, EndpointId, EntryId, ZoneName};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::Rng;
use smallvec::SmallVec;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Time between two probes.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two rounds of gossip while updates wait.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two rounds of gossip that tell of a new catalogue.
const STAMP_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes of updates in a probe and its answer; rounds of gossip carry the others.
pub(super) const PING_UPDATE_BUDGET: usize = 300;

/// Entries of the own zone that one round of gossip reaches.
const GOSSIP_FANOUT: usize = 3;

/// Other zones that one round of gossip or of probes reaches.
pub(super) const ZONE_FANOUT: usize = 6;

/// Rounds of gossip for each decimal digit of the number of entries.
const RETRANSMIT_FACTOR: u32 = 6;

/// Time between two comparisons of all records with another entry.
const SYNC_INTERVAL: Duration = Duration::from_secs(4);

/// Time between two checks of deadlines of endpoints and entries.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Time without any message after which an entry believes that it has itself lost the network.
const ISOLATION_LIMIT: Duration = Duration::from_secs(3);

/// Number of a ping that asks an entry of the settings to introduce itself.
pub(super) const FIRST_CONTACT: u32 = 0;

/// What the runtime around the controller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message.
    Send(OutgoingMessage),
    /// The entry tells of this catalogue; whether it is newer is the catalogue controller's decision.
    CatalogueSeen(EntryId, CatalogueStamp),
}

/// Actions that one event causes.
pub type ActionList = SmallVec<[MemberAction; 4]>;

/// Owns what one entry knows of endpoints and other entries.
#[derive(Debug)]
pub struct MemberController {
    pub(super) own: EntryRecord,
    seeds: Vec<SocketAddrV4>,
    pub(super) entries: EntryTable,
    pub(super) endpoints: EndpointTable,
    pub(super) zones: ZoneTable,
    pub(super) index: DigestIndex,
    pub(super) spread: SpreadQueue,
    pub(super) health: LocalHealth,
    pub(super) probes: ProbeState,
    pub(super) stamp: CatalogueStamp,
    pub(super) changes: u64,
    pub(super) audit_cursor: EndpointId,
    /// Whether all records of another entry have been seen equal once.
    pub(super) synced: bool,
    bridge: bool,
    stamp_rounds: u32,
    pub(super) isolated_at: Instant,
    next_probe: Instant,
    next_gossip: Instant,
    pub(super) next_sync: Instant,
    next_sweep: Instant,
}

impl MemberController {
    /// Makes the controller of an entry whose settings name `seeds` for the first contact.
    pub fn new(own: EntryRecord, seeds: &[SocketAddrV4], now: Instant) -> Self {
        let mut controller = Self {
            own,
            seeds: seeds.to_vec(),
            entries: EntryTable::default(),
            endpoints: EndpointTable::default(),
            zones: ZoneTable::default(),
            index: DigestIndex::default(),
            spread: SpreadQueue::default(),
            health: LocalHealth::default(),
            probes: ProbeState::default(),
            stamp: CatalogueStamp::default(),
            changes: 0,
            audit_cursor: 0,
            synced: false,
            bridge: false,
            stamp_rounds: 0,
            isolated_at: now + ISOLATION_LIMIT,
            next_probe: now,
            next_gossip: now,
            next_sync: now + GOSSIP_INTERVAL,
            next_sweep: now + SWEEP_INTERVAL,
        };
        controller.index_own();
        controller.spread_own();
        controller
    }

    /// Returns the entry's own record.
    pub fn own(&self) -> &EntryRecord {
        &self.own
    }

    /// Sets the catalogue that messages tell of, and tells some entries at once.
    pub fn set_stamp(&mut self, stamp: CatalogueStamp) {
        self.stamp = stamp;
        self.stamp_rounds = self.retransmit_limit();
    }

    /// Returns a number that rises with each change that the route table depends on.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns all endpoint records, also of endpoints that have left.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.slots.values().map(|slot| &slot.record)
    }

    /// Returns the record of one endpoint.
    pub fn endpoint(&self, id: EndpointId) -> Option<&EndpointRecord> {
        self.endpoints.slots.get(&id).map(|slot| &slot.record)
    }

    /// Returns the other entries and what is believed of them.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryRecord, EntryStatus)> {
        let slots = self.entries.slots.values();
        slots.map(|slot| (&slot.record, slot.status))
    }

    /// Returns the live entries of the own zone, this one included, in the order of their ids.
    pub fn live_in_zone(&self) -> Vec<EntryId> {
        let others = self.entries.live_in(&self.own.zone);
        let mut live: Vec<EntryId> = others.map(|record| record.id).collect();
        live.push(self.own.id);
        live.sort_unstable();
        live
    }

    /// Returns whether all records of another entry have been seen equal once.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns the zones that the entries of the own zone do not hear.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.marked()
    }

    /// Returns when [`MemberController::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        let mut deadline = self.next_probe.min(self.next_sync).min(self.next_sweep);
        if !self.spread.is_empty() || self.stamp_rounds > 0 {
            deadline = deadline.min(self.next_gossip);
        }
        match self.probes.next_deadline() {
            Some(probe) => deadline.min(probe),
            None => deadline,
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant, rng: &mut SmallRng) -> ActionList {
        let mut actions = ActionList::new();
        self.tick_probes(now, rng, &mut actions);
        if self.next_probe <= now {
            let interval = self.health.scale(PROBE_INTERVAL);
            self.next_probe = now + interval.mul_f64(rng.random_range(0.9..1.1));
            self.check_zones(now);
            self.contact_seeds(&mut actions);
            self.start_probes(now, rng, &mut actions);
        }
        if self.next_sweep <= now {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep_entries(now);
            self.sweep_endpoints(now, &mut actions);
            self.audit_endpoints(now);
        }
        if self.next_sync <= now {
            self.next_sync = now + SYNC_INTERVAL.mul_f64(rng.random_range(0.8..1.2));
            self.start_sync(rng, &mut actions);
        }
        if self.next_gossip <= now {
            self.gossip(now, rng, &mut actions);
        }
        actions
    }

    /// Takes a message from the control address `from`.
    pub fn receive(
        &mut self,
        from: SocketAddrV4,
        message: MemberMessage,
        now: Instant,
        rng: &mut SmallRng,
    ) -> ActionList {
        let mut actions = ActionList::new();
        self.isolated_at = now + ISOLATION_LIMIT;
        match message {
            MemberMessage::Announce(beat) => {
                let reply = self.announced(beat, now, rng);
                let message = MemberMessage::AnnounceAck(reply);
                actions.push(MemberAction::Send(OutgoingMessage { to: from, message }));
            }
            // Only agents ask for it.
            MemberMessage::AnnounceAck(_) => {}
            MemberMessage::Ping(FIRST_CONTACT, head) => {
                self.heard(head, true, now, &mut actions);
                self.greet(from, &mut actions);
            }
            MemberMessage::Ping(number, head) => {
                self.heard(head, true, now, &mut actions);
                let id = self.own.id;
                let message = MemberMessage::Ack(number, id, self.head(PING_UPDATE_BUDGET));
                actions.push(MemberAction::Send(OutgoingMessage { to: from, message }));
            }
            MemberMessage::Ack(number, target, head) => {
                self.heard(head, true, now, &mut actions);
                self.answered(number, target, &mut actions);
            }
            MemberMessage::PingReq(number, target, head) => {
                let origin = head.from;
                self.heard(head, true, now, &mut actions);
                self.relay_probe(number, target, origin, now, &mut actions);
            }
            MemberMessage::Gossip(head) => self.heard(head, true, now, &mut actions),
            MemberMessage::Digest(head, page) => {
                let peer = head.from;
                self.heard(head, true, now, &mut actions);
                self.compare(peer, &page, now, &mut actions);
            }
            MemberMessage::Delta {
                head,
                prefix,
                depth,
                answer,
            } => {
                let peer = head.from;
                let theirs = head.updates.clone();
                let spread = self.synced;
                self.heard(head, spread, now, &mut actions);
                if answer {
                    self.answer_delta(peer, &theirs, (prefix, depth), now, &mut actions);
                }
            }
        }
        actions
    }

    /// Returns the messages that tell other entries that this one stops.
    pub fn leave(&mut self, rng: &mut SmallRng) -> ActionList {
        let update = MemberUpdate::Entry {
            record: self.own.clone(),
            status: EntryStatus::Left,
            by: self.own.id,
            remaining_s: super::merge::TOMBSTONE_S,
        };
        let live: Vec<_> = self.entries.live().map(|record| record.id).collect();
        let mut actions = ActionList::new();
        for id in live.into_iter().choose_multiple(rng, 4 * GOSSIP_FANOUT) {
            let mut head = self.bare_head();
            head.updates.push(update.clone());
            actions.push(send(id, MemberMessage::Gossip(head)));
        }
        actions
    }

    /// Introduces this entry to one that does not know it, and compares records with it.
    fn greet(&self, to: SocketAddrV4, actions: &mut ActionList) {
        let mut head = self.bare_head();
        head.updates.push(self.own_update());
        let mut messages = vec![MemberMessage::Gossip(head)];
        if let Some(page) = self.index.page(0, 0) {
            messages.push(MemberMessage::Digest(self.bare_head(), page));
        }
        for message in messages {
            actions.push(MemberAction::Send(OutgoingMessage { to, message }));
        }
    }

    /// Merges what every message between entries carries.
    fn heard(&mut self, head: GossipHead, spread: bool, now: Instant, actions: &mut ActionList) {
        for update in head.updates {
            self.learn(update, spread, now, actions);
        }
        if let Some(slot) = self.entries.slots.get(&head.from) {
            let zone = slot.record.zone.clone();
            if zone != self.own.zone {
                let statement = self.zones.heard_entry(&zone, now);
                self.spread_zone(statement);
            }
        }
        if head.stamp.revision < self.stamp.revision {
            // The sender fetches from this entry as soon as it knows, whatever the gossip brings it later.
            let message = MemberMessage::Gossip(self.bare_head());
            actions.push(send(head.from, message));
        }
        if head.stamp != self.stamp {
            actions.push(MemberAction::CatalogueSeen(head.from, head.stamp));
        }
    }

    /// Returns a message head with the updates that are due, of at most `budget` bytes.
    pub(super) fn head(&mut self, budget: usize) -> GossipHead {
        let limit = self.retransmit_limit();
        let mut head = self.bare_head();
        head.updates = self.spread.take(budget, limit);
        head
    }

    /// Returns a message head without updates.
    pub(super) fn bare_head(&self) -> GossipHead {
        GossipHead {
            from: self.own.id,
            stamp: self.stamp,
            updates: Vec::new(),
        }
    }

    /// Returns how often an update is sent, which rises with the logarithm of the number of entries.
    pub(super) fn retransmit_limit(&self) -> u32 {
        // CAST: The logarithm of a count is a small positive number.
        let digits = ((self.entries.slots.len() + 2) as f64).log10().ceil() as u32;
        RETRANSMIT_FACTOR * digits
    }

    /// Returns whether removals wait, because the fault may be the network of this entry or of the zone.
    pub(super) fn is_frozen(&self, zone: &str, now: Instant) -> bool {
        self.isolated_at <= now || self.zones.is_unreachable(zone, now)
    }

    pub(super) fn spread_zone(&mut self, statement: Option<ZoneStatement>) {
        let Some(statement) = statement else {
            return;
        };
        self.changes += 1;
        self.spread.push(MemberUpdate::Zone {
            zone: statement.zone,
            observer: self.own.zone.clone(),
            version: statement.version,
            unreachable: statement.unreachable,
        });
    }

    fn check_zones(&mut self, now: Instant) {
        let bridge = self.entries.is_bridge(&self.own);
        if bridge && !self.bridge {
            self.zones.restart(now);
        }
        self.bridge = bridge;
        if !bridge {
            return;
        }
        let zones = self.entries.other_zones(&self.own.zone);
        for statement in self.zones.check(&zones, now) {
            self.spread_zone(Some(statement));
        }
    }

    /// Probes the seeds that are not known as live entries, which also heals a fleet that has fallen apart.
    fn contact_seeds(&mut self, actions: &mut ActionList) {
        for &seed in &self.seeds {
            if self.entries.is_live(id_of(seed)) || seed == self.own.address() {
                continue;
            }
            let mut head = self.bare_head();
            head.updates.push(self.own_update());
            let message = MemberMessage::Ping(FIRST_CONTACT, head);
            actions.push(MemberAction::Send(OutgoingMessage { to: seed, message }));
        }
    }

    fn gossip(&mut self, now: Instant, rng: &mut SmallRng, actions: &mut ActionList) {
        self.next_gossip = now + GOSSIP_INTERVAL;
        if self.spread.is_empty() && self.stamp_rounds == 0 {
            return;
        }
        let tell_stamp = self.stamp_rounds > 0;
        if tell_stamp {
            self.next_gossip = now + STAMP_INTERVAL;
        }
        self.stamp_rounds = self.stamp_rounds.saturating_sub(1);
        let mut targets = self
            .entries
            .choose(&self.own.zone, self.own.id, GOSSIP_FANOUT, rng);
        targets.extend(self.zone_contacts(rng));
        for target in targets {
            let head = self.head(UPDATE_BUDGET);
            if head.updates.is_empty() && !tell_stamp {
                break;
            }
            let message = MemberMessage::Gossip(head);
            actions.push(send(target, message));
        }
    }

    /// Chooses one entry in each of some other zones, if this entry keeps contact with them.
    pub(super) fn zone_contacts(&self, rng: &mut SmallRng) -> Vec<EntryId> {
        if !self.entries.is_bridge(&self.own) {
            return Vec::new();
        }
        let zones = self.entries.other_zones(&self.own.zone);
        let mut contacts = Vec::new();
        for zone in zones.choose_multiple(rng, ZONE_FANOUT) {
            let bridges = self.entries.live_in(zone).take(super::entries::BRIDGES);
            contacts.extend(bridges.map(|record| record.id).choose(rng));
        }
        contacts
    }
}

/// Returns the action that sends a message to an entry.
pub(super) fn send(to: EntryId, message: MemberMessage) -> MemberAction {
    let to = address_of(to);
    MemberAction::Send(OutgoingMessage { to, message })
}
