//! The control thread of an agent: announces the endpoint to entries and publishes the view that the traffic thread
//! reads.

use crate::settings::AgentSettings;
use crate::shared::{AgentView, SharedState, TrafficEvent};
use crate::status::{pages, StatusContext};
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

/// Time for which the departure of the endpoint is announced repeatedly before the thread ends.
const LEAVE_TIME: Duration = Duration::from_millis(600);

/// Validates a snapshot and joins all errors into one reason.
fn check_snapshot(snapshot: &CatalogueSnapshot) -> Result<(), String> {
    let Err(errors) = validate(snapshot) else {
        return Ok(());
    };
    let reasons: Vec<_> = errors.iter().map(ToString::to_string).collect();
    Err(reasons.join("; "))
}

/// Interval at which the key files are checked for changes.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// A running control thread, and the state that it has to announce.
#[derive(Debug)]
pub struct ControlHandle {
    target_state: watch::Sender<EndpointState>,
    thread: JoinHandle<()>,
}

impl ControlHandle {
    /// Announces at once that the endpoint is draining.
    pub fn drain(&self) {
        self.raise(EndpointState::Draining);
    }

    /// Announces that the endpoint has left and ends the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread has panicked.
    pub fn stop(self) -> Result<()> {
        self.raise(EndpointState::Left);
        self.thread
            .join()
            .map_err(|_| anyhow!("the control thread panicked"))
    }

    /// Sets the target state, unless it is already at this state or a later one.
    fn raise(&self, state: EndpointState) {
        self.target_state.send_if_modified(|target_state| {
            let later = state > *target_state;
            if later {
                *target_state = state;
            }
            later
        });
    }
}

/// Starts the control thread. The endpoint is announced as ready once the traffic thread reports a healthy upstream.
///
/// # Errors
///
/// Returns an error if the control socket or the admin address can't be bound, or if the thread can't be started.
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
    let context = StatusContext {
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
    let (target_state, state_receiver) = watch::channel(EndpointState::Starting);
    let thread = std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let system = ntex::rt::System::build()
                .name("control")
                .build(ntex::rt::DefaultRuntime);
            let result = system.block_on(async move {
                ntex::rt::spawn(serve_admin(listener, pages(&shared, context)));
                let scope = Some(announce.record().service.clone());
                let (fetch_sender, fetch_results) = mpsc::channel(1);
                let control = ControlLoop {
                    shared,
                    socket: UdpSocket::from_std(socket)?,
                    announce,
                    catalogue: CatalogueController::new(check_snapshot, scope, Instant::now()),
                    fetch_sender,
                    keys,
                    rng: SmallRng::from_os_rng(),
                };
                control.run(state_receiver, events, fetch_results).await
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
        target_state,
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
    fetch_sender: mpsc::Sender<Option<CatalogueChange>>,
    keys: KeyWatch,
    rng: SmallRng,
}

impl ControlLoop {
    async fn run(
        mut self,
        mut state_receiver: watch::Receiver<EndpointState>,
        mut events: mpsc::Receiver<TrafficEvent>,
        mut fetch_results: mpsc::Receiver<Option<CatalogueChange>>,
    ) -> std::io::Result<()> {
        let mut buffer = vec![0; DATAGRAM_MAX + 1];
        let mut events_open = true;
        let mut key_check = tokio::time::interval(KEY_CHECK_INTERVAL);
        let mut end_at: Option<Instant> = None;
        loop {
            self.start_fetch();
            let now = Instant::now();
            if end_at.is_some_and(|deadline| deadline <= now) {
                return Ok(());
            }
            let mut deadline = self.announce.next_deadline();
            for other in [end_at, self.catalogue.next_deadline()]
                .into_iter()
                .flatten()
            {
                deadline = deadline.min(other);
            }
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    // An error comes from an ICMP reply to an earlier send and concerns one entry only.
                    if let Ok((size, from)) = received {
                        self.receive(&buffer[..size], from);
                    }
                }
                event = events.recv(), if events_open => match event {
                    Some(event) => self.handle_event(event),
                    None => events_open = false,
                },
                Some(change) = fetch_results.recv() => self.adopt(change),
                changed = state_receiver.changed(), if end_at.is_none() => {
                    let state = match changed {
                        Ok(()) => *state_receiver.borrow_and_update(),
                        Err(_) => EndpointState::Left,
                    };
                    self.set_state(state);
                    if state == EndpointState::Left {
                        end_at = Some(Instant::now() + LEAVE_TIME);
                    }
                }
                _ = key_check.tick() => self.reload_keys(),
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

    fn handle_event(&mut self, event: TrafficEvent) {
        match event {
            // An endpoint whose upstream is not healthy keeps its flows and hands their requests over to peers.
            TrafficEvent::UpstreamHealth { healthy } => {
                if self.announce.set_ready(healthy, Instant::now()) {
                    self.publish();
                }
            }
            TrafficEvent::UpstreamDraining | TrafficEvent::Drained => {
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
        fetch::start(action, service, ring, self.fetch_sender.clone());
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
            // The controller counts these and fetches the catalogue again.
            AdoptOutcome::Stale | AdoptOutcome::Mismatch => {}
        }
    }

    /// Publishes the view if it differs from the one published last.
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
        let published = self.shared.view.load_full();
        if *published != view {
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
            // A failed send is treated as a lost datagram; announcements are repeated.
            let _ = self.socket.send_to(&datagram, outgoing.to).await;
        }
    }
}
