//! Replication of the catalogue: decides which one is in force and from which peer a newer one is fetched.
//!
//! Every membership message carries the sender's revision, and a node that has an older one fetches the changes. A
//! revision that is older, equal or invalid is ignored and the last good one stays in force. See docs/design.md,
//! decisions 7 and 8.

use crate::catalogue::{CatalogueSnapshot, ServiceEntry};
use crate::ids::{DigestValue, EntryId, RevisionNumber, ServiceName};
use crate::member::message::CatalogueStamp;
use rand::rngs::SmallRng;
use rand::Rng;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Validates a snapshot before it comes into force; the error is the reason for its rejection.
pub type ValidateFn = fn(&CatalogueSnapshot) -> Result<(), String>;

/// Earlier revisions for which a peer can get only the changed services instead of the whole catalogue.
const HISTORY_MAX: usize = 64;

/// Most peers that are kept as sources of a newer revision.
const SOURCES_MAX: usize = 4;

/// Mean time to wait after the first failed fetch; it doubles with each further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Longest mean time to wait after a failed fetch, so that several attempts fit into the 5 s for a change.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// Time after which a fetch without a result counts as failed.
pub const FETCH_LIMIT: Duration = Duration::from_secs(3);

/// Time after which a second fetch is started beside a late one; a lost TCP segment delays an answer by several
/// hundred milliseconds.
const HEDGE_TIME: Duration = Duration::from_millis(700);

/// The answer to a fetch: the changes from one revision to a later one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogueChange {
    /// Revision to which the changes apply; 0 if they are the whole catalogue.
    pub base: RevisionNumber,
    /// Revision after the changes.
    pub revision: RevisionNumber,
    /// Digest of the whole catalogue after the changes.
    pub digest: DigestValue,
    /// Changed services; `None` for a service that was removed.
    pub services: BTreeMap<ServiceName, Option<ServiceEntry>>,
}

/// Result of the attempt to bring a snapshot into force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdoptOutcome {
    /// The snapshot is now in force.
    InForce,
    /// The snapshot's revision is not higher than the one in force.
    Stale,
    /// The snapshot failed validation, for this reason.
    Invalid(String),
    /// The fetched change leads to another digest than the peer stated, is based on another revision than the one in
    /// force, or never arrived.
    Mismatch,
}

/// What the caller has to do for the controller, which does no I/O itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CatalogueAction {
    /// Fetch the changes after a revision from a peer and hand the result to
    /// [`CatalogueController::finish_fetch`] before the deadline.
    Fetch {
        /// Entry from which to fetch.
        peer: EntryId,
        /// Revision after which changes are requested; 0 requests the whole catalogue.
        from: RevisionNumber,
        /// When the caller has to give up the fetch.
        deadline: Instant,
    },
}

/// Counts snapshots and fetches by their result.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CatalogueCounters {
    /// Snapshots that came into force.
    pub applied: u64,
    /// Snapshots whose revision was not higher than the one in force.
    pub stale: u64,
    /// Snapshots that failed validation.
    pub invalid: u64,
    /// Fetches that failed, timed out or brought a change that does not apply.
    pub failed_fetches: u64,
    /// Messages from peers with the revision in force but another digest.
    pub conflicts: u64,
}

/// Owns the catalogue in force and the fetch of a newer one.
#[derive(Debug)]
pub struct CatalogueController {
    validate: ValidateFn,
    /// The only service that this node needs: the agent's own; none on an entry, which needs all.
    scope: Option<ServiceName>,
    /// The last good catalogue, which stays in force whatever arrives after it ("fail stale" in
    /// PAPER-fail-stale-0540.md). docs/measurements.md compares this with the other ways.
    snapshot: Arc<CatalogueSnapshot>,
    stamp: CatalogueStamp,
    history: VecDeque<(RevisionNumber, BTreeSet<ServiceName>)>,
    sources: SmallVec<[(EntryId, CatalogueStamp); SOURCES_MAX]>,
    rejected: Option<CatalogueStamp>,
    /// The stamp that is being fetched and when the fetch counts as failed.
    fetching: Option<(CatalogueStamp, Instant)>,
    /// When a second fetch is started; none after that.
    hedge_at: Option<Instant>,
    /// Open fetches that can complete `fetching`.
    open_fetches: u32,
    /// Open fetches that were given up; only a newer revision from them is used.
    abandoned_fetches: u32,
    fetch_whole: bool,
    failures: u32,
    next_fetch: Instant,
    counters: CatalogueCounters,
}

