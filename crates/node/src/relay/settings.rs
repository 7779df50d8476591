//! Settings that the entries and agents of the relay share.

use crate::relay::follow::TRANSIENT_PAUSE_MAX;
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

/// Prefix of the store keys of the open flows of a zone; the entry that reads for the zone writes one record.
pub const FLOW_RECORD_PREFIX: &str = "quetzalhill/flows/";

/// Longest wait for an answer of the store. It usually takes 4 ms, and on a slow day 60 times as long.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Limits of one instance's calls to the store. A start makes about ten calls at once. Following two ranges takes some
/// calls each second while many endpoints change, and confirming each of them up to ten, which must not use up what the
/// polls need.
const STORE_LIMITS: BudgetLimits = BudgetLimits {
    reads_per_s: 25.0,
    read_burst: 60.0,
    writes_per_s: 4.0,
    write_burst: 20.0,
    watches: 2,
};

/// Divisor of the time for a change that gives the longest wait for the answer to a call.
const CALL_PARTS: u32 = 4;

/// Divisor of the time for a change that gives the shortest poll, so that a short time does not make calls without pause.
const POLL_PARTS_MAX: u32 = 5;

/// How long a process that follows ranges waits for the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowTimeouts {
    /// Longest wait for the answer to a call; for a poll it is added to its time.
    pub call: Duration,
    /// Time after which the store answers a poll without changes.
    pub poll: Duration,
}

impl FollowTimeouts {
    /// Derives the timeouts from the time within which a change has to be in force after the store has lost an answer:
    /// a poll, its late answer, a pause and the read that follows add up to less than `apply`.
    pub fn new(apply: Duration) -> Self {
        let call = CALL_TIMEOUT.min(apply / CALL_PARTS);
        let after_poll = 2 * (call + TRANSIENT_PAUSE_MAX);
        let poll = apply.saturating_sub(after_poll);
        Self {
            call,
            poll: poll.max(apply / POLL_PARTS_MAX),
        }
    }
}

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
    /// Longest time after which the store answers a watch without changes, in milliseconds. An entry that is alone in
    /// noticing a lost answer polls more often, as `relay.apply_ms` requires.
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

    /// Creates the client of the store on the ntex system of the calling thread, for a process that follows no range.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be set up.
    pub async fn open_store(&self) -> Result<PolledStore<PlatformCodec>, StoreError> {
        let timeouts = FollowTimeouts {
            call: CALL_TIMEOUT,
            poll: self.poll_max(),
        };
        self.open_store_with(timeouts).await
    }

    /// Creates the client of the store for a process that follows ranges, and has to have a change in force within
    /// `apply` after the store has lost an answer or was away. Its calls wait no longer than that allows; see
    /// docs/coordination.md, "Bound on the age of routes and endpoints".
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be set up.
    pub async fn open_followed_store(
        &self,
        apply: Duration,
    ) -> Result<PolledStore<PlatformCodec>, StoreError> {
        self.open_store_with(FollowTimeouts::new(apply)).await
    }

    fn poll_max(&self) -> Duration {
        Duration::from_millis(self.store.poll_ms)
    }

    async fn open_store_with(
        &self,
        timeouts: FollowTimeouts,
    ) -> Result<PolledStore<PlatformCodec>, StoreError> {
        let settings = PolledSettings {
            address: self.store.address,
            call_timeout: timeouts.call,
            poll_timeout: timeouts.poll.min(self.poll_max()),
            long_poll_timeout: self.poll_max(),
            limits: STORE_LIMITS,
        };
        PolledStore::new(settings, PlatformCodec).await
    }
}
