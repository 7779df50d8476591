//! The entry's side of membership: SWIM among entries, and the replicated records of all endpoints.
//!
//! See docs/design.md, decision 6. The parts of the controller are in the files beside this one: probes of
//! other entries (`probe`), endpoints and their announcements (`monitor`), merging of updates (`merge`) and
//! anti-entropy (`sync`).

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

/// Mean time between two rounds of probes.
pub(super) const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two rounds of gossip while updates wait.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two rounds of gossip while a new catalogue is being announced.
const STAMP_INTERVAL: Duration = Duration::from_millis(100);

/// Most bytes of updates in a probe or its answer; rounds of gossip carry the others.
pub(super) const PING_UPDATE_BUDGET: usize = 300;

/// Entries of the own zone that one round of gossip reaches.
const GOSSIP_FANOUT: usize = 3;

/// Most other zones that one round of gossip or of probes reaches.
pub(super) const ZONE_FANOUT: usize = 6;

/// Times that an update is sent, for each decimal digit of the number of entries.
const RETRANSMIT_FACTOR: u32 = 6;

/// Mean time between two comparisons of all records with another entry.
const SYNC_INTERVAL: Duration = Duration::from_secs(4);

/// Time between two checks of deadlines of endpoints and entries.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Time without any message after which an entry counts as isolated and suspends removals.
const ISOLATION_LIMIT: Duration = Duration::from_secs(3);

/// Number of a ping to a seed, which answers with its own record and the digests of its records.
pub(super) const FIRST_CONTACT: u32 = 0;

/// What the caller has to do for the controller, which does no I/O itself.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message.
    Send(OutgoingMessage),
    /// The entry has this catalogue, which differs from the own one; the catalogue controller decides whether it is
    /// newer.
    CatalogueSeen(EntryId, CatalogueStamp),
}

/// Actions that one call returns.
pub type ActionList = SmallVec<[MemberAction; 4]>;

/// Owns one entry's view of the endpoints and the other entries.
#[derive(Debug)]
pub struct MemberController {
    pub(super) own_record: EntryRecord,
    seeds: Vec<SocketAddrV4>,
    pub(super) entries: EntryTable,
    pub(super) endpoints: EndpointTable,
    pub(super) zones: ZoneTable,
    pub(super) index: DigestIndex,
    pub(super) queue: SpreadQueue,
    pub(super) health: LocalHealth,
    pub(super) probes: ProbeState,
    pub(super) stamp: CatalogueStamp,
    pub(super) change_count: u64,
    pub(super) audit_cursor: EndpointId,
    /// Whether a comparison with another entry has once found at most one part of the records to differ.
    pub(super) synced: bool,
    bridge: bool,
    /// Rounds of gossip that still announce the catalogue, even without updates.
    stamp_rounds: u32,
    /// When this entry counts as isolated unless a message arrives before.
    pub(super) isolated_at: Instant,
    next_probe: Instant,
    next_gossip: Instant,
    pub(super) next_sync: Instant,
    next_sweep: Instant,
}

impl MemberController {
    /// Makes a controller that contacts the entries at `seeds`, the addresses from the entry's settings, first.
    pub fn new(own_record: EntryRecord, seeds: &[SocketAddrV4], now: Instant) -> Self {
        let mut controller = Self {
            own_record,
            seeds: seeds.to_vec(),
            entries: EntryTable::default(),
            endpoints: EndpointTable::default(),
            zones: ZoneTable::default(),
            index: DigestIndex::default(),
            queue: SpreadQueue::default(),
            health: LocalHealth::default(),
            probes: ProbeState::default(),
            stamp: CatalogueStamp::default(),
            change_count: 0,
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
        controller.index_own_record();
        controller.spread_own_record();
        controller
    }

    /// Returns the record of this entry, with its present incarnation.
    pub fn own_record(&self) -> &EntryRecord {
        &self.own_record
    }

    /// Sets the catalogue that all messages announce, and gossips it even if no updates wait.
    pub fn set_stamp(&mut self, stamp: CatalogueStamp) {
        self.stamp = stamp;
        self.stamp_rounds = self.retransmit_limit();
    }

    /// Returns a counter of the changes on which the route table depends.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns all endpoint records, including those of endpoints that have left.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.slots.values().map(|slot| &slot.record)
    }

