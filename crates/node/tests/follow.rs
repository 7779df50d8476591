//! Following a range of a store that is unavailable or whose watches are interrupted.

use ntex::rt::{spawn, DefaultRuntime, System};
use quetzalhill_node::relay::follow::{
    always_watch, confirm, follow, FollowEvent, FollowMode, FollowPlan,
};
use quetzalhill_node::relay::settings::FollowTimeouts;
use quetzalhill_store::api::{
    CallEnd, CatalogueStore, CatalogueWatch, KeyRange, LeaseGrant, LeaseId, RangeResult,
    StoreError, StoreRevision, Transaction, TransactionOutcome, WatchBatch,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{watch, Notify};
use tokio::time::sleep;

/// A store that counts reads and can be made unavailable.
#[derive(Clone, Debug, Default)]
struct FakeStore {
    outage: Rc<Cell<bool>>,
    reads: Rc<Cell<u32>>,
    stale_reads: Rc<Cell<u32>>,
    watches: Rc<Cell<u32>>,
    long_watches: Rc<Cell<u32>>,
    /// Ends the open watch with an error.
    watch_end: Rc<Notify>,
}

#[derive(Debug)]
struct FakeWatch(Rc<Notify>);

fn unavailable() -> StoreError {
    StoreError::NotApplied {
        end: CallEnd::Unavailable,
        cause: "unavailable".into(),
    }
}

impl CatalogueWatch for FakeWatch {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        self.0.notified().await;
        Err(unavailable())
    }
}

impl CatalogueStore for FakeStore {
    type Watch = FakeWatch;

    async fn range(&self, _: &KeyRange) -> Result<RangeResult, StoreError> {
        self.reads.set(self.reads.get() + 1);
        match self.outage.get() {
            true => Err(unavailable()),
            false => Ok(RangeResult {
                era: 0,
                revision: 1,
                entries: Vec::new(),
            }),
        }
    }

    async fn range_stale(&self, range: &KeyRange) -> Result<RangeResult, StoreError> {
        self.stale_reads.set(self.stale_reads.get() + 1);
        self.range(range).await
    }

    async fn watch(&self, _: &KeyRange, _: StoreRevision) -> Result<FakeWatch, StoreError> {
        self.watches.set(self.watches.get() + 1);
        match self.outage.get() {
            true => Err(unavailable()),
            false => Ok(FakeWatch(self.watch_end.clone())),
        }
    }

    async fn watch_long(&self, _: &KeyRange, _: StoreRevision) -> Result<FakeWatch, StoreError> {
        self.long_watches.set(self.long_watches.get() + 1);
        Ok(FakeWatch(self.watch_end.clone()))
    }

    async fn commit(&self, _: &Transaction) -> Result<TransactionOutcome, StoreError> {
        Err(unavailable())
    }

    async fn grant(&self, _: Duration) -> Result<LeaseGrant, StoreError> {
        Err(unavailable())
    }

    async fn keep_alive(&self, _: LeaseId) -> Result<LeaseGrant, StoreError> {
        Err(unavailable())
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        Err(unavailable())
    }
}

fn run(test: impl std::future::Future<Output = ()> + 'static) {
    System::new("follow", DefaultRuntime).block_on(test);
}

fn start(store: &FakeStore) -> Rc<RefCell<Vec<Option<Instant>>>> {
    start_in(store, always_watch())
}

fn start_in(
    store: &FakeStore,
    mode: watch::Receiver<FollowMode>,
) -> Rc<RefCell<Vec<Option<Instant>>>> {
    let plan = FollowPlan {
        name: "test",
        range: KeyRange::Prefix("a/".into()),
        apply: Duration::from_secs(3),
        pause: Duration::from_millis(300),
        settle: Duration::ZERO,
        mode,
    };
    let loads = Rc::new(RefCell::new(Vec::new()));
    let recorded = loads.clone();
    let follows = follow(store.clone(), plan, move |event| {
        if let FollowEvent::Loaded { read, .. } = event {
            recorded.borrow_mut().push(read);
        }
    });
    spawn(follows).detach();
    loads
}

/// Guards against a follower that, during an outage, calls the store every few hundred milliseconds although it has read
/// the range, and against one that notices the recovery of the store late. The store counts each call.
#[test]
fn known_range_is_seldom_read_during_an_outage() {
    run(async {
        let store = FakeStore::default();
        let loads = start(&store);
        sleep(Duration::from_millis(50)).await;
        store.outage.set(true);
        store.watch_end.notify_one();
        let before = store.reads.get();
        sleep(Duration::from_secs(5)).await;
        let calls = store.reads.get() - before;
        assert!((3..=8).contains(&calls), "{calls} calls in 5 s");
        store.outage.set(false);
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(loads.borrow().len(), 2);
    });
}

/// Guards against a process that starts during an outage and reads the range late after it: the long pause must not apply
/// before the first read.
#[test]
fn unknown_range_is_read_soon_after_an_outage() {
    run(async {
        let store = FakeStore::default();
        store.outage.set(true);
        let loads = start(&store);
        sleep(Duration::from_millis(2_500)).await;
        store.outage.set(false);
        sleep(Duration::from_millis(650)).await;
        assert_eq!(loads.borrow().len(), 1);
    });
}

