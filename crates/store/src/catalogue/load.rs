//! Loads the catalogue and its history from the store.

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

/// Attempts to read a head and shards of the same revision; changes come at most a few times a second.
const LOAD_ATTEMPTS: u32 = 5;

/// The head with the store revisions of its write and of the read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedHead {
    /// Decoded head; absent while the store holds no catalogue.
    pub head: Option<CatalogueHead>,
    /// Store revision of the head's last write, which the next change compares; 0 without a head.
    pub mod_revision: StoreRevision,
    /// Store revision at which the head was read.
    pub store_revision: StoreRevision,
}

impl LoadedHead {
    /// Returns the revision of the catalogue; 0 without a head.
    pub fn revision(&self) -> RevisionNumber {
        self.head.as_ref().map_or(0, |head| head.revision)
    }
}

/// A consistent read of the head and all services.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedCatalogue {
    /// Head that matches `snapshot`.
    pub head: LoadedHead,
    /// Services whose digest is that of the head.
    pub snapshot: CatalogueSnapshot,
}

/// Why the catalogue could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadError {
    /// A call to the store failed.
    Store(StoreError),
    /// A value cannot be decoded.
    InvalidValue {
        /// Key of the value.
        key: String,
        /// Error of the JSON decoder.
        cause: String,
    },
    /// The digest of the shards did not match the head in any of several reads.
    Inconsistent {
        /// Revision of the head that was read last.
        revision: RevisionNumber,
    },
    /// The history has no record of a revision.
    MissingHistory {
        /// Revision whose record is missing.
        revision: RevisionNumber,
    },
}

impl Display for LoadError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        match self {
            LoadError::Store(error) => error.fmt(f),
            LoadError::InvalidValue { key, cause } => {
                write!(
                    f,
                    "the value of {key} in the store cannot be decoded: {cause}"
                )
            }
            LoadError::Inconsistent { revision } => write!(
                f,
                "the shards in the store do not match the head of revision {revision}"
            ),
            LoadError::MissingHistory { revision } => {
                write!(f, "the store has no history record of revision {revision}")
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

/// Decodes the JSON value of a key.
///
/// # Errors
///
/// Returns [`LoadError::InvalidValue`] with the key and the decoder's error.
pub fn decode<T: DeserializeOwned>(pair: &KeyValue) -> Result<T, LoadError> {
    serde_json::from_slice(&pair.value).map_err(|error| LoadError::InvalidValue {
        key: pair.key.clone(),
        cause: error.to_string(),
    })
}

/// Reads [`HEAD_KEY`]; a missing key is a valid result.
///
/// # Errors
///
/// The call failed or the value cannot be decoded.
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

/// Reads the head and all shards, again if a change between the two reads made them inconsistent.
///
/// # Errors
///
/// A call failed, a value cannot be decoded, or head and shards stayed inconsistent.
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
        if is_consistent(&head, &snapshot) {
            return Ok(LoadedCatalogue { head, snapshot });
        }
    }
    Err(LoadError::Inconsistent { revision })
}

/// Loads the newest catalogue. If `previous` is the revision just before it, reads only the shards that changed.
///
/// # Errors
///
/// The same as for [`load`].
pub async fn load_incremental<S: CatalogueStore>(
    store: &S,
    previous: &CatalogueSnapshot,
) -> Result<LoadedCatalogue, LoadError> {
    let loaded = load_head(store).await?;
    let Some(head) = &loaded.head else {
        return load(store).await;
    };
    if head.revision != previous.revision + 1 {
        return load(store).await;
    }
    let shards: BTreeSet<u32> = head.changed.iter().map(|name| shard_of(name)).collect();
    let mut snapshot = previous.clone();
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
    match is_consistent(&loaded, &snapshot) {
        true => Ok(LoadedCatalogue {
            head: loaded,
            snapshot,
        }),
        // The catalogue was changed between the reads.
        false => load(store).await,
    }
}

fn is_consistent(head: &LoadedHead, snapshot: &CatalogueSnapshot) -> bool {
    match &head.head {
        Some(head) => head.digest == snapshot.digest(),
        None => snapshot.services.is_empty(),
    }
}

/// Reads the history record of `revision`; returns `None` if the store has none.
///
/// # Errors
///
/// The call failed or the value cannot be decoded.
pub async fn load_record<S: CatalogueStore>(
    store: &S,
    revision: RevisionNumber,
) -> Result<Option<HistoryRecord>, LoadError> {
    let range = KeyRange::Key(history_key(revision));
    let read = store.range(&range).await?;
    read.entries.first().map(decode).transpose()
}

/// Reads all history records that the store has kept, oldest first.
///
/// # Errors
///
/// The call failed or a value cannot be decoded.
pub async fn load_history<S: CatalogueStore>(store: &S) -> Result<Vec<HistoryRecord>, LoadError> {
    let range = KeyRange::Prefix(HISTORY_PREFIX.into());
    let read = store.range(&range).await?;
    read.entries.iter().map(decode).collect()
}
