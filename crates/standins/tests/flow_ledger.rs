//! Checks of the soak: each has to report the violation that it exists for, and nothing that is allowed.

use quetzalhill_core::relay::packet::FlowAddresses;
use quetzalhill_core::relay::routes::RouteSet;
use quetzalhill_standins::flows::ledger::{FlowHolder, FlowLedger, RequestOutcome};
use quetzalhill_standins::soak::outage::draw_outages;
use quetzalhill_standins::soak::plan::{add_evacuations, draw_faults, draw_restarts, SoakFault};
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

/// Returns the names of the checks that fail for the events that `record` records.
fn violated_checks(record: impl FnOnce(&mut FlowLedger, Instant)) -> Vec<String> {
    let now = Instant::now();
    let mut ledger = FlowLedger::new(now);
    ledger.record_routes(routes(1, SERVICES[0]), now);
    record(&mut ledger, now);
    let check = |text: &String| text.split([' ', ':']).nth(1).expect("a check").to_string();
    ledger.violations().iter().map(check).collect()
}

/// Guards against a soak that misses the reset of an open flow, or reports one whose route or upstream is gone.
#[test]
fn reset_of_an_open_flow_is_seen() {
    let seen = violated_checks(|ledger, now| {
        ledger.record_open(flow(), holder());
        ledger.check_reset(flow(), now);
    });
    assert_eq!(seen, ["FLOW"]);
    let allowed = violated_checks(|ledger, now| {
        ledger.record_open(flow(), holder());
        ledger.record_routes(RouteSet::default(), now);
        ledger.check_reset(flow(), now);
        ledger.record_routes(routes(2, SERVICES[0]), now);
        ledger.record_open(flow(), holder());
        ledger.record_upstream_end(holder().upstream);
        ledger.check_reset(flow(), now);
    });
    assert!(allowed.is_empty(), "{allowed:?}");
}

/// Guards against a soak that misses a request which never reaches its living upstream, or reports one that was given up
/// soon after a fault, that reached its upstream, or whose upstream has ended.
#[test]
fn lost_request_is_seen() {
    let given_up = |sent_ms: u64, record: &dyn Fn(&mut FlowLedger, Instant)| {
        violated_checks(|ledger, now| {
            ledger.record_open(flow(), holder());
            ledger.record_arrival(flow(), now);
            ledger.set_fault_free(false, now);
            ledger.set_fault_free(true, now);
            let sent = now + Duration::from_millis(sent_ms);
            record(ledger, sent);
            ledger.check_reached(flow(), sent, sent + Duration::from_secs(3));
        })
    };
    assert_eq!(given_up(4_100, &|_, _| {}), ["LOST"]);
    // The bounds hold four seconds after the fault, and the request has two seconds from then on.
    assert_eq!(given_up(3_100, &|_, _| {}), ["LOST"]);
    assert!(given_up(2_900, &|_, _| {}).is_empty());
    let before = given_up(4_100, &|ledger, sent| {
        ledger.record_arrival(flow(), sent - Duration::from_millis(1));
    });
    assert_eq!(before, ["LOST"]);
    let reached = given_up(4_100, &|ledger, sent| ledger.record_arrival(flow(), sent));
    assert!(reached.is_empty());
    let ended = given_up(4_100, &|ledger, _| {
        ledger.record_upstream_end(holder().upstream);
    });
    assert!(ended.is_empty());
}

/// Guards against a soak that misses a flow at a service that no route allows, or that only old routes allow after the
/// time within which a route change has to be in force.
#[test]
fn wrong_service_is_seen() {
    let second = SERVICES[1].to_string();
    let seen = violated_checks(|ledger, now| ledger.check_opening(flow(), &second, now, now));
    assert_eq!(seen, ["ROUTE"]);
    let first = SERVICES[0].to_string();
    let opened_after_change = |delay_ms: u64| {
        violated_checks(|ledger, now| {
            ledger.record_routes(routes(2, SERVICES[1]), now);
            let sent = now + Duration::from_millis(delay_ms);
            ledger.check_opening(flow(), &first, sent, sent);
        })
    };
    assert!(opened_after_change(2_900).is_empty());
    assert_eq!(opened_after_change(4_100), ["CONFIG"]);
}

