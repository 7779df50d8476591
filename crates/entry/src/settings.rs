//! Settings of an entry instance.

use quetzalhill_node::settings::{LogSettings, NodeSettings, SettingError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// One socket on which callers' packets arrive.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Local address; `0.0.0.0` receives for all addresses of the instance.
    pub bind: SocketAddrV4,
    /// Service address in the catalogue whose packets arrive at `bind`, if the fabric translates addresses. Without it,
    /// the service address is the destination address of each packet.
    pub address: Option<SocketAddrV4>,
}

/// Section `[entry]` of the settings of an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySection {
    /// Sockets for callers; at least one.
    pub listen: Vec<ListenSettings>,
    /// UDP address to which agents send packets for callers.
    pub data: SocketAddrV4,
    /// Control addresses of some entries, which this entry contacts first to join the membership.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Traffic threads for each socket, 1 to 64.
    #[serde(default = "default_threads")]
    pub threads: u16,
    /// Seconds after the stop signal during which packets are still forwarded.
    #[serde(default = "default_linger_s")]
    pub linger_s: u16,
}

/// Section `[store]` of the settings of an entry.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSection {
    /// Base addresses of the store, such as `http://10.0.0.5:2379`.
    pub urls: Vec<String>,
}

/// The whole settings file of an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Settings that entries and agents share.
    pub node: NodeSettings,
    /// Level and format of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Sockets, threads and linger time of the entry.
    pub entry: EntrySection,
    /// Addresses of the platform's store.
    #[serde(default)]
    pub store: StoreSection,
}

fn default_threads() -> u16 {
    1
}

fn default_linger_s() -> u16 {
    2
}

/// Checks the values of a settings file.
///
/// # Errors
///
/// Returns the first value that is not allowed.
pub fn check(settings: &EntrySettings) -> Result<(), SettingError> {
    let entry = &settings.entry;
    if entry.listen.is_empty() {
        return Err(SettingError::new(
            "entry.listen",
            "empty",
            "at least one socket",
        ));
    }
    if entry.threads == 0 || entry.threads > 64 {
        return Err(SettingError::new("entry.threads", entry.threads, "1 to 64"));
    }
    Ok(())
}
