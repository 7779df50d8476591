//! State that the threads of an entry of the relay share.

use super::counters::RelayCounters;
use arc_swap::ArcSwap;
use quetzalhill_core::relay::chain::{ChainPolicy, RelayChain};
use quetzalhill_core::relay::hold::HoldQueue;
use quetzalhill_core::relay::open_flows::OpenFlows;
use quetzalhill_core::relay::rounds::RoundQueue;
use quetzalhill_core::relay::view::RelayView;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Shared state. The control thread replaces the view as a whole; only traffic threads decide with the chain.
#[derive(Debug)]
pub(super) struct RelayState {
    /// Routes and endpoints on which the chain bases its decisions.
    pub(super) view: ArcSwap<RelayView>,
    chain: Mutex<RelayChain>,
    hold: Mutex<HoldQueue>,
    rounds: Mutex<RoundQueue>,
    open_flows: Mutex<OpenFlows>,
    /// Start of the clock in barriers.
    pub(super) started: Instant,
    /// Whether agents get the terms of routes with each packet.
    pub(super) schedule: bool,
    /// Metrics, updated by all threads.
    pub(super) counters: RelayCounters,
    /// Set to end the traffic threads.
    pub(super) stop: Arc<AtomicBool>,
}

impl RelayState {
    /// Creates the state of an entry that has not loaded routes or endpoints yet and decides by `policy`. `schedule` says
    /// whether agents get the terms of routes.
    pub(super) fn new(
        counters: RelayCounters,
        policy: ChainPolicy,
        schedule: bool,
        now: Instant,
    ) -> Arc<Self> {
        Arc::new(Self {
            view: ArcSwap::default(),
            chain: Mutex::new(RelayChain::with_policy(policy, now)),
            hold: Mutex::default(),
            rounds: Mutex::default(),
            open_flows: Mutex::default(),
            started: now,
            schedule,
            counters,
            stop: Arc::default(),
        })
    }

    /// Locks the queue of packets that wait for a newer view.
    pub(super) fn hold(&self) -> MutexGuard<'_, HoldQueue> {
        // After a panic in another thread the queue is still valid; at most one packet is lost.
        self.hold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the queue of packets whose flows are searched for.
    pub(super) fn rounds(&self) -> MutexGuard<'_, RoundQueue> {
        // After a panic in another thread the queue is still valid; at most one packet is lost.
        self.rounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the open flows whose requests must not be repeated.
    pub(super) fn open_flows(&self) -> MutexGuard<'_, OpenFlows> {
        // A flow that another thread did not record because it panicked is only reset later.
        self.open_flows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the chain, for the decision on one packet.
    pub(super) fn chain(&self) -> MutexGuard<'_, RelayChain> {
        // The flow table of the chain is only a cache that saves lookups, so its state after a panic is still usable.
        self.chain.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
