//! State that the control thread of an entry shares with its traffic threads.

use crate::traffic::counters::TrafficCounters;
use arc_swap::ArcSwap;
use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_core::route::RouteTable;
use quetzalhill_wire::key::KeyRing;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Snapshots that traffic threads read and the control thread replaces as a whole.
#[derive(Debug)]
pub struct SharedState {
    /// Services and ready endpoints.
    pub routes: ArcSwap<RouteTable>,
    /// Catalogue in force.
    pub catalogue: ArcSwap<CatalogueSnapshot>,
    /// Valid control keys.
    pub ring: ArcSwap<KeyRing>,
    /// Counters of the traffic threads, which alone write them.
    pub counters: TrafficCounters,
    /// Set to end the traffic threads.
    pub stop: AtomicBool,
}

impl SharedState {
    /// Creates the state of an entry that has no catalogue and no routes yet.
    pub fn new(ring: KeyRing) -> Arc<Self> {
        Arc::new(Self {
            routes: ArcSwap::from_pointee(RouteTable::default()),
            catalogue: ArcSwap::default(),
            ring: ArcSwap::from_pointee(ring),
            counters: TrafficCounters::default(),
            stop: AtomicBool::new(false),
        })
    }
}
