//! Start and stop of a whole agent within one process.

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

/// Events on their way from the traffic thread to the control thread.
const EVENTS_MAX: usize = 64;

/// Time beyond the limit of the drain itself, in which the traffic thread reports its end.
const DRAIN_MARGIN: Duration = Duration::from_secs(5);

/// How soon a wait for the end of a drain notices that it is interrupted.
const INTERRUPT_CHECK: Duration = Duration::from_millis(50);

/// A running agent.
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
/// Says which file or address is wrong, or which thread could not be started.
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

/// Returns the number of a life that starts now.
///
/// An instance keeps no state, so that the clock tells its lives apart; milliseconds also differ for a process that
/// is restarted at once.
fn incarnation(now: SystemTime) -> IncarnationNumber {
    let since = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    IncarnationNumber::try_from(since.as_millis()).unwrap_or(IncarnationNumber::MAX)
}

impl AgentHandle {
    /// Returns the snapshots that the traffic thread reads.
    pub fn state(&self) -> &Arc<SharedState> {
        &self.state
    }

    /// Returns the traffic side, for its counters.
    pub fn traffic(&self) -> &TrafficHandle {
        &self.traffic
    }

    /// Starts a drain and returns at once; the endpoint takes no new flows and finishes what it holds.
    pub fn drain(&self) {
        self.control.drain();
    }

    /// Waits until a drain has ended; returns false if `interrupted` has become true before.
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

    /// Stops gracefully: drains, at most for the time that the settings give, and ends the threads.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread had panicked.
    pub fn stop(self) -> Result<()> {
        self.control.drain();
        self.traffic.wait_drained(self.drain_limit + DRAIN_MARGIN);
        self.stop_now()
    }

    /// Ends the threads and all flows at once, as when the instance fails.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread had panicked.
    pub fn stop_now(self) -> Result<()> {
        self.traffic.stop();
        self.control.stop()?;
        emit(EventCode::AgentStopped, &[("packets", &self.packets)]);
        Ok(())
    }
}
