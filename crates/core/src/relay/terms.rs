//! What the operators' routes require of the requests of a flow, and what services state about their upstreams.

use std::time::Duration;

/// Requirements of a route on its requests. They travel with each packet to the agent, which does not read the routes.
/// See docs/load.md.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FlowTerms {
    /// Urgency of the requests; 0 is the highest.
    pub priority: u8,
    /// Time within which a request should be answered.
    pub target: Duration,
    /// Time after which the caller gives a request up; zero if it is not known.
    pub timeout: Duration,
}

impl FlowTerms {
    /// Lowest priority that is told apart.
    pub const LOWEST_PRIORITY: u8 = 7;
}

impl Default for FlowTerms {
    /// Returns the terms of a flow whose route states none.
    fn default() -> Self {
        Self {
            priority: Self::LOWEST_PRIORITY,
            target: Duration::ZERO,
            timeout: Duration::ZERO,
        }
    }
}
