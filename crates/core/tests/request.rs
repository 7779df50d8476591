//! Verdicts of the request filter chain.

use quetzalhill_core::catalogue::{LimitSet, PathClass, ServiceEntry, TrafficClass};
use quetzalhill_core::dispatch::RefusalReason;
use quetzalhill_core::once::{OnceController, OnceLimits, SessionToken, UnknownReason};
use quetzalhill_core::request::{
    decide, InvalidReason, NotRunReason, RequestAttributes, RequestContext, RequestSession,
    RequestVerdict,
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

fn attributes(path: &str) -> RequestAttributes {
    RequestAttributes {
        method: "POST".into(),
        path: path.into(),
        query: String::new(),
        urgency: None,
        timeout_ms: None,
        session: RequestSession::Absent,
        key: None,
        arrived: Instant::now(),
        wall: SystemTime::now(),
    }
}

struct ContextFields {
    number: u32,
    in_flight: u32,
    closing: bool,
    forwarded: bool,
}

const DEFAULT_CONTEXT: ContextFields = ContextFields {
    number: 7,
    in_flight: 0,
    closing: false,
    forwarded: false,
};

fn decide_in(attributes: &RequestAttributes, fields: &ContextFields) -> RequestVerdict {
    let service = service();
    let mut once = OnceController::new(1, 1, OnceLimits::default());
    let mut context = RequestContext {
        service: Some(&service),
        number: fields.number,
        closing: fields.closing,
        forwarded: fields.forwarded,
        endpoint: 1,
        in_flight: fields.in_flight,
        once: &mut once,
    };
    decide(attributes, &mut context)
}

/// Guards against callers that raise their traffic class, and against a shorter path prefix that takes precedence.
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
    let attributes = RequestAttributes {
        urgency,
        ..attributes(path)
    };
    let RequestVerdict::Dispatch(plan) = decide_in(&attributes, &DEFAULT_CONTEXT) else {
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
    let attributes = RequestAttributes {
        timeout_ms,
        ..attributes("/")
    };
    let RequestVerdict::Dispatch(plan) = decide_in(&attributes, &DEFAULT_CONTEXT) else {
        panic!("the request passes");
    };
    assert_eq!(
        plan.deadline - attributes.arrived,
        Duration::from_millis(expected)
    );
}

/// Guards against running requests for another service, on a closing connection, beyond a limit or without time left.
#[test]
fn excluded_requests_are_not_run() {
    let not_run = |reason| RequestVerdict::NotRun(reason);
    let other = ContextFields {
        number: 8,
        ..DEFAULT_CONTEXT
    };
    assert_eq!(
        decide_in(&attributes("/"), &other),
        not_run(NotRunReason::Service)
    );
    let closing = ContextFields {
        closing: true,
        ..DEFAULT_CONTEXT
    };
    let draining = NotRunReason::Dispatch(RefusalReason::Draining);
    assert_eq!(decide_in(&attributes("/"), &closing), not_run(draining));
    let busy = ContextFields {
        in_flight: 2,
        ..DEFAULT_CONTEXT
    };
    let limit = NotRunReason::Dispatch(RefusalReason::InFlightLimit);
    assert_eq!(decide_in(&attributes("/"), &busy), not_run(limit));
    let late = RequestAttributes {
        timeout_ms: Some(0),
        ..attributes("/")
    };
    let deadline = NotRunReason::Dispatch(RefusalReason::Deadline);
    assert_eq!(decide_in(&late, &DEFAULT_CONTEXT), not_run(deadline));
}

/// Guards against idempotency keys of invalid length, and against running a keyed request without a session.
#[test]
fn keyed_request_needs_a_valid_key_and_a_session() {
    let keyed = |key: &str| RequestAttributes {
        key: Some(key.into()),
        ..attributes("/")
    };
    let invalid = RequestVerdict::Invalid(InvalidReason::KeyLength);
    assert_eq!(decide_in(&keyed(""), &DEFAULT_CONTEXT), invalid);
    assert_eq!(
        decide_in(&keyed(&"k".repeat(129)), &DEFAULT_CONTEXT),
        invalid
    );
    assert!(matches!(
        decide_in(&keyed("k"), &DEFAULT_CONTEXT),
        RequestVerdict::SessionNeeded(_)
    ));
}

/// Guards against running a keyed request at an endpoint that did not issue its token, and against two agents that
/// forward such a request to each other in a loop.
#[test]
fn request_with_a_foreign_token_is_forwarded_once() {
    let token = SessionToken {
        issuer: 2,
        incarnation: 1,
        expires: SystemTime::now() + Duration::from_secs(60),
    };
    let attributes = RequestAttributes {
        key: Some("k".into()),
        session: RequestSession::Token(token),
        ..attributes("/")
    };
    let forward = RequestVerdict::Forward {
        token,
        deadline: attributes.arrived + Duration::from_millis(100),
    };
    assert_eq!(decide_in(&attributes, &DEFAULT_CONTEXT), forward);
    let forwarded = ContextFields {
        forwarded: true,
        ..DEFAULT_CONTEXT
    };
    let unknown = RequestVerdict::Unknown(UnknownReason::OtherEndpoint);
    assert_eq!(decide_in(&attributes, &forwarded), unknown);
}
