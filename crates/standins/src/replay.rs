//! Recorded traces and their replay through the decision code against the outcomes that each trace states.

pub mod flows;
pub mod measure;
pub mod run;
pub mod scenario;
pub mod trace;
