//! What both binaries share: settings, events, keys.

pub mod event;
pub mod keys;
pub mod settings;
