//! Codec for requests and answers from the view of the platform's store.

use crate::store::{
    CONFLICT, ERA_HEADER, GONE, GRANT_PATH, KEY_PATH, NOT_FOUND, NO_LEASE, OK, RANGE_PATH,
    RENEW_PREFIX, REVOKE_PREFIX, TRANSACTION_PATH, UNAVAILABLE, WATCH_PATH,
};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use quetzalhill_store::api::{
    Compare, DeleteOp, KeyRange, KeyValue, LeaseId, PutOp, StoreEra, StoreRevision, Transaction,
    WatchEvent,
};
use serde_json::{json, Value};
use std::time::Duration;

/// A request that arrived at the store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Read of a range, or of its keys after the given one.
    Range(KeyRange, Option<String>),
    /// Long poll for changes.
    Watch {
        /// Prefix of the watched keys.
        prefix: String,
        /// Store revision after which changes are reported.
        after: StoreRevision,
        /// Time after which the store answers even without changes.
        wait: Duration,
    },
    /// Conditional write.
    Commit(Transaction),
    /// Grant of a lease with this time to live.
    Grant(Duration),
    /// Renewal of a lease.
    Renew(LeaseId),
    /// Revocation of a lease.
    Revoke(LeaseId),
}

/// An HTTP response of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreAnswer {
    /// HTTP status code.
    pub status: u16,
    /// JSON body.
    pub body: String,
}

/// Returns the header that tells the era of the store: its name and its value.
pub fn era_header(era: StoreEra) -> (&'static str, String) {
    (ERA_HEADER, era.to_string())
}

/// Decodes a request; returns `None` if the method, the path, a parameter or the body is not valid.
pub fn decode(method: &str, path: &str, query: &str, body: &[u8]) -> Option<StoreCall> {
    let field = |name: &str| query_value(query, name);
    match (method, path) {
        ("GET", KEY_PATH) => Some(StoreCall::Range(KeyRange::Key(field("key")?), None)),
        ("GET", RANGE_PATH) => {
            let range = KeyRange::Prefix(field("prefix")?);
            Some(StoreCall::Range(range, field("after")))
        }
        ("GET", WATCH_PATH) => Some(StoreCall::Watch {
            prefix: field("prefix")?,
            after: field("after")?.parse().ok()?,
            wait: Duration::from_millis(field("waitMs")?.parse().ok()?),
        }),
        ("POST", TRANSACTION_PATH) => decode_transaction(body).map(StoreCall::Commit),
        ("POST", GRANT_PATH) => {
            let body: Value = serde_json::from_slice(body).ok()?;
            Some(StoreCall::Grant(Duration::from_millis(
                body["ttlMs"].as_u64()?,
            )))
        }
        ("POST", path) => {
            let id = path.strip_prefix(RENEW_PREFIX)?.parse().ok()?;
            Some(StoreCall::Renew(id))
        }
        ("DELETE", path) => {
            let id = path.strip_prefix(REVOKE_PREFIX)?.parse().ok()?;
            Some(StoreCall::Revoke(id))
        }
        _ => None,
    }
}

fn decode_transaction(body: &[u8]) -> Option<Transaction> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let text = |value: &Value| value.as_str().map(String::from);
    let mut transaction = Transaction::default();
    for row in body["expectedRev"].as_array()? {
        transaction.compares.push(Compare::ModRevision {
            key: text(&row["key"])?,
            revision: row["revision"].as_i64()?,
        });
    }
    for put in body["puts"].as_array()? {
        let lease: LeaseId = put["lease"].as_i64()?;
        transaction.puts.push(PutOp {
            key: text(&put["key"])?,
            value: STANDARD.decode(put["value"].as_str()?).ok()?,
            lease: (lease != NO_LEASE).then_some(lease),
        });
    }
    for key in body["deletes"].as_array()? {
        let key = text(key)?;
        transaction.deletes.push(DeleteOp {
            to: format!("{key}\0"),
            from: key,
        });
    }
    Some(transaction)
}

/// Encodes the answer to a read; a missing single key is answered with status 404, a range always as one page.
pub fn range(range: &KeyRange, entries: &[KeyValue], revision: StoreRevision) -> StoreAnswer {
    if let KeyRange::Key(_) = range {
        let Some(entry) = entries.first() else {
            return answer(NOT_FOUND, &json!({ "storeRevision": revision }));
        };
        let mut body = item(entry);
        body["storeRevision"] = json!(revision);
        return answer(OK, &body);
    }
    let items: Vec<Value> = entries.iter().map(item).collect();
    answer(
        OK,
        &json!({ "items": items, "hasMore": false, "storeRevision": revision }),
    )
}

/// Encodes the answer to a long poll.
pub fn watch(events: &[WatchEvent], revision: StoreRevision) -> StoreAnswer {
    let event = |event: &WatchEvent| match event {
        WatchEvent::Put(entry) => item(entry),
        WatchEvent::Delete { key, revision } => {
            json!({ "key": key, "revision": revision, "removed": true })
        }
    };
    let events: Vec<Value> = events.iter().map(event).collect();
    answer(OK, &json!({ "events": events, "storeRevision": revision }))
}

/// Encodes the answer to a long poll from a revision whose history was compacted.
pub fn compacted() -> StoreAnswer {
    answer(GONE, &json!({}))
}

/// Encodes the answer to a transaction that was committed at `revision`.
pub fn committed(revision: StoreRevision) -> StoreAnswer {
    answer(OK, &json!({ "revision": revision }))
}

/// Encodes the answer to a transaction with a condition that did not hold.
pub fn conflict() -> StoreAnswer {
    answer(CONFLICT, &json!({ "items": [] }))
}

/// Encodes the answer to the grant or the renewal of a lease that now lasts for `ttl`.
pub fn lease_granted(id: LeaseId, ttl: Duration) -> StoreAnswer {
    let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
    answer(OK, &json!({ "lease": id, "ttlMs": ttl_ms }))
}

/// Encodes the answer to a request for a lease that does not exist.
pub fn lease_not_found() -> StoreAnswer {
    answer(NOT_FOUND, &json!({}))
}

/// Encodes the answer of a store that is unavailable and does not execute the request.
pub fn unavailable() -> StoreAnswer {
    answer(UNAVAILABLE, &json!({}))
}

fn item(entry: &KeyValue) -> Value {
    json!({
        "key": entry.key,
        "value": STANDARD.encode(&entry.value),
        "revision": entry.mod_revision,
        "created": entry.create_revision,
        "lease": NO_LEASE,
    })
}

fn answer(status: u16, body: &Value) -> StoreAnswer {
    StoreAnswer {
        status,
        body: body.to_string(),
    }
}

/// Returns the unescaped value of a query parameter.
fn query_value(query: &str, name: &str) -> Option<String> {
    for pair in query.split('&') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        if key == name {
            return unescape(value);
        }
    }
    None
}

fn unescape(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((byte, after)) = rest.split_first() {
        rest = after;
        if *byte != b'%' {
            bytes.push(*byte);
            continue;
        }
        let digits = std::str::from_utf8(rest.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &rest[2..];
    }
    String::from_utf8(bytes).ok()
}
