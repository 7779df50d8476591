//! Connections to peers that wait for the next request.

use super::connection::{connect, PeerConnection};
use crate::shared::SharedState;
use quetzalhill_core::ids::{EndpointId, IncarnationNumber};
use quetzalhill_core::member::EndpointRecord;
use quetzalhill_wire::frame::FrameError;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Most idle connections to one peer.
const IDLE_MAX: usize = 16;

/// Most peers to which a connection is kept without a request, so that a large service does not connect every
/// agent with every other one.
const WARM_PEERS: usize = 64;

/// How often missing connections are opened.
const WARM_INTERVAL: Duration = Duration::from_secs(1);

/// Key of the pool: a later life of a peer never gets a connection to an earlier one.
type PeerLife = (EndpointId, IncarnationNumber);

/// Owns the idle connections; used through [`Rc`] by all tasks of the traffic thread.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    shared: Arc<SharedState>,
    idle: RefCell<HashMap<PeerLife, Vec<PeerConnection>>>,
}

impl ConnectionPool {
    /// Makes an empty pool.
    pub(crate) fn new(shared: Arc<SharedState>) -> Rc<Self> {
        Rc::new(Self {
            shared,
            idle: RefCell::new(HashMap::new()),
        })
    }

    /// Returns an idle connection to the peer or opens one.
    ///
    /// # Errors
    ///
    /// The peer cannot be reached; nothing was sent.
    pub(crate) async fn take(&self, peer: &EndpointRecord) -> Result<PeerConnection, FrameError> {
        if let Some(connection) = self.take_idle(peer) {
            return Ok(connection);
        }
        self.open(peer).await
    }

    fn take_idle(&self, peer: &EndpointRecord) -> Option<PeerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&life(peer))?;
        while let Some(connection) = connections.pop() {
            if connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    async fn open(&self, peer: &EndpointRecord) -> Result<PeerConnection, FrameError> {
        let ring = self.shared.ring.load_full();
        connect(peer.peer, &ring).await
    }

    /// Keeps a connection on which no request is in progress.
    pub(crate) fn give(&self, peer: &EndpointRecord, connection: PeerConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(life(peer)).or_default();
        if connections.len() < IDLE_MAX {
            connections.push(connection);
        }
    }

    /// Keeps at least one connection to each of the first peers in the view; runs until the system stops.
    pub(crate) async fn keep_warm(self: Rc<Self>) {
        loop {
            self.forget_gone();
            for peer in self.missing() {
                // A peer that cannot be reached is tried again in the next round.
                if let Ok(connection) = self.open(&peer).await {
                    self.give(&peer, connection);
                }
            }
            tokio::time::sleep(WARM_INTERVAL).await;
        }
    }

    fn forget_gone(&self) {
        let view = self.shared.view.load();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|known, connections| {
            connections.retain(|connection| connection.is_quiet());
            view.peers.iter().any(|peer| life(peer) == *known)
        });
    }

    fn missing(&self) -> Vec<EndpointRecord> {
        let view = self.shared.view.load();
        let idle = self.idle.borrow();
        let first = view.peers.iter().take(WARM_PEERS);
        first
            .filter(|peer| idle.get(&life(peer)).is_none_or(Vec::is_empty))
            .cloned()
            .collect()
    }
}

fn life(peer: &EndpointRecord) -> PeerLife {
    (peer.id, peer.incarnation)
}
