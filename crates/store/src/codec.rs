//! Boundary between the client of a long-polled store and the names of one store.

use crate::api::{
    KeyRange, KeyValue, LeaseGrant, LeaseId, StoreError, StoreRevision, Transaction,
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

/// A call, ready to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpCall {
    /// Method.
    pub method: CallMethod,
    /// Path and query.
    pub path: String,
    /// JSON body.
    pub body: Option<Vec<u8>>,
}

/// The answer to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpAnswer<'a> {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: &'a [u8],
}

/// One page of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RangePage {
    /// Store revision at which the page was read.
    pub revision: StoreRevision,
    /// Keys found, in ascending order.
    pub entries: Vec<KeyValue>,
    /// Whether there are more keys after the last one.
    pub more: bool,
}

/// Names and formats of one store.
///
/// Every decoding method returns the [`StoreError`] that the answer stands for, or [`StoreError::Unknown`] if it
/// cannot be read.
pub trait StoreCodec: Clone + Debug {
    /// Encodes a read of the keys in `range` that come after the key `after`.
    fn encode_range(&self, range: &KeyRange, after: Option<&str>) -> HttpCall;

    /// Decodes the answer to a read.
    ///
    /// # Errors
    ///
    /// See [`StoreCodec`].
    fn decode_range(
        &self,
        range: &KeyRange,
        answer: HttpAnswer<'_>,
    ) -> Result<RangePage, StoreError>;

    /// Encodes a long poll for changes later than `after`, which the store answers after `wait` at the latest.
    fn encode_watch(&self, range: &KeyRange, after: StoreRevision, wait: Duration) -> HttpCall;

    /// Decodes the answer to a long poll for changes later than `after`.
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
    /// [`StoreError::NotApplied`] if the store cannot express it.
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

    /// Encodes the end of a lease.
    fn encode_revocation(&self, id: LeaseId) -> HttpCall;
}
