//! Failure and shutdown of the upstream.

use crate::support::{block_on, free_port, TestSite, STEP};
use crate::upstream::UpstreamLog;
use quetzalhill_agent::shared::TrafficEvent;
use quetzalhill_core::catalogue::LimitSet;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Returns the next event that the agent sends to its control thread.
async fn next_event(site: &mut TestSite) -> TrafficEvent {
    let event = tokio::time::timeout(STEP, site.events.recv()).await;
    event.unwrap().unwrap()
}

const READY: TrafficEvent = TrafficEvent::UpstreamHealth { healthy: true };
const NOT_READY: TrafficEvent = TrafficEvent::UpstreamHealth { healthy: false };

/// Guards against new requests for an upstream that is shutting down.
#[test]
fn leaving_upstream_drains_the_endpoint() {
    let mut site = TestSite::start(4, LimitSet::default());
    block_on(async {
        assert_eq!(next_event(&mut site).await, READY);
        site.log.health.store(503, Ordering::SeqCst);
        assert_eq!(next_event(&mut site).await, TrafficEvent::UpstreamDraining);
    });
}

/// Guards against an endpoint that stays ready when its upstream fails, or not ready when the upstream is back.
#[test]
fn failing_upstream_is_not_ready_until_it_serves() {
    let mut site = TestSite::start(4, LimitSet::default());
    block_on(async {
        assert_eq!(next_event(&mut site).await, READY);
        site.log.health.store(500, Ordering::SeqCst);
        assert_eq!(next_event(&mut site).await, NOT_READY);
        site.log.health.store(200, Ordering::SeqCst);
        assert_eq!(next_event(&mut site).await, READY);
    });
}

/// Guards against requests that fail at an agent without an upstream while a peer could run them.
#[test]
fn agent_without_upstream_hands_requests_over() {
    let log = Arc::new(UpstreamLog::default());
    let alone = TestSite::with_upstream(4, LimitSet::default(), free_port(), log);
    let peer = TestSite::start(4, LimitSet::default());
    alone.set_peers(&[peer.record()]);
    peer.set_peers(&[alone.record()]);
    block_on(async {
        let caller = alone.connect().await;
        let mut answers = 0;
        // Until the agent has a load report of the peer, requests still go to the failing upstream and get 503.
        for _ in 0..100 {
            let answer = caller.get("/hello").await.unwrap();
            match answer.status.as_u16() {
                200 => answers += 1,
                status => assert_eq!((status, answers), (503, 0)),
            }
            if answers == 10 {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        assert_eq!(answers, 10);
    });
    assert_eq!(peer.log.requests.load(Ordering::SeqCst), 10);
}
