//! Tests of the check of a draft and of its differences from the set of routes in force.

use quetzalhill_core::relay::draft::change::{changes, ChangeKind, DraftChange};
use quetzalhill_core::relay::draft::check::{findings, FindingKind, FindingSeverity};
use quetzalhill_core::relay::draft::{
    DraftField, DraftItem, DraftKey, DraftValue, LimitDraft, RouteDraft, RouteKind, RoutesDraft,
    ServiceDraft, TargetDraft,
};
use std::net::Ipv4Addr;
use std::time::Duration;
use yare::parameterized;

const IP: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);

fn service(name: &str) -> ServiceDraft {
    ServiceDraft {
        name: name.into(),
        health_path: None,
        connections: None,
        protocol: None,
        tls: "false".into(),
        cold_start: Duration::ZERO,
        cold_rate: 0.0,
    }
}

fn route(name: &str, port: u16) -> RouteDraft {
    RouteDraft {
        name: name.into(),
        address: DraftField::Valid(IP),
        port: DraftField::Valid(port),
        kind: DraftField::Valid(RouteKind::Idempotent),
        timeout: Some(Duration::from_millis(1_500)),
        target_latency: Some(Duration::from_millis(250)),
        ..RouteDraft::default()
    }
}

fn target(service: &str, weight: u32) -> TargetDraft {
    let service = service.into();
    TargetDraft { service, weight }
}

/// A draft without findings: a route with one service and a weighted one.
fn sound() -> RoutesDraft {
    let single = RouteDraft {
        service: Some("a".into()),
        ..route("single", 80)
    };
    let split = RouteDraft {
        targets: Some(vec![target("a", 90), target("b", 10)]),
        ..route("split", 81)
    };
    RoutesDraft {
        revision: Some(8),
        routes: vec![single, split],
        services: vec![service("a"), service("b")],
        limits: LimitDraft {
            idle_timeout: Some(Duration::from_secs(60)),
            ..LimitDraft::default()
        },
    }
}

fn single_item() -> DraftItem {
    route_item("single", 0)
}

fn route_item(name: &str, position: usize) -> DraftItem {
    let name = name.into();
    DraftItem::Route { name, position }
}

fn service_item(name: &str, position: usize) -> DraftItem {
    let name = name.into();
    DraftItem::Service { name, position }
}

fn weights(draft: &mut RoutesDraft, weights: [u32; 2]) {
    let targets = draft.routes[1].targets.as_mut().expect("targets");
    for (target, weight) in targets.iter_mut().zip(weights) {
        target.weight = weight;
    }
}

/// Guards against findings for a sound draft, whether or not a lower revision is in force.
#[test]
fn sound_draft_has_no_findings() {
    assert_eq!(findings(&sound(), 0), []);
    assert_eq!(findings(&sound(), 7), []);
}

