//! Settings of an agent.

use quetzalhill_core::dispatch::DispatchPolicy;
use quetzalhill_core::ids::ServiceName;
use quetzalhill_node::settings::{LogSettings, NodeSettings, SettingError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Least `agent.health_interval_ms`, so that the questions take next to nothing of the upstream.
const HEALTH_INTERVAL_MIN_MS: u32 = 10;

/// Section `[agent]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSection {
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Where packets from entries arrive; also the identity of the endpoint.
    pub packets: SocketAddrV4,
    /// Where load reports (UDP) and handed-over requests (TCP) from peers arrive.
    pub peer: SocketAddrV4,
    /// Address that is announced to peers in place of `peer`, where addresses are translated on the way.
    #[serde(default)]
    pub advertise_peer: Option<SocketAddrV4>,
    /// The upstream, which speaks HTTP/1.1.
    pub upstream: SocketAddrV4,
    /// Path that answers whether the upstream is healthy.
    #[serde(default = "default_health_path")]
    pub health_path: String,
    /// Milliseconds between two questions for the upstream's health.
    #[serde(default = "default_health_interval")]
    pub health_interval_ms: u32,
    /// Requests that the upstream runs at the same time.
    pub slots: u16,
    /// Control addresses of some entries, for the first contact.
    pub entries: Vec<SocketAddrV4>,
    /// PEM file of the certificate chain.
    pub certificate: String,
    /// PEM file of the private key.
    pub private_key: String,
    /// Most open flows.
    #[serde(default = "default_flows")]
    pub flows: u32,
    /// How requests are spread over the service's agents.
    #[serde(default)]
    pub policy: DispatchPolicy,
    /// Most seconds that a graceful stop waits for what is in progress.
    #[serde(default = "default_drain")]
    pub drain_limit_s: u32,
}

/// The whole settings file of an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// What every process has.
    pub node: NodeSettings,
    /// The log.
    #[serde(default)]
    pub log: LogSettings,
    /// The agent.
    pub agent: AgentSection,
}

impl AgentSection {
    /// Returns the address at which peers reach this agent.
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
