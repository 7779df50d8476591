//! Reads of the catalogue.

use super::{
    history_key, shard_key, shard_of, CatalogueHead, HistoryRecord, ShardContent, HEAD_KEY,
    HISTORY_PREFIX, SHARD_PREFIX,
};
use crate::api::{CatalogueStore, KeyRange, KeyValue, StoreError, StoreRevision};
use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_core::ids::RevisionNumber;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult};

/// Reads of head and shards until they belong together; changes come at most a few times a second.
const LOAD_ATTEMPTS: u32 = 5;

/// A head with its place in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedHead {
    /// The head; absent while the store holds no catalogue.
    pub head: Option<CatalogueHead>,
    /// Store revision of the head's last write; 0 without a head.
    pub mod_revision: StoreRevision,
    /// Store revision of the read.
    pub store_revision: StoreRevision,
}

impl LoadedHead {
    /// Returns the revision of the catalogue; 0 without one.
    pub fn revision(&self) -> RevisionNumber {
        self.head.as_ref().map_or(0, |head| head.revision)
    }
}

/// A whole catalogue with its head.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedCatalogue {
    /// The head.
    pub head: LoadedHead,
    /// The content.
    pub snapshot: CatalogueSnapshot,
}

/// Why the catalogue could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadError {
    /// The call failed.
    Store(StoreError),
    /// A value is not what this version writes.
    Value {
        /// Key of the value.
        key: String,
        /// What is wrong.
        cause: String,
    },
    /// Head and shards did not belong together in several reads.
    Inconsistent {
        /// Revision of the last head.
        revision: RevisionNumber,
    },
    /// The history does not reach back to the revision.
    NoHistory {
        /// First revision that is missing.
        revision: RevisionNumber,
    },
}

impl Display for LoadError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        match self {
            LoadError::Store(error) => error.fmt(f),
            LoadError::Value { key, cause } => write!(f, "the store's value of {key}: {cause}"),
            LoadError::Inconsistent { revision } => write!(
                f,
                "the head of revision {revision} and the shards in the store do not belong together"
            ),
            LoadError::NoHistory { revision } => {
                write!(f, "the store has no history of revision {revision}")
            }
        }
    }
}

impl Error for LoadError {}

impl From<StoreError> for LoadError {
    fn from(error: StoreError) -> Self {
        LoadError::Store(error)
    }
}

/// Decodes a value of the store.
///
/// # Errors
///
/// Names the key and what is wrong.
pub fn decode<T: DeserializeOwned>(pair: &KeyValue) -> Result<T, LoadError> {
    serde_json::from_slice(&pair.value).map_err(|error| LoadError::Value {
        key: pair.key.clone(),
        cause: error.to_string(),
    })
}

/// Reads the head.
///
/// # Errors
///
/// The call failed or the value is not a head.
pub async fn load_head<S: CatalogueStore>(store: &S) -> Result<LoadedHead, LoadError> {
    let read = store.range(&KeyRange::Key(HEAD_KEY.into())).await?;
    let Some(pair) = read.entries.first() else {
        return Ok(LoadedHead {
            head: None,
            mod_revision: 0,
            store_revision: read.revision,
        });
    };
    Ok(LoadedHead {
        head: Some(decode(pair)?),
        mod_revision: pair.mod_revision,
        store_revision: read.revision,
    })
}

/// Reads head and shards.
///
/// # Errors
///
/// A call failed, a value is not readable, or head and shards do not belong together.
pub async fn load<S: CatalogueStore>(store: &S) -> Result<LoadedCatalogue, LoadError> {
    let mut revision = 0;
    for _ in 0..LOAD_ATTEMPTS {
        let head = load_head(store).await?;
        revision = head.revision();
        let read = store.range(&KeyRange::Prefix(SHARD_PREFIX.into())).await?;
        let mut snapshot = CatalogueSnapshot {
            revision,
            ..CatalogueSnapshot::default()
        };
        for pair in &read.entries {
            snapshot.services.extend(decode::<ShardContent>(pair)?);
        }
        if belongs(&head, &snapshot) {
            return Ok(LoadedCatalogue { head, snapshot });
        }
    }
    Err(LoadError::Inconsistent { revision })
}

/// Brings `have` up to date, reading only the shards that changed if `have` is the revision before the head's.
///
/// # Errors
///
/// As for [`load`].
pub async fn load_from<S: CatalogueStore>(
    store: &S,
    have: &CatalogueSnapshot,
) -> Result<LoadedCatalogue, LoadError> {
    let loaded = load_head(store).await?;
    let Some(head) = &loaded.head else {
        return load(store).await;
    };
    if head.revision != have.revision + 1 {
        return load(store).await;
    }
    let shards: BTreeSet<u32> = head.changed.iter().map(|name| shard_of(name)).collect();
    let mut snapshot = have.clone();
    snapshot.revision = head.revision;
    snapshot
        .services
        .retain(|name, _| !shards.contains(&shard_of(name)));
    for shard in shards {
        let read = store.range(&KeyRange::Key(shard_key(shard))).await?;
        for pair in &read.entries {
            snapshot.services.extend(decode::<ShardContent>(pair)?);
        }
    }
    match belongs(&loaded, &snapshot) {
        true => Ok(LoadedCatalogue {
            head: loaded,
            snapshot,
        }),
        // The catalogue has changed between the reads.
        false => load(store).await,
    }
}

fn belongs(head: &LoadedHead, snapshot: &CatalogueSnapshot) -> bool {
    match &head.head {
        Some(head) => head.digest == snapshot.digest(),
        None => snapshot.services.is_empty(),
    }
}

/// Reads one history record.
///
/// # Errors
///
/// The call failed or the value is not a history record.
pub async fn load_record<S: CatalogueStore>(
    store: &S,
    revision: RevisionNumber,
) -> Result<Option<HistoryRecord>, LoadError> {
    let range = KeyRange::Key(history_key(revision));
    let read = store.range(&range).await?;
    read.entries.first().map(decode).transpose()
}

/// Reads the whole history, oldest first.
///
/// # Errors
///
/// The call failed or a value is not a history record.
pub async fn load_history<S: CatalogueStore>(store: &S) -> Result<Vec<HistoryRecord>, LoadError> {
    let range = KeyRange::Prefix(HISTORY_PREFIX.into());
    let read = store.range(&range).await?;
    read.entries.iter().map(decode).collect()
}
