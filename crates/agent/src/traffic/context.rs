//! What all tasks of the traffic thread share.

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

/// What [`TrafficContext`] is made of.
pub(crate) struct ContextParts {
    /// Packet socket of this agent.
    pub(crate) own: SocketAddrV4,
    /// What the control thread publishes.
    pub(crate) shared: Arc<SharedState>,
    /// Events for the control thread.
    pub(crate) events: mpsc::Sender<TrafficEvent>,
    /// Dispatch.
    pub(crate) scheduler: Rc<RequestScheduler>,
    /// Outcomes of keyed requests.
    pub(crate) once: OnceController,
    /// The upstream.
    pub(crate) upstream: UpstreamClient,
    /// Open flows.
    pub(crate) flows: Arc<AtomicU32>,
    /// What passes between this agent and its peers.
    pub(crate) peer_counters: Arc<PeerCounters>,
}

/// Owners of the state of the traffic thread.
pub(crate) struct TrafficContext {
    /// Packet socket of this agent.
    pub(crate) own: SocketAddrV4,
    /// What the control thread publishes.
    pub(crate) shared: Arc<SharedState>,
    /// Events for the control thread.
    pub(crate) events: mpsc::Sender<TrafficEvent>,
    /// Dispatch.
    pub(crate) scheduler: Rc<RequestScheduler>,
    /// Outcomes of keyed requests.
    pub(crate) once: RefCell<OnceController>,
    /// The upstream.
    pub(crate) upstream: UpstreamClient,
    /// Open flows.
    pub(crate) flows: Arc<AtomicU32>,
    /// Becomes true when the drain starts.
    pub(crate) draining: watch::Sender<bool>,
    /// Connections to peers.
    pub(crate) pool: Rc<ConnectionPool>,
    /// What passes between this agent and its peers.
    pub(crate) peer_counters: Arc<PeerCounters>,
    exchanges: Cell<u32>,
    next_request: Cell<u64>,
    health: RefCell<HealthController>,
    /// What the control thread knows.
    reported: Cell<bool>,
    upstream_leaves: Cell<bool>,
}

impl TrafficContext {
    /// Puts the owners together.
    pub(crate) fn new(parts: ContextParts) -> Rc<Self> {
        Rc::new(Self {
            own: parts.own,
            pool: ConnectionPool::new(parts.shared.clone()),
            shared: parts.shared,
            events: parts.events,
            scheduler: parts.scheduler,
            once: RefCell::new(parts.once),
            upstream: parts.upstream,
            flows: parts.flows,
            draining: watch::Sender::new(false),
            peer_counters: parts.peer_counters,
            exchanges: Cell::new(0),
            next_request: Cell::new(0),
            health: RefCell::new(HealthController::new()),
            reported: Cell::new(false),
            upstream_leaves: Cell::new(false),
        })
    }

    /// Returns the identity of this endpoint.
    pub(crate) fn endpoint(&self) -> EndpointId {
        id_of(self.own)
    }

    /// Returns the number of the service in the catalogue; 0 while it is unknown.
    pub(crate) fn service_number(&self) -> ServiceNumber {
        let view = self.shared.view.load();
        view.service.as_ref().map_or(0, |service| service.number)
    }

    /// Publishes the present use of the endpoint.
    pub(crate) fn publish_use(&self) {
        let gauges = &self.shared.gauges;
        let flows = self.flows.load(Ordering::Relaxed);
        gauges.flows.store(flows, Ordering::Relaxed);
        let in_flight = self.scheduler.in_flight();
        gauges.in_flight.store(in_flight, Ordering::Relaxed);
        let queue = self.scheduler.queued().into();
        gauges.queue.store(queue, Ordering::Relaxed);
    }

    /// Returns how many requests of peers are in progress.
    pub(crate) fn exchanges(&self) -> u32 {
        self.exchanges.get()
    }

    /// Counts a request of a peer for as long as the guard lives.
    pub(crate) fn exchange_guard(self: &Rc<Self>) -> ExchangeGuard {
        self.exchanges.set(self.exchanges.get() + 1);
        ExchangeGuard(self.clone())
    }

    /// Returns the view in force.
    pub(crate) fn view(&self) -> Arc<AgentView> {
        self.shared.view.load_full()
    }

    /// Returns an identity for a new request.
    pub(crate) fn next_request(&self) -> RequestId {
        let count = self.next_request.get();
        self.next_request.set(count + 1);
        let life = incarnation_bits(self.shared.view.load().incarnation);
        (RequestId::from(self.endpoint()) << 80)
            | (RequestId::from(life) << 56)
            | RequestId::from(count)
    }

    /// Takes what was seen of the upstream.
    pub(crate) fn upstream_health(&self, event: HealthEvent) {
        let action = self.health.borrow_mut().handle(event);
        let Some(action) = action else {
            return;
        };
        let serving = match action {
            HealthAction::Ready => true,
            HealthAction::NotReady => false,
            HealthAction::Drain => {
                self.upstream_leaves.set(true);
                self.report_health();
                return;
            }
        };
        let event = DispatchEvent::UpstreamChanged { serving };
        self.scheduler.handle(event);
        self.report_health();
    }

    /// Returns whether the upstream should be asked for its health soon.
    pub(crate) fn is_upstream_in_doubt(&self) -> bool {
        self.health.borrow().needs_early_check()
    }

    /// Tells the control thread what it does not know yet of the upstream; a full channel takes it another time.
    pub(crate) fn report_health(&self) {
        let healthy = self.health.borrow().is_ready();
        if self.reported.get() != healthy {
            let event = TrafficEvent::UpstreamHealth { healthy };
            if self.events.try_send(event).is_ok() {
                self.reported.set(healthy);
            }
        }
        if self.upstream_leaves.get() {
            let sent = self.events.try_send(TrafficEvent::UpstreamDraining).is_ok();
            self.upstream_leaves.set(!sent);
        }
    }
}

/// Counts a request of a peer.
pub(crate) struct ExchangeGuard(Rc<TrafficContext>);

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let exchanges = &self.0.exchanges;
        exchanges.set(exchanges.get() - 1);
    }
}
