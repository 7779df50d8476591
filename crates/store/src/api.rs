//! Interface to a key-value service with transactions, leases and watches.

use crate::budget::BudgetError;
use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::time::Duration;

pub use quetzalhill_core::ids::{LeaseId, StoreEra, StoreRevision};

/// One key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// Full key, including any prefix that a read matched.
    pub key: String,
    /// Decoded bytes of the value.
    pub value: Vec<u8>,
    /// Store revision at which the key was created.
    pub create_revision: StoreRevision,
    /// Store revision at which the key was last written.
    pub mod_revision: StoreRevision,
}

/// Keys that a read or a watch covers.
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
    /// Era of the store that answered; 0 if it is not known.
    pub era: StoreEra,
    /// Store revision of the read; a watch from the next revision misses no later change.
    pub revision: StoreRevision,
    /// Keys found, in ascending order.
    pub entries: Vec<KeyValue>,
}

/// Condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key was last written at this revision.
    ModRevision {
        /// Key that is compared.
        key: String,
        /// Expected revision; 0 requires that the key does not exist.
        revision: StoreRevision,
    },
    /// The key was created at this revision.
    CreateRevision {
        /// Key that is compared.
        key: String,
        /// Expected revision; 0 requires that the key does not exist.
        revision: StoreRevision,
    },
}

/// One write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PutOp {
    /// Key that is created or overwritten.
    pub key: String,
    /// New value.
    pub value: Vec<u8>,
    /// Lease to which the key is attached: the store removes the key when the lease ends.
    pub lease: Option<LeaseId>,
}

/// Removal of a half-open range of keys in a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeleteOp {
    /// First key of the range, inclusive.
    pub from: String,
    /// End of the range, exclusive.
    pub to: String,
}

/// Writes and removals that take effect atomically if all conditions hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Conditions, all of which must hold; without any the transaction is unconditional.
    pub compares: Vec<Compare>,
    /// Keys that are created or overwritten.
    pub puts: Vec<PutOp>,
    /// Ranges to remove. None may cover a key of `puts`: the store refuses such a transaction.
    pub deletes: Vec<DeleteOp>,
}

/// Answer to a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionOutcome {
    /// All writes took effect.
    Committed {
        /// Era of the store that made them; 0 if it is not known.
        era: StoreEra,
        /// Store revision of the writes.
        revision: StoreRevision,
    },
    /// A condition did not hold and nothing was written. Holds the store's revision, or 0 if it did not report one.
    Conflict(StoreRevision),
}

/// A lease that was granted or renewed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Number by which the store identifies the lease in later calls.
    pub id: LeaseId,
    /// Era of the store that granted or renewed it; 0 if it is not known. After a restore from an older copy the store may
    /// grant the number again.
    pub era: StoreEra,
    /// Time to live, counted from the moment the store handled the call.
    pub ttl: Duration,
}

/// One change that a watch reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// A key was written.
    Put(KeyValue),
    /// A key was removed, by a call or by the end of its lease.
    Delete {
        /// Key that was removed.
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
        /// Era of the store that made the changes; 0 if it is not known.
        era: StoreEra,
        /// Store revision at the time of the message; a watch of long polls continues after it.
        revision: StoreRevision,
        /// Changes in the order of their revisions. Empty in the message that confirms a new watch and in the answer
        /// to a long poll that ran out without a change.
        events: Vec<WatchEvent>,
    },
    /// The store has discarded the history from the requested revision on, or has been restored from an older copy; the
    /// caller must read the range again.
    Compacted {
        /// First revision from which a watch is possible. A store that does not report it repeats the revision after
        /// which changes were requested.
        revision: StoreRevision,
    },
}

/// How a call that failed ended, for logs and metrics; decisions use [`StoreError`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallEnd {
    /// The call could not be made: it cannot be expressed, or the client could not be set up.
    NotMade,
    /// The call was held back because the instance has used up its budget.
    Budget,
    /// The store's machine refused the connection.
    Refused,
    /// The attempt to connect had no answer within its limit.
    ConnectTimeout,
    /// The connection could not be opened for another reason, for example because there is no route.
    Unreachable,
    /// The connection was closed before the whole answer had arrived.
    Cut,
    /// The kernel closed the connection because the peer did not acknowledge data or answer probes.
    PeerSilent,
    /// The connection stayed open, but the answer did not arrive within the limit of the call.
    Unanswered,
    /// The store answered with status 503.
    Unavailable,
    /// The store answered with status 429.
    TooMany,
    /// The store answered with another status that is not a success.
    OtherStatus,
    /// The answer could not be decoded or is too large.
    Unreadable,
    /// The answer is from before a restore of the store that another answer has shown.
    OlderEra,
}

