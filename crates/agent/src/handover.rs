//! Handover of requests to other agents of the service.
//!
//! A request goes to a peer either as an offer of dispatch, or because the peer issued its session token and is
//! therefore its home agent. The receiving agent runs it with the same code as a request of its own callers. See
//! docs/design.md, section 5.

mod body;
mod connection;
pub(crate) mod control;
mod exchange;
pub(crate) mod home;
mod link;
mod message;
pub(crate) mod offer;
pub(crate) mod pool;
pub(crate) mod serve;

pub(crate) use body::PeerBody;
pub(crate) use link::PeerLink;
