//! Loading, planning and committing the catalogue, against a stand-in of the store.

use quetzalhill_core::catalogue::{CatalogueSnapshot, ServiceEntry};
use quetzalhill_core::ids::ServiceName;
use quetzalhill_standins::store::{StandinMode, StoreStandin};
use quetzalhill_store::api::StoreError;
use quetzalhill_store::catalogue::commit::{commit, CommitError, CommitOutcome};
use quetzalhill_store::catalogue::load::{load, load_history, load_incremental, LoadError};
use quetzalhill_store::catalogue::plan::{
    content_at, plan_change, plan_restore, plan_rollback, PlanError, WriteStamp,
};
use quetzalhill_store::catalogue::{history_key, HEAD_KEY, HISTORY_KEPT, HISTORY_PREFIX};
use quetzalhill_store::etcd::{EtcdSettings, EtcdStore};
use std::collections::BTreeMap;
use std::time::{Duration, UNIX_EPOCH};

type Services = BTreeMap<ServiceName, ServiceEntry>;

fn standin() -> StoreStandin {
    StoreStandin::start("127.0.0.1:0".parse().expect("address")).expect("stand-in")
}

async fn client(standin: &StoreStandin) -> EtcdStore {
    let mut settings = EtcdSettings::new(vec![standin.url()]);
    settings.call_timeout = Duration::from_millis(300);
    settings.limits.read_burst = 1_000.0;
    settings.limits.write_burst = 1_000.0;
    EtcdStore::new(settings).await.expect("client")
}

