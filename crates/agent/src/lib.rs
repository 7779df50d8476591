//! The agent, the process beside an upstream, which holds the callers' connections and runs their requests.

pub mod control;
pub mod settings;
pub mod shared;
