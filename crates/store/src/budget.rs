//! Rate limits on the calls that one instance makes to the store.
//!
//! The store serves several hundred writes and about two thousand reads a second for the whole fleet, and counts
//! a pending watch as a call. The limits keep a faulty instance from exhausting the capacity that the others need.

use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::time::Instant;

/// Class of a call; each has its own limit.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallKind {
    /// A range read. The long-polling client also counts each long poll and each renewal of a lease as one.
    Read,
    /// A transaction or a call on a lease, except a renewal by the long-polling client.
    Write,
    /// A watch on a streamed connection, which counts for as long as it is open.
    Watch,
}

impl CallKind {
    /// Returns the name used in messages and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CallKind::Read => "read",
            CallKind::Write => "write",
            CallKind::Watch => "watch",
        }
    }
}

/// A call that was refused before it was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetError {
    /// Kind of call whose limit is reached.
    pub kind: CallKind,
}

impl Display for BudgetError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        write!(
            f,
            "the instance has used up its budget of {} calls to the store",
            self.kind.name()
        )
    }
}

impl Error for BudgetError {}

/// Limits of one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Sustained rate of calls of the kind [`CallKind::Read`], per second.
    pub reads_per_s: f64,
    /// Calls of the kind [`CallKind::Read`] that may be made at once after an idle time.
    pub read_burst: f64,
    /// Sustained rate of calls of the kind [`CallKind::Write`], per second.
    pub writes_per_s: f64,
    /// Calls of the kind [`CallKind::Write`] that may be made at once after an idle time.
    pub write_burst: f64,
    /// Watches that may be open at the same time.
    pub watches: u32,
}

impl Default for BudgetLimits {
    /// The burst of reads suffices to load the whole catalogue several times; one load takes one read of the head and
    /// one of the shards.
    fn default() -> Self {
        Self {
            reads_per_s: 10.0,
            read_burst: 40.0,
            writes_per_s: 2.0,
            write_burst: 20.0,
            watches: 2,
        }
    }
}

/// Counters of the calls of one instance since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Calls of the kind [`CallKind::Read`] that the budget allowed.
    pub reads: u64,
    /// Calls of the kind [`CallKind::Write`] that the budget allowed.
    pub writes: u64,
    /// Watches that the budget allowed, including closed ones.
    pub watches: u64,
    /// Watches that are open now.
    pub open_watches: u32,
    /// Calls of any kind that the budget refused.
    pub refused: u64,
}

/// Token bucket: refills at a constant rate, and each call takes one token.
#[derive(Clone, Debug)]
struct TokenBucket {
    tokens_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self {
            tokens_per_s: rate,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = self.burst.min(self.tokens + elapsed * self.tokens_per_s);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Counts the calls of one instance and refuses those over its limits.
#[derive(Clone, Debug)]
pub struct CallBudget {
    reads: TokenBucket,
    writes: TokenBucket,
    watches: u32,
    counts: CallCounts,
}

impl CallBudget {
    /// Makes a budget with full token buckets at `now`.
    pub fn new(limits: BudgetLimits, now: Instant) -> Self {
        Self {
            reads: TokenBucket::new(limits.reads_per_s, limits.read_burst, now),
            writes: TokenBucket::new(limits.writes_per_s, limits.write_burst, now),
            watches: limits.watches,
            counts: CallCounts::default(),
        }
    }

    /// Charges a call that is about to be made. A watch occupies its place until [`CallBudget::watch_ended`].
    ///
    /// # Errors
    ///
    /// The limit for this kind of call is reached; the caller must not make the call.
    pub fn charge(&mut self, kind: CallKind, now: Instant) -> Result<(), BudgetError> {
        let allowed = match kind {
            CallKind::Read => self.reads.try_take(now),
            CallKind::Write => self.writes.try_take(now),
            CallKind::Watch => self.counts.open_watches < self.watches,
        };
        if !allowed {
            self.counts.refused += 1;
            return Err(BudgetError { kind });
        }
        match kind {
            CallKind::Read => self.counts.reads += 1,
            CallKind::Write => self.counts.writes += 1,
            CallKind::Watch => {
                self.counts.watches += 1;
                self.counts.open_watches += 1;
            }
        }
        Ok(())
    }

    /// Releases the place of a watch that was closed.
    pub fn watch_ended(&mut self) {
        self.counts.open_watches = self.counts.open_watches.saturating_sub(1);
    }

    /// Returns the counters of allowed and refused calls.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }
}
