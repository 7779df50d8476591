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
const COPY_TIMES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Time after which an attempt to open a flow ends (the platform's).
const OPEN_LIMIT: Duration = Duration::from_millis(1_400);

/// Time after which a request is given up; the longest of the first site's kinds but downloads.
const REQUEST_LIMIT: Duration = Duration::from_millis(3_000);

/// Pause before the first repetition of a packet, and the longest (the platform's).
const REPEAT_MIN: Duration = Duration::from_millis(200);
const REPEAT_MAX: Duration = Duration::from_millis(1_600);

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
    next: u32,
    /// Number of the next byte that the caller expects.
    expected: u32,
}

/// What the caller reads.
#[derive(Debug)]
struct HeardPacket {
    kind: PacketKind,
    sequence: u32,
    from_system: bool,
    data: Vec<u8>,
}

/// How a request on an open flow ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestEnd {
    /// The flow goes on.
    Next(RequestOutcome),
    /// The flow has ended with it.
    Closed(RequestOutcome),
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
                tokio::time::sleep(REPEAT_MIN).await;
                continue;
            }
            let service = addresses[self.rng.random_range(0..addresses.len())];
            self.port = self.port.checked_add(1).unwrap_or(1_024);
            let flow = FlowAddresses {
                caller: SocketAddrV4::new(*self.address.ip(), self.port),
                service,
            };
            match self.open(flow).await {
                Some(mut open) => self.use_flow(&mut open).await,
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
        for copies in 0..=COPY_TIMES.len() {
            // Each copy carries its own time of sending, which the upstream's checks count from.
            let sequence = sequence_at(Instant::now());
            let kind = PacketKind::Opening {
                copies: u32::try_from(copies).unwrap_or_default(),
            };
            self.send(flow, kind, sequence, 0, &[]);
            let until = start + COPY_TIMES.get(copies).copied().unwrap_or(OPEN_LIMIT);
            while let Some(heard) = self.hear(flow, until).await {
                match heard.kind {
                    PacketKind::Accepting => {
                        let open = OpenFlow {
                            flow,
                            next: sequence.wrapping_add(1),
                            expected: heard.sequence.wrapping_add(1),
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

    async fn use_flow(&mut self, open: &mut OpenFlow) {
        for _ in 0..self.rng.random_range(1..=REQUESTS_MAX) {
            self.requests += 1;
            let name = format!("{}-{}", self.address.ip(), self.requests);
            let end = self.ask(open, &name).await;
            let (RequestEnd::Next(outcome) | RequestEnd::Closed(outcome)) = end;
            self.finish(&name, outcome);
            if matches!(end, RequestEnd::Closed(_)) {
                return;
            }
            self.pause().await;
        }
        self.send(open.flow, PacketKind::Ending, open.next, open.expected, &[]);
    }

    fn finish(&self, name: &str, outcome: RequestOutcome) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.finished(name, outcome, Instant::now());
    }

    /// Sends a request until its answer or its deadline.
    async fn ask(&mut self, open: &mut OpenFlow, name: &str) -> RequestEnd {
        let data = request_head(name);
        let deadline = Instant::now() + REQUEST_LIMIT;
        let mut repeat = REPEAT_MIN;
        self.ledger.borrow_mut().sent(name);
        while Instant::now() < deadline {
            self.send(
                open.flow,
                PacketKind::Established,
                open.next,
                open.expected,
                &data,
            );
            let until = (Instant::now() + repeat).min(deadline);
            repeat = (repeat * 2).min(REPEAT_MAX);
            while let Some(heard) = self.hear(open.flow, until).await {
                if let Some(end) = self.take(open, name, &data, &heard) {
                    return end;
                }
            }
        }
        self.send(open.flow, PacketKind::Ending, open.next, open.expected, &[]);
        RequestEnd::Closed(RequestOutcome::Failed)
    }

    fn take(
        &self,
        open: &mut OpenFlow,
        name: &str,
        data: &[u8],
        heard: &HeardPacket,
    ) -> Option<RequestEnd> {
        if heard.kind == PacketKind::Reset {
            if heard.from_system {
                let mut ledger = self.ledger.borrow_mut();
                ledger.check_reset(open.flow, Instant::now());
            }
            return Some(RequestEnd::Closed(RequestOutcome::Failed));
        }
        if heard.data.is_empty() || heard.sequence != open.expected {
            return None;
        }
        let text = String::from_utf8_lossy(&heard.data).into_owned();
        let words: Vec<&str> = text.split(' ').collect();
        let outcome = match words.as_slice() {
            [answered, _, word] if *answered == name => match *word {
                RAN => RequestOutcome::Answered,
                NOT_RUN => RequestOutcome::NotRun,
                _ => RequestOutcome::Failed,
            },
            _ => {
                let what = format!("request {name} was answered with {text:?}");
                let mut ledger = self.ledger.borrow_mut();
                ledger.violation("MIXED", what, Instant::now());
                RequestOutcome::Failed
            }
        };
        open.next = open
            .next
            .wrapping_add(u32::try_from(data.len()).unwrap_or_default());
        open.expected = open
            .expected
            .wrapping_add(u32::try_from(heard.data.len()).unwrap_or_default());
        Some(match heard.kind {
            PacketKind::Ending => {
                self.send(open.flow, PacketKind::Ending, open.next, open.expected, &[]);
                RequestEnd::Closed(outcome)
            }
            _ => RequestEnd::Next(outcome),
        })
    }

    fn acknowledge(&self, open: &OpenFlow) {
        self.send(
            open.flow,
            PacketKind::Established,
            open.next,
            open.expected,
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
        let end = OutgoingPacket {
            sender: PacketSender::Caller,
            flow,
            kind,
            sequence,
            acknowledged,
            data,
        };
        self.fabric.send(flow, &encode(&end, checksum));
    }

    /// Returns the next packet of the flow that arrives before `until`; those of earlier flows are late and ignored.
    async fn hear(&self, flow: FlowAddresses, until: Instant) -> Option<HeardPacket> {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let received = timeout_at(until.into(), self.socket.recv_from(&mut buffer)).await;
            // An error belongs to an earlier send of the socket, which only receives.
            let Ok((length, _)) = received.ok()? else {
                continue;
            };
            let end = match decode(&buffer[..length], PacketSender::Upstream, checksum) {
                Ok(end) if end.intact || end.from_relay => end,
                other => {
                    let what = format!("a caller got a packet that nobody wrote: {other:?}");
                    let mut ledger = self.ledger.borrow_mut();
                    ledger.violation("MIXED", what, Instant::now());
                    continue;
                }
            };
            if end.head.flow != flow {
                continue;
            }
            return Some(HeardPacket {
                kind: end.head.kind,
                sequence: end.sequence,
                from_system: end.from_relay,
                data: end.data.to_vec(),
            });
        }
    }
}
