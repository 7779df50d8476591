//! Updates that wait to be sent to other entries.

use super::message::MemberUpdate;
use super::EndpointState;
use crate::ids::{EndpointId, EntryId, ZoneName};
use std::collections::{BTreeMap, HashMap};

/// What an update describes; a newer update replaces a waiting one with the same subject.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum SpreadSubject {
    Zone(ZoneName),
    Entry(EntryId),
    Endpoint(EndpointId),
    Heard(EndpointId),
    Silent(EndpointId, EntryId),
}

impl SpreadSubject {
    fn of(update: &MemberUpdate) -> Self {
        match update {
            MemberUpdate::Entry { record, .. } => Self::Entry(record.id),
            MemberUpdate::Endpoint { record, .. } => Self::Endpoint(record.id),
            MemberUpdate::Silent { id, by, .. } => Self::Silent(*id, *by),
            MemberUpdate::Heard { id, .. } => Self::Heard(*id),
            MemberUpdate::Zone { zone, .. } => Self::Zone(zone.clone()),
        }
    }
}

/// How many times as often a drain is sent as another update.
///
/// With the usual number, about 9 copies reach each of 30 entries; at 50 % loss one entry in 500 got none.
const DRAIN_COPIES: u32 = 3;

/// Which updates go first.
///
/// Questions and answers about silent endpoints are many when messages are lost; a drain, which has to be known
/// everywhere within 3 s, does not wait behind them. Drains are too few to hold anything else back.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SpreadRank {
    Drain,
    Other,
}

impl SpreadRank {
    fn of(update: &MemberUpdate) -> Self {
        match update {
            MemberUpdate::Endpoint { record, .. } if record.state == EndpointState::Draining => {
                Self::Drain
            }
            _ => Self::Other,
        }
    }
}

/// Rank, how often an update was sent, and a number that rises with each place in the queue.
type SpreadOrder = (SpreadRank, u32, u64);

/// Sends each update a bounded number of times, the least sent first.
#[derive(Debug, Default)]
pub(super) struct SpreadQueue {
    updates: HashMap<SpreadSubject, (SpreadOrder, MemberUpdate)>,
    /// Within one count the update that waits longest comes first, so that none is held back by its kind.
    order: BTreeMap<SpreadOrder, SpreadSubject>,
    last_number: u64,
}

impl SpreadQueue {
    /// Adds an update and drops a waiting one with the same subject.
    pub(super) fn push(&mut self, update: MemberUpdate) {
        let subject = SpreadSubject::of(&update);
        let order = self.next_order(SpreadRank::of(&update), 0);
        if let Some((old, _)) = self.updates.insert(subject.clone(), (order, update)) {
            self.order.remove(&old);
        }
        self.order.insert(order, subject);
    }

    fn next_order(&mut self, rank: SpreadRank, sent: u32) -> SpreadOrder {
        self.last_number += 1;
        (rank, sent, self.last_number)
    }

    /// Returns whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns updates of at most `budget` bytes; each is dropped after `limit` calls that returned it, a drain
    /// after [`DRAIN_COPIES`] times as many.
    pub(super) fn take(&mut self, mut budget: usize, limit: u32) -> Vec<MemberUpdate> {
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
                SpreadRank::Drain => limit * DRAIN_COPIES,
                SpreadRank::Other => limit,
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
