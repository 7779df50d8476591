//! Encoding of drafts of the manifest, which tests of the check write.

use crate::manifest::describe::{encode_value, field_name, kind_name};
use quetzalhill_core::relay::draft::{
    DraftField, DraftKey, DraftValue, LimitDraft, RouteDraft, RoutesDraft, ServiceDraft,
};
use serde_json::{json, Map, Value};
use std::time::Duration;

/// Encodes a draft, also one that is not valid. An empty name and a value that is missing are left out.
pub fn manifest_draft(draft: &RoutesDraft) -> Vec<u8> {
    let mut body = Map::new();
    put(&mut body, DraftKey::Revision, number(draft.revision));
    body.insert("routes".into(), draft.routes.iter().map(route).collect());
    let services = draft.services.iter().map(service).collect();
    body.insert("services".into(), services);
    body.insert("limits".into(), limits(&draft.limits));
    Value::Object(body).to_string().into_bytes()
}

fn put(body: &mut Map<String, Value>, key: DraftKey, value: DraftValue) {
    if value == DraftValue::Absent {
        return;
    }
    body.insert(field_name(key).into(), encode_value(key, &value));
}

fn number(value: Option<u64>) -> DraftValue {
    value.map_or(DraftValue::Absent, DraftValue::Number)
}

fn time(value: Option<Duration>) -> DraftValue {
    value.map_or(DraftValue::Absent, DraftValue::Time)
}

fn encoded(value: &Option<String>) -> DraftValue {
    value
        .clone()
        .map_or(DraftValue::Absent, DraftValue::Encoded)
}

fn name(value: &str) -> DraftValue {
    match value {
        "" => DraftValue::Absent,
        value => DraftValue::Text(value.into()),
    }
}

fn field<T: Clone>(value: &DraftField<T>, encode: impl Fn(T) -> String) -> DraftValue {
    match value {
        DraftField::Missing => DraftValue::Absent,
        DraftField::Invalid(text) => DraftValue::Text(text.clone()),
        DraftField::Valid(value) => DraftValue::Text(encode(value.clone())),
    }
}

fn route(route: &RouteDraft) -> Value {
    let single = route.service.clone();
    let split = route.targets.clone();
    let mut body = Map::new();
    put(&mut body, DraftKey::Name, name(&route.name));
    let host = field(&route.address, |ip| ip.to_string());
    put(&mut body, DraftKey::Address, host);
    let prefix = field(&route.port, |port| format!("/{port}/"));
    put(&mut body, DraftKey::Port, prefix);
    let kind = field(&route.kind, |kind| kind_name(kind).into());
    put(&mut body, DraftKey::Kind, kind);
    let single = single.map_or(DraftValue::Absent, DraftValue::Text);
    put(&mut body, DraftKey::Service, single);
    let split = split.map_or(DraftValue::Absent, DraftValue::Targets);
    put(&mut body, DraftKey::Targets, split);
    put(&mut body, DraftKey::Timeout, time(route.timeout));
    put(
        &mut body,
        DraftKey::TargetLatency,
        time(route.target_latency),
    );
    put(&mut body, DraftKey::Priority, number(route.priority));
    put(&mut body, DraftKey::Attempts, encoded(&route.attempts));
    Value::Object(body)
}

fn service(service: &ServiceDraft) -> Value {
    let mut body = Map::new();
    put(&mut body, DraftKey::Name, name(&service.name));
    put(
        &mut body,
        DraftKey::HealthPath,
        encoded(&service.health_path),
    );
    put(
        &mut body,
        DraftKey::Connections,
        encoded(&service.connections),
    );
    put(&mut body, DraftKey::Protocol, encoded(&service.protocol));
    let tls = DraftValue::Encoded(service.tls.clone());
    put(&mut body, DraftKey::Tls, tls);
    let cold_start = DraftValue::Time(service.cold_start);
    put(&mut body, DraftKey::ColdStart, cold_start);
    put(
        &mut body,
        DraftKey::ColdRate,
        DraftValue::Rate(service.cold_rate),
    );
    Value::Object(body)
}

fn limits(limits: &LimitDraft) -> Value {
    let mut body = Map::new();
    put(
        &mut body,
        DraftKey::HeaderSize,
        encoded(&limits.header_size),
    );
    put(&mut body, DraftKey::BodySize, encoded(&limits.body_size));
    put(
        &mut body,
        DraftKey::HeaderTimeout,
        encoded(&limits.header_timeout),
    );
    put(&mut body, DraftKey::IdleTimeout, time(limits.idle_timeout));
    json!(body)
}