/// Guards against a soak that never sees an outdated route, because each call that tells it that no fault is active
/// starts the time without faults anew.
#[test]
fn outdated_route_is_seen_while_faults_come_and_go() {
    let first = SERVICES[0].to_string();
    let seen = |fault_at_ms: Option<u64>| {
        violated_checks(|ledger, now| {
            ledger.record_routes(routes(2, SERVICES[1]), now);
            for ms in (0..6_000).step_by(25) {
                let fault_free = fault_at_ms != Some(ms);
                ledger.set_fault_free(fault_free, now + Duration::from_millis(ms));
            }
            let sent = now + Duration::from_millis(6_000);
            ledger.check_opening(flow(), &first, sent, sent);
        })
    };
    assert_eq!(seen(None), ["CONFIG"]);
    assert!(seen(Some(5_000)).is_empty());
}

/// Guards against a soak that misses a refusal of a flow whose route is in force, or reports one whose route is new, was
/// removed a moment ago, or comes soon after a fault.
#[test]
fn refusal_of_a_route_that_is_there_is_seen() {
    let refused = |sent_ms: u64, record: &dyn Fn(&mut FlowLedger, Instant)| {
        violated_checks(|ledger, now| {
            let sent = now + Duration::from_millis(sent_ms);
            record(ledger, now);
            ledger.record_opening(flow(), 0, sent);
            ledger.check_refusal(flow(), sent + Duration::from_millis(10));
        })
    };
    assert_eq!(refused(4_100, &|_, _| {}), ["CONFIG"]);
    assert!(refused(3_900, &|_, _| {}).is_empty());
    let removed = |ledger: &mut FlowLedger, at| ledger.record_routes(RouteSet::default(), at);
    let absent = refused(8_000, &|ledger, now| removed(ledger, now));
    assert!(absent.is_empty());
    let added_after = |ms: u64| {
        refused(8_000, &|ledger, now| {
            removed(ledger, now);
            ledger.record_routes(routes(3, SERVICES[0]), now + Duration::from_millis(ms));
        })
    };
    assert_eq!(added_after(4_900), ["CONFIG"]);
    assert!(added_after(5_100).is_empty());
    let during_a_fault = refused(8_000, &|ledger, now| ledger.set_fault_free(false, now));
    assert!(during_a_fault.is_empty());
}

/// Guards against a soak that misses an entry which goes back to older routes, or reports one that was restarted, that
/// shows them within 250 ms, or that another entry's placement makes look so.
#[test]
fn entry_that_goes_back_is_seen() {
    let placed = |second_entry: usize, sent_ms: u64, restarted: bool| {
        violated_checks(|ledger, now| {
            for entry in 0..2 {
                ledger.record_entry_start(entry, now);
            }
            ledger.record_routes(routes(2, SERVICES[1]), now);
            let other = FlowAddresses {
                caller: SocketAddrV4::new([127, 0, 3, 2].into(), 1_025),
                ..flow()
            };
            ledger.record_opening(other, 0, now);
            ledger.check_order(other, &SERVICES[1].into(), now);
            if restarted {
                ledger.record_entry_start(0, now);
            }
            let sent = now + Duration::from_millis(sent_ms);
            ledger.record_opening(flow(), second_entry, sent);
            ledger.check_order(flow(), &SERVICES[0].into(), sent);
        })
    };
    assert_eq!(placed(0, 300, false), ["CONFIG"]);
    assert!(placed(0, 200, false).is_empty());
    assert!(placed(1, 300, false).is_empty());
    assert!(placed(0, 300, true).is_empty());
}

/// Guards against a soak that misses requests that run twice, that no caller sent, or that run but are answered as not
/// run.
#[test]
fn false_runs_are_seen() {
    let seen = violated_checks(|ledger, now| {
        ledger.record_run("nobody", now);
        ledger.record_sent("one");
        ledger.record_run("one", now);
        ledger.record_run("one", now);
        ledger.record_outcome("one", RequestOutcome::NotRun, now);
    });
    assert_eq!(seen, ["UNASKED", "TWICE", "NOT-RUN"]);
}

