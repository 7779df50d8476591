//! Simulates all callers returning at once, and checks the share of requests that are answered in time.
//!
//! Runs real chains, meters and controllers in virtual time. Sizes and rates are those of the grown Lucky Slip after
//! a power failure: 38 endpoints with 2 slots, 18 entries, 4 availability zones, 1,250 requests per second.

use crate::support::*;
use quetzalhill_core::relay::chain::{RelayChain, RelayVerdict};
use quetzalhill_core::relay::fleet::{
    EndpointReport, FleetController, ListedEndpoint, REPORT_INTERVAL,
};
use quetzalhill_core::relay::intake::{
    decide, IntakeContext, IntakeVerdict, ReturnReason, UpstreamState,
};
use quetzalhill_core::relay::load::{FlowCoverage, LoadMeter};
use quetzalhill_core::relay::packet::{PacketHead, PacketKind};
use quetzalhill_core::relay::subscribe::{EntryKeepalive, ReportRate, SubscriberController};
use quetzalhill_core::relay::view::RelayView;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

const ENTRIES: usize = 18;
const ENDPOINTS: usize = 38;
const ZONES: usize = 4;
const SLOTS: usize = 2;

/// Mean work of a request of the feed, and its factor while an upstream is cold, which lasts two seconds.
const WORK_MS: f64 = 27.6;
const COLD_FACTOR: f64 = 1.6;
const COLD_TIME: Duration = Duration::from_secs(2);

/// Requests that return at once after an outage of a second, the time over which they spread, and the rate of new
/// ones.
const RETURNING: u64 = 1_000;
const RETURN_MS: f64 = 250.0;
const RATE_PER_S: f64 = 1_250.0;

/// Simulated time.
const LENGTH: Duration = Duration::from_secs(3);

/// One-way network delays.
const CLIENT_DELAY: Duration = Duration::from_millis(1);
const ZONE_DELAY: Duration = Duration::from_micros(500);
const LOCAL_DELAY: Duration = Duration::from_micros(100);

/// Queue limit of an upstream, which refuses further requests.
const QUEUE_MAX: usize = 8;

/// Latency within which a request counts as in time.
const LATENCY_TARGET: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum EventKind {
    /// A first packet arrives at an entry.
    Opening,
    /// A first packet arrives at an agent.
    Intake { endpoint: usize, forced: bool },
    /// An agent's return of a first packet arrives at the entry.
    Returned { endpoint: usize, requests: u32 },
    /// The request of an accepted flow arrives at the upstream.
    Request { endpoint: usize },
    /// The upstream finishes a request.
    Done { endpoint: usize },
    /// The report of an agent arrives at all entries.
    Report { endpoint: usize },
}

/// Shares of the requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
struct HerdResult {
    in_time: f64,
    refused: f64,
}

struct HerdSimulation {
    start: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, EventKind, u16)>>,
    order: u64,
    rng: SmallRng,
    chains: Vec<RelayChain>,
    fleets: Vec<FleetController>,
    subscribers: Vec<SubscriberController>,
    views: Vec<RelayView>,
    meters: Vec<LoadMeter>,
    running: Vec<usize>,
    waiting: Vec<VecDeque<u16>>,
    reports: u64,
    arrived: Vec<Instant>,
    queried: usize,
    in_time: usize,
    refused: usize,
}