    /// Returns the record of one endpoint.
    pub fn endpoint(&self, id: EndpointId) -> Option<&EndpointRecord> {
        self.endpoints.slots.get(&id).map(|slot| &slot.record)
    }

    /// Returns the other entries and their status in this entry's view.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryRecord, EntryStatus)> {
        let slots = self.entries.slots.values();
        slots.map(|slot| (&slot.record, slot.status))
    }

    /// Returns the live entries of the own zone, this one included, in the order of their ids.
    pub fn live_in_zone(&self) -> Vec<EntryId> {
        let others = self.entries.live_in(&self.own_record.zone);
        let mut live: Vec<EntryId> = others.map(|record| record.id).collect();
        live.push(self.own_record.id);
        live.sort_unstable();
        live
    }

    /// Returns whether a comparison with another entry has once found at most one part of the records to differ.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Returns the zones from which the entries of the own zone receive nothing.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.unreachable()
    }

    /// Returns when [`MemberController::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        let mut deadline = self.next_probe.min(self.next_sync).min(self.next_sweep);
        if !self.queue.is_empty() || self.stamp_rounds > 0 {
            deadline = deadline.min(self.next_gossip);
        }
        match self.probes.next_deadline() {
            Some(probe) => deadline.min(probe),
            None => deadline,
        }
    }

    /// Runs the periodic work that is due: probes, deadlines, anti-entropy and gossip.
    pub fn tick(&mut self, now: Instant, rng: &mut SmallRng) -> ActionList {
        let mut actions = ActionList::new();
        self.tick_probes(now, rng, &mut actions);
        if self.next_probe <= now {
            let interval = self.health.scale(PROBE_INTERVAL);
            self.next_probe = now + interval.mul_f64(rng.random_range(0.9..1.1));
            self.check_zones(now);
            self.ping_seeds(&mut actions);
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

    /// Handles a message from the control address `from`.
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
            MemberMessage::Announce(request) => {
                let reply = self.receive_announcement(request, now, rng);
                let message = MemberMessage::AnnounceAck(reply);
                actions.push(MemberAction::Send(OutgoingMessage { to: from, message }));
            }
            // An entry announces nothing and so gets no reply.
            MemberMessage::AnnounceAck(_) => {}
            MemberMessage::Ping(FIRST_CONTACT, head) => {
                self.merge_head(head, true, now, &mut actions);
                self.send_introduction(from, &mut actions);
            }
            MemberMessage::Ping(number, head) => {
                self.merge_head(head, true, now, &mut actions);
                let id = self.own_record.id;
                let message = MemberMessage::Ack(number, id, self.head(PING_UPDATE_BUDGET));
                actions.push(MemberAction::Send(OutgoingMessage { to: from, message }));
            }
            MemberMessage::Ack(number, target, head) => {
                self.merge_head(head, true, now, &mut actions);
                self.close_probe(number, target, &mut actions);
            }
            MemberMessage::PingReq(number, target, head) => {
                let origin = head.from;
                self.merge_head(head, true, now, &mut actions);
                self.relay_probe(number, target, origin, now, &mut actions);
            }
            MemberMessage::Gossip(head) => self.merge_head(head, true, now, &mut actions),
            MemberMessage::Digest(head, page) => {
                let peer = head.from;
                self.merge_head(head, true, now, &mut actions);
                self.compare_digests(peer, &page, now, &mut actions);
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
                self.merge_head(head, spread, now, &mut actions);
                if answer {
                    self.answer_delta(peer, &theirs, (prefix, depth), now, &mut actions);
                }
            }
        }
        actions
    }

    /// Returns the messages that announce to other entries that this one stops.
    pub fn leave(&mut self, rng: &mut SmallRng) -> ActionList {
        let update = MemberUpdate::Entry {
            record: self.own_record.clone(),
            status: EntryStatus::Left,
            by: self.own_record.id,
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

    /// Sends the own record to an entry that may not have it, and starts a comparison of all records.
    fn send_introduction(&self, to: SocketAddrV4, actions: &mut ActionList) {
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

    /// Merges the head that every message between entries carries.
    fn merge_head(
        &mut self,
        head: GossipHead,
        spread: bool,
        now: Instant,
        actions: &mut ActionList,
    ) {
        for update in head.updates {
            self.merge_update(update, spread, now, actions);
        }
        if let Some(slot) = self.entries.slots.get(&head.from) {
            let zone = slot.record.zone.clone();
            if zone != self.own_record.zone {
                let statement = self.zones.record_entry_message(&zone, now);
                self.spread_zone(statement);
            }
        }
        if head.stamp.revision < self.stamp.revision {
            // The sender has an older catalogue: announce the newer one at once instead of with the next gossip.
            let message = MemberMessage::Gossip(self.bare_head());
            actions.push(send(head.from, message));
        }
        if head.stamp != self.stamp {
            actions.push(MemberAction::CatalogueSeen(head.from, head.stamp));
        }
    }

    /// Returns a message head with the next updates from the queue, of at most `budget` bytes.
    pub(super) fn head(&mut self, budget: usize) -> GossipHead {
        let limit = self.retransmit_limit();
        let mut head = self.bare_head();
        head.updates = self.queue.next_updates(budget, limit);
        head
    }

    /// Returns a message head without updates.
    pub(super) fn bare_head(&self) -> GossipHead {
        GossipHead {
            from: self.own_record.id,
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

    /// Returns whether removals in a zone are suspended, because the fault may be in the network of this entry or in
    /// the link to that zone.
    pub(super) fn is_removal_suspended(&self, zone: &str, now: Instant) -> bool {
        self.isolated_at <= now || self.zones.is_unreachable(zone, now)
    }

    pub(super) fn spread_zone(&mut self, statement: Option<ZoneStatement>) {
        let Some(statement) = statement else {
            return;
        };
        self.change_count += 1;
        self.queue.push(MemberUpdate::Zone {
            zone: statement.zone,
            observer: self.own_record.zone.clone(),
            version: statement.version,
            unreachable: statement.unreachable,
        });
    }

    fn check_zones(&mut self, now: Instant) {
        let bridge = self.entries.is_bridge(&self.own_record);
        if bridge && !self.bridge {
            self.zones.reset_deadlines(now);
        }
        self.bridge = bridge;
        if !bridge {
            return;
        }
        let zones = self.entries.other_zones(&self.own_record.zone);
        for statement in self.zones.mark_silent(&zones, now) {
            self.spread_zone(Some(statement));
        }
    }

    /// Pings the seeds that are not live entries in this view, which also rejoins the parts of a partitioned fleet.
    fn ping_seeds(&mut self, actions: &mut ActionList) {
        for &seed in &self.seeds {
            if self.entries.is_live(id_of(seed)) || seed == self.own_record.address() {
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
        if self.queue.is_empty() && self.stamp_rounds == 0 {
            return;
        }
        let send_stamp = self.stamp_rounds > 0;
        if send_stamp {
            self.next_gossip = now + STAMP_INTERVAL;
        }
        self.stamp_rounds = self.stamp_rounds.saturating_sub(1);
        let mut targets = self.entries.choose(
            &self.own_record.zone,
            self.own_record.id,
            GOSSIP_FANOUT,
            rng,
        );
        targets.extend(self.zone_contacts(rng));
        for target in targets {
            let head = self.head(UPDATE_BUDGET);
            if head.updates.is_empty() && !send_stamp {
                break;
            }
            let message = MemberMessage::Gossip(head);
            actions.push(send(target, message));
        }
    }

    /// Chooses one bridge in each of up to [`ZONE_FANOUT`] other zones, if this entry is a bridge of its own zone.
    pub(super) fn zone_contacts(&self, rng: &mut SmallRng) -> Vec<EntryId> {
        if !self.entries.is_bridge(&self.own_record) {
            return Vec::new();
        }
        let zones = self.entries.other_zones(&self.own_record.zone);
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
