//! The filter chain of requests.

use quetzalhill_core::catalogue::{LimitSet, PathClass, ServiceEntry, TrafficClass};
use quetzalhill_core::dispatch::RefusalReason;
use quetzalhill_core::once::{OnceController, OnceLimits, SessionToken, UnknownReason};
use quetzalhill_core::request::{
    decide, InvalidReason, NotRunReason, RequestContext, RequestFacts, RequestVerdict, SessionFact,
};
use smallvec::smallvec;
use std::time::{Duration, Instant, SystemTime};
use yare::parameterized;

fn service() -> ServiceEntry {
    let path = |prefix: &str, class| PathClass {
        prefix: prefix.into(),
        class,
    };
    ServiceEntry {
        number: 7,
        owner: "owner".into(),
        class: TrafficClass::Standard,
        addresses: smallvec![],
        path_classes: smallvec![
            path("/notices", TrafficClass::Urgent),
            path("/notices/old", TrafficClass::Bulk),
        ],
        limits: LimitSet {
            in_flight: 2,
            deadline_ms: 100,
            max_deadline_ms: 1_000,
            ..LimitSet::default()
        },
    }
}

fn facts(path: &str) -> RequestFacts {
    RequestFacts {
        method: "POST".into(),
        path: path.into(),
        query: String::new(),
        urgency: None,
        timeout_ms: None,
        session: SessionFact::Absent,
        key: None,
        arrived: Instant::now(),
        wall: SystemTime::now(),
    }
}

struct Change {
    number: u32,
    in_flight: u32,
    closing: bool,
    passed: bool,
}

const NO_CHANGE: Change = Change {
    number: 7,
    in_flight: 0,
    closing: false,
    passed: false,
};

fn judge(facts: &RequestFacts, change: &Change) -> RequestVerdict {
    let service = service();
    let mut once = OnceController::new(1, 1, OnceLimits::default());
    let mut context = RequestContext {
        service: Some(&service),
        number: change.number,
        closing: change.closing,
        passed: change.passed,
        endpoint: 1,
        in_flight: change.in_flight,
        once: &mut once,
    };
    decide(facts, &mut context)
}

/// Guards against callers that raise their class, and against the wrong path prefix.
#[parameterized(
    catalogue = { "/", None, TrafficClass::Standard },
    prefix = { "/notices/1", None, TrafficClass::Urgent },
    longest = { "/notices/old/1", None, TrafficClass::Bulk },
    raise = { "/", Some(0), TrafficClass::Standard },
    raise_bulk = { "/notices/old/1", Some(3), TrafficClass::Bulk },
    lower = { "/notices/1", Some(3), TrafficClass::Standard },
    lower_twice = { "/notices/1", Some(4), TrafficClass::Bulk },
    same = { "/notices/1", Some(2), TrafficClass::Urgent },
)]
fn class_is_never_raised(path: &str, urgency: Option<u8>, expected: TrafficClass) {
    let facts = RequestFacts {
        urgency,
        ..facts(path)
    };
    let RequestVerdict::Dispatch(plan) = judge(&facts, &NO_CHANGE) else {
        panic!("the request passes");
    };
    assert_eq!(plan.class, expected);
}

/// Guards against deadlines beyond the catalogue's maximum.
#[parameterized(
    default = { None, 100 },
    named = { Some(300), 300 },
    capped = { Some(u64::MAX), 1_000 },
)]
fn deadline_is_capped(timeout_ms: Option<u64>, expected: u64) {
    let facts = RequestFacts {
        timeout_ms,
        ..facts("/")
    };
    let RequestVerdict::Dispatch(plan) = judge(&facts, &NO_CHANGE) else {
        panic!("the request passes");
    };
    assert_eq!(
        plan.deadline - facts.arrived,
        Duration::from_millis(expected)
    );
}

/// Guards against running what another service, a closing connection or a limit excludes.
#[test]
fn excluded_requests_are_not_run() {
    let not_run = |reason| RequestVerdict::NotRun(reason);
    let other = Change {
        number: 8,
        ..NO_CHANGE
    };
    assert_eq!(judge(&facts("/"), &other), not_run(NotRunReason::Service));
    let closing = Change {
        closing: true,
        ..NO_CHANGE
    };
    let draining = NotRunReason::Dispatch(RefusalReason::Draining);
    assert_eq!(judge(&facts("/"), &closing), not_run(draining));
    let busy = Change {
        in_flight: 2,
        ..NO_CHANGE
    };
    let limit = NotRunReason::Dispatch(RefusalReason::InFlightLimit);
    assert_eq!(judge(&facts("/"), &busy), not_run(limit));
    let late = RequestFacts {
        timeout_ms: Some(0),
        ..facts("/")
    };
    let deadline = NotRunReason::Dispatch(RefusalReason::Deadline);
    assert_eq!(judge(&late, &NO_CHANGE), not_run(deadline));
}

/// Guards against keys that are unbounded or run without a session.
#[test]
fn keys_need_a_length_and_a_session() {
    let keyed = |key: &str| RequestFacts {
        key: Some(key.into()),
        ..facts("/")
    };
    let invalid = RequestVerdict::Invalid(InvalidReason::KeyLength);
    assert_eq!(judge(&keyed(""), &NO_CHANGE), invalid);
    assert_eq!(judge(&keyed(&"k".repeat(129)), &NO_CHANGE), invalid);
    assert!(matches!(
        judge(&keyed("k"), &NO_CHANGE),
        RequestVerdict::SessionNeeded(_)
    ));
}

/// Guards against a keyed request that runs at an endpoint which did not issue its token, and against one that two
/// agents pass to each other without end.
#[test]
fn foreign_token_leads_home_once() {
    let token = SessionToken {
        issuer: 2,
        incarnation: 1,
        expires: SystemTime::now() + Duration::from_secs(60),
    };
    let facts = RequestFacts {
        key: Some("k".into()),
        session: SessionFact::Token(token),
        ..facts("/")
    };
    let home = RequestVerdict::Home {
        token,
        deadline: facts.arrived + Duration::from_millis(100),
    };
    assert_eq!(judge(&facts, &NO_CHANGE), home);
    let passed = Change {
        passed: true,
        ..NO_CHANGE
    };
    let unknown = RequestVerdict::Unknown(UnknownReason::OtherEndpoint);
    assert_eq!(judge(&facts, &passed), unknown);
}