/// Guards against a fault that is not found, and against a finding that names the wrong item or value or that is found
/// twice.
#[parameterized(
    route_no_name = { |d| d.routes[0].name.clear(), route_item("", 0), DraftKey::Name, DraftValue::Absent, FindingKind::NoName },
    service_no_name = { |d| d.services.push(service("")), service_item("", 2), DraftKey::Name, DraftValue::Absent, FindingKind::NoName },
    route_name_taken = { |d| d.routes[1].name = "single".into(), route_item("single", 1), DraftKey::Name, DraftValue::Text("single".into()), FindingKind::NameTaken },
    service_name_taken = { |d| d.services.push(service("a")), service_item("a", 2), DraftKey::Name, DraftValue::Text("a".into()), FindingKind::NameTaken },
    revision_missing = { |d| d.revision = None, DraftItem::Whole, DraftKey::Revision, DraftValue::Absent, FindingKind::Revision { in_force: 7 } },
    revision_zero = { |d| d.revision = Some(0), DraftItem::Whole, DraftKey::Revision, DraftValue::Number(0), FindingKind::Revision { in_force: 7 } },
    revision_equal = { |d| d.revision = Some(7), DraftItem::Whole, DraftKey::Revision, DraftValue::Number(7), FindingKind::Revision { in_force: 7 } },
    address_missing = { |d| d.routes[0].address = DraftField::Missing, single_item(), DraftKey::Address, DraftValue::Absent, FindingKind::Address },
    address_invalid = { |d| d.routes[0].address = DraftField::Invalid("1.2.3.256".into()), single_item(), DraftKey::Address, DraftValue::Text("1.2.3.256".into()), FindingKind::Address },
    port_missing = { |d| d.routes[0].port = DraftField::Missing, single_item(), DraftKey::Port, DraftValue::Absent, FindingKind::Port },
    port_invalid = { |d| d.routes[0].port = DraftField::Invalid("/65536/".into()), single_item(), DraftKey::Port, DraftValue::Text("/65536/".into()), FindingKind::Port },
    port_zero = { |d| d.routes[0].port = DraftField::Valid(0), single_item(), DraftKey::Port, DraftValue::Port(0), FindingKind::Port },
    hidden = { |d| d.routes[1].port = DraftField::Valid(80), single_item(), DraftKey::Address, DraftValue::Socket("198.18.0.1:80".parse().expect("address")), FindingKind::Hidden { by: route_item("split", 1) } },
    kind_unknown = { |d| d.routes[0].kind = DraftField::Invalid("upload".into()), single_item(), DraftKey::Kind, DraftValue::Text("upload".into()), FindingKind::RouteKind },
    no_service = { |d| d.routes[0].service = None, single_item(), DraftKey::Service, DraftValue::Absent, FindingKind::NoService },
    empty_service = { |d| d.routes[0].service = Some(String::new()), single_item(), DraftKey::Service, DraftValue::Text(String::new()), FindingKind::NoService },
    no_targets = { |d| { d.routes[0].service = None; d.routes[0].targets = Some(vec![]); }, single_item(), DraftKey::Service, DraftValue::Absent, FindingKind::NoService },
    unknown_service = { |d| d.routes[0].service = Some("c".into()), single_item(), DraftKey::Service, DraftValue::Text("c".into()), FindingKind::UnknownService },
    unknown_target = { |d| d.routes[1].targets = Some(vec![target("a", 1), target("b", 1), target("c", 1)]), route_item("split", 1), DraftKey::Targets, DraftValue::Text("c".into()), FindingKind::UnknownService },
    unused_targets = { |d| d.routes[0].targets = Some(vec![target("b", 1)]), single_item(), DraftKey::Targets, DraftValue::Targets(vec![target("b", 1)]), FindingKind::UnusedTargets },
    no_weight = { |d| weights(d, [0, 0]), route_item("split", 1), DraftKey::Targets, DraftValue::Targets(vec![target("a", 0), target("b", 0)]), FindingKind::NoWeight },
    zero_weight = { |d| weights(d, [90, 0]), route_item("split", 1), DraftKey::Targets, DraftValue::Number(0), FindingKind::ZeroWeight { service: "b".into() } },
    mixed_tls = { |d| d.services[1].tls = "true".into(), route_item("split", 1), DraftKey::Targets, DraftValue::Targets(vec![target("a", 90), target("b", 10)]), FindingKind::MixedTls { services: ["a".into(), "b".into()] } },
    mixed_protocol = { |d| d.services[1].protocol = Some("\"h2\"".into()), route_item("split", 1), DraftKey::Targets, DraftValue::Targets(vec![target("a", 90), target("b", 10)]), FindingKind::MixedProtocol { services: ["a".into(), "b".into()] } },
    timeout_zero = { |d| d.routes[0].timeout = Some(Duration::ZERO), single_item(), DraftKey::Timeout, DraftValue::Time(Duration::ZERO), FindingKind::Timeout },
    target_equal = { |d| d.routes[0].target_latency = d.routes[0].timeout, single_item(), DraftKey::TargetLatency, DraftValue::Time(Duration::from_millis(1_500)), FindingKind::TargetLatency { timeout: Duration::from_millis(1_500) } },
    target_above = { |d| d.routes[0].target_latency = Some(Duration::from_secs(2)), single_item(), DraftKey::TargetLatency, DraftValue::Time(Duration::from_secs(2)), FindingKind::TargetLatency { timeout: Duration::from_millis(1_500) } },
    unused_service = { |d| d.services.push(service("c")), service_item("c", 2), DraftKey::Name, DraftValue::Text("c".into()), FindingKind::UnusedService },
    cold_rate_negative = { |d| d.services[0].cold_rate = -1.0, service_item("a", 0), DraftKey::ColdRate, DraftValue::Rate(-1.0), FindingKind::ColdRate },
    rate_without_start = { |d| d.services[0].cold_rate = 2.5, service_item("a", 0), DraftKey::ColdStart, DraftValue::Time(Duration::ZERO), FindingKind::RateWithoutStart },
    start_without_rate = { |d| d.services[0].cold_start = Duration::from_secs(2), service_item("a", 0), DraftKey::ColdRate, DraftValue::Rate(0.0), FindingKind::StartWithoutRate },
    idle_missing = { |d| d.limits.idle_timeout = None, DraftItem::Limits, DraftKey::IdleTimeout, DraftValue::Absent, FindingKind::IdleTimeout },
    idle_zero = { |d| d.limits.idle_timeout = Some(Duration::ZERO), DraftItem::Limits, DraftKey::IdleTimeout, DraftValue::Time(Duration::ZERO), FindingKind::IdleTimeout },
    idle_above = { |d| d.limits.idle_timeout = Some(Duration::from_millis(60_001)), DraftItem::Limits, DraftKey::IdleTimeout, DraftValue::Time(Duration::from_millis(60_001)), FindingKind::IdleTimeout },
)]
fn fault_is_found(
    spoil: fn(&mut RoutesDraft),
    item: DraftItem,
    key: DraftKey,
    value: DraftValue,
    kind: FindingKind,
) {
    let mut draft = sound();
    spoil(&mut draft);
    let found = findings(&draft, 7);
    assert_eq!(found.len(), 1, "{found:?}");
    let finding = &found[0];
    assert_eq!(
        (&finding.item, finding.key, &finding.value, &finding.kind),
        (&item, key, &value, &kind)
    );
}

