//! The era of the store in the header of its answers, as its client follows it.

use ntex::rt::{spawn, DefaultRuntime, System};
use ntex::time::{sleep, Millis};
use quetzalhill_platform::store::PlatformCodec;
use quetzalhill_store::api::{
    CallEnd, CatalogueStore, CatalogueWatch, KeyRange, StoreError, Transaction, WatchBatch,
};
use quetzalhill_store::budget::BudgetLimits;
use quetzalhill_store::codec::StoreCodec;
use quetzalhill_store::polled::{PolledSettings, PolledStore};
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use yare::parameterized;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A page without items.
const PAGE: &str = r#"{"items":[],"hasMore":false,"storeRevision":9}"#;

const FIRST_PAGE: &str =
    r#"{"items":[{"key":"p/1","value":"Z29vZA=="}],"hasMore":true,"storeRevision":9}"#;

const EVENTS: &str =
    r#"{"events":[{"key":"p/1","value":"Z29vZA==","revision":10}],"storeRevision":10}"#;

/// Status, value of the header if there is one, and body of an answer.
type ScriptedAnswer = (u16, Option<&'static str>, &'static str);

/// Reads a whole request: a server that closes with unread bytes resets the connection and may lose its answer.
fn read_request(stream: &mut TcpStream) {
    let mut request = String::new();
    let mut part = [0; 2_048];
    loop {
        let size = stream.read(&mut part).expect("a request");
        assert!(size > 0, "the client closed before its request ended");
        request.push_str(&String::from_utf8_lossy(&part[..size]));
        let Some((head, body)) = request.split_once("\r\n\r\n") else {
            continue;
        };
        let head = head.to_lowercase();
        let length = head.split_once("content-length: ");
        let length = length.and_then(|(_, rest)| rest.lines().next());
        if body.len() >= length.map_or(0, |length| length.parse().expect("a length")) {
            return;
        }
    }
}

/// Answers one request after the other; ends with the test process.
fn serve(answers: Vec<ScriptedAnswer>) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        panic!("not an IPv4 address");
    };
    thread::spawn(move || {
        for (status, era, body) in answers {
            let (mut stream, _) = listener.accept().expect("a connection");
            read_request(&mut stream);
            let era = era.map_or(String::new(), |era| format!("Store-Era: {era}\r\n"));
            let size = body.len();
            let head = format!(
                "HTTP/1.1 {status} X\r\nconnection: close\r\n{era}content-length: {size}\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).expect("a response head");
            stream.write_all(body.as_bytes()).expect("a response body");
        }
    });
    address
}

fn run<F: std::future::Future<Output = ()> + 'static>(
    answers: Vec<ScriptedAnswer>,
    test: impl FnOnce(PolledStore<PlatformCodec>) -> F + 'static,
) {
    let settings = PolledSettings {
        address: serve(answers),
        call_timeout: CALL_TIMEOUT,
        poll_timeout: CALL_TIMEOUT,
        long_poll_timeout: CALL_TIMEOUT,
        limits: BudgetLimits::default(),
    };
    System::new("era", DefaultRuntime).block_on(async move {
        let store = PolledStore::new(settings, PlatformCodec).await;
        test(store.expect("a client")).await;
    });
}

fn range() -> KeyRange {
    KeyRange::Prefix("p/".into())
}

/// Guards against a malformed header that is taken for an era.
#[parameterized(
    number = { "12", 12 },
    spaces = { " 12 ", 12 },
    largest = { "18446744073709551615", u64::MAX },
    too_large = { "18446744073709551616", 0 },
    empty = { "", 0 },
    signed = { "+12", 0 },
    negative = { "-1", 0 },
    fraction = { "1.5", 0 },
    word = { "twelve", 0 },
    two = { "12, 13", 0 },
)]
fn header_is_decoded(value: &str, era: u64) {
    assert_eq!(PlatformCodec.decode_era(value), era);
}

/// Guards against an answer without a usable header that changes the era, and against one whose body is not used for that.
#[test]
fn missing_or_malformed_era_changes_nothing() {
    let answers = vec![
        (200, None, PAGE),
        (200, Some("5"), PAGE),
        (200, None, PAGE),
        (200, Some("six"), PAGE),
    ];
    run(answers, |store| async move {
        let mut seen = Vec::new();
        for _ in 0..4 {
            let result = store.clone().range(&range()).await.expect("an answer");
            seen.push((result.era, store.era()));
        }
        assert_eq!(seen, [(0, 0), (5, 5), (0, 5), (0, 5)]);
    });
}

