//! The agent, the process beside an upstream, which holds the callers' connections and runs their requests.

pub mod cmd;
pub mod control;
mod handover;
pub mod relay;
pub mod run;
pub mod settings;
pub mod shared;
mod status;
pub mod traffic;
