//! Filter chain that every request of a caller passes through before dispatch.
//!
//! The filters work on attributes that are independent of the HTTP implementation, so that another front end can use
//! the same chain. See docs/design.md, section 3.

use crate::catalogue::{ServiceEntry, TrafficClass};
use crate::dispatch::RefusalReason;
use crate::ids::{EndpointId, OwnerName, ServiceNumber};
use crate::once::{
    OnceController, OnceDecision, OnceKey, SessionToken, StoredAnswer, UnknownReason, KEY_MAX,
};
use std::time::{Duration, Instant, SystemTime};
use xxhash_rust::xxh3::xxh3_64;

/// Session token of a request, after decoding.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RequestSession {
    /// The request has no token.
    #[default]
    Absent,
    /// The token cannot be parsed or authenticated.
    Unreadable,
    /// An authentic token; its issuer and expiry are not checked yet.
    Token(SessionToken),
}

/// Attributes of one request that the filters need.
#[derive(Clone, Debug)]
pub struct RequestAttributes {
    /// Method, such as `GET`.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query, empty if there is none.
    pub query: String,
    /// Urgency from 0 to 7 of the `priority` header (RFC 9218).
    pub urgency: Option<u8>,
    /// Timeout set by the caller, in milliseconds; capped by the service's `max_deadline_ms`.
    pub timeout_ms: Option<u64>,
    /// Session token, needed if there is an idempotency key.
    pub session: RequestSession,
    /// Idempotency key, if the request must run at most once.
    pub key: Option<String>,
    /// When the request arrived, for deadlines inside the process.
    pub arrived: Instant,
    /// Wall time of the arrival, for values that leave the process, such as the expiry of a token.
    pub wall: SystemTime,
}

/// State of the agent that the filters need.
#[derive(Debug)]
pub struct RequestContext<'a> {
    /// The agent's service; `None` until a catalogue has been received.
    pub service: Option<&'a ServiceEntry>,
    /// Service for which the connection was made.
    pub number: ServiceNumber,
    /// Whether the connection is closing and accepts no further requests.
    pub closing: bool,
    /// Whether another agent forwarded the request to this endpoint as the issuer of its token.
    pub forwarded: bool,
    /// Identifier of this endpoint.
    pub endpoint: EndpointId,
    /// Number of requests that are running or waiting.
    pub in_flight: u32,
    /// Idempotency table of this endpoint.
    pub once: &'a mut OnceController,
}

/// Result of the chain for a request that is to be dispatched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestPlan {
    /// Traffic class, from the path prefix and the caller's priority.
    pub class: TrafficClass,
    /// Owner of the service, for fair queueing between owners.
    pub owner: OwnerName,
    /// Time by which the head of the response has to be sent.
    pub deadline: Instant,
    /// Key of a request that must run at most once; its outcome has to be reported to the idempotency table.
    pub once_key: Option<OnceKey>,
}

/// Why a valid request was not run; the caller may try again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunReason {
    /// The service is unknown, or the connection was made for a different service number.
    Service,
    /// The idempotency table is full.
    KeyTableFull,
    /// A capacity limit, the deadline or a drain.
    Dispatch(RefusalReason),
}

/// Why a request is invalid; it was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InvalidReason {
    /// The idempotency key is empty or too long.
    KeyLength,
    /// The idempotency key was used for another method, path or query.
    KeyReused,
}

/// Final result of the filter chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestVerdict {
    /// Pass the request to dispatch.
    Dispatch(RequestPlan),
    /// The request was not run; the caller may try again.
    NotRun(NotRunReason),
    /// The request was not run, because it has an idempotency key but no session; the caller gets this new token.
    SessionNeeded(SessionToken),
    /// The request was not run, because it is invalid.
    Invalid(InvalidReason),
    /// A copy of the request is in progress.
    InProgress,
    /// Return the stored response of the first copy.
    Replay(StoredAnswer),
    /// Forward the request to the endpoint that issued its token; that endpoint decides whether to run it.
    Forward {
        /// Session token, which names the issuer.
        token: SessionToken,
        /// Time by which the head of the response has to be sent.
        deadline: Instant,
    },
    /// The request may have run, and its outcome cannot be determined; it is not run again.
    Unknown(UnknownReason),
}

