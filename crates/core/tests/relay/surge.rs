//! Simulates entries, agents, upstreams and callers in virtual time, for loads on several services at once.
//!
//! Runs the real chains, hold queues, controllers, meters and gates. Reports go to the entries of the zone every 400 ms and
//! to others every 2 s; an entry replaces its view every 200 ms and when the status of an endpoint changes.

use crate::support::*;
use quetzalhill_core::relay::chain::{ChainPolicy, RelayChain, RelayVerdict};
use quetzalhill_core::relay::cold::ColdGate;
use quetzalhill_core::relay::fleet::{
    EndpointReport, FleetController, ListedEndpoint, ReportOutcome, REPORT_INTERVAL,
};
use quetzalhill_core::relay::hold::HoldQueue;
use quetzalhill_core::relay::intake::{
    decide, IntakeContext, IntakeVerdict, ReturnReason, UpstreamState,
};
use quetzalhill_core::relay::load::LoadMeter;
use quetzalhill_core::relay::pace::{EndpointPace, ServiceTime};
use quetzalhill_core::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use quetzalhill_core::relay::routes::RouteSet;
use quetzalhill_core::relay::terms::FlowTerms;
use quetzalhill_core::relay::view::RelayView;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const ZONES: usize = 3;

/// One-way delays: caller to entry, within a zone, between zones.
const CALLER_DELAY: Duration = Duration::from_millis(1);
const LOCAL_DELAY: Duration = Duration::from_micros(100);
const ZONE_DELAY: Duration = Duration::from_micros(500);

/// When a caller sends copies of a first packet, and when it abandons the flow.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const ABANDON: Duration = Duration::from_millis(1_400);

/// Attempts of a caller for one request.
const ATTEMPTS: u32 = 3;

/// Factor on the work of a cold upstream.
const COLD_FACTOR: f64 = 1.6;

/// Interval of the views of an entry, and of the reports to entries of other zones.
const VIEW_INTERVAL: Duration = Duration::from_millis(200);
const FAR_REPORTS: u64 = 5;

/// One service of a plan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServicePlan {
    pub(crate) name: &'static str,
    pub(crate) endpoints: usize,
    pub(crate) slots: u32,
    /// Requests that wait at an upstream; it refuses further ones.
    pub(crate) queue_max: usize,
    pub(crate) cold_rate: Option<f64>,
}

/// One kind of request, which has a route of its own.
#[derive(Clone, Debug)]
pub(crate) struct KindPlan {
    pub(crate) shares: Vec<(&'static str, u32)>,
    pub(crate) work_ms: f64,
    pub(crate) target: Duration,
    pub(crate) timeout: Duration,
    pub(crate) rate_per_s: f64,
    /// Requests that arrive within the first 50 ms.
    pub(crate) returning: usize,
}

/// What a simulation plays.
#[derive(Clone, Debug)]
pub(crate) struct SurgePlan {
    pub(crate) policy: ChainPolicy,
    pub(crate) entries: usize,
    pub(crate) services: Vec<ServicePlan>,
    pub(crate) kinds: Vec<KindPlan>,
    pub(crate) length: Duration,
    /// Time over which the agents come up, and for which their upstreams are cold then.
    pub(crate) start_spread: Duration,
    pub(crate) cold_time: Duration,
    /// Share of the packets between entries and agents, and to callers, that are lost.
    pub(crate) loss: f64,
}

/// What callers and upstreams saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct SurgeResult {
    /// Latency of each request by kind; `None` if it was not answered before its timeout.
    pub(crate) latencies: Vec<(usize, Option<Duration>)>,
    /// Requests refused by an upstream whose queue was full.
    pub(crate) queue_refusals: usize,
    /// Verdicts of the chains by name.
    pub(crate) verdicts: BTreeMap<&'static str, usize>,
    /// Times of the first packets at each upstream.
    pub(crate) first_packets: Vec<Vec<Duration>>,
    /// Flows that were reset although an upstream accepted them.
    pub(crate) false_resets: usize,
}

