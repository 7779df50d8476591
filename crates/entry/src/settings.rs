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
    /// Address in the catalogue that `bind` stands for, where the fabric translates addresses. Without it the
    /// destination address of each packet counts.
    pub address: Option<SocketAddrV4>,
}

/// Section `[entry]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySection {
    /// Sockets for callers.
    pub listen: Vec<ListenSettings>,
    /// Where packets from agents arrive.
    pub data: SocketAddrV4,
    /// Control addresses of some entries, for the first contact.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Traffic threads for each socket.
    #[serde(default = "one")]
    pub threads: u16,
    /// Seconds after the stop signal during which packets are still forwarded.
    #[serde(default = "two")]
    pub linger_s: u16,
}

/// Section `[store]`.
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
    /// What every process has.
    pub node: NodeSettings,
    /// The log.
    #[serde(default)]
    pub log: LogSettings,
    /// The entry.
    pub entry: EntrySection,
    /// The platform's store.
    #[serde(default)]
    pub store: StoreSection,
}

fn one() -> u16 {
    1
}

fn two() -> u16 {
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
