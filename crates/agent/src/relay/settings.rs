//! Settings of an agent of the relay.

use quetzalhill_core::ids::ServiceName;
use quetzalhill_node::relay::settings::{RelayCommon, RelayNode, RelayStore};
use quetzalhill_node::settings::{LogSettings, SettingError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Section `[relay]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySection {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Where the upstream takes packets (UDP) and health probes (TCP).
    pub upstream: SocketAddrV4,
    /// Where the upstream sends its packets.
    pub outbound: SocketAddrV4,
    /// Where entries send packets.
    pub packets: SocketAddrV4,
    /// Where the upstream announces itself over HTTP.
    pub announcements: SocketAddrV4,
    /// Where the instance is asked whether it is ready.
    pub ready: SocketAddrV4,
    /// Port at which entries take returned packets and reports.
    pub entry_port: u16,
    /// Time between two announcements of the upstream, in milliseconds.
    pub announce_ms: u64,
}

/// Longest time between two announcements, in milliseconds.
const ANNOUNCE_MAX_MS: u64 = 60_000;

/// The whole settings file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// The instance.
    pub node: RelayNode,
    /// The log.
    #[serde(default)]
    pub log: LogSettings,
    /// The platform's store.
    pub store: RelayStore,
    /// The agent.
    pub relay: RelaySection,
}

impl RelaySettings {
    /// Returns what entries and agents share.
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
/// Returns the first value that is not allowed.
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
