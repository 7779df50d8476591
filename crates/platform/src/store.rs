//! Codec for the requests to the platform's key-value store and their answers.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use quetzalhill_store::api::{
    CallEnd, Compare, KeyRange, KeyValue, LeaseGrant, LeaseId, StoreEra, StoreError, StoreRevision,
    Transaction, TransactionOutcome, WatchBatch, WatchEvent,
};
use quetzalhill_store::codec::{
    CallMethod, HttpAnswer, HttpCall, RangePage, ReadFreshness, StoreCodec,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::time::Duration;

pub(crate) const OK: u16 = 200;
pub(crate) const NOT_FOUND: u16 = 404;
pub(crate) const GONE: u16 = 410;
pub(crate) const CONFLICT: u16 = 412;
const TOO_MANY_REQUESTS: u16 = 429;
pub(crate) const UNAVAILABLE: u16 = 503;

pub(crate) const KEY_PATH: &str = "/-/kv-key";
pub(crate) const RANGE_PATH: &str = "/-/kv-range";
pub(crate) const WATCH_PATH: &str = "/-/kv-watch";
pub(crate) const TRANSACTION_PATH: &str = "/-/kv-txn";
pub(crate) const GRANT_PATH: &str = "/-/kv-lease";
pub(crate) const RENEW_PREFIX: &str = "/-/kv-keep/";
pub(crate) const REVOKE_PREFIX: &str = "/-/kv-lease-end/";

/// Header of every answer with the number that the store raises when it is restored from an older copy.
pub(crate) const ERA_HEADER: &str = "store-era";

/// Largest number of conditions, writes and removals that the store accepts in one transaction.
const ENTRIES_MAX: usize = 32;

/// Lease number that the store uses for a key without a lease.
pub(crate) const NO_LEASE: LeaseId = 0;

/// Paths and message formats of the platform's store.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformCodec;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ItemBody {
    key: String,
    /// Value in base64.
    #[serde(default)]
    value: String,
    /// Store revision of the key's last change.
    #[serde(default)]
    revision: StoreRevision,
    /// Store revision of the key's creation; not a time.
    #[serde(default)]
    created: StoreRevision,
    /// Whether the event is a removal of the key; only in answers to a watch.
    #[serde(default)]
    removed: bool,
    /// Store revision of the read; only in the answer to a read of one key.
    #[serde(default)]
    store_revision: StoreRevision,
}

/// The part of an item that names it, for an item whose other fields cannot be decoded.
#[derive(Debug, Default, Deserialize)]
struct ItemKeyBody {
    key: String,
}

/// A page of a read. Items are decoded one by one, because any writer may add an item that cannot be decoded.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RangeBody<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    has_more: bool,
    store_revision: StoreRevision,
}

/// The answer to a watch, with events that are decoded one by one like the items of a page.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WatchBody<'a> {
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
    store_revision: StoreRevision,
}

#[derive(Debug, Deserialize)]
struct CommitBody {
    revision: StoreRevision,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LeaseBody {
    /// Absent from the answer to a renewal.
    lease: Option<LeaseId>,
    ttl_ms: u64,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct CommitCall<'a> {
    /// Conditions of the transaction.
    expected_rev: Vec<ConditionCall<'a>>,
    puts: Vec<PutCall<'a>>,
    deletes: Vec<&'a str>,
}

#[derive(Debug, Serialize)]
struct ConditionCall<'a> {
    key: &'a str,
    /// Expected store revision of the key's last change; 0 requires that the key does not exist.
    revision: StoreRevision,
}

#[derive(Debug, Serialize)]
struct PutCall<'a> {
    key: &'a str,
    value: String,
    lease: LeaseId,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct GrantCall {
    ttl_ms: u64,
}

impl ItemBody {
    fn decode(self) -> Result<KeyValue, StoreError> {
        let value = STANDARD.decode(&self.value).map_err(unreadable)?;
        Ok(KeyValue {
            key: self.key,
            value,
            create_revision: self.created,
            mod_revision: self.revision,
        })
    }

    fn decode_event(self) -> Result<WatchEvent, StoreError> {
        if self.removed {
            return Ok(WatchEvent::Delete {
                key: self.key,
                revision: self.revision,
            });
        }
        self.decode().map(WatchEvent::Put)
    }
}

/// Decodes one item of a page. An item that cannot be decoded becomes an entry without a value, which names nothing
/// that any reader uses; so it neither hides the other items nor goes unnoticed.
fn decode_item(item: &RawValue) -> KeyValue {
    let decoded = serde_json::from_str::<ItemBody>(item.get());
    let entry = decoded.map_err(unreadable).and_then(ItemBody::decode);
    entry.unwrap_or_else(|_| valueless(item))
}