/// Guards against findings for values that a route or service may leave out, or that contradict nothing.
#[parameterized(
    no_kind = { |d| d.routes[0].kind = DraftField::Missing },
    no_times = { |d| (d.routes[0].timeout, d.routes[0].target_latency) = (None, None) },
    target_alone = { |d| d.routes[0].timeout = None },
    target_just_below = { |d| d.routes[0].target_latency = Some(Duration::from_millis(1_499)) },
    cold_limit = { |d| (d.services[0].cold_rate, d.services[0].cold_start) = (2.5, Duration::from_secs(2)) },
    lowest_idle = { |d| d.limits.idle_timeout = Some(Duration::from_millis(1)) },
    same_port_elsewhere = { |d| (d.routes[1].port, d.routes[1].address) = (DraftField::Valid(80), DraftField::Valid(Ipv4Addr::new(198, 18, 0, 2))) },
    lone_service_with_tls = { |d| (d.services[1].tls, d.routes[1].targets) = ("true".into(), Some(vec![target("b", 1)])) },
)]
fn allowed_values_are_not_found(alter: fn(&mut RoutesDraft)) {
    let mut draft = sound();
    alter(&mut draft);
    assert_eq!(findings(&draft, 7), []);
}

/// Guards against a note about a working draft that is reported as an error.
#[test]
fn severities() {
    assert_eq!(
        FindingKind::UnusedService.severity(),
        FindingSeverity::Warning
    );
    assert_eq!(
        FindingKind::StartWithoutRate.severity(),
        FindingSeverity::Warning
    );
    let service = "b".into();
    assert_eq!(
        FindingKind::ZeroWeight { service }.severity(),
        FindingSeverity::Warning
    );
    assert_eq!(
        FindingKind::RateWithoutStart.severity(),
        FindingSeverity::Error
    );
    assert_eq!(FindingKind::Address.severity(), FindingSeverity::Error);
}

/// Guards against a report whose order depends on that of the checks: items come by kind and name, values by key.
#[test]
fn findings_are_sorted() {
    let mut draft = sound();
    draft.revision = None;
    draft.limits.idle_timeout = None;
    draft.services.push(service("c"));
    draft.routes.swap(0, 1);
    draft.routes[0].timeout = Some(Duration::ZERO);
    draft.routes[0].address = DraftField::Missing;
    draft.routes[1].service = None;
    let order: Vec<_> = findings(&draft, 0)
        .into_iter()
        .map(|finding| (finding.item, finding.key))
        .collect();
    assert_eq!(
        order,
        [
            (DraftItem::Whole, DraftKey::Revision),
            (route_item("single", 1), DraftKey::Service),
            (route_item("split", 0), DraftKey::Address),
            (route_item("split", 0), DraftKey::Timeout),
            (service_item("c", 2), DraftKey::Name),
            (DraftItem::Limits, DraftKey::IdleTimeout),
        ]
    );
}

fn change(item: DraftItem, kind: ChangeKind) -> DraftChange {
    DraftChange { item, kind }
}

fn changed(item: DraftItem, key: DraftKey, old: DraftValue, new: DraftValue) -> DraftChange {
    change(item, ChangeKind::Changed { key, old, new })
}

fn withdrawn(name: &str, position: usize, address: &str) -> DraftChange {
    let address = address.parse().expect("address");
    change(
        route_item(name, position),
        ChangeKind::Withdrawn { address },
    )
}

/// Guards against differences between equal sets, also if their items are in another order.
#[test]
fn equal_sets_do_not_differ() {
    let mut new = sound();
    new.routes.reverse();
    new.services.reverse();
    assert_eq!(changes(&sound(), &new), []);
}

