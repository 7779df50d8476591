//! Names, formats and calls of the first users' platform.
//!
//! This package turns the platform's bytes into the product's types and back. It decides nothing, so that another
//! platform needs another package like this one and no change elsewhere. See docs/relay.md.

pub mod announcement;
pub mod manifest;
pub mod packet;
pub mod server;
pub mod standin;
pub mod store;
