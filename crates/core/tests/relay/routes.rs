//! Tests of the routes of opaque flows.

use crate::support::*;
use quetzalhill_core::relay::routes::{choose_target, RouteController, RouteOutcome};

/// Guards against a return to older routes when a slow answer or a stale read arrives late.
#[test]
fn older_routes_are_ignored() {
    let mut controller = RouteController::default();
    assert_eq!(
        controller.adopt(routes(7, &[(FEED, 1)])),
        RouteOutcome::InForce
    );
    for revision in [7, 6, 0] {
        let outcome = controller.adopt(routes(revision, &[(BATCH, 1)]));
        assert_eq!(outcome, RouteOutcome::Stale);
    }
    let targets = controller
        .current()
        .targets(service_address())
        .expect("route");
    assert_eq!(targets[0].service, FEED);
}

/// Guards against a wrong split by weight, and against entries that send copies of a first packet to two services.
#[test]
fn new_flows_are_split_by_weight() {
    let targets = targets(&[(FEED, 90), (BATCH, 10)]);
    let mut batch = 0;
    for number in 0..10_000 {
        let target = choose_target(&targets, flow(number)).expect("target");
        batch += u32::from(target.service == BATCH);
    }
    assert!(
        (850..=1_150).contains(&batch),
        "{batch} of 10000 for a weight of 10 %"
    );
    let nothing = crate::support::targets(&[(FEED, 0)]);
    assert_eq!(choose_target(&nothing, flow(1)), None);
}

/// Guards against open flows that are lost when their route moves to another service, and against services that are
/// queried for ever after a route was removed.
#[test]
fn former_services_are_kept_while_the_route_exists() {
    let mut controller = RouteController::default();
    controller.adopt(routes(1, &[(FEED, 1)]));
    controller.adopt(routes(2, &[(BATCH, 1)]));
    let former = &controller.former()[&service_address()];
    assert_eq!(former.as_slice(), [FEED]);
    let mut removed = routes(3, &[]);
    removed.by_address.clear();
    controller.adopt(removed);
    assert!(controller.former().is_empty());
}
