//! Validation, diff, undo and guards of the catalogue.

use quetzalhill_core::catalogue::change::{diff, field_changes, undo, ServiceChange};
use quetzalhill_core::catalogue::guard::{
    check_change, FleetUse, GuardKind, GuardSettings, ServiceUse,
};
use quetzalhill_core::catalogue::validate::validate;
use quetzalhill_core::catalogue::{
    CatalogueSnapshot, LimitSet, PathClass, ServiceEntry, TrafficClass,
};
use smallvec::smallvec;
use std::net::{Ipv4Addr, SocketAddrV4};
use yare::parameterized;

fn entry(number: u32) -> ServiceEntry {
    let port = 4_000 + u16::try_from(number).expect("small number");
    ServiceEntry {
        number,
        owner: "Lucky Slip".into(),
        class: TrafficClass::Urgent,
        addresses: smallvec![SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), port)],
        path_classes: smallvec![],
        limits: LimitSet::default(),
    }
}

fn snapshot(count: u32) -> CatalogueSnapshot {
    let services = (1..=count).map(|number| (format!("s{number:03}"), entry(number)));
    CatalogueSnapshot {
        revision: 1,
        services: services.collect(),
    }
}

/// Guards against validation that rejects a valid catalogue.
#[test]
fn valid_catalogue_passes() {
    assert_eq!(validate(&snapshot(12)), Ok(()));
}

type Edit = fn(&mut ServiceEntry);

/// Guards against invalid values that pass validation and later cause wrong routes, starved requests or overflows.
///
/// Each case makes one value of a valid catalogue invalid and expects exactly one error for its key.
#[parameterized(
    blank_owner = { "owner", |e| e.owner = " ".into() },
    no_address = { "addresses", |e| e.addresses.clear() },
    port_zero = { "addresses", |e| e.addresses[0].set_port(0) },
    unspecified_address = { "addresses", |e| e.addresses[0].set_ip(Ipv4Addr::UNSPECIFIED) },
    multicast_address = { "addresses", |e| e.addresses[0].set_ip(Ipv4Addr::new(224, 0, 0, 1)) },
    duplicate_address = { "addresses", |e| { let a = e.addresses[0]; e.addresses.push(a) } },
    address_of_another_service = { "addresses", |e| e.addresses[0].set_port(4_002) },
    number_zero = { "number", |e| e.number = 0 },
    number_too_large = { "number", |e| e.number = 1 << 24 },
    number_of_another_service = { "number", |e| e.number = 2 },
    relative_prefix = { "path_classes", |e| e.path_classes = smallvec![path("a")] },
    duplicate_prefix = { "path_classes", |e| e.path_classes = smallvec![path("/a"), path("/a")] },
    flows_zero = { "limits.flows", |e| e.limits.flows = 0 },
    new_flows_zero = { "limits.new_flows_per_s", |e| e.limits.new_flows_per_s = 0 },
    in_flight_zero = { "limits.in_flight", |e| { e.limits.in_flight = 0; e.limits.queue = 0 } },
    queue_above_in_flight = { "limits.queue", |e| e.limits.queue = e.limits.in_flight + 1 },
    share_nan = { "limits.slot_share", |e| e.limits.slot_share = f64::NAN },
    share_zero = { "limits.slot_share", |e| e.limits.slot_share = 0.0 },
    share_above_one = { "limits.slot_share", |e| e.limits.slot_share = 1.1 },
    retry_budget_negative = { "limits.retry_budget", |e| e.limits.retry_budget = -0.1 },
    retry_budget_nan = { "limits.retry_budget", |e| e.limits.retry_budget = f64::NAN },
    deadline_zero = { "limits.deadline", |e| e.limits.deadline_ms = 0 },
    deadline_over_max = { "limits.deadline", |e| e.limits.deadline_ms = 3_600_001 },
    max_deadline_too_long = { "limits.max_deadline", |e| e.limits.max_deadline_ms = 604_800_001 },
)]
fn invalid_value_is_reported(key: &str, edit: Edit) {
    let mut catalogue = snapshot(2);
    edit(catalogue.services.get_mut("s001").expect("service"));
    let errors = validate(&catalogue).expect_err("an invalid value");
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert_eq!(errors[0].key, key, "{errors:?}");
    assert!(errors[0].to_string().contains("allowed: "), "{errors:?}");
}

fn path(prefix: &str) -> PathClass {
    PathClass {
        prefix: prefix.into(),
        class: TrafficClass::Bulk,
    }
}

/// Guards against service names that are not usable as metric labels or as keys of the store.
#[parameterized(
    empty = { "" },
    digit_first = { "1a" },
    upper_case = { "Feed" },
    slash = { "a/b" },
    non_ascii_letter = { "før" },
    too_long = { "a123456789012345678901234567890123456789012345678901234567890123" },
)]
fn invalid_name_is_rejected(name: &str) {
    let mut catalogue = snapshot(0);
    catalogue.services.insert(name.into(), entry(1));
    assert_eq!(validate(&catalogue).expect_err("an invalid name").len(), 1);
}

/// Guards against a field that is missing from the digest, so that two different catalogues have the same digest.
#[test]
fn digest_depends_on_every_field() {
    let base = snapshot(2);
    let edits: [Edit; 8] = [
        |e| e.owner = "Directorate".into(),
        |e| e.class = TrafficClass::Bulk,
        |e| e.addresses[0].set_port(9),
        |e| e.path_classes = smallvec![path("/a")],
        |e| e.limits.queue = 1,
        |e| e.limits.retry_budget = 0.3,
        |e| e.limits.max_deadline_ms = 20_000,
        |e| e.number = 7,
    ];
    for edit in edits {
        let mut other = base.clone();
        edit(other.services.get_mut("s001").expect("service"));
        assert_ne!(base.digest(), other.digest());
    }
    assert_eq!(base.digest(), base.clone().digest());
}

