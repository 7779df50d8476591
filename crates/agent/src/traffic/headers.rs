//! Conversion of header fields between callers, the request filters and the upstream.

use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue};
use ntex::http::header as upstream;
use quetzalhill_core::once::StoredAnswer;
use quetzalhill_core::request::{RequestAttributes, RequestSession};
use quetzalhill_wire::key::KeyRing;
use quetzalhill_wire::session;
use std::time::{Instant, SystemTime};

/// Field with the idempotency key of a request that must run at most once.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Field with the session token, which names the endpoint that stores the outcomes of the caller's keyed requests.
pub(crate) const SESSION: &str = "quetzalhill-session";

/// Response field that shows that the request was not run or that its outcome is unknown.
pub(crate) const OUTCOME: &str = "quetzalhill-outcome";

/// Field with the time until the deadline of the request, in milliseconds.
pub(crate) const TIMEOUT_MS: &str = "quetzalhill-timeout-ms";

/// Field with the urgency of a request (RFC 9218).
const PRIORITY: &str = "priority";

/// Media type of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Hop-by-hop fields, which are never forwarded (RFC 9110, section 7.6.1).
const CONNECTION_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Request fields that are not copied to the upstream, because the agent sets or consumes them.
///
/// `expect` is removed because the body is sent without waiting for an interim response.
const AGENT_FIELDS: [&str; 5] = ["host", "content-length", "expect", TIMEOUT_MS, SESSION];

/// Returns the attributes of a request that the request filters need.
pub(crate) fn request_attributes(
    head: &Parts,
    ring: &KeyRing,
    arrived: Instant,
) -> RequestAttributes {
    let text = |name: &str| {
        let value = head.headers.get(name)?;
        // A value with other than visible ASCII characters counts as empty, which no filter accepts as a key or token.
        Some(value.to_str().unwrap_or_default())
    };
    let token = match text(SESSION) {
        None => RequestSession::Absent,
        Some(value) => {
            session::open(value, ring).map_or(RequestSession::Unreadable, RequestSession::Token)
        }
    };
    RequestAttributes {
        method: head.method.as_str().into(),
        path: head.uri.path().into(),
        query: head.uri.query().unwrap_or_default().into(),
        urgency: text(PRIORITY).and_then(urgency),
        timeout_ms: text(TIMEOUT_MS).and_then(|value| value.trim().parse().ok()),
        session: token,
        key: text(IDEMPOTENCY_KEY).map(String::from),
        arrived,
        wall: SystemTime::now(),
    }
}

/// Returns the parameter `u` of a `priority` field; anything else in the field is ignored, as RFC 9218 demands.
fn urgency(value: &str) -> Option<u8> {
    for item in value.split(',') {
        let Some((name, digit)) = item.trim().split_once('=') else {
            continue;
        };
        if name != "u" {
            continue;
        }
        let digits = digit.split(';').next().unwrap_or(digit);
        return digits.trim().parse().ok().filter(|&urgency| urgency <= 7);
    }
    None
}

/// Returns the value of `content-length`; `None` if the field is absent or invalid.
pub(crate) fn content_length(fields: &HeaderMap) -> Option<u64> {
    fields.get("content-length")?.to_str().ok()?.parse().ok()
}

/// Copies the fields of a caller's request that the upstream receives, and adds the host and the remaining time.
pub(crate) fn to_upstream(head: &Parts, deadline: Instant, target: &mut ntex::http::HeaderMap) {
    for (name, value) in &head.headers {
        let name = name.as_str();
        if CONNECTION_FIELDS.contains(&name) || AGENT_FIELDS.contains(&name) {
            continue;
        }
        add_upstream(target, name, value.as_bytes());
    }
    let authority = head.uri.authority().map(|authority| authority.as_str());
    let host = head
        .headers
        .get("host")
        .and_then(|value| value.to_str().ok());
    if let Some(host) = authority.or(host) {
        add_upstream(target, "host", host.as_bytes());
    }
    let remaining = deadline.saturating_duration_since(Instant::now());
    add_upstream(
        target,
        TIMEOUT_MS,
        remaining.as_millis().to_string().as_bytes(),
    );
}

fn add_upstream(target: &mut ntex::http::HeaderMap, name: &str, value: &[u8]) {
    let name = upstream::HeaderName::from_bytes(name.as_bytes());
    let value = upstream::HeaderValue::from_bytes(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        target.append(name, value);
    }
}

/// Returns the fields of the upstream's response that the caller receives.
pub(crate) fn from_upstream(source: &ntex::http::HeaderMap) -> HeaderMap {
    let mut fields = HeaderMap::new();
    for (name, value) in source.iter() {
        let name = name.as_str();
        // Only the agent sets the outcome and the session token.
        if CONNECTION_FIELDS.contains(&name) || name == OUTCOME || name == SESSION {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            fields.append(name, value);
        }
    }
    fields
}

/// Returns whether a response is a stream of server-sent events, which stays open as long as the caller's session.
pub(crate) fn is_event_stream(fields: &HeaderMap) -> bool {
    let kind = fields.get("content-type").map(HeaderValue::as_bytes);
    kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}

/// Returns the header fields of a stored response.
pub(crate) fn from_stored(answer: &StoredAnswer) -> HeaderMap {
    let mut fields = HeaderMap::new();
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            fields.append(name, value);
        }
    }
    fields
}
