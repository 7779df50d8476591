//! Traffic threads of an entry of the relay.
//!
//! One thread takes the packets of callers, the other what agents send. Both are plain threads with blocking
//! sockets that execute the verdicts of the chain.

use super::counters::verdict_name;
use super::shared::RelayState;
use crate::traffic::{bind, expect_v4, is_idle, ERROR_PAUSE};
use anyhow::Result;
use quetzalhill_core::ids::{address_of, id_of};
use quetzalhill_core::relay::chain::{DeliverReason, DeliverTarget, RelayDrop, RelayVerdict};
use quetzalhill_core::relay::hold::HoldReason;
use quetzalhill_core::relay::intake::ReturnReason;
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_core::relay::place::EndpointKey;
use quetzalhill_core::relay::view::RelayView;
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::threads::TrafficThreads;
use quetzalhill_platform::packet::{self, PacketSender};
use quetzalhill_wire::packet::DATAGRAM_MAX;
use quetzalhill_wire::relay::{
    decode_datagram, RelayDatagram, RelayHeader, RelayNotice, ReportNotice, RELAY_HEADER_MAX,
};
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Instant;
use tokio::sync::mpsc;

/// A report of an agent on its way to the control thread.
#[derive(Debug)]
pub(super) struct ArrivedReport {
    pub(super) agent: SocketAddrV4,
    pub(super) notice: ReportNotice,
}

/// What the traffic threads tell the control thread.
#[derive(Debug)]
pub(super) enum TrafficEvent {
    /// An agent reports.
    Report(ArrivedReport),
    /// No known endpoint holds a flow, and the list of endpoints may be out of date.
    ListDoubt,
    /// No known route leads to the address of an open flow, and the routes may be out of date.
    RoutesDoubt,
}

/// The sockets of an entry.
#[derive(Debug)]
pub(super) struct RelaySockets {
    callers: UdpSocket,
    agents: UdpSocket,
    /// Port at which callers take packets.
    reply_port: u16,
}

impl RelaySockets {
    /// Binds the sockets.
    ///
    /// # Errors
    ///
    /// Names the address that could not be bound.
    pub(super) fn bind(packets: SocketAddrV4, agents: SocketAddrV4) -> Result<Arc<Self>> {
        Ok(Arc::new(Self {
            callers: bind(packets)?,
            agents: bind(agents)?,
            reply_port: packets.port(),
        }))
    }

    /// Sends a notice to an agent; a lost notice is repeated by its sender's timer.
    pub(super) fn notify(&self, notice: &RelayNotice, agent: SocketAddrV4) {
        let Ok(datagram) = notice.encode() else {
            return;
        };
        // A notice that cannot be sent counts as lost.
        let _ = self.agents.send_to(&datagram, agent);
    }
}

/// Starts the threads.
///
/// # Errors
///
/// Names the thread that could not be started.
pub(super) fn start(
    sockets: &Arc<RelaySockets>,
    state: &Arc<RelayState>,
    events: &mpsc::Sender<TrafficEvent>,
) -> Result<TrafficThreads> {
    let mut threads = TrafficThreads::new(Arc::clone(&state.stop));
    let relay = PacketRelay::new(sockets, state, events);
    threads.spawn("callers", move || relay.run_callers())?;
    let relay = PacketRelay::new(sockets, state, events);
    threads.spawn("agents", move || relay.run_agents())?;
    Ok(threads)
}

/// Executes verdicts.
struct PacketRelay {
    sockets: Arc<RelaySockets>,
    state: Arc<RelayState>,
    events: mpsc::Sender<TrafficEvent>,
}

impl PacketRelay {
    fn new(
        sockets: &Arc<RelaySockets>,
        state: &Arc<RelayState>,
        events: &mpsc::Sender<TrafficEvent>,
    ) -> Self {
        Self {
            sockets: Arc::clone(sockets),
            state: Arc::clone(state),
            events: events.clone(),
        }
    }

    /// Tells the control thread; an event that finds the queue full comes again.
    fn tell(&self, event: TrafficEvent) {
        let _ = self.events.try_send(event);
    }

    fn run_callers(&self) {
        let mut buffer = vec![0; DATAGRAM_MAX];
        while !self.state.stop.load(Ordering::Acquire) {
            match self
                .sockets
                .callers
                .recv_from(&mut buffer[RELAY_HEADER_MAX..])
            {
                Ok((length, _)) => self.take_packet(&mut buffer[..RELAY_HEADER_MAX + length]),
                Err(error) if is_idle(&error) => {}
                Err(_) => sleep(ERROR_PAUSE),
            }
        }
    }

