//! Code that the binaries of entries and agents share: settings, events, log, metrics, admin pages, keys.

pub mod admin;
pub mod calls;
pub mod event;
pub mod fetch;
pub mod keys;
pub mod log;
pub mod metrics;
pub mod output;
pub mod relay;
pub mod settings;
pub mod sockets;
pub mod status;
