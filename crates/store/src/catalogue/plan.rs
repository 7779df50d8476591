//! Builds the transaction of a change, without calling the store.

use super::load::{LoadError, LoadedCatalogue};
use super::{
    history_key, shard_key, shard_of, CatalogueHead, HistoryRecord, ShardContent, ShardNumber,
    WriteId, HEAD_KEY, HISTORY_KEPT, SHARD_COUNT, TRANSACTION_MAX_BYTES, VALUE_MAX_BYTES,
};
use crate::api::{Compare, DeleteOp, PutOp, Transaction};
use quetzalhill_core::catalogue::change::{diff, undo, CatalogueChange};
use quetzalhill_core::catalogue::{CatalogueSnapshot, ServiceEntry};
use quetzalhill_core::ids::{
    OwnerName, RevisionNumber, ServiceName, ServiceNumber, MAX_SERVICE_NUMBER,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::time::{SystemTime, UNIX_EPOCH};

/// Author, time and id of a write, as the head and the history record them.
#[derive(Clone, Debug)]
pub struct WriteStamp {
    /// Operator who makes the change.
    pub author: OwnerName,
    /// Wall-clock time of the change, stored in milliseconds.
    pub time: SystemTime,
    /// Random id of the write; see [`super::commit::new_write_id`].
    pub write_id: WriteId,
}

/// A change that is ready to be committed.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedChange {
    /// The catalogue after the change.
    pub snapshot: CatalogueSnapshot,
    /// Difference to the current catalogue, by service.
    pub change: CatalogueChange,
    /// Id by which the write is recognised after a lost answer.
    pub write_id: WriteId,
    /// Shards, history record and head to write, on the condition that the head is unchanged.
    pub transaction: Transaction,
}

/// Why a change cannot be planned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanError {
    /// The catalogue already has the requested content.
    Unchanged,
    /// All service numbers up to [`MAX_SERVICE_NUMBER`] have been assigned.
    NumbersExhausted,
    /// A value would exceed [`VALUE_MAX_BYTES`].
    ValueTooLarge {
        /// Key of the value.
        key: String,
        /// Size in bytes.
        bytes: usize,
    },
    /// The transaction would exceed [`TRANSACTION_MAX_BYTES`].
    ChangeTooLarge {
        /// Size of all keys and values in bytes.
        bytes: usize,
    },
    /// A value cannot be encoded.
    Encode {
        /// Key of the value.
        key: String,
        /// Error of the JSON encoder.
        cause: String,
    },
}

impl Display for PlanError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        match self {
            PlanError::Unchanged => write!(f, "the catalogue already has this content"),
            PlanError::NumbersExhausted => write!(
                f,
                "all {MAX_SERVICE_NUMBER} service numbers have been assigned"
            ),
            PlanError::ValueTooLarge { key, bytes } => write!(
                f,
                "the value of {key} takes {bytes} bytes; allowed: {VALUE_MAX_BYTES}"
            ),
            PlanError::ChangeTooLarge { bytes } => write!(
                f,
                "the change takes {bytes} bytes; allowed: {TRANSACTION_MAX_BYTES}; apply it in parts"
            ),
            PlanError::Encode { key, cause } => {
                write!(f, "the value of {key} cannot be encoded: {cause}")
            }
        }
    }
}

impl Error for PlanError {}

/// Plans the change from `current` to `wanted`. An entry without a number keeps the number that a service of its name
/// has in `current`, or gets the next free one.
///
/// # Errors
///
/// Returns [`PlanError::Unchanged`] if the content is the same, or why the store would not accept the change.
pub fn plan_change(
    current: &LoadedCatalogue,
    wanted: BTreeMap<ServiceName, ServiceEntry>,
    stamp: &WriteStamp,
) -> Result<PlannedChange, PlanError> {
    let revision = current.snapshot.revision + 1;
    plan_revision(current, wanted, revision, None, stamp)
}

/// Plans a new revision with `content`, the catalogue of an earlier revision as [`content_at`] returns it.
///
/// # Errors
///
/// Returns [`PlanError::Unchanged`] if the content is the same, or why the store would not accept the change.
pub fn plan_rollback(
    current: &LoadedCatalogue,
    content: CatalogueSnapshot,
    stamp: &WriteStamp,
) -> Result<PlannedChange, PlanError> {
    let revision = current.snapshot.revision + 1;
    let target = Some(content.revision);
    plan_revision(current, content.services, revision, target, stamp)
}

/// Plans to write the fleet's copy of the catalogue to a store that has fallen behind it. The new revision is higher
/// than both, so that every instance adopts it.
///
/// # Errors
///
/// Returns why the store would not accept the change.
pub fn plan_restore(
    current: &LoadedCatalogue,
    fleet: CatalogueSnapshot,
    stamp: &WriteStamp,
) -> Result<PlannedChange, PlanError> {
    let revision = current.snapshot.revision.max(fleet.revision) + 1;
    plan_revision(current, fleet.services, revision, None, stamp)
}

