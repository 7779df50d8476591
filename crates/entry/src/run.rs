//! Starts and stops an entry as threads of one process.

use crate::control::{self, CatalogueSender, ControlHandle};
use crate::settings::EntrySettings;
use crate::shared::SharedState;
use crate::traffic::{self, TrafficHandle};
use anyhow::Result;
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::keys::{read_ring, KeyWatch};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// A running entry; [`EntryHandle::stop`] ends its threads.
#[derive(Debug)]
pub struct EntryHandle {
    state: Arc<SharedState>,
    traffic: TrafficHandle,
    control: ControlHandle,
    linger: Duration,
}

/// Starts an entry as threads of this process.
///
/// # Errors
///
/// A key file is not valid, an address cannot be bound or a thread cannot be started; the error names it.
pub fn start(settings: EntrySettings) -> Result<EntryHandle> {
    let node = &settings.node;
    let keys = KeyWatch::new(&node.control_key, node.previous_key.as_deref());
    let ring = read_ring(&node.control_key, node.previous_key.as_deref())?;
    let state = SharedState::new(ring);
    let traffic = traffic::start(&settings, Arc::clone(&state))?;
    let control = control::start_with_keys(&settings, Arc::clone(&state), keys)?;
    emit(
        EventCode::EntryStarted,
        &[("zone", &node.zone), ("data", &traffic.data_address())],
    );
    Ok(EntryHandle {
        state,
        traffic,
        control,
        linger: Duration::from_secs(settings.entry.linger_s.into()),
    })
}

impl EntryHandle {
    /// Returns the snapshots and counters that the control thread and the traffic threads share.
    pub fn state(&self) -> &Arc<SharedState> {
        &self.state
    }

    /// Returns the bound addresses for callers, in the order of the settings.
    pub fn listen_addresses(&self) -> &[SocketAddrV4] {
        self.traffic.listen_addresses()
    }

    /// Returns the bound address on which packets from agents arrive.
    pub fn data_address(&self) -> SocketAddrV4 {
        self.traffic.data_address()
    }

    /// Returns the bound address of the admin pages.
    pub fn admin_address(&self) -> SocketAddr {
        self.control.admin_address()
    }

    /// Makes the control thread read the key files again, as after SIGHUP.
    pub fn reload_keys(&self) {
        self.control.reload_keys();
    }

    /// Returns a sender that passes validated catalogue snapshots to the control thread.
    pub fn catalogue(&self) -> CatalogueSender {
        self.control.catalogue()
    }

    /// Stops gracefully: ends the control thread, forwards packets for `entry.linger_s`, so that the fabric and the agents
    /// can switch to other entries, and then ends the traffic threads.
    ///
    /// # Errors
    ///
    /// A thread had panicked.
    pub fn stop(self) -> Result<()> {
        // The control thread first announces to other entries that this entry leaves. Packets that the fabric and
        // agents still send meanwhile are forwarded.
        self.control.stop()?;
        sleep(self.linger);
        stop_traffic(self.traffic)
    }

    /// Ends the threads without waiting, like a failure of the instance.
    ///
    /// # Errors
    ///
    /// A thread had panicked.
    pub fn stop_now(self) -> Result<()> {
        self.control.stop()?;
        stop_traffic(self.traffic)
    }
}

fn stop_traffic(traffic: TrafficHandle) -> Result<()> {
    let data = traffic.data_address();
    traffic.stop()?;
    emit(EventCode::EntryStopped, &[("data", &data)]);
    Ok(())
}
