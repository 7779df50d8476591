//! Traffic threads of an agent of the relay.
//!
//! One thread takes what entries send, the other what the upstream sends. Both are plain threads with blocking
//! sockets.

use super::shared::AgentState;
use anyhow::{Context, Result};
use quetzalhill_core::ids::{service_digest, ServiceDigest};
use quetzalhill_core::relay::intake::{decide, IntakeContext, IntakeVerdict, ReturnReason};
use quetzalhill_core::relay::load::RequestOutcome;
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::threads::TrafficThreads;
use quetzalhill_platform::packet::{self, PacketSender, UpstreamPacket};
use quetzalhill_wire::packet::DATAGRAM_MAX;
use quetzalhill_wire::relay::{
    decode_datagram, KeepaliveNotice, RelayDatagram, RelayHeader, RelayNotice, RELAY_HEADER_MAX,
};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Longest time until an idle thread sees that it has to stop.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause after a socket failed to receive, which keeps a thread from spinning on a lasting error.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Bytes of the kernel's receive buffer for each socket; a burst of a thousand packets fits.
const RECEIVE_BUFFER: usize = 2 << 20;

/// What the traffic threads tell the control thread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TrafficEvent {
    /// An entry asks for reports.
    Hello(SocketAddrV4, KeepaliveNotice),
    /// No process takes packets at the address of the upstream.
    Refused,
}

/// The sockets of an agent.
#[derive(Debug)]
pub(super) struct AgentSockets {
    /// To and from entries, and to callers.
    packets: UdpSocket,
    /// From the upstream.
    outbound: UdpSocket,
    /// To the upstream.
    upstream: UdpSocket,
    /// Port at which callers take packets.
    reply_port: u16,
    /// Port at which entries take returned packets.
    entry_port: u16,
    /// Service of the upstream.
    service: ServiceDigest,
}

/// Where the sockets are bound and what they are for.
#[derive(Clone, Debug)]
pub(super) struct SocketPlan {
    pub(super) packets: SocketAddrV4,
    pub(super) outbound: SocketAddrV4,
    pub(super) upstream: SocketAddrV4,
    pub(super) entry_port: u16,
    pub(super) service: String,
}

impl AgentSockets {
    /// Binds the sockets.
    ///
    /// # Errors
    ///
    /// Names the address that could not be bound.
    pub(super) fn bind(plan: &SocketPlan) -> Result<Arc<Self>> {
        let upstream = bind(SocketAddrV4::new(*plan.outbound.ip(), 0))?;
        // A connected socket reports that no process listens at the address.
        upstream
            .connect(plan.upstream)
            .with_context(|| format!("UDP socket to {}", plan.upstream))?;
        Ok(Arc::new(Self {
            packets: bind(plan.packets)?,
            outbound: bind(plan.outbound)?,
            upstream,
            reply_port: plan.packets.port(),
            entry_port: plan.entry_port,
            service: service_digest(&plan.service),
        }))
    }

    /// Sends a notice to an entry; a lost notice is repeated by its sender's timer.
    pub(super) fn notify(&self, notice: &RelayNotice, entry: SocketAddrV4) {
        let Ok(datagram) = notice.encode() else {
            return;
        };
        // A notice that cannot be sent counts as lost.
        let _ = self.packets.send_to(&datagram, entry);
    }
}

fn bind(address: SocketAddrV4) -> Result<UdpSocket> {
    let context = || format!("UDP socket {address}");
    let socket = UdpSocket::bind(address).with_context(context)?;
    socket
        .set_read_timeout(Some(READ_TIMEOUT))
        .with_context(context)?;
    // The kernel caps the size by its own limit; a smaller buffer still works.
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER);
    Ok(socket)
}

/// Starts the threads.
///
/// # Errors
///
/// Names the thread that could not be started.
pub(super) fn start(
    sockets: &Arc<AgentSockets>,
    state: &Arc<AgentState>,
    events: &mpsc::Sender<TrafficEvent>,
) -> Result<TrafficThreads> {
    let mut threads = TrafficThreads::new(Arc::clone(&state.stop));
    let relay = AgentRelay::new(sockets, state, events);
    threads.spawn("entries", move || relay.run_entries())?;
    let relay = AgentRelay::new(sockets, state, events);
    threads.spawn("upstream", move || relay.run_upstream())?;
    Ok(threads)
}

