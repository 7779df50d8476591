//! Names, units and allowed values of the manifest's fields, for reports on a draft.

use super::draft::{DOWNLOAD_TYPE, REPEATABLE_TYPE};
use super::UNREPEATABLE_TYPE;
use quetzalhill_core::relay::draft::check::{FindingKind, IDLE_MAX};
use quetzalhill_core::relay::draft::{DraftItem, DraftKey, DraftValue, RouteKind};
use serde_json::{json, Value};
use std::time::Duration;

/// Returns the name of the field that holds the value `key`.
pub fn field_name(key: DraftKey) -> &'static str {
    match key {
        DraftKey::Revision => "version",
        DraftKey::Name => "name",
        DraftKey::Address => "host",
        DraftKey::Port => "prefix",
        DraftKey::Kind => "routeType",
        DraftKey::Service => "service",
        DraftKey::Targets => "weightedServices",
        DraftKey::Timeout => "timeoutMs",
        DraftKey::TargetLatency => "targetLatencyMs",
        DraftKey::Priority => "priority",
        DraftKey::Attempts => "maxAttempts",
        DraftKey::HealthPath => "healthPath",
        DraftKey::Connections => "maxConns",
        DraftKey::Protocol => "protocol",
        DraftKey::Tls => "tls",
        DraftKey::ColdStart => "coldStartS",
        DraftKey::ColdRate => "coldPerS",
        DraftKey::HeaderSize => "maxHeaderBytes",
        DraftKey::BodySize => "maxBodyBytes",
        DraftKey::HeaderTimeout => "headerTimeoutMs",
        DraftKey::IdleTimeout => "idleTimeoutMs",
    }
}

/// Returns the name of a kind of route.
pub fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => REPEATABLE_TYPE,
        RouteKind::Unrepeatable => UNREPEATABLE_TYPE,
        RouteKind::Download => DOWNLOAD_TYPE,
    }
}

/// Encodes a value as the manifest states it in the field of `key`, in the field's unit. An absent value is null.
pub fn encode_value(key: DraftKey, value: &DraftValue) -> Value {
    match value {
        DraftValue::Absent => Value::Null,
        DraftValue::Text(text) => json!(text),
        DraftValue::Number(number) => json!(number),
        DraftValue::Rate(rate) => json!(rate),
        DraftValue::Time(time) if key == DraftKey::ColdStart => json!(time.as_secs_f64()),
        DraftValue::Time(time) => json!(millis(*time)),
        DraftValue::Port(port) => json!(format!("/{port}/")),
        DraftValue::Socket(address) => json!(address.to_string()),
        DraftValue::Kind(kind) => json!(kind_name(*kind)),
        DraftValue::Targets(targets) => {
            let list = targets
                .iter()
                .map(|target| json!({ "service": target.service, "weight": target.weight }));
            Value::Array(list.collect())
        }
        DraftValue::Encoded(text) => {
            serde_json::from_str(text).unwrap_or_else(|_| json!(text.as_str()))
        }
    }
}

/// Returns what the manifest may state in place of the value of a finding.
pub fn allowed_values(kind: &FindingKind) -> String {
    match kind {
        FindingKind::NoName => "a name".into(),
        FindingKind::NameTaken => "a name that no other item of this list has".into(),
        FindingKind::Revision { in_force: 0 } => "a whole number above 0".into(),
        FindingKind::Revision { in_force } => {
            format!("a whole number above {in_force}, the version in force")
        }
        FindingKind::Address => "an IPv4 address such as 198.18.0.1".into(),
        FindingKind::Port => "a port from 1 to 65535 between slashes, such as /8080/".into(),
        FindingKind::Hidden { by } => {
            format!(
                "an address and port that no later route has, as {} does",
                item_label(by)
            )
        }
        FindingKind::RouteKind => {
            format!("{REPEATABLE_TYPE}, {UNREPEATABLE_TYPE} or {DOWNLOAD_TYPE}")
        }
        FindingKind::NoService => "the name of a service, here or in weightedServices".into(),
        FindingKind::UnknownService => "a service that is listed under services".into(),
        FindingKind::UnusedTargets => {
            "either service or weightedServices; with both, service takes all flows".into()
        }
        FindingKind::NoWeight => "at least one weight above 0".into(),
        FindingKind::ZeroWeight { service } => {
            format!("a weight above 0; {service:?} gets no flows")
        }
        FindingKind::MixedTls { services: [a, b] } => {
            format!("services with the same tls, unlike {a:?} and {b:?}")
        }
        FindingKind::MixedProtocol { services: [a, b] } => {
            format!("services with the same protocol, unlike {a:?} and {b:?}")
        }
        FindingKind::Timeout => "above 0".into(),
        FindingKind::TargetLatency { timeout } => {
            format!("below timeoutMs, which is {}", millis(*timeout))
        }
        FindingKind::UnusedService => "a service that a route names".into(),
        FindingKind::ColdRate => "0 or above".into(),
        FindingKind::RateWithoutStart => "above 0 with coldPerS above 0".into(),
        FindingKind::StartWithoutRate => {
            "above 0 with coldStartS above 0; without it cold upstreams have no limit".into()
        }
        FindingKind::IdleTimeout => format!("1 to {}", millis(IDLE_MAX)),
    }
}

/// Returns how reports name an item: by its name, or by its number in its list, counted from 1, if it has none.
pub fn item_label(item: &DraftItem) -> String {
    match item {
        DraftItem::Whole => "manifest".into(),
        DraftItem::Route { name, position } if name.is_empty() => {
            format!("route {}", position + 1)
        }
        DraftItem::Route { name, .. } => format!("route {name:?}"),
        DraftItem::Service { name, position } if name.is_empty() => {
            format!("service {}", position + 1)
        }
        DraftItem::Service { name, .. } => format!("service {name:?}"),
        DraftItem::Limits => "limits".into(),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
