//! Decoding of a manifest that has not been sent yet, with all that is missing or not valid in it.

use super::{ip_of, port_of, ManifestError, UNREPEATABLE_TYPE};
use quetzalhill_core::relay::draft::{
    DraftField, LimitDraft, RouteDraft, RouteKind, RoutesDraft, ServiceDraft, TargetDraft,
};
use serde::de::{Deserializer, Error as DeserializeError};
use serde::Deserialize;
use serde_json::Value;
use std::time::Duration;

/// Largest manifest that is decoded as a draft, in bytes: a page of the platform's store holds at most 1 MB.
pub const MANIFEST_MAX_BYTES: usize = 1_000_000;

/// Kind of requests that may run several times.
pub(super) const REPEATABLE_TYPE: &str = "idempotent";

/// Kind of requests with long answers.
pub(super) const DOWNLOAD_TYPE: &str = "download";

/// Value of `tls` if a service does not state it.
const DEFAULT_TLS: &str = "false";

// Where `manifest::decode` refuses null or a missing field, these types do too, or the check of the draft reports it.
// Fields that only the platform interprets are kept as `Value`, whatever their type.

#[derive(Debug, Deserialize)]
struct ManifestBody {
    version: Option<u64>,
    routes: Vec<RouteBody>,
    #[serde(default)]
    services: Vec<ServiceBody>,
    limits: Option<LimitsBody>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteBody {
    name: Option<String>,
    host: Option<String>,
    prefix: Option<String>,
    route_type: Option<String>,
    service: Option<String>,
    weighted_services: Option<Vec<TargetBody>>,
    timeout_ms: Option<u64>,
    target_latency_ms: Option<u64>,
    priority: Option<u64>,
    max_attempts: Option<Value>,
}

#[derive(Debug, Deserialize)]
struct TargetBody {
    service: String,
    weight: u32,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceBody {
    name: Option<String>,
    health_path: Option<Value>,
    max_conns: Option<Value>,
    protocol: Option<Value>,
    tls: Option<Value>,
    #[serde(default, rename = "coldStartS", deserialize_with = "seconds")]
    cold_start: Duration,
    #[serde(default)]
    cold_per_s: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsBody {
    max_header_bytes: Option<Value>,
    max_body_bytes: Option<Value>,
    header_timeout_ms: Option<Value>,
    idle_timeout_ms: Option<u64>,
}

fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let stated = Option::<f64>::deserialize(deserializer)?;
    Duration::try_from_secs_f64(stated.unwrap_or_default()).map_err(D::Error::custom)
}

/// Decodes a manifest as a draft. What the decoding of [`super::decode`] refuses is refused too, except for values that
/// [`findings`](quetzalhill_core::relay::draft::check::findings) reports.
///
/// # Errors
///
/// Returns the first error: the body is not JSON, is nested too deeply, or a value has another type than the field.
pub fn decode_draft(value: &[u8]) -> Result<RoutesDraft, ManifestError> {
    // The typed decoding below skips unknown fields without a look at their depth and numbers.
    serde_json::from_slice::<Value>(value).map_err(ManifestError::Body)?;
    let body: ManifestBody = serde_json::from_slice(value).map_err(ManifestError::Body)?;
    Ok(RoutesDraft {
        revision: body.version,
        routes: body.routes.into_iter().map(route_of).collect(),
        services: body.services.into_iter().map(service_of).collect(),
        limits: limits_of(body.limits.unwrap_or_default()),
    })
}

fn route_of(route: RouteBody) -> RouteDraft {
    RouteDraft {
        name: route.name.unwrap_or_default(),
        address: field_of(route.host, ip_of),
        port: field_of(route.prefix, port_of),
        kind: field_of(route.route_type, kind_of),
        service: route.service,
        targets: route.weighted_services.map(targets_of),
        timeout: route.timeout_ms.map(Duration::from_millis),
        target_latency: route.target_latency_ms.map(Duration::from_millis),
        priority: route.priority,
        attempts: encoded(route.max_attempts),
    }
}

fn field_of<T>(stated: Option<String>, parse: fn(&str) -> Option<T>) -> DraftField<T> {
    let Some(text) = stated else {
        return DraftField::Missing;
    };
    match parse(&text) {
        Some(value) => DraftField::Valid(value),
        None => DraftField::Invalid(text),
    }
}

fn kind_of(name: &str) -> Option<RouteKind> {
    match name {
        REPEATABLE_TYPE => Some(RouteKind::Idempotent),
        UNREPEATABLE_TYPE => Some(RouteKind::Unrepeatable),
        DOWNLOAD_TYPE => Some(RouteKind::Download),
        _ => None,
    }
}

fn targets_of(targets: Vec<TargetBody>) -> Vec<TargetDraft> {
    let drafts = targets.into_iter().map(|target| TargetDraft {
        service: target.service,
        weight: target.weight,
    });
    drafts.collect()
}

fn service_of(service: ServiceBody) -> ServiceDraft {
    ServiceDraft {
        name: service.name.unwrap_or_default(),
        health_path: encoded(service.health_path),
        connections: encoded(service.max_conns),
        protocol: encoded(service.protocol),
        tls: encoded(service.tls).unwrap_or_else(|| DEFAULT_TLS.into()),
        cold_start: service.cold_start,
        cold_rate: service.cold_per_s,
    }
}

fn limits_of(limits: LimitsBody) -> LimitDraft {
    LimitDraft {
        header_size: encoded(limits.max_header_bytes),
        body_size: encoded(limits.max_body_bytes),
        header_timeout: encoded(limits.header_timeout_ms),
        idle_timeout: limits.idle_timeout_ms.map(Duration::from_millis),
    }
}

fn encoded(value: Option<Value>) -> Option<String> {
    value.map(|value| value.to_string())
}
