//! Deployment files, which describe the zones, services, endpoints and delays of a test or measurement.

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
    /// Owner of the service in the catalogue.
    pub owner: OwnerName,
    /// Traffic class of requests whose path has no class of its own.
    pub class: TrafficClass,
    /// Number of endpoints; they are assigned to the zones in turn.
    pub endpoints: u16,
    /// Requests that each endpoint runs at the same time.
    pub slots: u16,
    /// Number of connections that callers hold to each endpoint.
    #[serde(default)]
    pub connections: u32,
    /// Mean time that the upstream needs for a request, in milliseconds.
    #[serde(default = "default_mean_ms")]
    pub mean_ms: f64,
    /// Traffic classes by path prefix.
    #[serde(default)]
    pub path_classes: SmallVec<[PathClass; 2]>,
    /// Limits of the service in the catalogue.
    #[serde(default)]
    pub limits: LimitSet,
}

/// Content of a deployment file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentPlan {
    /// Name of the deployment, for reports.
    pub name: String,
    /// Availability zones, in the order in which entries and endpoints are assigned to them.
    pub zones: Vec<ZoneName>,
    /// Number of entries; they are assigned to the zones in turn.
    pub entries: u16,
    /// One-way network delay between agents, in microseconds.
    #[serde(default)]
    pub zone_delay_us: u64,
    /// One-way network delay between callers and entries, in microseconds.
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
/// Returns an error that names the file and, if its content is invalid, the line.
pub fn read_plan(path: &str) -> Result<DeploymentPlan> {
    let text =
        fs::read_to_string(path).with_context(|| format!("cannot read deployment file {path}"))?;
    toml::from_str(&text).with_context(|| format!("invalid deployment file {path}"))
}

impl DeploymentPlan {
    /// Returns the catalogue of this deployment.
    ///
    /// `address_of` gives the address of a service from its position in the order of names.
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
