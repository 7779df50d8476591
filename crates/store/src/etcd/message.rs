//! JSON messages of the etcd v3 API: bytes are base64, 64-bit integers are strings, default values are omitted.

use crate::api::{
    Compare, DeleteOp, KeyRange, KeyValue, PutOp, StoreRevision, Transaction, WatchBatch,
    WatchEvent,
};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{json, Value};

/// Deserializes an integer that is written as a string or as a number.
fn integer<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum IntegerForm {
        Text(String),
        Number(i64),
    }
    match IntegerForm::deserialize(deserializer)? {
        IntegerForm::Text(text) => text.parse().map_err(D::Error::custom),
        IntegerForm::Number(number) => Ok(number),
    }
}

/// Header of every response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Header {
    #[serde(deserialize_with = "integer")]
    pub(super) revision: StoreRevision,
}

/// A key-value pair in a response.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WireKeyValue {
    key: String,
    value: String,
    #[serde(deserialize_with = "integer")]
    create_revision: StoreRevision,
    #[serde(deserialize_with = "integer")]
    mod_revision: StoreRevision,
}

impl WireKeyValue {
    /// Decodes key and value from base64; the error is that of the base64 or UTF-8 decoder.
    pub(super) fn decode(self) -> Result<KeyValue, String> {
        let key = STANDARD.decode(&self.key).map_err(|e| e.to_string())?;
        let key = String::from_utf8(key).map_err(|e| e.to_string())?;
        let value = STANDARD.decode(&self.value).map_err(|e| e.to_string())?;
        Ok(KeyValue {
            key,
            value,
            create_revision: self.create_revision,
            mod_revision: self.mod_revision,
        })
    }
}

/// Response of `/v3/kv/range`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeAnswer {
    pub(super) header: Header,
    pub(super) kvs: Vec<WireKeyValue>,
}

/// Response of `/v3/kv/txn`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TransactionAnswer {
    pub(super) header: Header,
    pub(super) succeeded: bool,
}

/// Response of `/v3/lease/grant`, and the result in the stream of `/v3/lease/keepalive`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseAnswer {
    #[serde(rename = "ID", deserialize_with = "integer")]
    pub(super) id: i64,
    #[serde(rename = "TTL", deserialize_with = "integer")]
    pub(super) ttl: i64,
}

/// One line of a streamed response.
#[derive(Debug, Deserialize)]
pub(super) struct StreamLine<T> {
    pub(super) result: Option<T>,
    pub(super) error: Option<Value>,
}

/// Result in the stream of `/v3/watch`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchAnswer {
    header: Header,
    canceled: bool,
    cancel_reason: String,
    #[serde(deserialize_with = "integer")]
    compact_revision: StoreRevision,
    events: Vec<WireEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WireEvent {
    #[serde(rename = "type")]
    kind: String,
    kv: WireKeyValue,
}

impl WatchAnswer {
    /// Decodes a message; the error is the store's reason for cancelling the watch, or that of a decoder.
    pub(super) fn decode(self) -> Result<WatchBatch, String> {
        if self.compact_revision > 0 {
            return Ok(WatchBatch::Compacted {
                revision: self.compact_revision,
            });
        }
        if self.canceled {
            return Err(format!("watch cancelled: {}", self.cancel_reason));
        }
        let mut events = Vec::with_capacity(self.events.len());
        for event in self.events {
            let pair = event.kv.decode()?;
            events.push(match event.kind == "DELETE" {
                true => WatchEvent::Delete {
                    key: pair.key,
                    revision: pair.mod_revision,
                },
                false => WatchEvent::Put(pair),
            });
        }
        Ok(WatchBatch::Events {
            era: 0,
            revision: self.header.revision,
            events,
        })
    }
}

/// Body of an error response.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub(super) struct ErrorAnswer {
    pub(super) message: String,
}

/// Returns the exclusive end of the range of all keys with this prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // The prefix is empty or all 0xff; the API reads a single zero byte as "no upper bound".
    vec![0]
}

/// Builds the body of a range request; a watch request extends it.
pub(super) fn range_body(range: &KeyRange) -> Value {
    match range {
        KeyRange::Key(key) => json!({ "key": STANDARD.encode(key) }),
        KeyRange::Prefix(prefix) => json!({
            "key": STANDARD.encode(prefix),
            "range_end": STANDARD.encode(prefix_end(prefix)),
        }),
    }
}

/// Builds the body of a watch request.
pub(super) fn watch_body(range: &KeyRange, from: StoreRevision) -> Value {
    let mut create = range_body(range);
    create["start_revision"] = json!(from.to_string());
    json!({ "create_request": create })
}

/// Builds the body of a transaction request.
pub(super) fn transaction_body(transaction: &Transaction) -> Value {
    let compare: Vec<Value> = transaction.compares.iter().map(compare_body).collect();
    let puts = transaction.puts.iter().map(put_body);
    let deletes = transaction.deletes.iter().map(delete_body);
    let success: Vec<Value> = puts.chain(deletes).collect();
    json!({ "compare": compare, "success": success })
}

fn compare_body(compare: &Compare) -> Value {
    match compare {
        Compare::ModRevision { key, revision } => json!({
            "key": STANDARD.encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": revision.to_string(),
        }),
        Compare::CreateRevision { key, revision } => json!({
            "key": STANDARD.encode(key),
            "target": "CREATE",
            "result": "EQUAL",
            "create_revision": revision.to_string(),
        }),
    }
}

fn delete_body(delete: &DeleteOp) -> Value {
    json!({ "request_delete_range": {
        "key": STANDARD.encode(&delete.from),
        "range_end": STANDARD.encode(&delete.to),
    } })
}

fn put_body(put: &PutOp) -> Value {
    let mut request = json!({
        "key": STANDARD.encode(&put.key),
        "value": STANDARD.encode(&put.value),
    });
    if let Some(lease) = put.lease {
        request["lease"] = json!(lease.to_string());
    }
    json!({ "request_put": request })
}
