//! Stand-ins for callers, the fabric, upstreams and the platform, for tests and measurements only.
//!
//! Stand-ins run as threads, or in `flows` as tasks of one thread, with separate sockets on loopback, so that the real
//! entries and agents communicate with them over the network. Only `pool` and `replay` run the decision code in virtual
//! time. See docs/design.md, section 3.

pub mod bench;
pub mod caller;
pub mod certificate;
pub mod delay;
pub mod deployment;
pub mod fabric;
pub mod flows;
pub mod layout;
pub mod link;
pub mod node;
pub mod operator;
pub mod payload;
pub mod pool;
pub mod replay;
pub mod scenario;
pub mod site;
pub mod soak;
pub mod store;
pub mod testbed;
pub mod upstream;
pub mod workdir;
pub mod workload;
