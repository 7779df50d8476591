//! The control thread of an entry: membership, the catalogue in force and the route table.

use crate::settings::EntrySettings;
use crate::shared::SharedState;
use anyhow::{anyhow, Context, Result};
use quetzalhill_core::catalogue::validate::validate;
use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_core::ids::{address_of, id_of, RevisionNumber};
use quetzalhill_core::member::controller::{ActionList, MemberAction, MemberController};
use quetzalhill_core::member::message::OutgoingMessage;
use quetzalhill_core::member::routes::build_table;
use quetzalhill_core::member::EntryRecord;
use quetzalhill_core::replicate::{
    AdoptOutcome, CatalogueAction, CatalogueChange, CatalogueController,
};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::fetch;
use quetzalhill_wire::control::ControlMessage;
use quetzalhill_wire::fetch::FetchRequest;
use quetzalhill_wire::packet::DATAGRAM_MAX;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch, Semaphore};

/// Catalogue fetches that are answered at the same time.
const FETCHES_MAX: usize = 16;

/// Time to wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Validates a snapshot and joins everything that is wrong into one reason.
fn check_snapshot(snapshot: &CatalogueSnapshot) -> Result<(), String> {
    let Err(errors) = validate(snapshot) else {
        return Ok(());
    };
    let reasons: Vec<_> = errors.iter().map(ToString::to_string).collect();
    Err(reasons.join("; "))
}

/// Hands catalogue snapshots to the control thread; works from every thread, also from the control thread.
#[derive(Clone, Debug)]
pub struct CatalogueSender(watch::Sender<Arc<CatalogueSnapshot>>);

impl CatalogueSender {
    /// Hands over a validated snapshot; it comes into force if its revision is higher than the one in force.
    pub fn adopt(&self, snapshot: CatalogueSnapshot) {
        self.0.send_replace(Arc::new(snapshot));
    }
}

/// A running control thread.
#[derive(Debug)]
pub struct ControlHandle {
    catalogue: CatalogueSender,
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl ControlHandle {
    /// Hands over a validated snapshot; see [`CatalogueSender::adopt`].
    pub fn adopt(&self, snapshot: CatalogueSnapshot) {
        self.catalogue.adopt(snapshot);
    }

    /// Returns a sender for tasks that outlive this call.
    pub fn catalogue(&self) -> CatalogueSender {
        self.catalogue.clone()
    }

    /// Tells the other entries that this one leaves and ends the thread.
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
/// Fails if the control socket can't be bound or the thread can't be started.
pub fn start(settings: &EntrySettings, shared: Arc<SharedState>) -> Result<ControlHandle> {
    start_with(settings, shared, |_| {})
}

/// Starts the control thread and calls `tasks` on it, so that a store reader can spawn its tasks there.
///
/// # Errors
///
/// As for [`start`].
pub fn start_with(
    settings: &EntrySettings,
    shared: Arc<SharedState>,
    tasks: impl FnOnce(CatalogueSender) + Send + 'static,
) -> Result<ControlHandle> {
    let address = settings.node.control;
    let socket = std::net::UdpSocket::bind(address)
        .with_context(|| format!("binding the control socket {address}"))?;
    socket.set_nonblocking(true)?;
    let bound = local_v4(&socket)?;
    let listener = std::net::TcpListener::bind(bound)
        .with_context(|| format!("binding the control listener {bound}"))?;
    listener.set_nonblocking(true)?;
    let seeds = settings.entry.seeds.clone();
    let own = EntryRecord {
        id: id_of(bound),
        incarnation: wall_millis(),
        zone: settings.node.zone.clone(),
        data: settings.entry.data,
    };
    let (catalogue_out, catalogue) = watch::channel(Arc::default());
    let (stop_out, stop) = watch::channel(false);
    let sender = CatalogueSender(catalogue_out);
    let for_tasks = sender.clone();
    let thread = std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let system = ntex::rt::System::build()
                .name("control")
                .build(ntex::rt::DefaultRuntime);
            let result = system.block_on(async move {
                tasks(for_tasks);
                let socket = UdpSocket::from_std(socket)?;
                let listener = TcpListener::from_std(listener)?;
                let now = Instant::now();
                let controller = CatalogueController::new(check_snapshot, None, now);
                let controller = Rc::new(RefCell::new(controller));
                let server = serve_fetches(listener, shared.clone(), controller.clone());
                ntex::rt::spawn(server);
                let (fetched, changes) = mpsc::channel(1);
                let control = ControlLoop {
                    shared,
                    socket,
                    member: MemberController::new(own, &seeds, now),
                    catalogue: controller,
                    published: (0, 0),
                    rng: SmallRng::from_os_rng(),
                    fetched,
                };
                control.run(catalogue, stop, changes).await
            });
            if let Err(error) = result {
                emit(
                    EventCode::TaskFailed,
                    &[("task", &"control"), ("error", &error)],
                );
            }
        })
        .context("starting the control thread")?;
    Ok(ControlHandle {
        catalogue: sender,
        stop: stop_out,
        thread,
    })
}

fn local_v4(socket: &std::net::UdpSocket) -> Result<SocketAddrV4> {
    match socket.local_addr()? {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(address) => Err(anyhow!("control socket {address} is not IPv4")),
    }
}

/// Returns the wall clock in milliseconds, from which incarnations start.
fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(1, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}

type SharedCatalogue = Rc<RefCell<CatalogueController>>;

