//! Responses of the upstream to callers, and responses of the agent if the upstream sends none.

use crate::support::{block_on, free_port, TestSite, STEP};
use crate::upstream::UpstreamLog;
use quetzalhill_core::catalogue::LimitSet;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Guards against responses that are lost, changed or cut short.
#[test]
fn whole_answer_arrives() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        let answer = caller.get("/hello?x=1").await.unwrap();
        assert_eq!(
            (answer.status.as_u16(), answer.body.as_str()),
            (200, "hello")
        );
        let answer = caller.get("/large").await.unwrap();
        assert_eq!(answer.body.len(), 300_000);
        let answer = caller.send("POST", "/echo", &[], b"some text").await;
        assert_eq!(answer.unwrap().body, "some text");
        let length = [("content-length", "9")];
        let answer = caller.send("POST", "/echo", &length, b"some text").await;
        assert_eq!(answer.unwrap().body, "some text");
    });
}

/// Guards against a streamed response that loses a part.
#[test]
fn streamed_answer_arrives() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        assert_eq!(caller.get("/stream").await.unwrap().body, "one two three");
    });
}

/// Guards against an answer that is lost, so that its caller is told that the outcome is unknown, because the upstream
/// answers and closes the connection before the end of an empty body was sent (scenarios keyed-steady and
/// entries-replaced).
#[test]
fn answer_to_an_empty_body_that_ends_late_arrives() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        for _ in 0..20 {
            let request = http::Request::post("https://localhost/answer-head").body(());
            let mut requests = caller.requests.clone();
            let mut stream = requests.send_request(request.unwrap()).await.unwrap();
            tokio::time::sleep(Duration::from_millis(5)).await;
            stream.finish().await.unwrap();
            let answer = stream.recv_response().await.unwrap();
            assert_eq!(answer.status().as_u16(), 200);
        }
    });
}

/// Guards against a deadline that cuts a streamed response; it applies only until the head has arrived.
#[test]
fn deadline_ends_with_the_head() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        // The head arrives immediately; the stream ends 600 ms after the deadline.
        let timeout = [("quetzalhill-timeout-ms", "1500")];
        let answer = caller.send("GET", "/long-stream", &timeout, b"").await;
        assert_eq!(answer.unwrap().body, "one two three");
    });
}

/// Guards against an incomplete response that looks complete to the caller.
#[test]
fn early_end_resets_the_stream() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        assert!(caller.get("/early").await.is_err());
        // The connection stays usable after the failed request.
        assert_eq!(caller.get("/hello").await.unwrap().body, "hello");
    });
}

/// Guards against the outcome "not-run" for a request that may have run.
#[test]
fn lost_upstream_is_unknown() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        for method in ["GET", "POST"] {
            let answer = caller.send(method, "/die", &[], b"").await.unwrap();
            assert_eq!(answer.status.as_u16(), 502);
            assert_eq!(answer.header("quetzalhill-outcome"), "unknown");
        }
        assert_eq!(site.log.requests.load(Ordering::SeqCst), 2);
    });
}

/// Guards against a request that runs past its deadline and keeps its slot.
#[test]
fn deadline_is_unknown_and_closes_the_upstream_connection() {
    let site = TestSite::start(1, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        let timeout = [("quetzalhill-timeout-ms", "200")];
        let answer = caller.send("GET", "/hold", &timeout, b"").await.unwrap();
        assert_eq!(answer.status.as_u16(), 504);
        assert_eq!(answer.header("quetzalhill-outcome"), "unknown");
        wait_for_abort(&site.log).await;
        assert_eq!(caller.get("/hello").await.unwrap().body, "hello");
    });
}

/// Guards against a request to the upstream without the time that remains until the deadline.
#[test]
fn remaining_time_reaches_the_upstream() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        let timeout = [("quetzalhill-timeout-ms", "5000")];
        let answer = caller.send("GET", "/timeout", &timeout, b"").await.unwrap();
        let remaining: u64 = answer.body.parse().unwrap();
        assert!((1..=5_000).contains(&remaining), "{remaining}");
    });
}

