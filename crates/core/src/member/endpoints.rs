//! The endpoint records that one entry holds.

use super::{EndpointRecord, EndpointState};
use crate::ids::{DigestValue, EndpointId, EntryId, ServiceName};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The wait for a word of an endpoint that this entry does not hear.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointSuspicion {
    /// Whether all entries are asked; only the sponsors are before.
    pub(super) everyone: bool,
    /// When the next step follows: to ask all entries, then to remove the endpoint.
    pub(super) deadline: Instant,
}

/// Entries that ask whether anybody has heard a later beat; kept so that each question is passed on once.
#[derive(Clone, Debug, Default)]
pub(super) struct SilenceQuestion {
    /// Last beat that any of them heard.
    pub(super) beat: u64,
    /// The entries.
    pub(super) sources: SmallVec<[EntryId; 3]>,
}

/// One endpoint and how recently it was heard.
#[derive(Debug)]
pub(super) struct EndpointSlot {
    /// What the agent announced last.
    pub(super) record: EndpointRecord,
    /// Last beat that this entry heard, or another entry told of.
    pub(super) beat: u64,
    /// When silence begins, while this entry hears the endpoint.
    pub(super) silent_at: Option<Instant>,
    /// Until when another entry's word of a beat counts.
    pub(super) vouched_until: Option<Instant>,
    /// Set while this entry suspects the endpoint.
    pub(super) suspicion: Option<EndpointSuspicion>,
    /// Questions of other entries.
    pub(super) question: Option<Box<SilenceQuestion>>,
    /// Digest of the peers that an answer names, and the version of the service for which it was computed.
    pub(super) peers: Option<(u64, DigestValue)>,
    /// When a record with state `Left` is forgotten.
    pub(super) forget_at: Option<Instant>,
}

/// Returns a place on the ring of a service.
fn ring_position(id: EndpointId, seed: u64) -> u64 {
    xxh3_64_with_seed(&id.to_le_bytes(), seed)
}

/// The endpoints of a service.
#[derive(Debug, Default)]
struct ServiceMembers {
    ids: BTreeSet<EndpointId>,
    /// Ready endpoints by a hash of their id, so that some are chosen without a look at all.
    ring: BTreeSet<(u64, EndpointId)>,
    /// Rises with each change of a record.
    version: u64,
}

/// The endpoints by id and by service.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    /// All endpoints that are known, also those that have left.
    pub(super) slots: BTreeMap<EndpointId, EndpointSlot>,
    /// Endpoints with a deadline for silence or suspicion.
    pub(super) watched: BTreeSet<EndpointId>,
    services: BTreeMap<ServiceName, ServiceMembers>,
    last_version: u64,
}

impl EndpointTable {
    /// Stores a record that the caller found to supersede the present one.
    pub(super) fn store(&mut self, record: EndpointRecord, forget_at: Option<Instant>) {
        let id = record.id;
        let mut beat = 0;
        let mut silent_at = None;
        if let Some(old) = self.slots.remove(&id) {
            self.unlink(&old.record);
            if old.record.incarnation == record.incarnation {
                beat = old.beat;
                silent_at = old.silent_at;
            }
        }
        if record.state == EndpointState::Left {
            silent_at = None;
        }
        self.last_version += 1;
        let members = self.services.entry(record.service.clone()).or_default();
        members.ids.insert(id);
        if record.state == EndpointState::Ready {
            members.ring.insert((ring_position(id, 0), id));
        }
        members.version = self.last_version;
        let slot = EndpointSlot {
            record,
            beat,
            silent_at,
            vouched_until: None,
            suspicion: None,
            question: None,
            peers: None,
            forget_at,
        };
        self.slots.insert(id, slot);
    }

    /// Forgets an endpoint.
    pub(super) fn forget(&mut self, id: EndpointId) -> Option<EndpointSlot> {
        let slot = self.slots.remove(&id)?;
        self.watched.remove(&id);
        self.unlink(&slot.record);
        Some(slot)
    }

    /// Returns up to `amount` ready endpoints of a service; which ones depends on `id` and hardly on the others.
    pub(super) fn ready_for<'a>(
        &'a self,
        service: &str,
        id: EndpointId,
        amount: usize,
    ) -> impl Iterator<Item = &'a EndpointRecord> {
        let mut chosen: SmallVec<[EndpointId; 16]> = SmallVec::new();
        if let Some(members) = self.services.get(service) {
            let amount = amount.min(members.ring.len());
            for seed in (1_u64..).take(amount) {
                let start = (ring_position(id, seed), 0);
                let after = members.ring.range(start..);
                let around = after.chain(&members.ring).map(|&(_, peer)| peer);
                let mut unused = around.filter(|peer| *peer != id && !chosen.contains(peer));
                let next = unused.next();
                chosen.extend(next);
            }
        }
        let slots = chosen.into_iter().filter_map(|id| self.slots.get(&id));
        slots.map(|slot| &slot.record)
    }

    /// Returns a number that changes with the records of a service.
    pub(super) fn service_version(&self, service: &str) -> u64 {
        self.services
            .get(service)
            .map_or(0, |members| members.version)
    }

    fn unlink(&mut self, record: &EndpointRecord) {
        self.last_version += 1;
        let Some(members) = self.services.get_mut(&record.service) else {
            return;
        };
        members.ids.remove(&record.id);
        members
            .ring
            .remove(&(ring_position(record.id, 0), record.id));
        members.version = self.last_version;
        if members.ids.is_empty() {
            self.services.remove(&record.service);
        }
    }
}
