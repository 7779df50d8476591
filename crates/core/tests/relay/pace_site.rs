//! Simulates the main service of the second deployment of docs/load.md in virtual time: real chains, fleet controllers,
//! meters and intake decisions, with upstreams that differ in their pace.

mod demand;
mod reports;

use crate::support::*;
use quetzalhill_core::relay::chain::{RelayChain, RelayVerdict};
use quetzalhill_core::relay::fleet::{FleetController, REPORT_INTERVAL};
use quetzalhill_core::relay::intake::{
    decide, IntakeContext, IntakeVerdict, ReturnReason, UpstreamState,
};
use quetzalhill_core::relay::load::LoadMeter;
use quetzalhill_core::relay::pace::PaceMeter;
use quetzalhill_core::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use quetzalhill_core::relay::place::EndpointKey;
use quetzalhill_core::relay::subscribe::SubscriberController;
use quetzalhill_core::relay::view::RelayView;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const ENTRIES: usize = 19;
pub(crate) const ENDPOINTS: usize = 40;
const ZONES: usize = 4;
pub(crate) const SLOTS: usize = 4;

/// Queue limit of an upstream, which refuses further requests.
const QUEUE_MAX: usize = 16;

/// Work of requests at the nominal pace, in milliseconds.
const STREAM_MS: f64 = 47.0;
const URGENT_MS: f64 = 61.0;

/// Mean pause between two requests of a long flow, in milliseconds.
const PAUSE_MS: f64 = 1_500.0;

/// Share of requests that take several times as long, and how many times.
const OUTLIERS: f64 = 0.03;
const OUTLIER_FACTOR: f64 = 7.0;

/// Time for which an upstream is slow after its start, and how much.
pub(crate) const COLD_TIME: Duration = Duration::from_secs(2);
const COLD_FACTOR: f64 = 1.6;

/// One-way network delays.
const CLIENT_DELAY: Duration = Duration::from_millis(3);
const ZONE_DELAY: Duration = Duration::from_micros(900);
const LOCAL_DELAY: Duration = Duration::from_micros(100);

/// Latency within which a request counts as in time.
const LATENCY_TARGET: Duration = Duration::from_millis(300);

/// Paces of the slow quarter and of the other upstreams.
pub(crate) const SLOW_PACE: f64 = 0.55;
pub(crate) const FAST_PACE: f64 = 1.2;

/// Which parts are on, and which load is simulated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PaceOptions {
    pub(crate) factor: bool,
    pub(crate) slow_start: bool,
    /// Whether all upstreams have the nominal pace.
    pub(crate) alike: bool,
    /// Factor on the rate of requests.
    pub(crate) load: f64,
    pub(crate) seed: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum EventKind {
    Opening,
    Intake { endpoint: usize, forced: bool },
    Returned { endpoint: usize, requests: u32 },
    Request,
    Done { endpoint: usize, incarnation: u64 },
    Report { endpoint: usize },
}

/// One flow of a caller.
#[derive(Clone, Copy, Debug)]
struct CallerFlow {
    addresses: FlowAddresses,
    entry: usize,
    endpoint: usize,
    incarnation: u64,
    requests_left: u32,
    acknowledged: u32,
    /// When the caller sent the current request, or opened the flow for it.
    sent: Instant,
    /// Work of the request in progress, in milliseconds at the nominal pace.
    work_ms: f64,
    is_outlier: bool,
}

/// One upstream with its agent.
pub(crate) struct SimulatedUpstream {
    pub(crate) pace: f64,
    pub(crate) meter: LoadMeter,
    incarnation: u64,
    cold_until: Instant,
    running: usize,
    waiting: VecDeque<usize>,
    /// Work done since the last call of [`PaceSite::take_work`], in milliseconds at the nominal pace.
    work_ms: f64,
    /// Most requests in progress since then.
    pub(crate) most: usize,
    /// Requests of usual work that it answered late since then, and all that it answered.
    pub(crate) late: u32,
    pub(crate) answered: u32,
}

/// Counts of requests since the last call of [`PaceSite::take_counts`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestCounts {
    pub(crate) sent: u32,
    pub(crate) in_time: u32,
    pub(crate) refused: u32,
    /// Requests of usual work that were answered late; some of the others miss the target at any upstream.
    pub(crate) late: u32,
}

