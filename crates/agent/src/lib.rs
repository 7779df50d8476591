//! The agent, the process beside an upstream, which holds the callers' connections and runs their requests.

mod handover;
pub mod settings;
pub mod shared;
pub mod traffic;