/// Guards against an interrupted watch that is opened again only after the pause of an outage.
#[test]
fn cut_watch_is_opened_again_soon() {
    run(async {
        let store = FakeStore::default();
        let loads = start(&store);
        sleep(Duration::from_millis(50)).await;
        store.watch_end.notify_one();
        sleep(Duration::from_millis(300)).await;
        assert_eq!(loads.borrow().len(), 2);
    });
}

/// Guards against a confirmation that is dated by its answer instead of the start of the read, and against a separate call
/// for each of many requests.
#[test]
fn requests_share_a_read_that_begins_after_them() {
    run(async {
        let store = FakeStore::default();
        let (requests, reads) = (Rc::new(Notify::new()), Rc::new(RefCell::new(Vec::new())));
        let recorded = reads.clone();
        let range = KeyRange::Prefix("a/".into());
        let confirms = confirm(store.clone(), range, requests.clone(), move |event| {
            if let FollowEvent::Loaded { read, .. } = event {
                recorded.borrow_mut().push(read);
            }
        });
        spawn(confirms).detach();
        sleep(Duration::from_millis(20)).await;
        let first_request = Instant::now();
        for _ in 0..50 {
            requests.notify_one();
            sleep(Duration::from_millis(4)).await;
        }
        sleep(Duration::from_millis(500)).await;
        let reads = reads.borrow();
        assert!((2..=4).contains(&reads.len()), "{} reads", reads.len());
        assert!(reads.iter().all(|read| *read >= Some(first_request)));
    });
}

/// Guards against a range that is watched, or read in full price, by an entry that leaves this to others, and against an
/// entry that takes a read of a replica for the current state.
#[test]
fn polled_range_is_read_from_a_replica_and_seldom() {
    run(async {
        let store = FakeStore::default();
        let (sender, mode) = watch::channel(FollowMode::Poll);
        let loads = start_in(&store, mode);
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!((store.reads.get(), store.stale_reads.get()), (1, 1));
        assert_eq!(*loads.borrow(), [None]);
        // An entry that has to watch the range from now on must not wait for the next poll.
        sender.send_replace(FollowMode::Watch);
        sleep(Duration::from_millis(100)).await;
        assert_eq!((store.reads.get(), store.stale_reads.get()), (2, 1));
        assert!(loads.borrow()[1].is_some());
        // A watch goes on until it returns, and is not opened again.
        sender.send_replace(FollowMode::Poll);
        store.watch_end.notify_one();
        sleep(Duration::from_millis(500)).await;
        assert_eq!((store.reads.get(), store.stale_reads.get()), (3, 2));
    });
}

/// Guards against a poll that spins when the mode can no longer change.
#[test]
fn poll_without_a_sender_of_modes_waits() {
    run(async {
        let store = FakeStore::default();
        let (sender, mode) = watch::channel(FollowMode::Poll);
        drop(sender);
        start_in(&store, mode);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(store.reads.get(), 1);
    });
}

/// Guards against an entry that waits for the end of a long poll, whose answer may be lost, although no other entry tells
/// it of changes any longer; and against a new read of a range that has been read.
#[test]
fn long_watch_is_replaced_once_nobody_else_watches() {
    run(async {
        let store = FakeStore::default();
        let (sender, mode) = watch::channel(FollowMode::LongWatch);
        let loads = start_in(&store, mode);
        sleep(Duration::from_millis(100)).await;
        assert_eq!((store.watches.get(), store.long_watches.get()), (0, 1));
        sender.send_replace(FollowMode::Watch);
        sleep(Duration::from_millis(100)).await;
        assert_eq!((store.watches.get(), store.long_watches.get()), (1, 1));
        assert_eq!(loads.borrow().len(), 1);
    });
}

/// Guards against a long watch that spins when the mode can no longer change.
#[test]
fn long_watch_without_a_sender_of_modes_waits() {
    run(async {
        let store = FakeStore::default();
        let (sender, mode) = watch::channel(FollowMode::LongWatch);
        drop(sender);
        start_in(&store, mode);
        sleep(Duration::from_millis(300)).await;
        assert_eq!((store.watches.get(), store.long_watches.get()), (0, 1));
    });
}

/// Guards against timeouts of which a lost answer to a poll and the read after it take longer than a change may.
#[test]
fn lost_poll_and_the_read_after_it_fit_into_the_time_for_a_change() {
    const FIRST_PAUSE: Duration = Duration::from_millis(110);
    for apply_ms in [600, 1_000, 3_000, 5_000, 6_000, 60_000] {
        let apply = Duration::from_millis(apply_ms);
        let timeouts = FollowTimeouts::new(apply);
        let lost_poll = timeouts.poll + timeouts.call;
        assert!(
            lost_poll + FIRST_PAUSE + timeouts.call <= apply,
            "{apply:?}"
        );
        assert!(timeouts.poll >= apply / 5, "{apply:?}");
    }
}
