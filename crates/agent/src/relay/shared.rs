//! State shared by the threads of the agent for opaque flows.

use super::counters::AgentCounters;
use arc_swap::ArcSwap;
use quetzalhill_core::ids::IncarnationNumber;
use quetzalhill_core::relay::cold::ColdGate;
use quetzalhill_core::relay::health::AnswerHealth;
use quetzalhill_core::relay::intake::UpstreamState;
use quetzalhill_core::relay::load::LoadMeter;
use quetzalhill_core::relay::pace::PaceMeter;
use quetzalhill_core::relay::schedule::RequestScheduler;
use quetzalhill_core::relay::slow_start::WindowFilled;
use quetzalhill_node::event::{emit, EventCode};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Status of the upstream, as the control thread derives it from announcements and probes.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamStatus {
    pub(super) state: UpstreamState,
    /// Incarnation of the upstream; 0 while it is unknown.
    pub(super) incarnation: IncarnationNumber,
    /// Maximum number of concurrent requests of the upstream; 0 while it is unknown.
    pub(super) slots: u32,
}

/// State shared by the control thread, which replaces the status as a whole, and the traffic threads, which update
/// the meter and the health.
#[derive(Debug)]
pub(super) struct AgentState {
    /// Last status that the control thread published.
    pub(super) status: ArcSwap<UpstreamStatus>,
    meter: Mutex<LoadMeter>,
    health: Mutex<AnswerHealth>,
    cold: Mutex<ColdGate>,
    /// Queue of requests; `None` if they are not scheduled.
    scheduler: Option<Mutex<RequestScheduler>>,
    pub(super) counters: AgentCounters,
    /// Stop flag of the traffic threads.
    pub(super) stop: Arc<AtomicBool>,
}

impl AgentState {
    /// Creates the state of an agent whose upstream is still unknown. `schedule` says whether requests are held and
    /// ordered; `pace` measures the upstream's pace, if it is measured.
    pub(super) fn new(
        counters: AgentCounters,
        schedule: bool,
        pace: Option<PaceMeter>,
        now: Instant,
    ) -> Arc<Self> {
        Arc::new(Self {
            status: ArcSwap::from_pointee(UpstreamStatus {
                state: UpstreamState::Unknown,
                incarnation: 0,
                slots: 0,
            }),
            meter: Mutex::new(pace.map(LoadMeter::with_pace).unwrap_or_default()),
            health: Mutex::new(AnswerHealth::new(SmallRng::from_os_rng())),
            cold: Mutex::new(ColdGate::new(now)),
            scheduler: schedule.then(Mutex::default),
            counters,
            stop: Arc::default(),
        })
    }

    /// Locks the load meter; callers hold the lock for one packet or one report.
    pub(super) fn meter(&self) -> MutexGuard<'_, LoadMeter> {
        // After a panic of another thread the counts are wrong by a few flows at most, so that a poisoned lock is
        // still usable.
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the gate for first packets to a cold upstream.
    pub(super) fn cold(&self) -> MutexGuard<'_, ColdGate> {
        // The gate has no state that a panic could leave half changed.
        self.cold.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the window of new flows again, if there is one, because the upstream recovers from `cause`.
    pub(super) fn restart_window(&self, cause: &str, now: Instant) {
        let mut meter = self.meter();
        let Some(pace) = meter.pace() else {
            return;
        };
        let restarted = pace.restart_window(now);
        let window = pace.window().unwrap_or(0);
        drop(meter);
        if restarted {
            self.log_restart(cause, window);
        }
    }

    /// Discards what was measured of the upstream, because another incarnation of it has started.
    pub(super) fn reset_pace(&self, now: Instant) {
        let mut meter = self.meter();
        let Some(pace) = meter.pace() else {
            return;
        };
        pace.reset(now);
        let window = pace.window();
        drop(meter);
        if let Some(window) = window {
            self.log_restart("incarnation", window);
        }
    }

    fn log_restart(&self, cause: &str, window: u32) {
        let incarnation = self.status.load().incarnation;
        emit(
            EventCode::SlowStartBegun,
            &[
                ("cause", &cause),
                ("window", &window),
                ("incarnation", &incarnation),
            ],
        );
    }

    /// Logs that the window of new flows has reached its ceiling after a start.
    pub(super) fn log_filled(&self, filled: &WindowFilled) {
        emit(
            EventCode::SlowStartDone,
            &[
                ("window", &filled.window),
                ("elapsed_ms", &filled.elapsed.as_millis()),
                ("answers", &filled.answers),
                ("incarnation", &self.status.load().incarnation),
            ],
        );
    }

    /// Locks the health of the upstream, which is derived from the outcomes of requests.
    pub(super) fn health(&self) -> MutexGuard<'_, AnswerHealth> {
        // Later outcomes make up for those that another thread did not record because it panicked, so that a
        // poisoned lock is still usable.
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the queue of requests, or returns `None` if requests are not scheduled. Callers hold the lock until they
    /// have sent what it gives them, so that no packet of a flow overtakes another one; they lock nothing else before it.
    pub(super) fn scheduler(&self) -> Option<MutexGuard<'_, RequestScheduler>> {
        let scheduler = self.scheduler.as_ref()?;
        // A panic can lose one held request, which its caller retransmits, so that a poisoned lock is still usable.
        Some(scheduler.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the number of requests that wait at the agent.
    pub(super) fn held_requests(&self) -> u32 {
        let held = self.scheduler().map_or(0, |queue| queue.held_requests());
        u32::try_from(held).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests in progress, held, or expected at once on new flows.
    pub(super) fn pending_requests(&self, now: Instant) -> u32 {
        let held = self.held_requests();
        held.saturating_add(self.meter().pending_requests(now))
    }
}
