//! Reports what became of a keyed request.

use super::context::TrafficContext;
use quetzalhill_core::once::{OnceKey, OnceOutcome};
use std::rc::Rc;

/// Reports the outcome of a keyed request, also when its task ends early.
pub(crate) struct OnceTicket {
    context: Rc<TrafficContext>,
    key: OnceKey,
    outcome: OnceOutcome,
}

impl OnceTicket {
    /// Makes the ticket of a request that has not run yet.
    pub(crate) fn new(context: Rc<TrafficContext>, key: OnceKey) -> Self {
        Self {
            context,
            key,
            outcome: OnceOutcome::NotRun,
        }
    }

    /// Sets what is reported when the ticket is dropped.
    pub(crate) fn set(&mut self, outcome: OnceOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for OnceTicket {
    fn drop(&mut self) {
        let outcome = std::mem::replace(&mut self.outcome, OnceOutcome::NotRun);
        self.context.once.borrow_mut().finish(&self.key, outcome);
    }
}
