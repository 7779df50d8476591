//! The reader of the catalogue against the stand-in of the store.

use ntex::time::{sleep, Millis};
use quetzalhill::reader::{run, ReaderInput, ReaderSetup};
use quetzalhill_core::catalogue::reader::ReaderSettings;
use quetzalhill_core::catalogue::{CatalogueSnapshot, ServiceEntry};
use quetzalhill_core::ids::EntryId;
use quetzalhill_standins::store::StoreStandin;
use quetzalhill_store::catalogue::commit::{commit, CommitOutcome};
use quetzalhill_store::catalogue::load::load;
use quetzalhill_store::catalogue::plan::{plan_change, WriteStamp};
use quetzalhill_store::catalogue::{HEAD_KEY, READER_PREFIX};
use quetzalhill_store::etcd::{EtcdSettings, EtcdStore};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::watch;

/// Target for an accepted change to be in force everywhere, in seconds.
const IN_FORCE_S: u64 = 5;

fn standin() -> StoreStandin {
    StoreStandin::start("127.0.0.1:0".parse().expect("address")).expect("stand-in")
}

fn store_settings(standin: &StoreStandin) -> EtcdSettings {
    let mut settings = EtcdSettings::new(vec![standin.url()]);
    settings.call_timeout = Duration::from_millis(500);
    settings
}

/// A reader that runs as a task of the test.
struct TestReader {
    /// The reader stops when this is dropped.
    _input: watch::Sender<ReaderInput>,
    stop: watch::Sender<bool>,
    seen: Rc<RefCell<Vec<CatalogueSnapshot>>>,
}

async fn reader(standin: &StoreStandin, own: EntryId, live: &[EntryId]) -> TestReader {
    reader_with(standin, own, live, CatalogueSnapshot::default()).await
}

async fn reader_with(
    standin: &StoreStandin,
    own: EntryId,
    live: &[EntryId],
    in_force: CatalogueSnapshot,
) -> TestReader {
    let first = ReaderInput {
        live_entries: live.to_vec(),
        in_force: in_force.into(),
    };
    let (input, receiver) = watch::channel(first);
    let (stop, stopped) = watch::channel(false);
    let seen: Rc<RefCell<Vec<CatalogueSnapshot>>> = Rc::default();
    let setup = ReaderSetup {
        zone: "west-1".into(),
        own_id: own,
        settings: ReaderSettings {
            rank_delay: Duration::from_millis(100),
            retry_interval: Duration::from_millis(500),
            lease_ttl: Duration::from_secs(2),
            backoff_max: Duration::from_millis(500),
            ..ReaderSettings::default()
        },
        seed: 540,
        holds_slot: Rc::default(),
    };
    let store = EtcdStore::new(store_settings(standin))
        .await
        .expect("client");
    let list = seen.clone();
    let deliver = move |snapshot| list.borrow_mut().push(snapshot);
    ntex::rt::spawn(run(store, setup, receiver, stopped, deliver)).detach();
    TestReader {
        _input: input,
        stop,
        seen,
    }
}

impl TestReader {
    fn revision(&self) -> u64 {
        self.seen
            .borrow()
            .last()
            .map_or(0, |snapshot| snapshot.revision)
    }

    async fn reaches(&self, revision: u64) -> bool {
        until(|| self.revision() == revision).await
    }
}

async fn until(condition: impl Fn() -> bool) -> bool {
    let limit = Instant::now() + Duration::from_secs(IN_FORCE_S);
    while Instant::now() < limit {
        if condition() {
            return true;
        }
        sleep(Millis(10)).await;
    }
    condition()
}

