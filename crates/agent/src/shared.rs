//! State that the control thread and the traffic thread of an agent share.

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

/// Immutable snapshot of the cluster state that the traffic thread needs. The control thread replaces it as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentView {
    /// Incarnation of this agent: its start in Unix milliseconds.
    pub incarnation: IncarnationNumber,
    /// State that this agent announces.
    pub state: EndpointState,
    /// Catalogue revision in force; 0 before the first one.
    pub revision: RevisionNumber,
    /// The agent's service in that revision; `None` if it is not in the catalogue.
    pub service: Option<ServiceEntry>,
    /// Other endpoints of the service that are ready.
    pub peers: Vec<EndpointRecord>,
    /// Other endpoints of the service that are starting or draining; they may still hold outcomes of idempotency keys.
    pub other_peers: Vec<EndpointRecord>,
    /// Entries that the membership considers alive.
    pub entries: Vec<EntryRecord>,
}

/// State shared by the threads of an agent: snapshots for the traffic thread, and metrics that it updates.
#[derive(Debug)]
pub struct SharedState {
    /// The view that was published last.
    pub view: ArcSwap<AgentView>,
    /// Control keys that authenticate messages; replaced when the key files change.
    pub ring: ArcSwap<KeyRing>,
    /// Wakes the traffic thread after the view changed.
    pub changed: Notify,
    /// Registry of the metrics that the admin address serves.
    pub registry: Registry,
    /// Latency and outcomes of requests.
    pub requests: RequestMetrics,
    /// Counters of the packet socket.
    pub packets: Arc<PacketCounters>,
    /// Counters of the requests and messages between this agent and its peers.
    pub peers: Arc<PeerCounters>,
    /// Current load of the endpoint.
    pub gauges: TrafficGauges,
}

/// Current load of the endpoint; the traffic thread updates it a few times a second.
#[derive(Debug, Default)]
pub struct TrafficGauges {
    /// Open flows.
    pub flows: AtomicU32,
    /// Requests that are waiting or running.
    pub in_flight: AtomicU32,
    /// Requests that are waiting for a slot.
    pub queue: AtomicU32,
}

impl SharedState {
    /// Creates the state of an agent that has no catalogue and no peers yet.
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

    /// Publishes a new view, updates the owners in the request metrics and wakes the traffic thread.
    pub fn publish(&self, view: AgentView) {
        let owners = view.service.iter().map(|service| &service.owner);
        self.requests.set_owners(owners);
        self.view.store(Arc::new(view));
        self.changed.notify_one();
    }
}

/// An event that the traffic thread sends to the control thread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TrafficEvent {
    /// The health of the upstream changed.
    UpstreamHealth {
        /// Whether the upstream is healthy, so that the endpoint can be announced as ready.
        healthy: bool,
    },
    /// The upstream announced that it accepts no new requests, so that the endpoint has to drain.
    UpstreamDraining,
    /// The drain is complete or its time limit has passed.
    Drained,
}
