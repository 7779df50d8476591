//! Reporting of the outcomes of keyed requests.

use super::context::TrafficContext;
use quetzalhill_core::once::{OnceKey, OnceOutcome};
use std::rc::Rc;

/// Reports the outcome of a keyed request when it is dropped, so that a cancelled task reports it too.
pub(crate) struct OnceTicket {
    context: Rc<TrafficContext>,
    key: OnceKey,
    outcome: OnceOutcome,
}

impl OnceTicket {
    /// Creates a ticket that reports [`OnceOutcome::NotRun`] until another outcome is set.
    pub(crate) fn new(context: Rc<TrafficContext>, key: OnceKey) -> Self {
        Self {
            context,
            key,
            outcome: OnceOutcome::NotRun,
        }
    }

    /// Sets the outcome to report when the ticket is dropped.
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
