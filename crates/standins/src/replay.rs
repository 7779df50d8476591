//! Replay of recorded traces through the routing and dispatch code, and comparison with the outcomes that each trace
//! expects.

pub mod flows;
pub mod measure;
pub mod run;
pub mod scenario;
pub mod trace;
