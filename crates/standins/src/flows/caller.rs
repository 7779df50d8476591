//! A caller of opaque flows: opens one after the other and sends requests on each.

use super::fabric::FlowFabric;
use super::ledger::{RequestOutcome, SharedLedger};
use super::upstream::{sequence_at, NOT_RUN, RAN};
use super::{checksum, BUFFER_BYTES};
use quetzalhill_core::relay::packet::{FlowAddresses, PacketKind};
use quetzalhill_platform::packet::PacketSender;
use quetzalhill_platform::standin::packet::{decode, encode, request_head, OutgoingPacket};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::time::timeout_at;

/// When copies of a first packet leave after the first (the platform's).
const RETRANSMIT_TIMES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Time after which an attempt to open a flow ends (the platform's).
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Time after which a request is given up; the longest of the first site's kinds but downloads.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Pause before the first repetition of a packet, and the longest (the platform's).
const RETRANSMIT_MIN: Duration = Duration::from_millis(200);
const RETRANSMIT_MAX: Duration = Duration::from_millis(1_600);

/// Requests on a flow at most.
const REQUESTS_MAX: u32 = 40;

/// Longest pause between two requests of a flow.
const PAUSE_MAX: Duration = Duration::from_millis(150);

/// One in so many pauses is long, so that a flow is idle while processes come and go.
const LONG_PAUSE_ONE_IN: u32 = 12;

/// A long pause.
const LONG_PAUSE: Duration = Duration::from_millis(2_500);

/// A caller.
#[derive(Debug)]
pub struct FlowCaller {
    address: SocketAddrV4,
    socket: UdpSocket,
    fabric: Rc<FlowFabric>,
    ledger: SharedLedger,
    rng: SmallRng,
    port: u16,
    requests: u64,
}

/// An open flow, as the caller sees it.
#[derive(Debug)]
struct OpenFlow {
    flow: FlowAddresses,
    /// Number of the next byte that the caller sends.
    next_sequence: u32,
    /// Number of the next byte that the caller expects.
    expected_sequence: u32,
}

/// What the caller reads.
#[derive(Debug)]
struct IncomingPacket {
    kind: PacketKind,
    sequence: u32,
    from_relay: bool,
    data: Vec<u8>,
}

/// How a request on an open flow ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestEnd {
    /// The flow goes on.
    FlowOpen(RequestOutcome),
    /// The flow has ended with it.
    FlowClosed(RequestOutcome),
}

