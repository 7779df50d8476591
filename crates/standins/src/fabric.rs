//! Stand-in for the fabric: sends each packet that arrives at a service address to a randomly chosen entry.
//!
//! For each caller address it opens one socket, from which it forwards the caller's packets to the entries and on
//! which it receives their replies. The entries, the delay, the loss and the duplication can be changed while it runs.

use crate::delay::{DelayHandle, DelayLine};
use anyhow::{Context, Result};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

/// Size of the receive buffer; no UDP datagram is larger.
const DATAGRAM_MAX_BYTES: usize = 65_536;

/// Number of datagrams of callers that are kept for [`FabricStandin::replay`].
const RECENT_DATAGRAMS_MAX: usize = 1_000;

/// Destinations of callers' packets, and impairments that the fabric applies in both directions, to each packet
/// independently.
#[derive(Clone, Debug, Default)]
pub struct FabricRules {
    /// Listener addresses of the entries that receive packets; without any, packets of callers are dropped.
    pub entries: Vec<SocketAddrV4>,
    /// One-way delay.
    pub delay: Duration,
    /// Upper bound of an additional delay, uniformly distributed from zero, which also reorders packets.
    pub jitter: Duration,
    /// Probability that a packet is dropped, from 0 to 1.
    pub loss: f64,
    /// Probability that a packet is delivered twice, from 0 to 1.
    pub duplicate: f64,
}

/// Packet counters of the fabric.
#[derive(Debug, Default)]
pub struct FabricCounters {
    /// Packets received from callers, including those that are dropped afterwards.
    pub to_entries: AtomicU64,
    /// Packets received from entries, including those that are dropped afterwards.
    pub to_callers: AtomicU64,
    /// Packets dropped because of the loss rate or because there is no entry.
    pub lost: AtomicU64,
}

struct FabricState {
    rules: Mutex<FabricRules>,
    rng: Mutex<SmallRng>,
    counters: FabricCounters,
    delay: DelayHandle,
    recording: AtomicBool,
    recent: Mutex<VecDeque<RecordedPacket>>,
}

/// A datagram of a caller, with the socket from which the fabric forwards the packets of this caller.
struct RecordedPacket {
    caller_socket: Arc<std::net::UdpSocket>,
    payload: Vec<u8>,
}

/// The fabric in front of one service address.
pub struct FabricStandin {
    address: SocketAddrV4,
    state: Arc<FabricState>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    _line: DelayLine,
}

impl FabricStandin {
    /// Starts the fabric on `address`, to which callers send; `seed` seeds the choice of entries and the impairments.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is not IPv4 or cannot be bound, or if the runtime cannot be built.
    pub fn start(address: SocketAddrV4, rules: FabricRules, seed: u64) -> Result<Self> {
        let socket = std::net::UdpSocket::bind(address)
            .with_context(|| format!("fabric address {address}"))?;
        socket.set_nonblocking(true)?;
        let SocketAddr::V4(address) = socket.local_addr()? else {
            anyhow::bail!("fabric address {address} is not IPv4");
        };
        let line = DelayLine::start();
        let state = Arc::new(FabricState {
            rules: Mutex::new(rules),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            counters: FabricCounters::default(),
            delay: line.handle(),
            recording: AtomicBool::new(false),
            recent: Mutex::default(),
        });
        let (stop, stopped) = oneshot::channel();
        let shared = Arc::clone(&state);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = thread::spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    result = receive(socket, shared) => {
                        if let Err(error) = result {
                            log::error!("fabric {address} stopped: {error}");
                        }
                    }
                    _ = stopped => {}
                }
            });
        });
        Ok(Self {
            address,
            state,
            stop: Some(stop),
            thread: Some(thread),
            _line: line,
        })
    }

    /// Returns the address to which callers send, with the port that was bound if `start` was given port 0.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Changes the rules for all packets that arrive from now on.
    pub fn update_rules(&self, update: impl FnOnce(&mut FabricRules)) {
        update(
            &mut self
                .state
                .rules
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
    }

    /// Starts to keep the last 1,000 datagrams of callers for [`FabricStandin::replay`].
    pub fn start_recording(&self) {
        self.state.recording.store(true, Ordering::Relaxed);
    }

    /// Sends up to `count` of the last recorded datagrams again, each to a newly chosen entry, and returns how many
    /// were sent.
    pub fn replay(&self, count: usize) -> usize {
        let recent = self
            .state
            .recent
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut sent = 0;
        for packet in recent.iter().rev().take(count) {
            let delivery = self.state.draw_delivery();
            let Some(entry) = delivery.entry else {
                continue;
            };
            self.state
                .send(&packet.caller_socket, entry, &packet.payload, &delivery);
            sent += 1;
        }
        sent
    }

    /// Returns the packet counters since the start.
    pub fn counters(&self) -> &FabricCounters {
        &self.state.counters
    }
}

