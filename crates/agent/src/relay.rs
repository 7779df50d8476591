//! An agent of the relay: gives the packets of opaque flows to the upstream beside it.
//!
//! See docs/relay.md.

mod control;
mod counters;
mod registration;
pub mod run;
pub mod settings;
mod shared;
mod traffic;
