//! Traffic threads of the agent for opaque flows.
//!
//! One thread handles the datagrams of entries, the other the packets of the upstream. Both are plain threads with
//! blocking sockets.

mod held;

use super::shared::AgentState;
use anyhow::{Context, Result};
use quetzalhill_core::ids::{service_digest, IncarnationNumber, ServiceDigest};
use quetzalhill_core::relay::intake::{decide, IntakeContext, IntakeVerdict, ReturnReason};
use quetzalhill_core::relay::load::RequestOutcome;
use quetzalhill_core::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use quetzalhill_core::relay::terms::FlowTerms;
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_node::relay::notices::NoticeKind;
use quetzalhill_node::relay::threads::TrafficThreads;
use quetzalhill_platform::packet::{self, PacketSender, UpstreamPacket};
use quetzalhill_wire::packet::DATAGRAM_MAX;
use quetzalhill_wire::relay::{
    decode_datagram, ClaimNotice, KeepaliveNotice, RelayDatagram, RelayHeader, RelayNotice,
    RELAY_HEADER_MAX,
};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Read timeout of the sockets, after which an idle thread checks the stop flag.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause after a receive error, so that a persistent error does not make the thread spin.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Size of the kernel's receive buffer of each socket, in bytes; holds a burst of a thousand packets.
const RECEIVE_BUFFER_BYTES: usize = 2 << 20;

/// An event that the traffic threads send to the control thread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TrafficEvent {
    /// An entry sent a keepalive, which requests reports.
    Keepalive(SocketAddrV4, KeepaliveNotice),
    /// No process listens at the UDP address of the upstream.
    UpstreamRefused,
}

/// The sockets of an agent.
#[derive(Debug)]
pub(super) struct AgentSockets {
    /// Receives from entries; sends to entries and callers.
    packets: UdpSocket,
    /// Receives from the upstream.
    outbound: UdpSocket,
    /// Sends to the upstream.
    upstream: UdpSocket,
    /// Port at which callers receive packets.
    reply_port: u16,
    /// Port at which entries receive returned packets.
    entry_port: u16,
    /// Digest of the upstream's service name, as deliver headers carry it.
    service: ServiceDigest,
}

/// Addresses, ports and service from which the sockets are set up.
#[derive(Clone, Debug)]
pub(super) struct SocketSettings {
    pub(super) packets: SocketAddrV4,
    pub(super) outbound: SocketAddrV4,
    pub(super) upstream: SocketAddrV4,
    pub(super) entry_port: u16,
    pub(super) service: String,
}

impl AgentSockets {
    /// Binds the sockets and connects the one to the upstream.
    ///
    /// # Errors
    ///
    /// Returns an error that names the address that could not be bound or connected.
    pub(super) fn bind(settings: &SocketSettings) -> Result<Arc<Self>> {
        let upstream = bind(SocketAddrV4::new(*settings.outbound.ip(), 0))?;
        // Only a connected UDP socket reports `ECONNREFUSED` when no process listens at the address.
        upstream.connect(settings.upstream).with_context(|| {
            format!(
                "connecting the UDP socket to the upstream {}",
                settings.upstream
            )
        })?;
        Ok(Arc::new(Self {
            packets: bind(settings.packets)?,
            outbound: bind(settings.outbound)?,
            upstream,
            reply_port: settings.packets.port(),
            entry_port: settings.entry_port,
            service: service_digest(&settings.service),
        }))
    }

    /// Sends a notice to an entry, without a delivery guarantee: the next report replaces a lost one. Returns the size
    /// of the datagram in bytes.
    pub(super) fn notify(&self, notice: &RelayNotice, entry: SocketAddrV4) -> usize {
        let Ok(datagram) = notice.encode() else {
            return 0;
        };
        // A failed send is treated as a lost datagram.
        let _ = self.packets.send_to(&datagram, entry);
        datagram.len()
    }
}

fn bind(address: SocketAddrV4) -> Result<UdpSocket> {
    let context = || format!("binding the UDP socket {address}");
    let socket = UdpSocket::bind(address).with_context(context)?;
    socket
        .set_read_timeout(Some(READ_TIMEOUT))
        .with_context(context)?;
    // The kernel limits the size to its own maximum; a smaller buffer works too.
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    Ok(socket)
}

/// Starts the traffic threads.
///
/// # Errors
///
/// Returns an error that names the thread that could not be started.
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

/// Fields of the header of a packet from an entry.
#[derive(Clone, Copy, Debug)]
struct DeliveryFields {
    service_matches: bool,
    forced: bool,
    /// First packets a second that the upstream may get while it is cold.
    cold_limit: Option<u8>,
    /// Requirements on the requests of the flow.
    terms: FlowTerms,
}

/// Executes the decisions on packets; each traffic thread has one, and the control thread for packets whose time has
/// come.
pub(super) struct AgentRelay {
    sockets: Arc<AgentSockets>,
    state: Arc<AgentState>,
    events: mpsc::Sender<TrafficEvent>,
}