impl SurgeResult {
    /// Returns the share of the requests of `kind` that were answered within `limit`.
    pub(crate) fn share_within(&self, kind: usize, limit: Duration) -> f64 {
        let of_kind = self.latencies.iter().filter(|(of, _)| *of == kind);
        let all = of_kind.clone().count();
        let good = of_kind.filter(|(_, latency)| latency.is_some_and(|latency| latency <= limit));
        // CAST: Counts are far below 2^52.
        good.count() as f64 / all.max(1) as f64
    }

    pub(crate) fn count(&self, verdict: &str) -> usize {
        self.verdicts.get(verdict).copied().unwrap_or(0)
    }
}

#[derive(Clone, Copy, Debug)]
enum EventKind {
    Send {
        flow: usize,
        copies: u32,
    },
    AtEntry {
        entry: usize,
        flow: usize,
        copies: u32,
    },
    Intake {
        entry: usize,
        endpoint: usize,
        flow: usize,
        copies: u32,
        forced: bool,
        limit: Option<u8>,
    },
    Returned {
        entry: usize,
        endpoint: usize,
        flow: usize,
        copies: u32,
        reason: ReturnReason,
    },
    Accepted {
        endpoint: usize,
        flow: usize,
    },
    Request {
        endpoint: usize,
        flow: usize,
    },
    Done {
        endpoint: usize,
        flow: usize,
    },
    Answered {
        flow: usize,
    },
    Failed {
        flow: usize,
    },
    Abandoned {
        flow: usize,
    },
    Start {
        endpoint: usize,
    },
    Report {
        endpoint: usize,
    },
    View {
        entry: usize,
    },
}

#[derive(Clone, Copy, Debug)]
struct CallerFlow {
    request: usize,
    opened: bool,
    failed: bool,
    reset: bool,
}

#[derive(Clone, Copy, Debug)]
struct CallerRequest {
    kind: usize,
    arrived: Instant,
    attempts: u32,
    latency: Option<Duration>,
}

struct Upstream {
    service: usize,
    zone: usize,
    number: u8,
    is_up: bool,
    cold_until: Instant,
    reports: u64,
    meter: LoadMeter,
    gate: ColdGate,
    running: usize,
    waiting: VecDeque<usize>,
}

struct Entry {
    chain: RelayChain,
    fleet: FleetController,
    hold: HoldQueue,
    view: RelayView,
}

pub(crate) struct SurgeSimulation {
    plan: SurgePlan,
    start: Instant,
    events: BTreeMap<(Instant, u64), EventKind>,
    order: u64,
    rng: SmallRng,
    entries: Vec<Entry>,
    upstreams: Vec<Upstream>,
    flows: Vec<CallerFlow>,
    requests: Vec<CallerRequest>,
    result: SurgeResult,
}

fn route_address(kind: usize) -> SocketAddrV4 {
    let number = u8::try_from(kind + 1).expect("fits");
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443)
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

impl SurgeSimulation {
    pub(crate) fn new(plan: SurgePlan, seed: u64) -> Self {
        let start = Instant::now();
        let mut simulation = Self {
            start,
            events: BTreeMap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
            entries: Vec::new(),
            upstreams: Vec::new(),
            flows: Vec::new(),
            requests: Vec::new(),
            result: SurgeResult::default(),
            plan,
        };
        simulation.add_upstreams();
        simulation.add_entries();
        simulation.draw_arrivals();
        simulation
    }

    fn add_upstreams(&mut self) {
        for (service, plan) in self.plan.services.clone().into_iter().enumerate() {
            for index in 0..plan.endpoints {
                let endpoint = self.upstreams.len();
                self.upstreams.push(Upstream {
                    service,
                    zone: index % ZONES,
                    number: u8::try_from(endpoint + 1).expect("fits"),
                    is_up: false,
                    cold_until: self.start,
                    reports: 0,
                    meter: LoadMeter::default(),
                    gate: ColdGate::new(self.start),
                    running: 0,
                    waiting: VecDeque::new(),
                });
                let up = self.plan.start_spread.mul_f64(self.rng.random());
                self.push(self.start + up, EventKind::Start { endpoint });
            }
        }
    }

