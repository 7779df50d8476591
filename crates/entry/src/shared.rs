//! What the control thread of an entry publishes for its traffic threads.

use crate::traffic::counters::TrafficCounters;
use arc_swap::ArcSwap;
use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_core::route::RouteTable;
use quetzalhill_wire::key::KeyRing;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Snapshots that traffic threads read; the control thread replaces them whole.
#[derive(Debug)]
pub struct SharedState {
    /// Services and ready endpoints.
    pub routes: ArcSwap<RouteTable>,
    /// Catalogue in force.
    pub catalogue: ArcSwap<CatalogueSnapshot>,
    /// Valid control keys.
    pub ring: ArcSwap<KeyRing>,
    /// What the traffic threads counted; only they write it.
    pub counters: TrafficCounters,
    /// Set when the traffic threads have to end.
    pub stop: AtomicBool,
}

impl SharedState {
    /// Makes the state of an entry that knows no service yet.
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
