//! Handover of requests between the agents of a service.

use crate::peer::{offer, FailingPeer, RawConnection};
use crate::support::{block_on, ring, wait_for, TestCaller, TestSite, STEP};
use bytes::Bytes;
use h3::client::RequestStream;
use quetzalhill_agent::traffic::counters::PeerCounters;
use quetzalhill_core::catalogue::LimitSet;
use quetzalhill_core::member::EndpointState;
use quetzalhill_wire::handover::HandoverReply;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

type HeldRequest = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// Starts two agents that are peers of each other; the first has one slot.
fn two_sites() -> (TestSite, TestSite) {
    let first = TestSite::start(1, LimitSet::default());
    let second = TestSite::start(4, LimitSet::default());
    first.set_peers(&[second.record()]);
    second.set_peers(&[first.record()]);
    (first, second)
}

/// Sends a request that occupies a slot until the returned stream is dropped or stopped.
async fn hold(site: &TestSite, caller: &TestCaller) -> HeldRequest {
    let request = http::Request::get("https://localhost/hold")
        .body(())
        .unwrap();
    let mut stream = caller.requests.clone().send_request(request).await.unwrap();
    stream.finish().await.unwrap();
    wait_for(&site.log.requests, 1).await;
    stream
}

fn counters(site: &TestSite) -> &PeerCounters {
    site.traffic.peer_counters()
}

/// Guards against requests that wait at a busy agent while a peer is idle, and against bodies that change in a
/// handover.
#[test]
fn busy_agent_hands_requests_over() {
    let (busy, idle) = two_sites();
    block_on(async {
        let caller = busy.connect().await;
        let held = hold(&busy, &caller).await;
        assert_eq!(caller.get("/hello").await.unwrap().body, "hello");
        assert_eq!(caller.get("/large").await.unwrap().body.len(), 300_000);
        let streamed = caller.get("/stream").await.unwrap();
        assert_eq!(streamed.body, "one two three");
        let length = [("content-length", "9")];
        for headers in [&length[..], &[]] {
            let answer = caller.send("POST", "/echo", headers, b"some text").await;
            assert_eq!(answer.unwrap().body, "some text");
        }
        let body: &'static [u8] = Box::leak(vec![b'b'; 200_000].into_boxed_slice());
        let length = [("content-length", "200000")];
        let answer = caller.send("POST", "/echo", &length, body).await.unwrap();
        assert_eq!(answer.body.as_bytes(), body);
        drop(held);
    });
    assert_eq!(busy.log.requests.load(Ordering::SeqCst), 1);
    assert_eq!(idle.log.requests.load(Ordering::SeqCst), 6);
    assert_eq!(counters(&busy).handed_over.load(Ordering::SeqCst), 6);
    assert_eq!(counters(&idle).taken.load(Ordering::SeqCst), 6);
}

/// Guards against the outcome "not-run" if the upstream of a peer fails while it runs a request, and against
/// incomplete responses of a peer that look complete.
#[test]
fn failures_at_the_peer_reach_the_caller() {
    let (busy, _idle) = two_sites();
    block_on(async {
        let caller = busy.connect().await;
        let held = hold(&busy, &caller).await;
        let answer = caller.send("POST", "/die", &[], b"").await.unwrap();
        assert_eq!(answer.status.as_u16(), 502);
        assert_eq!(answer.header("quetzalhill-outcome"), "unknown");
        assert!(caller.get("/early").await.is_err());
        drop(held);
    });
}

/// Guards against a request that keeps running at a peer after its caller has cancelled it.
#[test]
fn cancelled_request_ends_at_the_peer() {
    let (busy, idle) = two_sites();
    block_on(async {
        let caller = busy.connect().await;
        let held = hold(&busy, &caller).await;
        let mut second = hold(&idle, &caller).await;
        second.stop_sending(h3::error::Code::H3_REQUEST_CANCELLED);
        wait_for(&idle.log.aborted, 1).await;
        assert_eq!(busy.log.aborted.load(Ordering::SeqCst), 0);
        drop(held);
    });
}

