//! Queue of the updates that are still to be gossiped.

use super::message::MemberUpdate;
use super::EndpointState;
use crate::ids::{EndpointId, EntryId, ZoneName};
use std::collections::{BTreeMap, HashMap};

/// What an update describes; a newer update replaces a waiting one with the same subject.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum UpdateSubject {
    Zone(ZoneName),
    Entry(EntryId),
    Endpoint(EndpointId),
    HeartbeatReport(EndpointId),
    HeartbeatQuery(EndpointId, EntryId),
}

impl UpdateSubject {
    fn of(update: &MemberUpdate) -> Self {
        match update {
            MemberUpdate::Entry { record, .. } => Self::Entry(record.id),
            MemberUpdate::Endpoint { record, .. } => Self::Endpoint(record.id),
            MemberUpdate::HeartbeatQuery { id, by, .. } => Self::HeartbeatQuery(*id, *by),
            MemberUpdate::HeartbeatReport { id, .. } => Self::HeartbeatReport(*id),
            MemberUpdate::Zone { zone, .. } => Self::Zone(zone.clone()),
        }
    }
}

/// Factor by which a drain is sent more often than another update.
///
/// Without it about 9 copies were sent to each of 30 entries, and at 50 % loss one entry in 500 got none.
const DRAIN_COPIES: u32 = 3;

/// Priority of an update; drains go first.
///
/// Message loss causes many queries and reports about suspected endpoints. A drain, which has to reach all entries
/// within 3 s, must not wait behind them. Drains are too few to delay other updates.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum UpdatePriority {
    Drain,
    Other,
}

impl UpdatePriority {
    fn of(update: &MemberUpdate) -> Self {
        match update {
            MemberUpdate::Endpoint { record, .. } if record.state == EndpointState::Draining => {
                Self::Drain
            }
            _ => Self::Other,
        }
    }
}

/// Position in the queue: priority, how often the update was sent, and a serial number that keeps FIFO order.
type QueuePosition = (UpdatePriority, u32, u64);

/// Returns each update a bounded number of times, the least sent first.
#[derive(Debug, Default)]
pub(super) struct SpreadQueue {
    updates: HashMap<UpdateSubject, (QueuePosition, MemberUpdate)>,
    /// Among updates sent equally often the one that waits longest comes first, so that no kind of update starves.
    order: BTreeMap<QueuePosition, UpdateSubject>,
    last_number: u64,
}

impl SpreadQueue {
    /// Adds an update in place of a waiting one with the same subject.
    pub(super) fn push(&mut self, update: MemberUpdate) {
        let subject = UpdateSubject::of(&update);
        let order = self.next_order(UpdatePriority::of(&update), 0);
        if let Some((old, _)) = self.updates.insert(subject.clone(), (order, update)) {
            self.order.remove(&old);
        }
        self.order.insert(order, subject);
    }

    fn next_order(&mut self, priority: UpdatePriority, sent: u32) -> QueuePosition {
        self.last_number += 1;
        (priority, sent, self.last_number)
    }

    /// Returns whether no update waits.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the next updates, of at most `budget` bytes.
    ///
    /// An update leaves the queue after it was returned `limit` times, a drain after [`DRAIN_COPIES`] times as many.
    pub(super) fn next_updates(&mut self, mut budget: usize, limit: u32) -> Vec<MemberUpdate> {
        let mut chosen = Vec::new();
        for (order, subject) in &self.order {
            let Some((_, update)) = self.updates.get(subject) else {
                continue;
            };
            let size = update.size_limit();
            if size > budget {
                break;
            }
            budget -= size;
            chosen.push((*order, subject.clone(), update.clone()));
        }
        let mut updates = Vec::with_capacity(chosen.len());
        for (order, subject, update) in chosen {
            updates.push(update);
            self.order.remove(&order);
            let sent = order.1 + 1;
            let limit = match order.0 {
                UpdatePriority::Drain => limit * DRAIN_COPIES,
                UpdatePriority::Other => limit,
            };
            if sent >= limit {
                self.updates.remove(&subject);
                continue;
            }
            let order = self.next_order(order.0, sent);
            if let Some(waiting) = self.updates.get_mut(&subject) {
                waiting.0 = order;
            }
            self.order.insert(order, subject);
        }
        updates
    }
}
