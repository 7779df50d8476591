//! Tests of membership and catalogue replication in virtual time, with loss, delay, duplication and reordering of
//! messages.

mod catalogue;
mod endpoints;
mod entries;
mod fleet;
mod traffic;
