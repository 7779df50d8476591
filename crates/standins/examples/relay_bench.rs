//! Compares the packet rate of one traffic thread of an entry with that of a bare UDP forwarding loop, and measures the
//! memory that an entry uses for each open flow.
//!
//! Both receive from the same senders and forward to the same sink over the same kind of sockets. They are measured
//! alternately in several rounds, and the target applies to the median of the rounds' ratios, because rates vary on a
//! shared machine.
//!
//! `cargo run --release --example relay_bench`; takes about 30 seconds.

use anyhow::{Context, Result};
use quetzalhill::settings::{EntrySection, EntrySettings, ListenSettings, StoreSection};
use quetzalhill::shared::SharedState;
use quetzalhill::traffic::{self, TrafficHandle};
use quetzalhill_core::ids::id_of;
use quetzalhill_core::route::{RouteTable, ServiceRoute};
use quetzalhill_node::settings::{LogSettings, NodeSettings};
use quetzalhill_wire::cid::CidContent;
use quetzalhill_wire::key::{ControlKey, KeyRing};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Lower bound for the entry's packet rate divided by the bare loop's (docs/design.md, section 1).
const RATIO_TARGET: f64 = 0.80;

/// Upper bound for the memory growth in bytes per open flow. The target is no memory per flow, but resident memory
/// varies by a few pages.
const FLOW_BYTES_TARGET: f64 = 0.5;

const PAYLOAD_SIZES: [usize; 2] = [64, 1_200];
const ROUNDS: usize = 11;
const WARM_UP_TIME: Duration = Duration::from_millis(100);
const MEASURE_TIME: Duration = Duration::from_millis(400);

/// Time for which the senders continue after a measurement, so that none of them stops during it.
const SEND_MARGIN: Duration = Duration::from_millis(20);
const SENDERS: usize = 2;

/// Packets that a sender sends before it checks the time again.
const SEND_CHUNK: usize = 64;
const READ_TIMEOUT: Duration = Duration::from_millis(100);
const RECEIVE_BUFFER: usize = 4 << 20;
const DATAGRAM_MAX: usize = 2_048;

/// Connections over which the senders' packets are spread.
const CONNECTIONS: u32 = 1_024;

/// Flows that the memory measurement opens.
const FLOWS: u32 = 100_000;

/// Flows that are opened before the benchmark waits until the entry has handled their packets.
const FLOWS_PER_BATCH: u32 = 100;
const WARM_UP_FLOWS: u32 = 10_000;

/// Time limit for the entry to handle the packets in flight.
const BATCH_TIMEOUT: Duration = Duration::from_secs(2);

const SERVICE_NUMBER: u32 = 7;

fn main() -> Result<()> {
    let bench = RelayBench::start()?;
    println!("payload  bare/s  entry/s  offered/s  ratio  target  verdict");
    for size in PAYLOAD_SIZES {
        bench.compare(size)?;
    }
    bench.measure_memory()?;
    bench.stop()
}

/// Rates of one measurement, in packets a second.
#[derive(Clone, Copy, Debug)]
struct RateSample {
    offered: f64,
    delivered: f64,
}

