//! Draining of an agent.

use crate::support::{block_on, TestSite, STEP};
use quetzalhill_agent::shared::TrafficEvent;
use quetzalhill_core::catalogue::LimitSet;
use quetzalhill_core::member::EndpointState;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Guards against a drain that waits forever for a request that does not end.
#[test]
fn drain_ends_at_its_limit() {
    let site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let caller = site.connect().await;
        let held = caller.get("/hold");
        let drain = async {
            while site.log.requests.load(Ordering::SeqCst) == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            site.set_state(EndpointState::Draining);
            let traffic = &site.traffic;
            while !traffic.wait_drained(Duration::ZERO) {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        tokio::select! {
            _ = held => unreachable!("the upstream does not answer"),
            drained = tokio::time::timeout(STEP, drain) => drained.unwrap(),
        }
        assert_eq!(site.traffic.flows(), 1);
    });
}

/// Guards against a drain that cuts a response in progress, or that never ends.
#[test]
fn drain_finishes_running_requests() {
    let mut site = TestSite::start(4, LimitSet::default());
    block_on(async {
        let busy = site.connect().await;
        let idle = site.connect().await;
        assert_eq!(idle.get("/hello").await.unwrap().body, "hello");
        let stream = busy.get("/slow");
        let drain = async {
            while site.log.requests.load(Ordering::SeqCst) < 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            site.set_state(EndpointState::Draining);
        };
        let both = async { tokio::join!(stream, drain) };
        let (answer, ()) = tokio::time::timeout(STEP, both).await.unwrap();
        assert_eq!(answer.unwrap().body, "slow");
        // The client has received GOAWAY and therefore refuses to send a request.
        assert!(busy.get("/hello").await.is_err());
        for caller in [&idle, &busy] {
            let closed = caller.connection.closed();
            tokio::time::timeout(STEP, closed).await.unwrap();
        }
    });
    assert!(site.traffic.wait_drained(STEP));
    let healthy = TrafficEvent::UpstreamHealth { healthy: true };
    assert_eq!(site.events.blocking_recv(), Some(healthy));
    assert_eq!(site.events.blocking_recv(), Some(TrafficEvent::Drained));
    assert_eq!(site.traffic.flows(), 0);
    site.traffic.stop();
}
