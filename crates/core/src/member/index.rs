//! Hash tree over all records for anti-entropy: two entries compare digests to find the records that differ.

use super::message::DigestPage;
use super::{EndpointRecord, EntryRecord};
use crate::ids::{DigestValue, EndpointId, EntryId};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;

/// Bits of a bucket number; 158,000 records leave about five in a bucket.
pub(super) const BUCKET_BITS: u8 = 15;

/// Bits of the bucket number that one page resolves; a page has two to the power of this many digests.
pub(super) const PAGE_BITS: u8 = 5;

/// Identifies the record of an entry or of an endpoint.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) enum RecordKey {
    /// The record of an entry.
    Entry(EntryId),
    /// The record of an endpoint.
    Endpoint(EndpointId),
}

impl RecordKey {
    /// Returns the number of the bucket that holds the record.
    pub(super) fn bucket(self) -> u16 {
        let (kind, id) = match self {
            RecordKey::Entry(id) => (0, id),
            RecordKey::Endpoint(id) => (1, id),
        };
        let hash = xxh3_64(&(id << 1 | kind).to_le_bytes());
        // CAST: The shift leaves `BUCKET_BITS` bits.
        (hash >> (64 - u32::from(BUCKET_BITS))) as u16
    }
}

/// Returns the digest of an endpoint record's identity and version.
pub(super) fn endpoint_digest(record: &EndpointRecord) -> DigestValue {
    let mut bytes = [0_u8; 21];
    bytes[..8].copy_from_slice(&record.id.to_le_bytes());
    bytes[8..16].copy_from_slice(&record.incarnation.to_le_bytes());
    bytes[16..20].copy_from_slice(&record.sequence.to_le_bytes());
    // CAST: The enum has four values.
    bytes[20] = record.state as u8;
    xxh3_64(&bytes)
}

/// Returns the digest of an entry record's identity, incarnation and whether it has left.
pub(super) fn entry_digest(record: &EntryRecord, left: bool) -> DigestValue {
    let mut bytes = [0_u8; 17];
    bytes[..8].copy_from_slice(&record.id.to_le_bytes());
    bytes[8..16].copy_from_slice(&record.incarnation.to_le_bytes());
    bytes[16] = u8::from(left);
    xxh3_64(&bytes)
}

/// The digest of every bucket, the XOR of its records' digests, and the keys of its records.
#[derive(Debug)]
pub(super) struct DigestIndex {
    buckets: Vec<DigestValue>,
    keys: BTreeSet<(u16, RecordKey)>,
}

impl Default for DigestIndex {
    fn default() -> Self {
        Self {
            buckets: vec![0; 1 << BUCKET_BITS],
            keys: BTreeSet::new(),
        }
    }
}

impl DigestIndex {
    /// Adds a record.
    pub(super) fn add(&mut self, key: RecordKey, digest: DigestValue) {
        let bucket = key.bucket();
        self.buckets[usize::from(bucket)] ^= digest;
        self.keys.insert((bucket, key));
    }

    /// Removes a record that was added with the same digest.
    pub(super) fn remove(&mut self, key: RecordKey, digest: DigestValue) {
        let bucket = key.bucket();
        self.buckets[usize::from(bucket)] ^= digest;
        self.keys.remove(&(bucket, key));
    }

    /// Returns the digests of the subtrees below a prefix of `depth` bits; `None` if there are none at that depth.
    pub(super) fn page(&self, prefix: u16, depth: u8) -> Option<DigestPage> {
        let below = depth + PAGE_BITS;
        if below > BUCKET_BITS || prefix >> depth != 0 {
            return None;
        }
        let values = (0..1_u16 << PAGE_BITS).map(|part| {
            let range = bucket_range((prefix << PAGE_BITS) | part, below);
            let buckets = &self.buckets[usize::from(*range.start())..=usize::from(*range.end())];
            buckets.iter().fold(0, |sum, digest| sum ^ digest)
        });
        Some(DigestPage {
            prefix,
            depth,
            values: values.collect(),
        })
    }

    /// Returns the keys of the records whose bucket number starts with a prefix of `depth` bits.
    pub(super) fn keys(&self, prefix: u16, depth: u8) -> impl Iterator<Item = RecordKey> + '_ {
        let range = bucket_range(prefix, depth.min(BUCKET_BITS));
        let start = (*range.start(), RecordKey::Entry(0));
        let end = (*range.end(), RecordKey::Endpoint(u64::MAX));
        self.keys.range(start..=end).map(|&(_, key)| key)
    }
}

/// Returns the buckets whose number starts with a prefix of `depth` bits; higher bits of `prefix` are ignored.
fn bucket_range(prefix: u16, depth: u8) -> std::ops::RangeInclusive<u16> {
    let rest = BUCKET_BITS - depth;
    let prefix = u32::from(prefix) & ((1 << depth) - 1);
    let start = prefix << rest;
    let end = start + (1 << rest) - 1;
    // CAST: Both are below two to the power of `BUCKET_BITS`.
    start as u16..=end as u16
}