/// Guards against a soak that misses a flow that is opened at a draining upstream after the time limit.
#[test]
fn late_flow_at_a_leaving_upstream_is_seen() {
    let sent_after_drain = |delay_ms: u64| {
        violated_checks(|ledger, now| {
            let sent = now + Duration::from_millis(delay_ms);
            ledger.check_draining(flow(), now, sent, sent);
        })
    };
    assert!(sent_after_drain(2_900).is_empty());
    assert_eq!(sent_after_drain(3_100), ["DRAIN"]);
}

/// Guards against a draw that depends on more than the seed, so that a failed run could not be repeated.
#[test]
fn seed_gives_the_same_faults() {
    let fault_time = Duration::from_secs(60);
    let faults = |seed| format!("{:?}", draw_faults(seed, 4, 8, fault_time));
    assert_eq!(faults(7), faults(7));
    assert_ne!(faults(7), faults(8));
    let restarts = |seed| format!("{:?}", draw_restarts(seed, 4, 8, fault_time));
    assert_eq!(restarts(7), restarts(7));
    assert_ne!(restarts(7), restarts(8));
    let outages = |seed| format!("{:?}", draw_outages(seed, 4, 8, fault_time));
    assert_eq!(outages(7), outages(7));
    assert_ne!(outages(7), outages(8));
}

/// Guards against a soak that misses a flow in an evacuated zone, or reports one that was opened before the bound, after
/// the evacuation, in another zone or soon after a fault.
#[test]
fn flow_in_an_evacuated_zone_is_seen() {
    let (zone, other) = ("a".to_string(), "b".to_string());
    let opened = |delay_ms: u64, taken_back_ms: Option<u64>, opened_in: &String| {
        violated_checks(|ledger, now| {
            let at = |ms| now + Duration::from_millis(ms);
            ledger.record_evacuation(&zone, true, at(1_000));
            // A second write of the key changes nothing.
            ledger.record_evacuation(&zone, true, at(2_000));
            if let Some(ms) = taken_back_ms {
                ledger.record_evacuation(&zone, false, at(ms));
            }
            ledger.check_evacuation(flow(), opened_in, at(delay_ms), at(delay_ms));
        })
    };
    assert_eq!(opened(4_100, None, &zone), ["EVACUATION"]);
    assert!(opened(3_900, None, &zone).is_empty());
    assert!(opened(8_000, Some(7_900), &zone).is_empty());
    assert!(opened(8_000, None, &other).is_empty());
    let after_fault = violated_checks(|ledger, now| {
        ledger.record_evacuation(&zone, true, now);
        ledger.set_fault_free(false, now);
        ledger.set_fault_free(true, now + Duration::from_secs(5));
        let sent = now + Duration::from_secs(8);
        ledger.check_evacuation(flow(), &zone, sent, sent);
    });
    assert!(after_fault.is_empty());
}

/// Guards against runs without evacuations, ones in which a zone stays evacuated or all are evacuated at once, and other
/// faults of a seed than before.
#[test]
fn evacuations_follow_each_other() {
    for seed in 0..50 {
        let faults = draw_faults(seed, 3, 6, Duration::from_secs(10));
        let mut plan = faults.clone();
        add_evacuations(&mut plan, seed, 2);
        assert!(plan.is_sorted_by_key(|planned| planned.at));
        let (mut evacuated, mut count, mut kept) = (None, 0, Vec::new());
        for planned in plan {
            match planned.fault {
                SoakFault::Evacuation(zone, true) => {
                    assert_eq!(evacuated.replace(zone), None);
                    count += 1;
                }
                SoakFault::Evacuation(zone, false) => assert_eq!(evacuated.take(), Some(zone)),
                _ => kept.push(planned),
            }
        }
        assert!(count > 0 && evacuated.is_none());
        assert_eq!(format!("{kept:?}"), format!("{faults:?}"));
    }
}
