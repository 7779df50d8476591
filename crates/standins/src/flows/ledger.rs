//! Actual state of flows and requests, and the checks against what callers and upstreams observe.

use quetzalhill_core::ids::{IncarnationNumber, ServiceName, ZoneName};
use quetzalhill_core::relay::packet::FlowAddresses;
use quetzalhill_core::relay::routes::RouteSet;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time within which a change of the routes or evacuations has to be in force on every entry (the platform's bound).
const ROUTES_LIMIT: Duration = Duration::from_millis(3_000);

/// Time after the end of the last fault from which [`ROUTES_LIMIT`] holds again and all requests reach their upstreams
/// (the platform's bound).
const SETTLE_TIME: Duration = Duration::from_millis(4_000);

/// Time within which a packet of a request that is retransmitted reaches its upstream, on a site without faults (the
/// platform's bound).
const REACH_LIMIT: Duration = Duration::from_millis(2_000);

/// Time after an acknowledged announcement of draining from which an upstream gets no new flows (the platform's bound).
const DRAIN_LIMIT: Duration = Duration::from_millis(3_000);

/// Time after an entry has shown a version of the routes from which it shows no older one (the platform's bound).
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// Number of violations that are kept. The first ones are kept, since later ones are often their consequences.
const VIOLATIONS_MAX: usize = 20;

/// Ledger that all stand-ins of a site share.
pub type SharedLedger = Rc<RefCell<FlowLedger>>;

/// Outcome of a request at its caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RequestOutcome {
    /// The upstream ran the request and answered it.
    Answered,
    /// The upstream answered that it refused the request, or no flow could be opened for it.
    NotRun,
    /// There was no valid answer before the deadline or the end of the flow.
    Failed,
}

/// The upstream that holds an open flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FlowHolder {
    /// Address at which the upstream receives packets.
    pub upstream: SocketAddrV4,
    /// Incarnation of the upstream, for the text of a violation.
    pub incarnation: IncarnationNumber,
}

#[derive(Debug)]
struct PublishedRoutes {
    since: Instant,
    routes: RouteSet,
}

/// First transmission of a first packet.
#[derive(Debug)]
struct FlowOpening {
    /// Index of the entry that got all transmissions so far; `None` if several entries got them.
    entry: Option<usize>,
    sent: Instant,
}

/// What the placements of an entry have shown about its routes since its process was started.
#[derive(Debug)]
struct ShownRoutes {
    started: Instant,
    /// Index of the oldest published routes that the entry may have had at `since`.
    oldest: usize,
    since: Instant,
}

/// Actual state of flows and requests, and the violations so far.
#[derive(Debug)]
pub struct FlowLedger {
    started: Instant,
    routes: Vec<PublishedRoutes>,
    /// Evacuated zones with the time of the evacuation.
    evacuated: HashMap<ZoneName, Instant>,
    /// End of the last fault; `None` while one is active.
    fault_free_since: Option<Instant>,
    openings: HashMap<FlowAddresses, FlowOpening>,
    /// Per index of an entry.
    shown: HashMap<usize, ShownRoutes>,
    holders: HashMap<FlowAddresses, FlowHolder>,
    /// When the last packet of each open flow reached its holder.
    arrivals: HashMap<FlowAddresses, Instant>,
    /// Number of runs of each request that was sent and has not finished, or that failed.
    runs: HashMap<String, u32>,
    outcomes: BTreeMap<RequestOutcome, u64>,
    recent: Vec<(Instant, RequestOutcome)>,
    violations: Vec<String>,
}

impl FlowLedger {
    /// Creates an empty ledger; violations carry the time since `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            routes: Vec::new(),
            evacuated: HashMap::new(),
            fault_free_since: Some(now),
            openings: HashMap::new(),
            shown: HashMap::new(),
            holders: HashMap::new(),
            arrivals: HashMap::new(),
            runs: HashMap::new(),
            outcomes: BTreeMap::new(),
            recent: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Records that `check` has failed, unless [`VIOLATIONS_MAX`] violations are kept already.
    pub fn record_violation(&mut self, check: &str, details: String, now: Instant) {
        if self.violations.len() >= VIOLATIONS_MAX {
            return;
        }
        let at = now.saturating_duration_since(self.started).as_secs_f64();
        self.violations.push(format!("{at:.3} {check}: {details}"));
    }

    /// Returns the violations in the order in which they were recorded.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Records routes that the store has acknowledged. Removing a route ends its flows, so that their resets are no
    /// violations.
    pub fn record_routes(&mut self, routes: RouteSet, now: Instant) {
        self.holders
            .retain(|flow, _| routes.targets(flow.service).is_some());
        self.routes.push(PublishedRoutes { since: now, routes });
    }

    /// Returns the routes that were recorded last.
    pub fn routes(&self) -> RouteSet {
        self.routes
            .last()
            .map(|published| published.routes.clone())
            .unwrap_or_default()
    }

