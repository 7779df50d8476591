//! Generator of simulated requests; the same seed gives the same requests.

use quetzalhill_core::catalogue::TrafficClass;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Virtual time since the start of a simulation, or a duration, in seconds.
pub type Seconds = f64;

/// One simulated request.
#[derive(Clone, Debug)]
pub struct TraceJob {
    /// When the request reaches its ingress agent.
    pub arrival: Seconds,
    /// Position of the agent that receives the request from the caller.
    pub ingress: usize,
    /// Time that the upstream needs for the request.
    pub work: Seconds,
    /// Traffic class, which decides the order in the queues.
    pub class: TrafficClass,
    /// Owner to which the limits per owner apply.
    pub owner: &'static str,
    /// Time from the arrival to the deadline.
    pub timeout: Seconds,
    /// Hash of attributes that predict the work of the request; 0 if there are none.
    pub work_key: u64,
    /// Idempotency key; a request without one is safe to retry.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// Idempotency key that all copies of a request carry.
#[derive(Clone, Copy, Debug)]
pub struct IdempotencyKey {
    /// Key chosen by the caller.
    pub value: u64,
    /// When the ingress agent issued the caller's session token.
    pub token_issued: Seconds,
}

/// Size of a simulated pool and the delay between its agents.
#[derive(Clone, Copy, Debug)]
pub struct PoolShape {
    /// Number of agents, each with one upstream.
    pub agents: usize,
    /// Requests that each upstream runs at the same time.
    pub slots: u16,
    /// One-way network delay between agents.
    pub delay: Seconds,
}

/// Service `feed` of the deployment `lucky-slip`.
pub const FEED: PoolShape = PoolShape {
    agents: 7,
    slots: 4,
    delay: 0.000_5,
};
/// Service `batch` of the deployment `lucky-slip`.
pub const BATCH: PoolShape = PoolShape {
    agents: 4,
    slots: 4,
    delay: 0.000_5,
};
/// Service `desk` of the deployment `directorate`.
pub const DESK: PoolShape = PoolShape {
    agents: 7,
    slots: 3,
    delay: 0.001_4,
};
/// Service `archive` of the deployment `directorate`.
pub const ARCHIVE: PoolShape = PoolShape {
    agents: 3,
    slots: 3,
    delay: 0.001_4,
};

impl PoolShape {
    /// Returns the number of slots of all agents.
    pub fn capacity(self) -> f64 {
        self.agents as f64 * f64::from(self.slots)
    }
}

/// A stream of requests with Poisson arrivals and exponentially distributed work.
#[derive(Clone, Debug)]
pub struct StreamSpec {
    /// Pool that receives the requests.
    pub shape: PoolShape,
    /// Offered load as a share of the pool's capacity; above 1 the pool is overloaded.
    pub load: f64,
    /// Mean time that the upstream needs for a request.
    pub mean_work: Seconds,
    /// Time from which requests arrive.
    pub from: Seconds,
    /// Time before which the last request arrives.
    pub until: Seconds,
    /// Traffic class of all requests.
    pub class: TrafficClass,
    /// Owner of all requests.
    pub owner: &'static str,
    /// Time from the arrival of a request to its deadline.
    pub timeout: Seconds,
    /// Work key of all requests, see [`TraceJob::work_key`].
    pub work_key: u64,
    /// Relative share of the arrivals at each agent, by position; if empty, all agents have equal shares.
    pub agent_weights: Vec<f64>,
}

impl StreamSpec {
    /// Creates a stream of standard requests from time 0 until `until` that is spread evenly over the agents,
    /// with a timeout of one hour.
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

    /// Generates the requests of the stream in the order of arrival.
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

/// Merges the requests of several streams in the order of arrival.
pub fn merge_streams(streams: Vec<Vec<TraceJob>>) -> Vec<TraceJob> {
    let mut jobs: Vec<TraceJob> = streams.into_iter().flatten().collect();
    jobs.sort_by(|a, b| a.arrival.total_cmp(&b.arrival));
    jobs
}

/// Returns a random value of the exponential distribution with the given mean.
pub fn exponential(mean: f64, rng: &mut SmallRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Converts seconds to a [`Duration`]; negative values become zero.
pub fn to_duration(seconds: Seconds) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}