/// Reconstructs the catalogue of an earlier revision by undoing every later change in `history`.
///
/// # Errors
///
/// Returns [`LoadError::MissingHistory`] if `revision` is 0, is above the current one or has no record in `history`.
pub fn content_at(
    current: &CatalogueSnapshot,
    history: &[HistoryRecord],
    revision: RevisionNumber,
) -> Result<CatalogueSnapshot, LoadError> {
    let records: BTreeMap<RevisionNumber, &HistoryRecord> = history
        .iter()
        .map(|record| (record.revision, record))
        .collect();
    let missing = LoadError::MissingHistory { revision };
    if revision == 0 || revision > current.revision || !records.contains_key(&revision) {
        return Err(missing);
    }
    let mut snapshot = current.clone();
    // The revisions of the records may have gaps, since a restore skips some.
    for (_, record) in records.range(revision + 1..=current.revision).rev() {
        undo(&mut snapshot.services, &record.change);
    }
    snapshot.revision = revision;
    Ok(snapshot)
}

fn plan_revision(
    current: &LoadedCatalogue,
    wanted: BTreeMap<ServiceName, ServiceEntry>,
    revision: RevisionNumber,
    rollback_to: Option<RevisionNumber>,
    stamp: &WriteStamp,
) -> Result<PlannedChange, PlanError> {
    let mut snapshot = CatalogueSnapshot {
        revision,
        services: wanted,
    };
    let next_number = assign_numbers(current, &mut snapshot)?;
    let change = diff(&current.snapshot, &snapshot);
    let skips_revisions = revision > current.snapshot.revision + 1;
    if change.is_empty() && !skips_revisions {
        return Err(PlanError::Unchanged);
    }
    let time = stamp.time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let time_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let head = CatalogueHead {
        revision,
        digest: snapshot.digest(),
        author: stamp.author.clone(),
        time_ms,
        changed: change.keys().cloned().collect(),
        shard_count: SHARD_COUNT,
        next_number,
        write_id: stamp.write_id.clone(),
    };
    let record = HistoryRecord {
        revision,
        author: stamp.author.clone(),
        time_ms,
        write_id: stamp.write_id.clone(),
        rollback_to,
        change: change.clone(),
    };
    let transaction = build_transaction(current, &snapshot, &head, &record)?;
    Ok(PlannedChange {
        snapshot,
        change,
        write_id: stamp.write_id.clone(),
        transaction,
    })
}

/// Assigns a number to every service that has none and returns the next free number.
fn assign_numbers(
    current: &LoadedCatalogue,
    snapshot: &mut CatalogueSnapshot,
) -> Result<ServiceNumber, PlanError> {
    let mut next = current
        .head
        .head
        .as_ref()
        .map_or(1, |head| head.next_number);
    for entry in snapshot.services.values() {
        next = next.max(entry.number + 1);
    }
    for (name, entry) in &mut snapshot.services {
        if entry.number != 0 {
            continue;
        }
        if let Some(old) = current.snapshot.services.get(name) {
            entry.number = old.number;
            continue;
        }
        if next > MAX_SERVICE_NUMBER {
            return Err(PlanError::NumbersExhausted);
        }
        entry.number = next;
        next += 1;
    }
    Ok(next)
}

fn build_transaction(
    current: &LoadedCatalogue,
    snapshot: &CatalogueSnapshot,
    head: &CatalogueHead,
    record: &HistoryRecord,
) -> Result<Transaction, PlanError> {
    let shards: BTreeSet<ShardNumber> = head.changed.iter().map(|name| shard_of(name)).collect();
    let mut puts = Vec::with_capacity(shards.len() + 2);
    for shard in shards {
        let content: ShardContent = snapshot
            .services
            .iter()
            .filter(|(name, _)| shard_of(name) == shard)
            .map(|(name, entry)| (name.clone(), entry.clone()))
            .collect();
        puts.push(encode_put(shard_key(shard), &content)?);
    }
    puts.push(encode_put(history_key(record.revision), record)?);
    puts.push(encode_put(HEAD_KEY.into(), head)?);
    let bytes = puts.iter().map(|put| put.key.len() + put.value.len()).sum();
    if bytes > TRANSACTION_MAX_BYTES {
        return Err(PlanError::ChangeTooLarge { bytes });
    }
    let compares = vec![Compare::ModRevision {
        key: HEAD_KEY.into(),
        revision: current.head.mod_revision,
    }];
    let deletes = prune_history(record.revision).into_iter().collect();
    Ok(Transaction {
        compares,
        puts,
        deletes,
    })
}

/// Returns the removal of the history records that are older than the newest [`HISTORY_KEPT`] once `revision` is
/// written.
fn prune_history(revision: RevisionNumber) -> Option<DeleteOp> {
    let last = revision.checked_sub(HISTORY_KEPT)?;
    Some(DeleteOp {
        from: history_key(0),
        to: history_key(last + 1),
    })
}

fn encode_put<T: Serialize>(key: String, value: &T) -> Result<PutOp, PlanError> {
    let value = match serde_json::to_vec(value) {
        Ok(value) => value,
        Err(error) => {
            let cause = error.to_string();
            return Err(PlanError::Encode { key, cause });
        }
    };
    let bytes = value.len();
    if bytes > VALUE_MAX_BYTES {
        return Err(PlanError::ValueTooLarge { key, bytes });
    }
    Ok(PutOp {
        key,
        value,
        lease: None,
    })
}
