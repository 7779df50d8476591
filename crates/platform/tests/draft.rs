//! Decoding of a manifest as a draft, and the names in reports.

use proptest::prelude::*;
use proptest::sample::{select, Index};
use quetzalhill_core::relay::draft::check::findings;
use quetzalhill_core::relay::draft::{
    DraftField, DraftKey, DraftValue, LimitDraft, RouteDraft, RouteKind, RoutesDraft, ServiceDraft,
    TargetDraft,
};
use quetzalhill_platform::manifest::decode;
use quetzalhill_platform::manifest::describe::{encode_value, field_name};
use quetzalhill_platform::manifest::draft::decode_draft;
use quetzalhill_platform::standin::draft::manifest_draft;
use std::cell::Cell;
use std::net::Ipv4Addr;
use std::time::Duration;
use yare::parameterized;

const MANIFEST: &str = r#"{"version":7,"routes":[
    {"name":"one","host":"198.18.0.1","prefix":"/8080/","service":"huvo11a","priority":1,
     "routeType":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"maxAttempts":3},
    {"name":"two","host":"198.18.0.1","prefix":"/8443/","routeType":"download","weightedServices":[
        {"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}]}],
    "services":[{"name":"huvo11a","healthPath":"/health","maxConns":40,"protocol":"x","tls":true,
     "coldStartS":2.5,"coldPerS":4.0},{"name":"wuno96b","tls":true,"protocol":"x"}],
    "limits":{"idleTimeoutMs":15000,"maxHeaderBytes":16384,"maxBodyBytes":1,"headerTimeoutMs":2}}"#;

/// Guards against a field that is decoded into the wrong value or unit.
#[test]
fn draft_is_decoded() {
    let draft = decode_draft(MANIFEST.as_bytes()).expect("valid");
    let one = RouteDraft {
        name: "one".into(),
        address: DraftField::Valid(Ipv4Addr::new(198, 18, 0, 1)),
        port: DraftField::Valid(8080),
        kind: DraftField::Valid(RouteKind::Unrepeatable),
        service: Some("huvo11a".into()),
        targets: None,
        timeout: Some(Duration::from_millis(1_500)),
        target_latency: Some(Duration::from_millis(300)),
        priority: Some(1),
        attempts: Some("3".into()),
    };
    let target = |service: &str, weight| TargetDraft {
        service: service.into(),
        weight,
    };
    let two = RouteDraft {
        name: "two".into(),
        address: DraftField::Valid(Ipv4Addr::new(198, 18, 0, 1)),
        port: DraftField::Valid(8443),
        kind: DraftField::Valid(RouteKind::Download),
        targets: Some(vec![target("huvo11a", 90), target("wuno96b", 10)]),
        ..RouteDraft::default()
    };
    let cold = ServiceDraft {
        name: "huvo11a".into(),
        health_path: Some("\"/health\"".into()),
        connections: Some("40".into()),
        protocol: Some("\"x\"".into()),
        tls: "true".into(),
        cold_start: Duration::from_millis(2_500),
        cold_rate: 4.0,
    };
    let plain = ServiceDraft {
        name: "wuno96b".into(),
        health_path: None,
        connections: None,
        protocol: Some("\"x\"".into()),
        tls: "true".into(),
        cold_start: Duration::ZERO,
        cold_rate: 0.0,
    };
    let expected = RoutesDraft {
        revision: Some(7),
        routes: vec![one, two],
        services: vec![cold, plain],
        limits: LimitDraft {
            header_size: Some("16384".into()),
            body_size: Some("1".into()),
            header_timeout: Some("2".into()),
            idle_timeout: Some(Duration::from_secs(15)),
        },
    };
    assert_eq!(draft, expected);
    assert_eq!(findings(&draft, 6), []);
}

/// Guards against a check that ends at a missing or odd value that it is to report.
#[parameterized(
    version = { r#""version":7,"#, "" },
    route_name = { r#""name":"one","#, "" },
    host = { r#""host":"198.18.0.1","prefix":"/8080/""#, r#""prefix":"/8080/""# },
    host_name = { r#""198.18.0.1","prefix":"/8080/""#, r#""feed.example","prefix":"/8080/""# },
    prefix = { r#""prefix":"/8080/","#, "" },
    port_too_large = { "/8080/", "/65536/" },
    route_type = { "non_idempotent", "upload" },
    service = { r#""service":"huvo11a","priority""#, r#""priority""# },
    service_name = { r#""name":"wuno96b","#, "" },
    idle_timeout = { r#""idleTimeoutMs":15000,"#, "" },
    version_null = { r#""version":7"#, r#""version":null"# },
)]
fn missing_value_is_a_finding(from: &str, to: &str) {
    let body = MANIFEST.replacen(from, to, 1);
    assert_ne!(body, MANIFEST);
    let draft = decode_draft(body.as_bytes()).expect("decoded");
    assert_ne!(findings(&draft, 0), []);
}

/// Guards against a value that entries refuse and that the check takes for one that is left out.
#[parameterized(
    cold_rate_null = { r#"{"name":"wuno96b","#, r#"{"name":"wuno96b","coldPerS":null,"# },
    services_null = { r#""services":["#, r#""services":null,"x":["# },
    weight_null = { r#""weight":90"#, r#""weight":null"# },
    weight_too_large = { r#""weight":90"#, r#""weight":4294967296"# },
    timeout_text = { r#""timeoutMs":1500"#, r#""timeoutMs":"1500""# },
    field_twice = { r#""priority":1"#, r#""priority":1,"priority":2"# },
    routes_missing = { r#""routes""#, r#""roads""# },
)]
fn value_that_entries_refuse_is_refused(from: &str, to: &str) {
    let body = MANIFEST.replacen(from, to, 1);
    assert_ne!(body, MANIFEST);
    decode(body.as_bytes()).expect_err("entries refuse it");
    decode_draft(body.as_bytes()).expect_err("so does the check");
}

/// Guards against an operator who is told of no limits when the whole object is missing.
#[test]
fn missing_limits_are_a_finding() {
    let draft = decode_draft(br#"{"version":1,"routes":[]}"#).expect("decoded");
    assert_eq!(findings(&draft, 0).len(), 1);
}

/// Guards against a report that shows a value in another unit than the manifest.
#[test]
fn values_are_shown_as_the_manifest_states_them() {
    let time = DraftValue::Time(Duration::from_millis(2_500));
    assert_eq!(encode_value(DraftKey::Timeout, &time), 2_500);
    assert_eq!(encode_value(DraftKey::ColdStart, &time), 2.5);
    assert_eq!(encode_value(DraftKey::Port, &DraftValue::Port(80)), "/80/");
    let kind = DraftValue::Kind(RouteKind::Unrepeatable);
    assert_eq!(encode_value(DraftKey::Kind, &kind), "non_idempotent");
    assert_eq!(field_name(DraftKey::Targets), "weightedServices");
}

fn name() -> impl Strategy<Value = String> {
    select(vec!["a", "a", "a", "b", "b", "c", ""]).prop_map(String::from)
}

fn millis() -> impl Strategy<Value = Option<Duration>> {
    let millis = select(vec![0, 1, 250, 1_500, 60_000, 60_001, u64::MAX]);
    proptest::option::of(millis.prop_map(Duration::from_millis))
}

fn route() -> impl Strategy<Value = RouteDraft> {
    let target = (name(), 0..3_u32).prop_map(|(service, weight)| TargetDraft { service, weight });
    let host = select(vec![
        "198.18.0.1",
        "198.18.0.1",
        "198.18.0.2",
        "1.2.3.256",
        "",
    ]);
    (
        "[rst]{0,2}",
        host,
        select(vec![1_u16, 2, 3, 4, 5, 6, 0, 80, 8080, u16::MAX]),
        proptest::option::weighted(0.7, name()),
        proptest::option::weighted(0.3, proptest::collection::vec(target, 0..3)),
        millis(),
        millis(),
        proptest::option::of(any::<u64>()),
    )
        .prop_map(
            |(name, host, port, service, targets, timeout, target_latency, priority)| RouteDraft {
                name,
                address: match host.parse() {
                    Ok(ip) => DraftField::Valid(ip),
                    Err(_) => DraftField::Invalid(host.into()),
                },
                port: DraftField::Valid(port),
                kind: DraftField::Valid(RouteKind::Idempotent),
                service,
                targets,
                timeout,
                target_latency,
                priority,
                attempts: None,
            },
        )
}

fn service() -> impl Strategy<Value = ServiceDraft> {
    let rate = select(vec![0.0, 0.0, 0.0, 0.0, 2.5, -1.0]);
    (name(), select(vec![0, 0, 0, 0, 0, 2_500]), rate).prop_map(|(name, start, cold_rate)| {
        ServiceDraft {
            name,
            health_path: None,
            connections: Some("40".into()),
            protocol: None,
            tls: "false".into(),
            cold_start: Duration::from_millis(start),
            cold_rate,
        }
    })
}

fn draft() -> impl Strategy<Value = RoutesDraft> {
    (
        proptest::option::weighted(0.95, 0..20_u64),
        proptest::collection::vec(route(), 0..4),
        proptest::collection::vec(service(), 0..3),
        proptest::option::weighted(0.95, select(vec![15_000_u64, 60_000, 60_001, 0])),
    )
        .prop_map(|(revision, routes, services, idle)| RoutesDraft {
            revision,
            routes,
            services,
            limits: LimitDraft {
                idle_timeout: idle.map(Duration::from_millis),
                ..LimitDraft::default()
            },
        })
}

/// Guards against a manifest that passes the check and is then refused by the entries. At least one of the generated
/// manifests in 100 must pass the check, so that the property is not empty.
#[test]
fn draft_without_findings_is_decoded_by_entries() {
    const CASES: u32 = 4_000;
    let (sound, routed) = (Cell::new(0), Cell::new(0));
    let config = ProptestConfig::with_cases(CASES);
    proptest!(config, |(draft in draft())| {
        let body = manifest_draft(&draft);
        let decoded = decode_draft(&body).expect("a draft that was encoded");
        prop_assert_eq!(&decoded, &draft);
        if findings(&decoded, 0).is_empty() {
            let routes = decode(&body);
            prop_assert!(routes.is_ok(), "{routes:?}");
            prop_assert_eq!(routes.expect("valid").by_address.len(), draft.routes.len());
            sound.set(sound.get() + 1);
            routed.set(routed.get() + usize::from(!draft.routes.is_empty()));
        }
    });
    let counts = (sound.get(), routed.get());
    assert!(counts.0 * 100 >= CASES && counts.1 > 0, "{counts:?}");
}

/// Texts that replace a part of a valid manifest.
const ODD: [&str; 14] = [
    "null",
    "{}",
    "[]",
    "\"\"",
    "-1",
    "0",
    "1e999",
    "1e30",
    "99999999999999999999",
    "true",
    ",",
    "\u{0}",
    "\"name\":1,",
    "}",
];

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// Guards against a panic, and against a field whose odd value passes the check but not the entries.
    #[test]
    fn altered_manifest_is_decoded_or_found(at in any::<Index>(), odd in select(ODD.to_vec())) {
        // Splitting at structural characters replaces whole values, keys and separators.
        let mut parts: Vec<&str> = MANIFEST.split_inclusive([':', ',', '[', ']', '{', '}']).collect();
        let index = at.index(parts.len());
        let last = parts[index].chars().next_back().unwrap_or(' ');
        let altered = format!("{odd}{last}");
        parts[index] = &altered;
        let body = parts.concat();
        let Ok(draft) = decode_draft(body.as_bytes()) else {
            return Ok(());
        };
        if findings(&draft, 0).is_empty() {
            prop_assert!(decode(body.as_bytes()).is_ok(), "{body}");
        }
    }

    /// Guards against a panic of the check.
    #[test]
    fn any_bytes_are_decoded_or_refused(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(draft) = decode_draft(&body) {
            findings(&draft, 0);
        }
    }
}