    fn add_entries(&mut self) {
        for entry in 0..self.plan.entries {
            let mut fleet = FleetController::new(zone_name(entry % ZONES));
            for endpoint in 0..self.upstreams.len() {
                fleet.add_listed(self.listed(endpoint, 0), self.start);
            }
            let mut view = view();
            view.routes = self.routes();
            view.services = fleet.services(self.start);
            self.entries.push(Entry {
                chain: RelayChain::with_policy(self.plan.policy, self.start),
                fleet,
                hold: HoldQueue::default(),
                view,
            });
            let phase = VIEW_INTERVAL.mul_f64(self.rng.random());
            self.push(self.start + phase, EventKind::View { entry });
        }
    }

    fn routes(&self) -> RouteSet {
        let mut routes = routes(1, &[]);
        routes.by_address.clear();
        for (kind, plan) in self.plan.kinds.iter().enumerate() {
            routes
                .by_address
                .insert(route_address(kind), targets(&plan.shares));
            let terms = FlowTerms {
                target: plan.target,
                timeout: plan.timeout,
                ..FlowTerms::default()
            };
            routes.terms.insert(route_address(kind), terms);
        }
        for service in &self.plan.services {
            if let Some(rate) = service.cold_rate {
                routes.cold_rates.insert(service.name.into(), rate);
            }
        }
        routes
    }

    fn listed(&self, endpoint: usize, incarnation: u64) -> ListedEndpoint {
        let upstream = &self.upstreams[endpoint];
        let service = &self.plan.services[upstream.service];
        ListedEndpoint {
            id: id(upstream.number),
            service: service.name.into(),
            zone: zone_name(upstream.zone),
            incarnation,
            slots: service.slots,
        }
    }

    fn draw_arrivals(&mut self) {
        for (kind, plan) in self.plan.kinds.clone().into_iter().enumerate() {
            let mut times = Vec::new();
            for _ in 0..plan.returning {
                times.push(self.rng.random_range(0.0..0.05));
            }
            let mut at = 0.0;
            while plan.rate_per_s > 0.0 {
                at += -(1.0 - self.rng.random::<f64>()).ln() / plan.rate_per_s;
                if at >= self.plan.length.as_secs_f64() {
                    break;
                }
                times.push(at);
            }
            for at in times {
                let arrived = self.start + Duration::from_secs_f64(at);
                let attempts = 0;
                let request = self.requests.len();
                self.requests.push(CallerRequest {
                    kind,
                    arrived,
                    attempts,
                    latency: None,
                });
                self.open(request, arrived);
            }
        }
    }

    fn push(&mut self, at: Instant, kind: EventKind) {
        self.order += 1;
        self.events.insert((at, self.order), kind);
    }

    /// Passes a packet on unless it is lost.
    fn transfer(&mut self, at: Instant, kind: EventKind) {
        if self.plan.loss == 0.0 || !self.rng.random_bool(self.plan.loss) {
            self.push(at, kind);
        }
    }

    /// Opens a new flow for a request, unless the caller has given it up.
    fn open(&mut self, request: usize, now: Instant) {
        let state = &mut self.requests[request];
        let expires = state.arrived + self.plan.kinds[state.kind].timeout;
        if state.attempts >= ATTEMPTS || now >= expires {
            return;
        }
        state.attempts += 1;
        let flow = self.flows.len();
        self.flows.push(CallerFlow {
            request,
            opened: false,
            failed: false,
            reset: false,
        });
        self.push(now, EventKind::Send { flow, copies: 0 });
        self.push(now + COPIES[0], EventKind::Send { flow, copies: 1 });
        self.push(now + COPIES[1], EventKind::Send { flow, copies: 2 });
        self.push(now + ABANDON, EventKind::Abandoned { flow });
    }

