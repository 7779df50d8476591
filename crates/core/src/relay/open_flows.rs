//! Remembers open flows whose requests must not be repeated, so that they are reset when their upstream has restarted.
//!
//! The expected load is all callers returning after a loss of power, with flows that no upstream holds any more. A caller
//! learns that from its next request, which is lost: it may not be repeated on another flow. A reset before that request
//! lets the caller open a new flow first. The entry that reads for its zone keeps the flows in the store, since no
//! process keeps them through a loss of power. See docs/design/ended-flows.md.

use crate::ids::{EndpointId, IncarnationNumber};
use crate::relay::identity::UNKNOWN_INCARNATION;
use crate::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use crate::relay::place::EndpointKey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which a flow has to be at the same incarnation before it counts as held by it. The restart of an upstream is
/// known only with its next announcement and the report of it, which takes 2.7 s if two announcements are lost; a flow
/// that the new incarnation has taken meanwhile looks like one of the former.
const HELD_TIME: Duration = Duration::from_secs(3);

/// Time without packets after which a flow is no longer remembered; upstreams close idle flows sooner.
const UNUSED_TIME: Duration = Duration::from_secs(30);

/// Most flows that one entry remembers, 100 bytes each.
const FLOWS_MAX: usize = 4_096;

/// Most flows of a zone that its reader collects, so that their record stays below the megabyte that a value may have.
const ZONE_FLOWS_MAX: usize = 20_000;

/// Time after which a flow that its entry no longer names is left out of the record. Entries name their flows every second.
const NAMED_TIME: Duration = Duration::from_millis(3_500);

/// Time after the start of an entry during which flows of the record are reset. Upstreams that lost power announce
/// themselves within a second or two.
const RECORD_TIME: Duration = Duration::from_secs(10);

/// An open flow and the upstream that holds it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OpenFlow {
    /// Addresses of the flow.
    pub flow: FlowAddresses,
    /// Endpoint and incarnation that hold the flow; the incarnation is known.
    pub holder: EndpointKey,
    /// Bytes that the caller had acknowledged; a reset is accepted only near this number.
    pub acknowledged: u32,
}

#[derive(Clone, Copy, Debug)]
struct FlowState {
    holder: EndpointKey,
    acknowledged: u32,
    held_since: Instant,
    /// Whether the caller has acknowledged more since then, so that the holder answers.
    answered: bool,
    expires: Instant,
}

/// Open flows that pass through one entry.
#[derive(Debug, Default)]
pub struct OpenFlows {
    flows: HashMap<FlowAddresses, FlowState>,
}

impl OpenFlows {
    /// Records a packet of a caller that was sent to `holder` alone.
    pub fn record_delivered(&mut self, head: &PacketHead, holder: EndpointKey, now: Instant) {
        match head.kind {
            PacketKind::Established => {}
            PacketKind::Opening { .. }
            | PacketKind::Accepting
            | PacketKind::Ending
            | PacketKind::Reset => return self.remove(head.flow),
        }
        if holder.incarnation == UNKNOWN_INCARNATION {
            return;
        }
        let is_full = self.flows.len() >= FLOWS_MAX;
        if is_full && !self.flows.contains_key(&head.flow) {
            return;
        }
        let state = self.flows.entry(head.flow).or_insert(FlowState {
            holder,
            acknowledged: head.acknowledged,
            held_since: now,
            answered: false,
            expires: now,
        });
        if state.holder != holder {
            state.holder = holder;
            state.held_since = now;
            state.answered = false;
        }
        state.answered |= state.acknowledged != head.acknowledged;
        state.acknowledged = head.acknowledged;
        state.expires = now + UNUSED_TIME;
    }

    /// Forgets a flow that has ended, or whose holder is in doubt because an endpoint returned a packet of it.
    pub fn remove(&mut self, flow: FlowAddresses) {
        self.flows.remove(&flow);
    }

    /// Removes and returns the flows that earlier incarnations of an endpoint held, when a later one is known to run.
    pub fn take_ended(
        &mut self,
        id: EndpointId,
        incarnation: IncarnationNumber,
        now: Instant,
    ) -> Vec<OpenFlow> {
        let mut ended = Vec::new();
        self.flows.retain(|flow, state| {
            if !has_ended(state.holder, id, incarnation) {
                return true;
            }
            ended.extend(open_flow(*flow, state, now));
            false
        });
        ended
    }

    /// Removes flows that have not been used for long, and returns those that have a known holder.
    pub fn snapshot(&mut self, now: Instant) -> Vec<OpenFlow> {
        self.flows.retain(|_, state| now < state.expires);
        let known = self.flows.iter();
        known
            .filter_map(|(flow, state)| open_flow(*flow, state, now))
            .collect()
    }
}

/// Returns whether `holder` is an incarnation of the endpoint `id` from before `incarnation`. Incarnations are numbered by
/// the time of their start, so a lower one does not follow it.
fn has_ended(holder: EndpointKey, id: EndpointId, incarnation: IncarnationNumber) -> bool {
    holder.id == id && holder.incarnation < incarnation
}

fn open_flow(flow: FlowAddresses, state: &FlowState, now: Instant) -> Option<OpenFlow> {
    let is_held = state.answered && state.held_since + HELD_TIME <= now;
    is_held.then_some(OpenFlow {
        flow,
        holder: state.holder,
        acknowledged: state.acknowledged,
    })
}

/// Open flows of all entries of a zone, which its reader collects for the record in the store.
#[derive(Debug, Default)]
pub struct ZoneFlows {
    flows: HashMap<FlowAddresses, (OpenFlow, Instant)>,
}

impl ZoneFlows {
    /// Records flows that an entry of the zone has named.
    pub fn record(&mut self, flows: Vec<OpenFlow>, now: Instant) {
        for open in flows {
            let is_full = self.flows.len() >= ZONE_FLOWS_MAX;
            if is_full && !self.flows.contains_key(&open.flow) {
                continue;
            }
            self.flows.insert(open.flow, (open, now + NAMED_TIME));
        }
    }

    /// Returns the flows that were named lately.
    pub fn named(&mut self, now: Instant) -> Vec<OpenFlow> {
        self.flows.retain(|_, (_, expires)| now < *expires);
        self.flows.values().map(|(open, _)| *open).collect()
    }
}

/// Flows of the record that was in the store when the entry started.
#[derive(Debug)]
pub struct RecordedFlows {
    flows: Vec<OpenFlow>,
    expires: Instant,
}

impl RecordedFlows {
    /// Makes an empty record for an entry that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            flows: Vec::new(),
            expires: now + RECORD_TIME,
        }
    }

    /// Adds the flows that were read.
    pub fn load(&mut self, flows: Vec<OpenFlow>) {
        self.flows.extend(flows);
    }

    /// Removes and returns the flows whose endpoint runs another, later incarnation by now. `incarnation` returns that of an
    /// endpoint, or `None` while it is not known.
    pub fn take_ended(
        &mut self,
        incarnation: impl Fn(EndpointId) -> Option<IncarnationNumber>,
        now: Instant,
    ) -> Vec<OpenFlow> {
        if self.expires <= now {
            self.flows.clear();
        }
        let mut ended = Vec::new();
        self.flows.retain(|open| {
            let current = incarnation(open.holder.id).unwrap_or(UNKNOWN_INCARNATION);
            if !has_ended(open.holder, open.holder.id, current) {
                return true;
            }
            ended.push(*open);
            false
        });
        ended
    }
}