/// Guards against a difference that is missing, or reported with the wrong values.
#[parameterized(
    revision = { |d| d.revision = Some(9), vec![changed(DraftItem::Whole, DraftKey::Revision, DraftValue::Number(8), DraftValue::Number(9))] },
    route_added = { |d| d.routes.push(RouteDraft { service: Some("b".into()), ..route("new", 82) }), vec![change(route_item("new", 2), ChangeKind::Added)] },
    route_removed = { |d| drop(d.routes.remove(0)), vec![change(single_item(), ChangeKind::Removed), withdrawn("single", 0, "198.18.0.1:80")] },
    route_renamed = { |d| d.routes[0].name = "other".into(), vec![changed(route_item("other", 0), DraftKey::Name, DraftValue::Text("single".into()), DraftValue::Text("other".into()))] },
    route_priority = { |d| d.routes[0].priority = Some(2), vec![changed(single_item(), DraftKey::Priority, DraftValue::Absent, DraftValue::Number(2))] },
    route_port = { |d| d.routes[0].port = DraftField::Valid(90), vec![changed(single_item(), DraftKey::Port, DraftValue::Port(80), DraftValue::Port(90)), withdrawn("single", 0, "198.18.0.1:80")] },
    route_kind = { |d| d.routes[0].kind = DraftField::Valid(RouteKind::Unrepeatable), vec![changed(single_item(), DraftKey::Kind, DraftValue::Kind(RouteKind::Idempotent), DraftValue::Kind(RouteKind::Unrepeatable))] },
    route_moved = { |d| d.routes[0].service = Some("b".into()), vec![
        changed(single_item(), DraftKey::Service, DraftValue::Text("a".into()), DraftValue::Text("b".into())),
        change(single_item(), ChangeKind::Moved { from: vec!["a".into()], to: vec!["b".into()] }),
    ] },
    weight_to_zero = { |d| weights(d, [90, 0]), vec![
        changed(route_item("split", 1), DraftKey::Targets, DraftValue::Targets(vec![target("a", 90), target("b", 10)]), DraftValue::Targets(vec![target("a", 90), target("b", 0)])),
        change(route_item("split", 1), ChangeKind::Moved { from: vec!["a".into(), "b".into()], to: vec!["a".into()] }),
    ] },
    weight = { |d| weights(d, [80, 20]), vec![changed(route_item("split", 1), DraftKey::Targets, DraftValue::Targets(vec![target("a", 90), target("b", 10)]), DraftValue::Targets(vec![target("a", 80), target("b", 20)]))] },
    service_added = { |d| d.services.push(service("c")), vec![change(service_item("c", 2), ChangeKind::Added)] },
    service_removed = { |d| drop(d.services.remove(0)), vec![change(service_item("a", 0), ChangeKind::Removed)] },
    service_rate = { |d| d.services[1].cold_rate = 2.5, vec![changed(service_item("b", 1), DraftKey::ColdRate, DraftValue::Rate(0.0), DraftValue::Rate(2.5))] },
    limit = { |d| d.limits.idle_timeout = Some(Duration::from_secs(15)), vec![changed(DraftItem::Limits, DraftKey::IdleTimeout, DraftValue::Time(Duration::from_secs(60)), DraftValue::Time(Duration::from_secs(15)))] },
    header_limit = { |d| d.limits.header_size = Some("16384".into()), vec![changed(DraftItem::Limits, DraftKey::HeaderSize, DraftValue::Absent, DraftValue::Encoded("16384".into()))] },
)]
fn difference_is_found(alter: fn(&mut RoutesDraft), expected: Vec<DraftChange>) {
    let mut new = sound();
    alter(&mut new);
    assert_eq!(changes(&sound(), &new), expected);
}

/// Guards against a moved route that is not reported because it got another name, or because another route of the draft
/// hides the one with its name.
#[test]
fn moves_follow_the_address() {
    let mut new = sound();
    new.routes.push(RouteDraft {
        service: Some("b".into()),
        ..route("last", 80)
    });
    let moved = ChangeKind::Moved {
        from: vec!["a".into()],
        to: vec!["b".into()],
    };
    let expected = [
        change(route_item("last", 2), ChangeKind::Added),
        change(route_item("last", 2), moved.clone()),
    ];
    assert_eq!(changes(&sound(), &new), expected);
    new.routes.remove(0);
    let found = changes(&sound(), &new);
    assert!(
        found.contains(&change(route_item("last", 1), moved)),
        "{found:?}"
    );
    assert!(!found
        .iter()
        .any(|change| change.kind == ChangeKind::Removed));
}
