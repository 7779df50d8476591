//! Outlier ejection based on request outcomes, and slow start.
//!
//! An upstream can pass its health checks and still fail every request; only the request outcomes show this.

use crate::ids::EndpointId;
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Number of consecutive failures after which an endpoint is ejected.
const CONSECUTIVE_FAILURES: u32 = 5;

/// Failure rate from which an endpoint is ejected, once there are `MIN_SAMPLES` outcomes.
const FAILURE_RATE: f64 = 0.5;

/// Outcomes needed before the failure rate is considered.
const MIN_SAMPLES: u32 = 20;

/// Weight of a new outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f64 = 0.05;

/// Duration of the first ejection before jitter; doubles with each further one.
const BASE_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum duration of an ejection before jitter.
const MAX_INTERVAL: Duration = Duration::from_secs(60);

/// Maximum share of the endpoints that may be ejected at the same time; one endpoint always may.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// Successful probes after which an ejected endpoint returns to service.
const PROBE_SUCCESSES: u32 = 3;

/// Time over which the share of requests for a new or returning endpoint increases linearly to its full value.
pub const SLOW_START: Duration = Duration::from_secs(10);

/// Initial share of a new or returning endpoint.
const SLOW_START_FLOOR: f64 = 0.1;

/// Whether an endpoint receives requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EjectState {
    /// Receives requests as usual.
    Serving,
    /// Receives no requests until the given time.
    Ejected {
        /// When probing starts.
        until: Instant,
    },
    /// Receives one request at a time until enough succeed or one fails.
    Probing,
}

#[derive(Debug)]
struct OutcomeRecord {
    state: EjectState,
    consecutive: u32,
    samples: u32,
    failure_rate: f64,
    ejections: u32,
    probe_successes: u32,
}

/// Tracks the request outcomes of each endpoint and ejects failing endpoints.
#[derive(Debug, Default)]
pub struct EjectController {
    records: HashMap<EndpointId, OutcomeRecord>,
}

impl EjectController {
    /// Creates a controller without outcomes, in which every endpoint is in service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the outcome of a request; `total` is the number of endpoints of the service.
    ///
    /// Returns whether this outcome caused an ejection.
    pub fn record(
        &mut self,
        endpoint: EndpointId,
        ok: bool,
        total: usize,
        now: Instant,
        rng: &mut SmallRng,
    ) -> bool {
        let ejected = self.ejected_count(now);
        let record = self.records.entry(endpoint).or_default();
        record.samples = record.samples.saturating_add(1);
        let sample = if ok { 0.0 } else { 1.0 };
        record.failure_rate += OUTCOME_WEIGHT * (sample - record.failure_rate);
        if ok {
            record.record_success();
            return false;
        }
        record.consecutive += 1;
        let failing = match record.state {
            EjectState::Serving => record.is_failing(),
            EjectState::Probing => true,
            EjectState::Ejected { .. } => false,
        };
        // CAST: The number of endpoints of a service is far below 2^52.
        let allowed = total as f64 * MAX_EJECTED_SHARE;
        // CAST: As above.
        if !failing || (ejected + 1) as f64 > allowed.max(1.0) {
            return false;
        }
        record.eject(now, rng);
        true
    }

    /// Returns the state of an endpoint at `now`, after changing an expired ejection to probing.
    pub fn state(&mut self, endpoint: EndpointId, now: Instant) -> EjectState {
        let Some(record) = self.records.get_mut(&endpoint) else {
            return EjectState::Serving;
        };
        if matches!(record.state, EjectState::Ejected { until } if until <= now) {
            record.state = EjectState::Probing;
            record.probe_successes = 0;
        }
        record.state
    }

    /// Returns the recorded state of an endpoint without updating it; an ejection may have expired.
    pub fn recorded_state(&self, endpoint: EndpointId) -> EjectState {
        let record = self.records.get(&endpoint);
        record.map_or(EjectState::Serving, |record| record.state)
    }

    /// Returns the number of endpoints that are ejected at `now`, excluding expired ejections.
    pub fn ejected_count(&self, now: Instant) -> usize {
        let states = self.records.values().map(|record| record.state);
        states
            .filter(|state| matches!(state, EjectState::Ejected { until } if *until > now))
            .count()
    }

    /// Returns the earliest end of a recorded ejection, which is in the past if `state` has not been called since.
    pub fn next_deadline(&self) -> Option<Instant> {
        let states = self.records.values().map(|record| record.state);
        states
            .filter_map(|state| match state {
                EjectState::Ejected { until } => Some(until),
                EjectState::Serving | EjectState::Probing => None,
            })
            .min()
    }

    /// Removes the outcomes of the endpoints for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(EndpointId) -> bool) {
        self.records.retain(|&endpoint, _| keep(endpoint));
    }
}

impl Default for OutcomeRecord {
    fn default() -> Self {
        Self {
            state: EjectState::Serving,
            consecutive: 0,
            samples: 0,
            failure_rate: 0.0,
            ejections: 0,
            probe_successes: 0,
        }
    }
}

impl OutcomeRecord {
    fn is_failing(&self) -> bool {
        let by_rate = self.samples >= MIN_SAMPLES && self.failure_rate >= FAILURE_RATE;
        by_rate || self.consecutive >= CONSECUTIVE_FAILURES
    }

    fn record_success(&mut self) {
        self.consecutive = 0;
        if self.state != EjectState::Probing {
            return;
        }
        self.probe_successes += 1;
        if self.probe_successes < PROBE_SUCCESSES {
            return;
        }
        self.state = EjectState::Serving;
        self.ejections = 0;
        self.samples = 0;
        self.failure_rate = 0.0;
    }

    fn eject(&mut self, now: Instant, rng: &mut SmallRng) {
        let doubled = BASE_INTERVAL.saturating_mul(1 << self.ejections.min(5));
        // Jitter prevents endpoints that failed together from returning at the same time.
        let interval = doubled
            .min(MAX_INTERVAL)
            .mul_f64(rng.random_range(0.75..1.25));
        self.ejections += 1;
        self.state = EjectState::Ejected {
            until: now + interval,
        };
    }
}

/// Returns the share of the usual requests, from 0.1 to 1, for an endpoint that became ready at `since`.
pub fn slow_start_share(since: Instant, now: Instant) -> f64 {
    let known = now.saturating_duration_since(since).as_secs_f64();
    (known / SLOW_START.as_secs_f64()).clamp(SLOW_START_FLOOR, 1.0)
}
