//! Membership as an entry keeps it.

use super::announce::{peers_digest, BEAT_INTERVAL};
use super::message::{AnnounceBeat, AnnounceReply, CatalogueStamp, MemberMessage, OutgoingMessage};
use super::{EndpointRecord, EndpointState, EntryRecord};
use crate::ids::EndpointId;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Silence after which an entry that heard an endpoint removes it.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// Most peers in one answer, so that the answer fits a datagram.
const REPLY_PEERS: usize = 12;

#[derive(Debug)]
struct EndpointSlot {
    record: EndpointRecord,
    beat: u64,
    /// When the endpoint counts as failed, while this entry hears it.
    silent_at: Option<Instant>,
}

/// Owns what one entry knows of endpoints and other entries.
#[derive(Debug)]
pub struct MemberController {
    own: EntryRecord,
    endpoints: BTreeMap<EndpointId, EndpointSlot>,
    stamp: CatalogueStamp,
    changes: u64,
}

impl MemberController {
    /// Makes the controller of an entry.
    pub fn new(own: EntryRecord, _now: Instant) -> Self {
        Self {
            own,
            endpoints: BTreeMap::new(),
            stamp: CatalogueStamp::default(),
            changes: 0,
        }
    }

    /// Sets the catalogue that messages tell of.
    pub fn set_stamp(&mut self, stamp: CatalogueStamp) {
        self.stamp = stamp;
    }

    /// Returns a number that rises with each change of an endpoint record.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns all endpoint records.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.values().map(|slot| &slot.record)
    }

    /// Returns when [`MemberController::tick`] is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.endpoints
            .values()
            .filter_map(|slot| slot.silent_at)
            .min()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant, _rng: &mut SmallRng) -> Vec<OutgoingMessage> {
        for slot in self.endpoints.values_mut() {
            if slot.silent_at.is_none_or(|deadline| deadline > now) {
                continue;
            }
            slot.silent_at = None;
            if slot.record.state == EndpointState::Left {
                continue;
            }
            slot.record.state = EndpointState::Left;
            self.changes += 1;
        }
        Vec::new()
    }

    /// Takes a message from the control address `from`.
    pub fn receive(
        &mut self,
        from: SocketAddrV4,
        message: MemberMessage,
        now: Instant,
        _rng: &mut SmallRng,
    ) -> Vec<OutgoingMessage> {
        match message {
            MemberMessage::Announce(beat) => vec![OutgoingMessage {
                to: from,
                message: MemberMessage::AnnounceAck(self.announced(beat, now)),
            }],
            _ => Vec::new(),
        }
    }

    fn announced(&mut self, beat: AnnounceBeat, now: Instant) -> AnnounceReply {
        if let Some(record) = beat.record {
            self.merge(record);
        }
        let slot = self.endpoints.get_mut(&beat.id);
        let known = slot.as_ref().map(|slot| slot.record.version());
        let mut peers = None;
        if let Some(slot) = slot {
            if slot.record.incarnation == beat.version.incarnation && beat.beat > slot.beat {
                slot.beat = beat.beat;
                slot.silent_at = Some(now + SILENCE_LIMIT.max(BEAT_INTERVAL));
            }
            let service = slot.record.service.clone();
            peers = self.peers_unless(&service, beat.id, beat.peers);
        }
        let entries = match beat.refresh {
            true => vec![self.own.clone()],
            false => Vec::new(),
        };
        AnnounceReply {
            beat: beat.beat,
            stamp: self.stamp,
            known,
            entries,
            peers,
            service: None,
        }
    }

    fn peers_unless(
        &self,
        service: &str,
        own: EndpointId,
        known: u64,
    ) -> Option<Vec<EndpointRecord>> {
        let peers: Vec<_> = self
            .endpoints()
            .filter(|peer| peer.service == service && peer.id != own)
            .filter(|peer| peer.state != EndpointState::Left)
            .take(REPLY_PEERS)
            .cloned()
            .collect();
        match peers_digest(peers.iter()) == known {
            true => None,
            false => Some(peers),
        }
    }

    fn merge(&mut self, record: EndpointRecord) -> bool {
        let slot = self.endpoints.get(&record.id);
        if slot.is_some_and(|slot| !record.supersedes(&slot.record)) {
            return false;
        }
        let restarted = slot.is_none_or(|slot| slot.record.incarnation != record.incarnation);
        let beat = match restarted {
            true => 0,
            false => slot.map_or(0, |slot| slot.beat),
        };
        let slot = EndpointSlot {
            record,
            beat,
            silent_at: None,
        };
        self.endpoints.insert(slot.record.id, slot);
        self.changes += 1;
        true
    }
}
