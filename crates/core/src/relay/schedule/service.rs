//! Average service times of an upstream, by which the scheduler tells which requests can meet their target latency.

use smallvec::SmallVec;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Weight of the former average, in eighths; the last eighth is the new service time.
const FORMER_WEIGHT: u32 = 7;

/// Largest service time that counts, in averages; one hung request must not make all requests look late.
const OUTLIER_FACTOR: u32 = 4;

/// Limit of addresses with an average; an upstream serves a few routes.
const ADDRESSES_MAX: usize = 16;

/// Moving average of the service time for each service address, since kinds of requests differ by it.
#[derive(Debug, Default)]
pub(super) struct ServiceAverages {
    averages: SmallVec<[(SocketAddrV4, Duration); 4]>,
}

impl ServiceAverages {
    /// Returns the average for an address, or `None` before the first answer.
    pub(super) fn expected(&self, address: SocketAddrV4) -> Option<Duration> {
        let mut averages = self.averages.iter();
        let (_, average) = averages.find(|(known, _)| *known == address)?;
        Some(*average)
    }

    /// Adds the service time of a request to the average of its address.
    pub(super) fn record(&mut self, address: SocketAddrV4, service_time: Duration) {
        for (known, average) in &mut self.averages {
            if *known != address {
                continue;
            }
            let service_time = service_time.min(*average * OUTLIER_FACTOR);
            *average = (*average * FORMER_WEIGHT + service_time) / (FORMER_WEIGHT + 1);
            return;
        }
        if self.averages.len() < ADDRESSES_MAX {
            self.averages.push((address, service_time));
        }
    }
}
