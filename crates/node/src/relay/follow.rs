//! Follows a range of keys in the store: reads it once, then watches it.

use crate::event::{emit, EventCode};
use ntex::time::{sleep, Millis};
use quetzalhill_core::retry::backoff;
use quetzalhill_store::api::{
    CatalogueStore, CatalogueWatch, KeyRange, KeyValue, StoreError, StoreRevision, WatchBatch,
    WatchEvent,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// What a follower learns.
#[derive(Debug)]
pub enum FollowEvent {
    /// All keys of the range, in place of what was known.
    Loaded {
        /// The keys.
        entries: Vec<KeyValue>,
        /// When the read began; later changes may be missing.
        read: Instant,
    },
    /// Changes since then; empty if a poll found none.
    Changed(Vec<WatchEvent>),
    /// The store does not answer; what was known stays.
    Failed,
    /// The range is about to be read once more because of a doubt.
    Confirming,
    /// A confirmation was not answered; the next doubt asks again.
    Unconfirmed,
}

/// What a follower follows, and how.
#[derive(Debug)]
pub struct FollowPlan {
    /// Tells followers apart in the log.
    pub name: &'static str,
    /// The keys.
    pub range: KeyRange,
    /// Pause after a poll that found changes, which gathers several changes in one call.
    pub pause: Duration,
}

/// Follows a range of keys until the future is dropped.
pub async fn follow<S: CatalogueStore>(
    store: S,
    plan: FollowPlan,
    mut sink: impl FnMut(FollowEvent),
) {
    let mut failures = FailureLog {
        name: plan.name.into(),
        count: 0,
        loaded: false,
        rng: SmallRng::from_os_rng(),
    };
    loop {
        let read = Instant::now();
        match store.range(&plan.range).await {
            Ok(result) => {
                failures.ended();
                failures.loaded = true;
                let entries = result.entries;
                sink(FollowEvent::Loaded { entries, read });
                let from = result.revision.saturating_add(1);
                watch(&store, &plan, from, &mut failures, &mut sink).await;
            }
            Err(error) => {
                sink(FollowEvent::Failed);
                failures.pause(&error).await;
            }
        }
    }
}

/// Reads the whole range once more each time that `asked` is notified, until the future is dropped.
///
/// A long poll says nothing about what it does not answer yet: the store may be slow, or the connection silent. Only
/// a read shows that the range has not changed until the read began.
pub async fn confirm<S: CatalogueStore>(
    store: S,
    range: KeyRange,
    asked: Rc<Notify>,
    mut sink: impl FnMut(FollowEvent),
) {
    loop {
        asked.notified().await;
        sink(FollowEvent::Confirming);
        let read = Instant::now();
        match store.range(&range).await {
            Ok(result) => sink(FollowEvent::Loaded {
                entries: result.entries,
                read,
            }),
            // The follower of the range notices and logs that the store is away; the doubt stays.
            Err(_) => sink(FollowEvent::Unconfirmed),
        }
        tokio::time::sleep(CONFIRM_PAUSE).await;
    }
}

/// Watches until the store has lost the history that the watch needs, or does not answer. A read shows sooner than
/// a long poll that the store is back.
async fn watch<S: CatalogueStore>(
    store: &S,
    plan: &FollowPlan,
    from: StoreRevision,
    failures: &mut FailureLog,
    sink: &mut impl FnMut(FollowEvent),
) {
    let mut watch = match store.watch(&plan.range, from).await {
        Ok(watch) => watch,
        Err(error) => {
            sink(FollowEvent::Failed);
            return failures.pause(&error).await;
        }
    };
    loop {
        match watch.next().await {
            Ok(WatchBatch::Events { events, .. }) => {
                failures.ended();
                let changed = !events.is_empty();
                sink(FollowEvent::Changed(events));
                if changed {
                    tokio::time::sleep(plan.pause).await;
                }
            }
            Ok(WatchBatch::Compacted { .. }) => return,
            Err(error) => {
                sink(FollowEvent::Failed);
                return failures.pause(&error).await;
            }
        }
    }
}

/// Counts failures in a row and says when they begin and end.
struct FailureLog {
    name: String,
    count: u32,
    /// Whether the range has been read once, so that an outage of the store delays only changes.
    loaded: bool,
    rng: SmallRng,
}

impl FailureLog {
    fn ended(&mut self) {
        if self.count > 0 {
            let fields: [(&str, &dyn std::fmt::Display); 2] =
                [("follows", &self.name), ("failures", &self.count)];
            emit(EventCode::StoreAvailable, &fields);
        }
        self.count = 0;
    }

    /// Returns the shortest pause after the last failure. A watch that was cut is opened again at once.
    fn pause_min(&self) -> Duration {
        match self.loaded && self.count > QUICK_FAILURES {
            true => OUTAGE_PAUSE,
            false => PAUSE_MIN,
        }
    }

    async fn pause(&mut self, error: &StoreError) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            emit(
                EventCode::StoreUnavailable,
                &[("follows", &self.name), ("error", error)],
            );
        }
        let pause = backoff(self.count, &mut self.rng) + self.pause_min();
        let millis = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
        sleep(Millis(millis)).await;
    }
}

/// Pause between two confirmations. All flows that come up in between share one call; a caller repeats a packet
/// after 200 ms.
const CONFIRM_PAUSE: Duration = Duration::from_millis(200);

/// Shortest pause between two calls to a store that does not answer, each of which it counts.
const PAUSE_MIN: Duration = Duration::from_millis(100);

/// Failures in a row that do not yet mean an outage.
const QUICK_FAILURES: u32 = 2;

/// Shortest pause during an outage once the range is known. A change is due everywhere within three seconds, counted from
/// four seconds after the end of the outage.
const OUTAGE_PAUSE: Duration = Duration::from_millis(900);
