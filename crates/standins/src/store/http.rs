//! The etcd v3 API in its HTTP/JSON form.

use super::state::{ByteRange, KeyWrite, StoreEvent, StoreState, StoredValue};
use super::{lock, SharedStore};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use futures_util::stream;
use futures_util::StreamExt;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Json, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde_json::{json, Value};
use std::io;
use std::time::Duration;
use tokio::sync::mpsc;

/// gRPC status of a call with an invalid argument.
const INVALID_ARGUMENT: u32 = 3;

/// gRPC status of a call on a lease that does not exist.
const NOT_FOUND: u32 = 5;

/// gRPC status of a store that has no leader.
const UNAVAILABLE: u32 = 14;

/// Registers the handlers of the calls.
pub(super) fn configure(config: &mut ServiceConfig) {
    config
        .route("/v3/kv/range", web::post().to(range))
        .route("/v3/kv/txn", web::post().to(transaction))
        .route("/v3/lease/grant", web::post().to(grant))
        .route("/v3/lease/keepalive", web::post().to(keep_alive))
        .route("/v3/lease/revoke", web::post().to(revoke))
        .route("/v3/watch", web::post().to(watch));
}

/// Delays a call as the mode requires. The error is the response of an unavailable store.
async fn check_available(state: &SharedStore) -> Result<(), HttpResponse> {
    if super::delay_by_mode(state).await {
        return Ok(());
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Err(refuse(status, UNAVAILABLE, "etcdserver: no leader"))
}

fn refuse(status: StatusCode, code: u32, message: &str) -> HttpResponse {
    let body = json!({ "error": message, "code": code, "message": message });
    HttpResponse::build(status).json(&body)
}

fn invalid(message: &str) -> HttpResponse {
    refuse(StatusCode::BAD_REQUEST, INVALID_ARGUMENT, message)
}

fn decode_bytes(value: &Value) -> Vec<u8> {
    let text = value.as_str().unwrap_or_default();
    STANDARD.decode(text).unwrap_or_default()
}

fn parse_integer(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or(0),
        other => other.as_i64().unwrap_or(0),
    }
}

fn byte_range(body: &Value) -> ByteRange {
    ByteRange {
        start: decode_bytes(&body["key"]),
        end: decode_bytes(&body["range_end"]),
    }
}

fn header(state: &StoreState) -> Value {
    json!({ "cluster_id": "1", "member_id": "1", "revision": state.revision.to_string() })
}

fn encode_key_value(key: &[u8], stored: &StoredValue) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&stored.value),
        "create_revision": stored.create_revision.to_string(),
        "mod_revision": stored.mod_revision.to_string(),
        "version": stored.version.to_string(),
    })
}

async fn range(state: State<SharedStore>, body: Json<Value>) -> HttpResponse {
    if let Err(answer) = check_available(&state).await {
        return answer;
    }
    let mut state = lock(&state);
    state.calls.reads += 1;
    let range = byte_range(&body);
    let found = state.range(&range);
    let pairs: Vec<Value> = found
        .iter()
        .map(|(key, value)| encode_key_value(key, value))
        .collect();
    let count = pairs.len().to_string();
    HttpResponse::Ok().json(&json!({ "header": header(&state), "kvs": pairs, "count": count }))
}

fn compare_holds(state: &StoreState, compare: &Value) -> bool {
    let stored = state.stored(&decode_bytes(&compare["key"]));
    let (actual, expected) = match compare["target"].as_str() {
        Some("MOD") => (
            stored.map_or(0, |s| s.mod_revision),
            &compare["mod_revision"],
        ),
        Some("CREATE") => (
            stored.map_or(0, |s| s.create_revision),
            &compare["create_revision"],
        ),
        _ => return false,
    };
    actual == parse_integer(expected)
}

fn writes(body: &Value) -> Vec<KeyWrite> {
    let empty = Vec::new();
    let list = body["success"].as_array().unwrap_or(&empty);
    list.iter()
        .map(|item| &item["request_put"])
        .filter(|put| !put.is_null())
        .map(|put| KeyWrite {
            key: decode_bytes(&put["key"]),
            value: decode_bytes(&put["value"]),
            lease: parse_integer(&put["lease"]),
        })
        .collect()
}

fn deletes(body: &Value) -> Vec<ByteRange> {
    let empty = Vec::new();
    let list = body["success"].as_array().unwrap_or(&empty);
    list.iter()
        .map(|item| &item["request_delete_range"])
        .filter(|delete| !delete.is_null())
        .map(byte_range)
        .collect()
}