    fn head(&self, flow: usize, kind: PacketKind, data_len: usize) -> PacketHead {
        let number = u32::try_from(flow).expect("fits") | 0x6440_0000;
        let kind_of_flow = self.requests[self.flows[flow].request].kind;
        PacketHead {
            flow: FlowAddresses {
                caller: SocketAddrV4::new(Ipv4Addr::from(number), 1_024),
                service: route_address(kind_of_flow),
            },
            kind,
            acknowledged: 77,
            data_len,
        }
    }

    pub(crate) fn run(mut self) -> SurgeResult {
        self.result.first_packets = vec![Vec::new(); self.upstreams.len()];
        // Requests that arrive at the end are answered or given up within the longest timeout.
        let rest = self.plan.kinds.iter().map(|kind| kind.timeout).max();
        let end = self.start + self.plan.length + rest.unwrap_or_default();
        while let Some(((now, _), kind)) = self.events.pop_first() {
            if now >= end {
                break;
            }
            self.step(kind, now);
        }
        for request in &self.requests {
            self.result.latencies.push((request.kind, request.latency));
        }
        self.result
    }

    fn step(&mut self, kind: EventKind, now: Instant) {
        match kind {
            EventKind::Send { flow, copies } => {
                let state = self.flows[flow];
                if state.opened || state.failed {
                    return;
                }
                let entry = self.rng.random_range(0..self.plan.entries);
                self.push(
                    now + CALLER_DELAY,
                    EventKind::AtEntry {
                        entry,
                        flow,
                        copies,
                    },
                );
            }
            EventKind::AtEntry {
                entry,
                flow,
                copies,
            } => {
                let head = self.head(flow, PacketKind::Opening { copies }, 0);
                let Entry { chain, view, .. } = &mut self.entries[entry];
                let verdict = chain.decide(&head, view, now);
                self.execute(entry, flow, copies, verdict, now);
            }
            EventKind::Intake { .. } => self.intake(kind, now),
            EventKind::Returned {
                entry,
                endpoint,
                flow,
                copies,
                reason,
            } => {
                let head = self.head(flow, PacketKind::Opening { copies }, 0);
                let key = key(self.upstreams[endpoint].number);
                let Entry { chain, view, .. } = &mut self.entries[entry];
                let verdict = chain.decide_returned(&head, key, reason, view, now);
                self.execute(entry, flow, copies, verdict, now);
            }
            EventKind::Accepted { endpoint, flow } => {
                let state = &mut self.flows[flow];
                // A caller drops the second acceptance of a flow, and one of a flow that it has given up.
                if state.opened || state.failed {
                    return;
                }
                state.opened = true;
                self.push(now + CALLER_DELAY, EventKind::Request { endpoint, flow });
            }
            EventKind::Request { endpoint, flow } => self.request(endpoint, flow, now),
            EventKind::Done { endpoint, flow } => self.done(endpoint, flow, now),
            EventKind::Answered { flow } => {
                let request = &mut self.requests[self.flows[flow].request];
                let latency = now - request.arrived;
                if latency <= self.plan.kinds[request.kind].timeout {
                    request.latency.get_or_insert(latency);
                }
            }
            EventKind::Failed { flow } => self.fail(flow, now),
            EventKind::Abandoned { flow } => {
                if !self.flows[flow].opened {
                    self.fail(flow, now);
                }
            }
            EventKind::Start { endpoint } => self.start_endpoint(endpoint, now),
            EventKind::Report { endpoint } => {
                self.report(endpoint, now);
                self.push(now + REPORT_INTERVAL, EventKind::Report { endpoint });
            }
            EventKind::View { entry } => {
                self.update_view(entry, now);
                self.push(now + VIEW_INTERVAL, EventKind::View { entry });
            }
        }
    }

    fn fail(&mut self, flow: usize, now: Instant) {
        if !self.flows[flow].failed {
            self.flows[flow].failed = true;
            self.open(self.flows[flow].request, now);
        }
    }