/// Guards against the outcome "unknown" for a request that was never sent.
#[test]
fn refused_connection_is_not_run() {
    let log = Arc::new(UpstreamLog::default());
    let site = TestSite::with_upstream(4, LimitSet::default(), free_port(), log);
    block_on(async {
        let caller = site.connect().await;
        let answer = caller.send("POST", "/hello", &[], b"").await.unwrap();
        assert_eq!(answer.status.as_u16(), 503);
        assert_eq!(answer.header("quetzalhill-outcome"), "not-run");
        assert_eq!(answer.header("retry-after"), "1");
    });
}

/// Guards against running a request after the response that it was not run.
#[test]
fn full_queue_is_not_run() {
    let limits = LimitSet {
        queue: 1,
        ..LimitSet::default()
    };
    let site = TestSite::start(1, limits);
    block_on(async {
        let caller = site.connect().await;
        let (a, b, c) = tokio::join!(
            caller.get("/slow"),
            caller.get("/slow"),
            caller.get("/slow")
        );
        let answers = [a.unwrap(), b.unwrap(), c.unwrap()];
        let refused: Vec<_> = answers
            .iter()
            .filter(|answer| answer.status.as_u16() == 503)
            .collect();
        assert_eq!(refused.len(), 1);
        assert_eq!(refused[0].header("quetzalhill-outcome"), "not-run");
        assert_eq!(site.log.requests.load(Ordering::SeqCst), 2);
    });
}

/// Guards against requests that keep running, or are started, after the caller's connection was closed.
#[test]
fn lost_caller_ends_its_requests() {
    let site = TestSite::start(1, LimitSet::default());
    block_on(async {
        let leaving = site.connect().await;
        let both = async { tokio::join!(leaving.get("/hold"), leaving.get("/hold")) };
        tokio::select! {
            _ = both => unreachable!("the upstream answers neither"),
            () = wait_for(&site.log.requests) => {}
        }
        leaving.connection.close(0_u32.into(), b"");
        wait_for_abort(&site.log).await;
        let caller = site.connect().await;
        assert_eq!(caller.get("/hello").await.unwrap().body, "hello");
        assert_eq!(site.log.requests.load(Ordering::SeqCst), 2);
    });
}

/// Guards against a cancelled request that keeps its slot because its response has not begun.
#[test]
fn cancelled_request_closes_the_upstream_connection() {
    let site = TestSite::start(1, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        let request = http::Request::get("https://localhost/hold")
            .body(())
            .unwrap();
        let mut stream = caller.requests.clone().send_request(request).await.unwrap();
        stream.finish().await.unwrap();
        wait_for(&site.log.requests).await;
        stream.stop_sending(h3::error::Code::H3_REQUEST_CANCELLED);
        wait_for_abort(&site.log).await;
        assert_eq!(caller.get("/hello").await.unwrap().body, "hello");
    });
}

/// Guards against streams that occupy the few slots of an upstream for hours.
#[test]
fn open_streams_free_their_slot() {
    let site = TestSite::start(1, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        for path in ["/events", "/pausing"] {
            let uri = format!("https://localhost{path}");
            let request = http::Request::get(uri).body(()).unwrap();
            let mut stream = caller.requests.clone().send_request(request).await.unwrap();
            stream.finish().await.unwrap();
            stream.recv_response().await.unwrap();
            assert_eq!(caller.get("/hello").await.unwrap().body, "hello");
            stream.stop_sending(h3::error::Code::H3_REQUEST_CANCELLED);
        }
    });
}

async fn wait_for_abort(log: &UpstreamLog) {
    wait_for(&log.aborted).await;
}

async fn wait_for(counter: &AtomicU32) {
    let end = Instant::now() + STEP;
    while counter.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < end, "the counter stays at 0");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
