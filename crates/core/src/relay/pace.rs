//! Pace of an upstream, as its answers show it.
//!
//! Agents measure how long requests run and how many of them their upstream answers well at the same time. Entries place
//! new flows by it. See docs/load.md and docs/design/pace.md.

use crate::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use crate::relay::service_time::{RequestModel, ServiceAverages};
use crate::relay::slow_start::{StartWindow, WindowFilled, CEILING_PER_SLOT};
use smallvec::SmallVec;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

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

/// Measures the pace of one upstream from the packets of its flows.
#[derive(Debug)]
pub struct PaceMeter {
    model: RequestModel,
    averages: ServiceAverages,
    /// Window of new flows, if they are limited by one.
    window: Option<StartWindow>,
    filled: Option<WindowFilled>,
}

impl PaceMeter {
    /// Makes the meter of an upstream whose slots are not known yet; `slow_start` says whether new flows are limited by a
    /// window.
    pub fn new(slow_start: bool, now: Instant) -> Self {
        Self {
            model: RequestModel::default(),
            averages: ServiceAverages::default(),
            window: slow_start.then(|| StartWindow::new(0, now)),
            filled: None,
        }
    }

    /// Records the start of a request on `flow`.
    pub fn begin(&mut self, flow: FlowAddresses, now: Instant) {
        self.model.begin(flow, now);
    }

    /// Records that the caller has reset `flow`, so that nobody waits for its request.
    pub fn abort(&mut self, flow: FlowAddresses, now: Instant) {
        self.model.end(flow, now);
    }

    /// Records a packet that the upstream sent, which may answer or end the request on its flow.
    pub fn record_sent(&mut self, head: &PacketHead, now: Instant) {
        match head.kind {
            PacketKind::Reset => self.abort(head.flow, now),
            PacketKind::Ending if head.data_len == 0 => self.abort(head.flow, now),
            _ if head.data_len > 0 => self.answer(head.flow, now),
            _ => {}
        }
    }

    fn answer(&mut self, flow: FlowAddresses, now: Instant) {
        let Some(times) = self.model.end(flow, now) else {
            return;
        };
        if let Some(window) = &mut self.window {
            let slots = self.model.slots();
            let expected = self.averages.expected(flow.service, times.ahead, slots);
            let filled = window.record(times.total, expected, now);
            self.filled = self.filled.or(filled);
        }
        self.averages.record(flow.service, times.service, now);
    }

    /// Sets the number of requests that the upstream runs concurrently.
    pub fn set_slots(&mut self, slots: u32, now: Instant) {
        self.model.set_slots(slots, now);
        if let Some(window) = &mut self.window {
            window.set_slots(slots);
        }
    }

    /// Discards everything that was measured, since another incarnation of the upstream has started.
    pub fn reset(&mut self, now: Instant) {
        self.model.clear();
        self.averages.clear();
        self.restart_window(now);
    }

    /// Starts the window again, because the upstream recovers. Returns whether there is one that had left its start.
    pub fn restart_window(&mut self, now: Instant) -> bool {
        self.filled = None;
        self.window
            .as_mut()
            .is_some_and(|window| window.restart(now))
    }

    /// Returns the requests in progress at which new flows are returned, if they are limited by a window.
    pub fn window(&self) -> Option<u32> {
        self.window.map(|window| window.limit())
    }

    /// Returns once that the window has reached its ceiling.
    pub fn take_filled(&mut self) -> Option<WindowFilled> {
        self.filled.take()
    }

    /// Returns the pace as of `now`.
    pub fn pace(&self, now: Instant) -> EndpointPace {
        let ceiling = self.model.slots().saturating_mul(CEILING_PER_SLOT);
        EndpointPace {
            window: self.window().unwrap_or(ceiling),
            service_times: self.averages.times(now),
        }
    }
}
