//! The etcd client and the call budget, against a stand-in of the store.

use ntex::time::{sleep, timeout, Millis};
use quetzalhill_standins::store::{StandinMode, StoreStandin};
use quetzalhill_store::api::{
    CatalogueStore, CatalogueWatch, Compare, DeleteOp, KeyRange, PutOp, StoreError, Transaction,
    TransactionOutcome, WatchBatch, WatchEvent,
};
use quetzalhill_store::budget::{BudgetLimits, CallBudget, CallKind};
use quetzalhill_store::etcd::{EtcdSettings, EtcdStore};
use std::time::{Duration, Instant};

/// Longest wait for an expected message.
const LIMIT: Millis = Millis(5_000);

fn standin() -> StoreStandin {
    StoreStandin::start("127.0.0.1:0".parse().expect("address")).expect("stand-in")
}

async fn client(standin: &StoreStandin) -> EtcdStore {
    let mut settings = EtcdSettings::new(vec![standin.url()]);
    settings.call_timeout = Duration::from_millis(500);
    EtcdStore::new(settings).await.expect("client")
}

fn write(key: &str, value: &str, expected_revision: i64) -> Transaction {
    Transaction {
        compares: vec![Compare::ModRevision {
            key: key.into(),
            revision: expected_revision,
        }],
        puts: vec![PutOp {
            key: key.into(),
            value: value.into(),
            lease: None,
        }],
        deletes: Vec::new(),
    }
}

/// Guards against a removal of the wrong keys, and against one that takes effect although a condition does not hold.
#[ntex::test]
async fn removal_is_part_of_the_transaction() {
    let standin = standin();
    let store = client(&standin).await;
    for key in ["h/1", "h/2", "h/3"] {
        standin.put(key, b"x");
    }
    let mut transaction = write("head", "1", 7);
    transaction.deletes.push(DeleteOp {
        from: "h/0".into(),
        to: "h/3".into(),
    });
    let refused = store.commit(&transaction).await;
    assert!(matches!(refused, Ok(TransactionOutcome::Conflict(_))));
    assert_eq!(standin.keys("h/").len(), 3);
    transaction.compares.clear();
    let done = store.commit(&transaction).await;
    assert!(matches!(done, Ok(TransactionOutcome::Committed { .. })));
    assert_eq!(standin.keys("h/"), ["h/3"]);
}

/// Guards against two concurrent writers whose conditional writes both succeed.
#[ntex::test]
async fn second_writer_of_a_race_gets_a_conflict() {
    let standin = standin();
    let store = client(&standin).await;
    let first = store.commit(&write("a", "1", 0)).await;
    assert!(matches!(first, Ok(TransactionOutcome::Committed { .. })));
    let second = store.commit(&write("a", "2", 0)).await;
    assert!(matches!(second, Ok(TransactionOutcome::Conflict(_))));
    let read = store.range(&KeyRange::Key("a".into())).await.expect("read");
    assert_eq!(read.entries[0].value, b"1");
}

/// Guards against reporting a write as not applied when only its answer was lost.
#[ntex::test]
async fn lost_answer_is_unknown_and_the_write_took_effect() {
    let standin = standin();
    let store = client(&standin).await;
    standin.lose_next_answer();
    let error = store.commit(&write("a", "1", 0)).await.expect_err("lost");
    assert!(error.may_have_applied(), "{error}");
    let read = store.range(&KeyRange::Key("a".into())).await.expect("read");
    assert_eq!(read.entries[0].value, b"1");
}

/// Guards against reporting a refused connection as an unknown outcome, and against a client that does not reconnect
/// to a restarted store.
#[ntex::test]
async fn refused_connection_is_not_applied_and_the_client_recovers() {
    let mut standin = standin();
    let store = client(&standin).await;
    store.commit(&write("a", "1", 0)).await.expect("write");
    standin.stop();
    // The first call may use the pooled connection, whose end leaves the outcome unknown.
    let _ = store.commit(&write("b", "1", 0)).await;
    let error = store.commit(&write("b", "1", 0)).await.expect_err("down");
    assert!(!error.may_have_applied(), "{error}");
    standin.restart().expect("restart");
    let read = store.range(&KeyRange::Key("a".into())).await.expect("read");
    assert_eq!(read.entries.len(), 1);
}

