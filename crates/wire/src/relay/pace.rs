//! Encoding of the pace of an upstream in a report.

use quetzalhill_core::ids::{address_of, id_of};
use quetzalhill_core::relay::pace::{EndpointPace, ServiceTime};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Pace of an upstream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PaceNotice {
    /// Requests in progress at which the agent stops accepting new flows.
    pub window: u32,
    /// Service addresses, packed by [`id_of`], and their service times in microseconds.
    pub service_times: Vec<(u64, u32)>,
}

impl PaceNotice {
    /// Creates the notice of `pace`.
    pub fn new(pace: &EndpointPace) -> Self {
        let mut service_times = Vec::with_capacity(pace.service_times.len());
        for time in &pace.service_times {
            let micros = u32::try_from(time.average.as_micros()).unwrap_or(u32::MAX);
            service_times.push((id_of(time.address), micros));
        }
        Self {
            window: pace.window,
            service_times,
        }
    }

    /// Converts the notice to a pace.
    pub fn into_pace(self) -> EndpointPace {
        let mut pace = EndpointPace {
            window: self.window,
            ..EndpointPace::default()
        };
        for (address, micros) in self.service_times {
            pace.service_times.push(ServiceTime {
                address: address_of(address),
                average: Duration::from_micros(micros.into()),
            });
        }
        pace
    }
}
