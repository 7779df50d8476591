//! Conversion between HTTP heads and handover messages.

use bytes::Bytes;
use http::request::Parts;
use http::uri::{Authority, PathAndQuery};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};
use quetzalhill_wire::handover::{FieldList, RequestHead};
use std::time::{Duration, Instant};

/// Converts the head of an HTTP request into its handover message.
pub(crate) fn from_parts(head: &Parts) -> RequestHead {
    let path = head.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    RequestHead {
        method: head.method.as_str().into(),
        path: path.into(),
        authority: head.uri.authority().map(|name| name.as_str().into()),
        fields: from_fields(&head.headers),
    }
}

/// Converts a handover message into the head of an HTTP request; `None` if the method, the path or the authority is
/// invalid.
pub(crate) fn to_parts(head: RequestHead) -> Option<Parts> {
    let mut uri = http::uri::Parts::default();
    uri.path_and_query = Some(head.path.parse().ok()?);
    if let Some(authority) = head.authority {
        uri.scheme = Some(http::uri::Scheme::HTTPS);
        uri.authority = Some(authority.parse::<Authority>().ok()?);
    }
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = Method::from_bytes(head.method.as_bytes()).ok()?;
    parts.uri = Uri::from_parts(uri).ok()?;
    parts.headers = to_fields(head.fields);
    Some(parts)
}

/// Converts header fields into the list that a message carries.
pub(crate) fn from_fields(fields: &HeaderMap) -> FieldList {
    fields
        .iter()
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().into(), value)
        })
        .collect()
}

/// Converts the list of a message into header fields and drops those that are not valid HTTP.
pub(crate) fn to_fields(list: FieldList) -> HeaderMap {
    let mut fields = HeaderMap::with_capacity(list.len());
    for (name, value) in list {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_maybe_shared(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            fields.append(name, value);
        }
    }
    fields
}

/// Returns a duration in microseconds, capped at `u64::MAX`.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the time until a deadline in microseconds; 0 if it has passed.
pub(crate) fn remaining_micros(deadline: Instant) -> u64 {
    micros(deadline.saturating_duration_since(Instant::now()))
}
