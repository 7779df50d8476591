//! Callers, upstreams and agents of the crest in virtual time.

use quetzalhill_core::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use quetzalhill_core::relay::schedule::{RequestScheduler, ScheduleVerdict};
use quetzalhill_core::relay::terms::FlowTerms;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

const SLOTS: u32 = 2;
const QUEUE_MAX: usize = 8;

/// Streams for each urgent request: 1,312 a second, of which 90 % go to this service, to 375.
const STREAMS_PER_URGENT: f64 = 1_312.0 * 0.9 / 375.0;

/// Way from the caller to the agent, and back.
pub(super) const TRAVEL_TIME: Duration = Duration::from_millis(2);

pub(super) const TIMEOUT: Duration = Duration::from_millis(1_500);
const ATTEMPTS_MAX: u32 = 3;
const TICK_INTERVAL: Duration = Duration::from_millis(400);
const RETRANSMIT_MIN: Duration = Duration::from_millis(200);
const DATA_LEN: u32 = 900;

/// Length of a run, in seconds.
const LENGTH_S: f64 = 20.0;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestClass {
    Stream,
    Urgent,
}

impl RequestClass {
    fn work_ms(self) -> f64 {
        match self {
            RequestClass::Stream => 30.0,
            RequestClass::Urgent => 39.0,
        }
    }

    fn terms(self) -> FlowTerms {
        let (priority, target_ms) = match self {
            RequestClass::Stream => (2, 250),
            RequestClass::Urgent => (0, 300),
        };
        FlowTerms {
            priority,
            target: Duration::from_millis(target_ms),
            timeout: TIMEOUT,
        }
    }

    /// Worth of an answer in time, and of a late one.
    fn worth(self) -> (f64, f64) {
        match self {
            RequestClass::Stream => (1.0, 0.3),
            RequestClass::Urgent => (2.0, 0.6),
        }
    }
}

/// Load of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrestPlan {
    pub(super) upstreams: usize,
    /// Work that arrives over work that all slots can do.
    pub(super) load: f64,
    /// Factor on the urgent requests between 6 s and 9.5 s.
    pub(super) urgent_burst: f64,
    /// Whether all callers of one second come back within 250 ms, at 12 s.
    pub(super) wave: bool,
    pub(super) seed: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum EventKind {
    /// The caller sends its first copy, at the beginning or after a refusal.
    Attempt(usize),
    /// A further copy arrives, and the next one follows after this time.
    Copy(usize, Duration),
    /// An upstream ends a request.
    Done {
        upstream: usize,
        request: usize,
    },
    /// The caller gives up; it resets its flow or goes silent.
    GiveUp(usize),
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct CallerRequest {
    class: RequestClass,
    sent: Instant,
    attempts: u32,
    upstream: usize,
    /// Set at the answer or when the caller gives up.
    ended: bool,
    latency: Option<Duration>,
}

#[derive(Debug, Default)]
struct SimUpstream {
    scheduler: RequestScheduler,
    running: Vec<usize>,
    queue: VecDeque<usize>,
}

/// What the callers of one class got.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ClassResult {
    pub(super) sent: u32,
    pub(super) in_target: u32,
    pub(super) late: u32,
    pub(super) longest: Duration,
    /// Smallest share answered of the requests sent in one second.
    pub(super) fewest_in_second: f64,
}

impl ClassResult {
    pub(super) fn share_in_target(&self) -> f64 {
        f64::from(self.in_target) / f64::from(self.sent)
    }

