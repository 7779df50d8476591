//! Metrics of requests by class and owner.

use arc_swap::ArcSwap;
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, Result};
use quetzalhill_core::catalogue::TrafficClass;
use quetzalhill_core::ids::OwnerName;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Owners with their own series. A histogram has 16 series for each owner and class, so the number of owners has to be
/// bounded however many the catalogue has.
pub const OWNERS_MAX: usize = 32;

/// Value of the label `owner` for all other owners.
pub const OTHER_OWNERS: &str = "other";

/// Upper bounds of the buckets of the latency histogram, in seconds.
const LATENCY_BUCKETS: [f64; 13] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0,
];

/// Outcome of a request, as a metric label.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutcomeLabel {
    /// The complete response was written to the caller's connection.
    Answered,
    /// The request was refused and not run.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
    /// The caller cancelled the request.
    Cancelled,
}

impl OutcomeLabel {
    /// Returns the value of the label.
    pub fn name(self) -> &'static str {
        match self {
            OutcomeLabel::Answered => "answered",
            OutcomeLabel::NotRun => "not-run",
            OutcomeLabel::Unknown => "unknown",
            OutcomeLabel::Cancelled => "cancelled",
        }
    }
}

/// Latency and outcomes of requests by class and owner; can be used from all threads.
#[derive(Debug)]
pub struct RequestMetrics {
    latency: HistogramVec,
    outcomes: IntCounterVec,
    owners: ArcSwap<BTreeSet<OwnerName>>,
}

impl RequestMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// The registry already has metrics with these names.
    pub fn new(registry: &Registry) -> Result<Self> {
        let options = HistogramOpts::new(
            "quetzalhill_request_seconds",
            "Time from the arrival of a request to the end of its answer, in seconds.",
        );
        let options = options.buckets(LATENCY_BUCKETS.to_vec());
        let latency = HistogramVec::new(options, &["class", "owner"])?;
        let options = Opts::new("quetzalhill_requests_total", "Requests by their outcome.");
        let outcomes = IntCounterVec::new(options, &["class", "owner", "outcome"])?;
        registry.register(Box::new(latency.clone()))?;
        registry.register(Box::new(outcomes.clone()))?;
        Ok(Self {
            latency,
            outcomes,
            owners: ArcSwap::default(),
        })
    }

    /// Sets the owners in the catalogue. The first [`OWNERS_MAX`] by name get their own series, and the series of owners that
    /// are no longer among them are removed.
    pub fn set_owners<'a>(&self, owners: impl Iterator<Item = &'a OwnerName>) {
        let all: BTreeSet<OwnerName> = owners.cloned().collect();
        let known: BTreeSet<OwnerName> = all.into_iter().take(OWNERS_MAX).collect();
        let previous = self.owners.swap(Arc::new(known.clone()));
        for owner in previous.difference(&known) {
            self.remove(owner);
        }
    }

    /// Counts a request that has ended.
    pub fn observe(
        &self,
        class: TrafficClass,
        owner: &str,
        outcome: OutcomeLabel,
        latency: Duration,
    ) {
        let owners = self.owners.load();
        let label = match owners.contains(owner) {
            true => owner,
            false => OTHER_OWNERS,
        };
        let seconds = latency.as_secs_f64();
        self.latency
            .with_label_values(&[class.name(), label])
            .observe(seconds);
        self.outcomes
            .with_label_values(&[class.name(), label, outcome.name()])
            .inc();
    }

    fn remove(&self, owner: &str) {
        const OUTCOMES: [OutcomeLabel; 4] = [
            OutcomeLabel::Answered,
            OutcomeLabel::NotRun,
            OutcomeLabel::Unknown,
            OutcomeLabel::Cancelled,
        ];
        for class in TrafficClass::ALL {
            // Removing a series that was never observed fails, which can be ignored.
            let _ = self.latency.remove_label_values(&[class.name(), owner]);
            for outcome in OUTCOMES {
                let labels = [class.name(), owner, outcome.name()];
                let _ = self.outcomes.remove_label_values(&labels);
            }
        }
    }
}
