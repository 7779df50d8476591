//! Reads of several pages from a store that answers with odd items.

use ntex::rt::{DefaultRuntime, System};
use quetzalhill_platform::store::PlatformCodec;
use quetzalhill_store::api::{CatalogueStore, KeyRange, RangeResult, StoreError};
use quetzalhill_store::budget::BudgetLimits;
use quetzalhill_store::polled::{PolledSettings, PolledStore};
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::thread::spawn;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves `first` for a read from the start and `later` for every following page; ends with the test process.
fn serve_pages(first: &'static str, later: &'static str) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        panic!("not an IPv4 address");
    };
    spawn(move || {
        for stream in listener.incoming() {
            answer(stream.expect("a connection"), first, later);
        }
    });
    address
}

fn answer(mut stream: TcpStream, first: &str, later: &str) {
    let mut request = [0; 2_048];
    let length = stream.read(&mut request).expect("a request");
    let request = String::from_utf8_lossy(&request[..length]);
    let body = if request.contains("&after=p") {
        later
    } else {
        first
    };
    let size = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {size}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("a response head");
    stream.write_all(body.as_bytes()).expect("a response body");
}

fn read_all(address: SocketAddrV4) -> Result<RangeResult, StoreError> {
    let settings = PolledSettings {
        address,
        call_timeout: CALL_TIMEOUT,
        poll_timeout: CALL_TIMEOUT,
        long_poll_timeout: CALL_TIMEOUT,
        limits: BudgetLimits::default(),
    };
    let system = System::build().name("paging").build(DefaultRuntime);
    system.block_on(async move {
        let store = PolledStore::new(settings, PlatformCodec).await?;
        store.range(&KeyRange::Prefix("p/".into())).await
    })
}

/// Guards against a read that starts again from the first page, because the last item of a page has no key.
#[test]
fn next_page_begins_after_the_last_readable_key() {
    let first =
        r#"{"items":[{"key":"p/1","value":"Z29vZA=="},null],"hasMore":true,"storeRevision":9}"#;
    let later = r#"{"items":[{"key":"p/2","value":"Z29vZA=="}],"hasMore":false,"storeRevision":9}"#;
    let result = read_all(serve_pages(first, later)).expect("two pages");
    let keys: Vec<_> = result
        .entries
        .iter()
        .map(|entry| entry.key.as_str())
        .collect();
    assert_eq!(keys, ["p/1", "", "p/2"]);
}

/// Guards against an endless read of a store whose pages do not advance; it would use up the budget of calls and never
/// return.
#[test]
fn read_without_progress_fails_after_two_calls() {
    let page = r#"{"items":[{"key":"p/1","value":"Z29vZA=="}],"hasMore":true,"storeRevision":9}"#;
    let error = read_all(serve_pages(page, page)).expect_err("the pages never end");
    assert!(error.to_string().contains("does not advance"), "{error}");
    let empty = r#"{"items":[],"hasMore":true,"storeRevision":9}"#;
    let error = read_all(serve_pages(empty, empty)).expect_err("the pages never end");
    assert!(error.to_string().contains("does not advance"), "{error}");
}
