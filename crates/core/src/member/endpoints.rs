//! Table of the endpoint records that one entry holds, with the state of their failure detection.

use super::{EndpointRecord, EndpointState};
use crate::ids::{DigestValue, EndpointId, EntryId, ServiceName};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Suspicion of an endpoint whose heartbeats stopped; it ends with a heartbeat or with the endpoint's removal.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointSuspicion {
    /// Whether all entries have been queried; before that, only the monitors are.
    pub(super) all_entries: bool,
    /// When the next step is due: to query all entries, then to remove the endpoint.
    pub(super) deadline: Instant,
}

/// A query from other entries for a later heartbeat of the endpoint; kept so that it is forwarded only once.
#[derive(Clone, Debug, Default)]
pub(super) struct HeartbeatQuery {
    /// Last heartbeat that any of the querying entries received.
    pub(super) heartbeat: u64,
    /// Entries that sent the query.
    pub(super) sources: SmallVec<[EntryId; 3]>,
}

/// One endpoint record with its last heartbeat and its deadlines.
#[derive(Debug)]
pub(super) struct EndpointSlot {
    /// Newest record, from the agent or from an entry that removed the endpoint.
    pub(super) record: EndpointRecord,
    /// Last heartbeat that this entry received or that another entry reported.
    pub(super) heartbeat: u64,
    /// When the endpoint is suspected unless a heartbeat arrives before; none if this entry gets no heartbeats of it.
    pub(super) silent_at: Option<Instant>,
    /// Until when the audit does not suspect the endpoint; set by another entry's report of a heartbeat, or else by the
    /// first audit.
    pub(super) report_valid_until: Option<Instant>,
    /// Set while this entry suspects the endpoint.
    pub(super) suspicion: Option<EndpointSuspicion>,
    /// Open query of other entries.
    pub(super) query: Option<Box<HeartbeatQuery>>,
    /// Version of the service and the digest of the peers that were chosen for the agent at that version.
    pub(super) peers: Option<(u64, DigestValue)>,
    /// When a tombstone, a record with state `Left`, is dropped.
    pub(super) expires_at: Option<Instant>,
}

/// Returns the position of an endpoint on the hash ring of its service; each `seed` gives another one.
fn ring_position(id: EndpointId, seed: u64) -> u64 {
    xxh3_64_with_seed(&id.to_le_bytes(), seed)
}

/// The endpoints of one service.
#[derive(Debug, Default)]
struct ServiceMembers {
    ids: BTreeSet<EndpointId>,
    /// Hash ring of the ready endpoints, so that a few can be chosen without scanning all.
    ring: BTreeSet<(u64, EndpointId)>,
    /// Rises with each change of a record.
    version: u64,
}

/// The endpoints, indexed by id and by service.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    /// All endpoints, including the tombstones of those that have left.
    pub(super) slots: BTreeMap<EndpointId, EndpointSlot>,
    /// Endpoints that this entry monitors or suspects, and so have a deadline.
    pub(super) watched: BTreeSet<EndpointId>,
    services: BTreeMap<ServiceName, ServiceMembers>,
    last_version: u64,
}

impl EndpointTable {
    /// Stores a record that the caller found to supersede the present one.
    pub(super) fn store(&mut self, record: EndpointRecord, expires_at: Option<Instant>) {
        let id = record.id;
        let mut heartbeat = 0;
        let mut silent_at = None;
        if let Some(old) = self.slots.remove(&id) {
            self.unlink(&old.record);
            if old.record.incarnation == record.incarnation {
                heartbeat = old.heartbeat;
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
            heartbeat,
            silent_at,
            report_valid_until: None,
            suspicion: None,
            query: None,
            peers: None,
            expires_at,
        };
        self.slots.insert(id, slot);
    }

    /// Removes an endpoint without leaving a tombstone.
    pub(super) fn remove(&mut self, id: EndpointId) -> Option<EndpointSlot> {
        let slot = self.slots.remove(&id)?;
        self.watched.remove(&id);
        self.unlink(&slot.record);
        Some(slot)
    }

    /// Returns up to `amount` ready endpoints of a service, other than `id`.
    ///
    /// Consistent hashing by `id` chooses them, so that a change of one endpoint changes few choices.
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

    /// Returns a version that changes with each change of the service's records; 0 if it has none.
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
