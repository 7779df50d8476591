//! State that all tasks of the traffic thread share.

use super::counters::PeerCounters;
use super::scheduler::RequestScheduler;
use super::upstream::UpstreamClient;
use crate::handover::pool::ConnectionPool;
use crate::shared::{AgentView, SharedState, TrafficEvent};
use quetzalhill_core::dispatch::DispatchEvent;
use quetzalhill_core::health::{HealthAction, HealthController, HealthEvent};
use quetzalhill_core::ids::{id_of, incarnation_bits, EndpointId, RequestId, ServiceNumber};
use quetzalhill_core::once::OnceController;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Arguments of [`TrafficContext::new`].
pub(crate) struct ContextParts {
    /// Address of the packet socket, from which the ID of this endpoint is derived.
    pub(crate) packet_address: SocketAddrV4,
    /// Snapshots that the control thread publishes, and metrics.
    pub(crate) shared: Arc<SharedState>,
    /// Channel to the control thread.
    pub(crate) events: mpsc::Sender<TrafficEvent>,
    /// Dispatch of requests to the upstream and to peers.
    pub(crate) scheduler: Rc<RequestScheduler>,
    /// Outcomes of keyed requests.
    pub(crate) once: OnceController,
    /// Client of the upstream.
    pub(crate) upstream: UpstreamClient,
    /// Number of open flows.
    pub(crate) flows: Arc<AtomicU32>,
    /// Counters of the traffic between this agent and its peers.
    pub(crate) peer_counters: Arc<PeerCounters>,
}

/// State that all tasks of the traffic thread share through [`Rc`].
pub(crate) struct TrafficContext {
    /// Address of the packet socket, from which the ID of this endpoint is derived.
    pub(crate) packet_address: SocketAddrV4,
    /// Snapshots that the control thread publishes, and metrics.
    pub(crate) shared: Arc<SharedState>,
    /// Channel to the control thread.
    pub(crate) events: mpsc::Sender<TrafficEvent>,
    /// Dispatch of requests to the upstream and to peers.
    pub(crate) scheduler: Rc<RequestScheduler>,
    /// Outcomes of keyed requests.
    pub(crate) once: RefCell<OnceController>,
    /// Client of the upstream.
    pub(crate) upstream: UpstreamClient,
    /// Number of open flows.
    pub(crate) flows: Arc<AtomicU32>,
    /// Becomes true when the drain starts.
    pub(crate) draining: watch::Sender<bool>,
    /// Connections to peers.
    pub(crate) pool: Rc<ConnectionPool>,
    /// Counters of the traffic between this agent and its peers.
    pub(crate) peer_counters: Arc<PeerCounters>,
    peer_requests: Cell<u32>,
    next_request_id: Cell<u64>,
    health: RefCell<HealthController>,
    /// Health that was last reported to the control thread.
    reported_healthy: Cell<bool>,
    /// Whether the control thread still has to be notified that the upstream is shutting down.
    drain_pending: Cell<bool>,
}

impl TrafficContext {
    /// Creates the context of an upstream that has not been reported as healthy yet.
    pub(crate) fn new(parts: ContextParts) -> Rc<Self> {
        Rc::new(Self {
            packet_address: parts.packet_address,
            pool: ConnectionPool::new(parts.shared.clone()),
            shared: parts.shared,
            events: parts.events,
            scheduler: parts.scheduler,
            once: RefCell::new(parts.once),
            upstream: parts.upstream,
            flows: parts.flows,
            draining: watch::Sender::new(false),
            peer_counters: parts.peer_counters,
            peer_requests: Cell::new(0),
            next_request_id: Cell::new(0),
            health: RefCell::new(HealthController::new()),
            reported_healthy: Cell::new(false),
            drain_pending: Cell::new(false),
        })
    }

    /// Returns the ID of this endpoint.
    pub(crate) fn endpoint(&self) -> EndpointId {
        id_of(self.packet_address)
    }

    /// Returns the number of the service in the catalogue; 0 while it is unknown.
    pub(crate) fn service_number(&self) -> ServiceNumber {
        let view = self.shared.view.load();
        view.service.as_ref().map_or(0, |service| service.number)
    }

    /// Updates the gauges of open flows, requests in flight and waiting requests.
    pub(crate) fn publish_gauges(&self) {
        let gauges = &self.shared.gauges;
        let flows = self.flows.load(Ordering::Relaxed);
        gauges.flows.store(flows, Ordering::Relaxed);
        let in_flight = self.scheduler.in_flight();
        gauges.in_flight.store(in_flight, Ordering::Relaxed);
        let queue = self.scheduler.queued().into();
        gauges.queue.store(queue, Ordering::Relaxed);
    }

    /// Returns the number of requests from peers in progress.
    pub(crate) fn peer_requests(&self) -> u32 {
        self.peer_requests.get()
    }

    /// Counts a request from a peer until the guard is dropped.
    pub(crate) fn peer_request_guard(self: &Rc<Self>) -> PeerRequestGuard {
        self.peer_requests.set(self.peer_requests.get() + 1);
        PeerRequestGuard(self.clone())
    }

    /// Returns the latest view that the control thread published.
    pub(crate) fn view(&self) -> Arc<AgentView> {
        self.shared.view.load_full()
    }

    /// Returns a new request ID, made of the endpoint's ID, its incarnation and a counter.
    pub(crate) fn next_request_id(&self) -> RequestId {
        let count = self.next_request_id.get();
        self.next_request_id.set(count + 1);
        let incarnation = incarnation_bits(self.shared.view.load().incarnation);
        (RequestId::from(self.endpoint()) << 80)
            | (RequestId::from(incarnation) << 56)
            | RequestId::from(count)
    }

    /// Applies an observation of the upstream and reports a resulting change to dispatch and the control thread.
    pub(crate) fn handle_health(&self, event: HealthEvent) {
        let action = self.health.borrow_mut().handle(event);
        let Some(action) = action else {
            return;
        };
        let serving = match action {
            HealthAction::Ready => true,
            HealthAction::NotReady => false,
            HealthAction::Drain => {
                self.drain_pending.set(true);
                self.report_health();
                return;
            }
        };
        let event = DispatchEvent::UpstreamChanged { serving };
        self.scheduler.handle(event);
        self.report_health();
    }

    /// Returns whether the next health check should come sooner than the interval.
    pub(crate) fn needs_early_check(&self) -> bool {
        self.health.borrow().needs_early_check()
    }

    /// Sends unreported changes of the upstream's health to the control thread; if the channel is full, the next call
    /// tries again.
    pub(crate) fn report_health(&self) {
        let healthy = self.health.borrow().is_ready();
        if self.reported_healthy.get() != healthy {
            let event = TrafficEvent::UpstreamHealth { healthy };
            if self.events.try_send(event).is_ok() {
                self.reported_healthy.set(healthy);
            }
        }
        if self.drain_pending.get() {
            let sent = self.events.try_send(TrafficEvent::UpstreamDraining).is_ok();
            self.drain_pending.set(!sent);
        }
    }
}

/// Keeps a request from a peer counted in [`TrafficContext::peer_requests`].
pub(crate) struct PeerRequestGuard(Rc<TrafficContext>);

impl Drop for PeerRequestGuard {
    fn drop(&mut self) {
        let peer_requests = &self.0.peer_requests;
        peer_requests.set(peer_requests.get() - 1);
    }
}
