//! Encoding of the requests that upstreams and the network fabric send, and of the operators' manifest.

use crate::server::{ANNOUNCE_PREFIX, DEREGISTER_PREFIX, READY_PATH};
use crate::store::{get, post};
use quetzalhill_core::ids::{IncarnationNumber, ServiceName, UpstreamName, ZoneName};
use quetzalhill_core::relay::routes::RouteSet;
use quetzalhill_store::codec::HttpCall;
use serde_json::json;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Content of an announcement that a stand-in upstream sends.
#[derive(Clone, Debug)]
pub struct OutgoingAnnouncement {
    /// Name of the upstream, which is part of the path.
    pub name: UpstreamName,
    /// Start of the upstream in Unix milliseconds, which distinguishes incarnations of one name.
    pub incarnation: IncarnationNumber,
    /// Sequence number, which rises with each announcement of an incarnation.
    pub sequence: u64,
    /// Service that the upstream provides.
    pub service: ServiceName,
    /// Address at which the upstream receives packets and health probes.
    pub address: SocketAddrV4,
    /// Availability zone in which the upstream runs.
    pub zone: ZoneName,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is draining.
    pub draining: bool,
}

/// Encodes an announcement, without warm-up time.
pub fn announce(announcement: &OutgoingAnnouncement) -> HttpCall {
    let state = match announcement.draining {
        true => "draining",
        false => "ready",
    };
    let body = json!({
        "service": announcement.service,
        "address": announcement.address.to_string(),
        "zone": announcement.zone,
        "version": "v1",
        "maxConcurrency": announcement.slots,
        "state": state,
        "coldLeftMs": 0,
        "sequence": announcement.sequence,
        "born": announcement.incarnation,
    });
    post(
        format!("{ANNOUNCE_PREFIX}{}", announcement.name),
        Some(body.to_string().into_bytes()),
    )
}

/// Encodes the deregistration of an upstream.
pub fn deregister(name: &UpstreamName, incarnation: IncarnationNumber) -> HttpCall {
    let body = json!({ "born": incarnation });
    post(
        format!("{DEREGISTER_PREFIX}{name}"),
        Some(body.to_string().into_bytes()),
    )
}

/// Encodes the readiness probe that the fabric sends to an entry.
pub fn ready() -> HttpCall {
    get(READY_PATH.into())
}

/// Encodes a manifest in which every route lists its services under `weightedServices`, and its terms if it has any.
pub fn manifest(routes: &RouteSet) -> Vec<u8> {
    let mut list = Vec::new();
    for (address, targets) in &routes.by_address {
        let weighted: Vec<_> = targets
            .iter()
            .map(|target| json!({ "service": target.service, "weight": target.weight }))
            .collect();
        let mut route = json!({
            "name": address.to_string(),
            "host": address.ip().to_string(),
            "prefix": format!("/{}/", address.port()),
            "weightedServices": weighted,
        });
        if let Some(terms) = routes.terms.get(address) {
            route["priority"] = json!(terms.priority);
            route["targetLatencyMs"] = json!(millis(terms.target));
            route["timeoutMs"] = json!(millis(terms.timeout));
        }
        list.push(route);
    }
    let body = json!({
        "version": routes.revision,
        "routes": list,
        "services": [],
        "limits": { "idleTimeoutMs": millis(routes.idle_timeout) },
    });
    body.to_string().into_bytes()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
