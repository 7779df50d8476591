//! Messages between the processes of quetzalhill, their encoding and their authentication.
//!
//! The decision logic is in `quetzalhill-core`, which does not depend on this package. See docs/design.md, section 5.

pub mod cid;
pub mod control;
pub mod fetch;
pub mod frame;
pub mod handover;
pub mod key;
pub mod packet;
pub mod quic;
pub mod relay;
pub mod session;
