//! Health of the upstream, as this agent sees it.

use super::context::TrafficContext;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// How often an upstream that takes no connection is tried.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// How long one attempt may take.
const PROBE_LIMIT: Duration = Duration::from_secs(1);

/// Tries to connect while the upstream's health is unknown or bad; requests tell while it is good.
pub(crate) async fn probe(context: Rc<TrafficContext>) {
    loop {
        context.until_unhealthy().await;
        let connect = TcpStream::connect(context.upstream.address());
        let connected = tokio::time::timeout(PROBE_LIMIT, connect).await;
        context.report_health(matches!(connected, Ok(Ok(_))));
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}
