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

/// Adds one to a counter.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