/// Guards against a call without a timeout, and against a read that reports an unknown outcome.
#[ntex::test]
async fn silent_store_ends_in_a_timeout() {
    let standin = standin();
    let store = client(&standin).await;
    standin.set_mode(StandinMode::Silent);
    let error = store.commit(&write("a", "1", 0)).await.expect_err("silent");
    assert!(error.may_have_applied(), "{error}");
    let error = store.range(&KeyRange::Key("a".into())).await;
    assert!(!error.expect_err("silent").may_have_applied());
}

/// Guards against a client that does not fail over from an address that refuses connections.
#[ntex::test]
async fn second_address_is_used_when_the_first_refuses() {
    let mut refusing = standin();
    refusing.stop();
    let running = standin();
    let settings = EtcdSettings::new(vec![refusing.url(), running.url()]);
    let store = EtcdStore::new(settings).await.expect("client");
    store.commit(&write("a", "1", 0)).await.expect("write");
    assert!(running.value("a").is_some());
}

/// Guards against a reader slot that stays occupied after its lease has expired, and against one that is lost although
/// its lease is renewed.
#[ntex::test]
async fn key_exists_until_its_lease_expires() {
    let standin = standin();
    let store = client(&standin).await;
    let lease = store.grant(Duration::from_secs(2)).await.expect("grant");
    let mut transaction = write("slot", "me", 0);
    transaction.puts[0].lease = Some(lease.id);
    store.commit(&transaction).await.expect("write");
    for _ in 0..6 {
        sleep(Millis(400)).await;
        store.keep_alive(lease.id).await.expect("renewed");
    }
    assert!(standin.value("slot").is_some());
    let limit = Instant::now() + Duration::from_secs(10);
    while standin.value("slot").is_some() && Instant::now() < limit {
        sleep(Millis(100)).await;
    }
    assert!(standin.value("slot").is_none());
    let error = store.keep_alive(lease.id).await.expect_err("ended");
    assert_eq!(error, StoreError::LeaseNotFound { id: lease.id });
}

/// Guards against a reader slot that stays occupied after its holder has revoked the lease on stopping.
#[ntex::test]
async fn revoked_lease_removes_its_key() {
    let standin = standin();
    let store = client(&standin).await;
    let lease = store.grant(Duration::from_secs(60)).await.expect("grant");
    let mut transaction = write("slot", "me", 0);
    transaction.puts[0].lease = Some(lease.id);
    store.commit(&transaction).await.expect("write");
    store.revoke(lease.id).await.expect("revoked");
    assert!(standin.value("slot").is_none());
}

/// Skips messages without events and returns the events of the first other one.
async fn next_events<W: CatalogueWatch>(watch: &mut W) -> Vec<WatchEvent> {
    for _ in 0..10 {
        let batch = timeout(LIMIT, watch.next()).await.expect("in time");
        match batch.expect("batch") {
            WatchBatch::Events { events, .. } if !events.is_empty() => return events,
            _ => continue,
        }
    }
    panic!("ten messages without an event");
}

/// Guards against missing changes that are made between a read and the start of a watch.
#[ntex::test]
async fn watch_reports_changes_from_its_revision_on() {
    let standin = standin();
    let store = client(&standin).await;
    standin.put("p/a", b"1");
    let from = standin.revision() + 1;
    standin.put("p/b", b"2");
    standin.put("other", b"3");
    let range = KeyRange::Prefix("p/".into());
    let mut watch = store.watch(&range, from).await.expect("watch");
    let earlier = next_events(&mut watch).await;
    assert!(matches!(&earlier[..], [WatchEvent::Put(pair)] if pair.key == "p/b"));
    standin.put("p/c", b"4");
    let later = next_events(&mut watch).await;
    assert!(matches!(&later[..], [WatchEvent::Put(pair)] if pair.key == "p/c"));
    assert_eq!(standin.counts().open_watches, 1);
    assert_eq!(store.counts().open_watches, 1);
    drop(watch);
    assert_eq!(store.counts().open_watches, 0);
}

