//! Decoding of the manifest, in which the platform's operators define routes and limits.

use quetzalhill_core::relay::routes::{RouteSet, RouteTarget, TargetList};
use serde::Deserialize;
use std::collections::HashMap;
use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Key of the store that holds the newest manifest.
pub const MANIFEST_KEY: &str = "op/config";

/// Weight of the service of a route that is not split.
const SINGLE_SERVICE_WEIGHT: u32 = 1;

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
    /// IPv4 address to which callers send, despite the field's name.
    host: String,
    /// Port to which callers send, between slashes such as `/8080/`, despite the field's name.
    prefix: String,
    service: Option<String>,
    /// Services of a split route, used if `service` is absent.
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
    /// Time without packets after which the state of a flow may be discarded, in milliseconds.
    idle_timeout_ms: u64,
}

/// Why a manifest is rejected.
#[derive(Debug)]
pub enum ManifestError {
    /// The body is not JSON, or a field is missing or has another type.
    Body(serde_json::Error),
    /// A route has a `host` that is no IPv4 address or a `prefix` that is no port.
    Address {
        /// Name of the route.
        route: String,
    },
    /// A route has neither a `service` nor an entry in `weightedServices`.
    NoService {
        /// Name of the route.
        route: String,
    },
}

impl Display for ManifestError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        match self {
            ManifestError::Body(error) => write!(f, "the manifest cannot be decoded: {error}"),
            ManifestError::Address { route } => {
                write!(f, "route {route} has no valid IPv4 address and port")
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
/// Returns the first error; one invalid route makes the whole manifest invalid.
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
            weight: SINGLE_SERVICE_WEIGHT,
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
