//! How a failed call to the store is named in logs and metrics.

use ntex::rt::{DefaultRuntime, System};
use quetzalhill_platform::store::PlatformCodec;
use quetzalhill_store::api::{
    CallEnd, CatalogueStore, CatalogueWatch, KeyRange, StoreError, Transaction,
};
use quetzalhill_store::budget::BudgetLimits;
use quetzalhill_store::polled::{PolledSettings, PolledStore};
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Longer than any call waits, so that the server neither answers nor closes while the client waits.
const SILENCE: Duration = Duration::from_secs(5);

/// What the server sends after it has read a request.
#[derive(Clone, Copy, Debug)]
enum ServerAnswer {
    /// These bytes, and then it closes the connection.
    Close(&'static str),
    /// These bytes, and then it keeps the connection open without a word.
    Silent(&'static str),
}

fn bind() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        panic!("not an IPv4 address");
    };
    (listener, address)
}

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
        let length = length.map_or(0, |length| length.parse().expect("a length"));
        if body.len() >= length {
            return;
        }
    }
}

/// Serves `answer` to every request; ends with the test process.
fn serve(answer: ServerAnswer) -> SocketAddrV4 {
    let (listener, address) = bind();
    spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            spawn(move || {
                read_request(&mut stream);
                match answer {
                    ServerAnswer::Close(text) => stream.write_all(text.as_bytes()).expect("sent"),
                    ServerAnswer::Silent(text) => {
                        stream.write_all(text.as_bytes()).expect("sent");
                        sleep(SILENCE);
                    }
                }
            });
        }
    });
    address
}

/// Errors of a read, a poll and a write at `address`.
fn errors_at(address: SocketAddrV4) -> [StoreError; 3] {
    let settings = PolledSettings {
        address,
        call_timeout: CALL_TIMEOUT,
        poll_timeout: CALL_TIMEOUT,
        long_poll_timeout: CALL_TIMEOUT,
        limits: BudgetLimits::default(),
    };
    let system = System::build().name("ends").build(DefaultRuntime);
    system.block_on(async move {
        let store = PolledStore::new(settings, PlatformCodec).await;
        let store = store.expect("a client");
        let range = KeyRange::Prefix("p/".into());
        let read = store.range(&range).await.expect_err("a failed read");
        let mut watch = store.watch(&range, 1).await.expect("a watch");
        let poll = watch.next().await.expect_err("a failed poll");
        let write = store.commit(&Transaction::default()).await;
        [read, poll, write.expect_err("a failed write")]
    })
}

/// Checks how a read, a poll and a write end at `address`, and that only the write may have been applied, if at all.
fn assert_end(address: SocketAddrV4, end: CallEnd, write_may_have_applied: bool) {
    let errors = errors_at(address);
    assert_eq!(
        errors.each_ref().map(StoreError::end),
        [end; 3],
        "{errors:?}"
    );
    let applied = errors.each_ref().map(StoreError::may_have_applied);
    assert_eq!(
        applied,
        [false, false, write_may_have_applied],
        "{errors:?}"
    );
}

/// Guards against a refused connection that looks like a cut one.
#[test]
fn refused_connection_has_its_own_end() {
    let (listener, address) = bind();
    drop(listener);
    assert_end(address, CallEnd::Refused, false);
}

/// Guards against a poll that was cut before its answer and looks like a refused connection.
#[test]
fn connection_closed_before_the_answer_is_cut() {
    let address = serve(ServerAnswer::Close(""));
    assert_end(address, CallEnd::Cut, true);
}

/// Guards against an answer that was cut in its body and looks unreadable.
#[test]
fn connection_closed_in_the_body_is_cut() {
    let part = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"items\":[";
    let address = serve(ServerAnswer::Close(part));
    assert_end(address, CallEnd::Cut, true);
}

/// Guards against a silent store that looks like a broken connection.
#[test]
fn silent_store_leaves_calls_unanswered() {
    let address = serve(ServerAnswer::Silent(""));
    assert_end(address, CallEnd::Unanswered, true);
}

/// Guards against an answer that stops in its body, on a connection that lives, and looks like a dead peer.
#[test]
fn store_silent_in_the_body_leaves_calls_unanswered() {
    let part = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"items\":[";
    let address = serve(ServerAnswer::Silent(part));
    assert_end(address, CallEnd::Unanswered, true);
}

/// Guards against a store that turns calls away with 503 and looks unreachable.
#[test]
fn status_503_has_its_own_end() {
    let text = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    let address = serve(ServerAnswer::Close(text));
    assert_end(address, CallEnd::Unavailable, false);
}

/// Guards against a store that limits calls with 429 and looks unreachable.
#[test]
fn status_429_has_its_own_end() {
    let text = "HTTP/1.1 429 Too Many Requests\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    let address = serve(ServerAnswer::Close(text));
    assert_end(address, CallEnd::TooMany, false);
}

/// Guards against a server error that looks like a broken connection.
#[test]
fn other_status_has_its_own_end() {
    let text =
        "HTTP/1.1 500 Internal Server Error\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    let address = serve(ServerAnswer::Close(text));
    assert_end(address, CallEnd::OtherStatus, true);
}

/// Guards against an answer that cannot be decoded and looks like an outage.
#[test]
fn answer_without_json_is_unreadable() {
    let text = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 3\r\n\r\n[1,";
    let address = serve(ServerAnswer::Close(text));
    assert_end(address, CallEnd::Unreadable, true);
}
