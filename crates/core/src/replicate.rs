//! Decides which catalogue is in force and from which peer a newer one is fetched.
//!
//! Nodes learn of a newer revision from every message of membership and fetch what changed. A revision that is
//! older, equal or invalid is ignored and the last good one stays in force. See docs/design.md, decisions 7 and 8.

use crate::catalogue::{CatalogueSnapshot, ServiceEntry};
use crate::ids::{DigestValue, EntryId, RevisionNumber, ServiceName};
use crate::member::message::CatalogueStamp;
use rand::rngs::SmallRng;
use rand::Rng;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Checks a snapshot before it comes into force; an error says what is wrong.
pub type ValidateFn = fn(&CatalogueSnapshot) -> Result<(), String>;

/// Revisions for which a peer can be told the changed services alone.
const HISTORY_MAX: usize = 64;

/// Peers that are remembered as sources of a newer revision.
const SOURCES_MAX: usize = 4;

/// Time to wait after the first failed fetch; doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Longest time to wait after a failed fetch, so that several attempts fit the 5 s for a change.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Time after which a fetch without a result counts as failed.
pub const FETCH_LIMIT: Duration = Duration::from_secs(3);

/// Time after which a second peer is asked as well; a lost segment delays an answer by several hundred milliseconds.
const HEDGE_TIME: Duration = Duration::from_millis(700);

/// What a node answers to a fetch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogueChange {
    /// Revision to which the changes apply; 0 if they are the whole catalogue.
    pub base: RevisionNumber,
    /// Revision after the changes.
    pub revision: RevisionNumber,
    /// Digest of the whole catalogue after the changes.
    pub digest: DigestValue,
    /// Changed services; none for a service that was removed.
    pub services: BTreeMap<ServiceName, Option<ServiceEntry>>,
}

/// What became of a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdoptOutcome {
    /// It is in force.
    InForce,
    /// Its revision is not higher than the one in force.
    Stale,
    /// It failed validation, for this reason.
    Invalid(String),
    /// It does not have the digest that the peer stated, or changes another revision than the one in force.
    Mismatch,
}

/// What the runtime around the controller has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CatalogueAction {
    /// Fetch the changes after a revision from a peer and hand the result to
    /// [`CatalogueController::fetched`] before the deadline.
    Fetch {
        /// The peer.
        peer: EntryId,
        /// Revision in force; 0 asks for the whole catalogue.
        from: RevisionNumber,
        /// When the fetch has to be given up.
        deadline: Instant,
    },
}

/// Counts snapshots by what became of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CatalogueCounters {
    /// Came into force.
    pub applied: u64,
    /// Older than or equal to the one in force.
    pub stale: u64,
    /// Failed validation.
    pub invalid: u64,
    /// Failed to reach this node whole.
    pub failed_fetches: u64,
    /// Peers that had another catalogue under the revision in force.
    pub conflicts: u64,
}

/// Owns the catalogue in force.
#[derive(Debug)]
pub struct CatalogueController {
    validate: ValidateFn,
    /// The only service that this node holds; none on an entry.
    scope: Option<ServiceName>,
    snapshot: Arc<CatalogueSnapshot>,
    stamp: CatalogueStamp,
    history: VecDeque<(RevisionNumber, BTreeSet<ServiceName>)>,
    sources: SmallVec<[(EntryId, CatalogueStamp); SOURCES_MAX]>,
    rejected: Option<CatalogueStamp>,
    /// The stamp that is being fetched and when the fetch counts as failed.
    fetching: Option<(CatalogueStamp, Instant)>,
    /// When a second peer is asked; none after it was.
    hedge_at: Option<Instant>,
    /// Fetches whose result decides about `fetching`.
    open: u32,
    /// Fetches whose result no longer matters.
    abandoned: u32,
    whole: bool,
    failures: u32,
    next_fetch: Instant,
    counters: CatalogueCounters,
}

impl CatalogueController {
    /// Makes a controller without a catalogue; `scope` names the only service that an agent holds.
    pub fn new(validate: ValidateFn, scope: Option<ServiceName>, now: Instant) -> Self {
        Self {
            validate,
            scope,
            snapshot: Arc::default(),
            stamp: CatalogueStamp::default(),
            history: VecDeque::new(),
            sources: SmallVec::new(),
            rejected: None,
            fetching: None,
            hedge_at: None,
            open: 0,
            abandoned: 0,
            whole: false,
            failures: 0,
            next_fetch: now,
            counters: CatalogueCounters::default(),
        }
    }

