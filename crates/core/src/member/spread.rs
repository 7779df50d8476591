//! Updates that wait to be sent to other entries.

use super::message::MemberUpdate;
use crate::ids::{EndpointId, EntryId, ZoneName};
use std::collections::{BTreeSet, HashMap};

/// What an update describes; a newer update replaces a waiting one with the same subject.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
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

/// Sends each update a bounded number of times, the least sent first.
#[derive(Debug, Default)]
pub(super) struct SpreadQueue {
    updates: HashMap<SpreadSubject, (u32, MemberUpdate)>,
    order: BTreeSet<(u32, SpreadSubject)>,
}

impl SpreadQueue {
    /// Adds an update and drops a waiting one with the same subject.
    pub(super) fn push(&mut self, update: MemberUpdate) {
        let subject = SpreadSubject::of(&update);
        if let Some((sent, _)) = self.updates.insert(subject.clone(), (0, update)) {
            self.order.remove(&(sent, subject.clone()));
        }
        self.order.insert((0, subject));
    }

    /// Returns whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns updates of at most `budget` bytes; each is dropped after `limit` calls that returned it.
    pub(super) fn take(&mut self, mut budget: usize, limit: u32) -> Vec<MemberUpdate> {
        let mut chosen = Vec::new();
        for (sent, subject) in &self.order {
            let Some((_, update)) = self.updates.get(subject) else {
                continue;
            };
            let size = update.size_limit();
            if size > budget {
                break;
            }
            budget -= size;
            chosen.push((*sent, subject.clone(), update.clone()));
        }
        let mut updates = Vec::with_capacity(chosen.len());
        for (sent, subject, update) in chosen {
            updates.push(update);
            self.order.remove(&(sent, subject.clone()));
            if sent + 1 >= limit {
                self.updates.remove(&subject);
                continue;
            }
            if let Some(waiting) = self.updates.get_mut(&subject) {
                waiting.0 = sent + 1;
            }
            self.order.insert((sent + 1, subject));
        }
        updates
    }
}