/// Guards against a rollback that does not restore removed, added or changed services.
#[test]
fn undoing_a_change_restores_the_old_content() {
    let old = snapshot(3);
    let mut new = old.clone();
    new.services.remove("s001");
    new.services.insert("extra".into(), entry(9));
    new.services.get_mut("s002").expect("service").limits.queue = 7;
    let change = diff(&old, &new);
    assert_eq!(change.len(), 3);
    let ServiceChange::Changed {
        old: before,
        new: after,
    } = &change["s002"]
    else {
        panic!("s002 changes: {change:?}");
    };
    let fields = field_changes(before, after);
    assert_eq!(fields.len(), 1);
    assert_eq!(fields[0].key, "limits.queue");
    let mut services = new.services;
    undo(&mut services, &change);
    assert_eq!(services, old.services);
}

/// Guards against a diff that reports every service as changed when an unchanged file, which has no service numbers,
/// is applied.
#[test]
fn missing_numbers_do_not_count_as_changes() {
    let old = snapshot(3);
    let mut new = old.clone();
    for entry in new.services.values_mut() {
        entry.number = 0;
    }
    assert!(diff(&old, &new).is_empty());
}

fn fleet(old: &CatalogueSnapshot) -> FleetUse {
    let used = ServiceUse {
        ready: 2,
        flows: 1_000,
        in_flight: 100,
        queue: 50,
        new_flows_per_s: 500,
    };
    old.services
        .keys()
        .map(|name| (name.clone(), used))
        .collect()
}

type SnapshotEdit = fn(&mut CatalogueSnapshot);

/// Guards against a guard that permits a change of its kind, or that its flag does not switch off.
#[parameterized(
    removed_service_in_use = { GuardKind::NoEndpoints, |c| { c.services.remove("s001"); } },
    queue_below_use = { GuardKind::LimitInUse, |c| limits(c).queue = 49 },
    flows_below_use = { GuardKind::LimitInUse, |c| limits(c).flows = 999 },
    rate_below_use = { GuardKind::LimitInUse, |c| limits(c).new_flows_per_s = 499 },
    swapped_addresses = { GuardKind::AddressMove, |c| swap_addresses(c, "s001", "s002") },
    many = { GuardKind::LargeChange, |c| for e in c.services.values_mut() { e.limits.queue = 200 } },
)]
fn guard_refuses_unless_its_flag_is_given(kind: GuardKind, change: SnapshotEdit) {
    let old = snapshot(10);
    let mut new = old.clone();
    change(&mut new);
    let change = diff(&old, &new);
    let fleet = fleet(&old);
    let settings = GuardSettings::default();
    let refusals = check_change(&old, &change, Some(&fleet), &settings, &[]).expect_err("refused");
    assert!(
        refusals.iter().all(|refusal| refusal.kind == kind),
        "{refusals:?}"
    );
    assert!(refusals[0].to_string().contains(kind.flag()));
    assert_eq!(
        check_change(&old, &change, Some(&fleet), &settings, &[kind]),
        Ok(())
    );
}

fn limits(catalogue: &mut CatalogueSnapshot) -> &mut LimitSet {
    &mut catalogue.services.get_mut("s001").expect("service").limits
}

fn swap_addresses(catalogue: &mut CatalogueSnapshot, first: &str, second: &str) {
    let first_addresses = catalogue.services[first].addresses.clone();
    let second_addresses = catalogue.services[second].addresses.clone();
    catalogue
        .services
        .get_mut(first)
        .expect("service")
        .addresses = second_addresses;
    catalogue
        .services
        .get_mut(second)
        .expect("service")
        .addresses = first_addresses;
}

/// Guards against a guard that refuses a change without risk.
#[parameterized(
    three_of_ten_services_changed = { |c| for name in ["s001", "s002", "s003"] { c.services.get_mut(name).expect("service").limits.queue = 200 } },
    queue_lowered_to_current_use = { |c| limits(c).queue = 50 },
    added_service_without_endpoints = { |c| { c.services.insert("new".into(), entry(99)); } },
)]
fn ordinary_change_passes(change: SnapshotEdit) {
    let old = snapshot(10);
    let mut new = old.clone();
    change(&mut new);
    let change = diff(&old, &new);
    let settings = GuardSettings::default();
    assert_eq!(
        check_change(&old, &change, Some(&fleet(&old)), &settings, &[]),
        Ok(())
    );
}

/// Guards against a change of existing services that passes although no instance reported their use.
#[test]
fn change_without_reported_use_is_refused() {
    let old = snapshot(10);
    let mut new = old.clone();
    limits(&mut new).queue = 10;
    let change = diff(&old, &new);
    let settings = GuardSettings::default();
    let refusals = check_change(&old, &change, None, &settings, &[]).expect_err("refused");
    assert_eq!(refusals[0].kind, GuardKind::UnknownUse);
}

/// Guards against a guard that refuses the first catalogue because no instance reported any use.
#[test]
fn first_catalogue_passes_without_reported_use() {
    let change = diff(&CatalogueSnapshot::default(), &snapshot(10));
    let empty = CatalogueSnapshot::default();
    let settings = GuardSettings::default();
    assert_eq!(check_change(&empty, &change, None, &settings, &[]), Ok(()));
}
