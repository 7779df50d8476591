//! Retry budget and backoff.

use rand::rngs::SmallRng;
use rand::Rng;
use std::time::{Duration, Instant};

/// Maximum number of unused retries that the budget accumulates.
const MAX_TOKENS: f64 = 10.0;

/// Tokens added per second regardless of traffic, before scaling by the budget's fraction, so that a service with few
/// requests can retry too.
const TOKENS_PER_SECOND: f64 = 0.1;

/// Upper bound of the backoff before the first retry; doubles with each further one.
const BASE_BACKOFF: Duration = Duration::from_millis(5);

/// Upper bound of the backoff before any retry.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Result of an attempt that brought no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The request was certainly not run.
    NotRun,
    /// The request may have run; a retry could run it a second time.
    MayHaveRun,
}

/// Whether and when to retry a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryVerdict {
    /// Retry at this time, after the backoff.
    At(Instant),
    /// Don't retry: the request may have run and is not safe to run twice.
    Unsafe,
    /// Don't retry: the budget is exhausted.
    OverBudget,
    /// Don't retry: the deadline would pass before the retry.
    TooLate,
}

/// Limits retries to a fraction of the requests, so that retries cannot multiply the load of a failing service.
#[derive(Debug)]
pub struct RetryBudget {
    fraction: f64,
    tokens: f64,
    updated: Instant,
}

impl RetryBudget {
    /// Creates an empty budget of `fraction` retries per request, clamped to 0 to 1.
    pub fn new(fraction: f64, now: Instant) -> Self {
        Self {
            fraction: fraction.clamp(0.0, 1.0),
            tokens: 0.0,
            updated: now,
        }
    }

    /// Changes the fraction, clamped to 0 to 1; the tokens are kept.
    pub fn set_fraction(&mut self, fraction: f64) {
        self.fraction = fraction.clamp(0.0, 1.0);
    }

    /// Adds the share of one new request to the budget; not to be called for retries.
    pub fn record_request(&mut self, now: Instant) {
        self.refill(now);
        self.tokens = (self.tokens + self.fraction).min(MAX_TOKENS);
    }

    /// Decides whether to make the `attempt`-th retry of a request, counted from 1, and spends a token if so.
    ///
    /// `safe` tells whether the request may be run twice.
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
        let added = elapsed * TOKENS_PER_SECOND * self.fraction;
        self.tokens = (self.tokens + added).min(MAX_TOKENS);
        self.updated = self.updated.max(now);
    }
}

/// Returns the exponential backoff before the `attempt`-th retry, counted from 1, with full jitter.
pub fn backoff(attempt: u32, rng: &mut SmallRng) -> Duration {
    let doublings = attempt.saturating_sub(1).min(16);
    let upper_bound = BASE_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
    upper_bound.mul_f64(rng.random_range(0.0..1.0))
}
