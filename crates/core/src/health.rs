//! Decides from health checks and request results whether the upstream of an agent is in service.
//!
//! Health endpoints can be stale or misleading. Therefore going out of service needs several consecutive results, and
//! a request that the upstream answers resets the count of failures. See docs/design.md, section 6.

/// Consecutive failures after which an upstream is out of service, and consecutive `Unavailable` results after which it
/// is draining.
const CONFIRMATIONS: u32 = 3;

/// An observation of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthEvent {
    /// The upstream answered a request.
    Answered,
    /// The upstream accepts no connection, or its health endpoint does not answer or reports a failure.
    Failed,
    /// The health endpoint answers without a server error, which is also the case if the upstream has none.
    Serving,
    /// The health endpoint reports that the upstream accepts no new requests.
    Unavailable,
    /// Outlier ejection of the upstream began (`true`) or ended (`false`).
    Ejected(bool),
}

/// State change that the agent has to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthAction {
    /// Announce the endpoint as ready.
    Ready,
    /// Hand over all requests to peers and announce the endpoint as not ready.
    NotReady,
    /// Drain the endpoint, because its upstream is shutting down; no further action follows.
    Drain,
}

/// Tracks the health of an agent's upstream.
#[derive(Debug, Default)]
pub struct HealthController {
    /// Whether the endpoint was last announced as ready.
    ready: bool,
    /// Whether the upstream has been ready before. Until then, `Unavailable` means that it is starting and not that it
    /// is shutting down.
    was_ready: bool,
    reachable: bool,
    ejected: bool,
    draining: bool,
    failures: u32,
    unavailable_results: u32,
}

impl HealthController {
    /// Creates a controller for an upstream without any health check result, which is not ready.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the endpoint was last announced as ready.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns whether the next health check should come sooner, because the upstream is not ready or a recent check
    /// did not succeed.
    pub fn needs_early_check(&self) -> bool {
        !self.ready || self.failures > 0 || self.unavailable_results > 0
    }

    /// Applies an observation and returns the resulting state change, if any.
    pub fn handle(&mut self, event: HealthEvent) -> Option<HealthAction> {
        match event {
            HealthEvent::Answered => self.failures = 0,
            HealthEvent::Failed => {
                self.unavailable_results = 0;
                self.failures = self.failures.saturating_add(1);
            }
            HealthEvent::Serving => {
                self.failures = 0;
                self.unavailable_results = 0;
                self.reachable = true;
            }
            HealthEvent::Unavailable => {
                self.failures = 0;
                self.unavailable_results = self.unavailable_results.saturating_add(1);
            }
            HealthEvent::Ejected(ejected) => self.ejected = ejected,
        }
        if self.failures >= CONFIRMATIONS {
            self.reachable = false;
        }
        if self.draining {
            return None;
        }
        if self.was_ready && self.unavailable_results >= CONFIRMATIONS {
            self.draining = true;
            return Some(HealthAction::Drain);
        }
        self.announce()
    }

    fn announce(&mut self) -> Option<HealthAction> {
        let ready = self.reachable && !self.ejected;
        if ready == self.ready {
            return None;
        }
        self.ready = ready;
        self.was_ready |= ready;
        match ready {
            true => Some(HealthAction::Ready),
            false => Some(HealthAction::NotReady),
        }
    }
}
