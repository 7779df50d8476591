//! Budget and pauses of further attempts.

use rand::rngs::SmallRng;
use rand::Rng;
use std::time::{Duration, Instant};

/// Attempts that the budget saves up at most.
const MAX_TOKENS: f64 = 10.0;

/// Attempts that the budget regains each second without any requests, so that a quiet service may retry too.
const TOKENS_PER_SECOND: f64 = 0.1;

/// Longest pause before the first retry.
const BASE_PAUSE: Duration = Duration::from_millis(5);

/// Longest pause before any retry.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// What became of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The request was not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
}

/// Whether to attempt a request again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryVerdict {
    /// Attempt it at this time.
    At(Instant),
    /// Running it again could run it twice.
    Unsafe,
    /// The budget is spent.
    OverBudget,
    /// The deadline comes before the next attempt.
    TooLate,
}

/// Bounds extra attempts to a fraction of the requests.
#[derive(Debug)]
pub struct RetryBudget {
    fraction: f64,
    tokens: f64,
    updated: Instant,
}

impl RetryBudget {
    /// Makes a budget of `fraction` extra attempts per request, from 0 to 1.
    pub fn new(fraction: f64, now: Instant) -> Self {
        Self {
            fraction: fraction.clamp(0.0, 1.0),
            tokens: 0.0,
            updated: now,
        }
    }

    /// Changes the fraction.
    pub fn set_fraction(&mut self, fraction: f64) {
        self.fraction = fraction.clamp(0.0, 1.0);
    }

    /// Counts a first attempt.
    pub fn request(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + self.fraction).min(MAX_TOKENS);
    }

    /// Decides whether a request is attempted for the `attempt`-th extra time, counted from 1.
    ///
    /// `safe` says whether running the request twice does no harm.
    pub fn decide(
        &mut self,
        outcome: AttemptOutcome,
        safe: bool,
        attempt: u32,
        deadline: Instant,
        now: Instant,
        rng: &mut SmallRng,
    ) -> RetryVerdict {
        if outcome == AttemptOutcome::MayHaveRun && !safe {
            return RetryVerdict::Unsafe;
        }
        let at = now + backoff(attempt, rng);
        if at >= deadline {
            return RetryVerdict::TooLate;
        }
        self.refill(now);
        if self.tokens < 1.0 {
            return RetryVerdict::OverBudget;
        }
        self.tokens -= 1.0;
        RetryVerdict::At(at)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let refill = elapsed * TOKENS_PER_SECOND * self.fraction;
        self.tokens = (self.tokens + refill).min(MAX_TOKENS);
        self.updated = self.updated.max(now);
    }
}

/// Returns the pause before the `attempt`-th extra attempt, counted from 1, with full jitter.
pub fn backoff(attempt: u32, rng: &mut SmallRng) -> Duration {
    let doublings = attempt.saturating_sub(1).min(16);
    let longest = BASE_PAUSE.saturating_mul(1 << doublings).min(MAX_PAUSE);
    longest.mul_f64(rng.random_range(0.0..1.0))
}
