//! A randomized soak of the relay: the real programs as separate processes, and faults from outside them.
//!
//! A seed gives the faults of a run ([`plan`]); stand-ins play callers, upstreams, fabric and store ([`site`]), and
//! [`run`] applies the faults and says what was seen. See docs/soak.md.

pub mod plan;
pub mod run;
pub mod site;