impl Drop for FabricStandin {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// How one packet is delivered, drawn at random according to the rules.
struct PacketDelivery {
    entry: Option<SocketAddrV4>,
    copies: u8,
    due: Option<Instant>,
}

impl FabricState {
    fn record_datagram(&self, caller_socket: &Arc<std::net::UdpSocket>, payload: &[u8]) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.len() == RECENT_DATAGRAMS_MAX {
            recent.pop_front();
        }
        recent.push_back(RecordedPacket {
            caller_socket: Arc::clone(caller_socket),
            payload: payload.to_vec(),
        });
    }

    fn draw_delivery(&self) -> PacketDelivery {
        let rules = self.rules.lock().unwrap_or_else(PoisonError::into_inner);
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = match rules.entries.len() {
            0 => None,
            count => Some(rules.entries[rng.random_range(0..count)]),
        };
        let mut copies = 1;
        if rules.loss > 0.0 && rng.random_bool(rules.loss) {
            copies = 0;
        }
        if rules.duplicate > 0.0 && rng.random_bool(rules.duplicate) {
            copies *= 2;
        }
        let mut delay = rules.delay;
        if !rules.jitter.is_zero() {
            delay += rules.jitter.mul_f64(rng.random());
        }
        let due = (!delay.is_zero()).then(|| Instant::now() + delay);
        PacketDelivery { entry, copies, due }
    }

    fn send(
        &self,
        socket: &Arc<std::net::UdpSocket>,
        to: SocketAddrV4,
        packet: &[u8],
        delivery: &PacketDelivery,
    ) {
        if delivery.copies == 0 {
            self.counters.lost.fetch_add(1, Ordering::Relaxed);
        }
        for _ in 0..delivery.copies {
            let Some(due) = delivery.due else {
                // If the socket buffer is full, the packet is dropped, as on a real network.
                let _ = socket.send_to(packet, to);
                continue;
            };
            let socket = Arc::clone(socket);
            let packet = packet.to_vec();
            self.delay.run_at(due, move || {
                let _ = socket.send_to(&packet, to);
            });
        }
    }
}

async fn receive(service_socket: std::net::UdpSocket, state: Arc<FabricState>) -> Result<()> {
    let sender = Arc::new(service_socket.try_clone()?);
    let service_socket = UdpSocket::from_std(service_socket)?;
    let mut callers: HashMap<SocketAddrV4, Arc<std::net::UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, from)) = service_socket.recv_from(&mut buffer).await else {
            continue;
        };
        let SocketAddr::V4(caller) = from else {
            continue;
        };
        state.counters.to_entries.fetch_add(1, Ordering::Relaxed);
        let caller_socket = match callers.get(&caller) {
            Some(caller_socket) => Arc::clone(caller_socket),
            None => {
                let caller_socket =
                    open_caller_socket(caller, Arc::clone(&sender), Arc::clone(&state))?;
                callers.insert(caller, Arc::clone(&caller_socket));
                caller_socket
            }
        };
        if state.recording.load(Ordering::Relaxed) {
            state.record_datagram(&caller_socket, &buffer[..length]);
        }
        let delivery = state.draw_delivery();
        let Some(entry) = delivery.entry else {
            state.counters.lost.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        state.send(&caller_socket, entry, &buffer[..length], &delivery);
    }
}

fn open_caller_socket(
    caller: SocketAddrV4,
    service_socket: Arc<std::net::UdpSocket>,
    state: Arc<FabricState>,
) -> Result<Arc<std::net::UdpSocket>> {
    let caller_socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    caller_socket.set_nonblocking(true)?;
    let sender = Arc::new(caller_socket.try_clone()?);
    let caller_socket = UdpSocket::from_std(caller_socket)?;
    tokio::spawn(async move {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            let Ok((length, _)) = caller_socket.recv_from(&mut buffer).await else {
                continue;
            };
            state.counters.to_callers.fetch_add(1, Ordering::Relaxed);
            let delivery = state.draw_delivery();
            state.send(&service_socket, caller, &buffer[..length], &delivery);
        }
    });
    Ok(sender)
}
