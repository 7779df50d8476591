//! The catalogue in the store.
//!
//! Every change is one transaction that compares the head's store revision and writes the changed shards, a
//! history record and the head. Planning is pure; [`load`] and [`commit`] do the calls. See docs/design.md,
//! section 4.

pub mod commit;
pub mod load;
pub mod plan;

use quetzalhill_core::catalogue::change::CatalogueChange;
use quetzalhill_core::catalogue::ServiceEntry;
use quetzalhill_core::ids::{OwnerName, RevisionNumber, ServiceName, ServiceNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Prefix of every key.
pub const PREFIX: &str = "/quetzalhill/";

/// Key of the head.
pub const HEAD_KEY: &str = "/quetzalhill/head";

/// Prefix of the shards.
pub const SHARD_PREFIX: &str = "/quetzalhill/shard/";

/// Prefix of the history.
pub const HISTORY_PREFIX: &str = "/quetzalhill/history/";

/// Prefix of the reader slots.
pub const READER_PREFIX: &str = "/quetzalhill/reader/";

/// Revisions whose history records are kept; at 12,000 small changes a day that is an hour, and at some changes a
/// day more than a year. The write that makes a revision removes the records before them.
pub const HISTORY_KEPT: RevisionNumber = 500;

/// Number of shards.
pub const SHARD_COUNT: u32 = 64;

/// Largest value that the store accepts, in bytes.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// Largest transaction that the store accepts, in bytes of keys and values.
pub const TRANSACTION_MAX_BYTES: usize = 1_400_000;

/// Number of a shard.
pub type ShardNumber = u32;

/// Random identity of a write, in hexadecimal, by which a writer recognises its own after a lost answer.
pub type WriteId = String;

/// Services of one shard.
pub type ShardContent = BTreeMap<ServiceName, ServiceEntry>;

/// Value of the head.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogueHead {
    /// Revision of the catalogue.
    pub revision: RevisionNumber,
    /// Digest of revision and content.
    pub digest: u64,
    /// Who made the change.
    pub author: OwnerName,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Services that the change touched.
    pub changed: Vec<ServiceName>,
    /// Number of shards.
    pub shard_count: u32,
    /// Next number for a new service.
    pub next_number: ServiceNumber,
    /// Identity of the write.
    pub write_id: WriteId,
}

/// Value of a history key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryRecord {
    /// Revision that the change made.
    pub revision: RevisionNumber,
    /// Who made the change.
    pub author: OwnerName,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Identity of the write.
    pub write_id: WriteId,
    /// Revision whose content this one brought back, if it is a rollback.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollback_to: Option<RevisionNumber>,
    /// The change with the previous content.
    pub change: CatalogueChange,
}

/// Returns the shard of a service.
pub fn shard_of(name: &str) -> ShardNumber {
    // CAST: The remainder is below 64.
    (xxh3_64(name.as_bytes()) % u64::from(SHARD_COUNT)) as ShardNumber
}

/// Returns the key of a shard.
pub fn shard_key(shard: ShardNumber) -> String {
    format!("{SHARD_PREFIX}{shard:03}")
}

/// Returns the key of a history record; keys sort as revisions do.
pub fn history_key(revision: RevisionNumber) -> String {
    format!("{HISTORY_PREFIX}{revision:012}")
}

/// Returns the key of a reader slot.
pub fn reader_key(zone: &str, slot: u8) -> String {
    format!("{READER_PREFIX}{zone}/{slot}")
}
