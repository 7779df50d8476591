//! The traffic thread of an agent, which terminates QUIC connections and passes their requests to the upstream.

pub(crate) mod answer;
pub(crate) mod body;
mod connection;
pub(crate) mod context;
pub mod counters;
pub(crate) mod headers;
mod health;
mod once;
mod paths;
mod quic;
pub(crate) mod relay;
pub(crate) mod request;
pub(crate) mod run;
pub(crate) mod scheduler;
pub mod socket;
pub(crate) mod transport;
mod upstream;

use crate::handover::control::PeerSocket;
use crate::handover::serve;
use crate::settings::{AgentSection, AgentSettings};
use crate::shared::{SharedState, TrafficEvent};
use anyhow::{anyhow, Context, Result};
use context::{ContextParts, TrafficContext};
use counters::{PacketCounters, PeerCounters};
use ntex::rt::{DefaultRuntime, System};
use quetzalhill_core::catalogue::LimitSet;
use quetzalhill_core::dispatch::{DispatchController, DispatchEvent};
use quetzalhill_core::ids::{id_of, EndpointId};
use quetzalhill_core::member::{EndpointRecord, EndpointState};
use quetzalhill_core::once::{OnceController, OnceLimits};
use quetzalhill_node::event::{emit, EventCode};
use quinn::{Endpoint, TokioRuntime};
use scheduler::RequestScheduler;
use socket::PacketSocket;
use std::net::{TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, watch};
use upstream::UpstreamClient;

/// Size of each kernel buffer of the packet socket, enough for a burst of a few thousand packets.
const SOCKET_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Interval at which a drain checks for open flows, and retries a full channel.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for sending the last packets after all connections have been closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Handle of the running traffic thread; dropping it stops the thread.
#[derive(Debug)]
pub struct TrafficHandle {
    stop: watch::Sender<bool>,
    drained: Arc<DrainSignal>,
    counters: Arc<PacketCounters>,
    peer_counters: Arc<PeerCounters>,
    flows: Arc<AtomicU32>,
    thread: Option<JoinHandle<()>>,
}

impl TrafficHandle {
    /// Closes all connections immediately, stops the thread and waits until it has ended.
    pub fn stop(mut self) {
        self.stop_and_join();
    }

    /// Waits until a drain has ended; returns false if it has not ended after `limit`.
    ///
    /// A drain starts when the state of the view becomes `Draining` and lasts at most `agent.drain_limit_s`.
    pub fn wait_drained(&self, limit: Duration) -> bool {
        self.drained.wait(limit)
    }

    /// Returns the counters of the packet socket.
    pub fn counters(&self) -> &Arc<PacketCounters> {
        &self.counters
    }

    /// Returns the counters of the traffic between this agent and its peers.
    pub fn peer_counters(&self) -> &Arc<PeerCounters> {
        &self.peer_counters
    }

    /// Returns the number of open flows.
    pub fn flows(&self) -> u32 {
        self.flows.load(Ordering::Relaxed)
    }

    fn stop_and_join(&mut self) {
        let _ = self.stop.send(true);
        let Some(thread) = self.thread.take() else {
            return;
        };
        if thread.join().is_err() {
            emit(EventCode::TaskFailed, &[("task", &"traffic")]);
        }
    }
}

impl Drop for TrafficHandle {
    fn drop(&mut self) {
        self.stop_and_join();
    }
}

/// Signals the end of a drain to other threads.
#[derive(Debug, Default)]
struct DrainSignal {
    ended: Mutex<bool>,
    changed: Condvar,
}

impl DrainSignal {
    fn set(&self) {
        *self.ended.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.changed.notify_all();
    }

    fn wait(&self, limit: Duration) -> bool {
        let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
        let (ended, _) = self
            .changed
            .wait_timeout_while(ended, limit, |ended| !*ended)
            .unwrap_or_else(PoisonError::into_inner);
        *ended
    }
}

/// Sockets bound to `agent.peer`.
struct PeerListeners {
    datagrams: UdpSocket,
    connections: TcpListener,
}

struct TrafficParts {
    agent: AgentSection,
    shared: Arc<SharedState>,
    events: mpsc::Sender<TrafficEvent>,
    counters: Arc<PacketCounters>,
    peer_counters: Arc<PeerCounters>,
    flows: Arc<AtomicU32>,
    socket: UdpSocket,
    peers: PeerListeners,
    drained: Arc<DrainSignal>,
}