async fn apply(standin: &StoreStandin, count: u16) -> u64 {
    let store = EtcdStore::new(store_settings(standin))
        .await
        .expect("client");
    let current = load(&store).await.expect("load");
    let services = (0..count).map(|number| {
        let port = 4_000 + number;
        let text = format!(r#"{{"owner":"Lucky Slip","addresses":["10.0.0.1:{port}"]}}"#);
        let entry: ServiceEntry = serde_json::from_str(&text).expect("entry");
        (format!("s{number}"), entry)
    });
    let stamp = WriteStamp {
        author: "ada".into(),
        time: SystemTime::now(),
        write_id: format!("w{count}"),
    };
    let planned = plan_change(&current, services.collect(), &stamp).expect("plan");
    match commit(&store, &planned).await.expect("commit") {
        CommitOutcome::Committed(revision) => revision,
        CommitOutcome::LostRace(head) => panic!("lost the race to {head:?}"),
    }
}

/// Guards against changes that do not reach an entry within the target.
#[ntex::test]
async fn accepted_changes_are_delivered() {
    let standin = standin();
    let reader = reader(&standin, 1, &[1]).await;
    for count in 1..=4 {
        let revision = apply(&standin, count).await;
        assert!(reader.reaches(revision).await, "revision {revision}");
    }
    let seen = reader.seen.borrow();
    assert_eq!(seen.last().map(|s| s.services.len()), Some(4));
}

/// Guards against a reader that changes anything, or stays behind, after an outage.
#[ntex::test]
async fn outage_changes_nothing_and_the_reader_catches_up() {
    let mut standin = standin();
    let reader = reader(&standin, 1, &[1]).await;
    apply(&standin, 1).await;
    assert!(reader.reaches(1).await);
    standin.stop();
    sleep(Millis(1_000)).await;
    assert_eq!(reader.seen.borrow().len(), 1);
    standin.restart().expect("restart");
    apply(&standin, 2).await;
    assert!(reader.reaches(2).await);
}

/// Guards against a store restored from an old copy that takes the fleet back.
#[ntex::test]
async fn older_store_is_ignored() {
    let standin = standin();
    let reader = reader(&standin, 1, &[1]).await;
    apply(&standin, 1).await;
    let old = standin.revision();
    apply(&standin, 2).await;
    assert!(reader.reaches(2).await);
    standin.roll_back(old);
    // The reader opens its watch again and reads the older head.
    assert!(until(|| standin.counts().open_watches == 1).await);
    sleep(Millis(300)).await;
    assert_eq!(reader.revision(), 2);
    assert!(reader
        .seen
        .borrow()
        .windows(2)
        .all(|pair| pair[0].revision < pair[1].revision));
}

/// Guards against an invalid catalogue that replaces the last good one.
#[ntex::test]
async fn damaged_catalogue_is_not_delivered() {
    let standin = standin();
    let reader = reader(&standin, 1, &[1]).await;
    apply(&standin, 1).await;
    assert!(reader.reaches(1).await);
    let good = standin.value(HEAD_KEY).expect("head");
    standin.put(HEAD_KEY, b"{\"revision\":2}");
    sleep(Millis(300)).await;
    assert_eq!(reader.revision(), 1);
    standin.put(HEAD_KEY, &good);
    apply(&standin, 2).await;
    assert!(reader.reaches(2).await);
}

/// Guards against readers, watches and leases that grow with the number of entries.
#[ntex::test]
async fn two_of_many_entries_read_and_a_successor_takes_over() {
    let standin = standin();
    let live: Vec<EntryId> = (1..=8).collect();
    let mut readers = Vec::new();
    for &own in &live {
        readers.push(reader(&standin, own, &live).await);
    }
    apply(&standin, 1).await;
    assert!(until(|| standin.keys(READER_PREFIX).len() == 2).await);
    assert!(until(|| standin.counts().open_watches == 2).await);
    // A watch is open before the catalogue has been read.
    let read = |reader: &TestReader| reader.revision() == 1;
    assert!(until(|| readers.iter().any(read)).await);
    let holder = readers.iter().position(read).expect("a reader has read");
    let left = readers.remove(holder);
    left.stop.send_replace(true);
    assert!(until(|| standin.keys(READER_PREFIX).len() == 2).await);
    assert!(until(|| standin.counts().open_watches == 2).await);
}

/// Guards against a reader that loads what a peer has already brought into force.
#[ntex::test]
async fn revision_from_a_peer_is_not_delivered_again() {
    let standin = standin();
    let peer = CatalogueSnapshot {
        revision: 2,
        ..CatalogueSnapshot::default()
    };
    let reader = reader_with(&standin, 1, &[1], peer).await;
    assert!(until(|| standin.counts().open_watches == 1).await);
    apply(&standin, 1).await;
    apply(&standin, 2).await;
    let third = apply(&standin, 3).await;
    assert!(reader.reaches(third).await);
    assert_eq!(reader.seen.borrow().len(), 1);
}
