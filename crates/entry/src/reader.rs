//! The reader of the catalogue on the control thread of an entry.
//!
//! It carries out what [`ReaderController`] decides. While the store is unavailable nothing changes but the time
//! of the next attempt: the catalogue in force stays.

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

/// Longest sleep between two looks at what is due.
const SLEEP_MAX: Duration = Duration::from_secs(60);

/// What the control thread tells the reader.
#[derive(Clone, Debug, Default)]
pub struct ReaderInput {
    /// Live entries of the zone, this one included.
    pub live_entries: Vec<EntryId>,
    /// Catalogue in force, from the store or from a peer.
    pub in_force: Arc<CatalogueSnapshot>,
}

/// Who reads and when.
#[derive(Clone, Debug)]
pub struct ReaderSetup {
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Identity of the entry.
    pub own_id: EntryId,
    /// Times and bounds.
    pub settings: ReaderSettings,
    /// Seed of the jitter.
    pub seed: u64,
    /// Set by the reader: whether it holds a reader slot.
    pub holds_slot: Rc<Cell<bool>>,
}

/// Reads the catalogue until `stop` becomes true, and hands each newer valid revision to `deliver`.
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

/// State of a running reader.
struct ReaderTask<S: CatalogueStore, F> {
    controller: ReaderController,
    setup: ReaderSetup,
    store: S,
    lease: Option<LeaseId>,
    watch: Option<S::Watch>,
    in_force: Arc<CatalogueSnapshot>,
    /// Whether the last call failed, so that an outage is logged once.
    unavailable: bool,
    rng: SmallRng,
    deliver: F,
}

/// What ended a wait.
enum WakeReason {
    Due,
    Input,
    Stop,
    Watch(Result<WatchBatch, StoreError>),
}

impl<S: CatalogueStore, F: FnMut(CatalogueSnapshot)> ReaderTask<S, F> {
    async fn run(mut self, mut input: Receiver<ReaderInput>, mut stop: Receiver<bool>) {
        self.rng = SmallRng::seed_from_u64(self.setup.seed);
        self.take_input(&mut input).await;
        loop {
            let due = self.controller.on_time(Instant::now());
            self.perform(due).await;
            match self.wait(&mut input, &mut stop).await {
                WakeReason::Due => {}
                WakeReason::Input => self.take_input(&mut input).await,
                WakeReason::Watch(batch) => self.take_batch(batch).await,
                WakeReason::Stop => break,
            }
        }
        let last = self.controller.on_stop(Instant::now());
        self.perform(last).await;
    }

    async fn wait(
        &mut self,
        input: &mut Receiver<ReaderInput>,
        stop: &mut Receiver<bool>,
    ) -> WakeReason {
        let now = Instant::now();
        let until = self.controller.wake_at().unwrap_or(now + SLEEP_MAX);
        let pause = until.saturating_duration_since(now).min(SLEEP_MAX);
        // Rounded up, so that the controller is not asked just before something is due.
        let pause = Millis(u32::try_from(pause.as_millis()).unwrap_or(0) + 1);
        tokio::select! {
            _ = stop.wait_for(|&stop| stop) => WakeReason::Stop,
            changed = input.changed() => match changed {
                Ok(()) => WakeReason::Input,
                Err(_) => WakeReason::Stop,
            },
            batch = next_batch(&mut self.watch) => WakeReason::Watch(batch),
            () = sleep(pause) => WakeReason::Due,
        }
    }

    async fn take_input(&mut self, input: &mut Receiver<ReaderInput>) {
        let seen = input.borrow_and_update().clone();
        if seen.in_force.revision > self.in_force.revision {
            self.in_force = seen.in_force;
        }
        self.event(ReaderEvent::LiveEntries(seen.live_entries))
            .await;
        let revision = self.in_force.revision;
        self.event(ReaderEvent::InForce(revision)).await;
    }

    async fn take_batch(&mut self, batch: Result<WatchBatch, StoreError>) {
        let events = match batch {
            Ok(WatchBatch::Events { events, .. }) => events,
            Ok(WatchBatch::Compacted { .. }) => {
                self.watch = None;
                return self.event(ReaderEvent::WatchEnded).await;
            }
            Err(error) => {
                self.watch = None;
                self.note_failure(&error);
                return self.event(ReaderEvent::WatchEnded).await;
            }
        };
        for event in events {
            let WatchEvent::Put(pair) = event else {
                continue;
            };
            match decode::<CatalogueHead>(&pair) {
                Ok(head) => self.event(ReaderEvent::HeadRevision(head.revision)).await,
                Err(error) => self.reject(0, &error.to_string()),
            }
        }
    }

    async fn event(&mut self, event: ReaderEvent) {
        let now = Instant::now();
        let actions = self.controller.on_event(event, now, &mut self.rng);
        self.perform(actions).await;
    }

    /// Carries out actions and those that follow from their outcomes.
    async fn perform(&mut self, actions: impl IntoIterator<Item = ReaderAction>) {
        let mut queue: VecDeque<ReaderAction> = actions.into_iter().collect();
        while let Some(action) = queue.pop_front() {
            let Some(event) = self.act(action).await else {
                continue;
            };
            let now = Instant::now();
            queue.extend(self.controller.on_event(event, now, &mut self.rng));
        }
    }

