//! What the control thread of an agent publishes for its traffic thread.

use crate::traffic::counters::{PacketCounters, PeerCounters};
use arc_swap::ArcSwap;
use prometheus::Registry;
use quetzalhill_core::catalogue::ServiceEntry;
use quetzalhill_core::ids::{IncarnationNumber, RevisionNumber};
use quetzalhill_core::member::{EndpointRecord, EndpointState, EntryRecord};
use quetzalhill_node::metrics::RequestMetrics;
use quetzalhill_wire::key::KeyRing;
use std::sync::atomic::AtomicU32;
use std::sync::Arc;
use tokio::sync::Notify;

/// One view of the system, as the control thread of an agent knows it; published whole and never changed.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentView {
    /// Life of this agent.
    pub incarnation: IncarnationNumber,
    /// State that this agent announces.
    pub state: EndpointState,
    /// Catalogue revision in force; 0 while none is known.
    pub revision: RevisionNumber,
    /// The agent's service in that revision.
    pub service: Option<ServiceEntry>,
    /// Other endpoints of the service that are ready.
    pub peers: Vec<EndpointRecord>,
    /// Other endpoints of the service that start or drain; they still remember keys.
    pub other_peers: Vec<EndpointRecord>,
    /// Entries that are alive.
    pub entries: Vec<EntryRecord>,
}

/// Snapshots that the traffic thread reads.
#[derive(Debug)]
pub struct SharedState {
    /// The view in force.
    pub view: ArcSwap<AgentView>,
    /// Valid control keys.
    pub ring: ArcSwap<KeyRing>,
    /// Wakes the traffic thread after the view changed.
    pub changed: Notify,
    /// Metrics of this agent.
    pub registry: Registry,
    /// Latency and outcomes of requests.
    pub requests: RequestMetrics,
    /// Counters of the packet socket.
    pub packets: Arc<PacketCounters>,
    /// Counters of what passes between this agent and its peers.
    pub peers: Arc<PeerCounters>,
    /// Present use of the endpoint.
    pub gauges: TrafficGauges,
}

/// Present use of the endpoint; the traffic thread writes it a few times a second.
#[derive(Debug, Default)]
pub struct TrafficGauges {
    /// Open flows.
    pub flows: AtomicU32,
    /// Requests that wait or run.
    pub in_flight: AtomicU32,
    /// Requests that wait.
    pub queue: AtomicU32,
}

impl SharedState {
    /// Makes the state of an agent that knows nothing yet.
    ///
    /// # Panics
    ///
    /// Never: a new registry holds no metric of the same name.
    pub fn new(incarnation: IncarnationNumber, ring: KeyRing) -> Arc<Self> {
        let registry = Registry::new();
        let requests = RequestMetrics::new(&registry).expect("the registry is empty");
        Arc::new(Self {
            view: ArcSwap::from_pointee(AgentView {
                incarnation,
                state: EndpointState::Starting,
                revision: 0,
                service: None,
                peers: Vec::new(),
                other_peers: Vec::new(),
                entries: Vec::new(),
            }),
            ring: ArcSwap::from_pointee(ring),
            changed: Notify::new(),
            registry,
            requests,
            packets: Arc::default(),
            peers: Arc::default(),
            gauges: TrafficGauges::default(),
        })
    }

    /// Publishes a new view and wakes the traffic thread.
    pub fn publish(&self, view: AgentView) {
        let owners = view.service.iter().map(|service| &service.owner);
        self.requests.set_owners(owners);
        self.view.store(Arc::new(view));
        self.changed.notify_one();
    }
}

/// What the traffic thread tells the control thread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TrafficEvent {
    /// The upstream answers or stopped answering.
    UpstreamHealth {
        /// Whether requests to it succeed.
        healthy: bool,
    },
    /// The upstream says that it takes no new work, so that the endpoint has to drain.
    UpstreamLeaves,
    /// The graceful stop is complete.
    Drained,
}
