//! Decides which requests an agent delivers to its upstream, and which wait at the agent and in which order.
//!
//! A request on an open flow cannot be moved to another endpoint, and the upstream's own queue is first in, first out
//! and short. So the agent delivers as many requests as the upstream has slots and orders the rest by the terms of
//! their routes. See docs/design/request-scheduling.md.

mod choice;
mod running;
mod service;

use self::choice::choose;
use self::running::RunningList;
use crate::relay::load::IDLE_MAX;
use crate::relay::packet::{bytes_after, FlowAddresses, PacketHead, PacketKind};
use crate::relay::terms::FlowTerms;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Limit of held requests: more than an upstream can answer before callers give up (4 slots and 47 ms of work make 170
/// requests in 2 s).
pub const HELD_REQUESTS_MAX: usize = 256;

/// Limit of the bytes of held packets; an agent has 64 MB for everything.
pub const HELD_BYTES_MAX: usize = 2 << 20;

/// Bytes that a held packet needs beside its own.
const PACKET_OVERHEAD: usize = 64;

/// Limit of known flows; packets of further ones are not held.
const FLOWS_MAX: usize = 8_192;

/// A caller's packet that waits at the agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldPacket {
    /// Decoded header.
    pub head: PacketHead,
    /// The whole packet as it is sent to the upstream.
    pub bytes: Box<[u8]>,
}

/// What the agent does with a packet that it would deliver without the scheduler.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ScheduleVerdict {
    /// Deliver the packet now.
    Deliver,
    /// Deliver the packet now because the queue is full, although the upstream has no free slot.
    Overflow,
    /// The scheduler has taken a copy of the packet and returns it later.
    Hold,
    /// Drop the packet: it is a copy of a held one.
    DropCopy,
}

/// A request that was held and whose packets are to be delivered now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReleasedRequest {
    /// Flow of the request.
    pub flow: FlowAddresses,
    /// Priority of its route.
    pub priority: u8,
    /// Time for which it was held.
    pub waited: Duration,
    /// Packets in the order of the caller's bytes.
    pub packets: Vec<HeldPacket>,
    /// Why it is delivered.
    pub cause: ReleaseCause,
}

/// Why a held request is delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReleaseCause {
    /// It is its turn.
    Turn,
    /// Its packets no longer fit into the queue.
    Overflow,
    /// The upstream no longer has the flow or will not answer on it, so that it runs no request there.
    FlowEnded,
}

/// A held request that was dropped because its caller has given up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DroppedRequest {
    /// Flow of the request.
    pub flow: FlowAddresses,
    /// Priority of its route.
    pub priority: u8,
    /// Time for which it was held.
    pub waited: Duration,
    /// End of the flow that the caller sent after the request; to be delivered.
    pub ending: Option<HeldPacket>,
}

/// Held requests that leave the queue, in the order in which they are to be handled.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReleasedRequests {
    /// Requests to deliver.
    pub requests: Vec<ReleasedRequest>,
    /// Requests that were dropped after their timeout.
    pub dropped: Vec<DroppedRequest>,
}

/// A flow of which the upstream has sent a packet, so that it holds the flow.
#[derive(Clone, Copy, Debug)]
struct KnownFlow {
    opened: Instant,
    expires: Instant,
    /// Sequence number after the data that was delivered; data before it is a retransmission.
    delivered: Option<u32>,
    /// Whether the upstream has sent its last data.
    ended: bool,
}

#[derive(Debug)]
struct HeldRequest {
    flow: FlowAddresses,
    terms: FlowTerms,
    /// Arrival of its first packet.
    arrived: Instant,
    packets: Vec<HeldPacket>,
    cause: ReleaseCause,
}

/// Queue of the requests that wait for a slot of the upstream.
///
/// The caller executes the verdict of each packet before it passes the next event, and sends what
/// [`release`](Self::release) returns after each event; otherwise packets of a flow may overtake each other.
#[derive(Debug, Default)]
pub struct RequestScheduler {
    flows: HashMap<FlowAddresses, KnownFlow>,
    /// In the order of arrival.
    held: Vec<HeldRequest>,
    held_bytes: usize,
    running: RunningList,
    choices: u32,
}

impl RequestScheduler {
    /// Returns the number of held requests.
    pub fn held_requests(&self) -> usize {
        self.held.len()
    }

    /// Returns the number of requests at the upstream that take a slot.
    pub fn running_requests(&self, now: Instant) -> usize {
        self.running.count(now)
    }

