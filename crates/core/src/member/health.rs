//! Lifeguard's refinements of SWIM: a node that is slow itself suspects others later.

use crate::ids::EntryId;
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Highest score of [`LocalHealth`], the value that Lifeguard's authors use.
const SCORE_MAX: u32 = 8;

/// How much an entry trusts its own observations; 0 is best.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LocalHealth(u32);

impl LocalHealth {
    /// Notes an answer in time.
    pub(super) fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Notes a missing answer or a wrong suspicion of this entry.
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
    /// Starts with the suspicion of `by`; `needed` confirmations by others move the deadline from `latest` to `earliest`.
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

    /// Notes that `by` suspects as well; returns whether this was new and of use.
    pub(super) fn confirm(&mut self, by: EntryId) -> bool {
        if self.sources.contains(&by) || self.sources.len() > self.needed {
            return false;
        }
        self.sources.push(by);
        true
    }

    /// Returns when the suspect is removed.
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
