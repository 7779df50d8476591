//! Simulates entries, agents, upstreams and callers in virtual time, for loads on several services at once.
//!
//! Runs the real chains, hold queues, controllers, meters and gates. Reports go to the entries of the zone every 400 ms and
//! to others every 2 s; an entry replaces its view every 200 ms and when the status of an endpoint changes.

mod plan;
mod setup;

pub(crate) use self::plan::{KindPlan, ServicePlan, SurgePlan, SurgeResult};

use self::plan::verdict_name;
use self::setup::route_address;
use crate::support::*;
use quetzalhill_core::relay::chain::{RelayChain, RelayVerdict};
use quetzalhill_core::relay::cold::ColdGate;
use quetzalhill_core::relay::fleet::{
    EndpointReport, FleetController, ListedEndpoint, ReportOutcome, REPORT_INTERVAL,
};
use quetzalhill_core::relay::hold::HoldQueue;
use quetzalhill_core::relay::intake::{
    decide, IntakeContext, IntakeVerdict, ReturnReason, UpstreamState,
};
use quetzalhill_core::relay::load::{FlowCoverage, LoadMeter};
use quetzalhill_core::relay::pace::{EndpointPace, ServiceTime};
use quetzalhill_core::relay::packet::{FlowAddresses, PacketHead, PacketKind};
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

/// When a caller sends a first packet and its copies, and when it abandons the flow.
const COPIES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];
const ABANDON: Duration = Duration::from_millis(1_400);

/// Attempts of a caller for one request.
const ATTEMPTS: u32 = 3;

/// Factor on the work of a cold upstream.
const COLD_FACTOR: f64 = 1.6;

/// Interval of the views of an entry, and of the reports to entries of other zones.
const VIEW_INTERVAL: Duration = Duration::from_millis(200);
const FAR_REPORTS: u64 = 5;

/// A first packet, and the entry and endpoint between which it is; the endpoint is 0 while there is none.
#[derive(Clone, Copy, Debug)]
struct FirstPacket {
    flow: usize,
    copies: u32,
    entry: usize,
    endpoint: usize,
}

#[derive(Clone, Copy, Debug)]
enum EventKind {
    Send(FirstPacket),
    AtEntry(FirstPacket),
    Intake(FirstPacket, bool, Option<u8>),
    Returned(FirstPacket, ReturnReason),
    /// The rest has an endpoint, entry or flow.
    Accepted(usize, usize),
    Request(usize, usize),
    Done(usize, usize),
    Answered(usize),
    Failed(usize),
    Abandoned(usize),
    Start(usize),
    Report(usize),
    View(usize),
}

