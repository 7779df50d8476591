//! The checks of the soak: each has to notice what it is for.

use quetzalhill_core::relay::packet::FlowAddresses;
use quetzalhill_core::relay::routes::RouteSet;
use quetzalhill_standins::flows::ledger::{FlowHolder, FlowLedger, RequestOutcome};
use quetzalhill_standins::soak::plan::draw;
use quetzalhill_standins::soak::site::{route_address, set_target, SERVICES};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

fn flow() -> FlowAddresses {
    FlowAddresses {
        caller: SocketAddrV4::new([127, 0, 3, 1].into(), 1_025),
        service: route_address(1),
    }
}

fn routes(revision: u64, service: &str) -> RouteSet {
    let mut routes = RouteSet {
        revision,
        ..RouteSet::default()
    };
    set_target(&mut routes, 1, service);
    routes
}

fn holder() -> FlowHolder {
    FlowHolder {
        upstream: SocketAddrV4::new([127, 0, 2, 1].into(), 7_106),
        incarnation: 1,
    }
}

/// Returns the rules that `act` broke.
fn broken(act: impl FnOnce(&mut FlowLedger, Instant)) -> Vec<String> {
    let now = Instant::now();
    let mut ledger = FlowLedger::new(now);
    ledger.publish(routes(1, SERVICES[0]), now);
    act(&mut ledger, now);
    let rule = |text: &String| text.split([' ', ':']).nth(1).expect("a rule").to_string();
    ledger.violations().iter().map(rule).collect()
}

/// Guards against a soak that does not see the reset of an open flow, or counts one that is allowed.
#[test]
fn reset_of_an_open_flow_is_seen() {
    let seen = broken(|ledger, now| {
        ledger.opened(flow(), holder());
        ledger.check_reset(flow(), now);
    });
    assert_eq!(seen, ["FLOW"]);
    let allowed = broken(|ledger, now| {
        ledger.opened(flow(), holder());
        ledger.publish(RouteSet::default(), now);
        ledger.check_reset(flow(), now);
        ledger.publish(routes(2, SERVICES[0]), now);
        ledger.opened(flow(), holder());
        ledger.lost(holder().upstream);
        ledger.check_reset(flow(), now);
    });
    assert!(allowed.is_empty(), "{allowed:?}");
}

/// Guards against a soak that does not see a flow at a service which no route allows, or by routes of the past.
#[test]
fn wrong_service_is_seen() {
    let second = SERVICES[1].to_string();
    let seen = broken(|ledger, now| ledger.check_opening(flow(), &second, now, now));
    assert_eq!(seen, ["ROUTE"]);
    let first = SERVICES[0].to_string();
    let turned = |late: u64| {
        broken(|ledger, now| {
            ledger.publish(routes(2, SERVICES[1]), now);
            let sent = now + Duration::from_millis(late);
            ledger.check_opening(flow(), &first, sent, sent);
        })
    };
    assert!(turned(2_900).is_empty());
    assert_eq!(turned(4_100), ["CONFIG"]);
}

/// Guards against a soak that does not see requests that run twice, were never sent, or ran and are called not run.
#[test]
fn false_runs_are_seen() {
    let seen = broken(|ledger, now| {
        ledger.run("nobody", now);
        ledger.sent("one");
        ledger.run("one", now);
        ledger.run("one", now);
        ledger.finished("one", RequestOutcome::NotRun, now);
    });
    assert_eq!(seen, ["UNASKED", "TWICE", "NOT-RUN"]);
}

/// Guards against a soak that does not see new flows at an upstream which leaves.
#[test]
fn late_flow_at_a_leaving_upstream_is_seen() {
    let drained = |late: u64| {
        broken(|ledger, now| {
            let sent = now + Duration::from_millis(late);
            ledger.check_draining(flow(), now, sent, sent);
        })
    };
    assert!(drained(2_900).is_empty());
    assert_eq!(drained(3_100), ["DRAIN"]);
}

/// Guards against a seed that stands for other faults in the next run.
#[test]
fn seed_gives_the_same_faults() {
    let length = Duration::from_secs(60);
    let plan = |seed| format!("{:?}", draw(seed, 4, 8, length));
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
}
