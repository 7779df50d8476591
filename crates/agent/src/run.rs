//! Starts, drains and stops a whole agent within one process.

use crate::control::{self, ControlHandle};
use crate::settings::AgentSettings;
use crate::shared::SharedState;
use crate::traffic::{self, TrafficHandle};
use anyhow::Result;
use quetzalhill_core::ids::IncarnationNumber;
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::keys::read_ring;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc;

/// Capacity of the event queue from the traffic thread to the control thread.
const EVENTS_MAX: usize = 64;

/// Time after the drain limit within which the traffic thread reports the end of the drain.
const DRAIN_MARGIN: Duration = Duration::from_secs(5);

/// Interval at which a wait for the end of a drain checks whether it is interrupted.
const INTERRUPT_CHECK: Duration = Duration::from_millis(50);

/// A running agent. Its threads have to be ended with [`AgentHandle::stop`] or [`AgentHandle::stop_now`].
#[derive(Debug)]
pub struct AgentHandle {
    state: Arc<SharedState>,
    traffic: TrafficHandle,
    control: ControlHandle,
    packets: SocketAddrV4,
    drain_limit: Duration,
}

/// Starts an agent as threads of this process.
///
/// # Errors
///
/// Returns an error that names the file or address that is wrong, or the thread that could not be started.
pub fn start(settings: AgentSettings) -> Result<AgentHandle> {
    let node = &settings.node;
    let ring = read_ring(&node.control_key, node.previous_key.as_deref())?;
    let state = SharedState::new(incarnation(SystemTime::now()), ring);
    let (sender, events) = mpsc::channel(EVENTS_MAX);
    let traffic = traffic::start(&settings, Arc::clone(&state), sender)?;
    let control = control::start(&settings, Arc::clone(&state), events)?;
    let packets = settings.agent.packets;
    emit(
        EventCode::AgentStarted,
        &[("service", &settings.agent.service), ("packets", &packets)],
    );
    Ok(AgentHandle {
        state,
        traffic,
        control,
        packets,
        drain_limit: Duration::from_secs(settings.agent.drain_limit_s.into()),
    })
}

/// Returns the incarnation number of a process that starts at `now`: the Unix time in milliseconds.
///
/// An instance stores no counter of its incarnations, so the clock numbers them. Milliseconds are fine enough to
/// distinguish them after an immediate restart too.
fn incarnation(now: SystemTime) -> IncarnationNumber {
    let since = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    IncarnationNumber::try_from(since.as_millis()).unwrap_or(IncarnationNumber::MAX)
}

impl AgentHandle {
    /// Returns the state that the control thread publishes for the traffic thread.
    pub fn state(&self) -> &Arc<SharedState> {
        &self.state
    }

    /// Returns the handle of the traffic thread, which provides its counters.
    pub fn traffic(&self) -> &TrafficHandle {
        &self.traffic
    }

    /// Starts a drain and returns at once. The endpoint accepts no new flows and finishes those that it holds.
    pub fn drain(&self) {
        self.control.drain();
    }

    /// Waits until a drain has ended or its time limit has passed. Returns false if `interrupted` returned true first.
    pub fn wait_drained(&self, interrupted: impl Fn() -> bool) -> bool {
        let end = Instant::now() + self.drain_limit + DRAIN_MARGIN;
        while Instant::now() < end {
            if self.traffic.wait_drained(INTERRUPT_CHECK) {
                return true;
            }
            if interrupted() {
                return false;
            }
        }
        true
    }

    /// Stops gracefully: drains for at most `agent.drain_limit_s` seconds and ends the threads.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread has panicked.
    pub fn stop(self) -> Result<()> {
        self.control.drain();
        self.traffic.wait_drained(self.drain_limit + DRAIN_MARGIN);
        self.stop_now()
    }

    /// Ends the threads at once, which breaks all open flows.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread has panicked.
    pub fn stop_now(self) -> Result<()> {
        self.traffic.stop();
        self.control.stop()?;
        emit(EventCode::AgentStopped, &[("packets", &self.packets)]);
        Ok(())
    }
}
