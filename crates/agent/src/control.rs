//! The control thread of an agent: announcements and the view that the traffic thread reads.

use crate::settings::AgentSettings;
use crate::shared::{AgentView, SharedState, TrafficEvent};
use anyhow::{anyhow, Context, Result};
use quetzalhill_core::ids::id_of;
use quetzalhill_core::member::announce::AnnounceController;
use quetzalhill_core::member::message::{MemberMessage, OutgoingMessage};
use quetzalhill_core::member::{EndpointRecord, EndpointState};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_wire::control::ControlMessage;
use quetzalhill_wire::packet::DATAGRAM_MAX;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// Time for which the last announcements are repeated before the thread ends.
const LEAVE_TIME: Duration = Duration::from_millis(600);

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
    let record = EndpointRecord {
        id: id_of(settings.agent.packets),
        incarnation: shared.view.load().incarnation,
        sequence: 0,
        service: settings.agent.service.clone(),
        number: 0,
        zone: settings.node.zone.clone(),
        peer: settings.agent.peer,
        state: EndpointState::Starting,
        slots: settings.agent.slots,
    };
    let announce = AnnounceController::new(record, &settings.agent.entries, Instant::now());
    let (wanted_out, wanted) = watch::channel(EndpointState::Starting);
    let thread = std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            let system = ntex::rt::System::build()
                .name("control")
                .build(ntex::rt::DefaultRuntime);
            let result = system.block_on(async move {
                let control = ControlLoop {
                    shared,
                    socket: UdpSocket::from_std(socket)?,
                    announce,
                    rng: SmallRng::from_os_rng(),
                };
                control.run(wanted, events).await
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

struct ControlLoop {
    shared: Arc<SharedState>,
    socket: UdpSocket,
    announce: AnnounceController,
    rng: SmallRng,
}

impl ControlLoop {
    async fn run(
        mut self,
        mut wanted: watch::Receiver<EndpointState>,
        mut events: mpsc::Receiver<TrafficEvent>,
    ) -> std::io::Result<()> {
        let mut buffer = vec![0; DATAGRAM_MAX + 1];
        let mut events_open = true;
        let mut end: Option<Instant> = None;
        loop {
            let now = Instant::now();
            if end.is_some_and(|deadline| deadline <= now) {
                return Ok(());
            }
            let mut deadline = self.announce.next_deadline();
            if let Some(end) = end {
                deadline = deadline.min(end);
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
                () = tokio::time::sleep_until(deadline.into()) => {
                    let messages = self.announce.tick(Instant::now(), &mut self.rng);
                    self.send(messages).await;
                    self.publish();
                }
            }
        }
    }

    fn traffic(&mut self, event: TrafficEvent) {
        match event {
            TrafficEvent::UpstreamHealth { healthy: true } => self.set_state(EndpointState::Ready),
            // The endpoint keeps its flows and hands their requests to peers, so its state stays.
            TrafficEvent::UpstreamHealth { healthy: false } => {}
            TrafficEvent::Drained => self.set_state(EndpointState::Draining),
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
        let MemberMessage::AnnounceAck(mut reply) = *message else {
            return;
        };
        let now = Instant::now();
        let service = reply.service.take();
        let stamp = reply.stamp;
        let mut changed = self.announce.receive(from, reply, now).view;
        if service.is_some() {
            changed |= self.announce.set_service(stamp.revision, service, now);
        }
        if changed {
            self.publish();
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
