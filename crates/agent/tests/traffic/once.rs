//! Keyed requests at the agent that issued their session token.

use crate::support::{block_on, ring, Answer, TestCaller, TestSite, INCARNATION};
use quetzalhill_core::catalogue::LimitSet;
use quetzalhill_core::ids::id_of;
use quetzalhill_core::once::SessionToken;
use quetzalhill_wire::session;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

async fn post(caller: &TestCaller, path: &str, key: &str, token: Option<&str>) -> Answer {
    let mut headers = vec![("idempotency-key", key)];
    headers.extend(token.map(|token| ("quetzalhill-session", token)));
    caller.send("POST", path, &headers, b"").await.unwrap()
}

async fn token(caller: &TestCaller) -> String {
    let answer = post(caller, "/count", "first", None).await;
    assert_eq!(answer.status.as_u16(), 428);
    assert_eq!(answer.header("quetzalhill-outcome"), "not-run");
    answer.header("quetzalhill-session").into()
}

/// Guards against a second run of a keyed request that the caller repeats, also over another connection.
#[test]
fn copy_gets_the_stored_answer() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        let token = token(&caller).await;
        assert_eq!(site.log.requests.load(Ordering::SeqCst), 0);
        let first = post(&caller, "/count", "a", Some(&token)).await;
        assert_eq!((first.status.as_u16(), first.body.as_str()), (200, "1"));
        let other = site.connect().await;
        let copy = post(&other, "/count", "a", Some(&token)).await;
        assert_eq!((copy.status.as_u16(), copy.body.as_str()), (200, "1"));
        let next = post(&caller, "/count", "b", Some(&token)).await;
        assert_eq!(next.body, "2");
    });
}

/// Guards against a second run of a keyed request while the first one is in progress.
#[test]
fn copy_of_a_running_request_is_a_conflict() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        let token = token(&caller).await;
        let (first, copy) = tokio::join!(
            post(&caller, "/slow", "a", Some(&token)),
            post(&caller, "/slow", "a", Some(&token)),
        );
        let mut states = [first.status.as_u16(), copy.status.as_u16()];
        states.sort_unstable();
        assert_eq!(states, [200, 409]);
        assert_eq!(site.log.requests.load(Ordering::SeqCst), 1);
    });
}

/// Guards against losing the outcome of a keyed request when the caller's connection is lost.
#[test]
fn outcome_outlives_the_connection() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let lost = site.connect().await;
        let token = token(&lost).await;
        let sent = post(&lost, "/slow", "a", Some(&token));
        let arrived = async {
            while site.log.requests.load(Ordering::SeqCst) == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::select! {
            _ = sent => unreachable!("the upstream needs longer"),
            () = arrived => {}
        }
        drop(lost);
        let caller = site.connect().await;
        let mut answer = post(&caller, "/slow", "a", Some(&token)).await;
        for _ in 0..50 {
            if answer.status.as_u16() != 409 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
            answer = post(&caller, "/slow", "a", Some(&token)).await;
        }
        assert_eq!(answer.body, "slow");
        assert_eq!(site.log.requests.load(Ordering::SeqCst), 1);
    });
}

/// Guards against a second run of a keyed request whose first response was lost or too large to store.
#[test]
fn lost_outcome_stays_unknown() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        let token = token(&caller).await;
        for path in ["/die", "/large"] {
            let _ = post(&caller, path, path, Some(&token)).await;
            let copy = post(&caller, path, path, Some(&token)).await;
            assert_eq!(copy.status.as_u16(), 502);
            assert_eq!(copy.header("quetzalhill-outcome"), "unknown");
        }
        assert_eq!(site.log.requests.load(Ordering::SeqCst), 2);
    });
}

/// Guards against running a keyed request that another endpoint or an earlier incarnation may have run already.
#[test]
fn expired_or_foreign_token_is_unknown() {
    let site = TestSite::start(4, LimitSet::default());
    let endpoint = id_of(site.settings.agent.packets);
    let later = SystemTime::now() + Duration::from_secs(600);
    let valid = SessionToken {
        issuer: endpoint,
        incarnation: INCARNATION,
        expires: later,
    };
    let expired = SessionToken {
        expires: SystemTime::now() - Duration::from_secs(1),
        ..valid
    };
    let foreign = SessionToken {
        issuer: endpoint + 1,
        ..valid
    };
    let old = SessionToken {
        incarnation: INCARNATION - 1,
        ..valid
    };
    let mut tokens: Vec<String> = [expired, foreign, old]
        .iter()
        .map(|token| session::seal(token, &ring(1)))
        .collect();
    tokens.push(session::seal(&valid, &ring(2)));
    block_on(async {
        let caller = site.connect().await;
        for token in &tokens {
            let answer = post(&caller, "/count", "a", Some(token)).await;
            assert_eq!(answer.status.as_u16(), 502);
            assert_eq!(answer.header("quetzalhill-outcome"), "unknown");
        }
        assert_eq!(site.log.requests.load(Ordering::SeqCst), 0);
    });
}
