//! Stand-ins for callers, fabric, upstreams and the platform, for tests and measurements only.
//!
//! Every stand-in runs as threads with its own sockets on loopback, so that the real entries and agents meet it
//! through the network. See docs/design.md, section 3.

pub mod bench;
pub mod caller;
pub mod certificate;
pub mod delay;
pub mod deployment;
pub mod fabric;
pub mod layout;
pub mod link;
pub mod node;
pub mod operator;
pub mod payload;
pub mod scenario;
pub mod site;
pub mod store;
pub mod testbed;
pub mod upstream;
pub mod workdir;
pub mod workload;
