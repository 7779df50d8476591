//! Service time estimates, which distinguish long requests from short ones.

use super::message::RequestMeta;
use crate::catalogue::TrafficClass;
use std::collections::HashMap;
use std::time::Duration;

/// A request is long if its service time exceeds this multiple of the median.
const LONG_MULTIPLE: f64 = 8.0;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Step of the median estimate, as a fraction of the estimate.
const MEDIAN_STEP: f64 = 0.03;

/// Largest number of work keys; the table is cleared when it is full.
const MAX_WORK_KEYS: usize = 1_024;

/// Service time assumed until there is an estimate, in seconds.
const DEFAULT_SERVICE_SECONDS: f64 = 0.02;

/// Samples for the initial median; a single sample could be far off.
const INITIAL_SAMPLES: usize = 15;

/// Moving estimates of service times, in seconds.
#[derive(Debug, Default)]
pub(super) struct WorkModel {
    mean: Option<f64>,
    median: Option<f64>,
    initial_samples: Vec<f64>,
    by_key: HashMap<u64, f64>,
}

impl WorkModel {
    /// Records the service time of a finished request.
    pub(super) fn record(&mut self, work_key: u64, service_time: Duration) {
        let sample = service_time.as_secs_f64();
        self.mean = Some(moving_average(self.mean, sample));
        self.update_median(sample);
        if work_key == 0 {
            return;
        }
        if self.by_key.len() >= MAX_WORK_KEYS && !self.by_key.contains_key(&work_key) {
            self.by_key.clear();
        }
        let estimate = self.by_key.get(&work_key).copied();
        self.by_key
            .insert(work_key, moving_average(estimate, sample));
    }

    fn update_median(&mut self, sample: f64) {
        if let Some(median) = &mut self.median {
            let step = match sample > *median {
                true => 1.0 + MEDIAN_STEP,
                false => 1.0 - MEDIAN_STEP,
            };
            *median *= step;
            return;
        }
        self.initial_samples.push(sample);
        if self.initial_samples.len() < INITIAL_SAMPLES {
            return;
        }
        self.initial_samples.sort_by(f64::total_cmp);
        self.median = self.initial_samples.get(INITIAL_SAMPLES / 2).copied();
        self.initial_samples = Vec::new();
    }

    /// Uses the elapsed time of a running request as the first estimate if its key is unknown.
    pub(super) fn record_initial(&mut self, work_key: u64, elapsed: Duration) {
        if work_key != 0 && self.by_key.len() < MAX_WORK_KEYS {
            let entry = self.by_key.entry(work_key);
            entry.or_insert(elapsed.as_secs_f64());
        }
    }

    /// Returns the mean service time of all requests, in seconds.
    pub(super) fn mean(&self) -> f64 {
        self.mean.unwrap_or(DEFAULT_SERVICE_SECONDS)
    }

    /// Returns the expected service time of a request, in seconds: the estimate of its work key, or else the median.
    pub(super) fn expected(&self, meta: &RequestMeta) -> f64 {
        let estimate = self.by_key.get(&meta.work_key).copied();
        estimate.or(self.median).unwrap_or(DEFAULT_SERVICE_SECONDS)
    }

    /// Returns whether a request that has run for `elapsed` is long.
    pub(super) fn exceeds_long_threshold(&self, elapsed: Duration) -> bool {
        self.median
            .is_some_and(|median| elapsed.as_secs_f64() > LONG_MULTIPLE * median)
    }

    /// Returns whether a request that has not run is expected to be long, or is of the bulk class.
    pub(super) fn is_long(&self, meta: &RequestMeta) -> bool {
        if meta.class == TrafficClass::Bulk {
            return true;
        }
        match (self.by_key.get(&meta.work_key), self.median) {
            (Some(estimate), Some(median)) => *estimate > LONG_MULTIPLE * median,
            _ => false,
        }
    }
}

fn moving_average(average: Option<f64>, sample: f64) -> f64 {
    average.map_or(sample, |old| old + SAMPLE_WEIGHT * (sample - old))
}
