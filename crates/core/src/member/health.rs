//! Extensions of SWIM from the Lifeguard paper: a node that is slow itself gives others more time to answer, and
//! independent confirmations shorten a suspicion.

use crate::ids::EntryId;
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Highest score of [`LocalHealth`], the value that Lifeguard's authors use.
const SCORE_MAX: u32 = 8;

/// Health score of this entry; it scales the entry's timeouts, and 0 is healthy.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LocalHealth(u32);

impl LocalHealth {
    /// Lowers the score after a probe was answered in time.
    pub(super) fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Raises the score after an unanswered probe or a wrong suspicion of this entry.
    pub(super) fn worsen(&mut self) {
        self.0 = (self.0 + 1).min(SCORE_MAX);
    }

    /// Returns `time` multiplied by the score plus one.
    pub(super) fn scale(self, time: Duration) -> Duration {
        time * (self.0 + 1)
    }
}

/// A suspicion whose deadline comes earlier with each independent confirmation.
#[derive(Clone, Debug)]
pub(super) struct SuspicionTimer {
    earliest: Instant,
    latest: Instant,
    needed: usize,
    sources: SmallVec<[EntryId; 4]>,
}

impl SuspicionTimer {
    /// Starts the timer for a suspicion by `by`; `needed` confirmations by others move the deadline from `latest` to
    /// `earliest`.
    pub(super) fn new(by: EntryId, earliest: Instant, latest: Instant, needed: usize) -> Self {
        let mut sources = SmallVec::new();
        sources.push(by);
        Self {
            earliest,
            latest: latest.max(earliest),
            needed,
            sources,
        }
    }

    /// Adds a confirmation by `by`; returns whether it was new and changed the deadline.
    pub(super) fn confirm(&mut self, by: EntryId) -> bool {
        if self.sources.contains(&by) || self.sources.len() > self.needed {
            return false;
        }
        self.sources.push(by);
        true
    }

    /// Returns when the suspected entry is removed unless it refutes.
    pub(super) fn deadline(&self) -> Instant {
        let confirmed = self.sources.len() - 1;
        if confirmed >= self.needed {
            return self.earliest;
        }
        // CAST: Both numbers are small counts.
        let share = ((confirmed + 1) as f64).ln() / ((self.needed + 1) as f64).ln();
        self.latest - (self.latest - self.earliest).mul_f64(share)
    }
}