    /// Decides on a packet of a caller. `slots` is the number of requests that the upstream runs concurrently, 0 while
    /// it is not known.
    ///
    /// Packets of a flow that the upstream is not known to hold are not held: an entry may be searching for the holder
    /// of the flow and waits for the packet's return, or the agent has restarted and its upstream has the flow.
    pub fn admit(
        &mut self,
        head: &PacketHead,
        bytes: &[u8],
        terms: FlowTerms,
        slots: u32,
        now: Instant,
    ) -> ScheduleVerdict {
        match head.kind {
            PacketKind::Opening { .. } | PacketKind::Accepting => return ScheduleVerdict::Deliver,
            PacketKind::Reset => {
                self.take_held(head.flow);
                self.running.abandon(head);
                self.flows.remove(&head.flow);
                return ScheduleVerdict::Deliver;
            }
            PacketKind::Established | PacketKind::Ending => {}
        }
        let ending = head.kind == PacketKind::Ending;
        if head.data_len == 0 && !ending {
            return ScheduleVerdict::Deliver;
        }
        if let Some(index) = self.held_index(head.flow) {
            return match self.is_delivered(head) {
                true => ScheduleVerdict::Deliver,
                false => self.hold_behind(index, head, bytes),
            };
        }
        if ending {
            self.running.abandon(head);
        }
        if head.data_len == 0 || !self.starts_request(head, now) {
            return ScheduleVerdict::Deliver;
        }
        let known = self.flows.contains_key(&head.flow);
        let free = slots == 0 || self.running_requests(now) < slots_len(slots);
        if !known || (free && self.held.is_empty()) {
            self.start(head, free, now);
            return ScheduleVerdict::Deliver;
        }
        let size = bytes.len() + PACKET_OVERHEAD;
        if self.held.len() >= HELD_REQUESTS_MAX || self.held_bytes + size > HELD_BYTES_MAX {
            self.start(head, false, now);
            return ScheduleVerdict::Overflow;
        }
        self.held_bytes += size;
        self.held.push(HeldRequest {
            flow: head.flow,
            terms,
            arrived: now,
            packets: vec![HeldPacket {
                head: *head,
                bytes: bytes.into(),
            }],
            cause: ReleaseCause::Turn,
        });
        ScheduleVerdict::Hold
    }

    /// Records a packet that the upstream sent.
    pub fn record_sent(&mut self, head: &PacketHead, now: Instant) {
        if head.kind == PacketKind::Reset {
            self.flows.remove(&head.flow);
            self.take_held(head.flow);
            self.running.remove(head.flow);
            return;
        }
        if self.flows.len() >= FLOWS_MAX && !self.flows.contains_key(&head.flow) {
            return self.running.finish(head, now);
        }
        let known = self.flows.entry(head.flow).or_insert(KnownFlow {
            opened: now,
            expires: now,
            delivered: None,
            ended: false,
        });
        known.expires = now + IDLE_MAX;
        match head.kind {
            // The caller may use the addresses of an earlier flow again, with other sequence numbers.
            PacketKind::Accepting => {
                known.delivered = None;
                known.ended = false;
            }
            PacketKind::Ending => {
                known.ended = true;
                self.release_flow(head.flow);
            }
            PacketKind::Opening { .. } | PacketKind::Established | PacketKind::Reset => {}
        }
        self.running.finish(head, now);
    }

    /// Records that the upstream has returned a packet of a flow because it does not hold the flow.
    pub fn record_returned(&mut self, flow: FlowAddresses) {
        self.flows.remove(&flow);
        self.running.remove(flow);
        self.release_flow(flow);
    }

    /// Forgets the flows opened before `restarted_at`, when the upstream restarted and lost them. Their held packets
    /// are released, so that the upstream returns them and entries end the flows.
    pub fn forget_before(&mut self, restarted_at: Instant) {
        self.flows.retain(|_, known| known.opened >= restarted_at);
        let flows = &self.flows;
        self.running.restart(|flow| flows.contains_key(&flow));
        for request in &mut self.held {
            if !flows.contains_key(&request.flow) {
                request.cause = ReleaseCause::FlowEnded;
            }
        }
    }

    /// Releases all held packets because the upstream has ended.
    pub fn release_all(&mut self) {
        self.running.restart(|_| false);
        for request in &mut self.held {
            request.cause = ReleaseCause::FlowEnded;
        }
    }

    /// Removes flows that have been idle for too long. Has to be called several times a second, followed by
    /// [`release`](Self::release), so that timeouts take effect without traffic.
    pub fn tick(&mut self, now: Instant) {
        let held = &self.held;
        self.flows.retain(|flow, known| {
            now < known.expires || held.iter().any(|request| request.flow == *flow)
        });
        self.running.expire(now);
    }

    /// Takes the requests out of the queue that are due: those whose turn has come, those that cannot be held any more,
    /// and those whose callers have given up.
    pub fn release(&mut self, slots: u32, now: Instant) -> ReleasedRequests {
        let mut released = ReleasedRequests::default();
        if self.held.is_empty() {
            return released;
        }
        self.drop_expired(now, &mut released.dropped);
        while let Some(index) = self.next_due(slots, now) {
            let request = self.remove_held(index);
            if request.cause != ReleaseCause::FlowEnded {
                let free = slots == 0 || self.running_requests(now) < slots_len(slots);
                for packet in &request.packets {
                    self.start(&packet.head, free, now);
                }
            }
            released.requests.push(ReleasedRequest {
                flow: request.flow,
                priority: request.terms.priority,
                waited: now.saturating_duration_since(request.arrived),
                packets: request.packets,
                cause: request.cause,
            });
        }
        released
    }

