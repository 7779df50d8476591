//! Settings of the agent for opaque flows.

use quetzalhill_core::ids::ServiceName;
use quetzalhill_node::relay::settings::{RelayCommon, RelayNode, RelayStore};
use quetzalhill_node::settings::{LogSettings, SettingError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Section `[relay]`: the upstream and the addresses of its agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySection {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address at which the upstream receives packets (UDP) and health probes (TCP).
    pub upstream: SocketAddrV4,
    /// Address at which the agent receives packets from the upstream.
    pub outbound: SocketAddrV4,
    /// Address at which the agent receives packets from entries; also the id of the endpoint.
    pub packets: SocketAddrV4,
    /// Address at which the agent receives the upstream's announcements over HTTP.
    pub announcements: SocketAddrV4,
    /// Address at which the agent answers readiness checks over HTTP.
    pub ready: SocketAddrV4,
    /// Port at which entries receive returned packets and reports.
    pub entry_port: u16,
    /// Interval between two announcements of the upstream, in milliseconds; 1 to 60000.
    pub announce_ms: u64,
    /// Whether the pace of the upstream is measured and reported; docs/load.md describes it and the next keys.
    #[serde(default)]
    pub pace: bool,
    /// Whether new flows are limited by a window after a start or recovery of the upstream.
    #[serde(default)]
    pub slow_start: bool,
    /// Whether requests beyond the upstream's slots are held and ordered by the terms of their routes.
    #[serde(default)]
    pub schedule: bool,
}

/// Maximum of `relay.announce_ms`, in milliseconds.
const ANNOUNCE_MAX_MS: u64 = 60_000;

/// The whole settings file of an agent for opaque flows.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name, zone and metrics address of the instance.
    pub node: RelayNode,
    /// Level and format of the log; optional in the file.
    #[serde(default)]
    pub log: LogSettings,
    /// The store in which the agent registers its endpoint.
    pub store: RelayStore,
    /// The upstream and the addresses of its agent.
    pub relay: RelaySection,
}

impl RelaySettings {
    /// Returns a copy of the sections that entries and agents have in common.
    pub fn common(&self) -> RelayCommon {
        RelayCommon {
            node: self.node.clone(),
            log: self.log.clone(),
            store: self.store.clone(),
        }
    }
}

/// Checks the values of a settings file.
///
/// # Errors
///
/// Returns an error for the first value that is not allowed.
pub fn check(settings: &RelaySettings) -> Result<(), SettingError> {
    settings.common().check()?;
    let relay = &settings.relay;
    if relay.service.is_empty() {
        return Err(SettingError::new("relay.service", "empty", "a name"));
    }
    if relay.entry_port == 0 {
        return Err(SettingError::new("relay.entry_port", 0, "1 to 65535"));
    }
    if !(1..=ANNOUNCE_MAX_MS).contains(&relay.announce_ms) {
        let allowed = "1 to 60000 milliseconds";
        return Err(SettingError::new(
            "relay.announce_ms",
            relay.announce_ms,
            allowed,
        ));
    }
    Ok(())
}
