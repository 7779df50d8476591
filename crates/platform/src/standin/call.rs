//! Calls that upstreams and the fabric make, and the operators' catalogue as the platform writes it.

use crate::server::{ANNOUNCE_PREFIX, GOODBYE_PREFIX, READY_PATH};
use crate::store::{get, post};
use quetzalhill_core::ids::{IncarnationNumber, ServiceName, UpstreamName, ZoneName};
use quetzalhill_core::relay::routes::RouteSet;
use quetzalhill_store::codec::HttpCall;
use serde_json::json;
use std::net::SocketAddrV4;

/// What an upstream says of itself.
#[derive(Clone, Debug)]
pub struct SpokenAnnouncement {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// When it started, in Unix milliseconds.
    pub incarnation: IncarnationNumber,
    /// Order of the announcements of one life.
    pub sequence: u64,
    /// Its service.
    pub service: ServiceName,
    /// Where it takes packets and probes.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it will leave.
    pub draining: bool,
}

/// Encodes an announcement.
pub fn announce(spoken: &SpokenAnnouncement) -> HttpCall {
    let state = match spoken.draining {
        true => "draining",
        false => "ready",
    };
    let body = json!({
        "service": spoken.service,
        "address": spoken.address.to_string(),
        "zone": spoken.zone,
        "version": "v1",
        "maxConcurrency": spoken.slots,
        "state": state,
        "coldLeftMs": 0,
        "sequence": spoken.sequence,
        "born": spoken.incarnation,
    });
    post(
        format!("{ANNOUNCE_PREFIX}{}", spoken.name),
        Some(body.to_string().into_bytes()),
    )
}

/// Encodes the goodbye of an upstream.
pub fn goodbye(name: &UpstreamName) -> HttpCall {
    post(format!("{GOODBYE_PREFIX}{name}"), None)
}

/// Encodes the question of the fabric whether an entry takes packets.
pub fn ready() -> HttpCall {
    get(READY_PATH.into())
}

/// Encodes the operators' catalogue.
pub fn manifest(routes: &RouteSet) -> Vec<u8> {
    let mut list = Vec::new();
    for (address, targets) in &routes.by_address {
        let weighted: Vec<_> = targets
            .iter()
            .map(|target| json!({ "service": target.service, "weight": target.weight }))
            .collect();
        list.push(json!({
            "name": address.to_string(),
            "host": address.ip().to_string(),
            "prefix": format!("/{}/", address.port()),
            "weightedServices": weighted,
        }));
    }
    let idle_ms = u64::try_from(routes.idle_timeout.as_millis()).unwrap_or(u64::MAX);
    let body = json!({
        "version": routes.revision,
        "routes": list,
        "services": [],
        "limits": { "idleTimeoutMs": idle_ms },
    });
    body.to_string().into_bytes()
}
