//! Deployment files: which zones, services, endpoints and delays a test or measurement uses.

use anyhow::{Context, Result};
use quetzalhill_core::catalogue::{
    CatalogueSnapshot, LimitSet, PathClass, ServiceEntry, TrafficClass,
};
use quetzalhill_core::ids::{OwnerName, ServiceName, ZoneName};
use serde::Deserialize;
use smallvec::{smallvec, SmallVec};
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddrV4;

/// One service of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Owner in the catalogue.
    pub owner: OwnerName,
    /// Class in the catalogue.
    pub class: TrafficClass,
    /// Endpoints, spread over the zones in turn.
    pub endpoints: u16,
    /// Slots of each endpoint.
    pub slots: u16,
    /// Connections to each endpoint.
    #[serde(default)]
    pub connections: u32,
    /// Mean work of a request, in milliseconds.
    #[serde(default = "default_mean_ms")]
    pub mean_ms: f64,
    /// Classes by path prefix.
    #[serde(default)]
    pub path_classes: SmallVec<[PathClass; 2]>,
    /// Limits in the catalogue.
    #[serde(default)]
    pub limits: LimitSet,
}

/// A whole deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentPlan {
    /// Name, for reports.
    pub name: String,
    /// Availability zones.
    pub zones: Vec<ZoneName>,
    /// Entries, spread over the zones in turn.
    pub entries: u16,
    /// One-way delay between agents, in microseconds.
    #[serde(default)]
    pub zone_delay_us: u64,
    /// One-way delay between callers and entries, in microseconds.
    #[serde(default)]
    pub caller_delay_us: u64,
    /// Services by name.
    pub service: BTreeMap<ServiceName, ServicePlan>,
}

fn default_mean_ms() -> f64 {
    20.0
}

/// Reads a deployment file.
///
/// # Errors
///
/// Names the file and the line that is wrong.
pub fn read_plan(path: &str) -> Result<DeploymentPlan> {
    let text = fs::read_to_string(path).with_context(|| format!("deployment file {path}"))?;
    toml::from_str(&text).with_context(|| format!("deployment file {path}"))
}

impl DeploymentPlan {
    /// Returns the catalogue of this deployment, with one address for each service from `address_of`.
    pub fn catalogue(&self, address_of: impl Fn(usize) -> SocketAddrV4) -> CatalogueSnapshot {
        let mut services = BTreeMap::new();
        for (index, (name, plan)) in self.service.iter().enumerate() {
            let entry = ServiceEntry {
                number: 0,
                owner: plan.owner.clone(),
                class: plan.class,
                addresses: smallvec![address_of(index)],
                path_classes: plan.path_classes.clone(),
                limits: plan.limits.clone(),
            };
            services.insert(name.clone(), entry);
        }
        CatalogueSnapshot {
            revision: 0,
            services,
        }
    }
}