/// Starts the traffic thread, which serves requests as soon as the view contains the agent's service.
///
/// # Errors
///
/// Returns an error with the address or file that cannot be used.
pub fn start(
    settings: &AgentSettings,
    shared: Arc<SharedState>,
    events: mpsc::Sender<TrafficEvent>,
) -> Result<TrafficHandle> {
    let agent = settings.agent.clone();
    let socket = bind(&agent)?;
    let peers = bind_peers(&agent)?;
    let counters = shared.packets.clone();
    let peer_counters = shared.peers.clone();
    let flows = Arc::new(AtomicU32::new(0));
    let drained = Arc::new(DrainSignal::default());
    let parts = TrafficParts {
        agent,
        shared,
        events,
        counters: counters.clone(),
        peer_counters: peer_counters.clone(),
        flows: flows.clone(),
        socket,
        peers,
        drained: drained.clone(),
    };
    let (stop, stopped) = watch::channel(false);
    let (report, started) = sync_channel(1);
    let thread = thread::Builder::new()
        .name("traffic".into())
        .spawn(move || run_thread(parts, &report, stopped))
        .context("cannot start the traffic thread")?;
    started
        .recv()
        .map_err(|_| anyhow!("the traffic thread ended before it had started"))??;
    Ok(TrafficHandle {
        stop,
        drained,
        counters,
        peer_counters,
        flows,
        thread: Some(thread),
    })
}

fn bind(agent: &AgentSection) -> Result<UdpSocket> {
    let describe = || format!("cannot bind agent.packets {}", agent.packets);
    let socket = socket2::Socket::new(
        socket2::Domain::IPV4,
        socket2::Type::DGRAM,
        Some(socket2::Protocol::UDP),
    )
    .with_context(describe)?;
    // The kernel may grant smaller buffers; QUIC then retransmits the packets that are lost in bursts.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.set_nonblocking(true).with_context(describe)?;
    socket
        .bind(&std::net::SocketAddr::V4(agent.packets).into())
        .with_context(describe)?;
    Ok(socket.into())
}

fn bind_peers(agent: &AgentSection) -> Result<PeerListeners> {
    let describe = || format!("cannot bind agent.peer {}", agent.peer);
    let datagrams = UdpSocket::bind(agent.peer).with_context(describe)?;
    let connections = TcpListener::bind(agent.peer).with_context(describe)?;
    datagrams.set_nonblocking(true).with_context(describe)?;
    connections.set_nonblocking(true).with_context(describe)?;
    Ok(PeerListeners {
        datagrams,
        connections,
    })
}

fn run_thread(
    parts: TrafficParts,
    report: &SyncSender<Result<()>>,
    mut stopped: watch::Receiver<bool>,
) {
    let system = System::build()
        .name("traffic")
        .disable_signals()
        .build(DefaultRuntime);
    let report = report.clone();
    let ended = parts.drained.clone();
    system.block_on(async move {
        let drain_limit = Duration::from_secs(parts.agent.drain_limit_s.into());
        let drained = parts.drained.clone();
        let health_path = parts.agent.health_path.clone();
        let health_interval = Duration::from_millis(parts.agent.health_interval_ms.into());
        let prepared = prepare(parts).await;
        let (endpoint, context, listener) = match prepared {
            Ok(prepared) => prepared,
            Err(error) => {
                let _ = report.send(Err(error));
                return;
            }
        };
        let _ = report.send(Ok(()));
        ntex::rt::spawn(context.scheduler.clone().run_timer());
        ntex::rt::spawn(context.pool.clone().keep_warm());
        ntex::rt::spawn(serve::listen(context.clone(), listener));
        ntex::rt::spawn(health::watch(context.clone(), health_path, health_interval));
        ntex::rt::spawn(watch_view(context.clone(), drain_limit, drained));
        tokio::select! {
            () = accept_connections(&endpoint, &context) => {}
            _ = stopped.wait_for(|&stop| stop) => {}
        }
        endpoint.close(0_u32.into(), b"the agent stops");
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await;
    });
    // Wakes waiters even if the thread ends without a drain.
    ended.set();
}

