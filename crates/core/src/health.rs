//! Decides from its answers whether the upstream of an agent serves.
//!
//! Health endpoints may be stale or misleading, so that no single answer decides, and requests that the upstream
//! answers count against failures that its health endpoint reports. See docs/design.md, section 6.

/// Failures in a row after which an upstream counts as out of service, and answers in a row that say that it drains.
const CONFIRMATIONS: u32 = 3;

/// What was seen of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthEvent {
    /// It answered a request.
    Answered,
    /// It takes no connection, or its health endpoint does not answer or reports a failure.
    Failed,
    /// Its health endpoint says that it serves, or it has none.
    Serving,
    /// Its health endpoint says that it takes no new work.
    Unavailable,
    /// Dispatch began or ceased to avoid it, because its answers are failures.
    Ejected(bool),
}

/// What the agent has to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthAction {
    /// Announce the endpoint as ready.
    Ready,
    /// Hand all requests to peers and announce the endpoint as not ready.
    NotReady,
    /// Drain the endpoint, because its upstream is leaving.
    Drain,
}

/// Owns what an agent believes of its upstream.
#[derive(Debug, Default)]
pub struct HealthController {
    /// What was last announced.
    ready: bool,
    /// Whether the upstream has ever served; one that starts cold is unavailable and not leaving.
    served: bool,
    reachable: bool,
    ejected: bool,
    draining: bool,
    failures: u32,
    refusals: u32,
}

impl HealthController {
    /// Makes the controller of an upstream that has not answered yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the upstream serves.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns whether the last answers leave a doubt, so that the next question should not wait.
    pub fn is_in_doubt(&self) -> bool {
        !self.ready || self.failures > 0 || self.refusals > 0
    }

    /// Takes what was seen and returns what has to be done.
    pub fn handle(&mut self, event: HealthEvent) -> Option<HealthAction> {
        match event {
            HealthEvent::Answered => self.failures = 0,
            HealthEvent::Failed => {
                self.refusals = 0;
                self.failures = self.failures.saturating_add(1);
            }
            HealthEvent::Serving => {
                self.failures = 0;
                self.refusals = 0;
                self.reachable = true;
            }
            HealthEvent::Unavailable => {
                self.failures = 0;
                self.refusals = self.refusals.saturating_add(1);
            }
            HealthEvent::Ejected(ejected) => self.ejected = ejected,
        }
        if self.failures >= CONFIRMATIONS {
            self.reachable = false;
        }
        if self.draining {
            return None;
        }
        if self.served && self.refusals >= CONFIRMATIONS {
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
        self.served |= ready;
        match ready {
            true => Some(HealthAction::Ready),
            false => Some(HealthAction::NotReady),
        }
    }
}
