//! The other side of the platform's formats: what its store, its upstreams and its callers say.
//!
//! Only stand-ins use this module, so that they need not know the platform's names either. Like the rest of the
//! package it decides nothing.

pub mod call;
pub mod packet;
pub mod store;
