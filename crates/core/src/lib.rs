//! Decisions of quetzalhill.
//!
//! Everything in this package is a function of its arguments: it performs no I/O, reads no clock and knows no
//! encoding. Callers pass the time as [`std::time::Instant`] and randomness as [`rand::rngs::SmallRng`], so that
//! a replay tool, a test or another front end drives the same code event by event. See `docs/design.md`,
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