/// Decodes one event of a watch, with the same fallback as [`decode_item`].
fn decode_event(event: &RawValue) -> WatchEvent {
    let decoded = serde_json::from_str::<ItemBody>(event.get());
    let event_of = decoded.map_err(unreadable).and_then(ItemBody::decode_event);
    event_of.unwrap_or_else(|_| WatchEvent::Put(valueless(event)))
}

/// Returns an entry with the key of `item`, empty if there is none, and without a value.
fn valueless(item: &RawValue) -> KeyValue {
    let body: ItemKeyBody = serde_json::from_str(item.get()).unwrap_or_default();
    KeyValue {
        key: body.key,
        value: Vec::new(),
        create_revision: 0,
        mod_revision: 0,
    }
}

impl StoreCodec for PlatformCodec {
    fn era_header(&self) -> Option<&'static str> {
        Some(ERA_HEADER)
    }

    fn decode_era(&self, value: &str) -> StoreEra {
        let digits = value.trim();
        match digits.bytes().all(|byte| byte.is_ascii_digit()) {
            true => digits.parse().unwrap_or_default(),
            false => 0,
        }
    }

    fn encode_range(
        &self,
        range: &KeyRange,
        freshness: ReadFreshness,
        after: Option<&str>,
    ) -> HttpCall {
        let mut path = match range {
            KeyRange::Key(key) => format!("{KEY_PATH}?key={}", escape(key)),
            KeyRange::Prefix(prefix) => format!("{RANGE_PATH}?prefix={}", escape(prefix)),
        };
        if freshness == ReadFreshness::Stale {
            path.push_str("&allowStale=1");
        }
        if let Some(after) = after {
            path.push_str("&after=");
            path.push_str(&escape(after));
        }
        get(path)
    }

    fn decode_range(
        &self,
        range: &KeyRange,
        answer: HttpAnswer<'_>,
    ) -> Result<RangePage, StoreError> {
        if let KeyRange::Key(_) = range {
            return decode_key(answer);
        }
        let body: RangeBody<'_> = decode_ok(answer)?;
        Ok(RangePage {
            era: answer.era,
            revision: body.store_revision,
            entries: body.items.into_iter().map(decode_item).collect(),
            more: body.has_more,
        })
    }

    fn encode_watch(&self, range: &KeyRange, after: StoreRevision, wait: Duration) -> HttpCall {
        // The store watches only prefixes, so a key is watched as a prefix and `decode_watch` drops the other keys.
        let (KeyRange::Key(prefix) | KeyRange::Prefix(prefix)) = range;
        let wait_ms = wait.as_millis();
        let prefix = escape(prefix);
        get(format!(
            "{WATCH_PATH}?prefix={prefix}&after={after}&waitMs={wait_ms}"
        ))
    }

    fn decode_watch(
        &self,
        range: &KeyRange,
        after: StoreRevision,
        answer: HttpAnswer<'_>,
    ) -> Result<WatchBatch, StoreError> {
        if answer.status == GONE {
            return Ok(WatchBatch::Compacted { revision: after });
        }
        let body: WatchBody<'_> = decode_ok(answer)?;
        let mut events = Vec::with_capacity(body.events.len());
        for event in body.events {
            let event = decode_event(event);
            let wanted = match range {
                KeyRange::Key(key) => key_of(&event) == key,
                KeyRange::Prefix(_) => true,
            };
            if wanted {
                events.push(event);
            }
        }
        Ok(WatchBatch::Events {
            era: answer.era,
            revision: body.store_revision,
            events,
        })
    }

    fn encode_commit(&self, transaction: &Transaction) -> Result<HttpCall, StoreError> {
        let mut call = CommitCall {
            expected_rev: Vec::new(),
            puts: Vec::new(),
            deletes: Vec::new(),
        };
        for compare in &transaction.compares {
            let Compare::ModRevision { key, revision } = compare else {
                return Err(unsupported("a condition on the creation revision of a key"));
            };
            call.expected_rev.push(ConditionCall {
                key,
                revision: *revision,
            });
        }
        for put in &transaction.puts {
            call.puts.push(PutCall {
                key: &put.key,
                value: STANDARD.encode(&put.value),
                lease: put.lease.unwrap_or(NO_LEASE),
            });
        }
        for delete in &transaction.deletes {
            // The store removes only single keys; a range of one key ends at that key followed by a zero byte.
            if delete.to.strip_suffix('\0') != Some(delete.from.as_str()) {
                return Err(unsupported("the removal of a range of keys"));
            }
            call.deletes.push(&delete.from);
        }
        if call.expected_rev.len() + call.puts.len() + call.deletes.len() > ENTRIES_MAX {
            return Err(unsupported("a transaction of more than 32 entries"));
        }
        Ok(post(TRANSACTION_PATH.into(), encode(&call)))
    }

    fn decode_commit(&self, answer: HttpAnswer<'_>) -> Result<TransactionOutcome, StoreError> {
        if answer.status == CONFLICT {
            return Ok(TransactionOutcome::Conflict(0));
        }
        if answer.status == NOT_FOUND {
            return Err(StoreError::LeaseNotFound { id: NO_LEASE });
        }
        let body: CommitBody = decode_ok(answer)?;
        Ok(TransactionOutcome::Committed {
            era: answer.era,
            revision: body.revision,
        })
    }

    fn encode_grant(&self, ttl: Duration) -> HttpCall {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        post(GRANT_PATH.into(), encode(&GrantCall { ttl_ms }))
    }

    fn encode_renewal(&self, id: LeaseId) -> HttpCall {
        post(format!("{RENEW_PREFIX}{id}"), None)
    }

    fn decode_grant(
        &self,
        renewed: Option<LeaseId>,
        answer: HttpAnswer<'_>,
    ) -> Result<LeaseGrant, StoreError> {
        if let (NOT_FOUND, Some(id)) = (answer.status, renewed) {
            return Err(StoreError::LeaseNotFound { id });
        }
        let body: LeaseBody = decode_ok(answer)?;
        let id = renewed.or(body.lease);
        let id = id.ok_or_else(|| unreadable("the answer to a grant has no lease number"))?;
        Ok(LeaseGrant {
            id,
            era: answer.era,
            ttl: Duration::from_millis(body.ttl_ms),
        })
    }

    fn encode_revocation(&self, id: LeaseId) -> HttpCall {
        HttpCall {
            method: CallMethod::Delete,
            path: format!("{REVOKE_PREFIX}{id}"),
            body: None,
        }
    }
}