/// Guards against repeating a keyed request that a lost peer may have run, or responding that it was not run, and
/// against not repeating a request that is safe to run again.
#[test]
fn lost_peer_is_unknown_unless_safe() {
    let site = TestSite::start(1, LimitSet::default());
    let peer = FailingPeer::start(site.settings.agent.peer);
    site.set_peers(std::slice::from_ref(&peer.record));
    block_on(async {
        let caller = site.connect().await;
        let first = caller.send("POST", "/hello", &[("idempotency-key", "a")], b"");
        let token = first.await.unwrap();
        let token = token.header("quetzalhill-session");
        let mut held = hold(&site, &caller).await;
        let keyed = [("idempotency-key", "a"), ("quetzalhill-session", token)];
        for number in [1, 1] {
            let answer = caller.send("POST", "/hello", &keyed, b"").await.unwrap();
            assert_eq!(answer.status.as_u16(), 502);
            assert_eq!(answer.header("quetzalhill-outcome"), "unknown");
            assert_eq!(peer.offers.load(Ordering::SeqCst), number);
        }
        assert_eq!(site.log.requests.load(Ordering::SeqCst), 1);
        let free = async {
            wait_for(&peer.offers, 2).await;
            held.stop_sending(h3::error::Code::H3_REQUEST_CANCELLED);
        };
        let (answer, ()) = tokio::join!(caller.get("/hello"), free);
        assert_eq!(answer.unwrap().body, "hello");
    });
    assert_eq!(site.log.requests.load(Ordering::SeqCst), 2);
}

/// Guards against a draining agent that still sends new requests to its upstream, or refuses them although a peer can
/// run them.
#[test]
fn draining_agent_hands_new_requests_over() {
    let (leaving, staying) = two_sites();
    block_on(async {
        let caller = leaving.connect().await;
        assert_eq!(caller.get("/hello").await.unwrap().body, "hello");
        // Simulates a request that crosses GOAWAY on the way: its head is completed only after the drain has started.
        let (mut send, mut receive) = caller.connection.open_bi().await.unwrap();
        let head = hello_head();
        send.write_all(&head[..1]).await.unwrap();
        wait_until(|| reports_exchanged(&leaving, &staying)).await;
        leaving.set_state(EndpointState::Draining);
        // The client refuses to send requests once it has received GOAWAY.
        let end = Instant::now() + STEP;
        while caller.get("/hello").await.is_ok() {
            assert!(Instant::now() < end, "no GOAWAY arrives");
        }
        let before = leaving.log.requests.load(Ordering::SeqCst);
        send.write_all(&head[1..]).await.unwrap();
        send.finish().unwrap();
        let answer = tokio::time::timeout(STEP, receive.read_to_end(1_000)).await;
        let answer = answer.unwrap().unwrap();
        assert!(answer.ends_with(b"hello"), "{answer:?}");
        assert_eq!(leaving.log.requests.load(Ordering::SeqCst), before);
    });
    assert!(staying.log.requests.load(Ordering::SeqCst) >= 1);
}

/// Returns whether the agents have exchanged load reports, which dispatch needs to find a peer with free slots.
fn reports_exchanged(leaving: &TestSite, staying: &TestSite) -> bool {
    let reported = |site: &TestSite| counters(site).reports.load(Ordering::SeqCst) > 0;
    reported(leaving) && reported(staying)
}

