//! The endpoint records that one entry holds.

use super::health::SuspicionTimer;
use super::{EndpointRecord, EndpointState};
use crate::ids::{EndpointId, ServiceName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

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
    /// Runs while the endpoint is suspected.
    pub(super) suspicion: Option<SuspicionTimer>,
    /// When a record with state `Left` is forgotten.
    pub(super) forget_at: Option<Instant>,
}

/// The endpoints by id and by service.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    /// All endpoints that are known, also those that have left.
    pub(super) slots: BTreeMap<EndpointId, EndpointSlot>,
    /// Endpoints with a deadline for silence or suspicion.
    pub(super) watched: BTreeSet<EndpointId>,
    services: BTreeMap<ServiceName, BTreeSet<EndpointId>>,
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
        self.services
            .entry(record.service.clone())
            .or_default()
            .insert(id);
        let slot = EndpointSlot {
            record,
            beat,
            silent_at,
            vouched_until: None,
            suspicion: None,
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

    /// Returns the ready endpoints of a service.
    pub(super) fn ready<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a EndpointRecord> {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.slots.get(id))
            .map(|slot| &slot.record)
            .filter(|record| record.state == EndpointState::Ready)
    }

    fn unlink(&mut self, record: &EndpointRecord) {
        let Some(ids) = self.services.get_mut(&record.service) else {
            return;
        };
        ids.remove(&record.id);
        if ids.is_empty() {
            self.services.remove(&record.service);
        }
    }
}