impl CatalogueController {
    /// Makes a controller without a catalogue; `scope` is the agent's service, or `None` on an entry.
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
            open_fetches: 0,
            abandoned_fetches: 0,
            fetch_whole: false,
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

    /// Returns the counters since the controller was made.
    pub fn counters(&self) -> CatalogueCounters {
        self.counters
    }

    /// Brings a whole snapshot into force, as a reader of the store passes it; fetches use
    /// [`CatalogueController::finish_fetch`].
    pub fn adopt(&mut self, snapshot: CatalogueSnapshot) -> AdoptOutcome {
        if snapshot.revision <= self.stamp.revision {
            self.counters.stale += 1;
            return AdoptOutcome::Stale;
        }
        let digest = snapshot.digest();
        self.apply(snapshot, digest)
    }

    /// Adds a peer as a source if its catalogue is newer, and counts a conflict if it differs under the same revision.
    pub fn add_source(&mut self, peer: EntryId, stamp: CatalogueStamp) {
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

    /// Returns the fetch that is due, if any; a second one starts beside the first only while that one is late.
    pub fn tick(&mut self, now: Instant, rng: &mut SmallRng) -> Option<CatalogueAction> {
        if self.fetching.is_some_and(|(_, deadline)| deadline <= now) {
            self.fail_fetch(now, rng);
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
        self.open_fetches += 1;
        let from = match self.fetch_whole {
            true => 0,
            false => self.stamp.revision,
        };
        Some(CatalogueAction::Fetch {
            peer,
            from,
            deadline,
        })
    }

    /// Applies the result of a fetch; `None` if it failed.
    pub fn finish_fetch(
        &mut self,
        change: Option<CatalogueChange>,
        now: Instant,
        rng: &mut SmallRng,
    ) -> AdoptOutcome {
        let newer = |change: &CatalogueChange| change.revision > self.stamp.revision;
        if self.abandoned_fetches > 0 && !change.as_ref().is_some_and(newer) {
            self.abandoned_fetches -= 1;
            return AdoptOutcome::Stale;
        }
        self.open_fetches = self.open_fetches.saturating_sub(1);
        let Some(change) = change else {
            if self.open_fetches == 0 {
                self.fail_fetch(now, rng);
            }
            return AdoptOutcome::Mismatch;
        };
        let outcome = self.apply_change(change);
        match outcome {
            AdoptOutcome::InForce => {
                self.close_fetch();
                self.failures = 0;
                self.fetch_whole = false;
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
                self.fetch_whole = true;
                self.fail_fetch(now, rng);
            }
        }
        self.prune_sources();
        outcome
    }

    /// Returns the changes that a peer with revision `from` needs, only those of the service `scope` if it is given.
    pub fn change_since(&self, from: RevisionNumber, scope: Option<&str>) -> CatalogueChange {
        let mut names = BTreeSet::new();
        // The history has no revision that this node skipped; a peer at such a revision gets the whole catalogue.
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
        // Revision 0 means no catalogue, so it is not a base for changes.
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

    /// Ends the fetch and counts the fetches that are still open as abandoned.
    fn close_fetch(&mut self) -> Option<CatalogueStamp> {
        self.abandoned_fetches += self.open_fetches;
        self.open_fetches = 0;
        self.hedge_at = None;
        self.fetching.take().map(|(stamp, _)| stamp)
    }

    fn fail_fetch(&mut self, now: Instant, rng: &mut SmallRng) {
        self.counters.failed_fetches += 1;
        self.close_fetch();
        let backoff = BACKOFF_MIN * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        // The jitter keeps nodes whose fetches failed together from retrying together.
        self.next_fetch = now + backoff.min(BACKOFF_MAX).mul_f64(rng.random_range(0.5..1.5));
    }
}

/// Returns the names of the services that differ between two snapshots.
fn changed_names(old: &CatalogueSnapshot, new: &CatalogueSnapshot) -> BTreeSet<ServiceName> {
    let names = old.services.keys().chain(new.services.keys());
    names
        .filter(|name| old.services.get(*name) != new.services.get(*name))
        .cloned()
        .collect()
}
