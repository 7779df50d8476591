//! Stand-in for a caller: opens one flow after the other and sends requests on each.

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

/// Times of the retransmissions of a first packet, from the first transmission (set by the platform).
const RETRANSMIT_TIMES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Time after which a caller gives up opening a flow (set by the platform).
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Time after which a caller gives up a request: the longest limit that the first site has for any kind of request but
/// downloads.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time after which a caller of [`CallerPace::Idle`] gives up a request: the limit that the first site has for downloads.
/// Its flows outlive the outage of an agent.
const IDLE_REQUEST_TIMEOUT: Duration = Duration::from_millis(8_000);

/// Time until the first retransmission of a request; it doubles with each retransmission (set by the platform).
const RETRANSMIT_MIN: Duration = Duration::from_millis(200);

/// Longest time between two retransmissions of a request (set by the platform).
const RETRANSMIT_MAX: Duration = Duration::from_millis(1_600);

/// Largest number of requests on a flow.
const REQUESTS_MAX: u32 = 40;

/// Longest pause between two requests of a flow.
const PAUSE_MAX: Duration = Duration::from_millis(150);

/// One in this many pauses is a [`LONG_PAUSE`], so that flows are idle while processes stop and start.
const LONG_PAUSE_ONE_IN: u32 = 12;

/// Longer than most faults last.
const LONG_PAUSE: Duration = Duration::from_millis(2_500);

/// Longest pause of [`CallerPace::Idle`].
const IDLE_PAUSE_MAX: Duration = Duration::from_millis(8_000);

/// How long a caller waits between two requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerPace {
    /// Short pauses, with a [`LONG_PAUSE`] now and then.
    Busy,
    /// Pauses of up to [`IDLE_PAUSE_MAX`], so that flows are idle during whole outages, and [`IDLE_REQUEST_TIMEOUT`].
    Idle,
}

/// A caller, which uses one flow at a time and a new port for each.
#[derive(Debug)]
pub struct FlowCaller {
    address: SocketAddrV4,
    socket: UdpSocket,
    fabric: Rc<FlowFabric>,
    ledger: SharedLedger,
    rng: SmallRng,
    pace: CallerPace,
    port: u16,
    requests: u64,
}

/// State of an open flow at its caller.
#[derive(Debug)]
struct OpenFlow {
    flow: FlowAddresses,
    /// Sequence number of the next byte that the caller sends.
    next_sequence: u32,
    /// Sequence number of the next byte that the caller expects.
    expected_sequence: u32,
}

/// Parts of a received packet that the caller needs.
#[derive(Debug)]
struct IncomingPacket {
    kind: PacketKind,
    sequence: u32,
    from_relay: bool,
    data: Vec<u8>,
}

/// Outcome of a request and state of its flow afterwards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestEnd {
    /// The flow is still open.
    FlowOpen(RequestOutcome),
    /// The flow is closed.
    FlowClosed(RequestOutcome),
}

impl FlowCaller {
    /// Creates a caller at `address`; `seed` and `pace` determine its flows, requests and pauses.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn new(
        address: SocketAddrV4,
        fabric: Rc<FlowFabric>,
        ledger: SharedLedger,
        seed: u64,
        pace: CallerPace,
    ) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            address,
            socket: UdpSocket::from_std(socket)?,
            fabric,
            ledger,
            rng: SmallRng::seed_from_u64(seed),
            pace,
            port: 1_024,
            requests: 0,
        })
    }

    /// Opens and uses flows until the future is dropped.
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
        let pause = match self.pace {
            CallerPace::Idle => IDLE_PAUSE_MAX.mul_f64(self.rng.random_range(0.0..1.0)),
            CallerPace::Busy if self.rng.random_ratio(1, LONG_PAUSE_ONE_IN) => LONG_PAUSE,
            CallerPace::Busy => PAUSE_MAX.mul_f64(self.rng.random_range(0.0..1.0)),
        };
        tokio::time::sleep(pause).await;
    }

    async fn open(&mut self, flow: FlowAddresses) -> Option<OpenFlow> {
        let start = Instant::now();
        for copies in 0..=RETRANSMIT_TIMES.len() {
            // Each transmission carries its send time, from which the upstream's checks measure their time limits.
            let sequence = sequence_at(Instant::now());
            let kind = PacketKind::Opening {
                copies: u32::try_from(copies).unwrap_or_default(),
            };
            if let Some(entry) = self.send(flow, kind, sequence, 0, &[]) {
                let mut ledger = self.ledger.borrow_mut();
                ledger.record_opening(flow, entry, start);
            }
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
                    PacketKind::Reset => {
                        if packet.from_relay {
                            let mut ledger = self.ledger.borrow_mut();
                            ledger.check_refusal(flow, Instant::now());
                        }
                        return None;
                    }
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

    /// Sends a request and retransmits it until it is answered, its flow is closed or its deadline has passed.
    async fn send_request(&mut self, open: &mut OpenFlow, name: &str) -> RequestEnd {
        let data = request_head(name);
        let sent = Instant::now();
        let deadline = sent
            + match self.pace {
                CallerPace::Busy => REQUEST_TIMEOUT,
                CallerPace::Idle => IDLE_REQUEST_TIMEOUT,
            };
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
        let now = Instant::now();
        self.ledger.borrow_mut().check_reached(open.flow, sent, now);
        self.send(
            open.flow,
            PacketKind::Ending,
            open.next_sequence,
            open.expected_sequence,
            &[],
        );
        RequestEnd::FlowClosed(RequestOutcome::Failed)
    }

    /// Returns the end of the request, or `None` if the packet is neither a reset nor the answer.
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

    /// Sends a packet, and returns the index of the entry that gets it, or `None` if it is lost.
    fn send(
        &self,
        flow: FlowAddresses,
        kind: PacketKind,
        sequence: u32,
        acknowledged: u32,
        data: &[u8],
    ) -> Option<usize> {
        let packet = OutgoingPacket {
            sender: PacketSender::Caller,
            flow,
            kind,
            sequence,
            acknowledged,
            data,
        };
        self.fabric.send(flow, &encode(&packet, checksum))
    }

    /// Returns the next packet of the flow that arrives before `until`. Late packets of earlier flows are ignored.
    async fn receive(&self, flow: FlowAddresses, until: Instant) -> Option<IncomingPacket> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let received = timeout_at(until.into(), self.socket.recv_from(&mut buffer)).await;
            // A receive error does not concern the flow, since the socket never sends; the next packet may still come.
            let Ok((length, _)) = received.ok()? else {
                continue;
            };
            let packet = match decode(&buffer[..length], PacketSender::Upstream, checksum) {
                Ok(packet) if packet.intact || packet.from_relay => packet,
                other => {
                    let details =
                        format!("a caller received a malformed or altered packet: {other:?}");
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
