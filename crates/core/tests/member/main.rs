//! Membership and catalogue replication in virtual time under loss, delay, duplication and reordering.

mod catalogue;
mod endpoints;
mod entries;
mod fleet;
mod traffic;
