//! Decides when an entry reads the catalogue from the store.
//!
//! Each availability zone has two reader slots in the store, each held under a lease. The live entries of the zone
//! are ranked by a hash, and only those with the lowest ranks try to acquire a slot, so that the number of store
//! calls does not grow with the fleet. A holder that was paused may read after its lease has expired; this is
//! harmless, because a snapshot takes effect only if its revision is higher than the one in force. See
//! docs/design.md, decision 7.

use crate::ids::{EntryId, RevisionNumber, ZoneName};
use rand::rngs::SmallRng;
use rand::Rng;
use smallvec::SmallVec;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of a reader slot in a zone, from 0 to [`READER_SLOTS`] - 1.
pub type SlotNumber = u8;

/// Reader slots of a zone; the second reader keeps the zone up to date until the lease of a failed first one expires.
pub const READER_SLOTS: SlotNumber = 2;

/// Entries that try to acquire a slot. With only one, a slot could stay free, because views of the membership differ
/// and the entry with the lowest rank may not see itself as such.
pub const SLOT_CANDIDATES: usize = 3;

/// Intervals and backoff bounds of a reader.
#[derive(Clone, Copy, Debug)]
pub struct ReaderSettings {
    /// Time to live of the lease on a slot.
    pub lease_ttl: Duration,
    /// Time between two attempts to acquire a slot that another entry holds.
    pub retry_interval: Duration,
    /// Additional delay per rank, so that candidates do not attempt to acquire a slot at the same time.
    pub rank_delay: Duration,
    /// Time between two reads of the head while a watch is open, in case the watch hangs.
    pub read_interval: Duration,
    /// Delay after the first failed call; doubles with each further failure.
    pub backoff_first: Duration,
    /// Longest delay after a failed call.
    pub backoff_max: Duration,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self {
            // A change has to be in force within 5 s, also in a zone that loses both readers at once: the leases
            // must expire and new readers start within that time.
            lease_ttl: Duration::from_secs(3),
            retry_interval: Duration::from_millis(1_500),
            rank_delay: Duration::from_millis(200),
            read_interval: Duration::from_secs(30),
            backoff_first: Duration::from_millis(250),
            backoff_max: Duration::from_secs(30),
        }
    }
}

/// Input of a [`ReaderController`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReaderEvent {
    /// The set of live entries of the zone, including this one.
    LiveEntries(Vec<EntryId>),
    /// A catalogue revision came into force, from the store or from a peer.
    InForce(RevisionNumber),
    /// The slot was acquired.
    SlotAcquired {
        /// Start of the call; the store cannot have started the lease earlier, so it lasts at least
        /// [`ReaderSettings::lease_ttl`] from then.
        since: Instant,
    },
    /// Another entry holds the slot.
    SlotHeld,
    /// The lease was renewed.
    Renewed {
        /// Start of the call, from which the lease lasts at least [`ReaderSettings::lease_ttl`].
        since: Instant,
    },
    /// The lease has expired or was revoked in the store.
    LeaseLost,
    /// The head in the store, as read or as received from the watch, has this revision; 0 if the store has no
    /// catalogue.
    HeadRevision(RevisionNumber),
    /// The catalogue of this revision failed validation.
    Rejected(RevisionNumber),
    /// A call to the store failed.
    CallFailed,
    /// The watch ended or failed.
    WatchEnded,
}

/// Action that the caller performs; its result, if any, is passed back as a [`ReaderEvent`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReaderAction {
    /// Acquire the slot unless another entry holds it.
    AcquireSlot(SlotNumber),
    /// Renew the lease.
    Renew,
    /// Revoke the lease, which frees the slot.
    Release,
    /// Read the head and watch it for later changes.
    OpenWatch,
    /// Close the watch.
    CloseWatch,
    /// Read the head.
    ReadHead,
    /// Load the catalogue, validate it and put it in force.
    Load,
    /// Log that the store has an older revision than the one in force.
    ReportOlder(RevisionNumber),
}

/// Actions to perform in order.
pub type ReaderActions = SmallVec<[ReaderAction; 2]>;

/// Whether the entry holds a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReaderState {
    Waiting,
    Holding(HeldSlot),
}

/// Deadlines of a held slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct HeldSlot {
    renew_at: Instant,
    expires_at: Instant,
    /// When the head is read next.
    read_at: Instant,
    watching: bool,
}

