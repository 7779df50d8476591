//! Keeps one endpoint in the store's list, under a lease.
//!
//! The list is what an entry that has just started reads, and what tells it whether an endpoint is missing. It
//! holds no load and no state, so that a calm agent only renews its lease.

use crate::ids::LeaseId;
use crate::relay::fleet::ListedEndpoint;
use std::time::{Duration, Instant};

/// Life of the lease. An agent restarts within a second or two, and its endpoint, which keeps its flows, must not
/// seem to be gone meanwhile. A lost machine keeps entries from ending flows until its lease ends.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// Time between renewals: a third of the lease's life. Keys that were taken away unnoticed return after this time.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Shortest pause after a failed call.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Longest pause after a failed call; entries that lapsed have to be back two seconds after the store's return.
const RETRY_MAX: Duration = Duration::from_millis(800);

/// What the agent does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistrationAction {
    /// Nothing until a point in time.
    Wait(Instant),
    /// Obtain a lease of [`LEASE_TTL`].
    Grant,
    /// Write the endpoint under the lease.
    Write(ListedEndpoint, LeaseId),
    /// Renew the lease.
    Renew(LeaseId),
    /// End the lease, which removes the endpoint.
    Revoke(LeaseId),
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationOutcome {
    /// A lease was granted.
    Granted(LeaseId),
    /// The endpoint was written.
    Written,
    /// The lease was renewed.
    Renewed,
    /// The lease was ended.
    Revoked,
    /// The lease does not exist any more.
    LeaseLost,
    /// The call failed, or nobody knows whether it took effect; all calls may be repeated.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: LeaseId,
    renew_at: Instant,
}

/// Decides when to call the store.
#[derive(Debug)]
pub struct RegistrationController {
    target: Option<ListedEndpoint>,
    written: Option<ListedEndpoint>,
    lease: Option<HeldLease>,
    retry_at: Option<Instant>,
    failures: u32,
}

impl RegistrationController {
    /// Makes a controller for an endpoint that is not listed.
    pub fn new() -> Self {
        Self {
            target: None,
            written: None,
            lease: None,
            retry_at: None,
            failures: 0,
        }
    }

    /// Says what the list should hold.
    pub fn set_target(&mut self, endpoint: Option<ListedEndpoint>) {
        if self.target == endpoint {
            return;
        }
        self.target = endpoint;
        self.retry_at = None;
    }

    /// Returns what to do at `now`.
    pub fn next_action(&self, now: Instant) -> RegistrationAction {
        if let Some(retry_at) = self.retry_at.filter(|retry_at| now < *retry_at) {
            return RegistrationAction::Wait(retry_at);
        }
        let idle = RegistrationAction::Wait(now + RENEW_INTERVAL);
        match (&self.target, self.lease) {
            (None, None) => idle,
            (None, Some(lease)) => RegistrationAction::Revoke(lease.id),
            (Some(_), None) => RegistrationAction::Grant,
            (Some(target), Some(lease)) if self.written.as_ref() != Some(target) => {
                RegistrationAction::Write(target.clone(), lease.id)
            }
            (Some(_), Some(lease)) if lease.renew_at <= now => RegistrationAction::Renew(lease.id),
            (Some(_), Some(lease)) => RegistrationAction::Wait(lease.renew_at),
        }
    }

    /// Takes the outcome of the call that [`RegistrationController::next_action`] asked for.
    ///
    /// `jitter`, from 0 to 1, spreads the retries of many agents.
    pub fn finish(
        &mut self,
        action: &RegistrationAction,
        outcome: RegistrationOutcome,
        jitter: f64,
        now: Instant,
    ) {
        if outcome == RegistrationOutcome::Failed {
            let pause = RETRY_MIN * 2_u32.saturating_pow(self.failures.min(8));
            self.failures += 1;
            self.retry_at = Some(now + pause.min(RETRY_MAX).mul_f64(0.5 + jitter / 2.0));
            return;
        }
        self.failures = 0;
        self.retry_at = None;
        match outcome {
            RegistrationOutcome::Granted(id) => {
                self.written = None;
                self.lease = Some(HeldLease {
                    id,
                    renew_at: now + RENEW_INTERVAL,
                });
            }
            RegistrationOutcome::Written => {
                if let RegistrationAction::Write(endpoint, _) = action {
                    self.written = Some(endpoint.clone());
                }
            }
            RegistrationOutcome::Renewed => {
                if let Some(lease) = &mut self.lease {
                    lease.renew_at = now + RENEW_INTERVAL;
                }
            }
            RegistrationOutcome::Revoked | RegistrationOutcome::LeaseLost => {
                self.lease = None;
                self.written = None;
            }
            RegistrationOutcome::Failed => {}
        }
    }
}

impl Default for RegistrationController {
    fn default() -> Self {
        Self::new()
    }
}
