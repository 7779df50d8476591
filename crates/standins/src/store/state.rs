//! Keys, leases, history and watches of the store, independent of the API.

use quetzalhill_core::ids::StoreEra;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// How the store answers calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StandinMode {
    /// Calls are answered without delay.
    #[default]
    Normal,
    /// Calls are delayed by this time before they take effect and are answered.
    Slow(Duration),
    /// Connections are accepted, but calls have neither effect nor answer until the mode changes. Open watches end.
    Silent,
    /// Every call is answered with status 503. Open watches end.
    Unavailable,
}

/// Numbers of calls that the store has executed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StandinCounts {
    /// Range calls.
    pub reads: u64,
    /// Transactions, including those whose conditions failed.
    pub writes: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches that are open now.
    pub open_watches: usize,
}

/// A value with its revisions, version and lease (0 for none).
#[derive(Clone, Debug)]
pub(super) struct StoredValue {
    pub(super) value: Vec<u8>,
    pub(super) create_revision: i64,
    pub(super) mod_revision: i64,
    pub(super) version: i64,
    pub(super) lease: i64,
}

/// One change of a key; `stored` is `None` if the key was removed.
#[derive(Clone, Debug)]
pub(super) struct StoreEvent {
    pub(super) at: Instant,
    pub(super) revision: i64,
    pub(super) key: Vec<u8>,
    pub(super) stored: Option<StoredValue>,
}

/// Keys from `start` up to but not including `end`.
#[derive(Clone, Debug)]
pub(super) struct ByteRange {
    pub(super) start: Vec<u8>,
    /// Empty for only the key `start`; a single zero byte for no upper bound.
    pub(super) end: Vec<u8>,
}

impl ByteRange {
    pub(super) fn contains(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.start;
        }
        key >= self.start.as_slice() && (self.end == [0] || key < self.end.as_slice())
    }
}

#[derive(Debug)]
struct Watcher {
    id: u64,
    range: ByteRange,
    sender: UnboundedSender<Vec<StoreEvent>>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    granted: Instant,
    expires: Instant,
    /// When the lease expired or was revoked. It is kept, because a restore may bring it back.
    ended: Option<Instant>,
}

/// Whether polls that wait while the store is restored stay open; they then report changes of the restored store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RestorePolls {
    /// They stay open.
    Open,
    /// They end.
    Ended,
}

/// One write of a transaction; `lease` is 0 for none.
#[derive(Debug)]
pub(super) struct KeyWrite {
    pub(super) key: Vec<u8>,
    pub(super) value: Vec<u8>,
    pub(super) lease: i64,
}

/// Content and settings of the store.
#[derive(Debug, Default)]
pub(crate) struct StoreState {
    /// Number that rises with each restore; 0 for a store that tells no era.
    pub(super) era: StoreEra,
    pub(super) revision: i64,
    pub(super) compacted: i64,
    pub(super) lose_next: bool,
    pub(super) mode: StandinMode,
    values: BTreeMap<Vec<u8>, StoredValue>,
    history: Vec<StoreEvent>,
    leases: HashMap<i64, Lease>,
    next_lease: i64,
    watchers: Vec<Watcher>,
    next_watcher: u64,
    pub(super) calls: StandinCounts,
}

impl StoreState {
    pub(super) fn counts(&self) -> StandinCounts {
        StandinCounts {
            open_watches: self.watchers.len(),
            ..self.calls
        }
    }

    pub(super) fn set_mode(&mut self, mode: StandinMode) {
        self.mode = mode;
        if matches!(mode, StandinMode::Silent | StandinMode::Unavailable) {
            self.close_watches();
        }
    }

    pub(super) fn close_watches(&mut self) {
        self.watchers.clear();
    }

    pub(super) fn value(&self, key: &[u8]) -> Option<Vec<u8>> {
        self.values.get(key).map(|stored| stored.value.clone())
    }

    pub(super) fn stored(&self, key: &[u8]) -> Option<&StoredValue> {
        self.values.get(key)
    }

    pub(super) fn keys(&self, prefix: &[u8]) -> Vec<String> {
        self.values
            .keys()
            .filter(|key| key.starts_with(prefix))
            .map(|key| String::from_utf8_lossy(key).into_owned())
            .collect()
    }

    pub(super) fn range(&self, range: &ByteRange) -> Vec<(&Vec<u8>, &StoredValue)> {
        self.values
            .iter()
            .filter(|(key, _)| range.contains(key))
            .collect()
    }

    /// Applies writes and removals at one new revision and sends them to the watches.
    pub(super) fn apply(&mut self, writes: Vec<KeyWrite>, deletes: &[ByteRange]) {
        let removed: Vec<Vec<u8>> = self
            .values
            .keys()
            .filter(|key| deletes.iter().any(|range| range.contains(key)))
            .cloned()
            .collect();
        if writes.is_empty() && removed.is_empty() {
            return;
        }
        self.revision += 1;
        let at = Instant::now();
        let mut events = Vec::with_capacity(writes.len() + removed.len());
        for key in removed {
            self.values.remove(&key);
            events.push(StoreEvent {
                at,
                revision: self.revision,
                key,
                stored: None,
            });
        }
        for write in writes {
            let old = self.values.get(&write.key);
            let stored = StoredValue {
                create_revision: old.map_or(self.revision, |old| old.create_revision),
                version: old.map_or(1, |old| old.version + 1),
                mod_revision: self.revision,
                value: write.value,
                lease: write.lease,
            };
            self.values.insert(write.key.clone(), stored.clone());
            events.push(StoreEvent {
                at,
                revision: self.revision,
                key: write.key,
                stored: Some(stored),
            });
        }
        self.publish(events);
    }

