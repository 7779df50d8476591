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
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// What a follower learns.
#[derive(Debug)]
pub enum FollowEvent {
    /// All keys of the range, in place of what was known.
    Loaded(Vec<KeyValue>),
    /// Changes since then; empty if a poll found none.
    Changed(Vec<WatchEvent>),
    /// Changes from now on are noticed late, because the follower pauses between two polls.
    Pausing,
    /// The follower polls again.
    Polling,
    /// The store does not answer; what was known stays.
    Failed,
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
    /// Ends a pause early.
    pub hurry: Rc<Notify>,
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
        rng: SmallRng::from_os_rng(),
    };
    loop {
        match store.range(&plan.range).await {
            Ok(result) => {
                failures.ended();
                sink(FollowEvent::Loaded(result.entries));
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
                    sink(FollowEvent::Pausing);
                    // The end of the pause and a call to hurry have the same effect.
                    let _ = timeout(plan.pause, plan.hurry.notified()).await;
                    sink(FollowEvent::Polling);
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

    async fn pause(&mut self, error: &StoreError) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            emit(
                EventCode::StoreUnavailable,
                &[("follows", &self.name), ("error", error)],
            );
        }
        let pause = backoff(self.count, &mut self.rng) + PAUSE_MIN;
        let millis = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
        sleep(Millis(millis)).await;
    }
}

/// Shortest pause between two calls to a store that does not answer, each of which it counts.
const PAUSE_MIN: Duration = Duration::from_millis(100);
