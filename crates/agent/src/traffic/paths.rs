//! Bounded tables of the packet socket: return paths to callers and handshakes in progress.

use quinn::ConnectionId;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Time without packets after which a return path is removed; longer than the idle timeout of a connection.
const PATH_AGE_MAX: Duration = Duration::from_secs(180);

/// Longest time from the first packet of a flow to the end of its handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(15);

/// Most handshakes in the table; the oldest one is removed when it is full.
const HANDSHAKES_MAX: usize = 8_192;

/// Return path to a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReturnPath {
    /// Entry that forwarded the last packet of the caller.
    pub(crate) entry: SocketAddrV4,
    /// Service address to which the caller sends its packets.
    pub(crate) service_address: SocketAddrV4,
    used: Instant,
}

/// Return paths by the address of the caller.
#[derive(Debug)]
pub(crate) struct ReturnTable {
    paths: HashMap<SocketAddrV4, ReturnPath>,
    limit: usize,
    sweep_at: Option<Instant>,
}

impl ReturnTable {
    /// Creates a table for at most `limit` callers.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            paths: HashMap::new(),
            limit,
            sweep_at: None,
        }
    }

    /// Records the entry that forwarded a packet of a caller; a full table ignores new callers.
    pub(crate) fn learn(
        &mut self,
        caller: SocketAddrV4,
        entry: SocketAddrV4,
        service_address: SocketAddrV4,
        now: Instant,
    ) {
        self.sweep(now);
        if self.paths.len() >= self.limit && !self.paths.contains_key(&caller) {
            return;
        }
        let path = ReturnPath {
            entry,
            service_address,
            used: now,
        };
        self.paths.insert(caller, path);
    }

    /// Returns the return path to a caller.
    pub(crate) fn find(&self, caller: SocketAddrV4) -> Option<ReturnPath> {
        self.paths.get(&caller).copied()
    }

    fn sweep(&mut self, now: Instant) {
        let due = *self.sweep_at.get_or_insert(now + PATH_AGE_MAX / 4);
        if due > now {
            return;
        }
        self.sweep_at = Some(now + PATH_AGE_MAX / 4);
        self.paths
            .retain(|_, path| now.saturating_duration_since(path.used) < PATH_AGE_MAX);
    }
}

/// Connection IDs that callers chose for handshakes in progress.
///
/// A draining agent uses them to deliver the remaining packets of a handshake that it has already accepted.
#[derive(Debug, Default)]
pub(crate) struct HandshakeTable {
    deadlines: HashMap<(SocketAddrV4, ConnectionId), Instant>,
    order: VecDeque<(Instant, SocketAddrV4, ConnectionId)>,
}

impl HandshakeTable {
    /// Returns whether a handshake of the caller with this ID is in progress.
    pub(crate) fn contains(&self, caller: SocketAddrV4, id: ConnectionId, now: Instant) -> bool {
        self.deadlines
            .get(&(caller, id))
            .is_some_and(|deadline| *deadline > now)
    }

    /// Records the start of a handshake and removes expired ones.
    pub(crate) fn insert(&mut self, caller: SocketAddrV4, id: ConnectionId, now: Instant) {
        while let Some((deadline, caller, id)) = self.order.front() {
            if *deadline > now && self.order.len() < HANDSHAKES_MAX {
                break;
            }
            self.deadlines.remove(&(*caller, *id));
            self.order.pop_front();
        }
        let deadline = now + HANDSHAKE_TIMEOUT;
        self.deadlines.insert((caller, id), deadline);
        self.order.push_back((deadline, caller, id));
    }
}