    pub(super) fn put_now(&mut self, key: &[u8], value: &[u8]) {
        let write = KeyWrite {
            key: key.to_vec(),
            value: value.to_vec(),
            lease: 0,
        };
        self.apply(vec![write], &[]);
    }

    pub(super) fn remove_now(&mut self, key: &[u8]) {
        let range = ByteRange {
            start: key.to_vec(),
            end: Vec::new(),
        };
        self.apply(Vec::new(), &[range]);
    }

    fn publish(&mut self, events: Vec<StoreEvent>) {
        self.history.extend_from_slice(&events);
        for watcher in &self.watchers {
            let matching: Vec<StoreEvent> = events
                .iter()
                .filter(|event| watcher.range.contains(&event.key))
                .cloned()
                .collect();
            if !matching.is_empty() {
                // A closed receiver is removed when its stream is dropped.
                let _ = watcher.sender.send(matching);
            }
        }
    }

    /// Removes expired leases and their keys.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ended.is_none() && lease.expires <= now)
            .map(|(&id, _)| id)
            .collect();
        for id in expired {
            self.revoke(id);
        }
    }

    pub(super) fn grant(&mut self, ttl: Duration) -> i64 {
        self.next_lease += 1;
        let now = Instant::now();
        let lease = Lease {
            ttl,
            granted: now,
            expires: now + ttl,
            ended: None,
        };
        self.leases.insert(self.next_lease, lease);
        self.next_lease
    }

    /// Renews a lease and returns its time to live, or `None` if it does not exist.
    pub(super) fn keep_alive(&mut self, id: i64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id);
        let lease = lease.filter(|lease| lease.ended.is_none())?;
        lease.expires = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    pub(super) fn has_lease(&self, id: i64) -> bool {
        let lease = self.leases.get(&id);
        lease.is_some_and(|lease| lease.ended.is_none())
    }

    /// Removes a lease and its keys; returns whether it existed.
    pub(super) fn revoke(&mut self, id: i64) -> bool {
        let now = Instant::now();
        match self.leases.get_mut(&id) {
            Some(lease) if lease.ended.is_none() => lease.ended = Some(now),
            _ => return false,
        }
        let keys: Vec<Vec<u8>> = self
            .values
            .iter()
            .filter(|(_, stored)| stored.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return true;
        }
        self.revision += 1;
        let mut events = Vec::with_capacity(keys.len());
        for key in keys {
            self.values.remove(&key);
            events.push(StoreEvent {
                at: now,
                revision: self.revision,
                key,
                stored: None,
            });
        }
        self.publish(events);
        true
    }

    /// Revokes the leases of the keys for which `selected` returns true.
    pub(super) fn revoke_leases(&mut self, selected: impl Fn(&str) -> bool) {
        let mut ended = Vec::new();
        for (key, stored) in &self.values {
            if stored.lease != 0 && selected(&String::from_utf8_lossy(key)) {
                ended.push(stored.lease);
            }
        }
        for id in ended {
            self.revoke(id);
        }
    }

    /// Opens a watch and returns its id and the earlier changes from revision `from` on; there are none if `from` is 0.
    pub(super) fn open_watch(
        &mut self,
        range: ByteRange,
        from: i64,
        sender: UnboundedSender<Vec<StoreEvent>>,
    ) -> (u64, Vec<StoreEvent>) {
        let mut missed = Vec::new();
        for event in &self.history {
            if from > 0 && event.revision >= from && range.contains(&event.key) {
                missed.push(event.clone());
            }
        }
        self.next_watcher += 1;
        self.calls.watches += 1;
        self.watchers.push(Watcher {
            id: self.next_watcher,
            range,
            sender,
        });
        (self.next_watcher, missed)
    }

    pub(super) fn close_watch(&mut self, id: u64) {
        self.watchers.retain(|watcher| watcher.id != id);
    }

    pub(super) fn roll_back(&mut self, revision: i64) {
        self.close_watches();
        self.return_to(revision);
    }

    /// Returns to a copy that was made at `copied`, and raises the era. What was written since is gone, revisions and lease
    /// numbers are assigned again. Leases of the copy begin a whole lifetime.
    pub(super) fn restore(&mut self, copied: Instant, polls: RestorePolls) {
        self.expire();
        if polls == RestorePolls::Ended {
            self.close_watches();
        }
        let kept = self.history.iter().filter(|event| event.at <= copied);
        let revision = kept.map(|event| event.revision).max().unwrap_or(0);
        self.return_to(revision);
        self.compacted = self.compacted.min(revision);
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.granted <= copied);
        for lease in self.leases.values_mut() {
            lease.ended = lease.ended.filter(|ended| *ended <= copied);
            lease.expires = now + lease.ttl;
        }
        self.next_lease = self.leases.keys().copied().max().unwrap_or(0);
        self.era += 1;
    }

    fn return_to(&mut self, revision: i64) {
        self.history.retain(|event| event.revision <= revision);
        self.values.clear();
        for event in &self.history {
            match &event.stored {
                Some(stored) => self.values.insert(event.key.clone(), stored.clone()),
                None => self.values.remove(&event.key),
            };
        }
        self.revision = revision.min(self.revision);
    }
}
