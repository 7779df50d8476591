//! The filter chain that every request of a caller passes before it is dispatched.
//!
//! Filters look at plain facts, so that another front end can use the same chain. See docs/design.md, section 3.

use crate::catalogue::{ServiceEntry, TrafficClass};
use crate::dispatch::RefusalReason;
use crate::ids::{EndpointId, OwnerName, ServiceNumber};
use crate::once::{
    OnceController, OnceDecision, OnceKey, SessionToken, StoredAnswer, UnknownReason, KEY_MAX,
};
use std::time::{Duration, Instant, SystemTime};
use xxhash_rust::xxh3::xxh3_64;

/// What a request says of its session.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SessionFact {
    /// No token.
    #[default]
    Absent,
    /// A token that can't be read.
    Unreadable,
    /// A token that one of our endpoints issued.
    Token(SessionToken),
}

/// What is known of one request.
#[derive(Clone, Debug)]
pub struct RequestFacts {
    /// Method, such as `GET`.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query, empty if there is none.
    pub query: String,
    /// Urgency from 0 to 7 of the `priority` header (RFC 9218).
    pub urgency: Option<u8>,
    /// Milliseconds that the caller gives the request.
    pub timeout_ms: Option<u64>,
    /// The session token.
    pub session: SessionFact,
    /// The idempotency key.
    pub key: Option<String>,
    /// When the request arrived.
    pub arrived: Instant,
    /// The same moment for values that leave the process.
    pub wall: SystemTime,
}

/// What the filters know of the agent.
#[derive(Debug)]
pub struct RequestContext<'a> {
    /// The agent's service; `None` while no catalogue is known.
    pub service: Option<&'a ServiceEntry>,
    /// Service for which the connection was made.
    pub number: ServiceNumber,
    /// Whether the connection's requests are no longer accepted.
    pub closing: bool,
    /// Whether another agent passed the request, because it takes this endpoint for the issuer of the token.
    pub passed: bool,
    /// Identity of this endpoint.
    pub endpoint: EndpointId,
    /// Requests that run or wait.
    pub in_flight: u32,
    /// Outcomes of keyed requests.
    pub once: &'a mut OnceController,
}

/// What dispatch needs to know of a request that passed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestPlan {
    /// Class after path prefixes and the caller's priority.
    pub class: TrafficClass,
    /// Owner of the service.
    pub owner: OwnerName,
    /// When the answer's head is of no use any more.
    pub deadline: Instant,
    /// Key whose outcome has to be reported.
    pub once: Option<OnceKey>,
}

/// Why a request was refused by a filter; it was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunReason {
    /// The service is not known or has another number than the connection.
    Service,
    /// No further key can be remembered.
    KeyTableFull,
    /// Capacity, deadline or drain.
    Dispatch(RefusalReason),
}

/// Why a request is not valid; it was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InvalidReason {
    /// The idempotency key is empty or too long.
    KeyLength,
    /// The idempotency key was used for another method or path.
    KeyReused,
}

/// Final result of the chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestVerdict {
    /// Give the request to dispatch.
    Dispatch(RequestPlan),
    /// The request was not run; the caller may try again.
    NotRun(NotRunReason),
    /// The request was not run, because it has a key and no session.
    SessionNeeded(SessionToken),
    /// The request was not run, because it is not valid.
    Invalid(InvalidReason),
    /// A copy of the request is in progress.
    InProgress,
    /// Answer with what the first copy got.
    Repeat(StoredAnswer),
    /// Pass the request to the endpoint that issued its token; that endpoint decides whether it runs.
    Home {
        /// The token.
        token: SessionToken,
        /// When the answer's head is of no use any more.
        deadline: Instant,
    },
    /// The outcome is unknown.
    Unknown(UnknownReason),
}

/// One step of the chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestFilter {
    /// The connection's service is the agent's service.
    Service,
    /// The connection still takes requests.
    Drain,
    /// When the answer is of no use any more.
    Deadline,
    /// How urgent the request is.
    Class,
    /// Limits on requests in flight.
    Limits,
    /// Keyed requests have a session of this life of the endpoint.
    Session,
    /// Keyed requests run at most once.
    Key,
}

/// All filters in their order; the key filter is the last, because it records that the request runs.
pub const REQUEST_CHAIN: [RequestFilter; 7] = [
    RequestFilter::Service,
    RequestFilter::Drain,
    RequestFilter::Deadline,
    RequestFilter::Class,
    RequestFilter::Session,
    RequestFilter::Limits,
    RequestFilter::Key,
];

/// Returns what tells short from long work: a hash of method and path, without the query.
pub fn work_key(method: &str, path: &str) -> u64 {
    xxh3_64(format!("{method} {path}").as_bytes())
}

enum FilterOutcome {
    Continue,
    Final(RequestVerdict),
}