    fn next_due(&mut self, slots: u32, now: Instant) -> Option<usize> {
        let mut causes = self.held.iter().map(|request| request.cause);
        if let Some(index) = causes.position(|cause| cause != ReleaseCause::Turn) {
            return Some(index);
        }
        if slots > 0 && self.running_requests(now) >= slots_len(slots) {
            return None;
        }
        let index = choose(&self.held, self.running.times(), self.choices, now)?;
        self.choices = self.choices.wrapping_add(1);
        Some(index)
    }

    fn drop_expired(&mut self, now: Instant, dropped: &mut Vec<DroppedRequest>) {
        let mut index = 0;
        while let Some(request) = self.held.get(index) {
            let timeout = request.terms.timeout;
            if timeout.is_zero() || now < request.arrived + timeout {
                index += 1;
                continue;
            }
            let mut request = self.remove_held(index);
            // Without the end of the flow the upstream would keep the flow until its idle timeout.
            let ending = request
                .packets
                .pop()
                .filter(|last| last.head.kind == PacketKind::Ending && last.head.data_len == 0);
            dropped.push(DroppedRequest {
                flow: request.flow,
                priority: request.terms.priority,
                waited: now.saturating_duration_since(request.arrived),
                ending,
            });
        }
    }

    /// Holds a further packet of a held request in the order of the caller's bytes.
    fn hold_behind(&mut self, index: usize, head: &PacketHead, bytes: &[u8]) -> ScheduleVerdict {
        let request = &mut self.held[index];
        let is_copy = |held: &HeldPacket| {
            held.head.sequence == head.sequence
                && held.head.data_len == head.data_len
                && held.head.kind == head.kind
        };
        if request.packets.iter().any(is_copy) {
            return ScheduleVerdict::DropCopy;
        }
        let behind = |held: &HeldPacket| {
            bytes_after(held.head.sequence, head.sequence).is_some_and(|distance| distance > 0)
        };
        let position = request.packets.iter().position(behind);
        let position = position.unwrap_or(request.packets.len());
        request.packets.insert(
            position,
            HeldPacket {
                head: *head,
                bytes: bytes.into(),
            },
        );
        self.held_bytes += bytes.len() + PACKET_OVERHEAD;
        if self.held_bytes > HELD_BYTES_MAX && request.cause == ReleaseCause::Turn {
            request.cause = ReleaseCause::Overflow;
        }
        ScheduleVerdict::Hold
    }

    /// Returns whether the data of a packet was delivered before, so that the packet is a retransmission.
    fn is_delivered(&self, head: &PacketHead) -> bool {
        let known = self.flows.get(&head.flow);
        let delivered = known.and_then(|known| known.delivered);
        delivered.is_some_and(|delivered| bytes_after(delivered, head.end()).is_some())
    }

    /// Returns whether the data of a packet begins a request, and records the data as delivered if it continues one.
    fn starts_request(&mut self, head: &PacketHead, now: Instant) -> bool {
        if self.is_delivered(head) {
            return false;
        }
        let running = self.running.contains(head.flow, now);
        let Some(known) = self.flows.get_mut(&head.flow) else {
            return !running;
        };
        known.expires = now + IDLE_MAX;
        if running {
            known.delivered = Some(head.end());
        }
        !running && !known.ended
    }

    /// Records the delivery of a packet of a request; the first one starts it.
    fn start(&mut self, head: &PacketHead, alone: bool, now: Instant) {
        if head.data_len == 0 {
            return;
        }
        if let Some(known) = self.flows.get_mut(&head.flow) {
            known.delivered = Some(head.end());
        }
        if !self.running.contains(head.flow, now) {
            self.running.start(head, alone, now);
        }
    }

    fn release_flow(&mut self, flow: FlowAddresses) {
        if let Some(index) = self.held_index(flow) {
            self.held[index].cause = ReleaseCause::FlowEnded;
        }
    }

    fn held_index(&self, flow: FlowAddresses) -> Option<usize> {
        self.held.iter().position(|request| request.flow == flow)
    }

    fn take_held(&mut self, flow: FlowAddresses) {
        if let Some(index) = self.held_index(flow) {
            self.remove_held(index);
        }
    }

    fn remove_held(&mut self, index: usize) -> HeldRequest {
        let request = self.held.remove(index);
        for packet in &request.packets {
            self.held_bytes -= packet.bytes.len() + PACKET_OVERHEAD;
        }
        request
    }
}

fn slots_len(slots: u32) -> usize {
    usize::try_from(slots).unwrap_or(usize::MAX)
}
