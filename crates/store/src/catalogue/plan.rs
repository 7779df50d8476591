//! Plans of changes, without any call.

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

/// Who makes a change, when, and under which identity.
#[derive(Clone, Debug)]
pub struct WriteStamp {
    /// Who makes the change.
    pub author: OwnerName,
    /// When.
    pub time: SystemTime,
    /// Random identity of the write.
    pub write_id: WriteId,
}

/// A change that is ready to be committed.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedChange {
    /// The catalogue after the change.
    pub snapshot: CatalogueSnapshot,
    /// What changes.
    pub change: CatalogueChange,
    /// Identity of the write.
    pub write_id: WriteId,
    /// The writes.
    pub transaction: Transaction,
}

/// Why a change cannot be planned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanError {
    /// The catalogue is already as wanted.
    Unchanged,
    /// All service numbers are used up.
    NoNumber,
    /// A value would be larger than the store accepts.
    ValueTooLarge {
        /// Key of the value.
        key: String,
        /// Size in bytes.
        bytes: usize,
    },
    /// The change as a whole is larger than the store accepts.
    ChangeTooLarge {
        /// Size in bytes.
        bytes: usize,
    },
    /// A value cannot be encoded.
    Encode {
        /// Key of the value.
        key: String,
        /// What is wrong.
        cause: String,
    },
}

impl Display for PlanError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        match self {
            PlanError::Unchanged => write!(f, "the catalogue is already as wanted"),
            PlanError::NoNumber => write!(
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
            PlanError::Encode { key, cause } => write!(f, "the value of {key}: {cause}"),
        }
    }
}

impl Error for PlanError {}

/// Plans the change from `current` to `wanted`. Entries without a number keep the number of their name or get the
/// next one.
///
/// # Errors
///
/// Returns [`PlanError::Unchanged`] if nothing differs, or why the store would not accept the change.
pub fn plan_change(
    current: &LoadedCatalogue,
    wanted: BTreeMap<ServiceName, ServiceEntry>,
    stamp: &WriteStamp,
) -> Result<PlannedChange, PlanError> {
    let revision = current.snapshot.revision + 1;
    plan(current, wanted, revision, None, stamp)
}

/// Plans a new revision with the content of an earlier one. `history` holds the records, oldest first.
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
    plan(current, content.services, revision, target, stamp)
}

/// Plans the return of the fleet's copy to a store that has fallen behind it. The revision becomes higher than
/// both, so that every instance adopts it.
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
    plan(current, fleet.services, revision, None, stamp)
}

/// Returns the content of an earlier revision, by taking back every later change.
///
/// # Errors
///
/// Returns [`LoadError::NoHistory`] with the first record that is missing.
pub fn content_at(
    current: &CatalogueSnapshot,
    history: &[HistoryRecord],
    revision: RevisionNumber,
) -> Result<CatalogueSnapshot, LoadError> {
    let records: BTreeMap<RevisionNumber, &HistoryRecord> = history
        .iter()
        .map(|record| (record.revision, record))
        .collect();
    let missing = LoadError::NoHistory { revision };
    if revision == 0 || revision > current.revision || !records.contains_key(&revision) {
        return Err(missing);
    }
    let mut snapshot = current.clone();
    // A restore skips revisions, so that records need not be consecutive.
    for (_, record) in records.range(revision + 1..=current.revision).rev() {
        undo(&mut snapshot.services, &record.change);
    }
    snapshot.revision = revision;
    Ok(snapshot)
}

fn plan(
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
    let skips = revision > current.snapshot.revision + 1;
    if change.is_empty() && !skips {
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
    let transaction = transaction(current, &snapshot, &head, &record)?;
    Ok(PlannedChange {
        snapshot,
        change,
        write_id: stamp.write_id.clone(),
        transaction,
    })
}

/// Gives every service a number and returns the next free one.
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
            return Err(PlanError::NoNumber);
        }
        entry.number = next;
        next += 1;
    }
    Ok(next)
}

fn transaction(
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
        puts.push(put(shard_key(shard), &content)?);
    }
    puts.push(put(history_key(record.revision), record)?);
    puts.push(put(HEAD_KEY.into(), head)?);
    let bytes = puts.iter().map(|put| put.key.len() + put.value.len()).sum();
    if bytes > TRANSACTION_MAX_BYTES {
        return Err(PlanError::ChangeTooLarge { bytes });
    }
    let compares = vec![Compare::ModRevision {
        key: HEAD_KEY.into(),
        revision: current.head.mod_revision,
    }];
    let deletes = prune(record.revision).into_iter().collect();
    Ok(Transaction {
        compares,
        puts,
        deletes,
    })
}

/// Returns the removal of the history records that are no longer kept once `revision` is written.
fn prune(revision: RevisionNumber) -> Option<DeleteOp> {
    let last = revision.checked_sub(HISTORY_KEPT)?;
    Some(DeleteOp {
        from: history_key(0),
        to: history_key(last + 1),
    })
}

fn put<T: Serialize>(key: String, value: &T) -> Result<PutOp, PlanError> {
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
