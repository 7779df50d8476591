//! Traces of requests with fixed seeds.

use quetzalhill_core::catalogue::TrafficClass;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Times in the fake are seconds since its start.
pub type Seconds = f64;

/// One request of a trace.
#[derive(Clone, Debug)]
pub struct TraceJob {
    /// When the request arrives.
    pub arrival: Seconds,
    /// Agent on which it arrives.
    pub ingress: usize,
    /// Work at the upstream.
    pub work: Seconds,
    /// Class of the request.
    pub class: TrafficClass,
    /// Owner of the request.
    pub owner: &'static str,
    /// Length from the arrival to the deadline.
    pub timeout: Seconds,
    /// Hash of what tells short from long work; 0 when nothing does.
    pub work_key: u64,
    /// Idempotency key, for a request that is not safe to retry.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// The idempotency key of a request, which its copies share.
#[derive(Clone, Copy, Debug)]
pub struct IdempotencyKey {
    /// Key that the caller chose.
    pub value: u64,
    /// When the ingress issued the session token.
    pub token_issued: Seconds,
}

/// Endpoints of a service and the delay between them.
#[derive(Clone, Copy, Debug)]
pub struct PoolShape {
    /// Number of agents.
    pub agents: usize,
    /// Slots of each agent.
    pub slots: u16,
    /// One-way delay between agents.
    pub delay: Seconds,
}

/// The services of the first users.
/// Feed of Lucky Slip.
pub const FEED: PoolShape = PoolShape {
    agents: 7,
    slots: 4,
    delay: 0.000_5,
};
/// Batch of Lucky Slip.
pub const BATCH: PoolShape = PoolShape {
    agents: 4,
    slots: 4,
    delay: 0.000_5,
};
/// Desk of the Directorate.
pub const DESK: PoolShape = PoolShape {
    agents: 7,
    slots: 3,
    delay: 0.001_4,
};
/// Archive of the Directorate.
pub const ARCHIVE: PoolShape = PoolShape {
    agents: 3,
    slots: 3,
    delay: 0.001_4,
};

impl PoolShape {
    /// Slots of all agents.
    pub fn capacity(self) -> f64 {
        self.agents as f64 * f64::from(self.slots)
    }
}

/// Poisson arrivals with exponential service times.
#[derive(Clone, Debug)]
pub struct StreamSpec {
    /// Endpoints and delays.
    pub shape: PoolShape,
    /// Share of the pool's slots that the stream occupies.
    pub load: f64,
    /// Mean work of a request.
    pub mean_work: Seconds,
    /// When the stream begins.
    pub from: Seconds,
    /// When the stream ends.
    pub until: Seconds,
    /// Class of the requests.
    pub class: TrafficClass,
    /// Owner of the requests.
    pub owner: &'static str,
    /// Length from the arrival of a request to its deadline.
    pub timeout: Seconds,
    /// Work key of the requests.
    pub work_key: u64,
    /// Relative share of each agent in the arrivals; empty for equal shares.
    pub agent_weights: Vec<f64>,
}

impl StreamSpec {
    /// Makes a stream of standard requests from the start until `until`.
    pub fn new(shape: PoolShape, load: f64, mean: Seconds, until: Seconds) -> Self {
        Self {
            shape,
            load,
            mean_work: mean,
            from: 0.0,
            until,
            class: TrafficClass::Standard,
            owner: "owner",
            timeout: 3_600.0,
            work_key: 1,
            agent_weights: Vec::new(),
        }
    }

    /// Draws the requests of the stream.
    pub fn generate(&self, seed: u64) -> Vec<TraceJob> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rate = self.load * self.shape.capacity() / self.mean_work;
        let mut jobs = Vec::new();
        let mut at = self.from + exponential(1.0 / rate, &mut rng);
        while at < self.until {
            jobs.push(TraceJob {
                arrival: at,
                ingress: self.choose_ingress(&mut rng),
                work: exponential(self.mean_work, &mut rng),
                class: self.class,
                owner: self.owner,
                timeout: self.timeout,
                work_key: self.work_key,
                idempotency_key: None,
            });
            at += exponential(1.0 / rate, &mut rng);
        }
        jobs
    }

    fn choose_ingress(&self, rng: &mut SmallRng) -> usize {
        if self.agent_weights.is_empty() {
            return rng.random_range(0..self.shape.agents);
        }
        let mut remaining = rng.random_range(0.0..self.agent_weights.iter().sum());
        for (ingress, share) in self.agent_weights.iter().enumerate() {
            if remaining < *share {
                return ingress;
            }
            remaining -= share;
        }
        self.agent_weights.len() - 1
    }
}

/// Merges streams in the order of arrival.
pub fn merge_streams(streams: Vec<Vec<TraceJob>>) -> Vec<TraceJob> {
    let mut jobs: Vec<TraceJob> = streams.into_iter().flatten().collect();
    jobs.sort_by(|a, b| a.arrival.total_cmp(&b.arrival));
    jobs
}

/// Draws from the exponential distribution.
pub fn exponential(mean: f64, rng: &mut SmallRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Converts to the standard type; negative lengths become zero.
pub fn to_duration(seconds: Seconds) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}