    /// Returns the catalogue in force.
    pub fn snapshot(&self) -> &Arc<CatalogueSnapshot> {
        &self.snapshot
    }

    /// Returns revision and digest of the catalogue in force.
    pub fn stamp(&self) -> CatalogueStamp {
        self.stamp
    }

    /// Returns the counters.
    pub fn counters(&self) -> CatalogueCounters {
        self.counters
    }

    /// Takes a whole snapshot, as a reader of the store has it.
    pub fn adopt(&mut self, snapshot: CatalogueSnapshot) -> AdoptOutcome {
        if snapshot.revision <= self.stamp.revision {
            self.counters.stale += 1;
            return AdoptOutcome::Stale;
        }
        let digest = snapshot.digest();
        self.apply(snapshot, digest)
    }

    /// Notes that a peer has a catalogue.
    pub fn seen(&mut self, peer: EntryId, stamp: CatalogueStamp) {
        let scoped = self.scope.is_some();
        if stamp.revision == self.stamp.revision && stamp.digest != self.stamp.digest && !scoped {
            self.counters.conflicts += 1;
        }
        if stamp.revision <= self.stamp.revision || self.rejected == Some(stamp) {
            return;
        }
        self.sources.retain(|(known, _)| *known != peer);
        if self.sources.len() == SOURCES_MAX {
            self.sources.remove(0);
        }
        self.sources.push((peer, stamp));
    }