impl FlowCaller {
    /// Makes a caller at `address`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn new(
        address: SocketAddrV4,
        fabric: Rc<FlowFabric>,
        ledger: SharedLedger,
        seed: u64,
    ) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            address,
            socket: UdpSocket::from_std(socket)?,
            fabric,
            ledger,
            rng: SmallRng::seed_from_u64(seed),
            port: 1_024,
            requests: 0,
        })
    }

    /// Opens flows until the future is dropped.
    pub async fn run(mut self) {
        loop {
            let mut addresses: Vec<SocketAddrV4> = self
                .ledger
                .borrow()
                .routes()
                .by_address
                .keys()
                .copied()
                .collect();
            addresses.sort_unstable();
            if addresses.is_empty() {
                tokio::time::sleep(RETRANSMIT_MIN).await;
                continue;
            }
            let service = addresses[self.rng.random_range(0..addresses.len())];
            self.port = self.port.checked_add(1).unwrap_or(1_024);
            let flow = FlowAddresses {
                caller: SocketAddrV4::new(*self.address.ip(), self.port),
                service,
            };
            match self.open(flow).await {
                Some(mut open) => self.send_requests(&mut open).await,
                None => self.finish("", RequestOutcome::NotRun),
            }
            self.pause().await;
        }
    }

    async fn pause(&mut self) {
        let pause = match self.rng.random_ratio(1, LONG_PAUSE_ONE_IN) {
            true => LONG_PAUSE,
            false => PAUSE_MAX.mul_f64(self.rng.random_range(0.0..1.0)),
        };
        tokio::time::sleep(pause).await;
    }

    async fn open(&mut self, flow: FlowAddresses) -> Option<OpenFlow> {
        let start = Instant::now();
        for copies in 0..=RETRANSMIT_TIMES.len() {
            // Each copy carries its own time of sending, which the upstream's checks count from.
            let sequence = sequence_at(Instant::now());
            let kind = PacketKind::Opening {
                copies: u32::try_from(copies).unwrap_or_default(),
            };
            self.send(flow, kind, sequence, 0, &[]);
            let until = start
                + RETRANSMIT_TIMES
                    .get(copies)
                    .copied()
                    .unwrap_or(OPEN_TIMEOUT);
            while let Some(packet) = self.receive(flow, until).await {
                match packet.kind {
                    PacketKind::Accepting => {
                        let open = OpenFlow {
                            flow,
                            next_sequence: sequence.wrapping_add(1),
                            expected_sequence: packet.sequence.wrapping_add(1),
                        };
                        self.acknowledge(&open);
                        return Some(open);
                    }
                    PacketKind::Reset => return None,
                    _ => {}
                }
            }
        }
        None
    }

    async fn send_requests(&mut self, open: &mut OpenFlow) {
        for _ in 0..self.rng.random_range(1..=REQUESTS_MAX) {
            self.requests += 1;
            let name = format!("{}-{}", self.address.ip(), self.requests);
            let end = self.send_request(open, &name).await;
            let (RequestEnd::FlowOpen(outcome) | RequestEnd::FlowClosed(outcome)) = end;
            self.finish(&name, outcome);
            if matches!(end, RequestEnd::FlowClosed(_)) {
                return;
            }
            self.pause().await;
        }
        self.send(
            open.flow,
            PacketKind::Ending,
            open.next_sequence,
            open.expected_sequence,
            &[],
        );
    }

    fn finish(&self, name: &str, outcome: RequestOutcome) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.record_outcome(name, outcome, Instant::now());
    }

    /// Sends a request until its answer or its deadline.
    async fn send_request(&mut self, open: &mut OpenFlow, name: &str) -> RequestEnd {
        let data = request_head(name);
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let mut retransmit_interval = RETRANSMIT_MIN;
        self.ledger.borrow_mut().record_sent(name);
        while Instant::now() < deadline {
            self.send(
                open.flow,
                PacketKind::Established,
                open.next_sequence,
                open.expected_sequence,
                &data,
            );
            let until = (Instant::now() + retransmit_interval).min(deadline);
            retransmit_interval = (retransmit_interval * 2).min(RETRANSMIT_MAX);
            while let Some(packet) = self.receive(open.flow, until).await {
                if let Some(end) = self.handle_packet(open, name, &data, &packet) {
                    return end;
                }
            }
        }
        self.send(
            open.flow,
            PacketKind::Ending,
            open.next_sequence,
            open.expected_sequence,
            &[],
        );
        RequestEnd::FlowClosed(RequestOutcome::Failed)
    }

    fn handle_packet(
        &self,
        open: &mut OpenFlow,
        name: &str,
        data: &[u8],
        packet: &IncomingPacket,
    ) -> Option<RequestEnd> {
        if packet.kind == PacketKind::Reset {
            if packet.from_relay {
                let mut ledger = self.ledger.borrow_mut();
                ledger.check_reset(open.flow, Instant::now());
            }
            return Some(RequestEnd::FlowClosed(RequestOutcome::Failed));
        }
        if packet.data.is_empty() || packet.sequence != open.expected_sequence {
            return None;
        }
        let text = String::from_utf8_lossy(&packet.data).into_owned();
        let words: Vec<&str> = text.split(' ').collect();
        let outcome = match words.as_slice() {
            [request, _, status] if *request == name => match *status {
                RAN => RequestOutcome::Answered,
                NOT_RUN => RequestOutcome::NotRun,
                _ => RequestOutcome::Failed,
            },
            _ => {
                let details = format!("request {name} was answered with {text:?}");
                let mut ledger = self.ledger.borrow_mut();
                ledger.record_violation("MIXED", details, Instant::now());
                RequestOutcome::Failed
            }
        };
        open.next_sequence = open
            .next_sequence
            .wrapping_add(u32::try_from(data.len()).unwrap_or_default());
        open.expected_sequence = open
            .expected_sequence
            .wrapping_add(u32::try_from(packet.data.len()).unwrap_or_default());
        Some(match packet.kind {
            PacketKind::Ending => {
                self.send(
                    open.flow,
                    PacketKind::Ending,
                    open.next_sequence,
                    open.expected_sequence,
                    &[],
                );
                RequestEnd::FlowClosed(outcome)
            }
            _ => RequestEnd::FlowOpen(outcome),
        })
    }

    fn acknowledge(&self, open: &OpenFlow) {
        self.send(
            open.flow,
            PacketKind::Established,
            open.next_sequence,
            open.expected_sequence,
            &[],
        );
    }

    fn send(
        &self,
        flow: FlowAddresses,
        kind: PacketKind,
        sequence: u32,
        acknowledged: u32,
        data: &[u8],
    ) {
        let packet = OutgoingPacket {
            sender: PacketSender::Caller,
            flow,
            kind,
            sequence,
            acknowledged,
            data,
        };
        self.fabric.send(flow, &encode(&packet, checksum));
    }

    /// Returns the next packet of the flow that arrives before `until`; those of earlier flows are late and ignored.
    async fn receive(&self, flow: FlowAddresses, until: Instant) -> Option<IncomingPacket> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let received = timeout_at(until.into(), self.socket.recv_from(&mut buffer)).await;
            // An error belongs to an earlier send of the socket, which only receives.
            let Ok((length, _)) = received.ok()? else {
                continue;
            };
            let packet = match decode(&buffer[..length], PacketSender::Upstream, checksum) {
                Ok(packet) if packet.intact || packet.from_relay => packet,
                other => {
                    let details = format!("a caller got a packet that nobody wrote: {other:?}");
                    let mut ledger = self.ledger.borrow_mut();
                    ledger.record_violation("MIXED", details, Instant::now());
                    continue;
                }
            };
            if packet.head.flow != flow {
                continue;
            }
            return Some(IncomingPacket {
                kind: packet.head.kind,
                sequence: packet.sequence,
                from_relay: packet.from_relay,
                data: packet.data.to_vec(),
            });
        }
    }
}
