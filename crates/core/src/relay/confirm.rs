//! Shares the reads that confirm the list of endpoints before a flow is reset.
//!
//! The expected load is all callers returning at once after a power failure, with flows that no endpoint holds any
//! more: every entry has to know that its list was complete at a point in time after each flow's packet arrived, and
//! the store counts every read. The entries of a zone ask the one with the lowest address, which reads for all of
//! them and answers with a fingerprint of the list. See docs/coordination.md.

use crate::ids::EntryId;
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Longest wait for the answer of another entry, after which this entry reads the list itself. The other entry reads
/// the list every 100 ms while it is asked.
const ASK_TIME: Duration = Duration::from_millis(250);

/// Shortest time between two requests; one covers all flows that became unresolved before it.
const ASK_GAP: Duration = Duration::from_millis(40);

/// Requests for digests per second to all agents together. Answers of 300 bytes take a fifth of the smallest link, which
/// has 10 Mbit/s.
const DIGEST_REQUESTS_PER_S: f64 = 750.0;

/// Shortest time between two rounds of requests for digests. The list, which has to be read too, is read every 100 ms.
const DIGEST_GAP_MIN: Duration = Duration::from_millis(80);

/// Longest time between two rounds; a held packet waits for 350 ms at most.
const DIGEST_GAP_MAX: Duration = Duration::from_millis(150);

/// Limit of requests that wait for a read.
const CLIENTS_MAX: usize = 1_024;

/// Time for which an entry that did not answer is not asked again; agents stop naming it meanwhile if it is gone.
const AVOID_TIME: Duration = Duration::from_secs(6);

/// Number that ties an answer to its request.
pub type ConfirmId = u32;

/// How the list is confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfirmAction {
    /// Read the list from the store.
    Read,
    /// Ask another entry.
    Ask {
        /// Entry to ask.
        entry: EntryId,
        /// Number of the request.
        id: ConfirmId,
    },
    /// Nothing before this point in time, when one request follows for all flows.
    Wait(Instant),
}

/// Effect of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfirmOutcome {
    /// The own list is the one that the store held at this point in time or later.
    Confirmed(Instant),
    /// The own list differs and has to be read.
    Differs,
    /// The answer is for no current request.
    Ignored,
}

#[derive(Clone, Copy, Debug)]
struct PendingConfirm {
    id: ConfirmId,
    sent: Instant,
}

/// Asks another entry to confirm the list.
#[derive(Debug, Default)]
pub struct ConfirmController {
    last_id: ConfirmId,
    /// Requests without an answer, in the order in which they were sent.
    pending: SmallVec<[PendingConfirm; 4]>,
    /// Whether a flow has become unresolved since the last request was sent, whose answer cannot cover it.
    wanted: bool,
    /// Point in time from which other entries are asked again.
    asks_from: Option<Instant>,
}

impl ConfirmController {
    /// Starts a confirmation for a flow that became unresolved before `now`. `reader` is the entry to ask, or `None`
    /// if this entry is to read the list.
    pub fn request(&mut self, reader: Option<EntryId>, now: Instant) -> ConfirmAction {
        let Some(entry) = reader.filter(|_| self.asks_from.is_none_or(|from| from <= now)) else {
            self.wanted = false;
            return ConfirmAction::Read;
        };
        let next = self.pending.last().map(|last| last.sent + ASK_GAP);
        if let Some(next) = next.filter(|next| now < *next) {
            self.wanted = true;
            return ConfirmAction::Wait(next);
        }
        self.last_id = self.last_id.wrapping_add(1);
        self.wanted = false;
        self.pending.push(PendingConfirm {
            id: self.last_id,
            sent: now,
        });
        ConfirmAction::Ask {
            entry,
            id: self.last_id,
        }
    }

    /// Records an answer; `same_list` tells whether the other entry's list is the own one.
    pub fn record_answer(&mut self, id: ConfirmId, same_list: bool) -> ConfirmOutcome {
        let Some(index) = self.pending.iter().position(|pending| pending.id == id) else {
            return ConfirmOutcome::Ignored;
        };
        let sent = self.pending[index].sent;
        self.pending.drain(..=index);
        match same_list {
            true => ConfirmOutcome::Confirmed(sent),
            false => ConfirmOutcome::Differs,
        }
    }

    /// Returns whether a flow waits for a request that has not been sent.
    pub fn is_wanted(&self) -> bool {
        self.wanted
    }

    /// Returns whether the other entry has not answered in time, so that this entry has to read the list.
    pub fn tick(&mut self, now: Instant) -> bool {
        let oldest = self.pending.first().map(|pending| pending.sent + ASK_TIME);
        if oldest.is_none_or(|expires| now < expires) {
            return false;
        }
        self.pending.clear();
        self.wanted = false;
        self.asks_from = Some(now + AVOID_TIME);
        true
    }
}

/// Spaces out the requests for fresh digests, which go to every agent that has one: after a power failure these are all
/// agents, and a request with each confirmation would fill the link of a small instance. Callers whose flows have ended
/// wait for the next round, so rounds follow each other the sooner the fewer agents there are.
#[derive(Debug, Default)]
pub struct DigestPacer {
    next: Option<Instant>,
    wanted: bool,
}

impl DigestPacer {
    /// Returns whether digests are to be requested at `now` from `agents` agents. If not, the request is due at
    /// [`DigestPacer::due`].
    pub fn request(&mut self, agents: usize, now: Instant) -> bool {
        if self.next.is_some_and(|next| now < next) {
            self.wanted = true;
            return false;
        }
        let agents = u32::try_from(agents).unwrap_or(u32::MAX);
        let gap = Duration::from_secs_f64(f64::from(agents) / DIGEST_REQUESTS_PER_S);
        self.next = Some(now + gap.clamp(DIGEST_GAP_MIN, DIGEST_GAP_MAX));
        self.wanted = false;
        true
    }

    /// Returns when a request that was put off is due, or `None` if there is none.
    pub fn due(&self) -> Option<Instant> {
        self.next.filter(|_| self.wanted)
    }
}

/// A request of another entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmClient {
    /// Entry that has asked.
    pub entry: EntryId,
    /// Number of its request.
    pub id: ConfirmId,
    /// When the request arrived; only a read that begins later answers it.
    pub arrived: Instant,
}

/// Requests of other entries that wait for a read of the list.
#[derive(Debug, Default)]
pub struct ConfirmQueue {
    clients: Vec<ConfirmClient>,
}

impl ConfirmQueue {
    /// Adds a request. One over the limit is dropped; its entry reads the list itself after a while.
    pub fn push(&mut self, client: ConfirmClient) {
        if self.clients.len() < CLIENTS_MAX {
            self.clients.push(client);
        }
    }

    /// Removes and returns the requests that a read which began at `read` answers.
    pub fn take_answered(&mut self, read: Instant) -> Vec<ConfirmClient> {
        let clients = std::mem::take(&mut self.clients);
        let (answered, left) = clients
            .into_iter()
            .partition(|client| client.arrived <= read);
        self.clients = left;
        answered
    }
}