fn service(port: u16) -> ServiceEntry {
    let text = format!(r#"{{"owner":"Lucky Slip","addresses":["10.0.0.1:{port}"]}}"#);
    serde_json::from_str(&text).expect("entry")
}

fn services(names: &[&str]) -> Services {
    let ports = 4_000..;
    names
        .iter()
        .zip(ports)
        .map(|(name, port)| (name.to_string(), service(port)))
        .collect()
}

fn stamp(author: &str, id: &str) -> WriteStamp {
    WriteStamp {
        author: author.into(),
        time: UNIX_EPOCH + Duration::from_secs(1),
        write_id: id.into(),
    }
}

async fn apply(store: &EtcdStore, wanted: Services, id: &str) -> CommitOutcome {
    let current = load(store).await.expect("load");
    let planned = plan_change(&current, wanted, &stamp("ada", id)).expect("plan");
    commit(store, &planned).await.expect("commit")
}

/// Guards against services that are lost or get the wrong number when a catalogue is written and loaded again.
#[ntex::test]
async fn applied_catalogue_is_read_back_whole() {
    let standin = standin();
    let store = client(&standin).await;
    let names: Vec<String> = (0..200).map(|number| format!("s{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let outcome = apply(&store, services(&names), "w1").await;
    assert_eq!(outcome, CommitOutcome::Committed(1));
    let loaded = load(&store).await.expect("load");
    assert_eq!(loaded.snapshot.services.len(), 200);
    let mut numbers: Vec<u32> = loaded
        .snapshot
        .services
        .values()
        .map(|e| e.number)
        .collect();
    numbers.sort_unstable();
    assert_eq!(numbers, (1..=200).collect::<Vec<u32>>());
}

/// Guards against reusing the number of a removed service: packets of that service may still be in flight and would
/// reach the new one.
#[ntex::test]
async fn number_of_a_removed_service_is_not_used_again() {
    let standin = standin();
    let store = client(&standin).await;
    apply(&store, services(&["a", "b"]), "w1").await;
    apply(&store, services(&["a"]), "w2").await;
    apply(&store, services(&["a", "c"]), "w3").await;
    let loaded = load(&store).await.expect("load");
    assert_eq!(loaded.snapshot.services["a"].number, 1);
    assert_eq!(loaded.snapshot.services["c"].number, 3);
}

/// Guards against overwriting the change of another operator, who committed after this change was planned.
#[ntex::test]
async fn lost_race_returns_the_winning_head_and_writes_nothing() {
    let standin = standin();
    let store = client(&standin).await;
    let current = load(&store).await.expect("load");
    let own = plan_change(&current, services(&["a"]), &stamp("ada", "w1")).expect("plan");
    let other = plan_change(&current, services(&["b"]), &stamp("bob", "w2")).expect("plan");
    commit(&store, &other).await.expect("commit");
    let outcome = commit(&store, &own).await.expect("commit");
    let CommitOutcome::LostRace(Some(head)) = outcome else {
        panic!("the race is lost: {outcome:?}");
    };
    assert_eq!(
        (head.author.as_str(), &head.changed[..]),
        ("bob", &["b".to_string()][..])
    );
    let loaded = load(&store).await.expect("load");
    assert!(!loaded.snapshot.services.contains_key("a"));
}

/// Guards against a write that is reported as a lost race or is applied twice because its answer was lost.
#[ntex::test]
async fn lost_answer_is_recognised_as_its_own_write() {
    let standin = standin();
    let store = client(&standin).await;
    standin.lose_next_answer();
    let outcome = apply(&store, services(&["a"]), "w1").await;
    assert_eq!(outcome, CommitOutcome::Committed(1));
    let history = load_history(&store).await.expect("history");
    assert_eq!(history.len(), 1);
}

/// Guards against reporting that nothing was written when the outcome is unknown, because the store stopped answering
/// during the commit.
#[ntex::test]
async fn outage_during_the_commit_is_unknown_and_before_it_is_not_applied() {
    let mut standin = standin();
    let store = client(&standin).await;
    let current = load(&store).await.expect("load");
    let planned = plan_change(&current, services(&["a"]), &stamp("ada", "w1")).expect("plan");
    standin.set_mode(StandinMode::Silent);
    let error = commit(&store, &planned).await.expect_err("silent");
    assert!(matches!(error, CommitError::Unknown { .. }), "{error}");
    standin.stop();
    let fresh = client(&standin).await;
    let error = commit(&fresh, &planned).await.expect_err("down");
    assert!(matches!(error, CommitError::NotApplied(_)), "{error}");
}

/// Guards against a rollback that changes service numbers or overwrites history records.
#[ntex::test]
async fn rollback_is_a_new_revision_with_the_old_content() {
    let standin = standin();
    let store = client(&standin).await;
    apply(&store, services(&["a", "b"]), "w1").await;
    let first = load(&store).await.expect("load").snapshot;
    apply(&store, services(&["a"]), "w2").await;
    apply(&store, services(&["a", "c"]), "w3").await;
    let current = load(&store).await.expect("load");
    let history = load_history(&store).await.expect("history");
    let content = content_at(&current.snapshot, &history, 1).expect("content");
    assert_eq!(content, first);
    let planned = plan_rollback(&current, content, &stamp("ada", "w4")).expect("plan");
    let outcome = commit(&store, &planned).await.expect("commit");
    assert_eq!(outcome, CommitOutcome::Committed(4));
    let after = load(&store).await.expect("load");
    assert_eq!(after.snapshot.services, first.services);
    assert_eq!(after.head.head.expect("head").next_number, 4);
    let record = load_history(&store)
        .await
        .expect("history")
        .pop()
        .expect("record");
    assert_eq!(record.rollback_to, Some(1));
}

/// Guards against a rollback to a revision of which the history has no record.
#[test]
fn content_of_an_unknown_revision_is_refused() {
    let current = CatalogueSnapshot {
        revision: 3,
        ..CatalogueSnapshot::default()
    };
    let error = content_at(&current, &[], 2).expect_err("no history");
    assert_eq!(error, LoadError::MissingHistory { revision: 2 });
}

/// Guards against a restored catalogue that the instances ignore: after the store was rolled back, their revision is
/// higher than the store's.
#[ntex::test]
async fn restore_makes_a_revision_above_those_of_fleet_and_store() {
    let standin = standin();
    let store = client(&standin).await;
    apply(&store, services(&["a"]), "w1").await;
    let revision = standin.revision();
    apply(&store, services(&["a", "b"]), "w2").await;
    let fleet = load(&store).await.expect("load").snapshot;
    standin.roll_back(revision);
    let current = load(&store).await.expect("load");
    assert_eq!(current.snapshot.revision, 1);
    let planned = plan_restore(&current, fleet.clone(), &stamp("ada", "w3")).expect("plan");
    let outcome = commit(&store, &planned).await.expect("commit");
    assert_eq!(outcome, CommitOutcome::Committed(3));
    let after = load(&store).await.expect("load");
    assert_eq!(after.snapshot.services, fleet.services);
    assert_eq!(after.head.head.expect("head").next_number, 3);
}

/// Guards against reading all shards for every change, and against missing the removal of a service.
#[ntex::test]
async fn next_revision_needs_only_the_changed_shards() {
    let standin = standin();
    let store = client(&standin).await;
    apply(&store, services(&["a", "b", "c"]), "w1").await;
    let previous = load(&store).await.expect("load").snapshot;
    apply(&store, services(&["a", "b"]), "w2").await;
    let before = standin.counts().reads;
    let loaded = load_incremental(&store, &previous).await.expect("load");
    assert_eq!(loaded.snapshot, load(&store).await.expect("load").snapshot);
    assert_eq!(standin.counts().reads - before, 4);
}

/// Guards against a new revision without a change.
#[ntex::test]
async fn unchanged_catalogue_makes_no_revision() {
    let standin = standin();
    let store = client(&standin).await;
    apply(&store, services(&["a"]), "w1").await;
    let current = load(&store).await.expect("load");
    let error = plan_change(&current, services(&["a"]), &stamp("ada", "w2"));
    assert_eq!(error, Err(PlanError::Unchanged));
}

/// Guards against uploading a change that the store then refuses because of its size.
#[ntex::test]
async fn change_over_the_size_limit_is_refused_before_any_call() {
    let standin = standin();
    let store = client(&standin).await;
    let current = load(&store).await.expect("load");
    let mut wanted = services(&["a"]);
    let paths: Vec<String> = (0..40_000)
        .map(|number| format!(r#"{{"prefix":"/{number}","class":"bulk"}}"#))
        .collect();
    let list = format!("[{}]", paths.join(","));
    let entry = wanted.get_mut("a").expect("entry");
    entry.path_classes = serde_json::from_str(&list).expect("list");
    let error = plan_change(&current, wanted, &stamp("ada", "w1")).expect_err("too large");
    assert!(matches!(error, PlanError::ValueTooLarge { .. }), "{error}");
}

/// Guards against a panic on a truncated value in the store, and against reading it as an empty catalogue.
#[ntex::test]
async fn damaged_head_is_an_error_that_names_the_key() {
    let standin = standin();
    let store = client(&standin).await;
    standin.put(HEAD_KEY, b"{\"revision\":");
    let error = load(&store).await.expect_err("damaged");
    assert!(
        matches!(&error, LoadError::InvalidValue { key, .. } if key == HEAD_KEY),
        "{error}"
    );
    assert!(!matches!(
        error,
        LoadError::Store(StoreError::Unknown { .. })
    ));
}

/// Guards against a history that grows without limit, and against removing records that are to be kept.
#[ntex::test]
async fn history_keeps_the_last_changes() {
    let standin = standin();
    let store = client(&standin).await;
    for revision in 1..=HISTORY_KEPT {
        standin.put(&history_key(revision), b"{}");
    }
    let mut current = load(&store).await.expect("load");
    current.snapshot.revision = HISTORY_KEPT;
    let planned = plan_change(&current, services(&["feed"]), &stamp("ada", "w1")).expect("a plan");
    let outcome = commit(&store, &planned).await.expect("commit");
    assert_eq!(outcome, CommitOutcome::Committed(HISTORY_KEPT + 1));
    let keys = standin.keys(HISTORY_PREFIX);
    assert_eq!(keys.len() as u64, HISTORY_KEPT);
    assert_eq!(keys.first(), Some(&history_key(2)));
    assert_eq!(keys.last(), Some(&history_key(HISTORY_KEPT + 1)));
}