fn endpoint_number(index: usize) -> u8 {
    u8::try_from(index + 1).expect("fits")
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

fn listed(index: usize) -> ListedEndpoint {
    ListedEndpoint {
        id: id(endpoint_number(index)),
        service: FEED.into(),
        zone: zone(index),
        incarnation: INCARNATION,
        slots: u32::try_from(SLOTS).expect("fits"),
    }
}

/// Returns the subscriptions of all entries to the reports of an endpoint, which are all due at `now`.
fn subscribers(endpoint: usize, now: Instant) -> SubscriberController {
    let mut subscribers = SubscriberController::default();
    for entry in 0..ENTRIES {
        let rate = match zone(entry) == zone(endpoint) {
            true => ReportRate::Frequent,
            false => ReportRate::Sparse,
        };
        let keepalive = EntryKeepalive {
            clock_ms: 0,
            urgent: false,
            rate,
            expires: now + Duration::from_secs(3_600),
        };
        let id = u64::try_from(entry).expect("fits");
        subscribers.subscribe(id, keepalive, now);
    }
    subscribers.record_change(now);
    subscribers
}

impl HerdSimulation {
    fn new(seed: u64) -> Self {
        let start = Instant::now();
        let mut simulation = Self {
            start,
            events: BinaryHeap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
            chains: Vec::new(),
            fleets: Vec::new(),
            subscribers: Vec::new(),
            views: vec![view(); ENTRIES],
            meters: Vec::new(),
            running: vec![0; ENDPOINTS],
            waiting: vec![VecDeque::new(); ENDPOINTS],
            reports: 0,
            arrived: Vec::new(),
            queried: 0,
            in_time: 0,
            refused: 0,
        };
        simulation.meters.resize_with(ENDPOINTS, LoadMeter::default);
        for entry in 0..ENTRIES {
            simulation.chains.push(RelayChain::new(start));
            simulation.fleets.push(FleetController::new(zone(entry)));
        }
        for endpoint in 0..ENDPOINTS {
            simulation.subscribers.push(subscribers(endpoint, start));
            simulation.report(endpoint, start);
            let phase = REPORT_INTERVAL.mul_f64(simulation.rng.random_range(0.0..1.0));
            simulation.push(start + phase, EventKind::Report { endpoint }, 0);
        }
        simulation.draw_arrivals();
        simulation
    }

    fn draw_arrivals(&mut self) {
        let mut times = Vec::new();
        for _ in 0..RETURNING {
            times.push(self.rng.random_range(0.0..RETURN_MS));
        }
        let mut at = 0.0;
        while at < LENGTH.as_secs_f64() * 1_000.0 {
            at += -(1.0 - self.rng.random_range(0.0..1.0_f64)).ln() * 1_000.0 / RATE_PER_S;
            times.push(at);
        }
        for ms in times {
            let flow = u16::try_from(self.arrived.len()).expect("fits");
            let at = self.start + Duration::from_secs_f64(ms / 1_000.0);
            self.arrived.push(at);
            self.push(at + CLIENT_DELAY, EventKind::Opening, flow);
        }
    }

    fn push(&mut self, at: Instant, kind: EventKind, flow: u16) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, kind, flow)));
    }

    fn run(mut self) -> HerdResult {
        let end = self.start + LENGTH;
        while let Some(Reverse((now, _, kind, flow))) = self.events.pop() {
            if now >= end {
                break;
            }
            self.step(kind, flow, now);
        }
        // CAST: Counts are far below 2^52.
        let share = |count: usize| count as f64 / self.arrived.len() as f64;
        HerdResult {
            in_time: share(self.in_time),
            refused: share(self.refused),
        }
    }

    fn step(&mut self, kind: EventKind, flow: u16, now: Instant) {
        let entry = usize::from(flow) % ENTRIES;
        match kind {
            EventKind::Opening => {
                let verdict = self.chains[entry].decide(&opening(flow), &self.views[entry], now);
                self.deliver(entry, flow, verdict, now);
            }
            EventKind::Intake { endpoint, forced } => self.intake(endpoint, forced, flow, now),
            EventKind::Returned { endpoint, requests } => {
                let key = key(endpoint_number(endpoint));
                let verdict = self.chains[entry].decide_returned(
                    &opening(flow),
                    key,
                    ReturnReason::Busy { requests },
                    &self.views[entry],
                    now,
                );
                self.deliver(entry, flow, verdict, now);
            }
            EventKind::Request { endpoint } => self.request(endpoint, flow, now),
            EventKind::Done { endpoint } => self.done(endpoint, flow, now),
            EventKind::Report { endpoint } => {
                self.report(endpoint, now);
                self.push(now + REPORT_INTERVAL, EventKind::Report { endpoint }, 0);
            }
        }
    }

    fn delay(entry: usize, endpoint: usize) -> Duration {
        match entry % ZONES == endpoint % ZONES {
            true => LOCAL_DELAY,
            false => ZONE_DELAY,
        }
    }

    fn deliver(&mut self, entry: usize, flow: u16, verdict: RelayVerdict, now: Instant) {
        let RelayVerdict::Deliver { targets, .. } = verdict else {
            self.refused += 1;
            return;
        };
        self.queried += 1;
        for target in targets {
            let mut endpoints = 0..ENDPOINTS;
            let found = endpoints.find(|index| id(endpoint_number(*index)) == target.endpoint.id);
            let endpoint = found.expect("known");
            let intake = EventKind::Intake {
                endpoint,
                forced: target.forced,
            };
            self.push(now + Self::delay(entry, endpoint), intake, flow);
        }
    }

    fn intake(&mut self, endpoint: usize, forced: bool, flow: u16, now: Instant) {
        let entry = usize::from(flow) % ENTRIES;
        let context = IntakeContext {
            kind: PacketKind::Opening { copies: 0 },
            state: UpstreamState::Ready,
            service_matches: true,
            failing: false,
            forced,
            busy: self.meters[endpoint].pending_requests(now),
            slots: u32::try_from(SLOTS).expect("fits"),
            cold_wait: None,
            window: None,
        };
        let delay = Self::delay(entry, endpoint);
        if let IntakeVerdict::Return(_) = decide(&context) {
            let returned = EventKind::Returned {
                endpoint,
                requests: context.busy,
            };
            return self.push(now + delay, returned, flow);
        }
        self.meters[endpoint].record_sent(&packet(flow, PacketKind::Accepting), now);
        let round = CLIENT_DELAY * 2 + delay;
        self.push(now + round, EventKind::Request { endpoint }, flow);
    }

    fn request(&mut self, endpoint: usize, flow: u16, now: Instant) {
        let head = PacketHead {
            data_len: 100,
            ..established(flow)
        };
        self.meters[endpoint].record_delivered(&head, now);
        if self.running[endpoint] < SLOTS {
            return self.start(endpoint, flow, now);
        }
        if self.waiting[endpoint].len() >= QUEUE_MAX {
            self.refused += 1;
            self.meters[endpoint].record_sent(&head, now);
            return;
        }
        self.waiting[endpoint].push_back(flow);
    }

    fn start(&mut self, endpoint: usize, flow: u16, now: Instant) {
        self.running[endpoint] += 1;
        let done = now + self.draw_work(now);
        self.push(done, EventKind::Done { endpoint }, flow);
    }

    fn draw_work(&mut self, now: Instant) -> Duration {
        let cold = match now < self.start + COLD_TIME {
            true => COLD_FACTOR,
            false => 1.0,
        };
        let work = -(1.0 - self.rng.random_range(0.0..1.0_f64)).ln() * WORK_MS * cold;
        Duration::from_secs_f64(work / 1_000.0)
    }

    fn done(&mut self, endpoint: usize, flow: u16, now: Instant) {
        self.running[endpoint] -= 1;
        let head = PacketHead {
            data_len: 2_000,
            ..established(flow)
        };
        self.meters[endpoint].record_sent(&head, now);
        if now + CLIENT_DELAY <= self.arrived[usize::from(flow)] + LATENCY_TARGET {
            self.in_time += 1;
        }
        if let Some(next) = self.waiting[endpoint].pop_front() {
            self.start(endpoint, next, now);
        }
    }

    /// Reports to the entries that the agent's subscriptions say: those of other zones get old counts.
    fn report(&mut self, endpoint: usize, now: Instant) {
        self.reports += 1;
        let load = self.meters[endpoint].counts(now);
        for due in self.subscribers[endpoint].take_due(now) {
            let entry = usize::try_from(due.entry).expect("an index");
            let (fleet, view) = (&mut self.fleets[entry], &mut self.views[entry]);
            let report = EndpointReport {
                endpoint: listed(endpoint),
                order: (1, self.reports),
                state: UpstreamState::Ready,
                stopping: false,
                load,
                addresses: [service_address()].into_iter().collect(),
                coverage: FlowCoverage::Complete,
                cold_until: None,
                digest: None,
                keepalive_sent: None,
                pace: None,
                expires: due.expires,
            };
            fleet.report(report, now);
            view.services = fleet.services(now);
        }
    }
}