struct AgentRelay {
    sockets: Arc<AgentSockets>,
    state: Arc<AgentState>,
    events: mpsc::Sender<TrafficEvent>,
}

impl AgentRelay {
    fn new(
        sockets: &Arc<AgentSockets>,
        state: &Arc<AgentState>,
        events: &mpsc::Sender<TrafficEvent>,
    ) -> Self {
        Self {
            sockets: Arc::clone(sockets),
            state: Arc::clone(state),
            events: events.clone(),
        }
    }

    fn run_entries(&self) {
        let mut buffer = vec![0; DATAGRAM_MAX];
        self.receive(&self.sockets.packets, &mut buffer, |relay, buffer, from| {
            let SocketAddr::V4(entry) = from else {
                return;
            };
            relay.take_datagram(buffer, entry);
        });
    }

    fn run_upstream(&self) {
        let mut buffer = vec![0; DATAGRAM_MAX];
        self.receive(&self.sockets.outbound, &mut buffer, |relay, buffer, _| {
            relay.take_upstream(buffer);
        });
    }

    /// Receives until the process stops; the datagram stands behind the space for a header.
    fn receive(
        &self,
        socket: &UdpSocket,
        buffer: &mut [u8],
        take: impl Fn(&Self, &mut [u8], SocketAddr),
    ) {
        while !self.state.stop.load(Ordering::Acquire) {
            match socket.recv_from(&mut buffer[RELAY_HEADER_MAX..]) {
                Ok((length, from)) => take(self, &mut buffer[..RELAY_HEADER_MAX + length], from),
                Err(error) => pause_after(&error),
            }
        }
    }

    fn take_datagram(&self, buffer: &mut [u8], entry: SocketAddrV4) {
        match decode_datagram(&mut buffer[RELAY_HEADER_MAX..]) {
            Ok(RelayDatagram::Flow(RelayHeader::Deliver { service, forced }, packet)) => {
                let length = packet.len();
                // The packet moves to where a header fits before it, should it be returned.
                let end = buffer.len();
                buffer.copy_within(end - length.., RELAY_HEADER_MAX);
                let own = service == self.sockets.service;
                let buffer = &mut buffer[..RELAY_HEADER_MAX + length];
                self.take_packet(buffer, entry, own, forced);
            }
            Ok(RelayDatagram::Notice(RelayNotice::Keepalive(hello))) => {
                self.tell(TrafficEvent::Hello(entry, hello));
            }
            Ok(RelayDatagram::Flow(RelayHeader::Return { .. }, _))
            | Ok(RelayDatagram::Notice(RelayNotice::Report(_))) => {
                self.count_malformed("unexpected");
            }
            Err(error) => self.count_malformed(&format!("{error:?}")),
        }
    }

    fn take_packet(&self, buffer: &mut [u8], entry: SocketAddrV4, own_service: bool, forced: bool) {
        let bytes = &mut buffer[RELAY_HEADER_MAX..];
        let head = match packet::decode(bytes, PacketSender::Caller) {
            Ok(head) => head,
            Err(error) => return self.count_malformed(&format!("{error:?}")),
        };
        let belief = **self.state.belief.load();
        let now = Instant::now();
        let (busy, failing) = match head.kind {
            PacketKind::Opening { .. } => (
                self.state.meter().pending_requests(now),
                !self.state.health().takes_flows(now),
            ),
            _ => (0, false),
        };
        let facts = IntakeContext {
            kind: head.kind,
            state: belief.state,
            service_matches: own_service,
            failing,
            forced,
            busy,
            slots: belief.slots,
        };
        match decide(&facts) {
            IntakeVerdict::Return(reason) => self.give_back(buffer, &head, reason, *entry.ip()),
            IntakeVerdict::Deliver => {
                packet::set_mark(bytes, u32::from(*entry.ip()));
                self.deliver(bytes, &head);
            }
        }
    }

