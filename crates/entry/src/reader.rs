//! The catalogue reader: a task on the control thread that reads the catalogue from the store.
//!
//! [`ReaderController`] decides what to do, and this module makes the calls to the store. While the store is
//! unavailable the catalogue in force stays, and the reader only retries.

use ntex::time::{sleep, Millis};
use quetzalhill_core::catalogue::reader::{
    ReaderAction, ReaderController, ReaderEvent, ReaderSettings, SlotNumber,
};
use quetzalhill_core::catalogue::validate::validate;
use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_core::ids::{EntryId, RevisionNumber, ZoneName};
use quetzalhill_node::event::{emit, EventCode};
use quetzalhill_store::api::{
    CatalogueStore, CatalogueWatch, Compare, KeyRange, LeaseId, PutOp, StoreError, Transaction,
    TransactionOutcome, WatchBatch, WatchEvent,
};
use quetzalhill_store::catalogue::load::{decode, load_head, load_incremental, LoadError};
use quetzalhill_store::catalogue::{reader_key, CatalogueHead, HEAD_KEY};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::pending;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch::Receiver;

/// Longest sleep before the controller is polled again, also if it has no deadline.
const SLEEP_MAX: Duration = Duration::from_secs(60);

/// Input of the reader, which the control thread updates.
#[derive(Clone, Debug, Default)]
pub struct ReaderInput {
    /// Live entries of the zone, including this one, in any order.
    pub live_entries: Vec<EntryId>,
    /// Catalogue in force, from the store or from a peer.
    pub in_force: Arc<CatalogueSnapshot>,
}

/// Configuration of a reader.
#[derive(Clone, Debug)]
pub struct ReaderSetup {
    /// Availability zone whose reader slots the entry competes for.
    pub zone: ZoneName,
    /// Id of the entry, which it writes into the slot that it holds.
    pub own_id: EntryId,
    /// Intervals, lease duration and backoff.
    pub settings: ReaderSettings,
    /// Seed of the random jitter of retries.
    pub seed: u64,
    /// Whether the entry holds a reader slot; written by the reader and read by the status page and the metrics.
    pub holds_slot: Rc<Cell<bool>>,
}

/// Reads the catalogue until `stop` becomes true or the sender of `input` is gone. Calls `deliver` with each valid
/// snapshot whose revision is higher than the one in force.
pub async fn run<S: CatalogueStore>(
    store: S,
    setup: ReaderSetup,
    input: Receiver<ReaderInput>,
    stop: Receiver<bool>,
    deliver: impl FnMut(CatalogueSnapshot),
) {
    let now = Instant::now();
    let zone = setup.zone.clone();
    let task = ReaderTask {
        controller: ReaderController::new(setup.settings, zone, setup.own_id, now),
        setup,
        store,
        lease: None,
        watch: None,
        in_force: Arc::default(),
        unavailable: false,
        rng: SmallRng::seed_from_u64(0),
        deliver,
    };
    task.run(input, stop).await;
}

struct ReaderTask<S: CatalogueStore, F> {
    controller: ReaderController,
    setup: ReaderSetup,
    store: S,
    lease: Option<LeaseId>,
    watch: Option<S::Watch>,
    in_force: Arc<CatalogueSnapshot>,
    /// Whether the last call failed, so that an outage is logged once and not for each failed call.
    unavailable: bool,
    rng: SmallRng,
    deliver: F,
}

enum WakeReason {
    DeadlineReached,
    Input,
    Stop,
    Watch(Result<WatchBatch, StoreError>),
}

impl<S: CatalogueStore, F: FnMut(CatalogueSnapshot)> ReaderTask<S, F> {
    async fn run(mut self, mut input: Receiver<ReaderInput>, mut stop: Receiver<bool>) {
        self.rng = SmallRng::seed_from_u64(self.setup.seed);
        self.apply_input(&mut input).await;
        loop {
            let actions = self.controller.on_time(Instant::now());
            self.perform(actions).await;
            match self.wait(&mut input, &mut stop).await {
                WakeReason::DeadlineReached => {}
                WakeReason::Input => self.apply_input(&mut input).await,
                WakeReason::Watch(batch) => self.handle_batch(batch).await,
                WakeReason::Stop => break,
            }
        }
        let actions = self.controller.on_stop(Instant::now());
        self.perform(actions).await;
    }