#[derive(Clone, Copy, Debug)]
struct CallerFlow {
    request: usize,
    sent: Instant,
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
            sent: now,
            opened: false,
            failed: false,
            reset: false,
        });
        let mut packet = FirstPacket {
            flow,
            copies: 0,
            entry: 0,
            endpoint: 0,
        };
        for at in COPIES {
            self.push(now + at, EventKind::Send(packet));
            packet.copies += 1;
        }
        self.push(now + ABANDON, EventKind::Abandoned(flow));
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
            sequence: 0,
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
            EventKind::Send(mut packet) => {
                let state = self.flows[packet.flow];
                if !state.opened && !state.failed {
                    packet.entry = self.rng.random_range(0..self.plan.entries);
                    self.push(now + CALLER_DELAY, EventKind::AtEntry(packet));
                }
            }
            EventKind::AtEntry(packet) => {
                let head = self.opening_head(packet);
                let Entry { chain, view, .. } = &mut self.entries[packet.entry];
                let verdict = chain.decide(&head, view, now);
                self.execute(packet, verdict, now);
            }
            EventKind::Intake(packet, forced, limit) => self.intake(packet, forced, limit, now),
            EventKind::Returned(packet, reason) => {
                let head = self.opening_head(packet);
                let key = key(self.upstreams[packet.endpoint].number);
                let Entry { chain, view, .. } = &mut self.entries[packet.entry];
                let verdict = chain.decide_returned(&head, key, reason, view, now);
                self.execute(packet, verdict, now);
            }
            EventKind::Accepted(endpoint, flow) => {
                let state = &mut self.flows[flow];
                // A caller drops the second acceptance of a flow, and one of a flow that it has given up.
                if !state.opened && !state.failed {
                    state.opened = true;
                    self.push(now + CALLER_DELAY, EventKind::Request(endpoint, flow));
                }
            }
            EventKind::Request(endpoint, flow) => self.request(endpoint, flow, now),
            EventKind::Done(endpoint, flow) => self.done(endpoint, flow, now),
            EventKind::Answered(flow) => {
                let request = &mut self.requests[self.flows[flow].request];
                let latency = now - request.arrived;
                if latency <= self.plan.kinds[request.kind].timeout {
                    request.latency.get_or_insert(latency);
                }
            }
            EventKind::Failed(flow) => self.fail(flow, now),
            EventKind::Abandoned(flow) if self.flows[flow].opened => {}
            EventKind::Abandoned(flow) => self.fail(flow, now),
            EventKind::Start(endpoint) => self.start_endpoint(endpoint, now),
            EventKind::Report(endpoint) => {
                self.report(endpoint, now);
                self.push(now + REPORT_INTERVAL, EventKind::Report(endpoint));
            }
            EventKind::View(entry) => {
                self.update_view(entry, now);
                self.push(now + VIEW_INTERVAL, EventKind::View(entry));
            }
        }
    }

    fn fail(&mut self, flow: usize, now: Instant) {
        if !self.flows[flow].failed {
            self.flows[flow].failed = true;
            self.open(self.flows[flow].request, now);
        }
    }

    fn delay(&self, packet: FirstPacket) -> Duration {
        match packet.entry % ZONES == self.upstreams[packet.endpoint].zone {
            true => LOCAL_DELAY,
            false => ZONE_DELAY,
        }
    }

    fn opening_head(&self, packet: FirstPacket) -> PacketHead {
        let copies = packet.copies;
        self.head(packet.flow, PacketKind::Opening { copies }, 0)
    }

    fn execute(&mut self, mut packet: FirstPacket, verdict: RelayVerdict, now: Instant) {
        let count = self.result.verdicts.entry(verdict_name(&verdict));
        *count.or_default() += 1;
        match verdict {
            RelayVerdict::Deliver { targets, .. } => {
                let mut upstreams = self.upstreams.iter();
                let found = upstreams.position(|known| id(known.number) == targets[0].endpoint.id);
                packet.endpoint = found.expect("known");
                let at = now + self.delay(packet);
                let intake = EventKind::Intake(packet, targets[0].forced, targets[0].cold_limit);
                self.transfer(at, intake);
            }
            RelayVerdict::Reset(_) => {
                let state = &mut self.flows[packet.flow];
                state.reset = true;
                self.result.false_resets += usize::from(state.opened);
                let waited = now - state.sent;
                self.result.longest_refusal = self.result.longest_refusal.max(waited);
                self.push(now + CALLER_DELAY, EventKind::Failed(packet.flow));
            }
            RelayVerdict::Hold(reason) => {
                let bytes = [
                    packet.flow.to_le_bytes(),
                    (packet.copies as usize).to_le_bytes(),
                ];
                let hold = &mut self.entries[packet.entry].hold;
                hold.push(&bytes.concat(), reason, now);
            }
            RelayVerdict::Drop(_) => {}
        }
    }

    fn intake(&mut self, packet: FirstPacket, forced: bool, limit: Option<u8>, now: Instant) {
        let FirstPacket {
            flow,
            copies,
            endpoint,
            ..
        } = packet;
        let delay = self.delay(packet);
        let head = self.head(flow, PacketKind::Accepting, 0);
        let upstream = &mut self.upstreams[endpoint];
        if !upstream.is_up {
            return;
        }
        let context = IntakeContext {
            window: None,
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
            return self.transfer(now + delay, EventKind::Returned(packet, reason));
        }
        if limit.is_some() {
            upstream.gate.record(now);
        }
        upstream.meter.record_sent(&head, now);
        self.result.first_packets[endpoint].push(now - self.start);
        self.result.false_resets += usize::from(self.flows[flow].reset);
        self.transfer(now + CALLER_DELAY, EventKind::Accepted(endpoint, flow));
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
        self.push(now + CALLER_DELAY, EventKind::Failed(flow));
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
            EventKind::Done(endpoint, flow),
        );
    }

    fn done(&mut self, endpoint: usize, flow: usize, now: Instant) {
        let head = self.head(flow, PacketKind::Established, 2_000);
        let upstream = &mut self.upstreams[endpoint];
        upstream.running -= 1;
        upstream.meter.record_sent(&head, now);
        let next = upstream.waiting.pop_front();
        self.push(now + CALLER_DELAY, EventKind::Answered(flow));
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
        self.push(now + phase, EventKind::Report(endpoint));
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
            coverage: FlowCoverage::Complete,
            cold_until: Some(upstream.cold_until),
            digest: None,
            keepalive_sent: None,
            pace: Some(pace),
            expires: now + Duration::from_secs(10),
        };
        upstream.reports += 1;
        let (zone, number) = (upstream.zone, upstream.reports);
        for entry in 0..self.plan.entries {
            let refresh = (number + entry as u64).is_multiple_of(FAR_REPORTS);
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
            let number =
                |bytes: &[u8]| usize::from_le_bytes(bytes.try_into().expect("eight bytes"));
            let packet = FirstPacket {
                flow: number(flow),
                copies: u32::try_from(number(copies)).expect("a small number"),
                entry,
                endpoint: 0,
            };
            self.push(now, EventKind::AtEntry(packet));
        }
    }
}
