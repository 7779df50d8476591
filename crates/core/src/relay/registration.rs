//! Keeps one endpoint in the store's list, under a lease.
//!
//! An entry that has just started reads the list, and uses it to tell whether an endpoint is missing. The list holds
//! no load and no state, so an idle agent only renews its lease.
//!
//! A store that was restored from an older copy has lost leases, and grants their numbers again to other owners. So the
//! agent drops its lease when it notices a restore, and, where the store tells its era, removes its own key instead of
//! revoking a lease that may be another's by the time the call is executed. See docs/design/store-restore.md.

use crate::ids::{EndpointId, LeaseId, StoreEra};
use crate::relay::era::{EraChange, EraController, UNKNOWN_ERA};
use crate::relay::fleet::ListedEndpoint;
use std::time::{Duration, Instant};

/// Lifetime of the lease. An agent restarts within a second or two, during which its endpoint, which keeps its flows,
/// must stay listed. After the loss of a machine, entries cannot end the flows that it held until the lease expires.
pub const LEASE_TTL: Duration = Duration::from_secs(6);

/// Interval between renewals, a third of the lease's lifetime. A renewal also detects that the lease has ended, which
/// removes the endpoint from the list, so the endpoint is listed again after about this time.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time that an agent waits after it has noticed a restore of the store, so that the writes of all agents are spread.
pub const REGISTER_SPREAD: Duration = Duration::from_secs(1);

/// Time after which the endpoint is written or removed once more, if a call that changes its key had no answer: the store
/// may execute that call after later ones, and after a restore under a lease that is not the agent's. A lease that nobody
/// renews has expired by then.
const REPEAT_TIME: Duration = LEASE_TTL;

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
    /// Remove the endpoint's own key, whatever lease it is under, and let the lease expire.
    Remove(EndpointId),
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
    /// The endpoint's key was removed.
    Removed,
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
    /// Endpoint that this agent has written last, with or without an answer.
    own: Option<EndpointId>,
    /// Whether the list may hold `own`.
    may_be_listed: bool,
    retry_at: Option<Instant>,
    failures: u32,
    era: EraController,
    /// Point in time before which no call is made after a restore.
    spread_until: Option<Instant>,
    /// Whether a write had no answer, so that the store may still execute it.
    is_write_uncertain: bool,
    /// Point in time at which the endpoint is written or removed once more.
    repeat_at: Option<Instant>,
}

impl RegistrationController {
    /// Makes a controller for an endpoint that is not listed.
    pub fn new() -> Self {
        Self {
            target: None,
            written: None,
            lease: None,
            own: None,
            may_be_listed: false,
            retry_at: None,
            failures: 0,
            era: EraController::default(),
            spread_until: None,
            is_write_uncertain: false,
            repeat_at: None,
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

    /// Records the highest era that the store's answers have shown, before the outcome of the call that showed it. After a
    /// restore the endpoint is registered again; `jitter`, from 0 to 1, spreads the agents.
    pub fn observe_era(&mut self, era: StoreEra, jitter: f64, now: Instant) -> EraChange {
        let change = self.era.observe(era, now);
        if let EraChange::Restored { .. } = change {
            self.lease = None;
            self.written = None;
            self.spread_until = Some(now + REGISTER_SPREAD.mul_f64(jitter));
            self.plan_repeat(now);
        }
        change
    }

    /// Returns whether the list holds the endpoint that it should, as far as the store's answers show.
    pub fn is_registered(&self) -> bool {
        self.target.is_some() && self.written == self.target
    }

    /// Returns the call that is due at `now`, or how long to wait.
    pub fn next_action(&self, now: Instant) -> RegistrationAction {
        let pause = self.retry_at.max(self.spread_until);
        if let Some(until) = pause.filter(|until| now < *until) {
            return RegistrationAction::Wait(until);
        }
        let is_repeat = self.repeat_at.is_some_and(|repeat_at| repeat_at <= now);
        let idle = now + RENEW_INTERVAL;
        let tells_era = self.era.era() != UNKNOWN_ERA;
        match (&self.target, self.lease) {
            (None, Some(lease)) if !tells_era => RegistrationAction::Revoke(lease.id),
            (None, _) => match self.own {
                Some(id) if tells_era && (self.may_be_listed || is_repeat) => {
                    RegistrationAction::Remove(id)
                }
                _ => RegistrationAction::Wait(self.next_repeat(idle)),
            },
            (Some(_), None) => RegistrationAction::Grant,
            (Some(target), Some(lease)) if is_repeat || self.written.as_ref() != Some(target) => {
                RegistrationAction::Write(target.clone(), lease.id)
            }
            (Some(_), Some(lease)) if lease.renew_at <= now => RegistrationAction::Renew(lease.id),
            (Some(_), Some(lease)) => RegistrationAction::Wait(self.next_repeat(lease.renew_at)),
        }
    }

    /// Returns `due`, or the time of the repetition if that is earlier.
    fn next_repeat(&self, due: Instant) -> Instant {
        self.repeat_at.map_or(due, |repeat_at| repeat_at.min(due))
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
        if let RegistrationAction::Write(endpoint, _) = action {
            self.own = Some(endpoint.id);
            self.may_be_listed = true;
        }
        if outcome == RegistrationOutcome::Failed {
            match action {
                RegistrationAction::Write(..) => self.is_write_uncertain = true,
                // Executed late, it would remove what was written after it.
                RegistrationAction::Remove(_) => self.repeat_at = Some(now + REPEAT_TIME),
                _ => {}
            }
            let pause = RETRY_MIN * 2_u32.saturating_pow(self.failures.min(8));
            self.failures += 1;
            self.retry_at = Some(now + pause.min(RETRY_MAX).mul_f64(0.5 + jitter / 2.0));
            return;
        }
        self.failures = 0;
        self.retry_at = None;
        match outcome {
            RegistrationOutcome::Granted(id) => {
                self.plan_repeat(now);
                self.written = None;
                self.lease = Some(HeldLease {
                    id,
                    renew_at: now + RENEW_INTERVAL,
                });
            }
            RegistrationOutcome::Written => {
                self.end_repeat(now);
                // A lease that was dropped meanwhile belongs to the era before a restore, and the record may be under the
                // lease of another owner.
                match (action, self.lease) {
                    (RegistrationAction::Write(endpoint, id), Some(lease)) if lease.id == *id => {
                        self.written = Some(endpoint.clone());
                    }
                    _ => {}
                }
            }
            RegistrationOutcome::Renewed => {
                if let Some(lease) = &mut self.lease {
                    lease.renew_at = now + RENEW_INTERVAL;
                }
            }
            RegistrationOutcome::Removed => {
                self.end_repeat(now);
                self.plan_repeat(now);
                self.may_be_listed = false;
                self.lease = None;
                self.written = None;
            }
            RegistrationOutcome::Revoked | RegistrationOutcome::LeaseLost => {
                self.lease = None;
                self.written = None;
            }
            RegistrationOutcome::Failed => {}
        }
    }

    /// Plans a repetition after the lease was replaced or the key removed, if a write may still be executed: it would put
    /// the record under the lease before. A store without eras gets no further calls; there the lease has been revoked.
    fn plan_repeat(&mut self, now: Instant) {
        if self.era.era() != UNKNOWN_ERA && std::mem::take(&mut self.is_write_uncertain) {
            self.repeat_at = Some(now + REPEAT_TIME);
        }
    }

    fn end_repeat(&mut self, now: Instant) {
        self.repeat_at = self.repeat_at.filter(|repeat_at| now < *repeat_at);
    }
}

impl Default for RegistrationController {
    fn default() -> Self {
        Self::new()
    }
}