/// One step of the chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestFilter {
    /// Checks that the connection was made for the agent's service.
    Service,
    /// Refuses requests on closing connections.
    Drain,
    /// Sets the deadline from the caller's timeout and the service's limits.
    Deadline,
    /// Sets the traffic class.
    Class,
    /// Enforces the limit on requests in flight, except for keyed requests.
    Limits,
    /// Checks that a keyed request has a session issued by this incarnation of the endpoint.
    Session,
    /// Ensures that a keyed request runs at most once.
    Key,
}

/// All filters in order; the key filter is last, because it records the request as running.
pub const REQUEST_CHAIN: [RequestFilter; 7] = [
    RequestFilter::Service,
    RequestFilter::Drain,
    RequestFilter::Deadline,
    RequestFilter::Class,
    RequestFilter::Session,
    RequestFilter::Limits,
    RequestFilter::Key,
];

/// Returns the key by which service times are estimated: a hash of method and path, without the query.
pub fn work_key(method: &str, path: &str) -> u64 {
    xxh3_64(format!("{method} {path}").as_bytes())
}

enum FilterOutcome {
    Continue,
    Final(RequestVerdict),
}

/// Applies the filters of [`REQUEST_CHAIN`] in order until one returns a final verdict.
pub fn decide(attributes: &RequestAttributes, context: &mut RequestContext<'_>) -> RequestVerdict {
    let mut plan = RequestPlan {
        class: TrafficClass::default(),
        owner: OwnerName::new(),
        deadline: attributes.arrived,
        once_key: None,
    };
    for filter in REQUEST_CHAIN {
        let outcome = match filter {
            RequestFilter::Service => check_service(&mut plan, context),
            RequestFilter::Drain => check_drain(context),
            RequestFilter::Deadline => set_deadline(attributes, &mut plan, context),
            RequestFilter::Class => set_class(attributes, &mut plan, context),
            RequestFilter::Session => check_session(attributes, &plan, context),
            RequestFilter::Limits => check_limits(attributes, context),
            RequestFilter::Key => check_key(attributes, &mut plan, context),
        };
        if let FilterOutcome::Final(verdict) = outcome {
            return verdict;
        }
    }
    RequestVerdict::Dispatch(plan)
}

fn not_run(reason: NotRunReason) -> FilterOutcome {
    FilterOutcome::Final(RequestVerdict::NotRun(reason))
}

fn check_service(plan: &mut RequestPlan, context: &RequestContext<'_>) -> FilterOutcome {
    let Some(service) = context.service else {
        return not_run(NotRunReason::Service);
    };
    if service.number != context.number {
        return not_run(NotRunReason::Service);
    }
    plan.owner.clone_from(&service.owner);
    FilterOutcome::Continue
}

fn check_drain(context: &RequestContext<'_>) -> FilterOutcome {
    if context.closing {
        return not_run(NotRunReason::Dispatch(RefusalReason::Draining));
    }
    FilterOutcome::Continue
}

fn set_deadline(
    attributes: &RequestAttributes,
    plan: &mut RequestPlan,
    context: &RequestContext<'_>,
) -> FilterOutcome {
    let Some(service) = context.service else {
        return not_run(NotRunReason::Service);
    };
    let limits = &service.limits;
    let requested = attributes.timeout_ms.unwrap_or(limits.deadline_ms);
    let granted = requested.min(limits.max_deadline_ms);
    if granted == 0 {
        return not_run(NotRunReason::Dispatch(RefusalReason::Deadline));
    }
    plan.deadline = attributes.arrived + Duration::from_millis(granted);
    FilterOutcome::Continue
}

