//! Settings files in TOML.
//!
//! Every value is checked before the process starts any work. An error names the file, the key, the invalid value and
//! the allowed values.

use anyhow::{anyhow, Context, Result};
use quetzalhill_core::ids::ZoneName;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs;
use std::net::SocketAddrV4;

/// Settings of entries and agents, section `[node]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address on which the control thread receives control datagrams (UDP) and catalogue fetches (TCP).
    pub control: SocketAddrV4,
    /// TCP address on which metrics, health and status are served over HTTP.
    pub admin: SocketAddrV4,
    /// File of the control key that authenticates outgoing messages.
    pub control_key: String,
    /// File of a second control key that is also accepted in incoming messages, for key rotation.
    pub previous_key: Option<String>,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text for each event.
    #[default]
    Plain,
    /// One JSON object for each event.
    Json,
}

/// Settings of the log, section `[log]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is logged: error, warn, info, debug or trace; off logs nothing.
    pub level: String,
    /// How lines look.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".into(),
            format: LogFormat::Plain,
        }
    }
}

/// A setting whose value is not allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingError {
    /// Key with its section, such as `agent.slots`.
    pub key: String,
    /// The value in the file.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl SettingError {
    /// Creates the error for `key`.
    pub fn new(key: &str, value: impl ToString, allowed: &str) -> Self {
        Self {
            key: key.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        }
    }
}

/// Returns whether a settings file has a section, by which a command recognizes the kind of file.
///
/// # Errors
///
/// The file cannot be read or is not valid TOML; the error names the file.
pub fn has_section(path: &str, section: &str) -> Result<bool> {
    let text = fs::read_to_string(path).with_context(|| format!("settings file {path}"))?;
    let table: toml::Table =
        toml::from_str(&text).with_context(|| format!("settings file {path}"))?;
    Ok(table.contains_key(section))
}

/// Reads a settings file and checks its values.
///
/// # Errors
///
/// The file cannot be read, is not valid TOML or has a value that is not allowed. The error names the file and, as far as
/// known, the line, the key, the value and the allowed values.
pub fn read<T: DeserializeOwned>(
    path: &str,
    check: fn(&T) -> Result<(), SettingError>,
) -> Result<T> {
    let text = fs::read_to_string(path).with_context(|| format!("settings file {path}"))?;
    let settings: T = toml::from_str(&text).with_context(|| format!("settings file {path}"))?;
    check(&settings).map_err(|error| {
        anyhow!(
            "settings file {path}: {} is {}; allowed: {}",
            error.key,
            error.value,
            error.allowed
        )
    })?;
    Ok(settings)
}