/// State machine that decides when an entry acquires a slot, renews its lease and reads the catalogue.
#[derive(Clone, Debug)]
pub struct ReaderController {
    settings: ReaderSettings,
    zone: ZoneName,
    entry: EntryId,
    state: ReaderState,
    /// Slot for which this entry has its lowest rank, and that rank; `None` if it is no candidate.
    candidate: Option<(SlotNumber, usize)>,
    acquire_at: Instant,
    /// Earliest time of the next call to the store (backoff after failures).
    not_before: Instant,
    failures: u32,
    in_force: RevisionNumber,
    /// Last older revision that was reported, so that each is logged only once.
    reported: Option<RevisionNumber>,
    /// Revision that failed validation, which is not loaded again.
    rejected: Option<RevisionNumber>,
}

impl ReaderController {
    /// Creates the controller of an entry. Until the first [`ReaderEvent::LiveEntries`] it assumes that no other
    /// entry is live in the zone.
    pub fn new(settings: ReaderSettings, zone: ZoneName, entry: EntryId, now: Instant) -> Self {
        let mut controller = Self {
            settings,
            zone,
            entry,
            state: ReaderState::Waiting,
            candidate: None,
            acquire_at: now,
            not_before: now,
            failures: 0,
            in_force: 0,
            reported: None,
            rejected: None,
        };
        controller.update_candidacy(&[entry], now);
        controller
    }

    /// Returns whether the entry holds a slot whose lease has not expired at `now`.
    pub fn holds_slot(&self, now: Instant) -> bool {
        matches!(&self.state, ReaderState::Holding(slot) if now < slot.expires_at)
    }

    /// Returns when [`ReaderController::on_time`] is due next; `None` while the entry is no candidate for a slot.
    pub fn wake_at(&self) -> Option<Instant> {
        let at = match &self.state {
            ReaderState::Waiting => {
                self.candidate?;
                self.acquire_at.max(self.not_before)
            }
            ReaderState::Holding(slot) => {
                let next_read = match slot.watching {
                    true => slot.read_at,
                    false => self.not_before,
                };
                let call = slot.renew_at.min(next_read).max(self.not_before);
                call.min(slot.expires_at)
            }
        };
        Some(at)
    }

    /// Returns the actions that are due at `now`.
    pub fn on_time(&mut self, now: Instant) -> ReaderActions {
        let mut actions = ReaderActions::new();
        match self.state {
            ReaderState::Waiting => self.acquire_due_slot(now, &mut actions),
            ReaderState::Holding(slot) => self.maintain_slot(slot, now, &mut actions),
        }
        actions
    }

    /// Processes an event and returns the actions that it triggers immediately.
    pub fn on_event(
        &mut self,
        event: ReaderEvent,
        now: Instant,
        rng: &mut SmallRng,
    ) -> ReaderActions {
        let mut actions = ReaderActions::new();
        match event {
            ReaderEvent::LiveEntries(live) => self.update_candidacy(&live, now),
            ReaderEvent::InForce(revision) => self.in_force = self.in_force.max(revision),
            ReaderEvent::SlotAcquired { since } => self.on_slot_acquired(since, now),
            ReaderEvent::SlotHeld => self.on_slot_held(now, rng),
            ReaderEvent::Renewed { since } => self.on_renewed(since),
            ReaderEvent::LeaseLost => self.on_lease_lost(now, &mut actions),
            ReaderEvent::HeadRevision(revision) => {
                self.on_head_revision(revision, now, &mut actions)
            }
            ReaderEvent::Rejected(revision) => self.rejected = Some(revision),
            ReaderEvent::CallFailed => self.on_call_failed(now, rng),
            ReaderEvent::WatchEnded => {
                if let ReaderState::Holding(slot) = &mut self.state {
                    slot.watching = false;
                }
                self.on_call_failed(now, rng);
            }
        }
        actions
    }

    /// Returns the actions of a graceful stop and withdraws the entry as a candidate for a slot.
    pub fn on_stop(&mut self, now: Instant) -> ReaderActions {
        let mut actions = ReaderActions::new();
        if matches!(self.state, ReaderState::Holding(_)) {
            actions.push(ReaderAction::CloseWatch);
            actions.push(ReaderAction::Release);
        }
        self.state = ReaderState::Waiting;
        self.candidate = None;
        self.acquire_at = now;
        actions
    }

    fn acquire_due_slot(&mut self, now: Instant, actions: &mut ReaderActions) {
        let Some((slot, _)) = self.candidate else {
            return;
        };
        if now < self.acquire_at || now < self.not_before {
            return;
        }
        self.acquire_at = now + self.settings.retry_interval;
        actions.push(ReaderAction::AcquireSlot(slot));
    }

