//! The agent: the process next to an upstream. It either terminates the callers' connections and passes their
//! requests to the upstream, or relays the packets of opaque flows.

pub mod cmd;
pub mod control;
mod handover;
pub mod relay;
pub mod run;
pub mod settings;
pub mod shared;
mod status;
pub mod traffic;