async fn wait_until(condition: impl Fn() -> bool) {
    let end = Instant::now() + STEP;
    while !condition() {
        assert!(Instant::now() < end, "not reached in time");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns a HEADERS frame for `GET https://localhost/hello`, encoded with the static table of QPACK only.
fn hello_head() -> Vec<u8> {
    let mut block = vec![0, 0, 0xd1, 0xd7, 0x50, 9];
    block.extend_from_slice(b"localhost");
    block.extend_from_slice(&[0x51, 6]);
    block.extend_from_slice(b"/hello");
    let mut frame = vec![1, u8::try_from(block.len()).unwrap()];
    frame.extend_from_slice(&block);
    frame
}

/// Requests that follow each other on one connection without a pause.
const FOLLOWING: u32 = 60;

/// Guards against a request that is lost because it arrives on a connection on which the previous request was answered a
/// moment ago.
#[test]
fn request_that_follows_an_answer_at_once_is_served() {
    let site = TestSite::start(4, LimitSet::default());
    let record = site.record();
    let mut connection = RawConnection::connect(site.settings.agent.peer, &ring(1)).unwrap();
    for _ in 0..FOLLOWING {
        connection.send(&offer(record.id + 1, &record, "/hello"));
        assert_eq!(connection.body(), b"hello");
    }
    assert_eq!(site.log.requests.load(Ordering::SeqCst), FOLLOWING);
}

/// Guards against running a request from a frame that fails authentication, is repeated, or is copied from another
/// connection.
#[test]
fn invalid_and_repeated_frames_run_nothing() {
    let site = TestSite::start(4, LimitSet::default());
    let address = site.settings.agent.peer;
    let record = site.record();
    let mut modified = RawConnection::connect(address, &ring(1)).unwrap();
    let mut frame = modified
        .encoder
        .encode(&offer(1, &record, "/hello"))
        .unwrap();
    let last = frame.len() - 1;
    frame[last] ^= 1;
    modified.stream.write_all(&frame).unwrap();
    modified.wait_closed();
    let mut valid = RawConnection::connect(address, &ring(1)).unwrap();
    let frame = valid.encoder.encode(&offer(1, &record, "/hello")).unwrap();
    valid.stream.write_all(&frame).unwrap();
    assert_eq!(valid.body(), b"hello");
    let mut other = RawConnection::connect(address, &ring(1)).unwrap();
    other.stream.write_all(&frame).unwrap();
    other.wait_closed();
    valid.stream.write_all(&frame).unwrap();
    valid.wait_closed();
    assert_eq!(site.log.requests.load(Ordering::SeqCst), 1);
    // The agent counts a frame after it has closed the connection.
    let end = Instant::now() + STEP;
    while counters(&site).bad_frames.load(Ordering::SeqCst) < 3 && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(counters(&site).bad_frames.load(Ordering::SeqCst), 3);
}

/// Guards against running a request that was offered to another agent or to an earlier incarnation.
#[test]
fn offer_for_another_endpoint_is_rejected() {
    let site = TestSite::start(4, LimitSet::default());
    let record = site.record();
    let mut other = record.clone();
    other.id += 1;
    let mut earlier = record.clone();
    earlier.incarnation -= 1;
    let mut connection = RawConnection::connect(record.peer, &ring(1)).unwrap();
    for target in [&other, &earlier] {
        connection.send(&offer(1, target, "/hello"));
        let reply: HandoverReply = connection.next().unwrap();
        assert_eq!(reply, HandoverReply::Reject);
    }
    connection.send(&offer(1, &record, "/hello"));
    assert_eq!(connection.body(), b"hello");
    assert_eq!(site.log.requests.load(Ordering::SeqCst), 1);
}

/// Guards against a request that keeps running at the upstream after the connection of the offering peer was lost.
#[test]
fn lost_peer_cancels_its_request() {
    let site = TestSite::start(4, LimitSet::default());
    let mut connection = RawConnection::connect(site.settings.agent.peer, &ring(1)).unwrap();
    connection.send(&offer(1, &site.record(), "/hold"));
    block_on(async {
        wait_for(&site.log.requests, 1).await;
        drop(connection);
        wait_for(&site.log.aborted, 1).await;
    });
}
