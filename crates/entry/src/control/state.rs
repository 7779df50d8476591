//! What the control loop, the admin pages and the catalogue fetches of one entry share on the control thread.

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

/// Longest time since the last turn of a control loop that works; it turns at least four times a second.
const TURN_LIMIT: Duration = Duration::from_secs(3);

/// Time for the first comparison of records with another entry, after which an entry is ready without it: the
/// first entry of a fleet finds no other.
const SYNC_LIMIT: Duration = Duration::from_secs(10);

/// State of the control thread.
#[derive(Debug)]
pub(super) struct ControlState {
    /// Membership.
    pub(super) member: MemberController,
    /// The catalogue in force.
    pub(super) catalogue: CatalogueController,
    /// Whether the entry holds a reader slot of its zone.
    pub(super) holds_slot: Rc<Cell<bool>>,
    /// The client of the store, for its counts.
    pub(super) store: Option<EtcdStore>,
    /// Whether the settings name other entries.
    pub(super) has_seeds: bool,
    /// When the control thread started.
    pub(super) started_at: Instant,
    /// When the control loop turned last.
    pub(super) turned_at: Instant,
}

impl ControlState {
    /// Returns the zone of the entry.
    pub(super) fn zone(&self) -> &ZoneName {
        &self.member.own_record().zone
    }

    /// Returns whether the control loop turned in the last seconds.
    pub(super) fn is_healthy(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.turned_at) <= TURN_LIMIT
    }

    /// Returns whether the entry can take packets: a catalogue is in force, and every service that has ready
    /// endpoints routes to one. An entry that has just started first learns the endpoints from another entry.
    pub(super) fn is_ready(&self, table: &RouteTable, now: Instant) -> bool {
        if self.catalogue.stamp().revision == 0 {
            return false;
        }
        let waited = now.saturating_duration_since(self.started_at) >= SYNC_LIMIT;
        if self.has_seeds && !self.member.is_synced() && !waited {
            return false;
        }
        let announced: BTreeSet<&ServiceName> = self
            .member
            .endpoints()
            .filter(|record| record.state == EndpointState::Ready)
            .map(|record| &record.service)
            .collect();
        table
            .services
            .iter()
            .all(|route| !announced.contains(&route.name) || !route.ready.is_empty())
    }

    /// Returns what operators see of the entry.
    pub(super) fn status(&self, table: &RouteTable, now: Instant) -> NodeStatus {
        let stamp = self.catalogue.stamp();
        let live = self.member.entries();
        let live = live.filter(|(_, status)| *status != EntryStatus::Left);
        NodeStatus {
            role: NodeRole::Entry,
            zone: self.zone().clone(),
            address: Some(address_of(self.member.own_record().id)),
            version: env!("CARGO_PKG_VERSION").into(),
            uptime_s: now.saturating_duration_since(self.started_at).as_secs(),
            ready: self.is_ready(table, now),
            revision: stamp.revision,
            digest: stamp.digest,
            entries: u32::try_from(live.count() + 1).unwrap_or(u32::MAX),
            reader: self.holds_slot.get(),
            services: services(self.catalogue.snapshot(), self.member.endpoints()),
        }
    }
}

/// Counts the endpoints of each service in the catalogue and of each that is announced.
fn services<'a>(
    snapshot: &CatalogueSnapshot,
    records: impl Iterator<Item = &'a EndpointRecord>,
) -> BTreeMap<ServiceName, ServiceStatus> {
    let known = snapshot.services.keys();
    let mut services: BTreeMap<_, _> = known
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
