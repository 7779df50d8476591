//! Decides when an entry that leaves it to others to notice lost answers has to read the list of endpoints or the routes.
//!
//! Readers pass changes of the list on in datagrams, which may be lost, and the answer to a long poll for the routes may be
//! lost too. After each answer of the store they tell their peers the state that they have. An entry reads the list or
//! the routes when its own state stays different, and when no reader has told of an answer for longer than a reader itself
//! would go without one. What is said here of the list holds for the routes too. See docs/coordination.md.

use crate::relay::list::ListState;
use std::time::{Duration, Instant};

/// Time for which a difference has to last before the list is read, since a change may still be on its way. The next
/// read of a reader for its zone may follow this soon too.
const DIFFERENCE_TIME: Duration = Duration::from_millis(100);

/// Time after which the first failed read is repeated.
const FIRST_RETRY_TIME: Duration = Duration::from_millis(500);

/// Time after which later failed reads are repeated, since the store counts calls during an outage too.
const RETRY_TIME: Duration = Duration::from_millis(1_000);

/// Shortest time between two notices of a reader to its peers. Reads that confirm the list may follow each other faster.
const NOTICE_GAP: Duration = Duration::from_millis(500);

/// Largest part of the limit by which an entry may exceed it, so that the followers of a zone do not read at once.
const SPREAD_PART: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct PendingDifference {
    state: ListState,
    read_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct LastDifference {
    fingerprint: u64,
    /// Point in time from which the same difference causes another read.
    repeats_from: Instant,
}

/// Tracks how recently a follower's list was known to be that of the store.
#[derive(Debug)]
pub struct FreshnessController {
    limit: Duration,
    /// Time for which a difference has to last before a read.
    difference_time: Duration,
    /// Point in time at which the list is read unless it is known to be current again before.
    read_due: Instant,
    /// Whether the last read has failed.
    failed: bool,
    pending: Option<PendingDifference>,
    /// Difference that the last read was to remove.
    last: Option<LastDifference>,
    /// Point in time from which the own state may be told to the peers again.
    next_notice: Option<Instant>,
}

impl FreshnessController {
    /// Makes a controller for an entry that starts at `now` and reads the list when it has not been known to be current
    /// for `limit`, or up to a tenth longer. `spread`, from 0 to 1, tells entries apart.
    pub fn new(limit: Duration, spread: f64, now: Instant) -> Self {
        let limit = limit.mul_f64(1.0 + SPREAD_PART * spread);
        Self {
            limit,
            difference_time: DIFFERENCE_TIME,
            read_due: now + limit,
            failed: false,
            pending: None,
            last: None,
            next_notice: None,
        }
    }

    /// Makes a difference wait for `pause` more, for an entry that polls itself and pauses that long after a change.
    pub fn with_pause(mut self, pause: Duration) -> Self {
        self.difference_time += pause;
        self
    }

    /// Records that the own list holds what the store held at `read` or later.
    pub fn record_read(&mut self, read: Instant) {
        self.failed = false;
        self.read_due = self.read_due.max(read + self.limit);
    }

    /// Records the state of a reader's list, which a notice told at `now`. `own` is the state of the own list.
    pub fn record_state(&mut self, state: ListState, own: ListState, now: Instant) {
        if state.fingerprint == own.fingerprint {
            // A reader that is behind another one does not contradict what that one has told.
            if self
                .pending
                .is_some_and(|pending| state.revision < pending.state.revision)
            {
                return;
            }
            self.pending = None;
            self.record_read(now);
            return;
        }
        // A reader that knows less than this entry says nothing of the newer changes.
        if state.revision < own.revision {
            return;
        }
        let repeats = self
            .last
            .is_some_and(|last| last.fingerprint == state.fingerprint && now < last.repeats_from);
        if repeats {
            return;
        }
        let pending = self.pending.map(|pending| pending.read_at);
        self.pending = Some(PendingDifference {
            state,
            read_at: pending.unwrap_or(now + self.difference_time),
        });
    }

    /// Records at `now` that the store was restored: what was told of the era before says nothing any more, and the own
    /// state has to be read again.
    pub fn record_restore(&mut self, now: Instant) {
        self.pending = None;
        self.last = None;
        self.read_due = now;
    }

    /// Records at `now` that a read has failed, which has to be repeated soon: the entry may have missed a change.
    pub fn record_failed_read(&mut self, now: Instant) {
        let retry_time = match std::mem::replace(&mut self.failed, true) {
            true => RETRY_TIME,
            false => FIRST_RETRY_TIME,
        };
        self.last = None;
        self.read_due = self.read_due.min(now + retry_time);
    }

    /// Returns whether the list has to be read now, given the state of the own list. A read without an answer is repeated
    /// after the limit, unless [`FreshnessController::record_failed_read`] tells of its failure.
    pub fn take_read(&mut self, own: ListState, now: Instant) -> bool {
        if let Some(pending) = self.pending {
            let resolved = pending.state.fingerprint == own.fingerprint
                || pending.state.revision < own.revision;
            if resolved {
                self.pending = None;
            }
        }
        let differs = self.pending.is_some_and(|pending| pending.read_at <= now);
        if !differs && now < self.read_due {
            return false;
        }
        // One read answers both: a difference that is told again after it is the one that it did not remove.
        let pending = self.pending.take();
        let fingerprint = pending.map(|pending| pending.state.fingerprint);
        let fingerprint = fingerprint.or(self.last.map(|last| last.fingerprint));
        self.last = fingerprint.map(|fingerprint| LastDifference {
            fingerprint,
            repeats_from: now + self.limit,
        });
        self.read_due = now + self.limit;
        true
    }

    /// Returns whether the peers are to be told the own state after an answer of the store at `now`.
    pub fn take_notice(&mut self, now: Instant) -> bool {
        if self.next_notice.is_some_and(|next| now < next) {
            return false;
        }
        self.next_notice = Some(now + NOTICE_GAP);
        true
    }
}
