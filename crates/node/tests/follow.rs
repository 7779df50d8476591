//! How a range of the store is followed, against a store that is away or whose watches are cut.

use ntex::rt::{spawn, DefaultRuntime, System};
use quetzalhill_node::relay::follow::{confirm, follow, FollowEvent, FollowPlan};
use quetzalhill_store::api::{
    CatalogueStore, CatalogueWatch, KeyRange, LeaseGrant, LeaseId, RangeResult, StoreError,
    StoreRevision, Transaction, TransactionOutcome, WatchBatch,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep;

/// A store that counts reads, and can be away.
#[derive(Clone, Debug, Default)]
struct FakeStore {
    away: Rc<Cell<bool>>,
    reads: Rc<Cell<u32>>,
    /// Ends the open watch.
    cuts: Rc<Notify>,
}

#[derive(Debug)]
struct FakeWatch(Rc<Notify>);

fn unavailable() -> StoreError {
    StoreError::NotApplied {
        cause: "away".into(),
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
        match self.away.get() {
            true => Err(unavailable()),
            false => Ok(RangeResult {
                revision: 1,
                entries: Vec::new(),
            }),
        }
    }

    async fn watch(&self, _: &KeyRange, _: StoreRevision) -> Result<FakeWatch, StoreError> {
        match self.away.get() {
            true => Err(unavailable()),
            false => Ok(FakeWatch(self.cuts.clone())),
        }
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

fn start(store: &FakeStore) -> Rc<RefCell<Vec<Instant>>> {
    let plan = FollowPlan {
        name: "test",
        range: KeyRange::Prefix("a/".into()),
        pause: Duration::from_millis(300),
    };
    let loads = Rc::new(RefCell::new(Vec::new()));
    let seen = loads.clone();
    let follows = follow(store.clone(), plan, move |event| {
        if let FollowEvent::Loaded { read, .. } = event {
            seen.borrow_mut().push(read);
        }
    });
    spawn(follows).detach();
    loads
}

/// Guards against an outage that costs a counted call every few hundred milliseconds although everything is known, and
/// against a return of the store that is noticed late.
#[test]
fn known_range_is_seldom_read_during_an_outage() {
    run(async {
        let store = FakeStore::default();
        let loads = start(&store);
        sleep(Duration::from_millis(50)).await;
        store.away.set(true);
        store.cuts.notify_one();
        let before = store.reads.get();
        sleep(Duration::from_secs(5)).await;
        let calls = store.reads.get() - before;
        assert!((3..=8).contains(&calls), "{calls} calls in 5 s");
        store.away.set(false);
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(loads.borrow().len(), 2);
    });
}

/// Guards against a start during an outage that goes on for longer than the outage.
#[test]
fn unknown_range_is_read_soon_after_an_outage() {
    run(async {
        let store = FakeStore::default();
        store.away.set(true);
        let loads = start(&store);
        sleep(Duration::from_millis(2_500)).await;
        store.away.set(false);
        sleep(Duration::from_millis(650)).await;
        assert_eq!(loads.borrow().len(), 1);
    });
}

/// Guards against a watch that was cut and is opened again only after the pause of an outage.
#[test]
fn cut_watch_is_opened_again_soon() {
    run(async {
        let store = FakeStore::default();
        let loads = start(&store);
        sleep(Duration::from_millis(50)).await;
        store.cuts.notify_one();
        sleep(Duration::from_millis(300)).await;
        assert_eq!(loads.borrow().len(), 2);
    });
}

/// Guards against a confirmation that counts from its answer, and against one call for each of many doubts.
#[test]
fn doubts_share_a_read_that_begins_after_them() {
    run(async {
        let store = FakeStore::default();
        let (doubts, reads) = (Rc::new(Notify::new()), Rc::new(RefCell::new(Vec::new())));
        let seen = reads.clone();
        let range = KeyRange::Prefix("a/".into());
        let confirms = confirm(store.clone(), range, doubts.clone(), move |event| {
            if let FollowEvent::Loaded { read, .. } = event {
                seen.borrow_mut().push(read);
            }
        });
        spawn(confirms).detach();
        sleep(Duration::from_millis(20)).await;
        let doubted = Instant::now();
        for _ in 0..50 {
            doubts.notify_one();
            sleep(Duration::from_millis(4)).await;
        }
        sleep(Duration::from_millis(500)).await;
        let reads = reads.borrow();
        assert!((2..=4).contains(&reads.len()), "{} reads", reads.len());
        assert!(reads.iter().all(|read| *read >= doubted));
    });
}
