//! Decides which entries of an availability zone follow the store's list of endpoints.
//!
//! The store counts every call, and each change of the list would cost one for each entry. Two entries of a zone
//! follow the list and pass its changes on; the others read it seldom. Entries learn of each other from the reports
//! of the agents in their zone, which name the entries that send them keepalives, so an entry that stops, freezes or
//! loses its network drops out by itself. See docs/coordination.md.

use crate::ids::EntryId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Entries of a zone that follow the list; one of them may be frozen or cut off from the store.
const READERS: usize = 2;

/// Time for which an entry counts as a peer after an agent has named it. Each agent names all entries of its zone in
/// turn, in a second or less.
const PEER_TIME: Duration = Duration::from_secs(3);

/// Time after which an entry knows its peers, from its first reading of the list on: the first reports of agents name
/// them.
pub const ROLE_TIME: Duration = Duration::from_millis(500);

/// How an entry reads the list of endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListRole {
    /// Follows every change, and passes it on to its peers.
    Reader,
    /// Gets changes from the readers, and reads the list seldom in case a message was lost.
    Follower,
}

impl ListRole {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ListRole::Reader => "reader",
            ListRole::Follower => "follower",
        }
    }
}

/// Tracks the entries of the own availability zone.
#[derive(Debug)]
pub struct PeerController {
    own: EntryId,
    /// Peers, with the point in time until which they count.
    peers: HashMap<EntryId, Instant>,
    start_ends: Instant,
}

impl PeerController {
    /// Makes a controller for the entry `own`, which starts at `now`.
    pub fn new(own: EntryId, now: Instant) -> Self {
        Self {
            own,
            peers: HashMap::new(),
            start_ends: now + ROLE_TIME,
        }
    }

    /// Records the entries that an agent of the zone has named.
    pub fn record_named(&mut self, named: &[EntryId], now: Instant) {
        for id in named {
            if *id != self.own {
                self.peers.insert(*id, now + PEER_TIME);
            }
        }
    }

    /// Removes the entries that no agent has named lately.
    pub fn tick(&mut self, now: Instant) {
        self.peers.retain(|_, until| now < *until);
    }

    /// Returns the other entries of the zone.
    pub fn peers(&self) -> impl Iterator<Item = EntryId> + '_ {
        self.peers.keys().copied()
    }

    /// Returns the entry that confirms the list for the others of the zone, or `None` if it is this one.
    pub fn confirmer(&self) -> Option<EntryId> {
        self.peers().min().filter(|lowest| *lowest < self.own)
    }

    /// Returns how this entry reads the list. An entry that knows no peers reads it itself.
    pub fn role(&self, now: Instant) -> ListRole {
        let before = self.peers().filter(|id| *id < self.own).count();
        match now < self.start_ends || before < READERS {
            true => ListRole::Reader,
            false => ListRole::Follower,
        }
    }
}
