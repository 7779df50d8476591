//! The catalogue reader against a stand-in of the store.

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

/// Time limit for an accepted change to be in force on all nodes, in seconds.
const IN_FORCE_S: u64 = 5;

fn start_standin() -> StoreStandin {
    StoreStandin::start("127.0.0.1:0".parse().expect("address")).expect("stand-in")
}

fn store_settings(standin: &StoreStandin) -> EtcdSettings {
    let mut settings = EtcdSettings::new(vec![standin.url()]);
    settings.call_timeout = Duration::from_millis(500);
    settings
}

/// A reader that runs as a task of the test, and the snapshots that it delivers.
struct TestReader {
    /// Kept because the reader stops when this sender is dropped.
    _input: watch::Sender<ReaderInput>,
    stop: watch::Sender<bool>,
    delivered: Rc<RefCell<Vec<CatalogueSnapshot>>>,
}

async fn start_reader(standin: &StoreStandin, own_id: EntryId, live: &[EntryId]) -> TestReader {
    start_reader_with(standin, own_id, live, CatalogueSnapshot::default()).await
}

async fn start_reader_with(
    standin: &StoreStandin,
    own_id: EntryId,
    live: &[EntryId],
    in_force: CatalogueSnapshot,
) -> TestReader {
    let input = ReaderInput {
        live_entries: live.to_vec(),
        in_force: in_force.into(),
    };
    let (input, receiver) = watch::channel(input);
    let (stop, stopped) = watch::channel(false);
    let delivered: Rc<RefCell<Vec<CatalogueSnapshot>>> = Rc::default();
    let setup = ReaderSetup {
        zone: "west-1".into(),
        own_id,
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
    let list = delivered.clone();
    let deliver = move |snapshot| list.borrow_mut().push(snapshot);
    ntex::rt::spawn(run(store, setup, receiver, stopped, deliver)).detach();
    TestReader {
        _input: input,
        stop,
        delivered,
    }
}

impl TestReader {
    fn revision(&self) -> u64 {
        self.delivered
            .borrow()
            .last()
            .map_or(0, |snapshot| snapshot.revision)
    }

    async fn delivers(&self, revision: u64) -> bool {
        wait_until(|| self.revision() == revision).await
    }
}

async fn wait_until(condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + Duration::from_secs(IN_FORCE_S);
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        sleep(Millis(10)).await;
    }
    condition()
}

async fn commit_services(standin: &StoreStandin, count: u16) -> u64 {
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

/// Guards against committed changes that the reader does not deliver within the time limit.
#[ntex::test]
async fn accepted_changes_are_delivered() {
    let standin = start_standin();
    let reader = start_reader(&standin, 1, &[1]).await;
    for count in 1..=4 {
        let revision = commit_services(&standin, count).await;
        assert!(reader.delivers(revision).await, "revision {revision}");
    }
    let snapshots = reader.delivered.borrow();
    assert_eq!(snapshots.last().map(|s| s.services.len()), Some(4));
}

/// Guards against a reader that delivers something during an outage of the store, or does not deliver the next
/// change after it.
#[ntex::test]
async fn outage_changes_nothing_and_the_reader_catches_up() {
    let mut standin = start_standin();
    let reader = start_reader(&standin, 1, &[1]).await;
    commit_services(&standin, 1).await;
    assert!(reader.delivers(1).await);
    standin.stop();
    sleep(Millis(1_000)).await;
    assert_eq!(reader.delivered.borrow().len(), 1);
    standin.restart().expect("restart");
    commit_services(&standin, 2).await;
    assert!(reader.delivers(2).await);
}

/// Guards against a reader that delivers an older revision after the store was restored from an older copy.
#[ntex::test]
async fn older_store_is_ignored() {
    let standin = start_standin();
    let reader = start_reader(&standin, 1, &[1]).await;
    commit_services(&standin, 1).await;
    let old_revision = standin.revision();
    commit_services(&standin, 2).await;
    assert!(reader.delivers(2).await);
    standin.roll_back(old_revision);
    // The rollback ends the watch. The reader opens a new one and reads the older head.
    assert!(wait_until(|| standin.counts().open_watches == 1).await);
    sleep(Millis(300)).await;
    assert_eq!(reader.revision(), 2);
    assert!(reader
        .delivered
        .borrow()
        .windows(2)
        .all(|pair| pair[0].revision < pair[1].revision));
}

/// Guards against a malformed head in the store that replaces the last valid catalogue or stops the reader.
#[ntex::test]
async fn malformed_head_is_not_delivered() {
    let standin = start_standin();
    let reader = start_reader(&standin, 1, &[1]).await;
    commit_services(&standin, 1).await;
    assert!(reader.delivers(1).await);
    let valid_head = standin.value(HEAD_KEY).expect("head");
    standin.put(HEAD_KEY, b"{\"revision\":2}");
    sleep(Millis(300)).await;
    assert_eq!(reader.revision(), 1);
    standin.put(HEAD_KEY, &valid_head);
    commit_services(&standin, 2).await;
    assert!(reader.delivers(2).await);
}

/// Guards against readers, watches and leases whose number grows with the number of entries, and against a reader
/// slot that stays free after its holder has stopped.
#[ntex::test]
async fn two_of_many_entries_read_and_a_successor_takes_over() {
    let standin = start_standin();
    let live: Vec<EntryId> = (1..=8).collect();
    let mut readers = Vec::new();
    for &own_id in &live {
        readers.push(start_reader(&standin, own_id, &live).await);
    }
    commit_services(&standin, 1).await;
    assert!(wait_until(|| standin.keys(READER_PREFIX).len() == 2).await);
    assert!(wait_until(|| standin.counts().open_watches == 2).await);
    // The catalogue may be read some time after the watch is open.
    let has_read = |reader: &TestReader| reader.revision() == 1;
    assert!(wait_until(|| readers.iter().any(has_read)).await);
    let holder = readers
        .iter()
        .position(has_read)
        .expect("a reader has read");
    let stopped = readers.remove(holder);
    stopped.stop.send_replace(true);
    assert!(wait_until(|| standin.keys(READER_PREFIX).len() == 2).await);
    assert!(wait_until(|| standin.counts().open_watches == 2).await);
}

/// Guards against a reader that loads revisions that are already in force because a peer had them.
#[ntex::test]
async fn revision_from_a_peer_is_not_delivered_again() {
    let standin = start_standin();
    let peer = CatalogueSnapshot {
        revision: 2,
        ..CatalogueSnapshot::default()
    };
    let reader = start_reader_with(&standin, 1, &[1], peer).await;
    assert!(wait_until(|| standin.counts().open_watches == 1).await);
    commit_services(&standin, 1).await;
    commit_services(&standin, 2).await;
    let third = commit_services(&standin, 3).await;
    assert!(reader.delivers(third).await);
    assert_eq!(reader.delivered.borrow().len(), 1);
}
