//! What the control thread of an agent publishes for its traffic thread.

use arc_swap::ArcSwap;
use quetzalhill_core::catalogue::ServiceEntry;
use quetzalhill_core::ids::{IncarnationNumber, RevisionNumber};
use quetzalhill_core::member::{EndpointRecord, EndpointState, EntryRecord};
use quetzalhill_wire::key::KeyRing;
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
}

impl SharedState {
    /// Makes the state of an agent that knows nothing yet.
    pub fn new(incarnation: IncarnationNumber, ring: KeyRing) -> Arc<Self> {
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
        })
    }

    /// Publishes a new view and wakes the traffic thread.
    pub fn publish(&self, view: AgentView) {
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
