//! Derives how long an upstream runs its requests from when they begin and end.
//!
//! An agent sees when a request goes to its upstream and when the answer comes. While all slots are taken, the time in
//! between includes the wait in the upstream's queue, which says more about the load than about the upstream. A model of
//! that queue tells the two apart. See docs/design/pace.md.

use crate::relay::pace::{ServiceTime, ServiceTimes};
use crate::relay::packet::FlowAddresses;
use smallvec::SmallVec;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Time after which a request without an answer leaves the model, counted from its arrival and again from its start.
/// Longer than the request timeout of any route, so that its caller has given up by then.
const REQUEST_MAX: Duration = Duration::from_secs(5);

/// Limit of requests in the model; an upstream runs and queues some dozens.
const REQUESTS_MAX: usize = 1_024;

/// Answers over which an average extends, so that a second of them at 40 a second changes it. Forty answers took over 3 s
/// to follow a recovery at eight requests a second; with exponential service times 24 vary by 15 %, within the range
/// that entries treat as equal.
const AVERAGE_ANSWERS: u32 = 24;

/// Answers of an address from which its average is reported. A cold upstream at half the pace has twelve within 2 s of
/// its start too seldom; with fewer than eight, a single slow request would decide.
const ANSWERS_MIN: u32 = 8;

/// Multiple of the average to which longer times are clamped. Three in a hundred requests take seven times as long as the
/// others; clamped, they raise the average by 6 % in place of 18 %. A greater slowdown still raises it step by step.
const OUTLIER_FACTOR: f64 = 3.0;

/// Answers of an address from which outliers are clamped; an average of fewer may itself be far too low.
const CLAMP_ANSWERS: u32 = 4;

/// Time without an answer after which an average no longer counts. Otherwise an upstream that was slow once and gets no
/// requests because of that would stay slow for its entries.
const AVERAGE_LIFETIME: Duration = Duration::from_secs(10);

/// Limit of addresses with an average; a service has a few.
const ADDRESSES_MAX: usize = 8;

/// Times of a request that has been answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTimes {
    /// Time from its start to its answer.
    pub service: Duration,
    /// Time from its arrival to its answer.
    pub total: Duration,
    /// Requests that were in progress when it arrived.
    pub ahead: u32,
}

#[derive(Clone, Copy, Debug)]
struct ModelRequest {
    flow: FlowAddresses,
    arrived: Instant,
    ahead: u32,
    /// `None` while the request waits for a slot.
    started: Option<Instant>,
    deadline: Instant,
}

/// Requests of one upstream, which runs as many as it has slots and starts the others in the order of their arrival.
#[derive(Debug, Default)]
pub struct RequestModel {
    slots: u32,
    /// Requests in progress in the order of their arrival; those that have started come first.
    requests: VecDeque<ModelRequest>,
}

