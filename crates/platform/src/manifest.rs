//! Decoding of the manifest, in which the platform's operators define routes and limits.

pub mod describe;
pub mod draft;

use quetzalhill_core::relay::routes::{RouteSet, RouteTarget, TargetList};
use quetzalhill_core::relay::terms::FlowTerms;
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::error::Error;
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Key of the store that holds the newest manifest.
pub const MANIFEST_KEY: &str = "op/config";

/// Weight of the service of a route that is not split.
const SINGLE_SERVICE_WEIGHT: u32 = 1;

/// Kind of requests that run once at most.
const UNREPEATABLE_TYPE: &str = "non_idempotent";

#[derive(Debug, Deserialize)]
struct ManifestBody {
    version: u64,
    routes: Vec<RouteBody>,
    #[serde(default)]
    services: Vec<ServiceBody>,
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
    /// Kind of the requests.
    route_type: Option<String>,
    /// Urgency of the requests; 0 is the highest.
    priority: Option<u64>,
    /// Time within which a request should be answered, in milliseconds.
    target_latency_ms: Option<u64>,
    /// Time after which a caller gives a request up, in milliseconds.
    timeout_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceBody {
    name: String,
    /// Requests a second that an upstream bears while it is cold; 0 or absent if there is no limit.
    #[serde(default)]
    cold_per_s: f64,
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
    let mut terms = HashMap::with_capacity(body.routes.len());
    let mut unrepeatable = HashSet::new();
    for route in body.routes {
        let Some(address) = address_of(&route) else {
            return Err(ManifestError::Address { route: route.name });
        };
        terms.insert(address, terms_of(&route));
        // The last route of an address counts.
        match route.route_type.as_deref() == Some(UNREPEATABLE_TYPE) {
            true => unrepeatable.insert(address),
            false => unrepeatable.remove(&address),
        };
        by_address.insert(address, targets_of(route)?);
    }
    Ok(RouteSet {
        revision: body.version,
        by_address,
        terms,
        unrepeatable,
        cold_rates: cold_rates_of(body.services),
        idle_timeout: Duration::from_millis(body.limits.idle_timeout_ms),
    })
}

fn address_of(route: &RouteBody) -> Option<SocketAddrV4> {
    Some(SocketAddrV4::new(
        ip_of(&route.host)?,
        port_of(&route.prefix)?,
    ))
}

fn ip_of(host: &str) -> Option<Ipv4Addr> {
    host.parse().ok()
}

fn port_of(prefix: &str) -> Option<u16> {
    prefix.trim_matches('/').parse().ok()
}

/// Returns the requirements of a route; what it does not state keeps its default.
fn terms_of(route: &RouteBody) -> FlowTerms {
    let stated = FlowTerms::default();
    let priority = route.priority.unwrap_or(u64::MAX);
    FlowTerms {
        priority: u8::try_from(priority)
            .unwrap_or(u8::MAX)
            .min(FlowTerms::LOWEST_PRIORITY),
        target: route
            .target_latency_ms
            .map_or(stated.target, Duration::from_millis),
        timeout: route
            .timeout_ms
            .map_or(stated.timeout, Duration::from_millis),
    }
}

fn cold_rates_of(services: Vec<ServiceBody>) -> HashMap<String, f64> {
    let mut rates = HashMap::new();
    for service in services {
        if service.cold_per_s > 0.0 {
            rates.insert(service.name, service.cold_per_s);
        }
    }
    rates
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
