//! Settings that the entries and agents of the relay share.

use crate::settings::{LogSettings, SettingError};
use quetzalhill_core::ids::ZoneName;
use quetzalhill_platform::store::PlatformCodec;
use quetzalhill_store::api::StoreError;
use quetzalhill_store::budget::BudgetLimits;
use quetzalhill_store::polled::{PolledSettings, PolledStore};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Prefix of the store keys of the list of endpoints; each agent writes one record.
pub const ENDPOINT_PREFIX: &str = "quetzalhill/endpoint/";

/// Longest wait for an answer of the store. It usually takes 4 ms, and on a slow day 60 times as long.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Limits of one instance's calls to the store. A start makes about ten calls at once. Following two ranges takes some
/// calls each second while many endpoints change.
const STORE_LIMITS: BudgetLimits = BudgetLimits {
    reads_per_s: 20.0,
    read_burst: 60.0,
    writes_per_s: 4.0,
    write_burst: 20.0,
    watches: 2,
};

/// Section `[node]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelayNode {
    /// Name of the instance in the log.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// TCP address on which metrics are served over HTTP.
    pub metrics: SocketAddrV4,
}

/// Section `[store]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelayStore {
    /// Address of the platform's store.
    pub address: SocketAddrV4,
    /// Time after which the store answers a watch without changes, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
}

/// The store counts each poll, so polls should be long. Keep-alive probes detect a dead connection meanwhile.
fn default_poll_ms() -> u64 {
    25_000
}

/// Longest poll that the store accepts, in milliseconds.
const POLL_MAX_MS: u64 = 30_000;

/// The sections that the settings of entries and agents have in common.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RelayCommon {
    /// Name, zone and metrics address of the instance.
    pub node: RelayNode,
    /// Level and format of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Address and poll time of the platform's store.
    pub store: RelayStore,
}

impl RelayCommon {
    /// Checks zone, poll time and log level.
    ///
    /// # Errors
    ///
    /// Returns the first value that is not allowed.
    pub fn check(&self) -> Result<(), SettingError> {
        if self.node.zone.is_empty() {
            return Err(SettingError::new("node.zone", "empty", "a name"));
        }
        let poll_ms = self.store.poll_ms;
        if !(100..=POLL_MAX_MS).contains(&poll_ms) {
            let allowed = "100 to 30000 milliseconds";
            return Err(SettingError::new("store.poll_ms", poll_ms, allowed));
        }
        let level = &self.log.level;
        if level.parse::<log::LevelFilter>().is_err() {
            let allowed = "error, warn, info, debug, trace or off";
            return Err(SettingError::new("log.level", level, allowed));
        }
        Ok(())
    }

    /// Creates the client of the store on the ntex system of the calling thread.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be set up.
    pub async fn open_store(&self) -> Result<PolledStore<PlatformCodec>, StoreError> {
        let settings = PolledSettings {
            address: self.store.address,
            call_timeout: CALL_TIMEOUT,
            poll_timeout: Duration::from_millis(self.store.poll_ms),
            limits: STORE_LIMITS,
        };
        PolledStore::new(settings, PlatformCodec).await
    }
}
