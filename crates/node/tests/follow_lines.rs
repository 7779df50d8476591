//! Fields of the log lines that say how long a followed range was without answers, and why.

use ntex::rt::{DefaultRuntime, System};
use quetzalhill_node::relay::follow::{always_watch, follow, FollowEvent, FollowPlan};
use quetzalhill_store::api::{
    CallEnd, CatalogueStore, CatalogueWatch, KeyRange, LeaseGrant, LeaseId, RangeResult,
    StoreError, StoreRevision, Transaction, TransactionOutcome, WatchBatch,
};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time that the first poll waits before it fails.
const POLL_WAIT: Duration = Duration::from_millis(60);

/// Lines logged by this test process.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LineRecorder;

impl log::Log for LineRecorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target() == "event" {
            LINES.lock().expect("lines").push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

/// Ends of the next reads: the revision of an answer, or how the call fails.
type ReadScript = VecDeque<Result<StoreRevision, CallEnd>>;

/// A store whose reads follow a script, and whose polls fail after [`POLL_WAIT`] without an answer.
#[derive(Clone, Debug)]
struct ScriptStore(Rc<RefCell<ReadScript>>);

#[derive(Debug)]
struct FailingWatch;

fn failed(end: CallEnd) -> StoreError {
    StoreError::NotApplied {
        end,
        cause: "scripted".into(),
    }
}

impl CatalogueWatch for FailingWatch {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        sleep(POLL_WAIT).await;
        Err(failed(CallEnd::Unanswered))
    }
}

impl CatalogueStore for ScriptStore {
    type Watch = FailingWatch;

    async fn range(&self, _: &KeyRange) -> Result<RangeResult, StoreError> {
        let next = self.0.borrow_mut().pop_front();
        match next {
            Some(Ok(revision)) => Ok(RangeResult {
                era: 0,
                revision,
                entries: Vec::new(),
            }),
            Some(Err(end)) => Err(failed(end)),
            None => std::future::pending().await,
        }
    }

    async fn watch(&self, _: &KeyRange, _: StoreRevision) -> Result<FailingWatch, StoreError> {
        Ok(FailingWatch)
    }

    async fn commit(&self, _: &Transaction) -> Result<TransactionOutcome, StoreError> {
        Err(failed(CallEnd::NotMade))
    }

    async fn grant(&self, _: Duration) -> Result<LeaseGrant, StoreError> {
        Err(failed(CallEnd::NotMade))
    }

    async fn keep_alive(&self, _: LeaseId) -> Result<LeaseGrant, StoreError> {
        Err(failed(CallEnd::NotMade))
    }

    async fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        Err(failed(CallEnd::NotMade))
    }
}

/// Returns the number and the fields of a line whose values have no spaces.
fn fields_of(line: &str) -> (&str, HashMap<&str, &str>) {
    let number = line.split(' ').next().expect("a number");
    let fields = line.split(' ').filter_map(|field| field.split_once('='));
    (number, fields.collect())
}

fn millis_of(fields: &HashMap<&str, &str>, name: &str) -> u128 {
    fields[name].parse().expect("milliseconds")
}

/// Guards against lines that do not tell a silent store from a refused connection, or do not say when the follower caught
/// up and from which revision, and against one line for each of many failures of the same kind.
#[test]
fn lines_tell_the_kind_and_the_length_of_an_outage() {
    log::set_logger(&LineRecorder).expect("the only logger");
    log::set_max_level(log::LevelFilter::Info);
    // An answer, a poll that fails, three failed reads of two kinds, and an answer with a newer revision.
    let (refused, busy) = (Err(CallEnd::Refused), Err(CallEnd::Unavailable));
    let script = ReadScript::from([Ok(7), refused, refused, busy, Ok(9)]);
    let store = ScriptStore(Rc::new(RefCell::new(script)));
    let plan = FollowPlan {
        name: "routes",
        range: KeyRange::Key("k".into()),
        apply: Duration::from_secs(3),
        pause: Duration::ZERO,
        settle: Duration::ZERO,
        mode: always_watch(),
    };
    let ends = Rc::new(RefCell::new(Vec::new()));
    let recorded = ends.clone();
    System::new("lines", DefaultRuntime).block_on(async move {
        let mut answers = 0;
        let (done, finished) = tokio::sync::oneshot::channel();
        let mut done = Some(done);
        let follows = follow(store, plan, move |event| match event {
            FollowEvent::Failed(end) => recorded.borrow_mut().push(end),
            FollowEvent::Loaded { .. } => {
                answers += 1;
                if let (2, Some(done)) = (answers, done.take_if(|_| answers == 2)) {
                    done.send(()).expect("a waiting test");
                }
            }
            _ => {}
        });
        tokio::select! {
            () = follows => {}
            ended = timeout(Duration::from_secs(20), finished) => {
                ended.expect("an answer in time").expect("an answer");
            }
        }
    });
    let expected = [
        CallEnd::Unanswered,
        CallEnd::Refused,
        CallEnd::Refused,
        CallEnd::Unavailable,
    ];
    assert_eq!(*ends.borrow(), expected);

    let lines = LINES.lock().expect("lines").clone();
    let numbers: Vec<_> = lines.iter().map(|line| fields_of(line).0).collect();
    assert_eq!(
        numbers,
        ["QH4003", "QH4003", "QH4003", "QH4004"],
        "{lines:?}"
    );
    let calls = [
        ("poll", "unanswered"),
        ("read", "refused"),
        ("read", "status-503"),
    ];
    for (line, (call, end)) in lines.iter().zip(calls) {
        let (_, fields) = fields_of(line);
        let state = [fields["follows"], fields["call"], fields["end"]];
        assert_eq!(state, ["routes", call, end], "{line}");
        assert_eq!(fields["revision"], "7", "{line}");
        assert!(
            millis_of(&fields, "age_ms") >= POLL_WAIT.as_millis(),
            "{line}"
        );
        let waited = millis_of(&fields, "waited_ms");
        assert_eq!(waited >= POLL_WAIT.as_millis(), call == "poll", "{line}");
    }
    let (_, fields) = fields_of(&lines[3]);
    let state = [fields["follows"], fields["failures"]];
    assert_eq!(state, ["routes", "4"], "{}", lines[3]);
    let revisions = [fields["before"], fields["revision"]];
    assert_eq!(revisions, ["7", "9"], "{}", lines[3]);
    let (outage, age) = (
        millis_of(&fields, "outage_ms"),
        millis_of(&fields, "age_ms"),
    );
    assert!(
        outage > 0 && age >= outage + POLL_WAIT.as_millis(),
        "{}",
        lines[3]
    );
}