    pub(super) fn share_answered(&self) -> f64 {
        f64::from(self.in_target + self.late) / f64::from(self.sent)
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CrestResult {
    pub(super) stream: ClassResult,
    pub(super) urgent: ClassResult,
    pub(super) refusals: u32,
}

impl CrestResult {
    /// Returns the worth of the answers over that of answers to all requests in time.
    pub(super) fn benefit(&self) -> f64 {
        let mut gained = 0.0;
        let mut possible = 0.0;
        for (class, result) in [
            (RequestClass::Stream, self.stream),
            (RequestClass::Urgent, self.urgent),
        ] {
            let (worth, late) = class.worth();
            gained += worth * f64::from(result.in_target) + late * f64::from(result.late);
            possible += worth * f64::from(result.sent);
        }
        gained / possible
    }
}

pub(super) struct CrestSimulation {
    plan: CrestPlan,
    scheduled: bool,
    start: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, EventKind)>>,
    order: u64,
    rng: SmallRng,
    requests: Vec<CallerRequest>,
    upstreams: Vec<SimUpstream>,
    refusals: u32,
}

impl CrestSimulation {
    pub(super) fn run(plan: CrestPlan, scheduled: bool) -> CrestResult {
        let mut simulation = Self {
            plan,
            scheduled,
            start: Instant::now(),
            events: BinaryHeap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(plan.seed),
            requests: Vec::new(),
            upstreams: Vec::new(),
            refusals: 0,
        };
        for _ in 0..plan.upstreams {
            simulation.upstreams.push(SimUpstream::default());
        }
        simulation.draw_requests();
        simulation.push(simulation.start, EventKind::Tick);
        while let Some(Reverse((now, _, kind))) = simulation.events.pop() {
            simulation.handle(kind, now);
        }
        simulation.result()
    }

