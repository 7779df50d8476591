//! Traces of requests with fixed seeds.

use quetzalhill_core::catalogue::TrafficClass;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Times in the fake are seconds since its start.
pub(crate) type Seconds = f64;

/// One request of a trace.
#[derive(Clone, Debug)]
pub(crate) struct TraceJob {
    pub(crate) at: Seconds,
    pub(crate) home: usize,
    pub(crate) service: Seconds,
    pub(crate) class: TrafficClass,
    pub(crate) owner: &'static str,
    /// Length from the arrival to the deadline.
    pub(crate) patience: Seconds,
    pub(crate) key: u64,
}

/// Endpoints of a service and the delay between them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolShape {
    pub(crate) agents: usize,
    pub(crate) slots: u16,
    pub(crate) delay: Seconds,
}

/// The services of the first users.
pub(crate) const FEED: PoolShape = PoolShape {
    agents: 7,
    slots: 4,
    delay: 0.000_5,
};
pub(crate) const BATCH: PoolShape = PoolShape {
    agents: 4,
    slots: 4,
    delay: 0.000_5,
};
pub(crate) const DESK: PoolShape = PoolShape {
    agents: 7,
    slots: 3,
    delay: 0.001_4,
};
pub(crate) const ARCHIVE: PoolShape = PoolShape {
    agents: 3,
    slots: 3,
    delay: 0.001_4,
};

impl PoolShape {
    pub(crate) fn capacity(self) -> f64 {
        self.agents as f64 * f64::from(self.slots)
    }
}

/// Poisson arrivals with exponential service times.
#[derive(Clone, Debug)]
pub(crate) struct StreamSpec {
    pub(crate) shape: PoolShape,
    /// Share of the pool's slots that the stream occupies.
    pub(crate) load: f64,
    pub(crate) mean: Seconds,
    pub(crate) from: Seconds,
    pub(crate) until: Seconds,
    pub(crate) class: TrafficClass,
    pub(crate) owner: &'static str,
    pub(crate) patience: Seconds,
    pub(crate) key: u64,
    /// Relative share of each agent in the arrivals; empty for equal shares.
    pub(crate) skew: Vec<f64>,
}

impl StreamSpec {
    pub(crate) fn new(shape: PoolShape, load: f64, mean: Seconds, until: Seconds) -> Self {
        Self {
            shape,
            load,
            mean,
            from: 0.0,
            until,
            class: TrafficClass::Standard,
            owner: "owner",
            patience: 3_600.0,
            key: 1,
            skew: Vec::new(),
        }
    }

    /// Draws the requests of the stream.
    pub(crate) fn draw(&self, seed: u64) -> Vec<TraceJob> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rate = self.load * self.shape.capacity() / self.mean;
        let mut jobs = Vec::new();
        let mut at = self.from + exponential(1.0 / rate, &mut rng);
        while at < self.until {
            jobs.push(TraceJob {
                at,
                home: self.home(&mut rng),
                service: exponential(self.mean, &mut rng),
                class: self.class,
                owner: self.owner,
                patience: self.patience,
                key: self.key,
            });
            at += exponential(1.0 / rate, &mut rng);
        }
        jobs
    }

    fn home(&self, rng: &mut SmallRng) -> usize {
        if self.skew.is_empty() {
            return rng.random_range(0..self.shape.agents);
        }
        let mut left = rng.random_range(0.0..self.skew.iter().sum());
        for (home, share) in self.skew.iter().enumerate() {
            if left < *share {
                return home;
            }
            left -= share;
        }
        self.skew.len() - 1
    }
}

/// Merges streams in the order of arrival.
pub(crate) fn merge(streams: Vec<Vec<TraceJob>>) -> Vec<TraceJob> {
    let mut jobs: Vec<TraceJob> = streams.into_iter().flatten().collect();
    jobs.sort_by(|a, b| a.at.total_cmp(&b.at));
    jobs
}

pub(crate) fn exponential(mean: f64, rng: &mut SmallRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

pub(crate) fn span(seconds: Seconds) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}
