//! Starts and stops an entry of the relay as threads of one process.

use super::control::{self, ControlHandle, ControlSetup};
use super::counters::RelayCounters;
use super::settings::RelaySettings;
use super::shared::RelayState;
use super::traffic::{self, RelaySockets};
use anyhow::Result;
use prometheus::Registry;
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::threads::TrafficThreads;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Capacity of the event queue of the control thread; holds one round of reports of all agents of the largest site.
const EVENTS_MAX: usize = 256;

/// A running entry of the relay; [`RelayHandle::stop`] ends its threads.
#[derive(Debug)]
pub struct RelayHandle {
    settings: RelaySettings,
    traffic: TrafficThreads,
    control: ControlHandle,
}

/// Starts an entry as threads of this process.
///
/// # Errors
///
/// An address cannot be bound or a thread cannot be started; the error names it.
pub fn start(settings: RelaySettings) -> Result<RelayHandle> {
    let registry = Registry::new();
    let counters = RelayCounters::new(&registry)?;
    let relay = &settings.relay;
    let state = RelayState::new(
        counters,
        relay.chain_policy(),
        relay.schedule,
        Instant::now(),
    );
    let sockets = RelaySockets::bind(relay.packets, relay.agents)?;
    let (sender, events) = mpsc::channel(EVENTS_MAX);
    let traffic = traffic::start(&sockets, &state, &sender, settings.relay.reset_ended)?;
    let control = control::start(ControlSetup {
        settings: settings.clone(),
        state: Arc::clone(&state),
        sockets,
        events,
        registry,
    })?;
    emit(
        EventCode::EntryStarted,
        &[
            ("zone", &settings.node.zone),
            ("data", &settings.relay.packets),
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
    /// Stops gracefully: reports "not ready", forwards packets for `relay.linger_ms`, so that the fabric's probes
    /// can fail meanwhile, then ends the threads.
    ///
    /// # Errors
    ///
    /// A thread had panicked.
    pub fn stop(self) -> Result<()> {
        self.control.linger();
        sleep(Duration::from_millis(self.settings.relay.linger_ms));
        self.traffic.stop()?;
        self.control.stop()?;
        emit(
            EventCode::EntryStopped,
            &[("data", &self.settings.relay.packets)],
        );
        Ok(())
    }
}
