//! Follows a range of keys in the store: reads the range, then watches it for changes.

use crate::event::{emit, EventCode};
use ntex::time::{sleep, Millis};
use quetzalhill_core::retry::backoff;
use quetzalhill_store::api::{
    CallEnd, CatalogueStore, CatalogueWatch, KeyRange, KeyValue, StoreEra, StoreError,
    StoreRevision, WatchBatch, WatchEvent,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, timeout, timeout_at};

/// Call from which state or a failure came, in logs and metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowSource {
    /// A read of the whole range by [`follow`].
    Read,
    /// A read of the whole range by [`follow`] from a replica, which may miss changes.
    Replica,
    /// A poll for changes.
    Poll,
    /// A read by [`confirm`].
    Confirm,
}

impl FollowSource {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            FollowSource::Read => "read",
            FollowSource::Replica => "replica",
            FollowSource::Poll => "poll",
            FollowSource::Confirm => "confirm",
        }
    }
}

/// An event of a followed range.
#[derive(Debug)]
pub enum FollowEvent {
    /// A read of the whole range, which replaces all earlier state.
    Loaded {
        /// All keys of the range with their values.
        entries: Vec<KeyValue>,
        /// Era of the store that answered; 0 if it is not known.
        era: StoreEra,
        /// Store revision of the read.
        revision: StoreRevision,
        /// When the read began; changes made after this point in time may be missing. `None` for a read that may miss
        /// earlier changes too.
        read: Option<Instant>,
        /// Call that returned the keys.
        source: FollowSource,
    },
    /// Changes since the last event.
    Changed {
        /// Changes in the order of their revisions; empty if a poll found none.
        events: Vec<WatchEvent>,
        /// Era of the store that answered; 0 if it is not known.
        era: StoreEra,
        /// Store revision at the time of the answer.
        revision: StoreRevision,
    },
    /// The store did not answer; the state read so far stays valid.
    Failed(CallEnd),
    /// A read that was requested from [`confirm`] is about to begin.
    ConfirmStarted,
    /// The store did not answer the read of [`confirm`]; the next request repeats it.
    ConfirmFailed(CallEnd),
}

/// How [`follow`] learns of changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowMode {
    /// Watches the range, and so learns of each change at once, and soon of a lost answer.
    Watch,
    /// Watches the range with fewer calls, while another entry tells when an answer was lost.
    LongWatch,
    /// Reads the range seldom, from a replica; changes arrive in another way.
    Poll,
}

impl FollowMode {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            FollowMode::Watch => "watch",
            FollowMode::LongWatch => "long-watch",
            FollowMode::Poll => "poll",
        }
    }
}

/// Range and polling of [`follow`].
#[derive(Debug)]
pub struct FollowPlan {
    /// Name of the follower in the log field `follows`.
    pub name: &'static str,
    /// Keys to follow.
    pub range: KeyRange,
    /// Time within which a change has to be applied after an outage; the pauses during one follow from it.
    pub apply: Duration,
    /// Pause after a watch has returned changes, so that the next call returns several changes at once.
    pub pause: Duration,
    /// Pause between a read of the range and the watch, which finds the changes made meanwhile.
    pub settle: Duration,
    /// How to learn of changes; may change at any time.
    pub mode: watch::Receiver<FollowMode>,
}

/// Returns the mode of a range that is always watched.
pub fn always_watch() -> watch::Receiver<FollowMode> {
    watch::channel(FollowMode::Watch).1
}

/// Follows a range of keys until the future is dropped.
pub async fn follow<S: CatalogueStore>(
    store: S,
    mut plan: FollowPlan,
    mut sink: impl FnMut(FollowEvent),
) {
    let mut failures = FailureLog {
        name: plan.name,
        outage: None,
        revision: 0,
        confirmed: None,
        loaded: false,
        outage_pause: OUTAGE_PAUSE_MAX.min(plan.apply.mul_f64(OUTAGE_PAUSE_PART)),
        backoff_max: plan.apply / BACKOFF_PARTS,
        rng: SmallRng::from_os_rng(),
    };
    loop {
        let mode = *plan.mode.borrow_and_update();
        let read = Instant::now();
        let (source, result) = match mode {
            FollowMode::Poll => (FollowSource::Replica, store.range_stale(&plan.range).await),
            FollowMode::Watch | FollowMode::LongWatch => {
                (FollowSource::Read, store.range(&plan.range).await)
            }
        };
        match result {
            Ok(result) => {
                failures.record_success(result.revision, read);
                failures.loaded = true;
                let (records, revision) = (result.entries.len(), result.revision);
                let era = match result.era {
                    0 => store.era(),
                    era => era,
                };
                sink(FollowEvent::Loaded {
                    entries: result.entries,
                    era,
                    revision,
                    read: (mode != FollowMode::Poll).then_some(read),
                    source,
                });
                let mut left = WatchEnd::Reopen(revision.saturating_add(1));
                if mode != FollowMode::Poll {
                    pause_unless_restored(&store, era, plan.settle).await;
                }
                while let WatchEnd::Reopen(from) = left {
                    let position = WatchPosition { era, from };
                    left = watch_range(&store, &mut plan, position, &mut failures, &mut sink).await;
                }
                if left == WatchEnd::ModeChanged {
                    wait_for_poll(&mut plan, records, &mut failures.rng).await;
                }
            }
            Err(error) => {
                sink(FollowEvent::Failed(error.end()));
                failures.pause(source, read, &error).await;
            }
        }
    }
}

