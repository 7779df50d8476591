//! Ejects an upstream that resets its requests although it announces itself as ready.
//!
//! An upstream that fails at once looks idle, so placement by load would send it more and more flows. While it is
//! ejected, its agent returns new flows, and entries place them elsewhere if they can.

use crate::eject::{EjectController, EjectState};
use crate::ids::EndpointId;
use crate::relay::load::RequestOutcome;
use rand::rngs::SmallRng;
use std::time::Instant;

/// ID of the agent's only upstream in the ejection state.
const UPSTREAM: EndpointId = 0;

/// Number of endpoints from which the limit of the ejected share is computed; the maximum disables the limit. An
/// agent knows only its own upstream, and entries still place flows on an ejected one as a last resort, so ejection
/// cannot leave a service without endpoints.
const ENDPOINTS: usize = usize::MAX;

/// Ejection state of one upstream, from the outcomes of its requests.
#[derive(Debug)]
pub struct AnswerHealth {
    eject: EjectController,
    rng: SmallRng,
}

impl AnswerHealth {
    /// Makes the state of an upstream without failures; `rng` adds jitter to the times of ejections.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            eject: EjectController::new(),
            rng,
        }
    }

    /// Records the outcome of a request, and returns whether it ejects the upstream.
    pub fn record(&mut self, outcome: RequestOutcome, now: Instant) -> bool {
        let ok = match outcome {
            RequestOutcome::Answered(_) => true,
            RequestOutcome::Reset => false,
        };
        // An ejection whose time is over has to turn into probing before the outcome counts.
        self.eject.state(UPSTREAM, now);
        self.eject
            .record(UPSTREAM, ok, ENDPOINTS, now, &mut self.rng)
    }

    /// Returns whether the upstream may receive new flows, that is, is not ejected.
    pub fn takes_flows(&mut self, now: Instant) -> bool {
        match self.eject.state(UPSTREAM, now) {
            EjectState::Serving | EjectState::Probing => true,
            EjectState::Ejected { .. } => false,
        }
    }

    /// Clears all failures, after the upstream has restarted.
    pub fn reset(&mut self) {
        self.eject = EjectController::new();
    }
}
