//! Settings of an entry of the relay.

use quetzalhill_core::relay::admit::AdmissionPolicy;
use quetzalhill_core::relay::chain::ChainPolicy;
use quetzalhill_core::relay::cold::ColdPolicy;
use quetzalhill_node::relay::settings::{RelayCommon, RelayNode, RelayStore};
use quetzalhill_node::settings::{LogSettings, SettingError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Section `[relay]` of the settings of an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySection {
    /// UDP address on which the entry receives the packets of callers from the fabric.
    pub packets: SocketAddrV4,
    /// UDP address to which agents send returned packets and reports.
    pub agents: SocketAddrV4,
    /// TCP address of the HTTP server for the fabric's readiness probes.
    pub ready: SocketAddrV4,
    /// Milliseconds after the stop signal during which packets are still forwarded. The fabric notices that the
    /// instance is not ready after two probes, which are half a second apart.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
    /// Milliseconds within which a change of the routes has to be in force at every entry.
    #[serde(default = "default_apply_ms")]
    pub apply_ms: u64,
    /// Whether placement uses the pace of upstreams that agents report; docs/load.md describes it and the next keys.
    #[serde(default)]
    pub pace: bool,
    /// Whether the terms of a route are sent to agents with each packet, by which they order requests.
    #[serde(default)]
    pub schedule: bool,
    /// Whether evacuations of availability zones are followed.
    #[serde(default)]
    pub evacuations: bool,
    /// Milliseconds within which an evacuation has to be in force at every entry; `apply_ms` if it is not set.
    pub evacuate_ms: Option<u64>,
    /// Whether open flows of routes whose requests must not be repeated are reset as soon as their upstream is known to
    /// have restarted. The entry that reads for its zone keeps them in the store.
    #[serde(default)]
    pub reset_ended: bool,
    /// Factor on the rate that a service states for its cold upstreams; without it, cold upstreams have no limit.
    pub cold_overrun: Option<f64>,
    /// First packets a second that a cold upstream may take beyond that rate.
    #[serde(default)]
    pub cold_slack: f64,
}

impl RelaySection {
    /// Returns the rules of the packet filter chain that the settings enable.
    pub fn chain_policy(&self) -> ChainPolicy {
        let slack = self.cold_slack;
        let admission = match self.schedule {
            true => AdmissionPolicy::On,
            false => AdmissionPolicy::Off,
        };
        ChainPolicy {
            cold: self
                .cold_overrun
                .map(|overrun| ColdPolicy { overrun, slack }),
            admission,
        }
    }
}

fn default_linger_ms() -> u64 {
    1_500
}

fn default_apply_ms() -> u64 {
    3_000
}

/// Range of `apply_ms`, in milliseconds; a shorter time would need more calls to the store than an entry may make.
const APPLY_RANGE_MS: RangeInclusive<u64> = 600..=60_000;

/// Range of `cold_overrun`; below 1 an upstream would get less than it bears.
const COLD_OVERRUN_RANGE: RangeInclusive<f64> = 1.0..=100.0;

/// Range of `cold_slack`; the header of a packet holds limits up to 255.
const COLD_SLACK_RANGE: RangeInclusive<f64> = 0.0..=255.0;

/// Upper limit of `linger_ms`, in milliseconds.
const LINGER_MAX_MS: u64 = 60_000;

/// The settings file of an entry of the relay.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name, zone and metrics address of the instance.
    pub node: RelayNode,
    /// Level and format of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Address and poll time of the platform's store.
    pub store: RelayStore,
    /// Addresses and linger time of the entry.
    pub relay: RelaySection,
}

impl RelaySettings {
    /// Returns the sections that entries and agents share.
    pub fn common(&self) -> RelayCommon {
        RelayCommon {
            node: self.node.clone(),
            log: self.log.clone(),
            store: self.store.clone(),
        }
    }
}

impl RelaySection {
    /// Returns the time within which what operators wrote has to be in force. Routes and evacuations are read together, so
    /// that the shorter of both times counts.
    pub fn apply_time(&self) -> Duration {
        let evacuate_ms = self.evacuate_ms.filter(|_| self.evacuations);
        Duration::from_millis(evacuate_ms.map_or(self.apply_ms, |ms| ms.min(self.apply_ms)))
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
    let apply_ms = settings.relay.apply_ms;
    if !APPLY_RANGE_MS.contains(&apply_ms) {
        let allowed = "600 to 60000 milliseconds";
        return Err(SettingError::new("relay.apply_ms", apply_ms, allowed));
    }
    if let Some(evacuate_ms) = settings.relay.evacuate_ms {
        if !APPLY_RANGE_MS.contains(&evacuate_ms) {
            let allowed = "600 to 60000 milliseconds";
            return Err(SettingError::new("relay.evacuate_ms", evacuate_ms, allowed));
        }
    }
    if let Some(overrun) = settings.relay.cold_overrun {
        if !COLD_OVERRUN_RANGE.contains(&overrun) {
            return Err(SettingError::new("relay.cold_overrun", overrun, "1 to 100"));
        }
    }
    let slack = settings.relay.cold_slack;
    if !COLD_SLACK_RANGE.contains(&slack) {
        return Err(SettingError::new("relay.cold_slack", slack, "0 to 255"));
    }
    Ok(())
}
