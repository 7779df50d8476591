//! What both binaries share: settings, events, keys.

pub mod event;
pub mod fetch;
pub mod keys;
pub mod settings;
