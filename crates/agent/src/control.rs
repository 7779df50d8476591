//! The control thread of an agent: announcements and the view that the traffic thread reads.

use crate::settings::AgentSettings;
use crate::shared::{AgentView, SharedState, TrafficEvent};
use crate::status::{pages, StatusFacts};
use anyhow::{anyhow, Context, Result};
use quetzalhill_core::catalogue::validate::validate;
use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_core::ids::id_of;
use quetzalhill_core::member::announce::AnnounceController;
use quetzalhill_core::member::message::{MemberMessage, OutgoingMessage};
use quetzalhill_core::member::{EndpointRecord, EndpointState};
use quetzalhill_core::replicate::{AdoptOutcome, CatalogueChange, CatalogueController};
use quetzalhill_node::admin::{self, AdminPages};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::fetch;
use quetzalhill_node::keys::KeyWatch;
use quetzalhill_wire::control::ControlMessage;
use quetzalhill_wire::packet::DATAGRAM_MAX;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// Time for which the last announcements are repeated before the thread ends.
const LEAVE_TIME: Duration = Duration::from_millis(600);

/// Validates a snapshot and joins everything that is wrong into one reason.
fn check_snapshot(snapshot: &CatalogueSnapshot) -> Result<(), String> {
    let Err(errors) = validate(snapshot) else {
        return Ok(());
    };
    let reasons: Vec<_> = errors.iter().map(ToString::to_string).collect();
    Err(reasons.join("; "))
}

/// How often the key files are looked at.
const FILE_INTERVAL: Duration = Duration::from_secs(2);

/// A running control thread.
#[derive(Debug)]
pub struct ControlHandle {
    wanted: watch::Sender<EndpointState>,
    thread: JoinHandle<()>,
}

impl ControlHandle {
    /// Announces at once that the endpoint drains.
    pub fn drain(&self) {
        self.raise(EndpointState::Draining);
    }

    /// Announces that the endpoint has left and ends the thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread panicked.
    pub fn stop(self) -> Result<()> {
        self.raise(EndpointState::Left);
        self.thread
            .join()
            .map_err(|_| anyhow!("the control thread panicked"))
    }

    fn raise(&self, state: EndpointState) {
        self.wanted.send_if_modified(|wanted| {
            let later = state > *wanted;
            if later {
                *wanted = state;
            }
            later
        });
    }
}

/// Starts the control thread; the endpoint is announced as ready once the traffic side reports a healthy upstream.
///
/// # Errors
///
/// Fails if the control socket can't be bound or the thread can't be started.
pub fn start(
    settings: &AgentSettings,
    shared: Arc<SharedState>,
    events: mpsc::Receiver<TrafficEvent>,
) -> Result<ControlHandle> {
    let address = settings.node.control;
    let socket = std::net::UdpSocket::bind(address)
        .with_context(|| format!("binding the control socket {address}"))?;
    socket.set_nonblocking(true)?;
    let admin = settings.node.admin;
    let listener =
        TcpListener::bind(admin).with_context(|| format!("binding the admin address {admin}"))?;
    let facts = StatusFacts {
        zone: settings.node.zone.clone(),
        service: settings.agent.service.clone(),
        packets: settings.agent.packets,
        started: Instant::now(),
    };
    let record = EndpointRecord {
        id: id_of(settings.agent.packets),
        incarnation: shared.view.load().incarnation,
        sequence: 0,
        service: settings.agent.service.clone(),
        number: 0,
        zone: settings.node.zone.clone(),
        peer: settings.agent.announced_peer(),
        state: EndpointState::Starting,
        slots: settings.agent.slots,
    };
    let node = &settings.node;
    let keys = KeyWatch::new(&node.control_key, node.previous_key.as_deref());
    let announce = AnnounceController::new(record, &settings.agent.entries, Instant::now());
    let (wanted_out, wanted) = watch::channel(EndpointState::Starting);
    let thread = std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let system = ntex::rt::System::build()
                .name("control")
                .build(ntex::rt::DefaultRuntime);
            let result = system.block_on(async move {
                ntex::rt::spawn(serve_admin(listener, pages(&shared, facts)));
                let scope = Some(announce.record().service.clone());
                let (fetched, changes) = mpsc::channel(1);
                let control = ControlLoop {
                    shared,
                    socket: UdpSocket::from_std(socket)?,
                    announce,
                    catalogue: CatalogueController::new(check_snapshot, scope, Instant::now()),
                    fetched,
                    keys,
                    rng: SmallRng::from_os_rng(),
                };
                control.run(wanted, events, changes).await
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
        wanted: wanted_out,
        thread,
    })
}

async fn serve_admin(listener: TcpListener, pages: AdminPages) {
    if let Err(error) = admin::serve(listener, pages).await {
        emit(
            EventCode::TaskFailed,
            &[("task", &"admin"), ("error", &error)],
        );
    }
}

struct ControlLoop {
    shared: Arc<SharedState>,
    socket: UdpSocket,
    announce: AnnounceController,
    catalogue: CatalogueController,
    fetched: mpsc::Sender<Option<CatalogueChange>>,
    keys: KeyWatch,
    rng: SmallRng,
}

