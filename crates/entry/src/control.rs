//! The control thread of an entry: membership, the catalogue in force and the route table.

use crate::settings::EntrySettings;
use crate::shared::SharedState;
use anyhow::{anyhow, Context, Result};
use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_core::ids::id_of;
use quetzalhill_core::member::controller::MemberController;
use quetzalhill_core::member::message::{CatalogueStamp, MemberMessage, OutgoingMessage};
use quetzalhill_core::member::routes::build_table;
use quetzalhill_core::member::EntryRecord;
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_wire::control::ControlMessage;
use quetzalhill_wire::packet::DATAGRAM_MAX;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// Longest time the control thread sleeps.
const IDLE_LIMIT: Duration = Duration::from_secs(1);

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
                ControlLoop::new(own, shared, socket)
                    .run(catalogue, stop)
                    .await
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

struct ControlLoop {
    shared: Arc<SharedState>,
    socket: UdpSocket,
    member: MemberController,
    catalogue: Arc<CatalogueSnapshot>,
    published: u64,
    rng: SmallRng,
}

impl ControlLoop {
    fn new(own: EntryRecord, shared: Arc<SharedState>, socket: UdpSocket) -> Self {
        Self {
            shared,
            socket,
            member: MemberController::new(own, Instant::now()),
            catalogue: Arc::default(),
            published: 0,
            rng: SmallRng::from_os_rng(),
        }
    }

    async fn run(
        mut self,
        mut catalogue: watch::Receiver<Arc<CatalogueSnapshot>>,
        mut stop: watch::Receiver<bool>,
    ) -> std::io::Result<()> {
        let mut buffer = vec![0; DATAGRAM_MAX + 1];
        loop {
            let now = Instant::now();
            let deadline = self.member.next_deadline().unwrap_or(now + IDLE_LIMIT);
            let deadline = deadline.min(now + IDLE_LIMIT);
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    // An ICMP error of an earlier send shows up here and concerns one peer only.
                    if let Ok((size, from)) = received {
                        self.receive(&buffer[..size], from).await;
                    }
                }
                changed = catalogue.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let snapshot = catalogue.borrow_and_update().clone();
                    self.adopt(snapshot);
                }
                _ = stop.changed() => return Ok(()),
                () = tokio::time::sleep_until(deadline.into()) => {
                    let messages = self.member.tick(Instant::now(), &mut self.rng);
                    self.send(messages).await;
                }
            }
            self.publish();
        }
    }

    async fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        let SocketAddr::V4(from) = from else {
            return;
        };
        let ring = self.shared.ring.load_full();
        let Ok(ControlMessage::Member(message)) = ControlMessage::open(&ring, datagram) else {
            return;
        };
        let behind = self.behind(&message);
        let mut messages = self
            .member
            .receive(from, *message, Instant::now(), &mut self.rng);
        if let Some(id) = behind {
            self.attach_service(id, &mut messages);
        }
        self.send(messages).await;
    }

    /// Returns the endpoint whose agent has an older catalogue.
    fn behind(&self, message: &MemberMessage) -> Option<u64> {
        match message {
            MemberMessage::Announce(beat) if beat.revision < self.catalogue.revision => {
                Some(beat.id)
            }
            _ => None,
        }
    }

    fn attach_service(&self, id: u64, messages: &mut [OutgoingMessage]) {
        let Some(record) = self.member.endpoints().find(|record| record.id == id) else {
            return;
        };
        for outgoing in messages {
            if let MemberMessage::AnnounceAck(reply) = &mut outgoing.message {
                reply.service = self.catalogue.services.get(&record.service).cloned();
            }
        }
    }

    fn adopt(&mut self, snapshot: Arc<CatalogueSnapshot>) {
        if snapshot.revision <= self.catalogue.revision {
            return;
        }
        emit(
            EventCode::CatalogueInForce,
            &[("revision", &snapshot.revision)],
        );
        self.member.set_stamp(CatalogueStamp {
            revision: snapshot.revision,
            digest: 0,
        });
        self.catalogue = snapshot;
        self.store_table();
    }

    fn publish(&mut self) {
        if self.published == self.member.changes() {
            return;
        }
        self.published = self.member.changes();
        self.store_table();
    }

    fn store_table(&self) {
        let table = build_table(&self.catalogue, self.member.endpoints());
        self.shared.routes.store(Arc::new(table));
    }

    async fn send(&self, messages: Vec<OutgoingMessage>) {
        let ring = self.shared.ring.load_full();
        for outgoing in messages {
            let Ok(datagram) = ControlMessage::Member(Box::new(outgoing.message)).seal(&ring)
            else {
                continue;
            };
            // A datagram that can't be sent counts as lost; every exchange is repeated.
            let _ = self.socket.send_to(&datagram, outgoing.to).await;
        }
    }
}
