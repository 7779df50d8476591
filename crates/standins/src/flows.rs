//! Stand-ins for opaque flows: callers, the fabric and the upstreams of the first users' platform.
//!
//! They run as tasks of one thread, share a [`ledger::FlowLedger`] that knows the truth of every flow, and note there
//! what callers and upstreams must never see.

pub mod caller;
pub mod fabric;
pub mod ledger;
pub mod upstream;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Key of the checksum, which only the two ends of a flow know.
const CHECKSUM_KEY: u64 = 0x9e37_79b9;

/// Bytes of a receive buffer; larger than any packet.
const BUFFER_BYTES: usize = 2_048;

/// Computes the checksum of a packet. A packet of the system has 0, which an end never uses.
fn checksum(bytes: &[u8]) -> u32 {
    // CAST: The low half of the hash is as good as the whole.
    (xxh3_64_with_seed(bytes, CHECKSUM_KEY) as u32).max(1)
}
