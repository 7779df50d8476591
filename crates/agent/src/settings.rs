//! Settings file of an agent.

use quetzalhill_core::dispatch::DispatchPolicy;
use quetzalhill_core::ids::ServiceName;
use quetzalhill_node::settings::{LogSettings, NodeSettings, SettingError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Minimum of `agent.health_interval_ms`, so that health checks cause no significant load on the upstream.
const HEALTH_INTERVAL_MIN_MS: u32 = 10;

/// Section `[agent]`: the upstream, the addresses of its agent and the limits.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSection {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address at which packets from entries arrive; also the id of the endpoint.
    pub packets: SocketAddrV4,
    /// Address at which load reports (UDP) and handed-over requests (TCP) from peers arrive.
    pub peer: SocketAddrV4,
    /// Address that is announced to peers instead of `peer`, for networks that translate addresses.
    #[serde(default)]
    pub advertise_peer: Option<SocketAddrV4>,
    /// Address of the upstream, which serves HTTP/1.1.
    pub upstream: SocketAddrV4,
    /// Path of the upstream's health check; begins with a slash.
    #[serde(default = "default_health_path")]
    pub health_path: String,
    /// Interval between two health checks of the upstream, in milliseconds; at least 10.
    #[serde(default = "default_health_interval")]
    pub health_interval_ms: u32,
    /// Maximum number of concurrent requests of the upstream; at least 1.
    pub slots: u16,
    /// Control addresses of some entries, to which the agent announces itself first; at least one.
    pub entries: Vec<SocketAddrV4>,
    /// PEM file of the certificate chain.
    pub certificate: String,
    /// PEM file of the private key.
    pub private_key: String,
    /// Maximum number of open flows; at least 1.
    #[serde(default = "default_flows")]
    pub flows: u32,
    /// Policy that distributes requests over the agents of the service.
    #[serde(default)]
    pub policy: DispatchPolicy,
    /// Maximum time for which a graceful stop waits for open flows and requests, in seconds.
    #[serde(default = "default_drain")]
    pub drain_limit_s: u32,
}

/// The whole settings file of an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Zone, addresses and key files, as in the settings of every node.
    pub node: NodeSettings,
    /// Level and format of the log; optional in the file.
    #[serde(default)]
    pub log: LogSettings,
    /// The upstream, the addresses of its agent and the limits.
    pub agent: AgentSection,
}

impl AgentSection {
    /// Returns the address at which peers reach this agent: `advertise_peer`, or `peer` by default.
    pub fn announced_peer(&self) -> SocketAddrV4 {
        self.advertise_peer.unwrap_or(self.peer)
    }
}

fn default_health_path() -> String {
    "/health".into()
}

fn default_health_interval() -> u32 {
    1_000
}

fn default_flows() -> u32 {
    4_000
}

fn default_drain() -> u32 {
    300
}

/// Checks the values of a settings file.
///
/// # Errors
///
/// Returns the first value that is not allowed.
pub fn check(settings: &AgentSettings) -> Result<(), SettingError> {
    let agent = &settings.agent;
    if agent.service.is_empty() {
        return Err(SettingError::new(
            "agent.service",
            "empty",
            "the name of a service",
        ));
    }
    if agent.slots == 0 {
        return Err(SettingError::new("agent.slots", agent.slots, "1 to 65535"));
    }
    if !agent.health_path.starts_with('/') {
        return Err(SettingError::new(
            "agent.health_path",
            &agent.health_path,
            "a path that begins with /",
        ));
    }
    if agent.health_interval_ms < HEALTH_INTERVAL_MIN_MS {
        return Err(SettingError::new(
            "agent.health_interval_ms",
            agent.health_interval_ms,
            "10 to 4294967295",
        ));
    }
    if agent.entries.is_empty() {
        return Err(SettingError::new(
            "agent.entries",
            "empty",
            "at least one entry",
        ));
    }
    if agent.flows == 0 {
        return Err(SettingError::new(
            "agent.flows",
            agent.flows,
            "1 to 4294967295",
        ));
    }
    Ok(())
}
