//! Bounded memory of an entry for the flows that it forwards.
//!
//! The memory only saves steps: a flow that is not in it is found by asking the endpoints in their order.

use crate::relay::packet::FlowAddresses;
use crate::relay::place::{EndpointKey, TriedList};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Flows in each of the two generations; 100 bytes each.
const GENERATION_MAX: usize = 50_000;

/// Endpoints that are asked for a flow at the same time; one for most flows.
pub type QueriedList = SmallVec<[EndpointKey; 2]>;

/// Endpoints that were too busy for a new flow, with the requests that they had.
pub type BusyList = SmallVec<[(EndpointKey, u32); 1]>;

/// What is believed of one flow.
#[derive(Clone, Debug, Default)]
pub struct FlowRecord {
    /// The endpoints that receive the packets of the flow: its holder, or several while it is searched for.
    pub queried: QueriedList,
    /// The endpoint whose answer made the search go on; a packet that it returns is sent on, since the others of its
    /// round return the same packet.
    pub last_in_round: Option<EndpointKey>,
    /// Endpoints that do not hold the flow.
    pub tried: TriedList,
    /// Endpoints that were too busy for the new flow, with their requests.
    pub busy: BusyList,
    /// Whether the new flow went to a busy endpoint because others were busy too.
    pub forced: bool,
    /// Whether only first packets of the flow have been seen.
    pub opening: bool,
    /// Since when every known endpoint has returned packets of the flow.
    pub unresolved_since: Option<Instant>,
    /// Whether the flow is known to have ended.
    pub ended: bool,
}

/// The records of the flows seen lately.
///
/// Two generations replace a clock for each flow: a record that was not used for a whole period is dropped.
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

    /// Starts a new generation when `idle` has passed since the last one or the young one is full.
    pub fn rotate(&mut self, idle: Duration, now: Instant) {
        if now < self.rotate_at && self.recent.len() < GENERATION_MAX {
            return;
        }
        self.old = std::mem::take(&mut self.recent);
        self.rotate_at = now + idle;
    }

    /// Returns the record of `flow`, which is made if there is none.
    pub fn record(&mut self, flow: FlowAddresses) -> &mut FlowRecord {
        let old = &mut self.old;
        self.recent
            .entry(flow)
            .or_insert_with(|| old.remove(&flow).unwrap_or_default())
    }
}