/// Guards against a watch that stays silent instead of returning an error when the store stops.
#[ntex::test]
async fn watch_ends_with_the_store() {
    let mut standin = standin();
    let store = client(&standin).await;
    let range = KeyRange::Key("a".into());
    let mut watch = store.watch(&range, 1).await.expect("watch");
    timeout(LIMIT, watch.next())
        .await
        .expect("in time")
        .expect("created");
    standin.stop();
    let end = timeout(LIMIT, watch.next()).await.expect("in time");
    assert!(end.is_err());
}

/// Guards against waiting for changes that the store has already compacted.
#[ntex::test]
async fn watch_from_a_compacted_revision_reports_the_compaction() {
    let standin = standin();
    let store = client(&standin).await;
    for value in ["1", "2", "3"] {
        standin.put("a", value.as_bytes());
    }
    standin.compact(2);
    let range = KeyRange::Key("a".into());
    let mut watch = store.watch(&range, 1).await.expect("watch");
    let mut seen = Vec::new();
    for _ in 0..2 {
        seen.push(timeout(LIMIT, watch.next()).await.expect("in time"));
    }
    assert!(seen.contains(&Ok(WatchBatch::Compacted { revision: 3 })));
}

/// Guards against a stand-in whose rollback keeps newer values.
#[ntex::test]
async fn rolled_back_store_has_the_older_value_and_revision() {
    let standin = standin();
    let store = client(&standin).await;
    standin.put("a", b"1");
    let revision = standin.revision();
    standin.put("a", b"2");
    standin.roll_back(revision);
    let read = store.range(&KeyRange::Key("a".into())).await.expect("read");
    assert_eq!(read.revision, revision);
    assert_eq!(read.entries[0].value, b"1");
}

/// Guards against an instance that exhausts the store's capacity for all others.
#[ntex::test]
async fn call_over_budget_is_refused_without_reaching_the_store() {
    let standin = standin();
    let mut settings = EtcdSettings::new(vec![standin.url()]);
    settings.limits = BudgetLimits {
        reads_per_s: 0.0,
        read_burst: 2.0,
        ..BudgetLimits::default()
    };
    let store = EtcdStore::new(settings).await.expect("client");
    let range = KeyRange::Key("a".into());
    for _ in 0..2 {
        store.range(&range).await.expect("within the budget");
    }
    let error = store.range(&range).await.expect_err("over the budget");
    assert!(matches!(error, StoreError::Budget(_)), "{error}");
    assert_eq!(standin.counts().reads, 2);
    assert_eq!(store.counts().refused, 1);
}

/// Guards against token buckets that never refill or refill beyond their burst.
#[test]
fn budget_refills_at_its_rate_up_to_its_burst() {
    let start = Instant::now();
    let limits = BudgetLimits {
        writes_per_s: 2.0,
        write_burst: 3.0,
        ..BudgetLimits::default()
    };
    let mut budget = CallBudget::new(limits, start);
    let mut charge = |after_ms: u64| {
        let now = start + Duration::from_millis(after_ms);
        budget.charge(CallKind::Write, now).is_ok()
    };
    assert_eq!(
        [charge(0), charge(0), charge(0), charge(0)],
        [true, true, true, false]
    );
    assert_eq!([charge(500), charge(500)], [true, false]);
    assert!([charge(60_000), charge(60_000), charge(60_000)]
        .iter()
        .all(|&ok| ok));
    assert!(!charge(60_000));
}
