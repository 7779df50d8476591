//! Interface between the long-polling client and the paths and message formats of one store.

use crate::api::{
    KeyRange, KeyValue, LeaseGrant, LeaseId, StoreEra, StoreError, StoreRevision, Transaction,
    TransactionOutcome, WatchBatch,
};
use std::fmt::Debug;
use std::time::Duration;

/// HTTP method of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallMethod {
    /// GET.
    Get,
    /// POST.
    Post,
    /// DELETE.
    Delete,
}

/// What a read must include.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadFreshness {
    /// Every change that was acknowledged before the read began.
    Current,
    /// A consistent but possibly older state, which costs the store less.
    Stale,
}

/// An encoded HTTP request, without the address of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpCall {
    /// HTTP method.
    pub method: CallMethod,
    /// Path and query, with reserved characters escaped.
    pub path: String,
    /// JSON body; absent for requests without one.
    pub body: Option<Vec<u8>>,
}

/// The HTTP response to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpAnswer<'a> {
    /// HTTP status code.
    pub status: u16,
    /// Era of the store that answered, which decoding passes on; 0 if it is not known.
    pub era: StoreEra,
    /// Whole body, as it arrived.
    pub body: &'a [u8],
}

/// One page of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RangePage {
    /// Era of the store that answered; 0 if it is not known.
    pub era: StoreEra,
    /// Store revision at which the page was read.
    pub revision: StoreRevision,
    /// Keys found, in ascending order.
    pub entries: Vec<KeyValue>,
    /// Whether the range has further keys after the last of this page.
    pub more: bool,
}

/// Paths and message formats of one store.
///
/// Every decoding method maps an error status to the matching [`StoreError`], and returns [`StoreError::Unknown`] for
/// an answer that it cannot decode.
pub trait StoreCodec: Clone + Debug {
    /// Returns the name of the header by which an answer tells the store's era, or `None` if the store has no eras.
    fn era_header(&self) -> Option<&'static str>;

    /// Decodes the value of that header; a malformed one is era 0, which is not known.
    fn decode_era(&self, value: &str) -> StoreEra;

    /// Encodes a read of the keys in `range`, or of those after the key `after`, the last key of the previous page.
    fn encode_range(
        &self,
        range: &KeyRange,
        freshness: ReadFreshness,
        after: Option<&str>,
    ) -> HttpCall;

    /// Decodes the answer to a read. A single item that cannot be decoded becomes an entry without a value, and without
    /// a key if that cannot be decoded either; events of a watch likewise.
    ///
    /// # Errors
    ///
    /// See [`StoreCodec`].
    fn decode_range(
        &self,
        range: &KeyRange,
        answer: HttpAnswer<'_>,
    ) -> Result<RangePage, StoreError>;

    /// Encodes a long poll for changes after the revision `after`; the store answers after `wait` at the latest.
    fn encode_watch(&self, range: &KeyRange, after: StoreRevision, wait: Duration) -> HttpCall;

    /// Decodes the answer to a long poll for changes after the revision `after`.
    ///
    /// # Errors
    ///
    /// See [`StoreCodec`].
    fn decode_watch(
        &self,
        range: &KeyRange,
        after: StoreRevision,
        answer: HttpAnswer<'_>,
    ) -> Result<WatchBatch, StoreError>;

    /// Encodes a transaction.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotApplied`] if the store's format cannot express the transaction.
    fn encode_commit(&self, transaction: &Transaction) -> Result<HttpCall, StoreError>;

    /// Decodes the answer to a transaction.
    ///
    /// # Errors
    ///
    /// See [`StoreCodec`].
    fn decode_commit(&self, answer: HttpAnswer<'_>) -> Result<TransactionOutcome, StoreError>;

    /// Encodes the grant of a lease.
    fn encode_grant(&self, ttl: Duration) -> HttpCall;

    /// Encodes the renewal of a lease.
    fn encode_renewal(&self, id: LeaseId) -> HttpCall;

    /// Decodes the answer to a grant, or to the renewal of the lease `renewed`.
    ///
    /// # Errors
    ///
    /// See [`StoreCodec`].
    fn decode_grant(
        &self,
        renewed: Option<LeaseId>,
        answer: HttpAnswer<'_>,
    ) -> Result<LeaseGrant, StoreError>;

    /// Encodes the revocation of a lease, which also removes its keys.
    fn encode_revocation(&self, id: LeaseId) -> HttpCall;
}
