//! Keyed requests that arrive at another agent than the one that issued their token.

use crate::support::{block_on, Answer, TestCaller, TestSite, LIFE};
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

/// Guards against an edit, a batch or a hold that happens once at each of two endpoints.
#[test]
fn key_runs_once_over_two_agents() {
    let (home, other) = two_sites();
    block_on(async {
        let (near, far) = (home.connect().await, other.connect().await);
        let token = token(&near).await;
        // The number in the answer tells a first run from a second one.
        for (number, callers) in [(1, [&near, &far]), (2, [&far, &near])] {
            let key = number.to_string();
            let first = post(callers[0], "/count", &key, &token, b"").await;
            let copy = post(callers[1], "/count", &key, &token, b"").await;
            assert_eq!(first.status.as_u16(), 200);
            assert_eq!(first.body, copy.body);
            assert_eq!(runs([&home, &other]), number);
        }
        let echo = post(&far, "/echo", "body", &token, b"some text").await;
        assert_eq!(echo.body, "some text");
        let copy = post(&near, "/echo", "body", &token, b"some text").await;
        assert_eq!(copy.body, "some text");
        assert_eq!(runs([&home, &other]), 3);
    });
}

/// Guards against a second run while the first copy runs at the home.
#[test]
fn copies_at_the_same_time_run_once() {
    let (home, other) = two_sites();
    block_on(async {
        let (near, far) = (home.connect().await, other.connect().await);
        let token = token(&near).await;
        let (first, copy) = tokio::join!(
            post(&near, "/slow", "a", &token, b""),
            post(&far, "/slow", "a", &token, b""),
        );
        let mut states = [first.status.as_u16(), copy.status.as_u16()];
        states.sort_unstable();
        assert!(states == [200, 200] || states == [200, 409], "{states:?}");
        assert_eq!(runs([&home, &other]), 1);
    });
}

/// Guards against losing the outcome when the caller that sent the first copy to another agent is gone.
#[test]
fn outcome_stays_at_the_home() {
    let (home, other) = two_sites();
    block_on(async {
        let (near, far) = (home.connect().await, other.connect().await);
        let token = token(&near).await;
        let sent = post(&far, "/slow", "a", &token, b"");
        let arrived = async {
            while runs([&home, &other]) == 0 {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
        };
        tokio::select! {
            _ = sent => unreachable!("the upstream needs longer"),
            () = arrived => {}
        }
        drop(far);
        let mut answer = post(&near, "/slow", "a", &token, b"").await;
        for _ in 0..100 {
            if answer.status.as_u16() != 409 {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            answer = post(&near, "/slow", "a", &token, b"").await;
        }
        assert_eq!(answer.body, "slow");
        assert_eq!(runs([&home, &other]), 1);
    });
}

/// Guards against a draining home whose outcomes the callers of other agents can't learn any more.
#[test]
fn draining_home_still_answers() {
    let (home, other) = two_sites();
    block_on(async {
        let (near, far) = (home.connect().await, other.connect().await);
        let token = token(&near).await;
        assert_eq!(post(&near, "/count", "a", &token, b"").await.body, "1");
        home.set_state(EndpointState::Draining);
        other.set_peers(&[home.record()]);
        assert_eq!(post(&far, "/count", "a", &token, b"").await.body, "1");
        assert_eq!(runs([&home, &other]), 1);
    });
}

/// Guards against running a request, or telling "not run", when its home is gone or has forgotten the key.
#[test]
fn lost_home_is_unknown() {
    let (home, other) = two_sites();
    block_on(async {
        let far = other.connect().await;
        let token = {
            let near = home.connect().await;
            token(&near).await
        };
        let home = home.restart(LIFE + 1);
        home.set_peers(&[other.record()]);
        assert_unknown(&post(&far, "/count", "a", &token, b"").await);
        other.set_peers(&[home.record()]);
        assert_unknown(&post(&far, "/count", "b", &token, b"").await);
        assert_eq!(runs([&home, &other]), 0);
        let record = home.record();
        home.traffic.stop();
        other.set_peers(&[record]);
        assert_unknown(&post(&far, "/count", "c", &token, b"").await);
        other.set_peers(&[]);
        assert_unknown(&post(&far, "/count", "d", &token, b"").await);
    });
    assert_eq!(other.log.requests.load(Ordering::SeqCst), 0);
}
