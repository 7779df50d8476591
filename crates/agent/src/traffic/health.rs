//! Health of the upstream, as its health endpoint and the traffic show it.

use super::context::TrafficContext;
use super::upstream::HealthReply;
use quetzalhill_core::dispatch::DispatchEvent;
use quetzalhill_core::health::HealthEvent;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often an upstream is asked whose last answers leave a doubt.
const DOUBT_INTERVAL: Duration = Duration::from_millis(250);

/// How long one answer may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// Asks the upstream for its health and follows whether dispatch avoids it; runs until the system stops.
pub(crate) async fn watch(context: Rc<TrafficContext>, path: String, interval: Duration) {
    let pause = interval.min(DOUBT_INTERVAL);
    // Peers run what arrives before the upstream has answered.
    let event = DispatchEvent::UpstreamChanged { serving: false };
    context.scheduler.handle(event);
    let mut next = Instant::now();
    loop {
        let now = Instant::now();
        if context.is_upstream_in_doubt() || next <= now {
            next = now + interval;
            let event = ask(&context, &path).await;
            context.upstream_health(event);
        }
        let ejected = context.scheduler.is_upstream_ejected();
        context.upstream_health(HealthEvent::Ejected(ejected));
        context.report_health();
        context.publish_use();
        tokio::time::sleep(pause).await;
    }
}

async fn ask(context: &TrafficContext, path: &str) -> HealthEvent {
    let reply = context.upstream.health(path);
    match tokio::time::timeout(ANSWER_LIMIT, reply).await {
        Ok(HealthReply::Serving) => HealthEvent::Serving,
        Ok(HealthReply::Unavailable) => HealthEvent::Unavailable,
        Ok(HealthReply::Failed) | Err(_) => HealthEvent::Failed,
    }
}