impl RequestCounts {
    pub(crate) fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent)
    }

    pub(crate) fn share_late(&self) -> f64 {
        f64::from(self.late) / f64::from(self.sent)
    }
}

pub(crate) struct PaceSite {
    options: PaceOptions,
    start: Instant,
    pub(crate) now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, EventKind, usize)>>,
    order: u64,
    rng: SmallRng,
    chains: Vec<RelayChain>,
    fleets: Vec<FleetController>,
    built: Vec<Instant>,
    pub(crate) views: Vec<RelayView>,
    subscribers: Vec<SubscriberController>,
    pub(crate) upstreams: Vec<SimulatedUpstream>,
    flows: Vec<CallerFlow>,
    reports: u64,
    next_arrivals: Vec<(Instant, usize, bool)>,
    counts: RequestCounts,
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

pub(crate) fn endpoint_id(index: usize) -> u64 {
    id(u8::try_from(index + 1).expect("fits"))
}

/// Returns whether the upstream belongs to the slow quarter, which is spread over the zones.
pub(crate) fn is_slow(index: usize) -> bool {
    index % ZONES == (index / ZONES) % ZONES
}

fn urgent_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443)
}

fn head(flow: &CallerFlow, kind: PacketKind, data_len: usize) -> PacketHead {
    PacketHead {
        sequence: 0,
        flow: flow.addresses,
        kind,
        acknowledged: flow.acknowledged,
        data_len,
    }
}

impl PaceSite {
    pub(crate) fn new(options: PaceOptions) -> Self {
        let start = Instant::now();
        let mut view = view();
        let target = view.routes.by_address[&service_address()].clone();
        view.routes.by_address.insert(urgent_address(), target);
        let mut site = Self {
            options,
            start,
            now: start,
            events: BinaryHeap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            chains: Vec::new(),
            fleets: Vec::new(),
            built: vec![start; ENTRIES],
            views: vec![view; ENTRIES],
            subscribers: Vec::new(),
            upstreams: Vec::new(),
            flows: Vec::new(),
            reports: 0,
            next_arrivals: Vec::new(),
            counts: RequestCounts::default(),
        };
        for entry in 0..ENTRIES {
            site.chains.push(RelayChain::new(start));
            let fleet = FleetController::new(zone(entry)).with_pace(options.factor);
            site.fleets.push(fleet);
        }
        for endpoint in 0..ENDPOINTS {
            site.subscribers.push(reports::subscribers(endpoint, start));
            let pace = match (options.alike, is_slow(endpoint)) {
                (true, _) => 1.0,
                (false, true) => SLOW_PACE,
                (false, false) => FAST_PACE,
            };
            site.upstreams.push(SimulatedUpstream {
                pace,
                meter: LoadMeter::default(),
                incarnation: 0,
                cold_until: start,
                running: 0,
                waiting: VecDeque::new(),
                work_ms: 0.0,
                most: 0,
                late: 0,
                answered: 0,
            });
            let measures = options.factor || options.slow_start;
            if measures {
                let pace = PaceMeter::new(options.slow_start, start);
                site.upstreams[endpoint].meter = LoadMeter::with_pace(pace);
            }
            site.restart(endpoint);
            let phase = REPORT_INTERVAL.mul_f64(site.rng.random_range(0.0..1.0));
            site.push(start + phase, EventKind::Report { endpoint }, 0);
        }
        for entry in 0..ENTRIES {
            site.views[entry].services = site.fleets[entry].services(start);
        }
        for zone in 0..ZONES {
            for urgent in [false, true] {
                site.next_arrivals.push((start, zone, urgent));
            }
        }
        site
    }

    /// Replaces the upstream by a new incarnation, which has lost its flows and is cold. Its callers give up.
    pub(crate) fn restart(&mut self, endpoint: usize) {
        let upstream = &mut self.upstreams[endpoint];
        upstream.incarnation += 1;
        upstream.cold_until = self.now + COLD_TIME;
        upstream.running = 0;
        upstream.waiting.clear();
        upstream.meter.forget_before(self.now);
        if let Some(pace) = upstream.meter.pace() {
            pace.reset(self.now);
            pace.set_slots(u32::try_from(SLOTS).expect("fits"), self.now);
        }
        self.subscribers[endpoint].record_change(self.now);
        self.report(endpoint);
    }

