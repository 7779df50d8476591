//! What the threads of an agent of the relay share.

use super::counters::AgentCounters;
use arc_swap::ArcSwap;
use quetzalhill_core::ids::IncarnationNumber;
use quetzalhill_core::relay::health::AnswerHealth;
use quetzalhill_core::relay::intake::UpstreamState;
use quetzalhill_core::relay::load::LoadMeter;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What the control thread believes of the upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamBelief {
    /// State.
    pub(super) state: UpstreamState,
    /// Life; 0 while it is not known.
    pub(super) incarnation: IncarnationNumber,
    /// Requests that it runs at the same time; 0 while it is not known.
    pub(super) slots: u32,
}

/// Shared state; the control thread replaces the belief as a whole, and traffic threads feed the meter.
#[derive(Debug)]
pub(super) struct AgentState {
    /// What the control thread believes of the upstream.
    pub(super) belief: ArcSwap<UpstreamBelief>,
    meter: Mutex<LoadMeter>,
    health: Mutex<AnswerHealth>,
    /// What the traffic threads count.
    pub(super) counters: AgentCounters,
    /// Set when the traffic threads have to end.
    pub(super) stop: Arc<AtomicBool>,
}

impl AgentState {
    /// Makes the state of an agent that knows nothing of its upstream.
    pub(super) fn new(counters: AgentCounters) -> Arc<Self> {
        Arc::new(Self {
            belief: ArcSwap::from_pointee(UpstreamBelief {
                state: UpstreamState::Unknown,
                incarnation: 0,
                slots: 0,
            }),
            meter: Mutex::default(),
            health: Mutex::new(AnswerHealth::new(SmallRng::from_os_rng())),
            counters,
            stop: Arc::default(),
        })
    }

    /// Returns the meter for one packet.
    pub(super) fn meter(&self) -> MutexGuard<'_, LoadMeter> {
        // A meter that a panic left behind is at most a few flows off.
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what the outcomes of requests say of the upstream.
    pub(super) fn health(&self) -> MutexGuard<'_, AnswerHealth> {
        // Outcomes that a panic left uncounted are made up by later ones.
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
