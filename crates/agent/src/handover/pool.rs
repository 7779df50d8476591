//! Pool of idle connections to peers.

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

/// Maximum number of idle connections to one peer.
const IDLE_PER_PEER_MAX: usize = 16;

/// Maximum number of peers to which an idle connection is opened in advance. The limit keeps a large service from
/// connecting every agent with every other one.
const WARM_PEERS_MAX: usize = 64;

/// Interval at which missing idle connections are opened.
const WARM_INTERVAL: Duration = Duration::from_secs(1);

/// Key of the pool. It contains the incarnation, so that a request to a restarted peer never uses a connection to its
/// previous incarnation.
type PeerKey = (EndpointId, IncarnationNumber);

/// Owns the idle connections; all tasks of the traffic thread share it through [`Rc`].
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    shared: Arc<SharedState>,
    idle: RefCell<HashMap<PeerKey, Vec<PeerConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool; `shared` supplies the peers and the keys.
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
    /// Returns an error if no connection could be opened; no request was sent then.
    pub(crate) async fn acquire(
        &self,
        peer: &EndpointRecord,
    ) -> Result<PeerConnection, FrameError> {
        if let Some(connection) = self.pop_idle(peer) {
            return Ok(connection);
        }
        self.open(peer).await
    }

    fn pop_idle(&self, peer: &EndpointRecord) -> Option<PeerConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key_of(peer))?;
        while let Some(connection) = connections.pop() {
            if connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    async fn open(&self, peer: &EndpointRecord) -> Result<PeerConnection, FrameError> {
        let ring = self.shared.ring.load_full();
        connect(peer.peer, &ring).await
    }

    /// Returns a connection to the pool, or closes it if the pool has [`IDLE_PER_PEER_MAX`] for the peer already. No
    /// request may be in progress on it.
    pub(crate) fn release(&self, peer: &EndpointRecord, connection: PeerConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key_of(peer)).or_default();
        if connections.len() < IDLE_PER_PEER_MAX {
            connections.push(connection);
        }
    }

    /// Keeps at least one connection to each of the first [`WARM_PEERS_MAX`] peers in the view; runs until the runtime
    /// stops.
    pub(crate) async fn keep_warm(self: Rc<Self>) {
        loop {
            self.remove_unusable();
            for peer in self.peers_without_idle() {
                // The next round retries a peer that cannot be reached.
                if let Ok(connection) = self.open(&peer).await {
                    self.release(&peer, connection);
                }
            }
            tokio::time::sleep(WARM_INTERVAL).await;
        }
    }

    fn remove_unusable(&self) {
        let view = self.shared.view.load();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|key, connections| {
            connections.retain(|connection| connection.is_idle());
            view.peers.iter().any(|peer| key_of(peer) == *key)
        });
    }

    fn peers_without_idle(&self) -> Vec<EndpointRecord> {
        let view = self.shared.view.load();
        let idle = self.idle.borrow();
        let first = view.peers.iter().take(WARM_PEERS_MAX);
        first
            .filter(|peer| idle.get(&key_of(peer)).is_none_or(Vec::is_empty))
            .cloned()
            .collect()
    }
}

fn key_of(peer: &EndpointRecord) -> PeerKey {
    (peer.id, peer.incarnation)
}