    /// Records whether the site is free of faults at `now`, since faults may delay route changes.
    pub fn set_fault_free(&mut self, fault_free: bool, now: Instant) {
        self.fault_free_since = match fault_free {
            true => self.fault_free_since.or(Some(now)),
            false => None,
        };
    }

    /// Checks that routes which may be in force let an upstream of `service` receive the first packet of `flow`. Its
    /// caller sent the packet at `sent`.
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
            let details =
                format!("{flow} was opened at {service}, which no published routes allow");
            return self.record_violation("ROUTE", details, now);
        }
        let in_force = &self.routes[self.oldest_in_force(sent)..];
        if self.has_settled(sent) && !in_force.iter().any(allows_service) {
            let details = format!(
                "{flow} was opened at {service} through {}, which only outdated routes allow",
                self.entry_text(flow)
            );
            self.record_violation("CONFIG", details, now);
        }
    }

    /// Returns whether all bounds hold for a packet that was sent at `sent`.
    fn has_settled(&self, sent: Instant) -> bool {
        self.fault_free_since
            .is_some_and(|since| since + SETTLE_TIME <= sent)
    }

    /// Returns the index of the oldest published routes that a packet which was sent at `sent` may be handled with.
    fn oldest_in_force(&self, sent: Instant) -> usize {
        let mut oldest = 0;
        for (index, published) in self.routes.iter().enumerate() {
            if published.since + ROUTES_LIMIT <= sent {
                oldest = index;
            }
        }
        oldest
    }

    /// Returns the entry that got the first packet of `flow`, for the text of a violation.
    fn entry_text(&self, flow: FlowAddresses) -> String {
        match self.openings.get(&flow).map(|opening| opening.entry) {
            Some(Some(entry)) => format!("entry-{entry}"),
            Some(None) => "several entries".into(),
            None => "an unknown entry".into(),
        }
    }

    /// Records that a transmission of the first packet of `flow` went to the entry with this index; its first
    /// transmission was sent at `sent`.
    pub fn record_opening(&mut self, flow: FlowAddresses, entry: usize, sent: Instant) {
        let opening = self.openings.entry(flow).or_insert(FlowOpening {
            entry: Some(entry),
            sent,
        });
        if opening.entry != Some(entry) {
            opening.entry = None;
        }
    }

    /// Records that a process of the entry with this index was started, which may begin with any routes.
    pub fn record_entry_start(&mut self, entry: usize, now: Instant) {
        let shown = ShownRoutes {
            started: now,
            oldest: 0,
            since: now,
        };
        self.shown.insert(entry, shown);
    }

    /// Checks that an entry which let an upstream of `service` receive the first packet of `flow` has not gone back to
    /// routes that are older than those it has shown. Flows whose first packet went to several entries are not judged.
    pub fn check_order(&mut self, flow: FlowAddresses, service: &ServiceName, now: Instant) {
        let Some(FlowOpening {
            entry: Some(entry),
            sent,
        }) = self.openings.get(&flow)
        else {
            return;
        };
        let Some(shown) = self.shown.get_mut(entry) else {
            return;
        };
        // An earlier process of the entry may have placed the flow.
        if *sent < shown.started {
            return;
        }
        let allows_service = |published: &PublishedRoutes| {
            let targets = published.routes.targets(flow.service);
            targets.is_some_and(|targets| targets.iter().any(|target| target.service == *service))
        };
        match self.routes[shown.oldest..].iter().position(allows_service) {
            Some(0) => {}
            Some(newer) => {
                shown.oldest += newer;
                shown.since = now;
            }
            None if shown.since + ROLLBACK_SLACK < *sent => {
                let details = format!(
                    "{flow} was opened at {service} through entry-{entry}, which had newer routes before"
                );
                self.record_violation("CONFIG", details, now);
            }
            None => {}
        }
    }

    /// Checks that the relay has a reason to reset the first packet of `flow`: a published version that may be in force
    /// has no route for it, or the site has not settled.
    pub fn check_refusal(&mut self, flow: FlowAddresses, now: Instant) {
        let Some(opening) = self.openings.get(&flow) else {
            return;
        };
        let sent = opening.sent;
        let in_force = &self.routes[self.oldest_in_force(sent)..];
        let has_route =
            |published: &PublishedRoutes| published.routes.targets(flow.service).is_some();
        if !self.has_settled(sent) || in_force.is_empty() || !in_force.iter().all(has_route) {
            return;
        }
        let details = format!(
            "{flow} was refused through {}, although all routes in force have its route",
            self.entry_text(flow)
        );
        self.record_violation("CONFIG", details, now);
    }

    /// Checks the send time of a first packet that reached an upstream which has been draining since `draining_since`.
    pub fn check_draining(
        &mut self,
        flow: FlowAddresses,
        draining_since: Instant,
        sent: Instant,
        now: Instant,
    ) {
        if draining_since + DRAIN_LIMIT < sent {
            let details = format!("{flow} was opened at an upstream that is draining");
            self.record_violation("DRAIN", details, now);
        }
    }

    /// Records that the store has acknowledged the evacuation of a zone, or its end.
    pub fn record_evacuation(&mut self, zone: &ZoneName, evacuated: bool, now: Instant) {
        match evacuated {
            true => {
                self.evacuated.entry(zone.clone()).or_insert(now);
            }
            false => {
                self.evacuated.remove(zone);
            }
        }
    }

    /// Returns whether operators have evacuated `zone`.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains_key(zone)
    }

    /// Checks the send time of a first packet that reached an upstream in `zone`.
    pub fn check_evacuation(
        &mut self,
        flow: FlowAddresses,
        zone: &ZoneName,
        sent: Instant,
        now: Instant,
    ) {
        let Some(since) = self.evacuated.get(zone) else {
            return;
        };
        if *since + ROUTES_LIMIT <= sent && self.has_settled(sent) {
            let details = format!(
                "{flow} was opened in the evacuated {zone} through {}",
                self.entry_text(flow)
            );
            self.record_violation("EVACUATION", details, now);
        }
    }

    /// Records that an upstream holds an open flow.
    pub fn record_open(&mut self, flow: FlowAddresses, holder: FlowHolder) {
        self.holders.insert(flow, holder);
    }

    /// Records that a packet of an open flow reached the upstream that holds it.
    pub fn record_arrival(&mut self, flow: FlowAddresses, now: Instant) {
        self.arrivals.insert(flow, now);
    }

    /// Records that a flow was closed by one of its ends.
    pub fn record_close(&mut self, flow: FlowAddresses) {
        self.holders.remove(&flow);
        self.arrivals.remove(&flow);
    }

    /// Checks a request that its caller sent at `sent`, retransmitted and gave up at `now`: if it was sent for
    /// [`REACH_LIMIT`] while the site had settled, a packet of it has reached the upstream that holds the flow.
    pub fn check_reached(&mut self, flow: FlowAddresses, sent: Instant, now: Instant) {
        let (Some(holder), Some(fault_free_since)) =
            (self.holders.get(&flow), self.fault_free_since)
        else {
            return;
        };
        let from = sent.max(fault_free_since + SETTLE_TIME);
        let reached = self.arrivals.get(&flow).is_some_and(|at| *at >= from);
        if reached || now < from + REACH_LIMIT {
            return;
        }
        let details = format!(
            "a request on {flow} never reached upstream {}@{}, which holds it",
            holder.upstream, holder.incarnation
        );
        self.record_violation("LOST", details, now);
    }

    /// Records that the upstream at this address has ended and has lost all its flows.
    pub fn record_upstream_end(&mut self, upstream: SocketAddrV4) {
        self.holders.retain(|_, holder| holder.upstream != upstream);
    }

    /// Checks a reset that the relay sent to a caller for an open flow; no upstream may hold the flow.
    pub fn check_reset(&mut self, flow: FlowAddresses, now: Instant) {
        let Some(holder) = self.holders.get(&flow) else {
            return;
        };
        let details = format!(
            "the relay reset {flow} although upstream {}@{} holds it",
            holder.upstream, holder.incarnation
        );
        self.record_violation("FLOW", details, now);
    }

    /// Records a request that a caller sends.
    pub fn record_sent(&mut self, request: &str) {
        self.runs.entry(request.into()).or_default();
    }

    /// Records that an upstream runs a request, and checks that a caller sent it and that it has not run before.
    pub fn record_run(&mut self, request: &str, now: Instant) {
        let Some(runs) = self.runs.get_mut(request) else {
            let details = format!("request {request} was run although no caller sent it");
            return self.record_violation("UNASKED", details, now);
        };
        *runs += 1;
        if *runs > 1 {
            let details = format!("request {request} was run {runs} times");
            self.record_violation("TWICE", details, now);
        }
    }

    /// Records the outcome of a request. If the outcome is [`RequestOutcome::NotRun`], checks that no upstream ran it.
    pub fn record_outcome(&mut self, request: &str, outcome: RequestOutcome, now: Instant) {
        let runs = self.runs.remove(request).unwrap_or_default();
        if outcome == RequestOutcome::NotRun && runs > 0 {
            let details = format!("request {request} was run but answered as not run");
            self.record_violation("NOT-RUN", details, now);
        }
        // A request that its caller has given up may still run later, so its count is kept.
        if outcome == RequestOutcome::Failed {
            self.runs.insert(request.into(), runs);
        }
        *self.outcomes.entry(outcome).or_default() += 1;
        self.recent.push((now, outcome));
    }

    /// Returns the number of requests with this outcome.
    pub fn count(&self, outcome: RequestOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or_default()
    }

    /// Returns the share of answered requests among those finished since `since`, or `None` if there were none.
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
