//! What the threads of an entry of the relay share.

use super::counters::RelayCounters;
use arc_swap::ArcSwap;
use quetzalhill_core::relay::chain::RelayChain;
use quetzalhill_core::relay::hold::HoldQueue;
use quetzalhill_core::relay::view::RelayView;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Shared state; the control thread replaces the view as a whole, and only traffic threads use the chain.
#[derive(Debug)]
pub(super) struct RelayState {
    /// Routes and endpoints.
    pub(super) view: ArcSwap<RelayView>,
    chain: Mutex<RelayChain>,
    hold: Mutex<HoldQueue>,
    /// What the traffic threads count.
    pub(super) counters: RelayCounters,
    /// Set when the traffic threads have to end.
    pub(super) stop: Arc<AtomicBool>,
}

impl RelayState {
    /// Makes the state of an entry that knows nothing yet.
    pub(super) fn new(counters: RelayCounters, now: Instant) -> Arc<Self> {
        Arc::new(Self {
            view: ArcSwap::default(),
            chain: Mutex::new(RelayChain::new(now)),
            hold: Mutex::default(),
            counters,
            stop: Arc::default(),
        })
    }

    /// Returns the packets that wait for the view.
    pub(super) fn hold(&self) -> MutexGuard<'_, HoldQueue> {
        // A queue that a panic left behind has at most lost a packet.
        self.hold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the chain for one packet.
    pub(super) fn chain(&self) -> MutexGuard<'_, RelayChain> {
        // The chain is only a memory that saves steps, so that what a panic left is still usable.
        self.chain.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
