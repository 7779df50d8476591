//! An entry of the relay: forwards the packets of opaque flows to the agents of their endpoints.
//!
//! See docs/relay.md.

mod control;
mod counters;
pub mod run;
pub mod settings;
mod shared;
mod traffic;