async fn transaction(
    state: State<SharedStore>,
    body: Json<Value>,
    request: HttpRequest,
) -> HttpResponse {
    if let Err(answer) = check_available(&state).await {
        return answer;
    }
    let (answer, lost) = {
        let mut state = lock(&state);
        state.calls.writes += 1;
        let writes = writes(&body);
        if writes
            .iter()
            .any(|write| write.lease != 0 && !state.has_lease(write.lease))
        {
            let status = StatusCode::NOT_FOUND;
            return refuse(status, NOT_FOUND, "etcdserver: requested lease not found");
        }
        let empty = Vec::new();
        let compares = body["compare"].as_array().unwrap_or(&empty);
        let succeeded = compares
            .iter()
            .all(|compare| compare_holds(&state, compare));
        if succeeded {
            state.apply(writes, &deletes(&body));
        }
        let answer = json!({ "header": header(&state), "succeeded": succeeded });
        (answer, std::mem::take(&mut state.lose_next))
    };
    if lost {
        if let Some(io) = request.io() {
            io.terminate();
        }
        std::future::pending::<()>().await;
    }
    HttpResponse::Ok().json(&answer)
}

async fn grant(state: State<SharedStore>, body: Json<Value>) -> HttpResponse {
    if let Err(answer) = check_available(&state).await {
        return answer;
    }
    let Ok(ttl_s) = u64::try_from(parse_integer(&body["TTL"])) else {
        return invalid("etcdserver: bad lease TTL");
    };
    let mut state = lock(&state);
    state.calls.leases += 1;
    let id = state.grant(Duration::from_secs(ttl_s));
    let answer = json!({
        "header": header(&state), "ID": id.to_string(), "TTL": ttl_s.to_string(),
    });
    HttpResponse::Ok().json(&answer)
}

async fn keep_alive(state: State<SharedStore>, body: Json<Value>) -> HttpResponse {
    if let Err(answer) = check_available(&state).await {
        return answer;
    }
    let mut state = lock(&state);
    state.calls.leases += 1;
    let id = parse_integer(&body["ID"]);
    let mut result = json!({ "header": header(&state), "ID": id.to_string() });
    if let Some(ttl) = state.keep_alive(id) {
        result["TTL"] = json!(ttl.as_secs().to_string());
    }
    HttpResponse::Ok().json(&json!({ "result": result }))
}

async fn revoke(state: State<SharedStore>, body: Json<Value>) -> HttpResponse {
    if let Err(answer) = check_available(&state).await {
        return answer;
    }
    let mut state = lock(&state);
    state.calls.leases += 1;
    if !state.revoke(parse_integer(&body["ID"])) {
        let status = StatusCode::NOT_FOUND;
        return refuse(status, NOT_FOUND, "etcdserver: requested lease not found");
    }
    HttpResponse::Ok().json(&json!({ "header": header(&state) }))
}

/// Closes the watch when its stream is dropped.
struct WatchGuard {
    state: SharedStore,
    id: u64,
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        lock(&self.state).close_watch(self.id);
    }
}

fn encode_event(event: &StoreEvent) -> Value {
    match &event.stored {
        Some(stored) => json!({ "kv": encode_key_value(&event.key, stored) }),
        None => json!({
            "type": "DELETE",
            "kv": {
                "key": STANDARD.encode(&event.key),
                "mod_revision": event.revision.to_string(),
            },
        }),
    }
}

fn encode_line(result: &Value) -> Bytes {
    Bytes::from(format!("{}\n", json!({ "result": result })))
}

fn encode_events(events: &[StoreEvent]) -> Bytes {
    let revision = events.last().map_or(0, |event| event.revision);
    let events: Vec<Value> = events.iter().map(encode_event).collect();
    encode_line(&json!({ "header": { "revision": revision.to_string() }, "events": events }))
}

async fn watch(state: State<SharedStore>, body: Json<Value>) -> HttpResponse {
    if let Err(answer) = check_available(&state).await {
        return answer;
    }
    let create = &body["create_request"];
    let range = byte_range(create);
    let from = parse_integer(&create["start_revision"]);
    let (sender, receiver) = mpsc::unbounded_channel();
    let (guard, first) = {
        let mut locked = lock(&state);
        let created = encode_line(&json!({ "header": header(&locked), "created": true }));
        if from > 0 && from <= locked.compacted {
            let compacted = (locked.compacted + 1).to_string();
            let end = json!({ "canceled": true, "compact_revision": compacted });
            let lines = stream::iter([created, encode_line(&end)].map(Ok::<Bytes, io::Error>));
            return HttpResponse::Ok().streaming(lines);
        }
        let (id, missed) = locked.open_watch(range, from, sender);
        let guard = WatchGuard {
            state: SharedStore::clone(&state),
            id,
        };
        let mut first = vec![created];
        if !missed.is_empty() {
            first.push(encode_events(&missed));
        }
        (guard, first)
    };
    let first = stream::iter(first.into_iter().map(Ok::<Bytes, io::Error>));
    let rest = stream::unfold((receiver, guard), |(mut receiver, guard)| async move {
        let events: Vec<StoreEvent> = receiver.recv().await?;
        Some((Ok(encode_events(&events)), (receiver, guard)))
    });
    HttpResponse::Ok().streaming(Box::pin(first.chain(rest)))
}
