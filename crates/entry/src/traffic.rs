//! Traffic threads of an entry: plain threads with blocking sockets.
//!
//! Each socket for callers has threads that forward to agents, and the data socket has threads that return packets
//! to callers. They keep no state per flow and read the snapshots that the control thread publishes in
//! [`SharedState`]. See docs/design.md, section 3.

mod agents;
mod callers;
pub mod counters;
mod socket;

use crate::settings::EntrySettings;
use crate::shared::SharedState;
use agents::AgentThread;
use anyhow::{Context, Result};
use callers::CallerThread;
use socket::CallerSocket;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

/// Longest wait for a packet, after which an idle thread checks whether it has to stop.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause after a receive error, so that a thread does not spin on a persistent error.
pub(crate) const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Bytes of the kernel's receive buffer for each socket; a burst of some thousand packets fits.
const RECEIVE_BUFFER: usize = 4 << 20;

/// The running traffic threads of an entry; dropping it signals them to stop without waiting for them.
#[derive(Debug)]
pub struct TrafficHandle {
    state: Arc<SharedState>,
    threads: Vec<JoinHandle<()>>,
    listeners: Vec<SocketAddrV4>,
    data: SocketAddrV4,
}

impl TrafficHandle {
    /// Returns the bound addresses for callers, in the order of the settings.
    pub fn listen_addresses(&self) -> &[SocketAddrV4] {
        &self.listeners
    }

    /// Returns the bound address on which packets from agents arrive.
    pub fn data_address(&self) -> SocketAddrV4 {
        self.data
    }

    /// Ends the threads and waits for them; takes at most a few hundred milliseconds.
    ///
    /// # Errors
    ///
    /// A thread had panicked.
    pub fn stop(mut self) -> Result<()> {
        let mut panicked = 0;
        self.state.stop.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            panicked += usize::from(thread.join().is_err());
        }
        anyhow::ensure!(panicked == 0, "{panicked} traffic threads panicked");
        Ok(())
    }
}

impl Drop for TrafficHandle {
    fn drop(&mut self) {
        self.state.stop.store(true, Ordering::Release);
    }
}

/// Binds the sockets and starts the traffic threads.
///
/// # Errors
///
/// An address cannot be bound or a thread cannot be started; the error names it.
pub fn start(settings: &EntrySettings, state: Arc<SharedState>) -> Result<TrafficHandle> {
    let entry = &settings.entry;
    let data = bind(entry.data)?;
    let mut sockets = Vec::with_capacity(entry.listen.len());
    for listen in &entry.listen {
        let socket = bind(listen.bind)?;
        let socket = CallerSocket::new(socket, listen.address)
            .with_context(|| format!("socket for callers {}", listen.bind))?;
        sockets.push(socket);
    }
    let mut handle = TrafficHandle {
        state: Arc::clone(&state),
        threads: Vec::new(),
        listeners: sockets.iter().map(CallerSocket::local).collect(),
        data: local_address(&data)?,
    };
    let data = Arc::new(data);
    let sockets: Arc<[CallerSocket]> = sockets.into();
    for index in 0..sockets.len() {
        for _ in 0..entry.threads {
            let (sockets, data, state) = (sockets.clone(), data.clone(), state.clone());
            let thread = CallerThread::new(sockets, index, data, state, entry.threads);
            handle.spawn("to-agent", || thread.run())?;
        }
    }
    for _ in 0..entry.threads {
        let thread = AgentThread::new(sockets.clone(), data.clone(), state.clone());
        handle.spawn("to-caller", || thread.run())?;
    }
    Ok(handle)
}

impl TrafficHandle {
    fn spawn(&mut self, name: &str, body: impl FnOnce() + Send + 'static) -> Result<()> {
        let name = format!("{name}-{}", self.threads.len());
        let thread = Builder::new().name(name.clone()).spawn(body);
        let thread = thread.with_context(|| format!("thread {name}"))?;
        self.threads.push(thread);
        Ok(())
    }
}

/// Binds a blocking socket whose reads time out after [`READ_TIMEOUT`].
pub(crate) fn bind(address: SocketAddrV4) -> Result<UdpSocket> {
    let context = || format!("UDP socket {address}");
    let socket = UdpSocket::bind(address).with_context(context)?;
    socket
        .set_read_timeout(Some(READ_TIMEOUT))
        .with_context(context)?;
    // The kernel limits the size; a smaller buffer still works.
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER);
    Ok(socket)
}

fn local_address(socket: &UdpSocket) -> io::Result<SocketAddrV4> {
    socket.local_addr().and_then(expect_v4)
}

/// Converts an address of a socket that was bound to an IPv4 address.
///
/// # Errors
///
/// The address is an IPv6 address.
pub(crate) fn expect_v4(address: SocketAddr) -> io::Result<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(_) => Err(io::ErrorKind::Unsupported.into()),
    }
}

/// Returns whether a receive call ended only because of the timeout or a signal.
pub(crate) fn is_idle(error: &io::Error) -> bool {
    use io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), WouldBlock | TimedOut | Interrupted)
}
