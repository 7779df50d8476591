//! The pages on the admin address of an agent.

use crate::shared::SharedState;
use crate::traffic::counters::{PacketCounters, PeerCounters};
use quetzalhill_core::ids::ServiceName;
use quetzalhill_core::member::EndpointState;
use quetzalhill_node::admin::AdminPages;
use quetzalhill_node::status::{NodeRole, NodeStatus, ServiceStatus};
use serde_json::{json, Value};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// Constant input of the status page.
#[derive(Clone, Debug)]
pub(crate) struct StatusContext {
    /// Availability zone of the instance.
    pub(crate) zone: String,
    /// Service of the endpoint.
    pub(crate) service: ServiceName,
    /// Address of the packet socket.
    pub(crate) packets: SocketAddrV4,
    /// Start of the agent, from which the uptime is computed.
    pub(crate) started: Instant,
}

/// Returns the pages of an agent.
pub(crate) fn pages(shared: &Arc<SharedState>, context: StatusContext) -> AdminPages {
    let ready = shared.clone();
    let status = shared.clone();
    let catalogue = shared.clone();
    let name = context.service.clone();
    AdminPages {
        registry: shared.registry.clone(),
        // The thread that serves the pages runs the control loop and ends with it, so that an answer proves health.
        healthy: Rc::new(|| true),
        ready: Rc::new(move || ready.view.load().state == EndpointState::Ready),
        status: Rc::new(move || status_page(&status, &context)),
        catalogue: Rc::new(move || service_page(&catalogue, &name)),
    }
}

fn status_page(shared: &SharedState, context: &StatusContext) -> Value {
    let view = shared.view.load();
    let number = |gauge: &AtomicU32| gauge.load(Ordering::Relaxed);
    let usage = ServiceStatus {
        flows: number(&shared.gauges.flows),
        in_flight: number(&shared.gauges.in_flight),
        queue: number(&shared.gauges.queue),
        ..ServiceStatus::default()
    };
    let status = NodeStatus {
        role: NodeRole::Agent,
        zone: context.zone.clone(),
        address: Some(context.packets),
        version: env!("CARGO_PKG_VERSION").into(),
        uptime_s: context.started.elapsed().as_secs(),
        ready: view.state == EndpointState::Ready,
        revision: view.revision,
        entries: u32::try_from(view.entries.len()).unwrap_or(u32::MAX),
        services: [(context.service.clone(), usage)].into(),
        ..NodeStatus::default()
    };
    let mut value = json!(status);
    value["state"] = json!(view.state);
    value["incarnation"] = json!(view.incarnation);
    value["packets"] = packet_counters(&shared.packets);
    value["peers"] = peer_counters(&shared.peers);
    value
}

fn service_page(shared: &SharedState, name: &str) -> Value {
    let view = shared.view.load();
    json!({ "revision": view.revision, "services": { name: view.service } })
}

fn count(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

fn packet_counters(counters: &PacketCounters) -> Value {
    json!({
        "delivered": count(&counters.delivered),
        "forwarded": count(&counters.forwarded),
        "bad_header": count(&counters.bad_header),
        "mismatched": count(&counters.mismatched),
        "dropped": count(&counters.dropped),
        "sent": count(&counters.sent),
        "no_return": count(&counters.no_return),
    })
}

fn peer_counters(counters: &PeerCounters) -> Value {
    json!({
        "offered": count(&counters.offered),
        "handed_over": count(&counters.handed_over),
        "rejected": count(&counters.rejected),
        "lost": count(&counters.lost),
        "taken": count(&counters.taken),
        "refused": count(&counters.refused),
        "sent_home": count(&counters.sent_home),
        "home": count(&counters.home),
        "reports": count(&counters.reports),
        "bad_frames": count(&counters.bad_frames),
        "bad_datagrams": count(&counters.bad_datagrams),
        "stale_datagrams": count(&counters.stale_datagrams),
    })
}
