//! The operators' catalogue as the platform keeps it.

use quetzalhill_core::relay::routes::{RouteSet, RouteTarget, TargetList};
use serde::Deserialize;
use std::collections::HashMap;
use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Key under which the newest manifest lies.
pub const MANIFEST_KEY: &str = "op/config";

/// Weight of the only service of a route.
const WHOLE_WEIGHT: u32 = 1;

#[derive(Debug, Deserialize)]
struct ManifestBody {
    version: u64,
    routes: Vec<RouteBody>,
    limits: LimitsBody,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteBody {
    name: String,
    /// The IPv4 address that callers use; not a host name.
    host: String,
    /// The port that callers use, between slashes; not a path.
    prefix: String,
    service: Option<String>,
    /// The services of a split route, in place of `service`.
    weighted_services: Option<Vec<TargetBody>>,
}

#[derive(Debug, Deserialize)]
struct TargetBody {
    service: String,
    weight: u32,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsBody {
    /// Time without packets after which a flow may be forgotten.
    idle_timeout_ms: u64,
}

/// Why a manifest cannot be used.
#[derive(Debug)]
pub enum ManifestError {
    /// A field is missing or of another type.
    Body(serde_json::Error),
    /// The address of a route cannot be read.
    Address {
        /// Name of the route.
        route: String,
    },
    /// A route names no service.
    NoService {
        /// Name of the route.
        route: String,
    },
}

impl Display for ManifestError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        match self {
            ManifestError::Body(error) => write!(f, "the manifest cannot be read: {error}"),
            ManifestError::Address { route } => {
                write!(f, "route {route} has no IPv4 address with a port")
            }
            ManifestError::NoService { route } => write!(f, "route {route} names no service"),
        }
    }
}

impl Error for ManifestError {}

/// Decodes a manifest.
///
/// # Errors
///
/// Says what is wrong; a manifest is taken whole or not at all.
pub fn decode(value: &[u8]) -> Result<RouteSet, ManifestError> {
    let body: ManifestBody = serde_json::from_slice(value).map_err(ManifestError::Body)?;
    let mut by_address = HashMap::with_capacity(body.routes.len());
    for route in body.routes {
        let Some(address) = address_of(&route) else {
            return Err(ManifestError::Address { route: route.name });
        };
        by_address.insert(address, targets_of(route)?);
    }
    Ok(RouteSet {
        revision: body.version,
        by_address,
        idle_timeout: Duration::from_millis(body.limits.idle_timeout_ms),
    })
}

fn address_of(route: &RouteBody) -> Option<SocketAddrV4> {
    let ip: Ipv4Addr = route.host.parse().ok()?;
    let port: u16 = route.prefix.trim_matches('/').parse().ok()?;
    Some(SocketAddrV4::new(ip, port))
}

fn targets_of(route: RouteBody) -> Result<TargetList, ManifestError> {
    let mut targets = TargetList::new();
    if let Some(service) = route.service {
        targets.push(RouteTarget {
            service,
            weight: WHOLE_WEIGHT,
        });
        return Ok(targets);
    }
    for target in route.weighted_services.unwrap_or_default() {
        targets.push(RouteTarget {
            service: target.service,
            weight: target.weight,
        });
    }
    match targets.is_empty() {
        true => Err(ManifestError::NoService { route: route.name }),
        false => Ok(targets),
    }
}
