//! Counters that the traffic thread updates and other threads read.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts what happened to the packets of the packet socket.
#[derive(Debug, Default)]
pub struct PacketCounters {
    /// Packets delivered to QUIC.
    pub delivered: AtomicU64,
    /// First packets forwarded to another agent.
    pub forwarded: AtomicU64,
    /// Datagrams without a valid header.
    pub bad_header: AtomicU64,
    /// Packets of another service, another incarnation or the wrong direction.
    pub mismatched: AtomicU64,
    /// Packets without a flow or handshake here that were neither accepted nor forwarded, and packets that could not
    /// be forwarded or exceed the receive buffer.
    pub dropped: AtomicU64,
    /// Packets sent towards callers.
    pub sent: AtomicU64,
    /// Packets towards callers without a known return path, or whose sending failed.
    pub no_return: AtomicU64,
}

/// Counts the traffic between this agent and its peers.
#[derive(Debug, Default)]
pub struct PeerCounters {
    /// Offers sent to peers.
    pub offered: AtomicU64,
    /// Offers that peers started to run.
    pub handed_over: AtomicU64,
    /// Requests that went back to dispatch, because the peer is no longer in the view, the offer could not be sent or
    /// was rejected or withdrawn, or the peer was lost while it had a request that is safe to repeat.
    pub rejected: AtomicU64,
    /// Offered requests whose peer or connection failed before or during the response, and forwarded requests that
    /// could not be sent, were rejected, or whose response did not begin.
    pub lost: AtomicU64,
    /// Offers of peers that were started here.
    pub taken: AtomicU64,
    /// Offers of peers that this agent rejected, or that were withdrawn before their start.
    pub refused: AtomicU64,
    /// Keyed requests forwarded to the agents that issued their session tokens.
    pub sent_home: AtomicU64,
    /// Keyed requests that peers forwarded here, because this agent issued their session tokens.
    pub home: AtomicU64,
    /// Valid load reports and pulls received from peers.
    pub reports: AtomicU64,
    /// Connections closed because of an invalid frame.
    pub bad_frames: AtomicU64,
    /// Invalid datagrams on the address for peers.
    pub bad_datagrams: AtomicU64,
    /// Datagrams of unknown agents, and datagrams that are not newer than the last one of their sender.
    pub stale_datagrams: AtomicU64,
}

/// Increments a counter.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
