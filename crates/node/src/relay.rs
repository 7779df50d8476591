//! Code that the entries and agents of the relay share.

pub mod era;
pub mod follow;
pub mod notices;
pub mod settings;
pub mod signals;
pub mod threads;
