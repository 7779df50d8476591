//! Digest of the flows that an upstream holds, with two bytes per flow.
//!
//! The expected load is all callers returning at once after upstreams were lost, with flows that no endpoint holds
//! any more: querying every endpoint for every such flow takes longer than the callers wait. A digest tells which
//! endpoints cannot hold a flow. Two flows with the same fingerprint cost one needless query.

use crate::relay::packet::FlowAddresses;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the fingerprint hash, so that fingerprints are independent of the ranks of endpoints.
const FINGERPRINT_SEED: u64 = 0xd16e57;

/// Limit of flows in a digest, which has to fit into one datagram with the rest of a report.
pub const DIGEST_MAX: usize = 400;

/// Short hash of a flow's addresses; different flows may share one.
pub type FlowFingerprint = u16;

/// Returns the fingerprint of `flow`.
pub fn fingerprint_of(flow: FlowAddresses) -> FlowFingerprint {
    // CAST: The low bits of the hash are as good as any others.
    xxh3_64_with_seed(&flow.to_bytes(), FINGERPRINT_SEED) as FlowFingerprint
}

/// Fingerprints of all flows that an upstream may hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FlowDigest {
    /// Sorted in ascending order and without duplicates, for the binary search.
    fingerprints: Vec<FlowFingerprint>,
}

impl FlowDigest {
    /// Makes the digest of flows with these fingerprints, in any order.
    pub fn new(mut fingerprints: Vec<FlowFingerprint>) -> Self {
        fingerprints.sort_unstable();
        fingerprints.dedup();
        Self { fingerprints }
    }

    /// Returns whether the upstream may hold a flow with this fingerprint.
    pub fn contains(&self, fingerprint: FlowFingerprint) -> bool {
        self.fingerprints.binary_search(&fingerprint).is_ok()
    }

    /// Returns the fingerprints in ascending order.
    pub fn fingerprints(&self) -> &[FlowFingerprint] {
        &self.fingerprints
    }
}