/// The threads of the entry, the bare loop and the sink, which all run during the whole benchmark.
struct RelayBench {
    ring: KeyRing,
    state: Arc<SharedState>,
    entry: TrafficHandle,
    bare: SocketAddrV4,
    sink: SocketAddrV4,
    received: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl RelayBench {
    fn start() -> Result<Self> {
        let ring = KeyRing::new(ControlKey::new(1, &[0x5a; 32]), None);
        let state = SharedState::new(ring.clone());
        let entry = traffic::start(&entry_settings(), Arc::clone(&state))?;
        let stop = Arc::new(AtomicBool::new(false));
        let received = Arc::new(AtomicU64::new(0));
        let sink_socket = bind_socket()?;
        let sink = local_address(&sink_socket)?;
        let bare_socket = bind_socket()?;
        let bare = local_address(&bare_socket)?;
        let out = bind_socket()?;
        state.routes.store(Arc::new(sink_routes(&entry, sink)));
        let (count, stop_flag) = (received.clone(), stop.clone());
        let mut threads = vec![thread::spawn(move || {
            run_sink(&sink_socket, &count, &stop_flag)
        })];
        let stop_flag = stop.clone();
        threads.push(thread::spawn(move || {
            run_bare_loop(&bare_socket, &out, sink, &stop_flag);
        }));
        Ok(Self {
            ring,
            state,
            entry,
            bare,
            sink,
            received,
            stop,
            threads,
        })
    }

    fn stop(self) -> Result<()> {
        self.stop.store(true, Ordering::Release);
        for thread in self.threads {
            thread.join().ok().context("a thread panicked")?;
        }
        self.entry.stop()
    }

    /// Measures the bare loop and the entry alternately with packets of `size` bytes and prints the medians.
    fn compare(&self, size: usize) -> Result<()> {
        let packets = self.packets(size);
        let entry = self.entry.listen_addresses()[0];
        let mut bare_rates = Vec::new();
        let mut entry_rates = Vec::new();
        let mut offered = Vec::new();
        let mut ratios = Vec::new();
        for round in 0..ROUNDS {
            // Every other round starts with the entry, so that a drift of the machine's speed favours neither.
            let (bare_sample, entry_sample) = match round % 2 {
                0 => {
                    let first = self.sample(self.bare, &packets)?;
                    (first, self.sample(entry, &packets)?)
                }
                _ => {
                    let first = self.sample(entry, &packets)?;
                    (self.sample(self.bare, &packets)?, first)
                }
            };
            bare_rates.push(bare_sample.delivered);
            entry_rates.push(entry_sample.delivered);
            offered.push(entry_sample.offered);
            ratios.push(entry_sample.delivered / bare_sample.delivered);
        }
        let ratio = median(&mut ratios);
        let (bare, entry) = (median(&mut bare_rates), median(&mut entry_rates));
        let offered = median(&mut offered);
        let verdict = verdict(ratio >= RATIO_TARGET);
        println!("{size:>7}  {bare:>6.0}  {entry:>7.0}  {offered:>9.0}  {ratio:>5.2}  {RATIO_TARGET:>6.2}  {verdict}");
        let (min, max) = (ratios[0], ratios[ratios.len() - 1]);
        println!("         ratios of {ROUNDS} rounds from {min:.2} to {max:.2}");
        Ok(())
    }

    /// Sends as fast as possible to `relay` and measures the rates of sent packets and of packets that reach the sink.
    fn sample(&self, relay: SocketAddrV4, packets: &[Vec<u8>]) -> Result<RateSample> {
        let sent = AtomicU64::new(0);
        let end = Instant::now() + WARM_UP_TIME + MEASURE_TIME + SEND_MARGIN;
        let sockets = (0..SENDERS)
            .map(|_| bind_socket())
            .collect::<Result<Vec<_>>>()?;
        let sample = thread::scope(|scope| {
            for socket in &sockets {
                scope.spawn(|| run_sender(socket, relay, packets, &sent, end));
            }
            thread::sleep(WARM_UP_TIME);
            let start = Instant::now();
            let before = (
                self.received.load(Ordering::Relaxed),
                sent.load(Ordering::Relaxed),
            );
            thread::sleep(MEASURE_TIME);
            let after = (
                self.received.load(Ordering::Relaxed),
                sent.load(Ordering::Relaxed),
            );
            let seconds = start.elapsed().as_secs_f64();
            RateSample {
                delivered: rate(after.0 - before.0, seconds),
                offered: rate(after.1 - before.1, seconds),
            }
        });
        // Gives the relay time to empty its receive buffer before the next measurement.
        thread::sleep(READ_TIMEOUT);
        Ok(sample)
    }

    /// Returns one packet of `size` bytes for each connection, with a connection id that leads to the sink.
    fn packets(&self, size: usize) -> Vec<Vec<u8>> {
        (0..CONNECTIONS)
            .map(|nonce| self.established_packet(nonce, size))
            .collect()
    }

    fn established_packet(&self, nonce: u32, size: usize) -> Vec<u8> {
        let cid = CidContent::new(self.sink, SERVICE_NUMBER, 1, nonce).seal(&self.ring);
        let mut packet = vec![0x40];
        packet.extend(cid);
        packet.resize(size, 0xa5);
        packet
    }

    /// Prints the growth of this process's resident memory per open flow.
    fn measure_memory(&self) -> Result<()> {
        self.open_flows(0..WARM_UP_FLOWS)?;
        let before = resident_bytes()?;
        self.open_flows(WARM_UP_FLOWS..WARM_UP_FLOWS + FLOWS)?;
        let after = resident_bytes()?;
        let bytes = (after - before) / f64::from(FLOWS);
        let verdict = verdict(bytes < FLOW_BYTES_TARGET);
        println!("memory for each of {FLOWS} open flows: {bytes:.2} bytes, target 0, {verdict}");
        Ok(())
    }

    /// For each number, sends the first packet of a new flow and a packet of an established one.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry misses or drops a packet.
    fn open_flows(&self, numbers: std::ops::Range<u32>) -> Result<()> {
        let socket = bind_socket()?;
        let entry = self.entry.listen_addresses()[0];
        let counters = &self.state.counters.to_agent;
        let handled = || counters.packets() + counters.all_drops();
        let mut expected = handled();
        for number in numbers {
            socket.send_to(&first_packet(number), entry)?;
            socket.send_to(&self.established_packet(number, 64), entry)?;
            expected += 2;
            if number % FLOWS_PER_BATCH != 0 {
                continue;
            }
            let end = Instant::now() + BATCH_TIMEOUT;
            while handled() < expected {
                anyhow::ensure!(
                    Instant::now() < end,
                    "the entry did not handle all packets up to flow {number} in time"
                );
                thread::sleep(Duration::from_micros(200));
            }
        }
        anyhow::ensure!(counters.all_drops() == 0, "the entry dropped packets");
        Ok(())
    }
}

fn entry_settings() -> EntrySettings {
    let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    EntrySettings {
        node: NodeSettings {
            zone: "a".into(),
            control: any_port,
            admin: any_port,
            control_key: String::new(),
            previous_key: None,
        },
        log: LogSettings::default(),
        entry: EntrySection {
            listen: vec![ListenSettings {
                bind: any_port,
                address: None,
            }],
            data: any_port,
            seeds: Vec::new(),
            threads: 1,
            linger_s: 0,
        },
        store: StoreSection::default(),
    }
}

/// Returns a route table with one service whose only endpoint is the sink.
fn sink_routes(entry: &TrafficHandle, sink: SocketAddrV4) -> RouteTable {
    RouteTable {
        by_address: [(entry.listen_addresses()[0], 0)].into(),
        services: vec![ServiceRoute {
            name: "feed".into(),
            number: SERVICE_NUMBER,
            new_flows_per_s: u32::MAX,
            ready: vec![id_of(sink)],
        }],
    }
}

fn first_packet(number: u32) -> Vec<u8> {
    let mut packet = vec![0xc0, 0, 0, 0, 1, 8, 0, 0, 0, 0];
    packet.extend(number.to_be_bytes());
    packet.push(0);
    packet.resize(64, 0xa5);
    packet
}

fn bind_socket() -> Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    // The kernel limits the size, for the entry's sockets in the same way.
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER);
    Ok(socket)
}

