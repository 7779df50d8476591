//! Codec for the names, message formats and HTTP paths of the first users' platform.
//!
//! This package converts between the platform's bytes and the product's types and makes no decisions. Support for
//! another platform needs another package of this kind and no change elsewhere. See docs/relay.md.

pub mod announcement;
pub mod manifest;
pub mod operator;
pub mod packet;
pub mod server;
pub mod standin;
pub mod store;
