//! State that the control loop, the admin pages and the catalogue fetches share. It never leaves the control thread.

use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_core::ids::{address_of, ServiceName, ZoneName};
use quetzalhill_core::member::controller::MemberController;
use quetzalhill_core::member::message::EntryStatus;
use quetzalhill_core::member::{EndpointRecord, EndpointState};
use quetzalhill_core::replicate::CatalogueController;
use quetzalhill_core::route::RouteTable;
use quetzalhill_node::status::{NodeRole, NodeStatus, ServiceStatus};
use quetzalhill_store::etcd::EtcdStore;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time without a completed iteration after which the control loop counts as stuck. A working loop completes at
/// least four iterations per second.
const LOOP_STALL_LIMIT: Duration = Duration::from_secs(3);

/// Time after which an entry can be ready without having compared its records with another entry. The first entry
/// of a fleet has no other entry to compare with.
const SYNC_TIMEOUT: Duration = Duration::from_secs(10);

/// State that the tasks of the control thread share.
#[derive(Debug)]
pub(super) struct ControlState {
    /// Membership of the entries and endpoints.
    pub(super) member: MemberController,
    /// The catalogue in force and its replication from peers.
    pub(super) catalogue: CatalogueController,
    /// Whether the entry holds a reader slot of its zone; set by the catalogue reader.
    pub(super) holds_slot: Rc<Cell<bool>>,
    /// Client of the store, whose call counts and limits the metrics show; `None` without a store.
    pub(super) store: Option<EtcdStore>,
    /// Whether the settings name other entries to join.
    pub(super) has_seeds: bool,
    pub(super) started_at: Instant,
    /// When the control loop completed its last iteration.
    pub(super) last_iteration: Instant,
}

impl ControlState {
    pub(super) fn zone(&self) -> &ZoneName {
        &self.member.own_record().zone
    }

    /// Returns whether the control loop completed an iteration within [`LOOP_STALL_LIMIT`].
    pub(super) fn is_healthy(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_iteration) <= LOOP_STALL_LIMIT
    }

    /// Returns whether the entry can receive packets: a catalogue is in force, and each service of the route table
    /// that has ready endpoints has a route to one of them. An entry that has just started is not ready until it has
    /// synchronized its records with another entry, or [`SYNC_TIMEOUT`] has passed.
    pub(super) fn is_ready(&self, table: &RouteTable, now: Instant) -> bool {
        if self.catalogue.stamp().revision == 0 {
            return false;
        }
        let sync_timed_out = now.saturating_duration_since(self.started_at) >= SYNC_TIMEOUT;
        if self.has_seeds && !self.member.is_synced() && !sync_timed_out {
            return false;
        }
        let ready_services: BTreeSet<&ServiceName> = self
            .member
            .endpoints()
            .filter(|record| record.state == EndpointState::Ready)
            .map(|record| &record.service)
            .collect();
        table
            .services
            .iter()
            .all(|route| !ready_services.contains(&route.name) || !route.ready.is_empty())
    }

    /// Returns the content of the status page.
    pub(super) fn status(&self, table: &RouteTable, now: Instant) -> NodeStatus {
        let stamp = self.catalogue.stamp();
        let entries = self.member.entries();
        let live_entries = entries.filter(|(_, status)| *status != EntryStatus::Left);
        NodeStatus {
            role: NodeRole::Entry,
            zone: self.zone().clone(),
            address: Some(address_of(self.member.own_record().id)),
            version: env!("CARGO_PKG_VERSION").into(),
            uptime_s: now.saturating_duration_since(self.started_at).as_secs(),
            ready: self.is_ready(table, now),
            revision: stamp.revision,
            digest: stamp.digest,
            entries: u32::try_from(live_entries.count() + 1).unwrap_or(u32::MAX),
            reader: self.holds_slot.get(),
            services: count_endpoints(self.catalogue.snapshot(), self.member.endpoints()),
        }
    }
}

/// Counts the ready and draining endpoints of each service. Includes services of the catalogue without endpoints
/// and services of endpoints that are not in the catalogue.
fn count_endpoints<'a>(
    snapshot: &CatalogueSnapshot,
    records: impl Iterator<Item = &'a EndpointRecord>,
) -> BTreeMap<ServiceName, ServiceStatus> {
    let names = snapshot.services.keys();
    let mut services: BTreeMap<_, _> = names
        .map(|name| (name.clone(), ServiceStatus::default()))
        .collect();
    for record in records {
        let status = match services.get_mut(&record.service) {
            Some(status) => status,
            None => services.entry(record.service.clone()).or_default(),
        };
        match record.state {
            EndpointState::Ready => status.ready += 1,
            EndpointState::Draining => status.draining += 1,
            EndpointState::Starting | EndpointState::Left => {}
        }
    }
    services
}