/// Guards against a late answer of before a restore that brings back what was lost, and against one of a clone that the
/// others do not hear of.
#[test]
fn answer_of_a_lower_era_is_an_error() {
    let answers = vec![
        (200, Some("5"), PAGE),
        (200, Some("9"), PAGE),
        (200, Some("5"), PAGE),
        (200, Some("8"), r#"{"revision":3}"#),
        (200, Some("9"), r#"{"lease":4,"ttlMs":6000}"#),
    ];
    run(answers, |store| async move {
        let clone = store.clone();
        store.range(&range()).await.expect("an answer");
        clone.range(&range()).await.expect("an answer");
        assert_eq!(store.era(), 9);
        let late = store.range(&range()).await.expect_err("a late answer");
        assert_eq!(late.end(), CallEnd::OlderEra);
        assert!(!late.may_have_applied());
        let late = store.commit(&Transaction::default()).await;
        let late = late.expect_err("a late answer");
        assert_eq!(late.end(), CallEnd::OlderEra);
        assert!(late.may_have_applied());
        assert_eq!(store.era(), 9);
        let grant = store.grant(Duration::from_secs(6)).await.expect("a lease");
        assert_eq!((grant.id, grant.era), (4, 9));
    });
}

/// Guards against a restore that only an answer with an error status shows and the client misses, and against one that an
/// unavailable store shows before it has its content.
#[test]
fn refusal_tells_the_era_and_unavailability_does_not() {
    let answers = vec![
        (200, Some("5"), PAGE),
        (503, Some("6"), "{}"),
        (404, Some("7"), "{}"),
    ];
    run(answers, |store| async move {
        store.range(&range()).await.expect("an answer");
        store.range(&range()).await.expect_err("unavailable");
        assert_eq!(store.era(), 5);
        let lost = store.keep_alive(3).await;
        assert_eq!(lost, Err(StoreError::LeaseNotFound { id: 3 }));
        assert_eq!(store.era(), 7);
    });
}

/// Guards against changes that are applied although the revision from which they were asked for is that of another change
/// since the restore, and against a watch that goes on from there.
#[parameterized(
    restored_during_the_poll = { Some("6"), None, WatchBatch::Compacted { revision: 9 } },
    late_answer = { Some("5"), Some("6"), WatchBatch::Compacted { revision: 9 } },
    missing_header = { None, Some("6"), WatchBatch::Compacted { revision: 9 } },
)]
fn poll_across_a_restore_counts_as_compacted(
    poll: Option<&'static str>,
    meanwhile: Option<&'static str>,
    expected: WatchBatch,
) {
    let mut answers = vec![(200, Some("5"), PAGE)];
    answers.extend(meanwhile.map(|era| (200, Some(era), PAGE)));
    answers.push((200, poll, EVENTS));
    run(answers, move |store| async move {
        let read = store.range(&range()).await.expect("an answer");
        let mut watch = store.watch(&range(), read.revision + 1).await;
        let watch = watch.as_mut().expect("a watch");
        if meanwhile.is_some() {
            // Another call of the process has shown the restore.
            store.range(&range()).await.expect("an answer");
        }
        assert_eq!(watch.next().await, Ok(expected.clone()));
        assert_eq!(watch.next().await, Ok(expected));
    });
}

/// Guards against a watch that ends because the era becomes known or one answer does not tell it.
#[test]
fn poll_without_a_restore_goes_on() {
    let answers = vec![
        (200, None, EVENTS),
        (200, Some("5"), EVENTS),
        (200, None, EVENTS),
        (200, Some("5"), EVENTS),
    ];
    run(answers, |store| async move {
        let mut watch = store.watch(&range(), 10).await.expect("a watch");
        for _ in 0..4 {
            let batch = watch.next().await;
            assert!(matches!(batch, Ok(WatchBatch::Events { .. })), "{batch:?}");
        }
    });
}

/// Guards against a list that consists of pages from before and after a restore.
#[test]
fn pages_of_two_eras_are_no_list() {
    let answers = vec![(200, Some("5"), FIRST_PAGE), (200, Some("6"), PAGE)];
    run(answers, |store| async move {
        let mixed = store.range(&range()).await.expect_err("two eras");
        assert_eq!(mixed.end(), CallEnd::OlderEra);
    });
}

/// Guards against a process that waits for the end of its polls although another call has shown a restore, and against one
/// that takes the first era for a restore.
#[test]
fn restore_wakes_those_who_wait() {
    let answers = vec![
        (200, Some("5"), PAGE),
        (200, Some("5"), PAGE),
        (200, Some("6"), PAGE),
    ];
    run(answers, |store| async move {
        let woken = Rc::new(Cell::new(0));
        for era in [0, 5] {
            let (store, woken) = (store.clone(), woken.clone());
            spawn(async move {
                store.wait_for_restore(era).await;
                woken.set(woken.get() + 1);
            })
            .detach();
        }
        for expected in [0, 0, 2] {
            store.range(&range()).await.expect("an answer");
            sleep(Millis(20)).await;
            assert_eq!(woken.get(), expected);
        }
    });
}
