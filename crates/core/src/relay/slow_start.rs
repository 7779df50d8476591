//! Limits the requests in progress at an upstream that has just started or recovered.
//!
//! A fixed limit either floods such an upstream or leaves it idle. The window starts at one request per slot and grows
//! as long as the answers come as soon as the queue explains. See docs/design/pace.md.

use std::time::{Duration, Instant};

/// Requests per slot that the window never exceeds: one runs and one waits, so a further one takes three times its own
/// service time.
pub const CEILING_PER_SLOT: u32 = 2;

/// Multiple of the expected time up to which the answers of a round are good. The mean of four exponential times exceeds
/// it in 4 % of the rounds.
const GOOD_FACTOR: f64 = 2.0;

/// Multiple of the expected time to which an answer counts at most, so that one outlier does not decide a round of eight.
const OUTLIER_FACTOR: f64 = 4.0;

/// Divisor of the window after a round that took too long.
const HALVE: u32 = 2;

/// Answers since the window changed last.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerRound {
    answers: u32,
    /// Sum over the answers of the time taken relative to the time expected.
    ratios: f64,
}

/// The window has reached its ceiling for the first time since its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowFilled {
    /// Requests in progress at which new flows are returned now.
    pub window: u32,
    /// Time since the window started.
    pub elapsed: Duration,
    /// Answers since the window started.
    pub answers: u32,
}

/// Adaptive limit of the requests in progress at which an agent accepts a new flow.
#[derive(Clone, Copy, Debug)]
pub struct StartWindow {
    slots: u32,
    window: u32,
    round: AnswerRound,
    started: Instant,
    answers: u32,
    filled: bool,
}

impl StartWindow {
    /// Makes the window of an upstream with `slots` that has just started.
    pub fn new(slots: u32, now: Instant) -> Self {
        Self {
            slots,
            window: slots,
            round: AnswerRound::default(),
            started: now,
            answers: 0,
            filled: false,
        }
    }

    /// Returns the requests in progress at which new flows are returned; 0 while the slots are not known.
    pub fn limit(&self) -> u32 {
        self.window
    }

    /// Starts again at the number of slots, and returns whether the window had left its start.
    pub fn restart(&mut self, now: Instant) -> bool {
        let changed = self.answers > 0;
        *self = Self::new(self.slots, now);
        changed
    }

    /// Changes the number of slots and keeps the window within its bounds.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.window = self.window.clamp(slots, self.ceiling());
    }

    fn ceiling(&self) -> u32 {
        self.slots.saturating_mul(CEILING_PER_SLOT)
    }

    /// Records an answer that took `taken` in place of `expected`, which is `None` before the first answers. Returns whether
    /// the window has reached its ceiling by it for the first time.
    ///
    /// A window changes once in a round of as many answers as it has requests, so that each change is judged by answers
    /// to requests that were accepted after the last one. The mean of a round decides, since single service times vary.
    pub fn record(
        &mut self,
        taken: Duration,
        expected: Option<Duration>,
        now: Instant,
    ) -> Option<WindowFilled> {
        let ratio = match expected.map(|expected| expected.as_secs_f64()) {
            Some(expected) if expected > 0.0 => taken.as_secs_f64() / expected,
            _ => 1.0,
        };
        self.answers = self.answers.saturating_add(1);
        self.round.answers += 1;
        self.round.ratios += ratio.min(OUTLIER_FACTOR);
        if self.round.answers < self.window {
            return None;
        }
        let is_good = self.round.ratios <= GOOD_FACTOR * f64::from(self.round.answers);
        self.round = AnswerRound::default();
        self.window = match is_good {
            true => self.window.saturating_add(1).min(self.ceiling()),
            false => (self.window / HALVE).max(self.slots),
        };
        if self.filled || self.slots == 0 || self.window < self.ceiling() {
            return None;
        }
        self.filled = true;
        Some(WindowFilled {
            window: self.window,
            elapsed: now.saturating_duration_since(self.started),
            answers: self.answers,
        })
    }
}
