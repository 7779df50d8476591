//! Hand-over of requests to other agents of the service.
//!
//! A request goes to a peer because dispatch offers it, or because its session names the peer as its home. The
//! receiving side runs it with the same code as a request of its own callers. See docs/design.md, section 5.

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
