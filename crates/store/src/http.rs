//! Conversions and error mapping that the etcd client and the long-polling client share.

use crate::api::{CallEnd, StoreError};
use ntex::client::error::{ClientError, ConnectError};
use ntex::http::error::PayloadError;
use ntex::time::Millis;
use std::io;
use std::time::Duration;

pub(crate) fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
}

pub(crate) fn not_applied(end: CallEnd, cause: impl ToString) -> StoreError {
    StoreError::NotApplied {
        end,
        cause: cause.to_string(),
    }
}

pub(crate) fn unknown(end: CallEnd, cause: impl ToString) -> StoreError {
    StoreError::Unknown {
        end,
        cause: cause.to_string(),
    }
}

/// Turns an unknown outcome into "not applied", for reads and watches, which never change the store.
pub(crate) fn unknown_to_not_applied(error: StoreError) -> StoreError {
    match error {
        StoreError::Unknown { end, cause } => StoreError::NotApplied { end, cause },
        other => other,
    }
}

/// Classifies an error of the HTTP client. Only errors that occur before the request is sent certainly had no effect.
/// The client reports a connection that closes before the answer as `Disconnected` without a cause, and a refused
/// connection as `Disconnected` with one.
pub(crate) fn classify_error(error: &ClientError) -> StoreError {
    let end = end_of(error);
    match error {
        ClientError::Connect(ConnectError::Disconnected(None)) => unknown(end, error),
        ClientError::Url(_) | ClientError::Connect(_) | ClientError::Http(_) => {
            not_applied(end, error)
        }
        _ => unknown(end, error),
    }
}

/// Classifies an error while the body of an answer is read; the call may have taken effect.
pub(crate) fn classify_body_error(error: &PayloadError) -> StoreError {
    let end = match error {
        // The client's own limit for the body is an error without a number of the kernel.
        PayloadError::Incomplete(Some(cause))
            if cause.kind() == io::ErrorKind::TimedOut && cause.raw_os_error().is_none() =>
        {
            CallEnd::Unanswered
        }
        PayloadError::Incomplete(cause) => cause.as_ref().map_or(CallEnd::Cut, end_of_io),
        PayloadError::Io(cause) => end_of_io(cause),
        _ => CallEnd::Unreadable,
    };
    unknown(end, error)
}

fn end_of(error: &ClientError) -> CallEnd {
    match error {
        ClientError::Connect(error) => end_of_connect(error),
        ClientError::Send(error) => end_of_io(error),
        ClientError::Timeout => CallEnd::Unanswered,
        ClientError::Response(_) => CallEnd::Unreadable,
        ClientError::H2(_) | ClientError::Error(_) => CallEnd::Cut,
        ClientError::Url(_)
        | ClientError::Request(_)
        | ClientError::Http(_)
        | ClientError::TunnelNotSupported => CallEnd::NotMade,
    }
}

fn end_of_connect(error: &ConnectError) -> CallEnd {
    match error {
        ConnectError::Disconnected(None) => CallEnd::Cut,
        ConnectError::Timeout => CallEnd::ConnectTimeout,
        ConnectError::Disconnected(Some(error)) => match error.kind() {
            io::ErrorKind::ConnectionRefused => CallEnd::Refused,
            io::ErrorKind::TimedOut => CallEnd::ConnectTimeout,
            _ => CallEnd::Unreachable,
        },
        _ => CallEnd::Unreachable,
    }
}

/// Returns how a call ended whose connection was open and had this error.
fn end_of_io(error: &io::Error) -> CallEnd {
    match error.kind() {
        io::ErrorKind::TimedOut => CallEnd::PeerSilent,
        _ => CallEnd::Cut,
    }
}
