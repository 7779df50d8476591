//! Settings of an entry of the relay.

use quetzalhill_node::relay::settings::{RelayCommon, RelayNode, RelayStore};
use quetzalhill_node::settings::{LogSettings, SettingError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Section `[relay]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySection {
    /// Where the fabric hands over the packets of callers.
    pub packets: SocketAddrV4,
    /// Where agents send returned packets and reports.
    pub agents: SocketAddrV4,
    /// Where the fabric asks whether the instance takes packets.
    pub ready: SocketAddrV4,
    /// Milliseconds after the stop signal during which packets are still forwarded; the fabric notices after two
    /// probes, which are half a second apart.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
}

fn default_linger_ms() -> u64 {
    1_500
}

/// Longest time to linger, in milliseconds.
const LINGER_MAX_MS: u64 = 60_000;

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
    /// The entry.
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
    let linger_ms = settings.relay.linger_ms;
    if linger_ms > LINGER_MAX_MS {
        let allowed = "0 to 60000 milliseconds";
        return Err(SettingError::new("relay.linger_ms", linger_ms, allowed));
    }
    Ok(())
}
