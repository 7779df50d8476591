//! Decision logic of quetzalhill: routing, membership, admission, dispatch and the service catalogue.
//!
//! The package performs no I/O, reads no clock and contains no wire encoding. Callers pass the time as
//! [`std::time::Instant`] and randomness as [`rand::rngs::SmallRng`], so that a replay tool, a test or another
//! front end can drive the same code event by event. See `docs/design.md`,
//! section 3.

pub mod admit;
pub mod catalogue;
pub mod dispatch;
pub mod eject;
pub mod flow;
pub mod health;
pub mod ids;
pub mod member;
pub mod once;
pub mod packet;
pub mod relay;
pub mod replicate;
pub mod request;
pub mod retry;
pub mod route;
