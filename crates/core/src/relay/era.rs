//! Notices that the store was restored from an older copy, and says until when what it lacks proves nothing.
//!
//! A restored store has lost what was written since the copy was made, and assigns the revisions of the lost changes
//! again. It tells so by an era that is one higher. Agents and operators write again what was lost; until they have had
//! time to, an endpoint that the store does not list may live. See docs/design/store-restore.md.

use crate::ids::StoreEra;
use crate::relay::registration::{REGISTER_SPREAD, RENEW_INTERVAL};
use std::time::{Duration, Instant};

/// Era of an answer that does not tell it, or of a store that has none.
pub const UNKNOWN_ERA: StoreEra = 0;

/// Time after a restore was noticed in which absence from the list of endpoints proves nothing: two renewals of an agent.
/// An agent notices the restore with its next renewal, and registers within [`REGISTER_SPREAD`] after it.
pub const RESTORE_GRACE: Duration = RENEW_INTERVAL.saturating_mul(2);

const _: () = assert!(
    RENEW_INTERVAL.as_millis() + REGISTER_SPREAD.as_millis() < RESTORE_GRACE.as_millis(),
    "an agent may register only after the grace"
);

/// Shortest time between two reads that the same higher era of another entry causes.
const HEARD_GAP: Duration = Duration::from_millis(500);

/// What an answer of the store shows about its era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraChange {
    /// The era is the known one, or the answer does not tell it.
    Unchanged,
    /// The first era that is known. It does not show whether the store was restored lately.
    First,
    /// The store was restored, once or several times.
    Restored {
        /// Era before.
        before: StoreEra,
    },
    /// The answer is from before a restore that is known.
    Older,
}

/// Tracks the era of the store.
#[derive(Clone, Debug, Default)]
pub struct EraController {
    era: StoreEra,
    /// End of the grace after the last restore.
    grace_until: Option<Instant>,
    /// Point in time until which the other entries of the zone are told of the last restore.
    told_until: Option<Instant>,
    /// Point in time until which the grace of another entry is adopted: this process has just started, and may have read
    /// a list that was restored before.
    adopted_until: Option<Instant>,
    /// Higher era that another entry has told, and from when on it causes another read.
    heard: Option<(StoreEra, Instant)>,
}

impl EraController {
    /// Returns the era of the store, or [`UNKNOWN_ERA`].
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Records the highest era that the store's answers have shown.
    pub fn observe(&mut self, era: StoreEra, now: Instant) -> EraChange {
        if era == UNKNOWN_ERA || era == self.era {
            return EraChange::Unchanged;
        }
        if era < self.era {
            return EraChange::Older;
        }
        let before = std::mem::replace(&mut self.era, era);
        let until = Some(now + RESTORE_GRACE);
        if before == UNKNOWN_ERA {
            self.adopted_until = until;
            return EraChange::First;
        }
        self.grace_until = until;
        self.told_until = until;
        EraChange::Restored { before }
    }

    /// Records an era that another entry has told, and returns whether the store has to be read: only its own answers
    /// raise the era, so that a wrong notice does no harm.
    pub fn hear(&mut self, era: StoreEra, now: Instant) -> bool {
        // Other entries tell of an era only for a while after a restore.
        let is_started =
            self.era == UNKNOWN_ERA || self.adopted_until.is_some_and(|until| now < until);
        if is_started && era >= self.era {
            self.grace_until = self.grace_until.max(Some(now + RESTORE_GRACE));
        }
        if era <= self.era {
            return false;
        }
        let repeats = self
            .heard
            .is_some_and(|(heard, next)| era == heard && now < next);
        if !repeats {
            self.heard = Some((era, now + HEARD_GAP));
        }
        !repeats
    }

    /// Returns whether an account of the store from `era` has no place in the order of revisions that counts now.
    pub fn is_foreign(&self, era: StoreEra) -> bool {
        era != UNKNOWN_ERA && era != self.era
    }

    /// Returns the end of the grace after the last restore, if there was one.
    pub fn grace_until(&self) -> Option<Instant> {
        self.grace_until
    }

    /// Returns whether a restore was noticed so recently that absence from the list proves nothing.
    pub fn is_grace(&self, now: Instant) -> bool {
        self.grace_until.is_some_and(|until| now < until)
    }

    /// Returns once after each grace whether it has ended.
    pub fn take_grace_end(&mut self, now: Instant) -> bool {
        let has_ended = self.grace_until.is_some_and(|until| until <= now);
        if has_ended {
            self.grace_until = None;
        }
        has_ended
    }

    /// Returns whether the other entries of the zone have to be told of a restore.
    pub fn is_told(&self, now: Instant) -> bool {
        self.told_until.is_some_and(|until| now < until)
    }
}
