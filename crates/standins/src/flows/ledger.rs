//! What is true of flows and requests, and what was seen that must never be.

use quetzalhill_core::ids::{IncarnationNumber, ServiceName};
use quetzalhill_core::relay::packet::FlowAddresses;
use quetzalhill_core::relay::routes::RouteSet;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time within which a change of routes is in force on every entry (the platform's bound).
const ROUTES_LIMIT: Duration = Duration::from_millis(3_000);

/// Time after the end of a fault from which the bound on routes holds again (the platform's bound).
const SETTLE_TIME: Duration = Duration::from_millis(4_000);

/// Time after an acknowledged announcement from which a leaving upstream gets no new flow (the platform's bound).
const DRAIN_LIMIT: Duration = Duration::from_millis(3_000);

/// Violations that are kept; the first ones tell most.
const VIOLATIONS_MAX: usize = 20;

/// Ledger that all stand-ins of a site share.
pub type SharedLedger = Rc<RefCell<FlowLedger>>;

/// What a caller got for a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RequestOutcome {
    /// The answer.
    Answered,
    /// A true word that it has not run.
    NotRun,
    /// Nothing in time, or the end of its flow.
    Failed,
}

/// The upstream that holds an open flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FlowHolder {
    /// Where the upstream takes packets.
    pub upstream: SocketAddrV4,
    /// Its life.
    pub incarnation: IncarnationNumber,
}

#[derive(Debug)]
struct PublishedRoutes {
    since: Instant,
    routes: RouteSet,
}

/// Truth and violations.
#[derive(Debug)]
pub struct FlowLedger {
    started: Instant,
    routes: Vec<PublishedRoutes>,
    /// When the last fault ended that may delay routes, or nothing while one lasts.
    fault_free_since: Option<Instant>,
    holders: HashMap<FlowAddresses, FlowHolder>,
    /// Requests that callers have sent, and how often each has run.
    runs: HashMap<String, u32>,
    outcomes: BTreeMap<RequestOutcome, u64>,
    recent: Vec<(Instant, RequestOutcome)>,
    violations: Vec<String>,
}

impl FlowLedger {
    /// Makes an empty ledger.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            routes: Vec::new(),
            fault_free_since: Some(now),
            holders: HashMap::new(),
            runs: HashMap::new(),
            outcomes: BTreeMap::new(),
            recent: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Notes something that must never be seen.
    pub fn record_violation(&mut self, check: &str, details: String, now: Instant) {
        if self.violations.len() >= VIOLATIONS_MAX {
            return;
        }
        let at = now.saturating_duration_since(self.started).as_secs_f64();
        self.violations.push(format!("{at:.3} {check}: {details}"));
    }

    /// Returns the violations so far.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Notes routes that the store has acknowledged. A route that is removed ends its flows, so that their resets are
    /// not judged.
    pub fn record_routes(&mut self, routes: RouteSet, now: Instant) {
        self.holders
            .retain(|flow, _| routes.targets(flow.service).is_some());
        self.routes.push(PublishedRoutes { since: now, routes });
    }

    /// Returns the routes published last.
    pub fn routes(&self) -> RouteSet {
        self.routes
            .last()
            .map(|published| published.routes.clone())
            .unwrap_or_default()
    }

    /// Notes whether a fault lasts that may delay routes.
    pub fn set_fault_free(&mut self, fault_free: bool, now: Instant) {
        self.fault_free_since = fault_free.then_some(now);
    }