    /// Returns when [`CatalogueController::tick`] is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        match self.fetching {
            Some((_, deadline)) => Some(self.hedge_at.unwrap_or(deadline)),
            None if self.sources.is_empty() => None,
            None => Some(self.next_fetch),
        }
    }

    /// Does what is due; a second fetch is open beside the first only while that one is late.
    pub fn tick(&mut self, now: Instant, rng: &mut SmallRng) -> Option<CatalogueAction> {
        if self.fetching.is_some_and(|(_, deadline)| deadline <= now) {
            self.fail(now, rng);
        }
        if self.fetching.is_some() {
            if self.hedge_at.is_none_or(|deadline| deadline > now) {
                return None;
            }
        } else if self.next_fetch > now {
            return None;
        }
        let highest = self.sources.iter().map(|(_, stamp)| stamp.revision).max()?;
        let newest: SmallVec<[_; SOURCES_MAX]> = self
            .sources
            .iter()
            .filter(|(_, stamp)| stamp.revision == highest)
            .collect();
        let &(peer, stamp) = newest[rng.random_range(0..newest.len())];
        let deadline = now + FETCH_LIMIT;
        self.hedge_at = match self.fetching {
            Some(_) => None,
            None => Some(now + HEDGE_TIME),
        };
        self.fetching = Some((stamp, deadline));
        self.open += 1;
        let from = match self.whole {
            true => 0,
            false => self.stamp.revision,
        };
        Some(CatalogueAction::Fetch {
            peer,
            from,
            deadline,
        })
    }

    /// Takes the result of a fetch; `None` if it failed.
    pub fn fetched(
        &mut self,
        change: Option<CatalogueChange>,
        now: Instant,
        rng: &mut SmallRng,
    ) -> AdoptOutcome {
        let newer = |change: &CatalogueChange| change.revision > self.stamp.revision;
        if self.abandoned > 0 && !change.as_ref().is_some_and(newer) {
            self.abandoned -= 1;
            return AdoptOutcome::Stale;
        }
        self.open = self.open.saturating_sub(1);
        let Some(change) = change else {
            if self.open == 0 {
                self.fail(now, rng);
            }
            return AdoptOutcome::Mismatch;
        };
        let outcome = self.apply_change(change);
        match outcome {
            AdoptOutcome::InForce => {
                self.close_fetch();
                self.failures = 0;
                self.whole = false;
                self.next_fetch = now;
            }
            AdoptOutcome::Stale => {
                self.close_fetch();
            }
            AdoptOutcome::Invalid(_) => {
                self.rejected = self.close_fetch();
                self.failures = 0;
            }
            AdoptOutcome::Mismatch => {
                self.whole = true;
                self.fail(now, rng);
            }
        }
        self.prune_sources();
        outcome
    }

    /// Returns what a peer with revision `from` needs, limited to the service that an agent asks for.
    pub fn change_since(&self, from: RevisionNumber, scope: Option<&str>) -> CatalogueChange {
        let mut names = BTreeSet::new();
        // Revisions that this node skipped are no base of its changes.
        let whole = !self.history.iter().any(|(base, _)| *base == from);
        if whole {
            names.extend(self.snapshot.services.keys().cloned());
        } else {
            let later = self.history.iter().filter(|(base, _)| *base >= from);
            names.extend(later.flat_map(|(_, changed)| changed.iter().cloned()));
        }
        if let Some(scope) = scope {
            names.retain(|name| name == scope);
        }
        let entry = |name: ServiceName| {
            let entry = self.snapshot.services.get(&name).cloned();
            (name, entry)
        };
        CatalogueChange {
            base: match whole {
                true => 0,
                false => from,
            },
            revision: self.stamp.revision,
            digest: self.stamp.digest,
            services: names.into_iter().map(entry).collect(),
        }
    }

    fn apply_change(&mut self, change: CatalogueChange) -> AdoptOutcome {
        if change.revision <= self.stamp.revision {
            self.counters.stale += 1;
            return AdoptOutcome::Stale;
        }
        let mut snapshot = match change.base {
            0 => CatalogueSnapshot::default(),
            base if base == self.stamp.revision => CatalogueSnapshot::clone(&self.snapshot),
            _ => return AdoptOutcome::Mismatch,
        };
        snapshot.revision = change.revision;
        for (name, entry) in change.services {
            match entry {
                Some(entry) => snapshot.services.insert(name, entry),
                None => snapshot.services.remove(&name),
            };
        }
        if self.scope.is_none() && snapshot.digest() != change.digest {
            return AdoptOutcome::Mismatch;
        }
        self.apply(snapshot, change.digest)
    }

    fn apply(&mut self, snapshot: CatalogueSnapshot, digest: DigestValue) -> AdoptOutcome {
        if let Err(reason) = (self.validate)(&snapshot) {
            self.counters.invalid += 1;
            return AdoptOutcome::Invalid(reason);
        }
        let changed = changed_names(&self.snapshot, &snapshot);
        // A base of 0 would claim to know what changed since a node had nothing.
        if self.stamp.revision != 0 {
            self.history.push_back((self.stamp.revision, changed));
        }
        if self.history.len() > HISTORY_MAX {
            self.history.pop_front();
        }
        self.stamp = CatalogueStamp {
            revision: snapshot.revision,
            digest,
        };
        self.snapshot = Arc::new(snapshot);
        self.counters.applied += 1;
        self.prune_sources();
        AdoptOutcome::InForce
    }

    fn prune_sources(&mut self) {
        let (own, rejected) = (self.stamp.revision, self.rejected);
        self.sources
            .retain(|(_, stamp)| stamp.revision > own && rejected != Some(*stamp));
    }

    /// Ends the fetch; the results of those that are still open no longer matter.
    fn close_fetch(&mut self) -> Option<CatalogueStamp> {
        self.abandoned += self.open;
        self.open = 0;
        self.hedge_at = None;
        self.fetching.take().map(|(stamp, _)| stamp)
    }

    fn fail(&mut self, now: Instant, rng: &mut SmallRng) {
        self.counters.failed_fetches += 1;
        self.close_fetch();
        let backoff = BACKOFF_MIN * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        // The jitter keeps nodes that failed together from trying again together.
        self.next_fetch = now + backoff.min(BACKOFF_MAX).mul_f64(rng.random_range(0.5..1.5));
    }
}

/// Returns the names of the services that differ.
fn changed_names(old: &CatalogueSnapshot, new: &CatalogueSnapshot) -> BTreeSet<ServiceName> {
    let names = old.services.keys().chain(new.services.keys());
    names
        .filter(|name| old.services.get(*name) != new.services.get(*name))
        .cloned()
        .collect()
}