/// Waits until the next poll is due or the range has to be watched.
async fn wait_for_poll(plan: &mut FollowPlan, records: usize, rng: &mut SmallRng) {
    let records = u32::try_from(records).unwrap_or(u32::MAX);
    let interval = Duration::from_secs_f64(f64::from(records) / POLL_RECORDS_PER_S);
    let interval = interval
        .max(POLL_INTERVAL_MIN)
        .mul_f64(rng.random_range(0.8..1.2));
    let deadline = tokio::time::Instant::now() + interval;
    let watched = plan.mode.wait_for(|mode| *mode != FollowMode::Poll);
    // A mode that never changes any more is an error at once; the poll still has to wait.
    if let Ok(Err(_)) = timeout_at(deadline, watched).await {
        sleep_until(deadline).await;
    }
}

/// Reads the whole range again each time that `requests` is notified, until the future is dropped.
///
/// A long poll without an answer does not show that nothing has changed: the store may be slow, or the connection may be
/// dead. Only a new read shows the state of the range at the time the read began.
pub async fn confirm<S: CatalogueStore>(
    store: S,
    range: KeyRange,
    requests: Rc<Notify>,
    mut sink: impl FnMut(FollowEvent),
) {
    loop {
        requests.notified().await;
        sink(FollowEvent::ConfirmStarted);
        let read = Instant::now();
        match store.range(&range).await {
            Ok(result) => sink(FollowEvent::Loaded {
                entries: result.entries,
                era: result.era,
                revision: result.revision,
                read: Some(read),
                source: FollowSource::Confirm,
            }),
            // `follow` notices and logs the outage of the store. The caller has to request another read.
            Err(error) => sink(FollowEvent::ConfirmFailed(error.end())),
        }
        tokio::time::sleep(CONFIRM_PAUSE).await;
    }
}

/// Why [`watch_range`] has returned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WatchEnd {
    /// The range has to be read again at once.
    Reread,
    /// The range has to be watched in another mode, from this revision on.
    Reopen(StoreRevision),
    /// The range need not be watched any longer.
    ModeChanged,
}

/// Change from which a range is watched.
#[derive(Clone, Copy, Debug)]
struct WatchPosition {
    /// Era in which the revision counts; 0 if it is not known.
    era: StoreEra,
    from: StoreRevision,
}

/// Waits for `pause`, or until the store is known to have been restored since `era`.
async fn pause_unless_restored<S: CatalogueStore>(store: &S, era: StoreEra, pause: Duration) {
    // That the time has passed is the usual end.
    let _ = timeout(pause, store.wait_for_restore(era)).await;
}

/// Watches until the store has compacted the revisions that the watch needs, was restored from an older copy, or does not
/// answer. The caller then reads the range again, because a read shows sooner than a long poll that the store is back.
async fn watch_range<S: CatalogueStore>(
    store: &S,
    plan: &mut FollowPlan,
    position: WatchPosition,
    failures: &mut FailureLog,
    sink: &mut impl FnMut(FollowEvent),
) -> WatchEnd {
    let WatchPosition { era, mut from } = position;
    let opened = Instant::now();
    let mode = *plan.mode.borrow_and_update();
    let watch = match mode {
        FollowMode::Watch => store.watch(&plan.range, from).await,
        FollowMode::LongWatch => store.watch_long(&plan.range, from).await,
        FollowMode::Poll => return WatchEnd::ModeChanged,
    };
    let mut watch = match watch {
        Ok(watch) => watch,
        Err(error) => {
            sink(FollowEvent::Failed(error.end()));
            failures.pause(FollowSource::Poll, opened, &error).await;
            return WatchEnd::Reread;
        }
    };
    loop {
        let polled = Instant::now();
        let batch = tokio::select! {
            batch = watch.next() => batch,
            // Nobody tells of a lost answer any longer; the poll that waits may have lost its own.
            Ok(_) = plan.mode.wait_for(|mode| *mode == FollowMode::Watch), if mode == FollowMode::LongWatch => {
                return WatchEnd::Reopen(from);
            }
            // The poll may stay open for long, and its revisions are those of other changes now. That holds at once if the
            // store was restored since the range was read.
            () = store.wait_for_restore(era) => return WatchEnd::Reread,
        };
        match batch {
            Ok(WatchBatch::Events {
                era: told,
                events,
                revision,
            }) => {
                failures.record_success(revision, Instant::now());
                from = from.max(revision.saturating_add(1));
                let changed = !events.is_empty();
                sink(FollowEvent::Changed {
                    events,
                    era: told,
                    revision,
                });
                let wanted = *plan.mode.borrow();
                if wanted == FollowMode::Poll {
                    return WatchEnd::ModeChanged;
                }
                if changed {
                    pause_unless_restored(store, era, plan.pause).await;
                }
                if wanted != mode {
                    return WatchEnd::Reopen(from);
                }
            }
            Ok(WatchBatch::Compacted { .. }) => return WatchEnd::Reread,
            Err(error) => {
                sink(FollowEvent::Failed(error.end()));
                failures.pause(FollowSource::Poll, polled, &error).await;
                return WatchEnd::Reread;
            }
        }
    }
}

