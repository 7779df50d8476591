//! The relay: the front end for flows whose bytes only their two ends can read.
//!
//! Caller and upstream exchange packets of a transport that quetzalhill cannot change, so that a flow has no
//! connection ID that names its endpoint. An entry places a new flow by load among a few candidates that the
//! addresses of the flow determine, and finds the endpoint of a flow that it does not know by asking the
//! candidates in the same order. See docs/relay.md.

pub mod chain;
pub mod digest;
pub mod fleet;
pub mod flows;
pub mod health;
pub mod hold;
pub mod intake;
pub mod load;
pub mod packet;
pub mod place;
pub mod presence;
pub mod registration;
pub mod routes;
pub mod view;
