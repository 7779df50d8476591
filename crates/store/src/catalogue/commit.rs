//! Commits of planned changes.

use super::load::{load_head, load_record, LoadError};
use super::plan::PlannedChange;
use super::{CatalogueHead, WriteId};
use crate::api::{CatalogueStore, StoreError, TransactionOutcome};
use ntex::time::{sleep, Millis};
use quetzalhill_core::ids::RevisionNumber;
use rand::RngCore;
use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult};

/// Attempts to commit a change or to find out what became of it.
const COMMIT_ATTEMPTS: u32 = 6;

/// Pause before the second attempt; it doubles from one to the next.
const COMMIT_PAUSE_MS: u32 = 100;

/// How a commit ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The change is in the store with this revision.
    Committed(RevisionNumber),
    /// Another writer was first; nothing of this change was written. The head is the other's, if there is one.
    LostRace(Option<CatalogueHead>),
}

/// Why a commit failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitError {
    /// Nothing was written.
    NotApplied(LoadError),
    /// The store took or will take the change, or not: it could not be asked.
    Unknown {
        /// Identity by which the write can be found in head or history later.
        write_id: WriteId,
        /// Last error.
        error: LoadError,
    },
}

impl Display for CommitError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        match self {
            CommitError::NotApplied(error) => write!(f, "nothing was written: {error}"),
            CommitError::Unknown { write_id, error } => write!(
                f,
                "it is unknown whether the change was written (write id {write_id} in the history \
                 tells): {error}"
            ),
        }
    }
}

impl Error for CommitError {}

/// Makes the random identity of a write.
pub fn new_write_id(rng: &mut impl RngCore) -> WriteId {
    format!("{:016x}{:016x}", rng.next_u64(), rng.next_u64())
}

/// What is known after one attempt.
enum CommitStep {
    Done(CommitOutcome),
    Again(LoadError),
}

/// Commits a change. After a missing answer it reads whether the write took effect before it tries again; the
/// comparison of the head's store revision keeps a late copy of an earlier attempt from taking effect twice.
///
/// # Errors
///
/// Says whether nothing was written or the outcome is unknown.
pub async fn commit<S: CatalogueStore>(
    store: &S,
    planned: &PlannedChange,
) -> Result<CommitOutcome, CommitError> {
    let mut doubtful = false;
    let mut last = LoadError::Inconsistent { revision: 0 };
    for attempt in 0..COMMIT_ATTEMPTS {
        if attempt > 0 {
            sleep(Millis(COMMIT_PAUSE_MS << (attempt - 1))).await;
        }
        match commit_once(store, planned, &mut doubtful).await {
            CommitStep::Done(outcome) => return Ok(outcome),
            CommitStep::Again(error) => last = error,
        }
        if matches!(last, LoadError::Store(StoreError::Refused { .. })) {
            break;
        }
    }
    match doubtful {
        false => Err(CommitError::NotApplied(last)),
        true => Err(CommitError::Unknown {
            write_id: planned.write_id.clone(),
            error: last,
        }),
    }
}

async fn commit_once<S: CatalogueStore>(
    store: &S,
    planned: &PlannedChange,
    doubtful: &mut bool,
) -> CommitStep {
    let revision = planned.snapshot.revision;
    match store.commit(&planned.transaction).await {
        Ok(TransactionOutcome::Committed(_)) => {
            return CommitStep::Done(CommitOutcome::Committed(revision));
        }
        Ok(TransactionOutcome::Conflict(_)) => {}
        Err(error) => {
            *doubtful |= error.may_have_applied();
            return CommitStep::Again(error.into());
        }
    }
    // The conflict may be with an earlier attempt of this very write.
    let record = match load_record(store, revision).await {
        Ok(record) => record,
        Err(error) => return CommitStep::Again(error),
    };
    if record.is_some_and(|record| record.write_id == planned.write_id) {
        return CommitStep::Done(CommitOutcome::Committed(revision));
    }
    match load_head(store).await {
        Ok(loaded) => CommitStep::Done(CommitOutcome::LostRace(loaded.head)),
        Err(error) => CommitStep::Again(error),
    }
}
