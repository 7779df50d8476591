//! How far the ranges of the store have been read, for decisions and for metrics.

use crate::relay::counters::{set, RelayCounters};
use quetzalhill_store::api::{CallEnd, StoreRevision};
use std::time::{Duration, Instant};

/// Name of the routes in the log field and the label `follows`.
pub(super) const ROUTES_NAME: &str = "routes";

/// Name of the list of endpoints in the log field and the label `follows`.
pub(super) const ENDPOINTS_NAME: &str = "endpoints";

/// How far a range of the store has been read, and whether it is up to date.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct RangeState {
    pub(super) loaded: bool,
    pub(super) current: bool,
    /// Start of the last read of the whole range.
    pub(super) read: Option<Instant>,
}

impl RangeState {
    /// Records a read of the whole range, which began at `read` unless it may miss earlier changes.
    pub(super) fn record_loaded(&mut self, read: Option<Instant>) {
        self.loaded = true;
        self.current = true;
        self.read = self.read.max(read);
    }
}

/// What the answers of the store show about a range, for logs and metrics only; no decision depends on it.
#[derive(Debug)]
pub(super) struct RangeProgress {
    /// Name of the range in the label `follows`.
    follows: &'static str,
    /// Store revision of the last answer; 0 before the first one.
    revision: StoreRevision,
    /// Start of the last read, or arrival of the last answer to a poll or of a replica, whichever is later.
    confirmed: Option<Instant>,
    /// Whether a read or a poll of the follower has failed since the last answer.
    failing: bool,
}

impl RangeProgress {
    pub(super) fn new(follows: &'static str) -> Self {
        Self {
            follows,
            revision: 0,
            confirmed: None,
            failing: false,
        }
    }

    /// Returns when the store last confirmed the range.
    pub(super) fn confirmed(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Records an answer that shows the range as of `confirmed`. Returns the age of the state before it, or zero for the
    /// first answer.
    pub(super) fn record_answer(
        &mut self,
        revision: StoreRevision,
        confirmed: Instant,
        now: Instant,
        counters: &RelayCounters,
    ) -> Duration {
        let age = self.age(now);
        if self.failing && self.confirmed.is_some() {
            let catch_up = &counters.store_catch_up;
            let catch_up = catch_up.with_label_values(&[self.follows]);
            catch_up.observe(age.as_secs_f64());
        }
        self.failing = false;
        self.revision = revision;
        self.record_confirmed(confirmed);
        age
    }

    /// Records that another entry has confirmed the range as of `confirmed`.
    pub(super) fn record_confirmed(&mut self, confirmed: Instant) {
        self.confirmed = self.confirmed.max(Some(confirmed));
    }

    /// Records the failure of a read or poll of the follower.
    pub(super) fn record_failure(&mut self, end: CallEnd, counters: &RelayCounters) {
        self.failing = true;
        self.count_failure(end, counters);
    }

    /// Counts a failed read that the follower does not depend on.
    pub(super) fn count_failure(&self, end: CallEnd, counters: &RelayCounters) {
        let failures = &counters.store_failures;
        failures
            .with_label_values(&[self.follows, end.name()])
            .inc();
    }

    /// Updates the gauges of the range.
    pub(super) fn update_metrics(&self, now: Instant, counters: &RelayCounters) {
        let revision = counters.range_revision.with_label_values(&[self.follows]);
        set(&revision, self.revision);
        let age = counters.range_age.with_label_values(&[self.follows]);
        age.set(self.age(now).as_secs_f64());
    }

    /// Returns the time since the store last confirmed the range, or zero before the first answer.
    pub(super) fn age(&self, now: Instant) -> Duration {
        let age = self.confirmed.map(|confirmed| now - confirmed);
        age.unwrap_or_default()
    }
}