struct ControlLoop {
    shared: Arc<SharedState>,
    socket: UdpSocket,
    member: MemberController,
    catalogue: SharedCatalogue,
    published: (u64, RevisionNumber),
    rng: SmallRng,
    fetched: mpsc::Sender<Option<CatalogueChange>>,
}

impl ControlLoop {
    async fn run(
        mut self,
        mut snapshots: watch::Receiver<Arc<CatalogueSnapshot>>,
        mut stop: watch::Receiver<bool>,
        mut changes: mpsc::Receiver<Option<CatalogueChange>>,
    ) -> std::io::Result<()> {
        let mut buffer = vec![0; DATAGRAM_MAX + 1];
        loop {
            let deadline = self.next_deadline();
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    // An ICMP error of an earlier send shows up here and concerns one peer only.
                    if let Ok((size, from)) = received {
                        self.receive(&buffer[..size], from).await;
                    }
                }
                changed = snapshots.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let snapshot = CatalogueSnapshot::clone(&snapshots.borrow_and_update());
                    let revision = snapshot.revision;
                    let outcome = self.catalogue.borrow_mut().adopt(snapshot);
                    self.adopted(revision, outcome);
                }
                Some(change) = changes.recv() => {
                    let revision = change.as_ref().map_or(0, |change| change.revision);
                    let now = Instant::now();
                    let outcome = self.catalogue.borrow_mut().fetched(change, now, &mut self.rng);
                    self.adopted(revision, outcome);
                }
                _ = stop.changed() => {
                    let actions = self.member.leave(&mut self.rng);
                    self.perform(actions).await;
                    return Ok(());
                }
                () = tokio::time::sleep_until(deadline.into()) => {
                    let actions = self.member.tick(Instant::now(), &mut self.rng);
                    self.perform(actions).await;
                }
            }
            self.start_fetch();
            self.publish();
        }
    }

    fn next_deadline(&self) -> Instant {
        let member = self.member.next_deadline();
        let catalogue = self.catalogue.borrow().next_deadline();
        catalogue.map_or(member, |deadline| deadline.min(member))
    }

    async fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        let SocketAddr::V4(from) = from else {
            return;
        };
        let ring = self.shared.ring.load_full();
        let Ok(ControlMessage::Member(message)) = ControlMessage::open(&ring, datagram) else {
            return;
        };
        let now = Instant::now();
        let actions = self.member.receive(from, *message, now, &mut self.rng);
        self.perform(actions).await;
    }

    async fn perform(&mut self, actions: ActionList) {
        for action in actions {
            match action {
                MemberAction::Send(outgoing) => self.send(outgoing).await,
                MemberAction::CatalogueSeen(peer, stamp) => {
                    self.catalogue.borrow_mut().seen(peer, stamp);
                }
            }
        }
    }

    fn adopted(&mut self, revision: RevisionNumber, outcome: AdoptOutcome) {
        match outcome {
            AdoptOutcome::InForce => {
                emit(EventCode::CatalogueInForce, &[("revision", &revision)]);
                let stamp = self.catalogue.borrow().stamp();
                self.member.set_stamp(stamp);
            }
            AdoptOutcome::Invalid(reason) => emit(
                EventCode::CatalogueInvalid,
                &[("revision", &revision), ("reason", &reason)],
            ),
            // Counted by the controller and repeated by it.
            AdoptOutcome::Stale | AdoptOutcome::Mismatch => {}
        }
    }

    fn start_fetch(&mut self) {
        let action = self
            .catalogue
            .borrow_mut()
            .tick(Instant::now(), &mut self.rng);
        let Some(CatalogueAction::Fetch {
            peer,
            from,
            deadline,
        }) = action
        else {
            return;
        };
        let ring = self.shared.ring.load_full();
        let fetched = self.fetched.clone();
        ntex::rt::spawn(async move {
            let request = FetchRequest {
                from,
                service: None,
            };
            let change = fetch::fetch(address_of(peer), &request, &ring, deadline).await;
            // Fails only when the control thread ends.
            let _ = fetched.send(change.ok()).await;
        });
    }

    fn publish(&mut self) {
        let snapshot = self.catalogue.borrow().snapshot().clone();
        let current = (self.member.changes(), snapshot.revision);
        if self.published == current {
            return;
        }
        self.published = current;
        let unreachable: Vec<_> = self.member.unreachable_zones().cloned().collect();
        let table = build_table(&snapshot, self.member.endpoints(), &unreachable);
        self.shared.routes.store(Arc::new(table));
    }

    async fn send(&self, outgoing: OutgoingMessage) {
        let ring = self.shared.ring.load_full();
        let message = ControlMessage::Member(Box::new(outgoing.message));
        let Ok(datagram) = message.seal(&ring) else {
            return;
        };
        // A datagram that can't be sent counts as lost; every exchange is repeated.
        let _ = self.socket.send_to(&datagram, outgoing.to).await;
    }
}

/// Answers the catalogue fetches of other nodes, a bounded number at the same time.
async fn serve_fetches(
    listener: TcpListener,
    shared: Arc<SharedState>,
    catalogue: SharedCatalogue,
) {
    let slots = Arc::new(Semaphore::new(FETCHES_MAX));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // The process may be out of file descriptors for a while.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let ring = shared.ring.load_full();
        let catalogue = catalogue.clone();
        ntex::rt::spawn(async move {
            let change_for = |request: FetchRequest| {
                let scope = request.service.as_deref();
                catalogue.borrow().change_since(request.from, scope)
            };
            // The asking node repeats a fetch that fails.
            let _ = fetch::serve(stream, &ring, change_for).await;
            drop(slot);
        });
    }
}
