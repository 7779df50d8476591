//! Requests at the upstream that have not been answered.

use super::service::ServiceAverages;
use crate::relay::load::IDLE_MAX;
use crate::relay::packet::{bytes_after, FlowAddresses, PacketHead, PacketKind};
use std::time::{Duration, Instant};

/// Limit of requests that are remembered; an upstream runs and queues 20 at most.
const RUNNING_MAX: usize = 512;

/// Service times after which an unanswered request no longer counts. Some requests take seven times as long as the
/// average.
const HANG_FACTOR: u32 = 10;

/// Range of the time after which an unanswered request no longer counts.
const HANG_MIN: Duration = Duration::from_millis(300);
const HANG_MAX: Duration = Duration::from_secs(3);

/// The same time while no request has been answered.
const HANG_DEFAULT: Duration = Duration::from_secs(1);

/// Service times after which a request no longer counts if its caller has ended the flow; its answer may never be sent.
const ABANDONED_FACTOR: u32 = 2;

/// Largest distance between the answers that a caller has received and a copy of one of them, in bytes. A larger one
/// shows that the numbers of the two packets have nothing to do with each other.
const COPY_DISTANCE_MAX: u32 = 1 << 20;

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    /// Flow of the request; `None` if its caller has reset the flow, whose addresses another flow may have.
    flow: Option<FlowAddresses>,
    started: Instant,
    /// Point in time until which the request takes a slot if it is not answered.
    counted_until: Instant,
    expires: Instant,
    /// Bytes of the upstream that the caller had received when it sent the request.
    received: u32,
    /// Whether a slot was free, so that the time until the answer is the service time.
    alone: bool,
}

/// The requests that the upstream runs or queues.
#[derive(Debug, Default)]
pub(super) struct RunningList {
    requests: Vec<RunningRequest>,
    times: ServiceAverages,
}

impl RunningList {
    /// Returns the average service times of the answered requests.
    pub(super) fn times(&self) -> &ServiceAverages {
        &self.times
    }

    /// Returns the number of requests that take a slot.
    pub(super) fn count(&self, now: Instant) -> usize {
        let requests = self.requests.iter();
        requests
            .filter(|request| now < request.counted_until)
            .count()
    }

    /// Returns whether a request on the flow has not been answered.
    pub(super) fn contains(&self, flow: FlowAddresses, now: Instant) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|request| request.flow == Some(flow) && now < request.expires)
    }

    /// Adds the request that begins with the packet `head`. `alone` says whether a slot is free.
    pub(super) fn start(&mut self, head: &PacketHead, alone: bool, now: Instant) {
        if self.requests.len() >= RUNNING_MAX {
            self.requests.remove(0);
        }
        let expected = self.times.expected(head.flow.service);
        let hang_time = expected.map_or(HANG_DEFAULT, |expected| {
            (expected * HANG_FACTOR).clamp(HANG_MIN, HANG_MAX)
        });
        self.requests.push(RunningRequest {
            flow: Some(head.flow),
            started: now,
            counted_until: now + hang_time,
            expires: now + IDLE_MAX,
            received: head.acknowledged,
            alone,
        });
    }

    /// Ends the request on a flow if the upstream's packet `head` is the first data of its answer or ends the flow.
    pub(super) fn finish(&mut self, head: &PacketHead, now: Instant) {
        let ending = head.kind == PacketKind::Ending;
        if head.data_len == 0 && !ending {
            return;
        }
        let mut requests = self.requests.iter();
        let Some(index) = requests.position(|request| request.flow == Some(head.flow)) else {
            return;
        };
        let request = self.requests[index];
        // The upstream repeats the previous answer if the caller's acknowledgement was lost.
        let is_copy = bytes_after(request.received, head.end())
            .is_some_and(|distance| distance < COPY_DISTANCE_MAX);
        if is_copy && !ending {
            return;
        }
        self.requests.remove(index);
        if head.data_len > 0 && request.alone {
            let service_time = now.saturating_duration_since(request.started);
            self.times.record(head.flow.service, service_time);
        }
    }

    /// Shortens the time for which the request on a flow counts, since its caller has ended the flow. If the caller has
    /// reset it, no answer follows.
    pub(super) fn abandon(&mut self, head: &PacketHead) {
        let expected = self.times.expected(head.flow.service).unwrap_or(HANG_MIN);
        for request in &mut self.requests {
            if request.flow != Some(head.flow) {
                continue;
            }
            let until = request.started + expected * ABANDONED_FACTOR;
            request.counted_until = request.counted_until.min(until);
            if head.kind == PacketKind::Reset {
                request.flow = None;
                request.expires = request.counted_until;
            }
        }
    }

    /// Removes the request on a flow that the upstream does not hold.
    pub(super) fn remove(&mut self, flow: FlowAddresses) {
        self.requests.retain(|request| request.flow != Some(flow));
    }

    /// Removes the requests that have not been answered for long.
    pub(super) fn expire(&mut self, now: Instant) {
        self.requests.retain(|request| now < request.expires);
    }

    /// Removes the requests on flows that the upstream has lost, and all averages: another incarnation may have another
    /// pace.
    pub(super) fn restart(&mut self, holds: impl Fn(FlowAddresses) -> bool) {
        self.requests
            .retain(|request| request.flow.is_some_and(&holds));
        self.times = ServiceAverages::default();
    }
}
