//! The API of the first users' platform, with long polls in place of watch streams.

use super::state::{ByteRange, KeyWrite, StoreEvent, StoreState, StoredValue};
use super::{delay_by_mode, lock, SharedStore};
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use quetzalhill_platform::standin::store::{self as codec, StoreAnswer, StoreCall};
use quetzalhill_store::api::{
    Compare, KeyRange, KeyValue, StoreEra, StoreRevision, Transaction, WatchEvent,
};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Registers the handler of all calls.
pub(super) fn configure(config: &mut ServiceConfig) {
    config.service(web::resource("/{path}*").to(answer));
}

async fn answer(state: State<SharedStore>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let (method, uri) = (request.method().as_str(), request.uri());
    let query = uri.query().unwrap_or_default();
    let Some(call) = codec::decode(method, uri.path(), query, &body) else {
        return HttpResponse::NotFound().finish();
    };
    let Some((answer, era)) = execute_call(&state, call).await else {
        if let Some(io) = request.io() {
            io.terminate();
        }
        std::future::pending::<()>().await;
        return HttpResponse::Ok().finish();
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    response.content_type("application/json");
    if era != 0 {
        let (name, value) = codec::era_header(era);
        response.header(name, value);
    }
    response.body(answer.body)
}

/// Delays a call as the mode requires and executes it; returns the answer with the era in which the call was executed, or
/// `None` if the answer has to be lost.
async fn execute_call(state: &SharedStore, call: StoreCall) -> Option<(StoreAnswer, StoreEra)> {
    if !delay_by_mode(state).await {
        return Some((codec::unavailable(), lock(state).era));
    }
    let StoreCall::Watch {
        prefix,
        after,
        wait,
    } = call
    else {
        let mut state = lock(state);
        let answer = execute(&mut state, call);
        return (!std::mem::take(&mut state.lose_next)).then_some((answer, state.era));
    };
    Some(watch(state, &prefix, after, wait).await)
}

fn execute(state: &mut StoreState, call: StoreCall) -> StoreAnswer {
    match call {
        StoreCall::Range(range, after) => {
            state.calls.reads += 1;
            let mut entries = Vec::new();
            for (key, stored) in state.range(&byte_range(&range)) {
                if after
                    .as_ref()
                    .is_none_or(|after| key.as_slice() > after.as_bytes())
                {
                    entries.push(key_value(key, stored));
                }
            }
            codec::range(&range, &entries, state.revision)
        }
        StoreCall::Commit(transaction) => {
            state.calls.writes += 1;
            commit(state, transaction)
        }
        StoreCall::Grant(ttl) => {
            state.calls.leases += 1;
            codec::lease_granted(state.grant(ttl), ttl)
        }
        StoreCall::Renew(id) => {
            state.calls.leases += 1;
            match state.keep_alive(id) {
                Some(ttl) => codec::lease_granted(id, ttl),
                None => codec::lease_not_found(),
            }
        }
        StoreCall::Revoke(id) => {
            state.calls.leases += 1;
            match state.revoke(id) {
                true => codec::committed(state.revision),
                false => codec::lease_not_found(),
            }
        }
        // Not reached: `execute_call` handles a watch itself, since it waits and must not hold the lock meanwhile.
        StoreCall::Watch { .. } => codec::unavailable(),
    }
}

fn commit(state: &mut StoreState, transaction: Transaction) -> StoreAnswer {
    let mut leases = transaction.puts.iter().filter_map(|put| put.lease);
    if !leases.all(|lease| state.has_lease(lease)) {
        return codec::lease_not_found();
    }
    for compare in &transaction.compares {
        let Compare::ModRevision { key, revision } = compare else {
            return codec::conflict();
        };
        let stored = state.stored(key.as_bytes());
        if stored.map_or(0, |stored| stored.mod_revision) != *revision {
            return codec::conflict();
        }
    }
    let mut writes = Vec::new();
    for put in transaction.puts {
        writes.push(KeyWrite {
            key: put.key.into_bytes(),
            value: put.value,
            lease: put.lease.unwrap_or(0),
        });
    }
    let mut deletes = Vec::new();
    for delete in transaction.deletes {
        deletes.push(ByteRange {
            start: delete.from.into_bytes(),
            end: delete.to.into_bytes(),
        });
    }
    state.apply(writes, &deletes);
    codec::committed(state.revision)
}

async fn watch(
    state: &SharedStore,
    prefix: &str,
    after: StoreRevision,
    wait: Duration,
) -> (StoreAnswer, StoreEra) {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let range = byte_range(&KeyRange::Prefix(prefix.into()));
    let (id, mut events) = {
        let mut state = lock(state);
        let is_known = after <= state.revision || state.era == 0;
        if after < state.compacted || !is_known {
            return (codec::compacted(), state.era);
        }
        state.open_watch(range, after + 1, sender)
    };
    let mut ended = false;
    if events.is_empty() {
        // If there is no change in time, the answer has no events.
        if let Ok(received) = timeout(wait, receiver.recv()).await {
            ended = received.is_none();
            events = received.unwrap_or_default();
        }
    }
    let mut state = lock(state);
    state.close_watch(id);
    if ended {
        return (codec::unavailable(), state.era);
    }
    let revision = match events.last() {
        Some(event) => event.revision,
        None => state.revision,
    };
    let events: Vec<WatchEvent> = events.iter().map(watch_event).collect();
    (codec::watch(&events, revision), state.era)
}

fn watch_event(event: &StoreEvent) -> WatchEvent {
    match &event.stored {
        Some(stored) => WatchEvent::Put(key_value(&event.key, stored)),
        None => WatchEvent::Delete {
            key: text(&event.key),
            revision: event.revision,
        },
    }
}

fn key_value(key: &[u8], stored: &StoredValue) -> KeyValue {
    KeyValue {
        key: text(key),
        value: stored.value.clone(),
        create_revision: stored.create_revision,
        mod_revision: stored.mod_revision,
    }
}

fn text(key: &[u8]) -> String {
    String::from_utf8_lossy(key).into_owned()
}

fn byte_range(range: &KeyRange) -> ByteRange {
    match range {
        KeyRange::Key(key) => ByteRange {
            start: key.clone().into_bytes(),
            end: Vec::new(),
        },
        KeyRange::Prefix(prefix) => {
            let mut end = prefix.clone().into_bytes();
            // The last byte of a prefix is never 255, since keys are text.
            if let Some(last) = end.last_mut() {
                *last += 1;
            }
            ByteRange {
                start: prefix.clone().into_bytes(),
                end,
            }
        }
    }
}
