//! Periodic health checks of the upstream.

use super::context::TrafficContext;
use super::upstream::HealthReply;
use quetzalhill_core::dispatch::DispatchEvent;
use quetzalhill_core::health::HealthEvent;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval of health checks while the upstream is not ready or a recent check did not succeed.
const EARLY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time limit of one health check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Checks the upstream, reports its health and ejection, and updates the gauges; never returns.
pub(crate) async fn watch(context: Rc<TrafficContext>, path: String, interval: Duration) {
    let pause = interval.min(EARLY_CHECK_INTERVAL);
    // Until the first health check succeeds, requests are handed over if a peer accepts them.
    let event = DispatchEvent::UpstreamChanged { serving: false };
    context.scheduler.handle(event);
    let mut next = Instant::now();
    loop {
        let now = Instant::now();
        if context.needs_early_check() || next <= now {
            next = now + interval;
            let event = check_health(&context, &path).await;
            context.handle_health(event);
        }
        let ejected = context.scheduler.is_upstream_ejected();
        context.handle_health(HealthEvent::Ejected(ejected));
        context.report_health();
        context.publish_gauges();
        tokio::time::sleep(pause).await;
    }
}

async fn check_health(context: &TrafficContext, path: &str) -> HealthEvent {
    let reply = context.upstream.health(path);
    match tokio::time::timeout(CHECK_TIMEOUT, reply).await {
        Ok(HealthReply::Serving) => HealthEvent::Serving,
        Ok(HealthReply::Unavailable) => HealthEvent::Unavailable,
        Ok(HealthReply::Failed) | Err(_) => HealthEvent::Failed,
    }
}
