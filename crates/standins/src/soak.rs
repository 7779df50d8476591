//! A randomized soak of the relay: runs the real programs as separate processes and injects faults from outside.
//!
//! The seed of a run determines its faults ([`plan`]). Stand-ins take the place of callers, upstreams, fabric and store
//! ([`site`]); [`run`] injects the faults and reports the violations. See docs/soak.md.

pub mod outage;
pub mod plan;
pub mod run;
pub mod site;
