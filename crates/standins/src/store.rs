//! Stand-in for the platform's key-value service. It holds its content in memory and serves the HTTP/JSON form of the
//! etcd v3 API or the API of the first users' platform.
//!
//! It implements the calls that quetzalhill uses: range, transaction, lease grant, keep-alive and revoke, and watch.

mod http;
mod polled;
mod state;

use ntex::rt::{DefaultRuntime, System};
use ntex::time::{sleep, Millis};
use ntex::web::types::JsonConfig;
use ntex::web::{App, HttpServer};
use quetzalhill_core::ids::StoreEra;
use state::StoreState;
pub use state::{RestorePolls, StandinCounts, StandinMode};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Largest number of failed attempts of a restart to bind the address, which the old listener may still hold.
const BIND_ATTEMPTS: u32 = 100;

/// Time between two attempts to bind.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// Largest request body, in bytes, with the values of a transaction in base64.
const REQUEST_MAX_BYTES: usize = 4 << 20;

/// State that [`StoreStandin`] and its web server share.
pub(crate) type SharedStore = Arc<Mutex<StoreState>>;

/// Locks the state. That a handler panicked while it held the lock is ignored, so that the rest of a test does not fail
/// with misleading errors.
pub(crate) fn lock(state: &SharedStore) -> MutexGuard<'_, StoreState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// API that a store serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreApi {
    /// The etcd v3 API in its HTTP/JSON form.
    Etcd,
    /// The API of the first users' platform, with long polls in place of watch streams.
    Polled,
}

/// Interval at which a call to a silent store checks whether the mode has changed.
const SILENT_POLL: Millis = Millis(20);

/// Delays a call as the mode requires, removes expired leases, and returns whether the store is available.
async fn delay_by_mode(state: &SharedStore) -> bool {
    loop {
        let mode = lock(state).mode;
        match mode {
            StandinMode::Normal => break,
            StandinMode::Slow(pause) => {
                sleep(pause).await;
                break;
            }
            StandinMode::Silent => sleep(SILENT_POLL).await,
            StandinMode::Unavailable => return false,
        }
    }
    lock(state).expire();
    true
}

/// Thread of a running web server, and the channel that stops it.
#[derive(Debug)]
struct RunningServer {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

/// A store with its web server on a separate thread; the content outlives [`StoreStandin::stop`].
#[derive(Debug)]
pub struct StoreStandin {
    address: SocketAddr,
    api: StoreApi,
    state: SharedStore,
    server: Option<RunningServer>,
}

impl StoreStandin {
    /// Starts an empty store with the etcd API; with port 0 the operating system chooses the port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound or the thread cannot be started.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        Self::start_with(StoreApi::Etcd, address)
    }

    /// Starts an empty store with `api`; with port 0 the operating system chooses the port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound or the thread cannot be started.
    pub fn start_with(api: StoreApi, address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(StoreState::default()));
        let server = serve(api, listener, state.clone())?;
        Ok(Self {
            address,
            api,
            state,
            server: Some(server),
        })
    }

    /// Returns the address on which the store listens, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL for a client.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops the server, so that connections are refused; open watches end.
    pub fn stop(&mut self) {
        let Some(server) = self.server.take() else {
            return;
        };
        lock(&self.state).close_watches();
        // The thread may have ended already.
        let _ = server.stop.send(());
        let _ = server.thread.join();
    }

    /// Starts the server again at the same address and with the same content.
    ///
    /// # Errors
    ///
    /// The address cannot be bound within two seconds or the thread cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.stop();
        let mut attempt = 0;
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(error) if attempt == BIND_ATTEMPTS => return Err(error),
                Err(_) => attempt += 1,
            }
            thread::sleep(BIND_PAUSE);
        };
        self.server = Some(serve(self.api, listener, self.state.clone())?);
        Ok(())
    }

    /// Sets the mode in which calls are answered from now on; calls that wait in a silent store follow it too.
    pub fn set_mode(&self, mode: StandinMode) {
        lock(&self.state).set_mode(mode);
    }

    /// Makes the store execute the next transaction but close its connection instead of answering. With
    /// [`StoreApi::Polled`], this applies to the next call of any kind but a watch.
    pub fn lose_next_answer(&self) {
        lock(&self.state).lose_next = true;
    }

    /// Revokes the leases of the keys for which `selected` returns true, which removes the keys.
    pub fn revoke_leases(&self, selected: impl Fn(&str) -> bool) {
        lock(&self.state).revoke_leases(selected);
    }

    /// Returns to the content at an earlier revision, as a store restored from an old backup does; open watches end.
    pub fn roll_back(&self, revision: i64) {
        lock(&self.state).roll_back(revision);
    }

    /// Makes all answers of [`StoreApi::Polled`] from now on tell this era.
    pub fn set_era(&self, era: StoreEra) {
        lock(&self.state).era = era;
    }

    /// Restores the store from a copy that is `age` old, and raises its era; see [`StoreApi::Polled`].
    pub fn restore(&self, age: Duration, polls: RestorePolls) {
        let now = Instant::now();
        let copied = now.checked_sub(age).unwrap_or(now);
        lock(&self.state).restore(copied, polls);
    }

    /// Marks the history up to `revision` as compacted, so that watches that start in it are refused.
    pub fn compact(&self, revision: i64) {
        lock(&self.state).compacted = revision;
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> i64 {
        lock(&self.state).revision
    }

    /// Returns the value of a key that exists and whose lease has not expired.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let mut state = lock(&self.state);
        state.expire();
        state.value(key.as_bytes())
    }

    /// Writes a key directly, as another client would.
    pub fn put(&self, key: &str, value: &[u8]) {
        lock(&self.state).put_now(key.as_bytes(), value);
    }

    /// Removes a key directly, as another client would.
    pub fn remove(&self, key: &str) {
        lock(&self.state).remove_now(key.as_bytes());
    }

    /// Returns the keys that start with `prefix`, in their order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let mut state = lock(&self.state);
        state.expire();
        state.keys(prefix.as_bytes())
    }

    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> StandinCounts {
        lock(&self.state).counts()
    }
}

impl Drop for StoreStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

fn serve(api: StoreApi, listener: TcpListener, state: SharedStore) -> io::Result<RunningServer> {
    let (stop, stopped) = oneshot::channel();
    let thread = thread::Builder::new()
        .name("store-standin".into())
        .spawn(move || {
            let system = System::new("store-standin", DefaultRuntime);
            // If the server fails, the calls of the test fail too and report it.
            let _ = system.block_on(run(api, listener, state, stopped));
        })?;
    Ok(RunningServer { stop, thread })
}

async fn run(
    api: StoreApi,
    listener: TcpListener,
    state: SharedStore,
    stopped: oneshot::Receiver<()>,
) -> io::Result<()> {
    let server = HttpServer::new(async move || {
        App::new()
            .state(state.clone())
            .state(JsonConfig::default().limit(REQUEST_MAX_BYTES))
            .configure(match api {
                StoreApi::Etcd => http::configure,
                StoreApi::Polled => polled::configure,
            })
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    // A dropped sender also stops the server.
    let _ = stopped.await;
    server.stop(false).await;
    Ok(())
}