impl CallEnd {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CallEnd::NotMade => "not-made",
            CallEnd::Budget => "budget",
            CallEnd::Refused => "refused",
            CallEnd::ConnectTimeout => "connect-timeout",
            CallEnd::Unreachable => "unreachable",
            CallEnd::Cut => "cut",
            CallEnd::PeerSilent => "peer-silent",
            CallEnd::Unanswered => "unanswered",
            CallEnd::Unavailable => "status-503",
            CallEnd::TooMany => "status-429",
            CallEnd::OtherStatus => "status-other",
            CallEnd::Unreadable => "unreadable",
            CallEnd::OlderEra => "older-era",
        }
    }

    /// Returns how a call ended that was answered with `status`, which is not a success.
    pub fn of_status(status: u16) -> Self {
        match status {
            503 => CallEnd::Unavailable,
            429 => CallEnd::TooMany,
            _ => CallEnd::OtherStatus,
        }
    }
}

/// Why a call failed, and whether it may have taken effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The call certainly did not take effect: it was not sent, the store was unavailable, or it was a read.
    NotApplied {
        /// How the call ended.
        end: CallEnd,
        /// Error of the HTTP client or of the decoder, for messages only.
        cause: String,
    },
    /// The call may have taken effect: the answer did not arrive or could not be decoded.
    Unknown {
        /// How the call ended.
        end: CallEnd,
        /// Error of the HTTP client or of the decoder, for messages only.
        cause: String,
    },
    /// The store refused the call, which did not take effect.
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// Error message that the store sent.
        message: String,
    },
    /// The lease has expired or was revoked.
    LeaseNotFound {
        /// Lease of the call; 0 if the answer does not tell which lease of a transaction is missing.
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

    /// Returns how the call ended.
    pub fn end(&self) -> CallEnd {
        match self {
            StoreError::NotApplied { end, .. } | StoreError::Unknown { end, .. } => *end,
            StoreError::Refused { status, .. } => CallEnd::of_status(*status),
            StoreError::LeaseNotFound { .. } => CallEnd::OtherStatus,
            StoreError::Budget(_) => CallEnd::Budget,
        }
    }
}

impl Display for StoreError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        match self {
            StoreError::NotApplied { cause, .. } => {
                write!(f, "the call to the store had no effect: {cause}")
            }
            StoreError::Unknown { cause, .. } => {
                write!(
                    f,
                    "no usable answer from the store, the call may have taken effect: {cause}"
                )
            }
            StoreError::Refused { status, message } => {
                write!(
                    f,
                    "the store refused the call with status {status}: {message}"
                )
            }
            StoreError::LeaseNotFound { id } => {
                write!(f, "lease {id} has expired or was revoked")
            }
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

/// An open watch as a stream of messages.
#[expect(
    async_fn_in_trait,
    reason = "The futures stay on the control thread and need no Send."
)]
pub trait CatalogueWatch {
    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// The watch has ended. The caller opens a new one at the revision after the last one that it received.
    async fn next(&mut self) -> Result<WatchBatch, StoreError>;
}

/// A key-value service with compare-and-swap, leases and watches.
#[expect(
    async_fn_in_trait,
    reason = "The futures stay on the control thread and need no Send."
)]
pub trait CatalogueStore {
    /// Watch that [`CatalogueStore::watch`] opens; dropping it closes it.
    type Watch: CatalogueWatch;

    /// Returns the highest era of the store that answers to this client and its clones have shown; 0 while it is not
    /// known, and always for a store without eras.
    fn era(&self) -> StoreEra {
        0
    }

    /// Waits until an answer has shown that the store was restored since `era`, or since the first era that becomes known
    /// if `era` is 0.
    async fn wait_for_restore(&self, _era: StoreEra) {
        std::future::pending().await
    }

    /// Reads keys.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] except [`StoreError::Unknown`], since a read has no effect.
    async fn range(&self, range: &KeyRange) -> Result<RangeResult, StoreError>;

    /// Reads keys from a replica, which costs less than [`CatalogueStore::range`] and may miss changes of the last
    /// seconds. A store without such reads reads as usual.
    ///
    /// # Errors
    ///
    /// See [`CatalogueStore::range`].
    async fn range_stale(&self, range: &KeyRange) -> Result<RangeResult, StoreError> {
        self.range(range).await
    }

    /// Writes several keys if all conditions hold.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; after [`StoreError::Unknown`] the caller has to read the keys to see if they were written.
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionOutcome, StoreError>;

    /// Obtains a lease.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`]; after [`StoreError::Unknown`] a lease that was granted all the same expires unused.
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
    /// Any [`StoreError`] except [`StoreError::Unknown`].
    async fn watch(&self, range: &KeyRange, from: StoreRevision)
        -> Result<Self::Watch, StoreError>;

    /// Opens a watch that costs fewer calls than [`CatalogueStore::watch`] and may notice much later that the store has
    /// lost an answer. A store whose watches cost no calls while they wait opens the usual one.
    ///
    /// # Errors
    ///
    /// See [`CatalogueStore::watch`].
    async fn watch_long(
        &self,
        range: &KeyRange,
        from: StoreRevision,
    ) -> Result<Self::Watch, StoreError> {
        self.watch(range, from).await
    }
}