impl ControlLoop {
    async fn run(
        mut self,
        mut wanted: watch::Receiver<EndpointState>,
        mut events: mpsc::Receiver<TrafficEvent>,
        mut changes: mpsc::Receiver<Option<CatalogueChange>>,
    ) -> std::io::Result<()> {
        let mut buffer = vec![0; DATAGRAM_MAX + 1];
        let mut events_open = true;
        let mut check_files = tokio::time::interval(FILE_INTERVAL);
        let mut end: Option<Instant> = None;
        loop {
            self.start_fetch();
            let now = Instant::now();
            if end.is_some_and(|deadline| deadline <= now) {
                return Ok(());
            }
            let mut deadline = self.announce.next_deadline();
            for other in [end, self.catalogue.next_deadline()].into_iter().flatten() {
                deadline = deadline.min(other);
            }
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    // An ICMP error of an earlier send shows up here and concerns one entry only.
                    if let Ok((size, from)) = received {
                        self.receive(&buffer[..size], from);
                    }
                }
                event = events.recv(), if events_open => match event {
                    Some(event) => self.traffic(event),
                    None => events_open = false,
                },
                Some(change) = changes.recv() => self.adopt(change),
                changed = wanted.changed(), if end.is_none() => {
                    let state = match changed {
                        Ok(()) => *wanted.borrow_and_update(),
                        Err(_) => EndpointState::Left,
                    };
                    self.set_state(state);
                    if state == EndpointState::Left {
                        end = Some(Instant::now() + LEAVE_TIME);
                    }
                }
                _ = check_files.tick() => self.reload_keys(),
                () = tokio::time::sleep_until(deadline.into()) => {
                    let messages = self.announce.tick(Instant::now(), &mut self.rng);
                    self.send(messages).await;
                    self.publish();
                }
            }
        }
    }

    fn reload_keys(&mut self) {
        match self.keys.check() {
            None => {}
            Some(Ok(ring)) => {
                let number = ring.current().number();
                self.shared.ring.store(Arc::new(ring));
                emit(EventCode::KeysReloaded, &[("key", &number)]);
            }
            Some(Err(error)) => {
                let text = format!("{error:#}");
                emit(EventCode::KeysInvalid, &[("error", &text)]);
            }
        }
    }

    fn traffic(&mut self, event: TrafficEvent) {
        match event {
            // An endpoint that is not ready keeps its flows and hands their requests to peers.
            TrafficEvent::UpstreamHealth { healthy } => {
                if self.announce.set_ready(healthy, Instant::now()) {
                    self.publish();
                }
            }
            TrafficEvent::UpstreamLeaves | TrafficEvent::Drained => {
                self.set_state(EndpointState::Draining)
            }
        }
    }

    fn set_state(&mut self, state: EndpointState) {
        if self.announce.set_state(state, Instant::now()) {
            self.publish();
        }
    }

    fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        let SocketAddr::V4(from) = from else {
            return;
        };
        let ring = self.shared.ring.load_full();
        let Ok(ControlMessage::Member(message)) = ControlMessage::open(&ring, datagram) else {
            return;
        };
        let MemberMessage::AnnounceAck(reply) = *message else {
            return;
        };
        let change = self.announce.receive(from, reply, Instant::now());
        if let Some((peer, stamp)) = change.newer {
            self.catalogue.add_source(peer, stamp);
        }
        if change.view_changed {
            self.publish();
        }
    }

    fn start_fetch(&mut self) {
        let action = self.catalogue.tick(Instant::now(), &mut self.rng);
        let service = Some(self.announce.record().service.clone());
        let ring = self.shared.ring.load_full();
        fetch::start(action, service, ring, self.fetched.clone());
    }

    fn adopt(&mut self, change: Option<CatalogueChange>) {
        let now = Instant::now();
        let revision = change.as_ref().map_or(0, |change| change.revision);
        match self.catalogue.finish_fetch(change, now, &mut self.rng) {
            AdoptOutcome::InForce => {
                emit(EventCode::CatalogueInForce, &[("revision", &revision)]);
                let name = &self.announce.record().service;
                let service = self.catalogue.snapshot().services.get(name).cloned();
                self.announce.set_service(revision, service, now);
                self.publish();
            }
            AdoptOutcome::Invalid(reason) => emit(
                EventCode::CatalogueInvalid,
                &[("revision", &revision), ("error", &reason)],
            ),
            // Counted by the controller and repeated by it.
            AdoptOutcome::Stale | AdoptOutcome::Mismatch => {}
        }
    }

    /// Publishes the view if it differs from the one that the traffic thread has.
    fn publish(&mut self) {
        let record = self.announce.record();
        let view = AgentView {
            incarnation: record.incarnation,
            state: record.state,
            revision: self.announce.revision(),
            service: self.announce.service().cloned(),
            peers: self.announce.ready_peers(),
            other_peers: self.announce.other_peers(),
            entries: self.announce.live_entries(Instant::now()),
        };
        let old = self.shared.view.load_full();
        if *old != view {
            self.shared.publish(view);
        }
    }

    async fn send(&self, messages: Vec<OutgoingMessage>) {
        let ring = self.shared.ring.load_full();
        for outgoing in messages {
            let Ok(datagram) = ControlMessage::Member(Box::new(outgoing.message)).seal(&ring)
            else {
                continue;
            };
            // A datagram that can't be sent counts as lost; every announcement is repeated.
            let _ = self.socket.send_to(&datagram, outgoing.to).await;
        }
    }
}