    fn deliver(&self, packet: &[u8], head: &PacketHead) {
        self.count("delivered");
        self.log_request(packet, head);
        self.state.meter().record_delivered(head, Instant::now());
        let Err(error) = self.sockets.upstream.send(packet) else {
            return;
        };
        if error.kind() != io::ErrorKind::ConnectionRefused {
            return;
        }
        self.tell(TrafficEvent::Refused);
        // The error belongs to an earlier packet; this one has not been sent.
        let _ = self.sockets.upstream.send(packet);
    }

    /// Ties the name of a request to its flow.
    fn log_request(&self, packet: &[u8], head: &PacketHead) {
        if head.data_len == 0 {
            return;
        }
        let Some(request) = packet::request_id(packet) else {
            return;
        };
        let belief = **self.state.belief.load();
        emit(
            EventCode::RequestSeen,
            &[
                ("request", &request),
                ("flow", &head.flow),
                ("state", &belief.state.name()),
                ("incarnation", &belief.incarnation),
            ],
        );
    }

    fn take_upstream(&self, buffer: &mut [u8]) {
        let bytes = &mut buffer[RELAY_HEADER_MAX..];
        match packet::decode_upstream(bytes) {
            Ok(UpstreamPacket::Answer(head)) => {
                self.count("answered");
                let now = Instant::now();
                let outcome = self.state.meter().record_sent(&head, now);
                if let Some(outcome) = outcome {
                    self.note_outcome(outcome, now);
                }
                let caller = SocketAddrV4::new(*head.flow.caller.ip(), self.sockets.reply_port);
                // A packet that cannot be sent counts as lost; the upstream repeats it.
                let _ = self.sockets.packets.send_to(bytes, caller);
            }
            Ok(UpstreamPacket::Returned { head, mark }) => {
                packet::restore(bytes);
                let entry = Ipv4Addr::from(mark);
                self.give_back(buffer, &head, ReturnReason::NotHeld, entry);
            }
            Err(error) => self.count_malformed(&format!("{error:?}")),
        }
    }

    fn note_outcome(&self, outcome: RequestOutcome, now: Instant) {
        match outcome {
            RequestOutcome::Answered(waited) => {
                self.state.counters.answers.observe(waited.as_secs_f64());
            }
            RequestOutcome::Reset => self.count("reset-by-upstream"),
        }
        if !self.state.health().record(outcome, now) {
            return;
        }
        let belief = **self.state.belief.load();
        emit(
            EventCode::UpstreamEjected,
            &[
                ("state", &belief.state.name()),
                ("incarnation", &belief.incarnation),
            ],
        );
    }

    /// Returns a packet to the entry that sent it.
    fn give_back(
        &self,
        buffer: &mut [u8],
        head: &PacketHead,
        reason: ReturnReason,
        entry: Ipv4Addr,
    ) {
        let belief = **self.state.belief.load();
        self.count(reason.name());
        emit(
            EventCode::PacketReturned,
            &[
                ("flow", &head.flow),
                ("reason", &reason.name()),
                ("state", &belief.state.name()),
                ("incarnation", &belief.incarnation),
            ],
        );
        let header = RelayHeader::Return {
            incarnation: belief.incarnation,
            reason,
        };
        let Ok(start) = header.prepend_to(buffer) else {
            return self.count_malformed("seal");
        };
        let entry = SocketAddrV4::new(entry, self.sockets.entry_port);
        // A packet that cannot be sent counts as lost; its sender repeats it.
        let _ = self.sockets.packets.send_to(&buffer[start..], entry);
    }

    /// Tells the control thread; an event that finds the queue full comes again.
    fn tell(&self, event: TrafficEvent) {
        let _ = self.events.try_send(event);
    }

    fn count(&self, verdict: &str) {
        let packets = &self.state.counters.packets;
        packets.with_label_values(&[verdict]).inc();
    }

    fn count_malformed(&self, reason: &str) {
        let malformed = &self.state.counters.malformed;
        malformed.with_label_values(&[reason]).inc();
    }
}

/// Pauses after a receive call that failed for another reason than its timeout.
fn pause_after(error: &io::Error) {
    use io::ErrorKind::{ConnectionRefused, Interrupted, TimedOut, WouldBlock};
    match error.kind() {
        // A refusal is the answer to an earlier send.
        WouldBlock | TimedOut | Interrupted | ConnectionRefused => {}
        _ => sleep(ERROR_PAUSE),
    }
}