async fn prepare(
    parts: TrafficParts,
) -> Result<(Endpoint, Rc<TrafficContext>, tokio::net::TcpListener)> {
    let agent = parts.agent;
    let server = quic::server_config(&agent)?;
    let io = tokio::net::UdpSocket::from_std(parts.socket)
        .context("cannot register the packet socket")?;
    let socket = PacketSocket::new(
        io,
        parts.shared.clone(),
        parts.counters,
        parts.flows.clone(),
        agent.flows,
    )?;
    let packet_address = socket.packet_address();
    let endpoint = Endpoint::new_with_abstract_socket(
        quic::endpoint_config(&parts.shared, packet_address)?,
        Some(server),
        Arc::new(socket),
        Arc::new(TokioRuntime),
    )?;
    let view = parts.shared.view.load_full();
    let limits = view
        .service
        .as_ref()
        .map_or_else(LimitSet::default, |service| service.limits.clone());
    let controller = DispatchController::new(agent.policy, agent.slots, limits);
    let once = OnceController::new(
        id_of(packet_address),
        view.incarnation,
        OnceLimits::default(),
    );
    let datagrams = tokio::net::UdpSocket::from_std(parts.peers.datagrams)
        .context("cannot register the peer socket")?;
    let peers = PeerSocket::new(
        datagrams,
        id_of(packet_address),
        parts.shared.clone(),
        parts.peer_counters.clone(),
    );
    let scheduler = RequestScheduler::new(controller, peers.clone());
    ntex::rt::spawn(peers.run(scheduler.clone()));
    let context = TrafficContext::new(ContextParts {
        packet_address,
        shared: parts.shared,
        events: parts.events,
        scheduler,
        once,
        upstream: UpstreamClient::new(agent.upstream).await?,
        flows: parts.flows,
        peer_counters: parts.peer_counters,
    });
    let listener = tokio::net::TcpListener::from_std(parts.peers.connections)?;
    Ok((endpoint, context, listener))
}

async fn accept_connections(endpoint: &Endpoint, context: &Rc<TrafficContext>) {
    while let Some(incoming) = endpoint.accept().await {
        ntex::rt::spawn(connection::serve(context.clone(), incoming));
    }
}

/// Passes changed limits and ready peers from the view to dispatch, and starts the drain; never returns.
async fn watch_view(context: Rc<TrafficContext>, drain_limit: Duration, drained: Arc<DrainSignal>) {
    let mut limits: Option<LimitSet> = None;
    let mut peers: Vec<EndpointId> = Vec::new();
    let mut draining = false;
    loop {
        let view = context.view();
        let current = view.service.as_ref().map(|service| &service.limits);
        if let Some(current) = current.filter(|current| limits.as_ref() != Some(*current)) {
            limits = Some(current.clone());
            let event = DispatchEvent::LimitsChanged(current.clone());
            context.scheduler.handle(event);
        }
        let ready = ready_peers(&view.peers);
        if ready != peers {
            peers.clone_from(&ready);
            context.scheduler.handle(DispatchEvent::PeersChanged(ready));
        }
        if !draining && view.state >= EndpointState::Draining {
            draining = true;
            ntex::rt::spawn(drain(context.clone(), drain_limit, drained.clone()));
        }
        context.shared.changed.notified().await;
    }
}

fn ready_peers(peers: &[EndpointRecord]) -> Vec<EndpointId> {
    let mut ready: Vec<EndpointId> = peers
        .iter()
        .filter(|peer| peer.state == EndpointState::Ready)
        .map(|peer| peer.id)
        .collect();
    ready.sort_unstable();
    ready
}

/// Starts the drain, waits until all flows and all requests from peers have ended or `limit` has passed, and reports
/// the end of the drain.
async fn drain(context: Rc<TrafficContext>, limit: Duration, drained: Arc<DrainSignal>) {
    let end = Instant::now() + limit;
    emit(
        EventCode::AgentDraining,
        &[("endpoint", &context.packet_address)],
    );
    context.scheduler.handle(DispatchEvent::DrainStarted);
    context.draining.send_replace(true);
    while context.flows.load(Ordering::Relaxed) > 0 || context.peer_requests() > 0 {
        if Instant::now() >= end {
            let flows = context.flows.load(Ordering::Relaxed);
            let requests = context.scheduler.in_flight();
            emit(
                EventCode::AgentStopLimit,
                &[("flows", &flows), ("requests", &requests)],
            );
            break;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    drained.set();
    // Retries while the channel is full; a closed channel means that the control thread has ended.
    while let Err(TrySendError::Full(_)) = context.events.try_send(TrafficEvent::Drained) {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
