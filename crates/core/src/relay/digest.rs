//! Which flows an upstream holds, in two bytes for each.
//!
//! The load meant is that of all callers coming back at once after upstreams were lost, with flows that nobody holds any
//! more: asking every endpoint for every such flow takes longer than the callers wait. A digest tells where a flow can't
//! be. A print that two flows share costs a question and nothing else.

use crate::relay::packet::FlowAddresses;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash behind the prints, so that they are independent of the ranks of endpoints.
const FINGERPRINT_SEED: u64 = 0xd16e57;

/// Flows in a digest; it has to fit into one datagram with the rest of a report.
pub const DIGEST_MAX: usize = 400;

/// Hash of a flow's addresses.
pub type FlowFingerprint = u16;

/// Returns the print of `flow`.
pub fn fingerprint_of(flow: FlowAddresses) -> FlowFingerprint {
    // CAST: The low bits of the hash are as good as any others.
    xxh3_64_with_seed(&flow.to_bytes(), FINGERPRINT_SEED) as FlowFingerprint
}

/// The prints of all flows that an upstream may hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FlowDigest {
    /// In ascending order.
    fingerprints: Vec<FlowFingerprint>,
}

impl FlowDigest {
    /// Makes the digest of flows with these prints.
    pub fn new(mut fingerprints: Vec<FlowFingerprint>) -> Self {
        fingerprints.sort_unstable();
        fingerprints.dedup();
        Self { fingerprints }
    }

    /// Returns whether a flow with this print may be held.
    pub fn contains(&self, fingerprint: FlowFingerprint) -> bool {
        self.fingerprints.binary_search(&fingerprint).is_ok()
    }

    /// Returns the prints in ascending order.
    pub fn fingerprints(&self) -> &[FlowFingerprint] {
        &self.fingerprints
    }
}
