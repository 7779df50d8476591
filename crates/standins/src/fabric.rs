//! Stand-in for the fabric: sprays each packet of a service address over the entries.
//!
//! For each caller address it keeps one socket, from which entries see the caller's packets and to which they
//! send the replies. Delay, loss, duplication and cuts can be changed while it runs.

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

const DATAGRAM_MAX_BYTES: usize = 65_536;

/// Datagrams of callers that are kept for a replay.
const RECENT_DATAGRAMS_MAX: usize = 1_000;

/// How the fabric treats packets; each direction of a packet is treated by itself.
#[derive(Clone, Debug, Default)]
pub struct FabricRules {
    /// Entry listeners that receive packets.
    pub entries: Vec<SocketAddrV4>,
    /// One-way delay.
    pub delay: Duration,
    /// Further delay, drawn evenly from zero to this, which also reorders packets.
    pub jitter: Duration,
    /// Share of packets that are lost, from 0 to 1.
    pub loss: f64,
    /// Share of packets that are delivered twice, from 0 to 1.
    pub duplicate: f64,
}

/// What the fabric has counted.
#[derive(Debug, Default)]
pub struct FabricCounters {
    /// Packets from callers.
    pub to_entries: AtomicU64,
    /// Packets to callers.
    pub to_callers: AtomicU64,
    /// Packets that the rules dropped.
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

/// A datagram of a caller, with the socket that the fabric keeps for the caller.
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
    /// Starts the fabric on `address`, which callers use; `seed` decides which entry gets each packet.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
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
                            log::error!("fabric {address}: {error}");
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

    /// Returns the address that callers use.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Changes how packets are treated from now on.
    pub fn update_rules(&self, update: impl FnOnce(&mut FabricRules)) {
        update(
            &mut self
                .state
                .rules
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
    }

    /// Keeps the last 1,000 datagrams of callers from now on, for [`FabricStandin::replay`].
    pub fn start_recording(&self) {
        self.state.recording.store(true, Ordering::Relaxed);
    }

    /// Sends up to `count` of the last datagrams of callers once more, each to an entry drawn anew, and returns how
    /// many were sent.
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

    /// Returns what has been counted.
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

/// What happens to one packet.
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
                // A full socket buffer loses the packet, as a network would.
                let _ = socket.send_to(packet, to);
                continue;
            };
            let socket = Arc::clone(socket);
            let packet = packet.to_vec();
            self.delay.at(due, move || {
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