fn set_class(
    attributes: &RequestAttributes,
    plan: &mut RequestPlan,
    context: &RequestContext<'_>,
) -> FilterOutcome {
    let Some(service) = context.service else {
        return not_run(NotRunReason::Service);
    };
    let longest = service
        .path_classes
        .iter()
        .filter(|class| attributes.path.starts_with(&class.prefix))
        .max_by_key(|class| class.prefix.len());
    let class = longest.map_or(service.class, |path| path.class);
    let requested = match attributes.urgency {
        None => class,
        Some(0..=2) => TrafficClass::Urgent,
        Some(3) => TrafficClass::Standard,
        Some(_) => TrafficClass::Bulk,
    };
    // Classes are ordered from urgent to bulk; a caller can only lower the urgency set in the catalogue.
    plan.class = class.max(requested);
    FilterOutcome::Continue
}

fn check_session(
    attributes: &RequestAttributes,
    plan: &RequestPlan,
    context: &RequestContext<'_>,
) -> FilterOutcome {
    let Some(key) = &attributes.key else {
        return FilterOutcome::Continue;
    };
    if key.is_empty() || key.len() > KEY_MAX {
        return FilterOutcome::Final(RequestVerdict::Invalid(InvalidReason::KeyLength));
    }
    let verdict = match &attributes.session {
        RequestSession::Absent => {
            RequestVerdict::SessionNeeded(context.once.issue_token(attributes.wall))
        }
        RequestSession::Unreadable => RequestVerdict::Unknown(UnknownReason::Unreadable),
        RequestSession::Token(token) => match context.once.check_token(token, attributes.wall) {
            Ok(()) => return FilterOutcome::Continue,
            // A forwarded request is not forwarded again, so agents with different views cannot form a loop.
            Err(UnknownReason::OtherEndpoint) if !context.forwarded => RequestVerdict::Forward {
                token: *token,
                deadline: plan.deadline,
            },
            Err(reason) => RequestVerdict::Unknown(reason),
        },
    };
    FilterOutcome::Final(verdict)
}

fn check_limits(attributes: &RequestAttributes, context: &RequestContext<'_>) -> FilterOutcome {
    // A copy of a keyed request needs no capacity; the first copy can still be refused by dispatch before it runs.
    if attributes.key.is_some() {
        return FilterOutcome::Continue;
    }
    let limit = context.service.map_or(0, |entry| entry.limits.in_flight);
    if context.in_flight >= limit {
        return not_run(NotRunReason::Dispatch(RefusalReason::InFlightLimit));
    }
    FilterOutcome::Continue
}

fn check_key(
    attributes: &RequestAttributes,
    plan: &mut RequestPlan,
    context: &mut RequestContext<'_>,
) -> FilterOutcome {
    let Some(key) = &attributes.key else {
        return FilterOutcome::Continue;
    };
    let once_key = OnceKey {
        issuer: context.endpoint,
        key: key.clone(),
    };
    let target = format!(
        "{}\n{}\n{}",
        attributes.method, attributes.path, attributes.query
    );
    let decision = context
        .once
        .begin(&once_key, xxh3_64(target.as_bytes()), attributes.arrived);
    let verdict = match decision {
        OnceDecision::Run => {
            plan.once_key = Some(once_key);
            return FilterOutcome::Continue;
        }
        OnceDecision::InProgress => RequestVerdict::InProgress,
        OnceDecision::Stored(answer) => RequestVerdict::Replay(answer),
        OnceDecision::Unknown(reason) => RequestVerdict::Unknown(reason),
        OnceDecision::Full => RequestVerdict::NotRun(NotRunReason::KeyTableFull),
        OnceDecision::Mismatch => RequestVerdict::Invalid(InvalidReason::KeyReused),
    };
    FilterOutcome::Final(verdict)
}