fn key_of(event: &WatchEvent) -> &str {
    match event {
        WatchEvent::Put(entry) => &entry.key,
        WatchEvent::Delete { key, .. } => key,
    }
}

fn decode_key(answer: HttpAnswer<'_>) -> Result<RangePage, StoreError> {
    if answer.status == NOT_FOUND {
        // The body may hold the store revision of the read.
        let body: Option<MissingKeyBody> = serde_json::from_slice(answer.body).ok();
        return Ok(RangePage {
            era: answer.era,
            revision: body.map_or(0, |body| body.store_revision),
            entries: Vec::new(),
            more: false,
        });
    }
    let body: ItemBody = decode_ok(answer)?;
    Ok(RangePage {
        era: answer.era,
        revision: body.store_revision,
        entries: vec![body.decode()?],
        more: false,
    })
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct MissingKeyBody {
    store_revision: StoreRevision,
}

fn decode_ok<'a, T: Deserialize<'a>>(answer: HttpAnswer<'a>) -> Result<T, StoreError> {
    match answer.status {
        OK => serde_json::from_slice(answer.body).map_err(unreadable),
        UNAVAILABLE => Err(StoreError::NotApplied {
            end: CallEnd::Unavailable,
            cause: "the store is unavailable".into(),
        }),
        TOO_MANY_REQUESTS => Err(StoreError::Refused {
            status: TOO_MANY_REQUESTS,
            message: "too many calls".into(),
        }),
        status if status < 500 => Err(StoreError::Refused {
            status,
            message: String::from_utf8_lossy(answer.body).into_owned(),
        }),
        status => Err(StoreError::Unknown {
            end: CallEnd::of_status(status),
            cause: format!("status {status}"),
        }),
    }
}

fn encode<T: Serialize>(call: &T) -> Option<Vec<u8>> {
    // The requests consist of strings and numbers, whose encoding cannot fail.
    serde_json::to_vec(call).ok()
}

pub(crate) fn get(path: String) -> HttpCall {
    HttpCall {
        method: CallMethod::Get,
        path,
        body: None,
    }
}

pub(crate) fn post(path: String, body: Option<Vec<u8>>) -> HttpCall {
    HttpCall {
        method: CallMethod::Post,
        path,
        body,
    }
}

/// Percent-encodes the bytes that are reserved in a query.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b'/' | b':' => {
                escaped.push(char::from(byte));
            }
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}

fn unsupported(what: &str) -> StoreError {
    StoreError::NotApplied {
        end: CallEnd::NotMade,
        cause: format!("the store's format cannot express {what}"),
    }
}

fn unreadable(cause: impl ToString) -> StoreError {
    StoreError::Unknown {
        end: CallEnd::Unreadable,
        cause: cause.to_string(),
    }
}
