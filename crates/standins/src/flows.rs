//! Stand-ins for opaque flows: callers, the fabric and the upstreams of the first users' platform.
//!
//! They run as tasks of one thread and share a [`ledger::FlowLedger`], which holds the actual state of every flow and
//! request and records the violations that callers and upstreams observe.

pub mod caller;
pub mod fabric;
pub mod ledger;
pub mod upstream;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Key of the checksum, which the relay does not know, so that it cannot forge a packet of a caller or an upstream.
const CHECKSUM_KEY: u64 = 0x9e37_79b9;

/// Bytes of a receive buffer; larger than any packet.
const BUFFER_BYTES: usize = 2_048;

/// Computes the checksum of a packet of a caller or an upstream. It is never 0, the value in packets of the relay.
fn checksum(bytes: &[u8]) -> u32 {
    // CAST: The low half of the hash is as good as the whole.
    (xxh3_64_with_seed(bytes, CHECKSUM_KEY) as u32).max(1)
}
