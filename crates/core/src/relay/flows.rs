//! Bounded flow table of an entry.
//!
//! The table only saves queries: an entry finds the endpoint of a flow that is not in it by querying the endpoints in
//! their order.

use crate::relay::packet::FlowAddresses;
use crate::relay::place::{EndpointKey, TriedList};
use crate::relay::rounds::RoundRecord;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Flows in each of the two generations, at 300 bytes per flow.
const GENERATION_MAX: usize = 50_000;

/// Endpoints that receive the packets of a flow at the same time; one for most flows.
pub type QueriedList = SmallVec<[EndpointKey; 2]>;

/// Endpoints that returned a new flow as busy, with the number of their requests.
pub type BusyList = SmallVec<[(EndpointKey, u32); 1]>;

/// A first packet that is or was held, or the later copy that took its place.
#[derive(Clone, Copy, Debug)]
pub struct HeldOpening {
    /// Number of copies that the caller had sent before this one.
    pub copies: u32,
    /// End of the hold.
    pub until: Instant,
}

/// State of one flow in the table.
#[derive(Clone, Debug, Default)]
pub struct FlowRecord {
    /// Endpoints that receive the packets of the flow: its holder, or several during a search.
    pub queried: QueriedList,
    /// Last round of a search; unset if the flow was placed by this entry and never searched for.
    pub round: Option<RoundRecord>,
    /// Endpoint that was the last of its round to return a packet and so started the next round. Only further packets
    /// that this endpoint returns are sent on, since the other endpoints of the round return the same packets.
    pub last_in_round: Option<EndpointKey>,
    /// Endpoints that returned a packet of the flow.
    pub tried: TriedList,
    /// Endpoints that returned the new flow as busy, with the number of their requests.
    pub busy: BusyList,
    /// Whether the new flow was placed on a busy endpoint because the other candidates were busy too.
    pub forced: bool,
    /// Whether an endpoint returned the new flow because it had no credit.
    pub cold_returned: bool,
    /// First packet of the flow that was held last until an endpoint is ready, or a later copy of it.
    pub held: Option<HeldOpening>,
    /// Arrival of the last first packet of the flow.
    pub opening_seen: Option<Instant>,
    /// Point in time until which the flow may be refused, because no copy of its first packet can have been accepted.
    pub refusable_until: Option<Instant>,
    /// Whether only first packets of the flow have arrived so far.
    pub opening: bool,
    /// Number of first packets of the flow that an endpoint may have accepted. A further first packet does not reset it,
    /// since the network may have copied one.
    pub placed: u8,
    /// Number of the caller's next transmission of the first packet, as far as this entry has seen them.
    pub next_copy: u32,
    /// Arrival of the first packet for which the entry found no known holder or no route. Only lists, routes and
    /// reports from later than this can prove that the flow has ended.
    pub unresolved_since: Option<Instant>,
}

impl FlowRecord {
    /// Records a first packet that was sent this many times before. Another entry may have placed an earlier copy that
    /// this one has not seen.
    pub fn record_opening(&mut self, copies: u32) {
        if copies > self.next_copy {
            self.record_placed();
        }
        self.next_copy = self.next_copy.max(copies.saturating_add(1));
        self.opening = true;
    }

    /// Records that a first packet was delivered to an endpoint.
    pub fn record_placed(&mut self) {
        self.placed = self.placed.saturating_add(1);
    }
}

/// Records of the flows seen lately.
///
/// Two generations replace a timer for each flow: a record that was not used for a whole period is dropped.
#[derive(Debug)]
pub struct FlowTable {
    recent: HashMap<FlowAddresses, FlowRecord>,
    old: HashMap<FlowAddresses, FlowRecord>,
    rotate_at: Instant,
}

impl FlowTable {
    /// Makes an empty table whose first period starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            recent: HashMap::new(),
            old: HashMap::new(),
            rotate_at: now,
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.recent.len() + self.old.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Starts a new generation and drops the old one when `idle` has passed since the last rotation or the recent
    /// generation is full.
    pub fn rotate(&mut self, idle: Duration, now: Instant) {
        if now < self.rotate_at && self.recent.len() < GENERATION_MAX {
            return;
        }
        self.old = std::mem::take(&mut self.recent);
        self.rotate_at = now + idle;
    }

    /// Returns the record of `flow`, if there is one.
    pub fn get(&self, flow: FlowAddresses) -> Option<&FlowRecord> {
        self.recent.get(&flow).or_else(|| self.old.get(&flow))
    }

    /// Returns the record of `flow`, creating an empty one if there is none, and moves it to the recent generation.
    pub fn record(&mut self, flow: FlowAddresses) -> &mut FlowRecord {
        let old = &mut self.old;
        self.recent
            .entry(flow)
            .or_insert_with(|| old.remove(&flow).unwrap_or_default())
    }
}
