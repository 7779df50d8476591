//! The control thread of an entry. It runs membership, catalogue replication, the catalogue reader and the admin
//! pages, and publishes the route table for the traffic threads.

mod event_loop;
mod fetches;
mod metrics;
mod pages;
mod state;

use crate::reader::{self, ReaderInput, ReaderSetup};
use crate::settings::EntrySettings;
use crate::shared::SharedState;
use anyhow::{anyhow, Context, Result};
use event_loop::{ControlLoop, KEY_CHECK_INTERVAL};
use fetches::serve_fetches;
use metrics::EntryMetrics;
use ntex::rt::JoinHandle as TaskHandle;
use pages::serve_pages;
use prometheus::Registry;
use quetzalhill_core::catalogue::reader::ReaderSettings;
use quetzalhill_core::catalogue::validate::validate;
use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_core::ids::id_of;
use quetzalhill_core::member::controller::MemberController;
use quetzalhill_core::member::EntryRecord;
use quetzalhill_core::replicate::CatalogueController;
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::keys::KeyWatch;
use quetzalhill_node::sockets::SocketPair;
use quetzalhill_store::etcd::{EtcdSettings, EtcdStore};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use state::ControlState;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};

/// Longest wait at shutdown for the catalogue reader to release its slot.
const READER_STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Validates a snapshot and joins all validation errors into one message.
fn validate_snapshot(snapshot: &CatalogueSnapshot) -> Result<(), String> {
    let Err(errors) = validate(snapshot) else {
        return Ok(());
    };
    let reasons: Vec<_> = errors.iter().map(ToString::to_string).collect();
    Err(reasons.join("; "))
}

/// Sends catalogue snapshots to the control thread, from any thread including the control thread itself.
#[derive(Clone, Debug)]
pub struct CatalogueSender(watch::Sender<Arc<CatalogueSnapshot>>);

impl CatalogueSender {
    /// Sends a snapshot that has been validated. It replaces the catalogue in force if its revision is higher. A
    /// snapshot that the control thread has not received yet is overwritten by the next one.
    pub fn adopt(&self, snapshot: CatalogueSnapshot) {
        self.0.send_replace(Arc::new(snapshot));
    }
}

/// Handle of a running control thread.
#[derive(Debug)]
pub struct ControlHandle {
    catalogue: CatalogueSender,
    admin: SocketAddr,
    stop: watch::Sender<bool>,
    reload: watch::Sender<()>,
    thread: JoinHandle<()>,
}

impl ControlHandle {
    /// Sends a snapshot that has been validated; see [`CatalogueSender::adopt`].
    pub fn adopt(&self, snapshot: CatalogueSnapshot) {
        self.catalogue.adopt(snapshot);
    }

    /// Returns a sender that does not borrow the handle, for use in other tasks and threads.
    pub fn catalogue(&self) -> CatalogueSender {
        self.catalogue.clone()
    }

    /// Returns the bound address of the admin pages, which differs from the settings if those give port 0.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin
    }

    /// Makes the control thread read the key files again. Keys that are not valid leave the current ones in force.
    pub fn reload_keys(&self) {
        self.reload.send_replace(());
    }

    /// Announces to the other entries that this one leaves, and waits for the thread to end.
    ///
    /// # Errors
    ///
    /// Fails if the thread panicked.
    pub fn stop(self) -> Result<()> {
        self.stop.send_replace(true);
        self.thread
            .join()
            .map_err(|_| anyhow!("the control thread panicked"))
    }
}

/// Starts the control thread.
///
/// # Errors
///
/// Fails if the control sockets or the admin address can't be bound or the thread can't be started.
pub fn start(settings: &EntrySettings, shared: Arc<SharedState>) -> Result<ControlHandle> {
    let node = &settings.node;
    let keys = KeyWatch::new(&node.control_key, node.previous_key.as_deref());
    start_with_keys(settings, shared, keys)
}

/// Starts the control thread with a `keys` watch that recorded the modification times of the key files before the key
/// ring in `shared` was read, so that a change of the files in between is detected.
///
/// # Errors
///
/// As for [`start`].
pub fn start_with_keys(
    settings: &EntrySettings,
    shared: Arc<SharedState>,
    keys: KeyWatch,
) -> Result<ControlHandle> {
    let sockets = ControlSockets::bind(settings)?;
    let admin = sockets.admin.local_addr()?;
    let (catalogue_out, catalogue) = watch::channel(Arc::default());
    let (stop_out, stop) = watch::channel(false);
    let (reload_out, reload) = watch::channel(());
    let sender = CatalogueSender(catalogue_out);
    let setup = ControlSetup {
        settings: settings.clone(),
        shared,
        sockets,
        sender: sender.clone(),
        catalogue,
        stop,
        reload,
        keys,
    };
    let thread = std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let system = ntex::rt::System::build()
                .name("control")
                .build(ntex::rt::DefaultRuntime);
            if let Err(error) = system.block_on(run(setup)) {
                emit(
                    EventCode::TaskFailed,
                    &[("task", &"control"), ("error", &format!("{error:#}"))],
                );
            }
        })
        .context("starting the control thread")?;
    Ok(ControlHandle {
        catalogue: sender,
        admin,
        stop: stop_out,
        reload: reload_out,
        thread,
    })
}

