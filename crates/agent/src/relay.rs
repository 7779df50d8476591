//! The agent for opaque flows: relays packets between entries, callers and its upstream.
//!
//! See docs/relay.md.

mod control;
mod counters;
pub mod registration;
pub mod run;
pub mod settings;
mod shared;
mod traffic;
