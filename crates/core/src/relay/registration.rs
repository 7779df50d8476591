//! Keeps one endpoint in the store's list, under a lease.
//!
//! An entry that has just started reads the list, and uses it to tell whether an endpoint is missing. The list holds
//! no load and no state, so an idle agent only renews its lease.

use crate::ids::LeaseId;
use crate::relay::fleet::ListedEndpoint;
use std::time::{Duration, Instant};

/// Lifetime of the lease. An agent restarts within a second or two, during which its endpoint, which keeps its flows,
/// must stay listed. After the loss of a machine, entries cannot end the flows that it held until the lease expires.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// Interval between renewals, a third of the lease's lifetime. A renewal also detects that the lease has ended, which
/// removes the endpoint from the list, so the endpoint is listed again after about this time.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Backoff after the first failed call; doubles with each further failure. Jitter shortens it by up to half.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Longest backoff after a failed call, before jitter; expired endpoints have to be listed again two seconds after the
/// store's return.
const RETRY_MAX: Duration = Duration::from_millis(800);

/// Next call of an agent to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistrationAction {
    /// No call until this point in time.
    Wait(Instant),
    /// Obtain a lease of [`LEASE_TTL`].
    Grant,
    /// Write the endpoint under the lease.
    Write(ListedEndpoint, LeaseId),
    /// Renew the lease.
    Renew(LeaseId),
    /// Revoke the lease, which removes the endpoint from the list.
    Revoke(LeaseId),
}

/// Result of a call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationOutcome {
    /// A lease was granted.
    Granted(LeaseId),
    /// The endpoint was written.
    Written,
    /// The lease was renewed.
    Renewed,
    /// The lease was revoked.
    Revoked,
    /// The lease has expired or was revoked by others.
    LeaseLost,
    /// The call failed, or its effect is unknown; all calls are safe to repeat.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    id: LeaseId,
    renew_at: Instant,
}

/// Decides which call an agent makes to the store, and when.
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

    /// Sets the endpoint that the list should hold; `None` removes it.
    pub fn set_target(&mut self, endpoint: Option<ListedEndpoint>) {
        if self.target == endpoint {
            return;
        }
        self.target = endpoint;
        self.retry_at = None;
    }

    /// Returns the call that is due at `now`, or how long to wait.
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

    /// Records the outcome of the call that [`RegistrationController::next_action`] returned.
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
