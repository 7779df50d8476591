//! Health of one upstream by its answers: it may claim health and reset every request.
//!
//! The load meant is that of an upstream which fails at once: it looks idle, so that placement by load sends it more and
//! more flows. Its agent returns new flows while it is ejected, and entries place them elsewhere if they can.

use crate::eject::{EjectController, EjectState};
use crate::ids::EndpointId;
use crate::relay::load::RequestOutcome;
use rand::rngs::SmallRng;
use std::time::Instant;

/// The only upstream that an agent has.
const UPSTREAM: EndpointId = 0;

/// Endpoints over which the ejected share is limited. An agent knows only its own; entries place flows on an ejected one
/// as a last resort, so that no service is emptied.
const ENDPOINTS: usize = usize::MAX;

/// Follows the outcomes of requests.
#[derive(Debug)]
pub struct AnswerHealth {
    eject: EjectController,
    rng: SmallRng,
}

impl AnswerHealth {
    /// Makes the health of an upstream of which no failure is known; `rng` spreads the times of ejections.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            eject: EjectController::new(),
            rng,
        }
    }

    /// Notes the outcome of a request, and returns whether it ejects the upstream.
    pub fn record(&mut self, outcome: RequestOutcome, now: Instant) -> bool {
        let ok = match outcome {
            RequestOutcome::Answered(_) => true,
            RequestOutcome::Reset => false,
        };
        // An ejection that is over has to turn into probing before the outcome counts.
        self.eject.state(UPSTREAM, now);
        self.eject
            .record(UPSTREAM, ok, ENDPOINTS, now, &mut self.rng)
    }

    /// Returns whether the upstream takes new flows.
    pub fn takes_flows(&mut self, now: Instant) -> bool {
        match self.eject.state(UPSTREAM, now) {
            EjectState::Serving | EjectState::Probing => true,
            EjectState::Ejected { .. } => false,
        }
    }

    /// Forgets the failures, after the upstream has started anew.
    pub fn reset(&mut self) {
        self.eject = EjectController::new();
    }
}