    /// Checks the upstream that accepts a first packet which its caller sent at `sent`.
    pub fn check_opening(
        &mut self,
        flow: FlowAddresses,
        service: &ServiceName,
        sent: Instant,
        now: Instant,
    ) {
        let allows_service = |published: &PublishedRoutes| {
            let targets = published.routes.targets(flow.service);
            targets.is_some_and(|targets| targets.iter().any(|target| target.service == *service))
        };
        if !self.routes.iter().any(allows_service) {
            let details = format!("{flow} was opened at {service}, which no routes allow");
            return self.record_violation("ROUTE", details, now);
        }
        let settled = self
            .fault_free_since
            .is_some_and(|since| since + SETTLE_TIME <= sent);
        let mut oldest_in_force = 0;
        for (index, published) in self.routes.iter().enumerate() {
            if published.since + ROUTES_LIMIT <= sent {
                oldest_in_force = index;
            }
        }
        if settled && !self.routes[oldest_in_force..].iter().any(allows_service) {
            let details = format!("{flow} was opened at {service} by routes of the past");
            self.record_violation("CONFIG", details, now);
        }
    }

    /// Checks that an upstream which said at `draining_since` that it leaves gets no first packet that was sent late.
    pub fn check_draining(
        &mut self,
        flow: FlowAddresses,
        draining_since: Instant,
        sent: Instant,
        now: Instant,
    ) {
        if draining_since + DRAIN_LIMIT < sent {
            let details = format!("{flow} reached an upstream that leaves");
            self.record_violation("DRAIN", details, now);
        }
    }

    /// Notes that a flow is open.
    pub fn record_open(&mut self, flow: FlowAddresses, holder: FlowHolder) {
        self.holders.insert(flow, holder);
    }

    /// Notes that a flow is not open any more.
    pub fn record_close(&mut self, flow: FlowAddresses) {
        self.holders.remove(&flow);
    }

    /// Notes that an upstream has lost all its flows.
    pub fn record_upstream_end(&mut self, upstream: SocketAddrV4) {
        self.holders.retain(|_, holder| holder.upstream != upstream);
    }

    /// Checks a reset that the system sent for a flow which its caller holds for open.
    pub fn check_reset(&mut self, flow: FlowAddresses, now: Instant) {
        let Some(holder) = self.holders.get(&flow) else {
            return;
        };
        let details = format!(
            "{flow} was reset although {}@{} holds it",
            holder.upstream, holder.incarnation
        );
        self.record_violation("FLOW", details, now);
    }

    /// Notes a request that a caller sends.
    pub fn record_sent(&mut self, request: &str) {
        self.runs.entry(request.into()).or_default();
    }

    /// Notes that a request runs.
    pub fn record_run(&mut self, request: &str, now: Instant) {
        let Some(runs) = self.runs.get_mut(request) else {
            let details = format!("request {request} runs, and no caller sent it");
            return self.record_violation("UNASKED", details, now);
        };
        *runs += 1;
        if *runs > 1 {
            let details = format!("request {request} runs {runs} times");
            self.record_violation("TWICE", details, now);
        }
    }

    /// Notes what came of a request.
    pub fn record_outcome(&mut self, request: &str, outcome: RequestOutcome, now: Instant) {
        let runs = self.runs.remove(request).unwrap_or_default();
        if outcome == RequestOutcome::NotRun && runs > 0 {
            let details = format!("request {request} ran and was called not run");
            self.record_violation("NOT-RUN", details, now);
        }
        // A request that its caller gave up may still run later; it stays known.
        if outcome == RequestOutcome::Failed {
            self.runs.insert(request.into(), runs);
        }
        *self.outcomes.entry(outcome).or_default() += 1;
        self.recent.push((now, outcome));
    }

    /// Returns how many requests had an outcome.
    pub fn count(&self, outcome: RequestOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or_default()
    }

    /// Returns the share of requests since `since` that were answered, or nothing if there were none.
    pub fn answered_share(&self, since: Instant) -> Option<f64> {
        let mut answered = 0.0;
        let mut all = 0.0;
        for (at, outcome) in &self.recent {
            if *at < since {
                continue;
            }
            all += 1.0;
            if *outcome == RequestOutcome::Answered {
                answered += 1.0;
            }
        }
        (all > 0.0).then(|| answered / all)
    }
}
