//! The reverse direction of the codec: decodes what the product sends and encodes what the platform's store,
//! upstreams and callers send.
//!
//! Only the stand-ins use this module, so that they do not depend on the platform's names either. Like the rest of the
//! package it makes no decisions.

pub mod call;
pub mod draft;
pub mod packet;
pub mod store;