    async fn wait(
        &mut self,
        input: &mut Receiver<ReaderInput>,
        stop: &mut Receiver<bool>,
    ) -> WakeReason {
        let now = Instant::now();
        let until = self.controller.wake_at().unwrap_or(now + SLEEP_MAX);
        let pause = until.saturating_duration_since(now).min(SLEEP_MAX);
        // Rounded up to whole milliseconds: waking before the deadline would find nothing due.
        let pause = Millis(u32::try_from(pause.as_millis()).unwrap_or(0) + 1);
        tokio::select! {
            _ = stop.wait_for(|&stop| stop) => WakeReason::Stop,
            changed = input.changed() => match changed {
                Ok(()) => WakeReason::Input,
                Err(_) => WakeReason::Stop,
            },
            batch = next_batch(&mut self.watch) => WakeReason::Watch(batch),
            () = sleep(pause) => WakeReason::DeadlineReached,
        }
    }

    async fn apply_input(&mut self, input: &mut Receiver<ReaderInput>) {
        let latest = input.borrow_and_update().clone();
        if latest.in_force.revision > self.in_force.revision {
            self.in_force = latest.in_force;
        }
        self.handle_event(ReaderEvent::LiveEntries(latest.live_entries))
            .await;
        let revision = self.in_force.revision;
        self.handle_event(ReaderEvent::InForce(revision)).await;
    }

    async fn handle_batch(&mut self, batch: Result<WatchBatch, StoreError>) {
        let events = match batch {
            Ok(WatchBatch::Events { events, .. }) => events,
            Ok(WatchBatch::Compacted { .. }) => {
                self.watch = None;
                return self.handle_event(ReaderEvent::WatchEnded).await;
            }
            Err(error) => {
                self.watch = None;
                self.record_failure(&error);
                return self.handle_event(ReaderEvent::WatchEnded).await;
            }
        };
        for event in events {
            let WatchEvent::Put(pair) = event else {
                continue;
            };
            match decode::<CatalogueHead>(&pair) {
                Ok(head) => {
                    self.handle_event(ReaderEvent::HeadRevision(head.revision))
                        .await
                }
                Err(error) => self.report_invalid(0, &error.to_string()),
            }
        }
    }

    async fn handle_event(&mut self, event: ReaderEvent) {
        let now = Instant::now();
        let actions = self.controller.on_event(event, now, &mut self.rng);
        self.perform(actions).await;
    }

    /// Performs actions, including those with which the controller reacts to their outcomes.
    async fn perform(&mut self, actions: impl IntoIterator<Item = ReaderAction>) {
        let mut queue: VecDeque<ReaderAction> = actions.into_iter().collect();
        while let Some(action) = queue.pop_front() {
            let Some(event) = self.perform_one(action).await else {
                continue;
            };
            let now = Instant::now();
            queue.extend(self.controller.on_event(event, now, &mut self.rng));
        }
    }

    async fn perform_one(&mut self, action: ReaderAction) -> Option<ReaderEvent> {
        match action {
            ReaderAction::AcquireSlot(slot) => Some(self.acquire_slot(slot).await),
            ReaderAction::Renew => Some(self.renew().await),
            ReaderAction::Release => self.release().await,
            ReaderAction::OpenWatch => Some(self.open_watch().await),
            ReaderAction::CloseWatch => self.close_watch(),
            ReaderAction::ReadHead => Some(self.read_head().await),
            ReaderAction::Load => self.load().await,
            ReaderAction::ReportOlder(revision) => self.report_older(revision),
        }
    }

    async fn acquire_slot(&mut self, slot: SlotNumber) -> ReaderEvent {
        let since = Instant::now();
        match self.try_acquire_slot(slot).await {
            Ok(Some(lease)) => {
                self.record_success();
                self.lease = Some(lease);
                self.setup.holds_slot.set(true);
                emit(
                    EventCode::ReaderStarted,
                    &[("zone", &self.setup.zone), ("slot", &slot)],
                );
                ReaderEvent::SlotAcquired { since }
            }
            Ok(None) => {
                self.record_success();
                ReaderEvent::SlotHeld
            }
            Err(error) => {
                self.record_failure(&error);
                ReaderEvent::CallFailed
            }
        }
    }

    /// Acquires the slot and returns its lease, or returns `None` if another entry holds the slot. Reads the slot
    /// first, because a read costs the store less than granting a lease.
    async fn try_acquire_slot(&mut self, slot: SlotNumber) -> Result<Option<LeaseId>, StoreError> {
        let key = reader_key(&self.setup.zone, slot);
        let found = self.store.range(&KeyRange::Key(key.clone())).await?;
        if !found.entries.is_empty() {
            return Ok(None);
        }
        let ttl = self.setup.settings.lease_ttl;
        let lease = self.store.grant(ttl).await?.id;
        let transaction = Transaction {
            compares: vec![Compare::CreateRevision {
                key: key.clone(),
                revision: 0,
            }],
            puts: vec![PutOp {
                key,
                value: self.setup.own_id.to_string().into_bytes(),
                lease: Some(lease),
            }],
            deletes: Vec::new(),
        };
        match self.store.commit(&transaction).await {
            Ok(TransactionOutcome::Committed { .. }) => Ok(Some(lease)),
            Ok(TransactionOutcome::Conflict(_)) => {
                // If this call fails, the unused lease expires.
                let _ = self.store.revoke(lease).await;
                Ok(None)
            }
            Err(error) => {
                // The write may have been applied. Revoking the lease deletes it, so that it does not block the
                // slot.
                let _ = self.store.revoke(lease).await;
                Err(error)
            }
        }
    }

