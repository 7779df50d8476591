//! Starts and stops a whole agent for opaque flows within one process.

use super::control::{self, ControlHandle, ControlSetup};
use super::counters::AgentCounters;
use super::settings::RelaySettings;
use super::shared::AgentState;
use super::traffic::{self, AgentRelay, AgentSockets, SocketSettings};
use anyhow::Result;
use prometheus::Registry;
use quetzalhill_core::relay::pace::PaceMeter;
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::threads::TrafficThreads;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;

/// Capacity of the event queue from the traffic threads to the control thread.
const EVENTS_MAX: usize = 256;

/// A running agent for opaque flows. Its threads have to be ended with [`RelayHandle::stop`].
#[derive(Debug)]
pub struct RelayHandle {
    settings: RelaySettings,
    traffic: TrafficThreads,
    control: ControlHandle,
}

/// Starts an agent as threads of this process.
///
/// # Errors
///
/// Returns an error that names the address that cannot be bound or the thread that could not be started.
pub fn start(settings: RelaySettings) -> Result<RelayHandle> {
    let registry = Registry::new();
    let relay = &settings.relay;
    // The window is judged by the measured times, so that it needs them even if they are not reported.
    let measures = relay.pace || relay.slow_start;
    let pace = measures.then(|| PaceMeter::new(relay.slow_start, Instant::now()));
    let state = AgentState::new(
        AgentCounters::new(&registry)?,
        relay.schedule,
        pace,
        Instant::now(),
    );
    let sockets = AgentSockets::bind(&SocketSettings {
        packets: relay.packets,
        outbound: relay.outbound,
        upstream: relay.upstream,
        entry_port: relay.entry_port,
        service: relay.service.clone(),
    })?;
    let (sender, events) = mpsc::channel(EVENTS_MAX);
    let traffic = traffic::start(&sockets, &state, &sender)?;
    let control = control::start(ControlSetup {
        settings: settings.clone(),
        state: Arc::clone(&state),
        relay: Arc::new(AgentRelay::new(&sockets, &state, &sender)),
        sockets,
        events,
        registry,
    })?;
    emit(
        EventCode::AgentStarted,
        &[
            ("service", &settings.relay.service),
            ("packets", &settings.relay.packets),
            ("node", &settings.node.name),
        ],
    );
    Ok(RelayHandle {
        settings,
        traffic,
        control,
    })
}

impl RelayHandle {
    /// Reports the stop to the entries and ends the threads. The upstream keeps its flows, but gets no packets until an
    /// agent runs again.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread has panicked.
    pub fn stop(self) -> Result<()> {
        self.control.stop()?;
        self.traffic.stop()?;
        let packets = self.settings.relay.packets;
        emit(EventCode::AgentStopped, &[("packets", &packets)]);
        Ok(())
    }
}
