//! Limits on the calls that one instance makes to the store.
//!
//! The store serves several hundred writes and about two thousand reads a second for the whole fleet, and counts
//! a pending watch as a call. A fault in one instance must not use up what the others need.

use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::time::Instant;

/// What a call costs the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallKind {
    /// A range read.
    Read,
    /// A transaction or a call on a lease.
    Write,
    /// A watch that waits.
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
    /// Kind of the call.
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
    /// Reads a second in the long run.
    pub reads_per_s: f64,
    /// Reads that may follow each other at once.
    pub read_burst: f64,
    /// Writes and calls on leases a second in the long run.
    pub writes_per_s: f64,
    /// Writes and calls on leases that may follow each other at once.
    pub write_burst: f64,
    /// Watches that may wait at the same time.
    pub watches: u32,
}

impl Default for BudgetLimits {
    /// A burst of reads loads the whole catalogue once, which takes one read of the head and one of the shards,
    /// several times over.
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

/// Calls so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads made.
    pub reads: u64,
    /// Writes and calls on leases made.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches that wait now.
    pub waiting: u32,
    /// Calls refused.
    pub refused: u64,
}

/// Tokens that refill at a constant rate.
#[derive(Clone, Debug)]
struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            filled: now,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = self.burst.min(self.tokens + elapsed * self.rate);
        self.filled = self.filled.max(now);
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
    /// Makes a budget whose buckets are full at `now`.
    pub fn new(limits: BudgetLimits, now: Instant) -> Self {
        Self {
            reads: TokenBucket::new(limits.reads_per_s, limits.read_burst, now),
            writes: TokenBucket::new(limits.writes_per_s, limits.write_burst, now),
            watches: limits.watches,
            counts: CallCounts::default(),
        }
    }

    /// Counts a call that is about to be made. A watch counts until [`CallBudget::watch_ended`].
    ///
    /// # Errors
    ///
    /// The limit for this kind of call is reached; the call must not be made.
    pub fn take(&mut self, kind: CallKind, now: Instant) -> Result<(), BudgetError> {
        let allowed = match kind {
            CallKind::Read => self.reads.take(now),
            CallKind::Write => self.writes.take(now),
            CallKind::Watch => self.counts.waiting < self.watches,
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
                self.counts.waiting += 1;
            }
        }
        Ok(())
    }

    /// Notes that a watch does not wait any more.
    pub fn watch_ended(&mut self) {
        self.counts.waiting = self.counts.waiting.saturating_sub(1);
    }

    /// Returns the calls so far.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }
}