fn local_address(socket: &UdpSocket) -> Result<SocketAddrV4> {
    match socket.local_addr()? {
        SocketAddr::V4(address) => Ok(address),
        SocketAddr::V6(address) => anyhow::bail!("{address} is not an IPv4 address"),
    }
}

fn run_sender(
    socket: &UdpSocket,
    relay: SocketAddrV4,
    packets: &[Vec<u8>],
    sent: &AtomicU64,
    end: Instant,
) {
    for chunk in packets.chunks(SEND_CHUNK).cycle() {
        if Instant::now() >= end {
            return;
        }
        for packet in chunk {
            if socket.send_to(packet, relay).is_ok() {
                sent.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

fn run_bare_loop(socket: &UdpSocket, out: &UdpSocket, sink: SocketAddrV4, stop: &AtomicBool) {
    let mut buffer = [0; DATAGRAM_MAX];
    while !stop.load(Ordering::Acquire) {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        // A packet that cannot be sent is missing from the sink's count.
        let _ = out.send_to(&buffer[..length], sink);
    }
}

fn run_sink(socket: &UdpSocket, received: &AtomicU64, stop: &AtomicBool) {
    let mut buffer = [0; DATAGRAM_MAX];
    while !stop.load(Ordering::Acquire) {
        if socket.recv_from(&mut buffer).is_ok() {
            received.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn rate(count: u64, seconds: f64) -> f64 {
    // CAST: Packet counts of one measurement are far below 2^53.
    count as f64 / seconds
}

/// Sorts `values` and returns the middle one.
fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn verdict(is_met: bool) -> &'static str {
    match is_met {
        true => "ok",
        false => "short",
    }
}

/// Returns the resident anonymous memory of this process in bytes; the entry's threads run in it.
fn resident_bytes() -> Result<f64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let kib: f64 = line
        .and_then(|line| line.trim().strip_suffix(" kB"))
        .context("no RssAnon in /proc/self/status")?
        .trim()
        .parse()?;
    Ok(kib * 1_024.0)
}