/// Passes a request through the chain.
pub fn decide(facts: &RequestFacts, context: &mut RequestContext<'_>) -> RequestVerdict {
    let mut plan = RequestPlan {
        class: TrafficClass::default(),
        owner: OwnerName::new(),
        deadline: facts.arrived,
        once: None,
    };
    for filter in REQUEST_CHAIN {
        let outcome = match filter {
            RequestFilter::Service => check_service(&mut plan, context),
            RequestFilter::Drain => check_drain(context),
            RequestFilter::Deadline => set_deadline(facts, &mut plan, context),
            RequestFilter::Class => set_class(facts, &mut plan, context),
            RequestFilter::Session => check_session(facts, &plan, context),
            RequestFilter::Limits => check_limits(facts, context),
            RequestFilter::Key => check_key(facts, &mut plan, context),
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
    facts: &RequestFacts,
    plan: &mut RequestPlan,
    context: &RequestContext<'_>,
) -> FilterOutcome {
    let Some(service) = context.service else {
        return not_run(NotRunReason::Service);
    };
    let limits = &service.limits;
    let asked = facts.timeout_ms.unwrap_or(limits.deadline_ms);
    let granted = asked.min(limits.max_deadline_ms);
    if granted == 0 {
        return not_run(NotRunReason::Dispatch(RefusalReason::Deadline));
    }
    plan.deadline = facts.arrived + Duration::from_millis(granted);
    FilterOutcome::Continue
}

fn set_class(
    facts: &RequestFacts,
    plan: &mut RequestPlan,
    context: &RequestContext<'_>,
) -> FilterOutcome {
    let Some(service) = context.service else {
        return not_run(NotRunReason::Service);
    };
    let longest = service
        .path_classes
        .iter()
        .filter(|class| facts.path.starts_with(&class.prefix))
        .max_by_key(|class| class.prefix.len());
    let class = longest.map_or(service.class, |path| path.class);
    let asked = match facts.urgency {
        None => class,
        Some(0..=2) => TrafficClass::Urgent,
        Some(3) => TrafficClass::Standard,
        Some(_) => TrafficClass::Bulk,
    };
    // A later class is less urgent; a caller may only lower what the catalogue says.
    plan.class = class.max(asked);
    FilterOutcome::Continue
}

fn check_session(
    facts: &RequestFacts,
    plan: &RequestPlan,
    context: &RequestContext<'_>,
) -> FilterOutcome {
    let Some(key) = &facts.key else {
        return FilterOutcome::Continue;
    };
    if key.is_empty() || key.len() > KEY_MAX {
        return FilterOutcome::Final(RequestVerdict::Invalid(InvalidReason::KeyLength));
    }
    let verdict = match &facts.session {
        SessionFact::Absent => RequestVerdict::SessionNeeded(context.once.issue(facts.wall)),
        SessionFact::Unreadable => RequestVerdict::Unknown(UnknownReason::Unreadable),
        SessionFact::Token(token) => match context.once.check(token, facts.wall) {
            Ok(()) => return FilterOutcome::Continue,
            // A second agent never passes a request on, so that two views that differ make no loop.
            Err(UnknownReason::OtherEndpoint) if !context.passed => RequestVerdict::Home {
                token: *token,
                deadline: plan.deadline,
            },
            Err(reason) => RequestVerdict::Unknown(reason),
        },
    };
    FilterOutcome::Final(verdict)
}

fn check_limits(facts: &RequestFacts, context: &RequestContext<'_>) -> FilterOutcome {
    // A copy of a keyed request needs no capacity, and dispatch refuses a first copy before it runs.
    if facts.key.is_some() {
        return FilterOutcome::Continue;
    }
    let limit = context.service.map_or(0, |entry| entry.limits.in_flight);
    if context.in_flight >= limit {
        return not_run(NotRunReason::Dispatch(RefusalReason::InFlightLimit));
    }
    FilterOutcome::Continue
}

fn check_key(
    facts: &RequestFacts,
    plan: &mut RequestPlan,
    context: &mut RequestContext<'_>,
) -> FilterOutcome {
    let Some(key) = &facts.key else {
        return FilterOutcome::Continue;
    };
    let once = OnceKey {
        issuer: context.endpoint,
        key: key.clone(),
    };
    let request = format!("{}\n{}\n{}", facts.method, facts.path, facts.query);
    let decision = context
        .once
        .request(&once, xxh3_64(request.as_bytes()), facts.arrived);
    let verdict = match decision {
        OnceDecision::Run => {
            plan.once = Some(once);
            return FilterOutcome::Continue;
        }
        OnceDecision::InProgress => RequestVerdict::InProgress,
        OnceDecision::Stored(answer) => RequestVerdict::Repeat(answer),
        OnceDecision::Unknown(reason) => RequestVerdict::Unknown(reason),
        OnceDecision::Full => RequestVerdict::NotRun(NotRunReason::KeyTableFull),
        OnceDecision::Mismatch => RequestVerdict::Invalid(InvalidReason::KeyReused),
    };
    FilterOutcome::Final(verdict)
}
