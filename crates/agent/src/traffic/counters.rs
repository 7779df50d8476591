//! Counters of the traffic thread, which the control thread may read.

use std::sync::atomic::{AtomicU64, Ordering};

/// Why a packet did not reach QUIC, and what was sent.
#[derive(Debug, Default)]
pub struct PacketCounters {
    /// Packets given to QUIC.
    pub delivered: AtomicU64,
    /// First packets passed on to another agent.
    pub forwarded: AtomicU64,
    /// Datagrams without a valid header.
    pub bad_header: AtomicU64,
    /// Packets for another service, another life or another direction.
    pub mismatched: AtomicU64,
    /// Packets for which this agent holds no flow and takes none.
    pub dropped: AtomicU64,
    /// Packets sent towards callers.
    pub sent: AtomicU64,
    /// Packets towards callers for which no way back was known.
    pub no_return: AtomicU64,
}

/// What passed between this agent and its peers.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Offers sent to peers.
    pub offered: AtomicU64,
    /// Offers that peers started to run.
    pub handed_over: AtomicU64,
    /// Offers that peers did not take or gave back.
    pub rejected: AtomicU64,
    /// Offers and requests for a home agent whose connection failed before an answer.
    pub lost: AtomicU64,
    /// Offers of peers that ran here.
    pub taken: AtomicU64,
    /// Offers of peers that this agent did not take.
    pub refused: AtomicU64,
    /// Keyed requests passed to their home agents.
    pub sent_home: AtomicU64,
    /// Keyed requests that peers passed here.
    pub home: AtomicU64,
    /// Load reports and pulls of peers.
    pub reports: AtomicU64,
    /// Connections closed because of a frame that is not valid.
    pub bad_frames: AtomicU64,
    /// Datagrams that are not valid.
    pub bad_datagrams: AtomicU64,
    /// Datagrams of unknown agents, and late copies.
    pub stale_datagrams: AtomicU64,
}

/// Adds one to a counter.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
