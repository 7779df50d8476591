//! Pace of an upstream, as its answers show it.
//!
//! Agents measure how long requests run and how many of them their upstream answers well at the same time. Entries place
//! new flows by it. See docs/load.md.

use smallvec::SmallVec;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Average time that the requests to one service address run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceTime {
    /// Address that the callers use. Kinds of requests differ by it, so times are compared only for the same address.
    pub address: SocketAddrV4,
    /// Average time from the start of a request at the upstream to its answer.
    pub average: Duration,
}

/// Service times by address; an upstream serves a few routes.
pub type ServiceTimes = SmallVec<[ServiceTime; 4]>;

/// Pace of an upstream in a report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EndpointPace {
    /// Requests in progress at which the agent stops accepting new flows.
    pub window: u32,
    /// Measured service times; empty until enough requests have been answered.
    pub service_times: ServiceTimes,
}

impl EndpointPace {
    /// Returns the least service time, so that an estimate of the queue is not too long whatever kinds of requests wait
    /// in it; `None` until enough requests have been answered.
    pub fn least_service_time(&self) -> Option<Duration> {
        let times = self.service_times.iter();
        times.map(|time| time.average).min()
    }
}