    fn push(&mut self, at: Instant, kind: EventKind, flow: usize) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, kind, flow)));
    }

    /// Runs for `time`.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            self.draw_arrivals();
            let next = self.events.peek().map(|Reverse((at, ..))| *at);
            if next.is_none_or(|at| at > end) {
                self.now = end;
                return;
            }
            let Some(Reverse((now, _, kind, flow))) = self.events.pop() else {
                return;
            };
            self.now = now;
            self.step(kind, flow);
        }
    }

    fn step(&mut self, kind: EventKind, flow: usize) {
        match kind {
            EventKind::Opening => {
                self.counts.sent += 1;
                let opening = self.opening(flow);
                let entry = self.flows[flow].entry;
                let verdict = self.chains[entry].decide(&opening, &self.views[entry], self.now);
                self.deliver(flow, verdict);
            }
            EventKind::Intake { endpoint, forced } => self.intake(flow, endpoint, forced),
            EventKind::Returned { endpoint, requests } => {
                let opening = self.opening(flow);
                let key = EndpointKey {
                    id: endpoint_id(endpoint),
                    incarnation: self.upstreams[endpoint].incarnation,
                };
                let entry = self.flows[flow].entry;
                let reason = ReturnReason::Busy { requests };
                let (chain, view) = (&mut self.chains[entry], &self.views[entry]);
                let verdict = chain.decide_returned(&opening, key, reason, view, self.now);
                self.deliver(flow, verdict);
            }
            EventKind::Request => self.request(flow),
            EventKind::Done {
                endpoint,
                incarnation,
            } => self.done(flow, endpoint, incarnation),
            EventKind::Report { endpoint } => {
                self.report(endpoint);
                let at = self.now + REPORT_INTERVAL;
                self.push(at, EventKind::Report { endpoint }, 0);
            }
        }
    }

    fn opening(&self, flow: usize) -> PacketHead {
        head(&self.flows[flow], PacketKind::Opening { copies: 0 }, 0)
    }

    fn delay(&self, flow: usize, endpoint: usize) -> Duration {
        match self.flows[flow].entry % ZONES == endpoint % ZONES {
            true => LOCAL_DELAY,
            false => ZONE_DELAY,
        }
    }

    fn deliver(&mut self, flow: usize, verdict: RelayVerdict) {
        let RelayVerdict::Deliver { targets, .. } = verdict else {
            self.counts.refused += 1;
            return;
        };
        for target in targets {
            let mut endpoints = 0..ENDPOINTS;
            let found = endpoints.find(|index| endpoint_id(*index) == target.endpoint.id);
            let endpoint = found.expect("a known endpoint");
            let at = self.now + self.delay(flow, endpoint);
            let forced = target.forced;
            self.push(at, EventKind::Intake { endpoint, forced }, flow);
        }
    }

    fn intake(&mut self, flow: usize, endpoint: usize, forced: bool) {
        let delay = self.delay(flow, endpoint);
        let upstream = &mut self.upstreams[endpoint];
        let context = IntakeContext {
            cold_wait: None,
            kind: PacketKind::Opening { copies: 0 },
            state: UpstreamState::Ready,
            service_matches: true,
            failing: false,
            forced,
            busy: upstream.meter.pending_requests(self.now),
            slots: u32::try_from(SLOTS).expect("fits"),
            window: upstream.meter.pace().and_then(|pace| pace.window()),
        };
        if let IntakeVerdict::Return(_) = decide(&context) {
            let requests = context.busy;
            let returned = EventKind::Returned { endpoint, requests };
            return self.push(self.now + delay, returned, flow);
        }
        let accepting = head(&self.flows[flow], PacketKind::Accepting, 0);
        upstream.meter.record_sent(&accepting, self.now);
        self.flows[flow].endpoint = endpoint;
        self.flows[flow].incarnation = upstream.incarnation;
        let round = CLIENT_DELAY * 2 + delay;
        self.push(self.now + round, EventKind::Request, flow);
    }

    fn request(&mut self, flow: usize) {
        let endpoint = self.flows[flow].endpoint;
        let upstream = &mut self.upstreams[endpoint];
        if self.flows[flow].incarnation != upstream.incarnation {
            return;
        }
        let mean = match self.flows[flow].addresses.service == urgent_address() {
            true => URGENT_MS,
            false => STREAM_MS,
        };
        let mut work_ms = mean * self.rng.random_range(0.5..1.5);
        let is_outlier = self.rng.random_range(0.0..1.0) < OUTLIERS;
        self.flows[flow].is_outlier = is_outlier;
        if is_outlier {
            work_ms *= OUTLIER_FACTOR;
        }
        self.flows[flow].work_ms = work_ms;
        let data = head(&self.flows[flow], PacketKind::Established, 100);
        upstream.meter.record_delivered(&data, self.now);
        if upstream.running >= SLOTS && upstream.waiting.len() >= QUEUE_MAX {
            self.counts.refused += 1;
            upstream.meter.record_sent(&data, self.now);
            return;
        }
        upstream.waiting.push_back(flow);
        self.start_waiting(endpoint);
        let upstream = &mut self.upstreams[endpoint];
        upstream.most = upstream.most.max(upstream.running + upstream.waiting.len());
    }

    fn start_waiting(&mut self, endpoint: usize) {
        let upstream = &mut self.upstreams[endpoint];
        if upstream.running >= SLOTS {
            return;
        }
        let Some(flow) = upstream.waiting.pop_front() else {
            return;
        };
        upstream.running += 1;
        let cold = match self.now < upstream.cold_until {
            true => COLD_FACTOR,
            false => 1.0,
        };
        let seconds = self.flows[flow].work_ms * cold / upstream.pace / 1_000.0;
        let incarnation = upstream.incarnation;
        let at = self.now + Duration::from_secs_f64(seconds);
        let done = EventKind::Done {
            endpoint,
            incarnation,
        };
        self.push(at, done, flow);
    }

    fn done(&mut self, flow: usize, endpoint: usize, incarnation: u64) {
        let now = self.now;
        let upstream = &mut self.upstreams[endpoint];
        if incarnation != upstream.incarnation {
            return;
        }
        upstream.running -= 1;
        let record = &mut self.flows[flow];
        upstream.work_ms += record.work_ms;
        upstream.answered += 1;
        let answer = head(record, PacketKind::Established, 2_000);
        upstream.meter.record_sent(&answer, now);
        if now + CLIENT_DELAY <= record.sent + LATENCY_TARGET {
            self.counts.in_time += 1;
        } else if !record.is_outlier {
            self.counts.late += 1;
            upstream.late += 1;
        }
        record.requests_left -= 1;
        record.acknowledged += 2_000;
        if record.requests_left == 0 {
            let ending = head(record, PacketKind::Ending, 0);
            upstream.meter.record_sent(&ending, now);
        } else {
            let sent = now + CLIENT_DELAY + self.exponential(PAUSE_MS);
            self.flows[flow].sent = sent;
            self.counts.sent += 1;
            self.push(sent + CLIENT_DELAY, EventKind::Request, flow);
        }
        self.start_waiting(endpoint);
    }

    /// Returns the counts of requests since the last call.
    pub(crate) fn take_counts(&mut self) -> RequestCounts {
        std::mem::take(&mut self.counts)
    }

    /// Returns the work that each upstream did since the last call, in milliseconds at the nominal pace, and clears the
    /// greatest numbers of requests in progress.
    pub(crate) fn take_work(&mut self) -> Vec<f64> {
        let mut work = Vec::with_capacity(ENDPOINTS);
        for upstream in &mut self.upstreams {
            work.push(std::mem::take(&mut upstream.work_ms));
            upstream.most = 0;
            upstream.late = 0;
            upstream.answered = 0;
        }
        work
    }

    /// Returns the pace factor that an entry of the endpoint's zone has, or `None` if it is not known.
    pub(crate) fn factor(&self, endpoint: usize) -> Option<f64> {
        let service = &self.views[endpoint % ZONES].services[FEED];
        let mut endpoints = service.endpoints.iter();
        let found = endpoints.find(|known| known.id == endpoint_id(endpoint));
        let known = found.expect("a known endpoint");
        known.pace_known.then_some(known.pace_factor)
    }
}