impl RequestModel {
    /// Sets the number of slots; without slots no request is followed.
    pub fn set_slots(&mut self, slots: u32, now: Instant) {
        self.slots = slots;
        if slots == 0 {
            self.requests.clear();
        }
        self.start_waiting(now);
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the numbers of requests that run and that wait.
    pub fn counts(&self) -> (usize, usize) {
        let requests = self.requests.iter();
        let running = requests.filter(|request| request.started.is_some()).count();
        (running, self.requests.len() - running)
    }

    /// Records that a request on `flow` goes to the upstream, unless one of the flow is in progress.
    pub fn begin(&mut self, flow: FlowAddresses, now: Instant) {
        self.remove_overdue(now);
        let known = self.requests.iter().any(|request| request.flow == flow);
        if known || self.slots == 0 || self.requests.len() >= REQUESTS_MAX {
            return;
        }
        self.requests.push_back(ModelRequest {
            flow,
            arrived: now,
            ahead: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            started: None,
            deadline: now + REQUEST_MAX,
        });
        self.start_waiting(now);
    }

    /// Removes the request on `flow` and returns its times, if it had started.
    ///
    /// An upstream whose queue is full answers a request at once that has not run, so such an answer says nothing about
    /// the service time.
    pub fn end(&mut self, flow: FlowAddresses, now: Instant) -> Option<RequestTimes> {
        self.remove_overdue(now);
        let mut requests = self.requests.iter();
        let index = requests.position(|request| request.flow == flow)?;
        let request = self.requests.remove(index)?;
        self.start_waiting(now);
        Some(RequestTimes {
            service: now.saturating_duration_since(request.started?),
            total: now.saturating_duration_since(request.arrived),
            ahead: request.ahead,
        })
    }

    /// Removes all requests, after the upstream has restarted and lost them.
    pub fn clear(&mut self) {
        self.requests.clear();
    }

    /// Removes the requests that have been without an answer for too long.
    pub fn remove_overdue(&mut self, now: Instant) {
        let count = self.requests.len();
        self.requests.retain(|request| now < request.deadline);
        if self.requests.len() != count {
            self.start_waiting(now);
        }
    }

    fn start_waiting(&mut self, now: Instant) {
        let slots = usize::try_from(self.slots).unwrap_or(usize::MAX);
        for request in self.requests.iter_mut().take(slots) {
            if request.started.is_none() {
                request.started = Some(now);
                request.deadline = now + REQUEST_MAX;
            }
        }
    }
}

/// Moving average of service times, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage {
    seconds: f64,
    /// Answers in the average, up to [`AVERAGE_ANSWERS`].
    answers: u32,
}

impl MovingAverage {
    fn record(&mut self, time: Duration) {
        let mut seconds = time.as_secs_f64();
        if self.answers >= CLAMP_ANSWERS {
            seconds = seconds.min(self.seconds * OUTLIER_FACTOR);
        }
        self.answers = (self.answers + 1).min(AVERAGE_ANSWERS);
        self.seconds += (seconds - self.seconds) / f64::from(self.answers);
    }

    fn time(&self) -> Duration {
        Duration::from_secs_f64(self.seconds.max(0.0))
    }
}

#[derive(Clone, Copy, Debug)]
struct AddressAverage {
    address: SocketAddrV4,
    average: MovingAverage,
    expires: Instant,
}

/// Average service times of one upstream by service address.
#[derive(Debug, Default)]
pub struct ServiceAverages {
    addresses: SmallVec<[AddressAverage; 4]>,
    /// Average over all addresses, by which a request waits for those ahead of it.
    all: MovingAverage,
}

impl ServiceAverages {
    /// Adds the service time of a request to `address`.
    pub fn record(&mut self, address: SocketAddrV4, time: Duration, now: Instant) {
        self.addresses.retain(|known| now < known.expires);
        self.all.record(time);
        let expires = now + AVERAGE_LIFETIME;
        let mut known = self.addresses.iter_mut();
        if let Some(known) = known.find(|known| known.address == address) {
            known.average.record(time);
            known.expires = expires;
            return;
        }
        if self.addresses.len() >= ADDRESSES_MAX {
            return;
        }
        let mut average = MovingAverage::default();
        average.record(time);
        self.addresses.push(AddressAverage {
            address,
            average,
            expires,
        });
    }

    /// Returns how long a request to `address` should take that arrived with `ahead` requests in progress at an upstream
    /// with `slots`, or `None` before the first answer.
    pub fn expected(&self, address: SocketAddrV4, ahead: u32, slots: u32) -> Option<Duration> {
        let mut known = self.addresses.iter();
        let known = known.find(|known| known.address == address)?;
        let waiting = (ahead + 1).saturating_sub(slots);
        let wait = self.all.seconds * f64::from(waiting) / f64::from(slots.max(1));
        Some(known.average.time() + Duration::from_secs_f64(wait.max(0.0)))
    }

    /// Returns the averages of the addresses with enough recent answers.
    pub fn times(&self, now: Instant) -> ServiceTimes {
        let mut times = ServiceTimes::new();
        for known in &self.addresses {
            if now >= known.expires || known.average.answers < ANSWERS_MIN {
                continue;
            }
            times.push(ServiceTime {
                address: known.address,
                average: known.average.time(),
            });
        }
        times
    }

    /// Removes all averages, after another incarnation of the upstream has started.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