    async fn act(&mut self, action: ReaderAction) -> Option<ReaderEvent> {
        match action {
            ReaderAction::AcquireSlot(slot) => Some(self.take_slot(slot).await),
            ReaderAction::Renew => Some(self.renew().await),
            ReaderAction::Release => self.release().await,
            ReaderAction::OpenWatch => Some(self.open_watch().await),
            ReaderAction::CloseWatch => self.close_watch(),
            ReaderAction::ReadHead => Some(self.read_head().await),
            ReaderAction::Load => self.load().await,
            ReaderAction::ReportOlder(revision) => self.report_older(revision),
        }
    }

    async fn take_slot(&mut self, slot: SlotNumber) -> ReaderEvent {
        let since = Instant::now();
        match self.try_slot(slot).await {
            Ok(Some(lease)) => {
                self.note_success();
                self.lease = Some(lease);
                self.setup.holds_slot.set(true);
                emit(
                    EventCode::ReaderStarted,
                    &[("zone", &self.setup.zone), ("slot", &slot)],
                );
                ReaderEvent::SlotAcquired { since }
            }
            Ok(None) => {
                self.note_success();
                ReaderEvent::SlotHeld
            }
            Err(error) => {
                self.note_failure(&error);
                ReaderEvent::CallFailed
            }
        }
    }

    /// Returns the lease if the slot was free. Looks first, because a read costs the store less than a lease.
    async fn try_slot(&mut self, slot: SlotNumber) -> Result<Option<LeaseId>, StoreError> {
        let key = reader_key(&self.setup.zone, slot);
        let seen = self.store.range(&KeyRange::Key(key.clone())).await?;
        if !seen.entries.is_empty() {
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
            Ok(TransactionOutcome::Committed(_)) => Ok(Some(lease)),
            Ok(TransactionOutcome::Conflict(_)) => {
                // An unused lease ends by itself if this call fails.
                let _ = self.store.revoke(lease).await;
                Ok(None)
            }
            Err(error) => {
                // Without the lease, a write that took effect does not block the slot.
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
                self.note_success();
                ReaderEvent::Renewed { since }
            }
            Err(StoreError::LeaseNotFound { .. }) => ReaderEvent::LeaseLost,
            Err(error) => {
                self.note_failure(&error);
                ReaderEvent::CallFailed
            }
        }
    }

    async fn release(&mut self) -> Option<ReaderEvent> {
        let lease = self.lease.take()?;
        // The lease ends by itself if the store does not answer.
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
                self.note_load_failure(&error);
                return ReaderEvent::WatchEnded;
            }
        };
        let range = KeyRange::Key(HEAD_KEY.into());
        match self.store.watch(&range, loaded.store_revision + 1).await {
            Ok(watch) => {
                self.note_success();
                self.watch = Some(watch);
                ReaderEvent::HeadRevision(loaded.revision())
            }
            Err(error) => {
                self.note_failure(&error);
                ReaderEvent::WatchEnded
            }
        }
    }

    async fn read_head(&mut self) -> ReaderEvent {
        match load_head(&self.store).await {
            Ok(loaded) => {
                self.note_success();
                ReaderEvent::HeadRevision(loaded.revision())
            }
            Err(error) => {
                self.note_load_failure(&error);
                ReaderEvent::CallFailed
            }
        }
    }

    async fn load(&mut self) -> Option<ReaderEvent> {
        let snapshot = match load_incremental(&self.store, &self.in_force).await {
            Ok(loaded) => loaded.snapshot,
            Err(error) => {
                self.note_load_failure(&error);
                return Some(ReaderEvent::CallFailed);
            }
        };
        let revision = snapshot.revision;
        if revision <= self.in_force.revision {
            return Some(ReaderEvent::HeadRevision(revision));
        }
        if let Err(errors) = validate(&snapshot) {
            let first = errors.first().map(ToString::to_string);
            self.reject(revision, &first.unwrap_or_default());
            return Some(ReaderEvent::Rejected(revision));
        }
        self.in_force = Arc::new(snapshot.clone());
        (self.deliver)(snapshot);
        Some(ReaderEvent::InForce(revision))
    }

    fn reject(&self, revision: RevisionNumber, error: &str) {
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

    fn note_load_failure(&mut self, error: &LoadError) {
        match error {
            LoadError::Store(error) => self.note_failure(error),
            other => self.reject(0, &other.to_string()),
        }
    }

    fn note_failure(&mut self, error: &StoreError) {
        if self.unavailable {
            return;
        }
        self.unavailable = true;
        emit(EventCode::StoreUnavailable, &[("error", error)]);
    }

    fn note_success(&mut self) {
        if !self.unavailable {
            return;
        }
        self.unavailable = false;
        emit(EventCode::StoreAvailable, &[("zone", &self.setup.zone)]);
    }
}

/// Waits for the next message of an open watch, or for ever without one.
async fn next_batch<W: CatalogueWatch>(watch: &mut Option<W>) -> Result<WatchBatch, StoreError> {
    match watch {
        Some(watch) => watch.next().await,
        None => pending().await,
    }
}
