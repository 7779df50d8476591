//! Layout of the catalogue in the store.
//!
//! Every change is one transaction that compares the head's store revision and writes the changed shards, a
//! history record and the head. [`plan`] builds it without I/O; [`load`] and [`commit`] call the store. See
//! docs/design.md, section 4.

pub mod commit;
pub mod load;
pub mod plan;

use quetzalhill_core::catalogue::change::CatalogueChange;
use quetzalhill_core::catalogue::ServiceEntry;
use quetzalhill_core::ids::{OwnerName, RevisionNumber, ServiceName, ServiceNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Prefix of every key that the catalogue uses.
pub const KEY_PREFIX: &str = "/quetzalhill/";

/// Key of the [`CatalogueHead`].
pub const HEAD_KEY: &str = "/quetzalhill/head";

/// Prefix of the keys that hold a [`ShardContent`].
pub const SHARD_PREFIX: &str = "/quetzalhill/shard/";

/// Prefix of the keys that hold a [`HistoryRecord`].
pub const HISTORY_PREFIX: &str = "/quetzalhill/history/";

/// Prefix of the reader slots: an entry that holds one, by a lease, reads the catalogue for its zone.
pub const READER_PREFIX: &str = "/quetzalhill/reader/";

/// Number of revisions whose history records are kept: an hour's worth at 12,000 small changes a day, and more than
/// a year's at one change a day. The transaction that writes a revision removes the older records.
pub const HISTORY_KEPT: RevisionNumber = 500;

/// Number of shards over which the services are distributed by a hash of their names.
pub const SHARD_COUNT: u32 = 64;

/// Largest value that the store accepts, in bytes.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// Largest transaction that the store accepts, in bytes of keys and values.
pub const TRANSACTION_MAX_BYTES: usize = 1_400_000;

/// Index of a shard, below [`SHARD_COUNT`].
pub type ShardNumber = u32;

/// Random id of a write, in hexadecimal, by which a writer recognises its own write after a lost answer.
pub type WriteId = String;

/// Value of a shard's key: its services by name.
pub type ShardContent = BTreeMap<ServiceName, ServiceEntry>;

/// Value of [`HEAD_KEY`], which describes the newest revision of the catalogue.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogueHead {
    /// Newest revision of the catalogue.
    pub revision: RevisionNumber,
    /// Digest of revision and content, by which a reader detects shards of another revision.
    pub digest: u64,
    /// Operator who made the change.
    pub author: OwnerName,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Services that the change added, removed or changed.
    pub changed: Vec<ServiceName>,
    /// [`SHARD_COUNT`] of the writer.
    pub shard_count: u32,
    /// Number for the next new service; numbers of removed services are not used again.
    pub next_number: ServiceNumber,
    /// Random id of the write that made this revision.
    pub write_id: WriteId,
}

/// Value of a history key: one change of the catalogue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistoryRecord {
    /// Revision that the change created.
    pub revision: RevisionNumber,
    /// Operator who made the change.
    pub author: OwnerName,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Random id of the write that made this revision.
    pub write_id: WriteId,
    /// Revision whose content this one restored, if it is a rollback.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollback_to: Option<RevisionNumber>,
    /// Added, removed and changed services, with the previous content so that the change can be undone.
    pub change: CatalogueChange,
}

/// Returns the shard that holds the service `name`.
pub fn shard_of(name: &str) -> ShardNumber {
    // CAST: The remainder is below 64.
    (xxh3_64(name.as_bytes()) % u64::from(SHARD_COUNT)) as ShardNumber
}

/// Returns the key of a shard.
pub fn shard_key(shard: ShardNumber) -> String {
    format!("{SHARD_PREFIX}{shard:03}")
}

/// Returns the key of the history record of `revision`. Zero-padding makes the keys sort by revision.
pub fn history_key(revision: RevisionNumber) -> String {
    format!("{HISTORY_PREFIX}{revision:012}")
}

/// Returns the key of a reader slot, numbered within its zone.
pub fn reader_key(zone: &str, slot: u8) -> String {
    format!("{READER_PREFIX}{zone}/{slot}")
}
