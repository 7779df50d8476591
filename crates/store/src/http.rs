//! Conversions and error mapping that the etcd client and the long-polling client share.

use crate::api::StoreError;
use ntex::client::error::{ClientError, ConnectError};
use ntex::time::Millis;
use std::time::Duration;

pub(crate) fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
}

pub(crate) fn not_applied(cause: impl ToString) -> StoreError {
    StoreError::NotApplied {
        cause: cause.to_string(),
    }
}

pub(crate) fn unknown(cause: impl ToString) -> StoreError {
    StoreError::Unknown {
        cause: cause.to_string(),
    }
}

/// Turns an unknown outcome into "not applied", for reads and watches, which never change the store.
pub(crate) fn unknown_to_not_applied(error: StoreError) -> StoreError {
    match error {
        StoreError::Unknown { cause } => StoreError::NotApplied { cause },
        other => other,
    }
}

/// Classifies an error of the HTTP client. Only errors that occur before the request is sent certainly had no effect.
/// The client reports a connection that closes before the answer as `Disconnected` without a cause, and a refused
/// connection as `Disconnected` with one.
pub(crate) fn classify_error(error: &ClientError) -> StoreError {
    match error {
        ClientError::Connect(ConnectError::Disconnected(None)) => unknown(error),
        ClientError::Url(_) | ClientError::Connect(_) | ClientError::Http(_) => not_applied(error),
        _ => unknown(error),
    }
}
