//! Decoding of announcements, manifests and request paths, and the codec of the store.

use proptest::prelude::*;
use quetzalhill_core::relay::terms::FlowTerms;
use quetzalhill_platform::server::{decode as decode_call, ServerCall};
use quetzalhill_platform::store::PlatformCodec;
use quetzalhill_platform::{announcement, manifest};
use quetzalhill_store::api::{
    Compare, DeleteOp, KeyRange, PutOp, StoreError, Transaction, TransactionOutcome, WatchBatch,
    WatchEvent,
};
use quetzalhill_store::codec::{HttpAnswer, ReadFreshness, StoreCodec};
use std::time::{Duration, Instant};
use yare::parameterized;

const ANNOUNCEMENT: &str = r#"{"service":"huvo11a","address":"10.128.0.9:8080","zone":"aarhus",
    "version":"v1","maxConcurrency":3,"state":"draining","coldLeftMs":1500,"sequence":4,
    "born":1783371811029}"#;

const MANIFEST: &str = r#"{"version":7,"routes":[
    {"name":"one","host":"198.18.0.1","prefix":"/8080/","service":"huvo11a","priority":1},
    {"name":"two","host":"198.18.0.1","prefix":"/8443/","weightedServices":[
        {"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}]}],
    "services":[],"limits":{"idleTimeoutMs":15000,"maxHeaderBytes":16384}}"#;

/// Guards against decoding a field of an announcement into the wrong one.
#[test]
fn announcement_is_decoded() {
    let now = Instant::now();
    let decoded = announcement::decode("i-1".into(), ANNOUNCEMENT.as_bytes(), now).expect("valid");
    assert_eq!(decoded.service, "huvo11a");
    assert_eq!(decoded.zone, "aarhus");
    assert_eq!((decoded.slots, decoded.sequence), (3, 4));
    assert_eq!(decoded.incarnation, 1_783_371_811_029);
    assert!(decoded.draining);
    assert_eq!(decoded.cold_until, Some(now + Duration::from_millis(1_500)));
}

/// Guards against registering an endpoint from an announcement with a missing field or a field of the wrong type.
#[parameterized(
    unknown_state = { r#""draining""#, r#""leaving""# },
    number_as_text = { r#""sequence":4"#, r#""sequence":"4""# },
    born_as_text = { "1783371811029", r#""yesterday""# },
    born_as_fraction = { "1783371811029", "17.5" },
    service_missing = { r#""service":"huvo11a","#, "" },
    slots_negative = { r#""maxConcurrency":3"#, r#""maxConcurrency":-3"# },
    cold_too_long = { r#""coldLeftMs":1500"#, r#""coldLeftMs":1e99"# },
)]
fn invalid_announcement_is_refused(from: &str, to: &str) {
    let body = ANNOUNCEMENT.replace(from, to);
    assert_ne!(body, ANNOUNCEMENT);
    announcement::decode("i-1".into(), body.as_bytes(), Instant::now()).expect_err("wrong");
}

/// Guards against routes with wrong addresses, services or weights.
#[test]
fn manifest_is_decoded() {
    let routes = manifest::decode(MANIFEST.as_bytes()).expect("valid");
    assert_eq!(routes.revision, 7);
    assert_eq!(routes.idle_timeout, Duration::from_secs(15));
    let whole = &routes.by_address[&"198.18.0.1:8080".parse().expect("address")];
    assert_eq!(whole.len(), 1);
    let split = &routes.by_address[&"198.18.0.1:8443".parse().expect("address")];
    let shares: Vec<_> = split
        .iter()
        .map(|target| (target.service.as_str(), target.weight))
        .collect();
    assert_eq!(shares, [("huvo11a", 90), ("wuno96b", 10)]);
}

/// Guards against accepting the valid part of an invalid manifest, so that a route or a limit is missing.
#[parameterized(
    service_missing = { r#""service":"huvo11a","priority":1"#, r#""priority":1"# },
    host_not_an_address = { "198.18.0.1", "feed.example" },
    port = { "/8443/", "/http/" },
    limits_missing = { r#","limits":{"idleTimeoutMs":15000,"maxHeaderBytes":16384}"#, "" },
    version_as_text = { r#""version":7"#, r#""version":"7""# },
)]
fn invalid_manifest_is_refused(from: &str, to: &str) {
    let body = MANIFEST.replace(from, to);
    assert_ne!(body, MANIFEST);
    manifest::decode(body.as_bytes()).expect_err("wrong");
}

/// Guards against a deregistration that is refused or taken for one of another incarnation.
#[parameterized(
    named = { r#"{"born":1783371811029}"#, 1_783_371_811_029 },
    more_fields = { r#"{"id":"i-7","born":5}"#, 5 },
    empty = { "", 0 },
    no_field = { "{}", 0 },
    wrong_type = { r#"{"born":"5"}"#, 0 },
    negative = { r#"{"born":-5}"#, 0 },
)]
fn deregistration_names_an_incarnation_or_none(body: &str, expected: u64) {
    let decoded = announcement::decode_deregistration(body.as_bytes());
    assert_eq!(decoded, expected);
}

/// Guards against decoding a request as one of another kind.
#[parameterized(
    ready = { "GET", "/-/ready", ServerCall::Ready },
    announce = { "POST", "/-/Instances.Heartbeat/i-7", ServerCall::Announce("i-7".into()) },
    deregister = { "POST", "/-/Instances.Deregister/i-7", ServerCall::Deregister("i-7".into()) },
    wrong_method = { "GET", "/-/Instances.Deregister/i-7", ServerCall::Other },
    other = { "GET", "/", ServerCall::Other },
)]
fn calls_are_decoded(method: &str, path: &str, expected: ServerCall) {
    assert_eq!(decode_call(method, path), expected);
}

fn answer(status: u16, body: &str) -> HttpAnswer<'_> {
    HttpAnswer {
        era: 0,
        status,
        body: body.as_bytes(),
    }
}

fn prefix() -> KeyRange {
    KeyRange::Prefix("my/".into())
}

/// Guards against lost events, against reading a removal as a write, and against missing a compaction.
#[test]
fn watch_answer_is_decoded() {
    let body = r#"{"events":[
        {"key":"my/a","value":"bm9kZS0x","revision":412,"created":412,"lease":77120},
        {"key":"my/b","revision":413,"removed":true}],"storeRevision":413}"#;
    let batch = PlatformCodec
        .decode_watch(&prefix(), 411, answer(200, body))
        .expect("valid");
    let WatchBatch::Events {
        revision, events, ..
    } = batch
    else {
        panic!("{batch:?}");
    };
    assert_eq!(revision, 413);
    assert!(matches!(&events[0], WatchEvent::Put(entry) if entry.value == b"node-1"));
    assert!(matches!(&events[1], WatchEvent::Delete { key, .. } if key == "my/b"));
    let compacted = PlatformCodec
        .decode_watch(&prefix(), 411, answer(410, ""))
        .expect("valid");
    assert_eq!(compacted, WatchBatch::Compacted { revision: 411 });
}

/// Guards against reporting that a failed call had no effect when it may have taken effect, and the reverse.
#[parameterized(
    unavailable = { 503, false },
    too_many_requests = { 429, false },
    refused = { 403, false },
    broken = { 500, true },
    invalid_body = { 200, true },
)]
fn failed_call_reports_whether_it_may_have_applied(status: u16, may_have_applied: bool) {
    let error = PlatformCodec
        .decode_commit(answer(status, "{"))
        .expect_err("failed");
    assert_eq!(error.may_have_applied(), may_have_applied);
}

/// Guards against missing the end of a lease, and against reporting a conflict as an error.
#[test]
fn lease_end_and_conflict_are_decoded() {
    let ended = PlatformCodec.decode_grant(Some(9), answer(404, "{}"));
    assert_eq!(ended, Err(StoreError::LeaseNotFound { id: 9 }));
    let lost = PlatformCodec.decode_commit(answer(404, "{}"));
    assert!(matches!(lost, Err(StoreError::LeaseNotFound { .. })));
    let conflict = PlatformCodec.decode_commit(answer(412, r#"{"items":[]}"#));
    assert!(matches!(conflict, Ok(TransactionOutcome::Conflict(_))));
    let renewed = PlatformCodec.decode_grant(Some(9), answer(200, r#"{"ttlMs":3000}"#));
    assert_eq!(renewed.expect("valid").ttl, Duration::from_secs(3));
}

/// Guards against sending only the part of a transaction that the store's format can express.
#[test]
fn transaction_is_encoded_whole_or_not_at_all() {
    let mut transaction = Transaction {
        compares: vec![Compare::ModRevision {
            key: "my/a".into(),
            revision: 0,
        }],
        puts: vec![PutOp {
            key: "my/a".into(),
            value: b"node-1".into(),
            lease: Some(77_120),
        }],
        deletes: vec![DeleteOp {
            from: "my/b".into(),
            to: "my/b\0".into(),
        }],
    };
    let call = PlatformCodec
        .encode_commit(&transaction)
        .expect("expressible");
    let body: serde_json::Value = serde_json::from_slice(&call.body.expect("body")).expect("JSON");
    let expected = serde_json::json!({
        "expectedRev": [{"key": "my/a", "revision": 0}],
        "puts": [{"key": "my/a", "value": "bm9kZS0x", "lease": 77_120}],
        "deletes": ["my/b"],
    });
    assert_eq!(body, expected);
    transaction.deletes[0].to = "my/z".into();
    let refused = PlatformCodec
        .encode_commit(&transaction)
        .expect_err("a range");
    assert!(!refused.may_have_applied());
}

/// Guards against keys with reserved characters that add parameters to the query.
#[test]
fn keys_are_escaped() {
    let key = KeyRange::Key("a b&c=d".into());
    let call = PlatformCodec.encode_range(&key, ReadFreshness::Current, None);
    assert_eq!(call.path, "/-/kv-key?key=a%20b%26c%3Dd");
}

/// Guards against a read that may be stale although current state is needed, or that is paid in full although it may be
/// stale.
#[test]
fn only_stale_reads_allow_stale_answers() {
    let range = KeyRange::Prefix("a/".into());
    let current = PlatformCodec.encode_range(&range, ReadFreshness::Current, Some("a/1"));
    assert_eq!(current.path, "/-/kv-range?prefix=a/&after=a/1");
    let stale = PlatformCodec.encode_range(&range, ReadFreshness::Stale, Some("a/1"));
    assert_eq!(stale.path, "/-/kv-range?prefix=a/&allowStale=1&after=a/1");
}

proptest! {
    /// Guards against a panic on an arbitrary body.
    #[test]
    fn any_body_is_decoded_or_refused(status in 100_u16..600, body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let answer = HttpAnswer { status, era: 0, body: &body };
        let _ = PlatformCodec.decode_range(&prefix(), answer);
        let _ = PlatformCodec.decode_watch(&prefix(), 1, answer);
        let _ = PlatformCodec.decode_commit(answer);
        let _ = PlatformCodec.decode_grant(None, answer);
        let _ = manifest::decode(&body);
        let _ = announcement::decode("i".into(), &body, Instant::now());
    }
}

/// Returns the items of a page or watch: `odd` between two good ones.
fn items_around(odd: &str) -> String {
    let good = |key: &str| {
        format!(r#"{{"key":"{key}","value":"Z29vZA==","revision":3,"created":3,"lease":7}}"#)
    };
    format!("[{},{odd},{}]", good("p/1"), good("p/3"))
}

/// Nesting depth beyond the recursion limit of any JSON decoder.
const DEEP: usize = 10_000;

fn deep_item() -> String {
    let (open, close) = ("[".repeat(DEEP), "]".repeat(DEEP));
    format!(r#"{{"key":"p/2","value":{open}{close},"revision":4}}"#)
}

/// Guards against one odd item of another writer that makes a page or a watch unreadable, so that the entry stops
/// following the range: only the value of that item may be lost.
#[parameterized(
    value_not_base64 = { r#"{"key":"p/2","value":"%%","revision":4}"#.into(), "p/2" },
    value_number = { r#"{"key":"p/2","value":1e999,"revision":4}"#.into(), "p/2" },
    value_missing_type = { r#"{"key":"p/2","value":null,"revision":4}"#.into(), "p/2" },
    value_deep = { deep_item(), "p/2" },
    unknown_field_deep = { format!(r#"{{"key":"p/2","x":{}{},"value":"%"}}"#, "[".repeat(DEEP), "]".repeat(DEEP)), "p/2" },
    revision_too_large = { r#"{"key":"p/2","value":"Z29vZA==","revision":18446744073709551616}"#.into(), "p/2" },
    revision_infinite = { r#"{"key":"p/2","value":"Z29vZA==","revision":1e400}"#.into(), "p/2" },
    revision_text = { r#"{"key":"p/2","value":"Z29vZA==","revision":"4"}"#.into(), "p/2" },
    value_twice = { r#"{"key":"p/2","value":"Z29vZA==","value":"Z29vZA==","revision":4}"#.into(), "p/2" },
    key_missing = { r#"{"value":"Z29vZA==","revision":4}"#.into(), "" },
    key_number = { r#"{"key":4,"value":"Z29vZA==","revision":4}"#.into(), "" },
    null = { "null".into(), "" },
    number = { "1e999".into(), "" },
)]
fn odd_item_costs_only_its_own_value(odd: String, key: &str) {
    let items = items_around(&odd);
    let prefix = KeyRange::Prefix("p/".into());
    let body = format!(r#"{{"items":{items},"hasMore":true,"storeRevision":9}}"#);
    let answer = HttpAnswer {
        era: 0,
        status: 200,
        body: body.as_bytes(),
    };
    let page = PlatformCodec
        .decode_range(&prefix, answer)
        .expect("the page holds two good items");
    assert_eq!((page.revision, page.more), (9, true));
    let found: Vec<_> = page
        .entries
        .iter()
        .map(|entry| (entry.key.as_str(), entry.value.as_slice()))
        .collect();
    let expected: [(&str, &[u8]); 3] = [("p/1", b"good"), (key, b""), ("p/3", b"good")];
    assert_eq!(found, expected);
    let body = format!(r#"{{"events":{items},"storeRevision":9}}"#);
    let answer = HttpAnswer {
        era: 0,
        status: 200,
        body: body.as_bytes(),
    };
    let batch = PlatformCodec
        .decode_watch(&prefix, 2, answer)
        .expect("the watch holds two good events");
    let WatchBatch::Events {
        revision, events, ..
    } = batch
    else {
        panic!("no events: {batch:?}");
    };
    assert_eq!((revision, events.len()), (9, 3));
}

/// Guards against terms that are lost or belong to another route of the address: agents would order requests by them, and
/// entries would reset flows of requests that may be repeated.
#[test]
fn last_route_of_an_address_states_its_terms() {
    let route = |name: &str, port: u16, kind: &str, priority: u64| {
        format!(
            r#"{{"name":"{name}","host":"198.18.0.1","prefix":"/{port}/","routeType":"{kind}","timeoutMs":1500,
            "targetLatencyMs":300,"priority":{priority},"service":"feed"}}"#
        )
    };
    let routes = [
        route("hidden", 8080, "non_idempotent", 1),
        route("counts", 8080, "idempotent", 2),
        route("edits", 8443, "non_idempotent", 900),
    ];
    let text = format!(
        r#"{{"version":3,"routes":[{}],"services":[{{"name":"feed","coldPerS":0.0}},{{"name":"batch","coldPerS":8}}],
        "limits":{{"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    );
    let decoded = manifest::decode(text.as_bytes()).expect("a manifest");
    let feed = "198.18.0.1:8080".parse().expect("address");
    let edits = "198.18.0.1:8443".parse().expect("address");
    assert_eq!(decoded.terms(feed).priority, 2);
    assert_eq!(decoded.terms(feed).target, Duration::from_millis(300));
    assert_eq!(decoded.terms(edits).priority, FlowTerms::LOWEST_PRIORITY);
    assert_eq!(decoded.terms(edits).timeout, Duration::from_millis(1_500));
    assert_eq!(decoded.unrepeatable, [edits].into());
    assert_eq!(decoded.cold_rates, [("batch".to_string(), 8.0)].into());
}
