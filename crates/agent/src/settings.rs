//! Settings of an agent.

use quetzalhill_core::dispatch::DispatchPolicy;
use quetzalhill_core::ids::ServiceName;
use quetzalhill_node::settings::{LogSettings, NodeSettings, SettingError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

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
    /// The upstream, which speaks HTTP/1.1.
    pub upstream: SocketAddrV4,
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