    fn delay(&self, entry: usize, endpoint: usize) -> Duration {
        match entry % ZONES == self.upstreams[endpoint].zone {
            true => LOCAL_DELAY,
            false => ZONE_DELAY,
        }
    }

    fn execute(
        &mut self,
        entry: usize,
        flow: usize,
        copies: u32,
        verdict: RelayVerdict,
        now: Instant,
    ) {
        *self
            .result
            .verdicts
            .entry(verdict_name(&verdict))
            .or_default() += 1;
        match verdict {
            RelayVerdict::Deliver { targets, .. } => {
                for target in targets {
                    let mut upstreams = self.upstreams.iter();
                    let found = upstreams.position(|known| id(known.number) == target.endpoint.id);
                    let endpoint = found.expect("known");
                    let (forced, limit) = (target.forced, target.cold_limit);
                    let at = now + self.delay(entry, endpoint);
                    self.transfer(
                        at,
                        EventKind::Intake {
                            entry,
                            endpoint,
                            flow,
                            copies,
                            forced,
                            limit,
                        },
                    );
                }
            }
            RelayVerdict::Reset(_) => {
                let state = &mut self.flows[flow];
                state.reset = true;
                self.result.false_resets += usize::from(state.opened);
                self.push(now + CALLER_DELAY, EventKind::Failed { flow });
            }
            RelayVerdict::Hold(reason) => {
                let bytes = [flow.to_le_bytes(), (copies as usize).to_le_bytes()].concat();
                self.entries[entry].hold.push(&bytes, reason, now);
            }
            RelayVerdict::Drop(_) => {}
        }
    }

    fn intake(&mut self, kind: EventKind, now: Instant) {
        let EventKind::Intake {
            entry,
            endpoint,
            flow,
            copies,
            forced,
            limit,
        } = kind
        else {
            return;
        };
        let delay = self.delay(entry, endpoint);
        let head = self.head(flow, PacketKind::Accepting, 0);
        let upstream = &mut self.upstreams[endpoint];
        if !upstream.is_up {
            return;
        }
        let context = IntakeContext {
            kind: PacketKind::Opening { copies },
            state: UpstreamState::Ready,
            service_matches: true,
            failing: false,
            forced,
            busy: upstream.meter.pending_requests(now),
            slots: self.plan.services[upstream.service].slots,
            cold_wait: upstream.gate.wait(limit, now),
        };
        if let IntakeVerdict::Return(reason) = decide(&context) {
            let returned = EventKind::Returned {
                entry,
                endpoint,
                flow,
                copies,
                reason,
            };
            return self.transfer(now + delay, returned);
        }
        if limit.is_some() {
            upstream.gate.record(now);
        }
        upstream.meter.record_sent(&head, now);
        self.result.first_packets[endpoint].push(now - self.start);
        self.result.false_resets += usize::from(self.flows[flow].reset);
        self.transfer(now + CALLER_DELAY, EventKind::Accepted { endpoint, flow });
    }

    fn request(&mut self, endpoint: usize, flow: usize, now: Instant) {
        let head = self.head(flow, PacketKind::Established, 100);
        let upstream = &mut self.upstreams[endpoint];
        let service = &self.plan.services[upstream.service];
        upstream.meter.record_delivered(&head, now);
        if upstream.running < service.slots as usize {
            return self.start_work(endpoint, flow, now);
        }
        if upstream.waiting.len() < service.queue_max {
            upstream.waiting.push_back(flow);
            return;
        }
        upstream.meter.record_sent(&head, now);
        self.result.queue_refusals += 1;
        self.push(now + CALLER_DELAY, EventKind::Failed { flow });
    }