    fn push(&mut self, at: Instant, kind: EventKind) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, kind)));
    }

    /// Draws the requests of both classes in steps of a millisecond, so that both policies get the same ones.
    fn draw_requests(&mut self) {
        let slots = f64::from(SLOTS) * self.plan.upstreams as f64;
        let (stream, urgent) = (RequestClass::Stream, RequestClass::Urgent);
        let work_ms = STREAMS_PER_URGENT * stream.work_ms() + urgent.work_ms();
        let urgent_per_ms = self.plan.load * slots / work_ms;
        for step in 0..(LENGTH_S * 1_000.0) as u32 {
            let at = f64::from(step) / 1_000.0;
            let wave = match self.plan.wave && (12.0..12.25).contains(&at) {
                true => 4.0,
                false => 0.0,
            };
            let burst = match (6.0..9.5).contains(&at) {
                true => self.plan.urgent_burst,
                false => 1.0,
            };
            let rates = [
                (stream, STREAMS_PER_URGENT * urgent_per_ms * (1.0 + wave)),
                (urgent, urgent_per_ms * (burst + wave)),
            ];
            for (class, mut expected) in rates {
                while expected > 0.0 {
                    if self.rng.random_bool(expected.min(1.0)) {
                        self.add_request(class, at);
                    }
                    expected -= 1.0;
                }
            }
        }
    }

    fn add_request(&mut self, class: RequestClass, at: f64) {
        let sent = self.start + Duration::from_secs_f64(at);
        let index = self.requests.len();
        self.requests.push(CallerRequest {
            class,
            sent,
            attempts: 0,
            upstream: 0,
            ended: false,
            latency: None,
        });
        self.push(sent + TRAVEL_TIME, EventKind::Attempt(index));
        self.push(sent + TIMEOUT + TRAVEL_TIME, EventKind::GiveUp(index));
    }

    fn handle(&mut self, kind: EventKind, now: Instant) {
        match kind {
            EventKind::Attempt(request) => self.attempt(request, now),
            EventKind::Copy(request, pause) => {
                if !self.requests[request].ended {
                    self.push(now + pause * 2, EventKind::Copy(request, pause * 2));
                    self.admit(request, now);
                }
            }
            EventKind::Done { upstream, request } => {
                let running = &mut self.upstreams[upstream].running;
                running.retain(|other| *other != request);
                self.answer(request, true, now);
                self.start_queued(upstream, now);
            }
            EventKind::GiveUp(request) => {
                let silent = self.rng.random_bool(0.5);
                if self.requests[request].ended {
                    return;
                }
                self.requests[request].ended = true;
                if !silent {
                    let head = self.head(request, PacketKind::Reset);
                    self.pass(request, head, now);
                }
            }
            EventKind::Tick => {
                for upstream in 0..self.upstreams.len() {
                    self.upstreams[upstream].scheduler.tick(now);
                    self.release(upstream, now);
                }
                if now < self.start + Duration::from_secs_f64(LENGTH_S) + TIMEOUT {
                    self.push(now + TICK_INTERVAL, EventKind::Tick);
                }
            }
        }
    }

    /// Opens a flow at an upstream and sends the request on it. Urgent requests use long flows, which are spread
    /// evenly; streams go to the first of three upstreams that is not busy, as entries and agents place them.
    fn attempt(&mut self, request: usize, now: Instant) {
        if self.requests[request].ended {
            return;
        }
        let count = self.upstreams.len();
        let mut upstream = self.rng.random_range(0..count);
        if self.requests[request].class == RequestClass::Stream {
            let others = [0, 0].map(|_| self.rng.random_range(0..count));
            for other in others {
                if self.pending(upstream) >= 2 * SLOTS as usize
                    && self.pending(other) < self.pending(upstream)
                {
                    upstream = other;
                }
            }
        }
        self.requests[request].upstream = upstream;
        self.requests[request].attempts += 1;
        let accepted = self.head(request, PacketKind::Accepting);
        let scheduler = &mut self.upstreams[upstream].scheduler;
        scheduler.record_sent(&accepted, now);
        self.push(
            now + RETRANSMIT_MIN,
            EventKind::Copy(request, RETRANSMIT_MIN),
        );
        self.admit(request, now);
    }

    fn pending(&self, upstream: usize) -> usize {
        let upstream = &self.upstreams[upstream];
        upstream.running.len() + upstream.queue.len() + upstream.scheduler.held_requests()
    }

    /// Returns the head of a packet of the current attempt of a request. Each attempt has a flow of its own.
    fn head(&self, request: usize, kind: PacketKind) -> PacketHead {
        let number = u32::try_from(request).expect("fits") * ATTEMPTS_MAX;
        let caller = Ipv4Addr::from(number + self.requests[request].attempts);
        // Routes have an address for each class.
        let service = match self.requests[request].class {
            RequestClass::Stream => Ipv4Addr::new(198, 18, 0, 1),
            RequestClass::Urgent => Ipv4Addr::new(198, 18, 0, 2),
        };
        PacketHead {
            flow: FlowAddresses {
                caller: SocketAddrV4::new(caller, 1_024),
                service: SocketAddrV4::new(service, 443),
            },
            kind,
            sequence: 1,
            acknowledged: 1,
            data_len: match kind {
                PacketKind::Established => DATA_LEN as usize,
                _ => 0,
            },
        }
    }

    fn admit(&mut self, request: usize, now: Instant) {
        let head = self.head(request, PacketKind::Established);
        self.pass(request, head, now);
    }

    /// Passes a caller's packet to the scheduler, or directly to the upstream.
    fn pass(&mut self, request: usize, head: PacketHead, now: Instant) {
        let index = self.requests[request].upstream;
        if !self.scheduled {
            return self.deliver(index, request, &head, now);
        }
        let terms = self.requests[request].class.terms();
        // The number of the request in the bytes leads back from a held packet to it.
        let bytes = u32::try_from(request).expect("fits").to_be_bytes();
        let scheduler = &mut self.upstreams[index].scheduler;
        match scheduler.admit(&head, &bytes, terms, SLOTS, now) {
            ScheduleVerdict::Deliver | ScheduleVerdict::Overflow => {
                self.deliver(index, request, &head, now);
            }
            ScheduleVerdict::Hold | ScheduleVerdict::DropCopy => {}
        }
        self.release(index, now);
    }

    fn release(&mut self, upstream: usize, now: Instant) {
        let released = self.upstreams[upstream].scheduler.release(SLOTS, now);
        for request in released.requests {
            for packet in request.packets {
                let bytes = packet.bytes.as_ref().try_into().expect("four bytes");
                let request = u32::from_be_bytes(bytes) as usize;
                self.deliver(upstream, request, &packet.head, now);
            }
        }
    }

    /// The upstream gets a packet; it runs the request, queues it, or refuses it.
    fn deliver(&mut self, upstream: usize, request: usize, head: &PacketHead, now: Instant) {
        let target = &mut self.upstreams[upstream];
        let is_copy = target.queue.contains(&request)
            || target.running.contains(&request)
            || self.requests[request].ended;
        if head.data_len == 0 || is_copy {
            return;
        }
        if target.queue.len() >= QUEUE_MAX {
            self.refusals += 1;
            return self.answer(request, false, now);
        }
        target.queue.push_back(request);
        self.start_queued(upstream, now);
    }

    fn start_queued(&mut self, upstream: usize, now: Instant) {
        if self.upstreams[upstream].running.len() >= SLOTS as usize {
            return;
        }
        let Some(request) = self.upstreams[upstream].queue.pop_front() else {
            return;
        };
        self.upstreams[upstream].running.push(request);
        let work_ms = self.requests[request].class.work_ms() * self.rng.random_range(0.7..1.3);
        let done = now + Duration::from_secs_f64(work_ms / 1_000.0);
        self.push(done, EventKind::Done { upstream, request });
    }

    /// The upstream sends the answer to a request, or that it did not run it; the caller repeats it then.
    fn answer(&mut self, request: usize, ran: bool, now: Instant) {
        let upstream = self.requests[request].upstream;
        let head = PacketHead {
            data_len: DATA_LEN as usize,
            ..self.head(request, PacketKind::Established)
        };
        self.upstreams[upstream].scheduler.record_sent(&head, now);
        let arrival = now + TRAVEL_TIME;
        let caller = &mut self.requests[request];
        if !caller.ended && ran {
            caller.ended = true;
            caller.latency = Some(arrival - caller.sent);
        } else if !caller.ended && caller.attempts < ATTEMPTS_MAX {
            self.push(arrival + TRAVEL_TIME, EventKind::Attempt(request));
        } else {
            caller.ended = true;
        }
        self.release(upstream, now);
    }

    fn result(&self) -> CrestResult {
        let mut result = CrestResult {
            refusals: self.refusals,
            ..CrestResult::default()
        };
        for class in [RequestClass::Stream, RequestClass::Urgent] {
            let mut seconds = [(0_u32, 0_u32); LENGTH_S as usize];
            let mut got = ClassResult::default();
            for request in &self.requests {
                if request.class != class {
                    continue;
                }
                let second = &mut seconds[(request.sent - self.start).as_secs() as usize];
                got.sent += 1;
                second.0 += 1;
                let Some(latency) = request.latency else {
                    continue;
                };
                second.1 += 1;
                got.longest = got.longest.max(latency);
                match latency <= class.terms().target {
                    true => got.in_target += 1,
                    false => got.late += 1,
                }
            }
            let shares = seconds.map(|(sent, answered)| f64::from(answered) / f64::from(sent));
            got.fewest_in_second = shares.into_iter().fold(1.0, f64::min);
            match class {
                RequestClass::Stream => result.stream = got,
                RequestClass::Urgent => result.urgent = got,
            }
        }
        result
    }
}

impl Display for CrestResult {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        write!(f, "benefit {:.3}", self.benefit())?;
        for (name, class) in [("stream", self.stream), ("urgent", self.urgent)] {
            write!(
                f,
                ", {name} in target {:.3} answered {:.3} longest {} ms fewest {:.2}",
                class.share_in_target(),
                class.share_answered(),
                class.longest.as_millis(),
                class.fewest_in_second,
            )?;
        }
        write!(f, ", refusals {}", self.refusals)
    }
}
