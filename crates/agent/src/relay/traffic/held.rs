//! Passes packets through the scheduler of requests and delivers those that it held.
//!
//! The lock of the scheduler is held while packets are sent, since another thread could otherwise send a later packet of
//! the same flow first. See docs/design/request-scheduling.md.

use super::AgentRelay;
use quetzalhill_core::relay::intake::{ReturnReason, UpstreamState};
use quetzalhill_core::relay::packet::PacketHead;
use quetzalhill_core::relay::schedule::{
    DroppedRequest, HeldPacket, ReleaseCause, ReleasedRequest, RequestScheduler, ScheduleVerdict,
};
use quetzalhill_core::relay::terms::FlowTerms;
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_platform::packet;
use quetzalhill_wire::relay::RELAY_HEADER_MAX;
use std::net::Ipv4Addr;
use std::time::Instant;

impl AgentRelay {
    /// Delivers a packet, or holds it until the upstream has a free slot for its request.
    pub(super) fn schedule(&self, packet: &[u8], head: &PacketHead, terms: FlowTerms) {
        let Some(mut scheduler) = self.state.scheduler() else {
            return self.deliver(packet, head);
        };
        let now = Instant::now();
        let slots = self.state.status.load().slots;
        match scheduler.admit(head, packet, terms, slots, now) {
            ScheduleVerdict::Deliver => self.deliver(packet, head),
            ScheduleVerdict::Overflow => {
                self.count_scheduled("overflow");
                self.deliver(packet, head);
            }
            ScheduleVerdict::Hold => {
                self.count("held");
                self.state.meter().record_held(head.flow);
            }
            ScheduleVerdict::DropCopy => self.count("held-copy"),
        }
        self.release(&mut scheduler, now);
    }

    /// Records an event in the scheduler and delivers the requests that are due after it.
    pub(in crate::relay) fn release_after(&self, record: impl FnOnce(&mut RequestScheduler)) {
        let Some(mut scheduler) = self.state.scheduler() else {
            return;
        };
        record(&mut scheduler);
        self.release(&mut scheduler, Instant::now());
    }

    fn release(&self, scheduler: &mut RequestScheduler, now: Instant) {
        let slots = self.state.status.load().slots;
        let released = scheduler.release(slots, now);
        for request in &released.requests {
            self.deliver_request(request);
        }
        for request in &released.dropped {
            self.record_dropped(request);
        }
    }

    fn deliver_request(&self, request: &ReleasedRequest) {
        self.count_scheduled(match request.cause {
            ReleaseCause::Turn => "held",
            ReleaseCause::Overflow => "overflow",
            ReleaseCause::FlowEnded => "flow-ended",
        });
        let held_times = &self.state.counters.held_times;
        held_times
            .with_label_values(&[&request.priority.to_string()])
            .observe(request.waited.as_secs_f64());
        for held in &request.packets {
            self.deliver_held(held);
        }
    }

    /// Delivers a held packet, or returns it to its entry if the upstream has ended since it arrived.
    fn deliver_held(&self, held: &HeldPacket) {
        if self.state.status.load().state != UpstreamState::Gone {
            return self.deliver(&held.bytes, &held.head);
        }
        let mut buffer = vec![0; RELAY_HEADER_MAX];
        buffer.extend_from_slice(&held.bytes);
        let entry = Ipv4Addr::from(packet::mark_of(&held.bytes));
        packet::restore(&mut buffer[RELAY_HEADER_MAX..]);
        self.return_packet(&mut buffer, &held.head, ReturnReason::NotHeld, entry);
    }

    fn record_dropped(&self, request: &DroppedRequest) {
        self.count_scheduled("dropped");
        emit(
            EventCode::RequestDropped,
            &[
                ("flow", &request.flow),
                ("priority", &request.priority),
                ("waited_ms", &request.waited.as_millis()),
            ],
        );
        if let Some(ending) = &request.ending {
            self.deliver_held(ending);
        }
    }

    fn count_scheduled(&self, outcome: &str) {
        let scheduled = &self.state.counters.scheduled;
        scheduled.with_label_values(&[outcome]).inc();
    }
}
