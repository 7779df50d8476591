//! What the clients over HTTP share.

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

/// A read or a watch changes nothing, so that a missing answer leaves no doubt.
pub(crate) fn without_effect(error: StoreError) -> StoreError {
    match error {
        StoreError::Unknown { cause } => StoreError::NotApplied { cause },
        other => other,
    }
}

/// Only errors from before the request was sent are certain to have had no effect. The HTTP client reports a
/// connection that closes before the answer as `Disconnected` without a cause, and a refused one with its cause.
pub(crate) fn client_error(error: &ClientError) -> StoreError {
    match error {
        ClientError::Connect(ConnectError::Disconnected(None)) => unknown(error),
        ClientError::Url(_) | ClientError::Connect(_) | ClientError::Http(_) => not_applied(error),
        _ => unknown(error),
    }
}