    fn start_work(&mut self, endpoint: usize, flow: usize, now: Instant) {
        let upstream = &mut self.upstreams[endpoint];
        upstream.running += 1;
        let factor = match now < upstream.cold_until {
            true => COLD_FACTOR,
            false => 1.0,
        };
        let kind = self.requests[self.flows[flow].request].kind;
        let mean = self.plan.kinds[kind].work_ms * factor / 1_000.0;
        let work = -(1.0 - self.rng.random::<f64>()).ln() * mean;
        self.push(
            now + Duration::from_secs_f64(work),
            EventKind::Done { endpoint, flow },
        );
    }

    fn done(&mut self, endpoint: usize, flow: usize, now: Instant) {
        let head = self.head(flow, PacketKind::Established, 2_000);
        let upstream = &mut self.upstreams[endpoint];
        upstream.running -= 1;
        upstream.meter.record_sent(&head, now);
        let next = upstream.waiting.pop_front();
        self.push(now + CALLER_DELAY, EventKind::Answered { flow });
        if let Some(next) = next {
            self.start_work(endpoint, next, now);
        }
    }

    fn start_endpoint(&mut self, endpoint: usize, now: Instant) {
        let upstream = &mut self.upstreams[endpoint];
        upstream.is_up = true;
        upstream.cold_until = now + self.plan.cold_time;
        let announced_until = now + Duration::from_secs(3_600);
        let cold_until = Some(upstream.cold_until);
        upstream
            .gate
            .announce(cold_until, announced_until, true, now);
        self.report(endpoint, now);
        let phase = REPORT_INTERVAL.mul_f64(self.rng.random());
        self.push(now + phase, EventKind::Report { endpoint });
    }

    fn report(&mut self, endpoint: usize, now: Instant) {
        let service_times = self
            .plan
            .kinds
            .iter()
            .enumerate()
            .map(|(kind, plan)| ServiceTime {
                address: route_address(kind),
                average: Duration::from_secs_f64(plan.work_ms / 1_000.0),
            });
        let pace = EndpointPace {
            window: 0,
            service_times: service_times.collect(),
        };
        let endpoint_listed = self.listed(endpoint, INCARNATION);
        let upstream = &mut self.upstreams[endpoint];
        let is_first = upstream.reports == 0;
        let report = EndpointReport {
            endpoint: endpoint_listed,
            order: (1, upstream.reports),
            state: UpstreamState::Ready,
            stopping: false,
            load: upstream.meter.counts(now),
            addresses: [service_address()].into_iter().collect(),
            covers_all_flows: true,
            cold_until: Some(upstream.cold_until),
            digest: None,
            keepalive_sent: None,
            pace: Some(pace),
            expires: now + Duration::from_secs(10),
        };
        upstream.reports += 1;
        let (zone, number) = (upstream.zone, upstream.reports);
        for entry in 0..self.plan.entries {
            let refresh = (number + entry as u64) % FAR_REPORTS == 0;
            if entry % ZONES != zone && !refresh && !is_first {
                continue;
            }
            let outcome = self.entries[entry].fleet.report(report.clone(), now);
            if outcome == ReportOutcome::Status {
                self.update_view(entry, now);
            }
        }
    }

    fn update_view(&mut self, entry: usize, now: Instant) {
        let Entry {
            fleet, hold, view, ..
        } = &mut self.entries[entry];
        view.services = fleet.services(now);
        let released = hold.release(view, now);
        for bytes in released.ready {
            let (flow, copies) = bytes.split_at(8);
            let flow = usize::from_le_bytes(flow.try_into().expect("eight bytes"));
            let copies = usize::from_le_bytes(copies.try_into().expect("eight bytes"));
            let copies = u32::try_from(copies).expect("a small number");
            self.push(
                now,
                EventKind::AtEntry {
                    entry,
                    flow,
                    copies,
                },
            );
        }
    }
}

fn verdict_name(verdict: &RelayVerdict) -> &'static str {
    match verdict {
        RelayVerdict::Deliver { .. } => "placed",
        RelayVerdict::Reset(_) => "reset",
        RelayVerdict::Hold(_) => "held",
        RelayVerdict::Drop(_) => "dropped",
    }
}