    async fn renew(&mut self) -> ReaderEvent {
        let since = Instant::now();
        let Some(lease) = self.lease else {
            return ReaderEvent::LeaseLost;
        };
        match self.store.keep_alive(lease).await {
            Ok(_) => {
                self.record_success();
                ReaderEvent::Renewed { since }
            }
            Err(StoreError::LeaseNotFound { .. }) => ReaderEvent::LeaseLost,
            Err(error) => {
                self.record_failure(&error);
                ReaderEvent::CallFailed
            }
        }
    }

    async fn release(&mut self) -> Option<ReaderEvent> {
        let lease = self.lease.take()?;
        // If this call fails, the lease expires.
        let _ = self.store.revoke(lease).await;
        None
    }

    fn close_watch(&mut self) -> Option<ReaderEvent> {
        self.watch = None;
        self.setup.holds_slot.set(false);
        emit(EventCode::ReaderStopped, &[("zone", &self.setup.zone)]);
        None
    }

    async fn open_watch(&mut self) -> ReaderEvent {
        let loaded = match load_head(&self.store).await {
            Ok(loaded) => loaded,
            Err(error) => {
                self.record_load_failure(&error);
                return ReaderEvent::WatchEnded;
            }
        };
        let range = KeyRange::Key(HEAD_KEY.into());
        match self.store.watch(&range, loaded.store_revision + 1).await {
            Ok(watch) => {
                self.record_success();
                self.watch = Some(watch);
                ReaderEvent::HeadRevision(loaded.revision())
            }
            Err(error) => {
                self.record_failure(&error);
                ReaderEvent::WatchEnded
            }
        }
    }

    async fn read_head(&mut self) -> ReaderEvent {
        match load_head(&self.store).await {
            Ok(loaded) => {
                self.record_success();
                ReaderEvent::HeadRevision(loaded.revision())
            }
            Err(error) => {
                self.record_load_failure(&error);
                ReaderEvent::CallFailed
            }
        }
    }

    async fn load(&mut self) -> Option<ReaderEvent> {
        let snapshot = match load_incremental(&self.store, &self.in_force).await {
            Ok(loaded) => loaded.snapshot,
            Err(error) => {
                self.record_load_failure(&error);
                return Some(ReaderEvent::CallFailed);
            }
        };
        let revision = snapshot.revision;
        if revision <= self.in_force.revision {
            return Some(ReaderEvent::HeadRevision(revision));
        }
        if let Err(errors) = validate(&snapshot) {
            let first = errors.first().map(ToString::to_string);
            self.report_invalid(revision, &first.unwrap_or_default());
            return Some(ReaderEvent::Rejected(revision));
        }
        self.in_force = Arc::new(snapshot.clone());
        (self.deliver)(snapshot);
        Some(ReaderEvent::InForce(revision))
    }

    fn report_invalid(&self, revision: RevisionNumber, error: &str) {
        emit(
            EventCode::CatalogueInvalid,
            &[("revision", &revision), ("error", &error)],
        );
    }

    fn report_older(&self, revision: RevisionNumber) -> Option<ReaderEvent> {
        emit(
            EventCode::CatalogueOlder,
            &[
                ("revision", &revision),
                ("in_force", &self.in_force.revision),
            ],
        );
        None
    }

    fn record_load_failure(&mut self, error: &LoadError) {
        match error {
            LoadError::Store(error) => self.record_failure(error),
            other => self.report_invalid(0, &other.to_string()),
        }
    }

    fn record_failure(&mut self, error: &StoreError) {
        if self.unavailable {
            return;
        }
        self.unavailable = true;
        emit(EventCode::StoreUnavailable, &[("error", error)]);
    }

    fn record_success(&mut self) {
        if !self.unavailable {
            return;
        }
        self.unavailable = false;
        emit(EventCode::StoreAvailable, &[("zone", &self.setup.zone)]);
    }
}

/// Waits for the next message of the watch. Never returns if there is no watch.
async fn next_batch<W: CatalogueWatch>(watch: &mut Option<W>) -> Result<WatchBatch, StoreError> {
    match watch {
        Some(watch) => watch.next().await,
        None => pending().await,
    }
}
