//! Commit of a planned change, with retries.

use super::load::{load_head, load_record, LoadError};
use super::plan::PlannedChange;
use super::{CatalogueHead, WriteId};
use crate::api::{CatalogueStore, StoreError, TransactionOutcome};
use ntex::time::{sleep, Millis};
use quetzalhill_core::ids::RevisionNumber;
use rand::RngCore;
use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult};

/// Attempts to commit a change or to determine its outcome.
const COMMIT_ATTEMPTS: u32 = 6;

/// Backoff before the second attempt; doubles with each further attempt.
const COMMIT_BACKOFF_MS: u32 = 100;

/// How a commit ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The change was written as this revision of the catalogue.
    Committed(RevisionNumber),
    /// Another writer committed first and nothing of this change was written. Holds the current head, if there is one.
    LostRace(Option<CatalogueHead>),
}

/// Why a commit failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommitError {
    /// Nothing was written.
    NotApplied(LoadError),
    /// The change may have been written or may still be: an answer was lost and the store could not be read since.
    Unknown {
        /// Id by which the write can be found in the head or the history later.
        write_id: WriteId,
        /// Error of the last attempt.
        error: LoadError,
    },
}

impl Display for CommitError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        match self {
            CommitError::NotApplied(error) => write!(f, "nothing was written: {error}"),
            CommitError::Unknown { write_id, error } => write!(
                f,
                "it is unknown whether the change was written (if it was, the history has write id \
                 {write_id}): {error}"
            ),
        }
    }
}

impl Error for CommitError {}

/// Makes a random id of 128 bits for a write.
pub fn new_write_id(rng: &mut impl RngCore) -> WriteId {
    format!("{:016x}{:016x}", rng.next_u64(), rng.next_u64())
}

/// Result of one attempt.
enum CommitStep {
    Done(CommitOutcome),
    Retry(LoadError),
}

/// Commits a change; retries with backoff unless the store refuses it.
///
/// An attempt whose answer was lost is repeated. The transaction compares the head's store revision, so at most one
/// copy takes effect, also if an earlier one arrives late. After a conflict the history record is read: its write id
/// tells whether an earlier attempt of this write has succeeded.
///
/// # Errors
///
/// [`CommitError::NotApplied`] if certainly nothing was written, [`CommitError::Unknown`] if the outcome is unknown.
pub async fn commit<S: CatalogueStore>(
    store: &S,
    planned: &PlannedChange,
) -> Result<CommitOutcome, CommitError> {
    let mut outcome_unknown = false;
    let mut last_error = LoadError::Inconsistent { revision: 0 };
    for attempt in 0..COMMIT_ATTEMPTS {
        if attempt > 0 {
            sleep(Millis(COMMIT_BACKOFF_MS << (attempt - 1))).await;
        }
        match attempt_commit(store, planned, &mut outcome_unknown).await {
            CommitStep::Done(outcome) => return Ok(outcome),
            CommitStep::Retry(error) => last_error = error,
        }
        if matches!(last_error, LoadError::Store(StoreError::Refused { .. })) {
            break;
        }
    }
    match outcome_unknown {
        false => Err(CommitError::NotApplied(last_error)),
        true => Err(CommitError::Unknown {
            write_id: planned.write_id.clone(),
            error: last_error,
        }),
    }
}

async fn attempt_commit<S: CatalogueStore>(
    store: &S,
    planned: &PlannedChange,
    outcome_unknown: &mut bool,
) -> CommitStep {
    let revision = planned.snapshot.revision;
    match store.commit(&planned.transaction).await {
        Ok(TransactionOutcome::Committed { .. }) => {
            return CommitStep::Done(CommitOutcome::Committed(revision));
        }
        Ok(TransactionOutcome::Conflict(_)) => {}
        Err(error) => {
            *outcome_unknown |= error.may_have_applied();
            return CommitStep::Retry(error.into());
        }
    }
    // The conflict may be with an earlier attempt of this write whose answer was lost.
    let record = match load_record(store, revision).await {
        Ok(record) => record,
        Err(error) => return CommitStep::Retry(error),
    };
    if record.is_some_and(|record| record.write_id == planned.write_id) {
        return CommitStep::Done(CommitOutcome::Committed(revision));
    }
    match load_head(store).await {
        Ok(loaded) => CommitStep::Done(CommitOutcome::LostRace(loaded.head)),
        Err(error) => CommitStep::Retry(error),
    }
}