/// Serves the same requests from one central queue with knowledge of every slot, and returns the share that is in
/// time. When the queue is too long for all requests to be in time, the oldest one is refused.
fn serve_centrally(seed: u64) -> f64 {
    let mut simulation = HerdSimulation::new(seed);
    let mut events: BinaryHeap<Reverse<(Instant, bool, usize)>> = BinaryHeap::new();
    for (index, at) in simulation.arrived.iter().enumerate() {
        events.push(Reverse((*at + CLIENT_DELAY, false, index)));
    }
    // CAST: Both are small and positive.
    let queue_limit = (ENDPOINTS * SLOTS) as f64
        * (LATENCY_TARGET.as_secs_f64() * 1_000.0 / (WORK_MS * COLD_FACTOR) - 1.0);
    let mut free = ENDPOINTS * SLOTS;
    let mut queue: VecDeque<usize> = VecDeque::new();
    let mut in_time = 0.0;
    while let Some(Reverse((now, done, index))) = events.pop() {
        if now >= simulation.start + LENGTH {
            break;
        }
        if done {
            free += 1;
            if now + CLIENT_DELAY <= simulation.arrived[index] + LATENCY_TARGET {
                in_time += 1.0;
            }
        } else {
            queue.push_back(index);
            if queue.len() as f64 > queue_limit {
                queue.pop_front();
            }
        }
        while free > 0 {
            let Some(next) = queue.pop_front() else {
                break;
            };
            free -= 1;
            let work = simulation.draw_work(now);
            events.push(Reverse((now + work, true, next)));
        }
    }
    in_time / simulation.arrived.len() as f64
}

/// Bound on the share in time here relative to that of a central queue (docs/design.md, section 1).
const CENTRAL_SHARE: f64 = 0.95;

/// Number of seeds that are simulated.
const SEEDS: u64 = 6;

/// Guards against a load peak at which some upstreams have long queues while others are idle.
#[test]
fn returning_callers_are_served_almost_as_well_as_by_a_central_queue() {
    let mut relayed = 0.0;
    let mut central = 0.0;
    let mut refused = 0.0;
    for seed in 0..SEEDS {
        let result = HerdSimulation::new(seed).run();
        relayed += result.in_time;
        refused += result.refused;
        central += serve_centrally(seed);
    }
    let ratio = relayed / central;
    // CAST: The number of seeds is small.
    let seeds = SEEDS as f64;
    println!(
        "in time {:.4}, refused {:.4}, central {:.4}, ratio {ratio:.4}",
        relayed / seeds,
        refused / seeds,
        central / seeds
    );
    assert!(ratio >= CENTRAL_SHARE, "{ratio}");
}