impl AgentRelay {
    /// Creates one that works with these sockets and this state, and sends its events to the control thread.
    pub(super) fn new(
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
            relay.handle_datagram(buffer, entry);
        });
    }

    fn run_upstream(&self) {
        let mut buffer = vec![0; DATAGRAM_MAX];
        self.receive(&self.sockets.outbound, &mut buffer, |relay, buffer, _| {
            relay.handle_upstream_packet(buffer);
        });
    }

    /// Receives datagrams until the stop flag is set. Each datagram is preceded by [`RELAY_HEADER_MAX`] free bytes of
    /// `buffer`, so that a header can be prepended in place.
    fn receive(
        &self,
        socket: &UdpSocket,
        buffer: &mut [u8],
        handle: impl Fn(&Self, &mut [u8], SocketAddr),
    ) {
        while !self.state.stop.load(Ordering::Acquire) {
            match socket.recv_from(&mut buffer[RELAY_HEADER_MAX..]) {
                Ok((length, from)) => handle(self, &mut buffer[..RELAY_HEADER_MAX + length], from),
                Err(error) => pause_after(&error),
            }
        }
    }

    fn handle_datagram(&self, buffer: &mut [u8], entry: SocketAddrV4) {
        match decode_datagram(&mut buffer[RELAY_HEADER_MAX..]) {
            Ok(RelayDatagram::Flow(
                RelayHeader::Deliver {
                    service,
                    forced,
                    cold_limit,
                    terms,
                    ..
                },
                packet,
            )) => {
                let length = packet.len();
                // Drops the header that was received and leaves `RELAY_HEADER_MAX` bytes in front of the packet,
                // for the header of a packet that is returned.
                let end = buffer.len();
                buffer.copy_within(end - length.., RELAY_HEADER_MAX);
                let delivery = DeliveryFields {
                    service_matches: service == self.sockets.service,
                    forced,
                    cold_limit,
                    terms: terms.unwrap_or_default(),
                };
                let buffer = &mut buffer[..RELAY_HEADER_MAX + length];
                self.handle_packet(buffer, entry, delivery);
            }
            Ok(RelayDatagram::Notice(RelayNotice::Keepalive(keepalive))) => {
                self.send_event(TrafficEvent::Keepalive(entry, keepalive));
            }
            Ok(RelayDatagram::Flow(RelayHeader::Return { .. }, _))
            | Ok(RelayDatagram::Notice(
                RelayNotice::Report(_)
                | RelayNotice::ListChange(_)
                | RelayNotice::ConfirmRequest(_)
                | RelayNotice::ConfirmAnswer { .. }
                | RelayNotice::ListState { .. }
                | RelayNotice::RoutesState(_)
                | RelayNotice::PacedReport(..)
                | RelayNotice::OperatorState { .. }
                | RelayNotice::StoreEra(_)
                | RelayNotice::OpenFlows(_)
                | RelayNotice::EraListChange(..)
                | RelayNotice::FlowClaim(_)
                | RelayNotice::ReadBarrier(_),
            )) => {
                self.count_malformed("unexpected");
            }
            Err(error) => self.count_malformed(&format!("{error:?}")),
        }
    }

    fn handle_packet(&self, buffer: &mut [u8], entry: SocketAddrV4, delivery: DeliveryFields) {
        let bytes = &mut buffer[RELAY_HEADER_MAX..];
        let head = match packet::decode(bytes, PacketSender::Caller) {
            Ok(head) => head,
            Err(error) => return self.count_malformed(&format!("{error:?}")),
        };
        let status = **self.state.status.load();
        let now = Instant::now();
        let opening = matches!(head.kind, PacketKind::Opening { .. });
        let (busy, window, failing, cold_wait) = match opening {
            true => {
                let failing = !self.state.health().takes_flows(now);
                if failing {
                    // Keeps the window at its start until the upstream takes flows again.
                    self.state.restart_window("ejected", now);
                }
                let window = self.state.meter().pace().and_then(|pace| pace.window());
                let busy = self.state.pending_requests(now);
                let cold_wait = self.state.cold().wait(delivery.cold_limit, now);
                (busy, window, failing, cold_wait)
            }
            false => (0, None, false, None),
        };
        let context = IntakeContext {
            kind: head.kind,
            state: status.state,
            service_matches: delivery.service_matches,
            failing,
            forced: delivery.forced,
            busy,
            slots: status.slots,
            cold_wait,
            window,
        };
        match decide(&context) {
            IntakeVerdict::Return(reason) => self.return_packet(buffer, &head, reason, *entry.ip()),
            IntakeVerdict::Deliver => {
                if delivery.forced && !opening {
                    self.claim(head.flow, status.incarnation, entry);
                }
                packet::set_mark(bytes, u32::from(*entry.ip()));
                self.schedule(bytes, &head, delivery.terms);
                if opening && delivery.cold_limit.is_some() {
                    self.state.cold().record(Instant::now());
                }
            }
        }
    }

    /// Tells an entry that searches for a flow if the upstream is known to hold it.
    fn claim(&self, flow: FlowAddresses, incarnation: IncarnationNumber, entry: SocketAddrV4) {
        if !self.state.meter().holds(flow) {
            return;
        }
        let notice = RelayNotice::FlowClaim(ClaimNotice::new(flow, incarnation));
        let size = self.sockets.notify(&notice, entry);
        let notices = &self.state.counters.notices;
        notices.count(NoticeKind::FlowClaim, size);
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
        self.state.cold().doubt();
        self.send_event(TrafficEvent::UpstreamRefused);
        // The error was caused by an earlier packet; this one has not been sent yet.
        let _ = self.sockets.upstream.send(packet);
    }

    /// Logs the flow of a packet and the id of the HTTP request that starts in it.
    fn log_request(&self, packet: &[u8], head: &PacketHead) {
        if head.data_len == 0 {
            return;
        }
        let Some(request) = packet::request_id(packet) else {
            return;
        };
        let status = **self.state.status.load();
        emit(
            EventCode::RequestSeen,
            &[
                ("request", &request),
                ("flow", &head.flow),
                ("state", &status.state.name()),
                ("incarnation", &status.incarnation),
            ],
        );
    }

    fn handle_upstream_packet(&self, buffer: &mut [u8]) {
        let bytes = &mut buffer[RELAY_HEADER_MAX..];
        match packet::decode_upstream(bytes) {
            Ok(UpstreamPacket::Answer(head)) => {
                self.count("answered");
                let now = Instant::now();
                let (outcome, filled) = {
                    let mut meter = self.state.meter();
                    let outcome = meter.record_sent(&head, now);
                    (outcome, meter.pace().and_then(|pace| pace.take_filled()))
                };
                if let Some(outcome) = outcome {
                    self.record_outcome(outcome, now);
                }
                if let Some(filled) = filled {
                    self.state.log_filled(&filled);
                }
                // The caller may send its next request at once, which the scheduler has to know as one of this flow.
                self.release_after(|scheduler| scheduler.record_sent(&head, now));
                let caller = SocketAddrV4::new(*head.flow.caller.ip(), self.sockets.reply_port);
                // A failed send is treated as a lost packet; the upstream retransmits it.
                let _ = self.sockets.packets.send_to(bytes, caller);
            }
            Ok(UpstreamPacket::Returned { head, mark }) => {
                packet::restore(bytes);
                let entry = Ipv4Addr::from(mark);
                self.return_packet(buffer, &head, ReturnReason::NotHeld, entry);
                self.release_after(|scheduler| scheduler.record_returned(head.flow));
            }
            Err(error) => self.count_malformed(&format!("{error:?}")),
        }
    }

    fn record_outcome(&self, outcome: RequestOutcome, now: Instant) {
        match outcome {
            RequestOutcome::Answered(latency) => {
                self.state.counters.answers.observe(latency.as_secs_f64());
            }
            RequestOutcome::Reset => self.count("reset-by-upstream"),
        }
        if !self.state.health().record(outcome, now) {
            return;
        }
        self.state.restart_window("ejected", now);
        let status = **self.state.status.load();
        emit(
            EventCode::UpstreamEjected,
            &[
                ("state", &status.state.name()),
                ("incarnation", &status.incarnation),
            ],
        );
    }

    /// Returns a packet to the entry that sent it, with the reason why it was not delivered.
    fn return_packet(
        &self,
        buffer: &mut [u8],
        head: &PacketHead,
        reason: ReturnReason,
        entry: Ipv4Addr,
    ) {
        let status = **self.state.status.load();
        self.count(reason.name());
        emit(
            EventCode::PacketReturned,
            &[
                ("flow", &head.flow),
                ("reason", &reason.name()),
                ("state", &status.state.name()),
                ("incarnation", &status.incarnation),
            ],
        );
        let header = RelayHeader::Return {
            incarnation: status.incarnation,
            reason,
        };
        let Ok(start) = header.prepend_to(buffer) else {
            return self.count_malformed("seal");
        };
        let entry = SocketAddrV4::new(entry, self.sockets.entry_port);
        // A failed send is treated as a lost packet; the caller retransmits it.
        let _ = self.sockets.packets.send_to(&buffer[start..], entry);
    }

    /// Sends an event to the control thread. An event is dropped if the queue is full, because keepalives and refused
    /// sends recur.
    fn send_event(&self, event: TrafficEvent) {
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

/// Pauses after a receive error other than a timeout, an interruption or a refused earlier send.
fn pause_after(error: &io::Error) {
    use io::ErrorKind::{ConnectionRefused, Interrupted, TimedOut, WouldBlock};
    match error.kind() {
        // A connected socket reports a refused earlier send on its next call.
        WouldBlock | TimedOut | Interrupted | ConnectionRefused => {}
        _ => sleep(ERROR_PAUSE),
    }
}
