//! Anti-entropy: two entries compare digests of all records and exchange the records that differ.

use super::controller::{send, ActionList, MemberController};
use super::index::{RecordKey, BUCKET_BITS, PAGE_BITS};
use super::merge::seconds_until;
use super::message::{DigestPage, MemberMessage, MemberUpdate, UPDATE_BUDGET};
use crate::ids::EntryId;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::time::Instant;

/// Most messages that one comparison sends; parts beyond it are found again in the next comparison.
const ANSWERS_MAX: usize = 16;

/// A prefix of the bucket number and its length in bits.
type BucketPrefix = (u16, u8);

impl MemberController {
    /// Sends the topmost page of digests to one entry of the own zone and, from a bridge, to one of another zone.
    pub(super) fn start_sync(&mut self, rng: &mut SmallRng, actions: &mut ActionList) {
        let zone = self.own_record.zone.clone();
        let mut targets = self.entries.choose(&zone, self.own_record.id, 1, rng);
        let contacts = self.zone_contacts(rng);
        targets.extend(contacts.into_iter().next());
        let Some(page) = self.index.page(0, 0) else {
            return;
        };
        for target in targets {
            let message = MemberMessage::Digest(self.bare_head(), page.clone());
            actions.push(send(target, message));
        }
    }

    /// Compares a page of digests with the own one and answers for the parts that differ.
    pub(super) fn compare_digests(
        &mut self,
        peer: EntryId,
        theirs: &DigestPage,
        now: Instant,
        actions: &mut ActionList,
    ) {
        let Some(ours) = self.index.page(theirs.prefix, theirs.depth) else {
            return;
        };
        if theirs.values.len() != ours.values.len() {
            return;
        }
        let mut answers = 0;
        let pairs = ours.values.iter().zip(&theirs.values);
        for (part, (ours, theirs_value)) in (0_u16..).zip(pairs) {
            if ours == theirs_value || answers == ANSWERS_MAX {
                continue;
            }
            answers += 1;
            let prefix = (theirs.prefix << PAGE_BITS) | part;
            let depth = theirs.depth + PAGE_BITS;
            actions.push(send(peer, self.answer_part((prefix, depth), now)));
        }
        if answers <= 1 && theirs.depth == 0 {
            self.synced = true;
        }
    }

    /// Returns all records of a part if they fit a datagram, and its digests otherwise.
    fn answer_part(&self, (prefix, depth): BucketPrefix, now: Instant) -> MemberMessage {
        let (updates, complete) = self.records((prefix, depth), now);
        let mut head = self.bare_head();
        if !complete && depth < BUCKET_BITS {
            if let Some(page) = self.index.page(prefix, depth) {
                return MemberMessage::Digest(head, page);
            }
        }
        head.updates = updates;
        MemberMessage::Delta {
            head,
            prefix,
            depth,
            answer: true,
        }
    }

    /// Answers with the records that are older in `theirs` or missing from it.
    pub(super) fn answer_delta(
        &mut self,
        peer: EntryId,
        theirs: &[MemberUpdate],
        part: BucketPrefix,
        now: Instant,
        actions: &mut ActionList,
    ) {
        let mut their_updates = BTreeMap::new();
        for update in theirs {
            if let Some(key) = key_of(update) {
                their_updates.insert(key, update);
            }
        }
        let (mut updates, _) = self.records(part, now);
        updates.retain(|update| {
            let theirs = key_of(update).and_then(|key| their_updates.get(&key));
            theirs.is_none_or(|theirs| is_newer(update, theirs))
        });
        if updates.is_empty() {
            return;
        }
        let mut head = self.bare_head();
        head.updates = updates;
        let (prefix, depth) = part;
        actions.push(send(
            peer,
            MemberMessage::Delta {
                head,
                prefix,
                depth,
                answer: false,
            },
        ));
    }

    /// Returns the records of a part, as many as fit a datagram, and whether that is all of them.
    fn records(&self, (prefix, depth): BucketPrefix, now: Instant) -> (Vec<MemberUpdate>, bool) {
        let mut budget = UPDATE_BUDGET;
        let mut updates = Vec::new();
        for key in self.index.keys(prefix, depth) {
            let Some(update) = self.update_of(key, now) else {
                continue;
            };
            let size = update.size_limit();
            if size > budget {
                return (updates, false);
            }
            budget -= size;
            updates.push(update);
        }
        (updates, true)
    }

    fn update_of(&self, key: RecordKey, now: Instant) -> Option<MemberUpdate> {
        match key {
            RecordKey::Entry(id) if id == self.own_record.id => Some(self.own_update()),
            RecordKey::Entry(id) => {
                let slot = self.entries.slots.get(&id)?;
                Some(MemberUpdate::Entry {
                    record: slot.record.clone(),
                    status: slot.status,
                    by: self.own_record.id,
                    remaining_s: seconds_until(slot.expires_at, now),
                })
            }
            RecordKey::Endpoint(id) => {
                let slot = self.endpoints.slots.get(&id)?;
                Some(MemberUpdate::Endpoint {
                    record: slot.record.clone(),
                    remaining_s: seconds_until(slot.expires_at, now),
                })
            }
        }
    }
}

fn key_of(update: &MemberUpdate) -> Option<RecordKey> {
    match update {
        MemberUpdate::Entry { record, .. } => Some(RecordKey::Entry(record.id)),
        MemberUpdate::Endpoint { record, .. } => Some(RecordKey::Endpoint(record.id)),
        MemberUpdate::HeartbeatQuery { .. }
        | MemberUpdate::HeartbeatReport { .. }
        | MemberUpdate::Zone { .. } => None,
    }
}

fn is_newer(ours: &MemberUpdate, theirs: &MemberUpdate) -> bool {
    match (ours, theirs) {
        (
            MemberUpdate::Endpoint { record: ours, .. },
            MemberUpdate::Endpoint { record: theirs, .. },
        ) => ours.supersedes(theirs),
        (
            MemberUpdate::Entry {
                record: ours,
                status,
                ..
            },
            MemberUpdate::Entry {
                record: theirs,
                status: their_status,
                ..
            },
        ) => (ours.incarnation, *status) > (theirs.incarnation, *their_status),
        _ => true,
    }
}
