//! What quetzalhill needs of a key-value service.

use crate::budget::BudgetError;
use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::time::Duration;

/// Revision of the store; rises with each write. Not the revision of the catalogue.
pub type StoreRevision = i64;

pub use quetzalhill_core::ids::LeaseId;

/// One key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Store revision at which the key was created.
    pub create_revision: StoreRevision,
    /// Store revision at which the key was last written.
    pub mod_revision: StoreRevision,
}

/// Keys that a read asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyRange {
    /// Exactly this key.
    Key(String),
    /// Every key that starts with this prefix.
    Prefix(String),
}

/// Answer to a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RangeResult {
    /// Store revision at which the read took place.
    pub revision: StoreRevision,
    /// Keys found, in ascending order.
    pub entries: Vec<KeyValue>,
}

/// Condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key was last written at this revision.
    ModRevision {
        /// The key.
        key: String,
        /// The revision; 0 for a key that does not exist.
        revision: StoreRevision,
    },
    /// The key was created at this revision.
    CreateRevision {
        /// The key.
        key: String,
        /// The revision; 0 for a key that does not exist.
        revision: StoreRevision,
    },
}

/// One write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PutOp {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Lease whose end removes the key.
    pub lease: Option<LeaseId>,
}

/// Removal of a range of keys in a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeleteOp {
    /// First key that is removed.
    pub from: String,
    /// First key after it that stays.
    pub to: String,
}

/// Writes that take effect together if all conditions hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The writes.
    pub puts: Vec<PutOp>,
    /// The removals; none of them covers a key of `puts`, which the store would refuse.
    pub deletes: Vec<DeleteOp>,
}

/// Answer to a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionOutcome {
    /// All writes took effect.
    Committed(StoreRevision),
    /// A condition did not hold and nothing was written.
    Conflict(StoreRevision),
}

/// A lease that was granted or renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Identity.
    pub id: LeaseId,
    /// How long the lease lasts from the moment the store handled the call.
    pub ttl: Duration,
}

/// One change that a watch reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// A key was written.
    Put(KeyValue),
    /// A key was removed, by a call or by the end of its lease.
    Delete {
        /// The key.
        key: String,
        /// Store revision of the removal.
        revision: StoreRevision,
    },
}

/// One message of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchBatch {
    /// Changes of one or several store revisions.
    Events {
        /// Store revision of the message.
        revision: StoreRevision,
        /// The changes in order; empty in the message that confirms the watch.
        events: Vec<WatchEvent>,
    },
    /// The store no longer has the history from the requested revision; the caller has to read again.
    Compacted {
        /// First revision from which a watch is possible.
        revision: StoreRevision,
    },
}

/// Why a call failed, and what is known of its effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The call did not take effect: the store was not reached.
    NotApplied {
        /// What happened.
        cause: String,
    },
    /// The call may or may not have taken effect: the answer is missing or not usable.
    Unknown {
        /// What happened.
        cause: String,
    },
    /// The store refused the call, which did not take effect.
    Refused {
        /// HTTP status.
        status: u16,
        /// Message of the store.
        message: String,
    },
    /// The lease does not exist any more.
    LeaseNotFound {
        /// The lease.
        id: LeaseId,
    },
    /// The call was not made, because the instance has used up its budget.
    Budget(BudgetError),
}

impl StoreError {
    /// Returns whether the call may have taken effect.
    pub fn may_have_applied(&self) -> bool {
        matches!(self, StoreError::Unknown { .. })
    }
}

impl Display for StoreError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        match self {
            StoreError::NotApplied { cause } => write!(f, "the store was not reached: {cause}"),
            StoreError::Unknown { cause } => {
                write!(
                    f,
                    "the store did not answer, the effect is unknown: {cause}"
                )
            }
            StoreError::Refused { status, message } => {
                write!(
                    f,
                    "the store refused the call with status {status}: {message}"
                )
            }
            StoreError::LeaseNotFound { id } => write!(f, "lease {id} does not exist any more"),
            StoreError::Budget(error) => error.fmt(f),
        }
    }
}

impl Error for StoreError {}

impl From<BudgetError> for StoreError {
    fn from(error: BudgetError) -> Self {
        StoreError::Budget(error)
    }
}

/// The messages of one watch.
#[expect(
    async_fn_in_trait,
    reason = "The futures stay on the control thread and need no Send."
)]
pub trait CatalogueWatch {
    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// The watch has ended; the caller starts another one from the revision after the last it saw.
    async fn next(&mut self) -> Result<WatchBatch, StoreError>;
}

/// A key-value service with compare-and-swap, leases and watches.
#[expect(
    async_fn_in_trait,
    reason = "The futures stay on the control thread and need no Send."
)]
pub trait CatalogueStore {
    /// An open watch.
    type Watch: CatalogueWatch;

    /// Reads keys.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but [`StoreError::Unknown`], since a read has no effect.
    async fn range(&self, range: &KeyRange) -> Result<RangeResult, StoreError>;

    /// Writes several keys if all conditions hold.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; after [`StoreError::Unknown`] the caller reads to find out what happened.
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError>;

    /// Obtains a lease.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; a lease whose grant is unknown ends by itself.
    async fn grant(&self, ttl: Duration) -> Result<LeaseGrant, StoreError>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseNotFound`] if it has ended, or any other [`StoreError`].
    async fn keep_alive(&self, id: LeaseId) -> Result<LeaseGrant, StoreError>;

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`].
    async fn revoke(&self, id: LeaseId) -> Result<(), StoreError>;

    /// Opens a watch for changes at `from` or later.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] but [`StoreError::Unknown`].
    async fn watch(&self, range: &KeyRange, from: StoreRevision)
        -> Result<Self::Watch, StoreError>;
}
