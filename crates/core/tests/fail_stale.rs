//! Compares three ways to handle an invalid catalogue by the number of requests that still find an endpoint.
//!
//! The ways are those of PAPER-fail-stale-0540.md: keep the last valid catalogue, serve without the invalid services,
//! and serve nothing.

use quetzalhill_core::catalogue::validate::validate;
use quetzalhill_core::catalogue::{CatalogueSnapshot, ServiceEntry};
use quetzalhill_core::member::routes::build_table;
use quetzalhill_core::member::{EndpointRecord, EndpointState};
use quetzalhill_core::replicate::{AdoptOutcome, CatalogueController};
use quetzalhill_core::route::RouteTable;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Instant;

const SERVICES: u16 = 10;
const REQUESTS: u16 = 10_000;

fn address(service: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 4_000 + service)
}

fn valid() -> CatalogueSnapshot {
    let mut snapshot = CatalogueSnapshot {
        revision: 1,
        ..CatalogueSnapshot::default()
    };
    for service in 0..SERVICES {
        let text = format!(
            r#"{{"number": {}, "owner": "bakery", "addresses": ["{}"]}}"#,
            service + 1,
            address(service)
        );
        let entry: ServiceEntry = serde_json::from_str(&text).expect("an entry");
        snapshot.services.insert(format!("s{service}"), entry);
    }
    snapshot
}

/// Returns the next revision, which is invalid because two services have no owner.
fn invalid() -> CatalogueSnapshot {
    let mut snapshot = valid();
    snapshot.revision = 2;
    for name in ["s3", "s7"] {
        let entry = snapshot.services.get_mut(name).expect("a service");
        entry.owner.clear();
    }
    snapshot
}

fn endpoints() -> Vec<EndpointRecord> {
    let record = |service: u16| EndpointRecord {
        id: u64::from(service) + 1,
        incarnation: 1,
        sequence: 1,
        service: format!("s{service}"),
        number: u32::from(service) + 1,
        zone: "a".into(),
        peer: address(100 + service),
        state: EndpointState::Ready,
        slots: 4,
    };
    (0..SERVICES).map(record).collect()
}

/// Returns how many of [`REQUESTS`] requests, spread evenly over all services, find an endpoint.
fn count_served(table: &RouteTable) -> u16 {
    let mut served = 0;
    for request in 0..REQUESTS {
        let Some(route) = table.service_at(address(request % SERVICES)) else {
            continue;
        };
        served += u16::from(route.candidates(&request.to_le_bytes()).is_some());
    }
    served
}

fn check(snapshot: &CatalogueSnapshot) -> Result<(), String> {
    validate(snapshot).map_err(|errors| errors[0].to_string())
}

/// Guards against an invalid catalogue that replaces the last valid one.
///
/// Also checks that keeping the last valid catalogue serves more requests than the two alternatives.
#[test]
fn keeping_the_last_valid_catalogue_serves_the_most_requests() {
    let endpoints = endpoints();
    let mut controller = CatalogueController::new(check, None, Instant::now());
    assert_eq!(controller.adopt(valid()), AdoptOutcome::InForce);
    let outcome = controller.adopt(invalid());
    assert!(matches!(outcome, AdoptOutcome::Invalid(_)), "{outcome:?}");
    let keep = build_table(controller.snapshot(), endpoints.iter(), &[]);
    let mut without = invalid();
    for error in validate(&without).expect_err("not valid") {
        without.services.remove(&error.service);
    }
    let without = build_table(&without, endpoints.iter(), &[]);
    let refuse = build_table(&CatalogueSnapshot::default(), endpoints.iter(), &[]);
    let counts = [&keep, &without, &refuse].map(count_served);
    println!(
        "requests {REQUESTS}: keep {}, without {}, refuse {}",
        counts[0], counts[1], counts[2]
    );
    assert_eq!(counts[0], REQUESTS);
    assert!(counts[0] > counts[1] && counts[1] > counts[2]);
}