    fn maintain_slot(&mut self, mut slot: HeldSlot, now: Instant, actions: &mut ReaderActions) {
        if now >= slot.expires_at {
            self.on_lease_lost(now, actions);
            return;
        }
        if now < self.not_before {
            return;
        }
        if now >= slot.renew_at {
            slot.renew_at = now + self.settings.lease_ttl / 3;
            actions.push(ReaderAction::Renew);
        }
        if !slot.watching {
            slot.watching = true;
            slot.read_at = now + self.settings.read_interval;
            actions.push(ReaderAction::OpenWatch);
        } else if now >= slot.read_at {
            slot.read_at = now + self.settings.read_interval;
            actions.push(ReaderAction::ReadHead);
        }
        self.state = ReaderState::Holding(slot);
    }

    fn on_slot_acquired(&mut self, since: Instant, now: Instant) {
        self.failures = 0;
        self.not_before = now;
        self.state = ReaderState::Holding(HeldSlot {
            renew_at: since + self.settings.lease_ttl / 3,
            expires_at: since + self.settings.lease_ttl,
            read_at: now,
            watching: false,
        });
    }

    fn on_slot_held(&mut self, now: Instant, rng: &mut SmallRng) {
        self.failures = 0;
        let rank = self.candidate.map_or(0, |(_, rank)| rank);
        let delay = self.settings.rank_delay * u32::try_from(rank).unwrap_or(0);
        let pause = self.settings.retry_interval + delay;
        self.acquire_at = now + pause.mul_f64(rng.random_range(0.8..1.2));
    }

    fn on_renewed(&mut self, since: Instant) {
        self.failures = 0;
        if let ReaderState::Holding(slot) = &mut self.state {
            slot.renew_at = since + self.settings.lease_ttl / 3;
            slot.expires_at = since + self.settings.lease_ttl;
        }
    }

    fn on_lease_lost(&mut self, now: Instant, actions: &mut ReaderActions) {
        if matches!(self.state, ReaderState::Holding(_)) {
            actions.push(ReaderAction::CloseWatch);
        }
        self.state = ReaderState::Waiting;
        self.acquire_at = now;
    }

    fn on_head_revision(
        &mut self,
        revision: RevisionNumber,
        now: Instant,
        actions: &mut ReaderActions,
    ) {
        self.failures = 0;
        self.not_before = now;
        if self.rejected == Some(revision) {
            return;
        }
        if revision > self.in_force {
            self.reported = None;
            actions.push(ReaderAction::Load);
            return;
        }
        if revision < self.in_force && self.reported != Some(revision) {
            self.reported = Some(revision);
            actions.push(ReaderAction::ReportOlder(revision));
        }
    }

    fn on_call_failed(&mut self, now: Instant, rng: &mut SmallRng) {
        let doubled = self.settings.backoff_first * 2_u32.pow(self.failures.min(16));
        let pause = doubled.min(self.settings.backoff_max);
        self.failures += 1;
        // Jitter from half to the whole delay spreads the retries of the fleet.
        self.not_before = now + pause.mul_f64(rng.random_range(0.5..1.0));
        if let ReaderState::Holding(slot) = &mut self.state {
            // The failed call may have been the load of a new revision, so the head is read again after the backoff.
            slot.read_at = slot.read_at.min(self.not_before);
        }
    }

    fn update_candidacy(&mut self, live: &[EntryId], now: Instant) {
        let before = self.candidate;
        self.candidate = None;
        for slot in 0..READER_SLOTS {
            let rank = slot_rank(&self.zone, slot, self.entry, live);
            let better = self.candidate.is_none_or(|(_, best)| rank < best);
            if rank < SLOT_CANDIDATES && better {
                self.candidate = Some((slot, rank));
            }
        }
        let Some((_, rank)) = self.candidate else {
            return;
        };
        if before != self.candidate {
            let delay = self.settings.rank_delay * u32::try_from(rank).unwrap_or(0);
            self.acquire_at = now + delay;
        }
    }
}

/// Returns the rank of `entry` among the live entries for a slot: the number of entries with a lower hash.
pub fn slot_rank(zone: &str, slot: SlotNumber, entry: EntryId, live: &[EntryId]) -> usize {
    let score = |id: EntryId| {
        (
            xxh3_64_with_seed(zone.as_bytes(), id ^ u64::from(slot) << 56),
            id,
        )
    };
    let own_score = score(entry);
    live.iter().filter(|&&id| score(id) < own_score).count()
}