    fn run_agents(&self) {
        let mut buffer = vec![0; DATAGRAM_MAX];
        while !self.state.stop.load(Ordering::Acquire) {
            let (length, from) = match self
                .sockets
                .agents
                .recv_from(&mut buffer[RELAY_HEADER_MAX..])
            {
                Ok(received) => received,
                Err(error) if is_idle(&error) => {
                    self.release_held(&mut buffer);
                    continue;
                }
                // An ICMP error of an earlier send concerns one agent only.
                Err(_) => continue,
            };
            let Ok(agent) = expect_v4(from) else {
                continue;
            };
            self.take_datagram(&mut buffer[..RELAY_HEADER_MAX + length], agent);
            self.release_held(&mut buffer);
        }
    }

    fn take_packet(&self, buffer: &mut [u8]) {
        let now = Instant::now();
        let head = match packet::decode(&buffer[RELAY_HEADER_MAX..], PacketSender::Caller) {
            Ok(head) => head,
            Err(error) => return self.count_malformed(&format!("{error:?}")),
        };
        let view = self.state.view.load();
        let verdict = self.state.chain().decide(&head, &view, now);
        self.execute(&head, &verdict, buffer);
        let elapsed = now.elapsed().as_secs_f64();
        self.state.counters.decision.observe(elapsed);
    }

    /// Decides again on the packets that waited for the view.
    fn release_held(&self, buffer: &mut [u8]) {
        if self.state.hold().is_empty() {
            return;
        }
        let view = self.state.view.load();
        let released = self.state.hold().release(&view, Instant::now());
        for packet in &released.expired {
            self.log_expired(packet, &view);
        }
        for packet in released.ready {
            let end = RELAY_HEADER_MAX + packet.len();
            buffer[RELAY_HEADER_MAX..end].copy_from_slice(&packet);
            self.take_packet(&mut buffer[..end]);
        }
    }

    fn log_expired(&self, packet: &[u8], view: &RelayView) {
        let reason = "hold-expired";
        let packets = &self.state.counters.packets;
        packets.with_label_values(&[reason]).inc();
        let Ok(head) = packet::decode(packet, PacketSender::Caller) else {
            return;
        };
        self.log_undelivered(EventCode::FlowDropped, &head, reason, view);
    }

    fn take_datagram(&self, buffer: &mut [u8], agent: SocketAddrV4) {
        match decode_datagram(&mut buffer[RELAY_HEADER_MAX..]) {
            Ok(RelayDatagram::Flow(
                RelayHeader::Return {
                    incarnation,
                    reason,
                },
                packet,
            )) => {
                let life = EndpointKey {
                    id: id_of(agent),
                    incarnation,
                };
                let length = packet.len();
                // The packet moves to where a header fits before it.
                let end = buffer.len();
                buffer.copy_within(end - length.., RELAY_HEADER_MAX);
                self.take_returned(&mut buffer[..RELAY_HEADER_MAX + length], life, reason);
            }
            Ok(RelayDatagram::Notice(RelayNotice::Report(notice))) => {
                self.tell(TrafficEvent::Report(ArrivedReport { agent, notice }));
            }
            Ok(RelayDatagram::Flow(RelayHeader::Deliver { .. }, _))
            | Ok(RelayDatagram::Notice(RelayNotice::Keepalive(_))) => {
                self.count_malformed("unexpected")
            }
            Err(error) => self.count_malformed(&format!("{error:?}")),
        }
    }

    fn take_returned(&self, buffer: &mut [u8], life: EndpointKey, reason: ReturnReason) {
        let head = match packet::decode(&buffer[RELAY_HEADER_MAX..], PacketSender::Caller) {
            Ok(head) => head,
            Err(error) => return self.count_malformed(&format!("{error:?}")),
        };
        let counters = &self.state.counters;
        counters.returned.with_label_values(&[reason.name()]).inc();
        emit(
            EventCode::FlowReturned,
            &[
                ("flow", &head.flow),
                ("endpoint", &address_of(life.id)),
                ("incarnation", &life.incarnation),
                ("reason", &reason.name()),
            ],
        );
        let view = self.state.view.load();
        let now = Instant::now();
        let verdict = self
            .state
            .chain()
            .decide_returned(&head, life, reason, &view, now);
        self.execute(&head, &verdict, buffer);
    }

