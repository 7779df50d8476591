//! Keyed requests that arrive at another agent than the one that issued their session token.

use crate::support::{block_on, Answer, TestCaller, TestSite, INCARNATION};
use quetzalhill_core::catalogue::LimitSet;
use quetzalhill_core::member::EndpointState;
use std::sync::atomic::Ordering;

fn two_sites() -> (TestSite, TestSite) {
    let first = TestSite::start(4, LimitSet::default());
    let second = TestSite::start(4, LimitSet::default());
    first.set_peers(&[second.record()]);
    second.set_peers(&[first.record()]);
    (first, second)
}

async fn post(
    caller: &TestCaller,
    path: &str,
    key: &str,
    token: &str,
    body: &'static [u8],
) -> Answer {
    let headers = [("idempotency-key", key), ("quetzalhill-session", token)];
    caller.send("POST", path, &headers, body).await.unwrap()
}

async fn token(caller: &TestCaller) -> String {
    let key = [("idempotency-key", "first")];
    let answer = caller.send("POST", "/count", &key, b"").await.unwrap();
    answer.header("quetzalhill-session").into()
}

fn runs(sites: [&TestSite; 2]) -> u32 {
    let runs = |site: &TestSite| site.log.requests.load(Ordering::SeqCst);
    sites.into_iter().map(runs).sum()
}

fn assert_unknown(answer: &Answer) {
    assert_eq!(answer.status.as_u16(), 502);
    assert_eq!(answer.header("quetzalhill-outcome"), "unknown");
}

/// Guards against a keyed request that runs once at each of two endpoints.
#[test]
fn key_runs_once_over_two_agents() {
    let (issuer, other) = two_sites();
    block_on(async {
        let (issuer_caller, other_caller) = (issuer.connect().await, other.connect().await);
        let token = token(&issuer_caller).await;
        // The upstream responds with the count of its requests, so a second run would change the body.
        for (number, callers) in [
            (1, [&issuer_caller, &other_caller]),
            (2, [&other_caller, &issuer_caller]),
        ] {
            let key = number.to_string();
            let first = post(callers[0], "/count", &key, &token, b"").await;
            let copy = post(callers[1], "/count", &key, &token, b"").await;
            assert_eq!(first.status.as_u16(), 200);
            assert_eq!(first.body, copy.body);
            assert_eq!(runs([&issuer, &other]), number);
        }
        let echo = post(&other_caller, "/echo", "body", &token, b"some text").await;
        assert_eq!(echo.body, "some text");
        let copy = post(&issuer_caller, "/echo", "body", &token, b"some text").await;
        assert_eq!(copy.body, "some text");
        assert_eq!(runs([&issuer, &other]), 3);
    });
}

/// Callers that send keyed requests through the other agent at the same time, and the requests of each.
const CALLERS: u32 = 4;
const REQUESTS: u32 = 150;

/// Guards against "outcome unknown" for a keyed request whose connection to its home agent is used again at once.
#[test]
fn keyed_requests_that_follow_each_other_are_answered() {
    let (issuer, other) = two_sites();
    block_on(async {
        let issuer_caller = issuer.connect().await;
        let token = token(&issuer_caller).await;
        let other_caller = other.connect().await;
        let send = async |caller: u32| {
            for number in 0..REQUESTS {
                let key = format!("{caller}-{number}");
                let answer = post(&other_caller, "/echo", &key, &token, b"some text").await;
                assert_eq!(
                    answer.status.as_u16(),
                    200,
                    "request {key}: {}",
                    answer.body
                );
            }
        };
        tokio::join!(send(0), send(1), send(2), send(3));
    });
    assert_eq!(runs([&issuer, &other]), CALLERS * REQUESTS);
}

/// Guards against a second run of a keyed request while the first copy runs at the issuer of the token.
#[test]
fn copies_at_the_same_time_run_once() {
    let (issuer, other) = two_sites();
    block_on(async {
        let (issuer_caller, other_caller) = (issuer.connect().await, other.connect().await);
        let token = token(&issuer_caller).await;
        let (first, copy) = tokio::join!(
            post(&issuer_caller, "/slow", "a", &token, b""),
            post(&other_caller, "/slow", "a", &token, b""),
        );
        let mut states = [first.status.as_u16(), copy.status.as_u16()];
        states.sort_unstable();
        assert!(states == [200, 200] || states == [200, 409], "{states:?}");
        assert_eq!(runs([&issuer, &other]), 1);
    });
}

/// Guards against losing the outcome of a forwarded request when its caller disconnects.
#[test]
fn issuer_keeps_the_outcome() {
    let (issuer, other) = two_sites();
    block_on(async {
        let (issuer_caller, other_caller) = (issuer.connect().await, other.connect().await);
        let token = token(&issuer_caller).await;
        let sent = post(&other_caller, "/slow", "a", &token, b"");
        let arrived = async {
            while runs([&issuer, &other]) == 0 {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
        };
        tokio::select! {
            _ = sent => unreachable!("the upstream needs longer"),
            () = arrived => {}
        }
        drop(other_caller);
        let mut answer = post(&issuer_caller, "/slow", "a", &token, b"").await;
        for _ in 0..100 {
            if answer.status.as_u16() != 409 {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            answer = post(&issuer_caller, "/slow", "a", &token, b"").await;
        }
        assert_eq!(answer.body, "slow");
        assert_eq!(runs([&issuer, &other]), 1);
    });
}

/// Guards against a draining issuer that other agents can no longer query for its stored outcomes.
#[test]
fn draining_issuer_still_answers() {
    let (issuer, other) = two_sites();
    block_on(async {
        let (issuer_caller, other_caller) = (issuer.connect().await, other.connect().await);
        let token = token(&issuer_caller).await;
        assert_eq!(
            post(&issuer_caller, "/count", "a", &token, b"").await.body,
            "1"
        );
        issuer.set_state(EndpointState::Draining);
        other.set_peers(&[issuer.record()]);
        assert_eq!(
            post(&other_caller, "/count", "a", &token, b"").await.body,
            "1"
        );
        assert_eq!(runs([&issuer, &other]), 1);
    });
}

/// Guards against running a keyed request, or the outcome "not-run", if the issuer of its token is unreachable or was
/// restarted and has lost the key.
#[test]
fn lost_issuer_is_unknown() {
    let (issuer, other) = two_sites();
    block_on(async {
        let other_caller = other.connect().await;
        let token = {
            let issuer_caller = issuer.connect().await;
            token(&issuer_caller).await
        };
        let issuer = issuer.restart(INCARNATION + 1);
        issuer.set_peers(&[other.record()]);
        assert_unknown(&post(&other_caller, "/count", "a", &token, b"").await);
        other.set_peers(&[issuer.record()]);
        assert_unknown(&post(&other_caller, "/count", "b", &token, b"").await);
        assert_eq!(runs([&issuer, &other]), 0);
        let record = issuer.record();
        issuer.traffic.stop();
        other.set_peers(&[record]);
        assert_unknown(&post(&other_caller, "/count", "c", &token, b"").await);
        other.set_peers(&[]);
        assert_unknown(&post(&other_caller, "/count", "d", &token, b"").await);
    });
    assert_eq!(other.log.requests.load(Ordering::SeqCst), 0);
}
