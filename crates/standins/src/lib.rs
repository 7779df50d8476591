//! Stand-ins for callers, fabric, upstreams and the platform, for tests and measurements only.

pub mod store;