    /// Does what a verdict says with the packet behind the space for a header.
    fn execute(&self, head: &PacketHead, verdict: &RelayVerdict, buffer: &mut [u8]) {
        let name = verdict_name(verdict);
        self.state.counters.packets.with_label_values(&[name]).inc();
        self.log(head, verdict, name);
        match verdict {
            RelayVerdict::Deliver { targets, .. } => {
                for target in targets {
                    self.deliver(target, buffer);
                }
            }
            RelayVerdict::Reset(_) => {
                let reset = packet::encode_reset(head);
                let caller = SocketAddrV4::new(*head.flow.caller.ip(), self.sockets.reply_port);
                // The caller repeats its packet if the reset is lost.
                let _ = self.sockets.callers.send_to(&reset, caller);
            }
            RelayVerdict::Hold(reason) => {
                let packet = &buffer[RELAY_HEADER_MAX..];
                if !self.state.hold().push(packet, *reason, Instant::now()) {
                    self.count_malformed("hold-full");
                }
                match reason {
                    HoldReason::Load => {}
                    HoldReason::Confirmation(_) => self.tell(TrafficEvent::ListDoubt),
                    HoldReason::Routes(_) => self.tell(TrafficEvent::RoutesDoubt),
                }
            }
            RelayVerdict::Drop(_) => {}
        }
    }

    fn deliver(&self, target: &DeliverTarget, buffer: &mut [u8]) {
        let header = RelayHeader::Deliver {
            service: target.service,
            forced: target.forced,
        };
        let Ok(start) = header.prepend_to(buffer) else {
            return self.count_malformed("seal");
        };
        let agent = address_of(target.endpoint.id);
        // A packet that cannot be sent counts as lost; its sender repeats it.
        let _ = self.sockets.agents.send_to(&buffer[start..], agent);
    }

    fn log(&self, head: &PacketHead, verdict: &RelayVerdict, name: &str) {
        let view = self.state.view.load();
        let revision = view.routes.revision;
        match verdict {
            RelayVerdict::Deliver {
                reason: DeliverReason::TableHit,
                ..
            } => {}
            RelayVerdict::Deliver { targets, reason } => {
                let code = match reason {
                    DeliverReason::Placed => EventCode::FlowPlaced,
                    _ => EventCode::FlowAsked,
                };
                let copies = match head.kind {
                    PacketKind::Opening { copies } => copies,
                    _ => 0,
                };
                emit(
                    code,
                    &[
                        ("flow", &head.flow),
                        ("endpoints", &EndpointNames(targets)),
                        ("copies", &copies),
                        ("revision", &revision),
                    ],
                );
            }
            RelayVerdict::Reset(_) => {
                self.log_undelivered(EventCode::FlowReset, head, name, &view);
            }
            RelayVerdict::Hold(_) => self.log_undelivered(EventCode::FlowHeld, head, name, &view),
            RelayVerdict::Drop(RelayDrop::Duplicate) => {}
            RelayVerdict::Drop(_) => {
                self.log_undelivered(EventCode::FlowDropped, head, name, &view);
            }
        }
    }

    /// Logs a decision that delivers nothing, with the age of what it rests on.
    fn log_undelivered(&self, code: EventCode, head: &PacketHead, reason: &str, view: &RelayView) {
        let age = view.endpoints_read.map(|read| read.elapsed().as_millis());
        emit(
            code,
            &[
                ("flow", &head.flow),
                ("reason", &reason),
                ("revision", &view.routes.revision),
                ("synced", &view.synced),
                ("list_age_ms", &age.unwrap_or_default()),
            ],
        );
    }

    fn count_malformed(&self, reason: &str) {
        self.state
            .counters
            .malformed
            .with_label_values(&[reason])
            .inc();
    }
}

/// Shows endpoints with their lives, as `10.0.0.1:7000@1783371811029`.
struct EndpointNames<'a>(&'a [DeliverTarget]);

impl Display for EndpointNames<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        for (index, target) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            let EndpointKey { id, incarnation } = target.endpoint;
            write!(f, "{separator}{}@{incarnation}", address_of(id))?;
        }
        Ok(())
    }
}