/// Bound sockets of the control thread.
#[derive(Debug)]
struct ControlSockets {
    control: std::net::UdpSocket,
    fetches: std::net::TcpListener,
    admin: std::net::TcpListener,
    /// Address of `control` and `fetches`.
    bound: SocketAddrV4,
}

impl ControlSockets {
    fn bind(settings: &EntrySettings) -> Result<Self> {
        let address = settings.node.control;
        let pair = SocketPair::bind(address)
            .with_context(|| format!("binding the control sockets {address}"))?;
        pair.datagrams.set_nonblocking(true)?;
        pair.connections.set_nonblocking(true)?;
        let address = settings.node.admin;
        let admin = std::net::TcpListener::bind(address)
            .with_context(|| format!("binding the admin listener {address}"))?;
        Ok(Self {
            control: pair.datagrams,
            fetches: pair.connections,
            admin,
            bound: pair.address,
        })
    }
}

/// Everything that is moved into the control thread at its start.
struct ControlSetup {
    settings: EntrySettings,
    shared: Arc<SharedState>,
    sockets: ControlSockets,
    sender: CatalogueSender,
    catalogue: watch::Receiver<Arc<CatalogueSnapshot>>,
    stop: watch::Receiver<bool>,
    reload: watch::Receiver<()>,
    keys: KeyWatch,
}

/// Runs the control thread until `stop` changes.
async fn run(setup: ControlSetup) -> Result<()> {
    let ControlSetup {
        settings,
        shared,
        sockets,
        sender,
        catalogue,
        stop,
        reload,
        keys,
    } = setup;
    let now = Instant::now();
    let record = EntryRecord {
        id: id_of(sockets.bound),
        incarnation: wall_clock_ms(),
        zone: settings.node.zone.clone(),
        data: settings.entry.data,
    };
    let holds_slot: Rc<Cell<bool>> = Rc::default();
    let reader_setup = ReaderSetup {
        zone: record.zone.clone(),
        own_id: record.id,
        settings: ReaderSettings::default(),
        seed: rand::random(),
        holds_slot: holds_slot.clone(),
    };
    let member = MemberController::new(record, &settings.entry.seeds, now);
    let (reader, input) = watch::channel(ReaderInput {
        live_entries: member.live_in_zone(),
        in_force: Arc::default(),
    });
    let store = connect_store(&settings.store.urls).await;
    let state = Rc::new(RefCell::new(ControlState {
        member,
        catalogue: CatalogueController::new(validate_snapshot, None, now),
        holds_slot,
        store: store.clone(),
        has_seeds: !settings.entry.seeds.is_empty(),
        started_at: now,
        last_iteration: now,
    }));
    let registry = Registry::new();
    let metrics = EntryMetrics::new(&registry)?;
    let fetches = TcpListener::from_std(sockets.fetches)?;
    ntex::rt::spawn(serve_fetches(fetches, shared.clone(), state.clone())).detach();
    let pages = serve_pages(sockets.admin, registry, shared.clone(), state.clone());
    ntex::rt::spawn(pages).detach();
    let deliver = move |snapshot| sender.adopt(snapshot);
    let reader_task: Option<TaskHandle<()>> = store.map(|store| {
        let task = reader::run(store, reader_setup, input, stop.clone(), deliver);
        ntex::rt::spawn(task)
    });
    let (fetched, changes) = mpsc::channel(1);
    let control = ControlLoop {
        shared,
        socket: UdpSocket::from_std(sockets.control)?,
        state,
        metrics,
        reader,
        published: (0, 0),
        rng: SmallRng::from_os_rng(),
        fetched,
        next_update: now,
        keys,
        next_key_check: now + KEY_CHECK_INTERVAL,
    };
    control.run(catalogue, stop, reload, changes).await?;
    if let Some(task) = reader_task {
        // A slot that is not released in time becomes free when its lease expires.
        let _ = tokio::time::timeout(READER_STOP_TIMEOUT, task).await;
    }
    Ok(())
}

/// Creates the client of the store. Returns `None` if the settings name no store or the client cannot be created;
/// the entry then gets the catalogue only from its peers.
async fn connect_store(urls: &[String]) -> Option<EtcdStore> {
    if urls.is_empty() {
        return None;
    }
    match EtcdStore::new(EtcdSettings::new(urls.to_vec())).await {
        Ok(store) => Some(store),
        Err(error) => {
            emit(
                EventCode::TaskFailed,
                &[("task", &"reader"), ("error", &error)],
            );
            None
        }
    }
}

/// Returns the wall-clock time in milliseconds. It is the initial incarnation number, so that a restarted entry
/// starts with a higher one.
fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(1, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
