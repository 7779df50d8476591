//! What all tasks of the traffic thread share.

use super::counters::PeerCounters;
use super::scheduler::RequestScheduler;
use super::upstream::UpstreamClient;
use crate::handover::pool::ConnectionPool;
use crate::shared::{AgentView, SharedState, TrafficEvent};
use quetzalhill_core::ids::{id_of, incarnation_bits, EndpointId, RequestId, ServiceNumber};
use quetzalhill_core::once::OnceController;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::atomic::AtomicU32;
use std::sync::Arc;
use tokio::sync::{mpsc, watch, Notify};

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
    healthy: Cell<Option<bool>>,
    unhealthy: Notify,
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
            healthy: Cell::new(None),
            unhealthy: Notify::new(),
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

    /// Tells the control thread when the upstream starts or stops answering.
    pub(crate) fn report_health(&self, healthy: bool) {
        if self.healthy.get() == Some(healthy) {
            return;
        }
        let event = TrafficEvent::UpstreamHealth { healthy };
        // The next request or probe repeats a report that a full channel does not take.
        if self.events.try_send(event).is_ok() {
            self.healthy.set(Some(healthy));
        }
        if !healthy {
            self.unhealthy.notify_one();
        }
    }

    /// Waits until the upstream's health is unknown or bad.
    pub(crate) async fn until_unhealthy(&self) {
        while self.healthy.get() == Some(true) {
            self.unhealthy.notified().await;
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