/// Consecutive failures of the calls of one follower.
#[derive(Clone, Copy, Debug)]
struct Outage {
    /// When the first failure was noticed.
    since: Instant,
    /// Number of failures.
    count: u32,
    /// How the last logged call ended.
    end: CallEnd,
}

/// Counts consecutive failures, logs the first of them, each change of their kind and the recovery, and waits between
/// attempts.
struct FailureLog {
    name: &'static str,
    /// Failures since the last answer.
    outage: Option<Outage>,
    /// Store revision of the last answer; 0 before the first one.
    revision: StoreRevision,
    /// Start of the last read that was answered, or arrival of the last answer to a poll, whichever is later.
    confirmed: Option<Instant>,
    /// Whether the range has been read once; from then on an outage of the store only delays changes.
    loaded: bool,
    /// Shortest pause during an outage once the range has been read.
    outage_pause: Duration,
    /// Longest backoff in addition to the shortest pause.
    backoff_max: Duration,
    rng: SmallRng,
}

impl FailureLog {
    /// Records an answer, which shows the range as of `confirmed`, and logs the end of an outage.
    fn record_success(&mut self, revision: StoreRevision, confirmed: Instant) {
        if let Some(outage) = self.outage.take() {
            let now = Instant::now();
            emit(
                EventCode::StoreAvailable,
                &[
                    ("follows", &self.name),
                    ("failures", &outage.count),
                    ("outage_ms", &(now - outage.since).as_millis()),
                    ("age_ms", &self.age_ms(now)),
                    ("revision", &revision),
                    ("before", &self.revision),
                ],
            );
        }
        self.revision = revision;
        self.confirmed = Some(confirmed);
    }

    /// Returns the time since the store confirmed the state, in milliseconds; 0 before the first answer.
    fn age_ms(&self, now: Instant) -> u128 {
        let age = self.confirmed.map(|confirmed| now - confirmed);
        age.unwrap_or_default().as_millis()
    }

    /// Returns the minimum pause before the next attempt. It is short after the first failures, so that an interrupted
    /// watch is opened again soon.
    fn pause_min(&self, count: u32) -> Duration {
        match self.loaded && count > TRANSIENT_FAILURES_MAX {
            true => self.outage_pause,
            false => PAUSE_MIN,
        }
    }

    /// Records the failure of a call that began at `began`, and waits before the next attempt.
    async fn pause(&mut self, call: FollowSource, began: Instant, error: &StoreError) {
        let now = Instant::now();
        let end = error.end();
        let before = self.outage;
        let count = before.map_or(0, |outage| outage.count).saturating_add(1);
        self.outage = Some(Outage {
            since: before.map_or(now, |outage| outage.since),
            count,
            end,
        });
        if before.is_none_or(|outage| outage.end != end) {
            emit(
                EventCode::StoreUnavailable,
                &[
                    ("follows", &self.name),
                    ("call", &call.name()),
                    ("end", &end.name()),
                    ("waited_ms", &(now - began).as_millis()),
                    ("revision", &self.revision),
                    ("age_ms", &self.age_ms(now)),
                    ("error", error),
                ],
            );
        }
        let pause = backoff(count, &mut self.rng).min(self.backoff_max) + self.pause_min(count);
        let millis = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
        sleep(Millis(millis)).await;
    }
}

/// Pause between two reads by [`confirm`]. All flows that need one in between share one call, and so do the entries of
/// a zone. A caller retransmits a packet after 200 ms.
const CONFIRM_PAUSE: Duration = Duration::from_millis(100);

/// Shortest interval between two polls of a range that is not watched.
const POLL_INTERVAL_MIN: Duration = Duration::from_secs(10);

/// Records that polls read per second on average, about 2 KB; polls of a long list are rarer.
const POLL_RECORDS_PER_S: f64 = 14.0;

/// Shortest pause between two calls to a store that does not answer. The store counts these calls too.
const PAUSE_MIN: Duration = Duration::from_millis(100);

/// Longest pause after one of the first failures, with the backoff.
pub(crate) const TRANSIENT_PAUSE_MAX: Duration = Duration::from_millis(110);

/// Maximum number of consecutive failures that do not yet count as an outage of the store.
const TRANSIENT_FAILURES_MAX: u32 = 2;

/// Largest value of the shortest pause during an outage once the range has been read.
const OUTAGE_PAUSE_MAX: Duration = Duration::from_millis(900);

/// Part of the time for a change that the shortest pause during an outage takes. A call that hangs when the outage ends,
/// the pause with its backoff and a read have to fit into that time.
const OUTAGE_PAUSE_PART: f64 = 0.3;

/// Divisor of the time for a change that gives the longest backoff.
const BACKOFF_PARTS: u32 = 6;
