//! Delayed execution with a finer resolution than the timers of the async runtime, whose ticks are milliseconds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Instant;

type DueTask = Box<dyn FnOnce() + Send>;

struct DelayedTask {
    due: Instant,
    order: u64,
    task: DueTask,
}

impl PartialEq for DelayedTask {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}

impl Eq for DelayedTask {}

impl PartialOrd for DelayedTask {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DelayedTask {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}

#[derive(Default)]
struct LineState {
    tasks: BinaryHeap<Reverse<DelayedTask>>,
    order: u64,
    stopped: bool,
}

#[derive(Default)]
struct LineShared {
    state: Mutex<LineState>,
    wake: Condvar,
}

impl LineShared {
    fn lock(&self) -> MutexGuard<'_, LineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs tasks on one thread, each when it is due. Dropping it discards the tasks that have not run.
pub struct DelayLine {
    shared: Arc<LineShared>,
    thread: Option<JoinHandle<()>>,
}

impl Default for DelayLine {
    fn default() -> Self {
        Self::start()
    }
}

impl DelayLine {
    /// Starts the thread, with no tasks.
    pub fn start() -> Self {
        let shared = Arc::new(LineShared::default());
        let worker = Arc::clone(&shared);
        let thread = thread::spawn(move || run(&worker));
        Self {
            shared,
            thread: Some(thread),
        }
    }

    /// Returns a handle with which other threads add tasks.
    pub fn handle(&self) -> DelayHandle {
        DelayHandle(Arc::clone(&self.shared))
    }
}

impl Drop for DelayLine {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        self.shared.wake.notify_one();
        if let Some(thread) = self.thread.take() {
            // A panic of a task has been printed already.
            let _ = thread.join();
        }
    }
}

/// Adds tasks to a [`DelayLine`].
#[derive(Clone)]
pub struct DelayHandle(Arc<LineShared>);

impl DelayHandle {
    /// Schedules `task` for `due`. Tasks that are due at the same time run in the order in which they were added.
    pub fn run_at(&self, due: Instant, task: impl FnOnce() + Send + 'static) {
        let mut state = self.0.lock();
        state.order += 1;
        let order = state.order;
        state.tasks.push(Reverse(DelayedTask {
            due,
            order,
            task: Box::new(task),
        }));
        self.0.wake.notify_one();
    }
}

fn run(shared: &LineShared) {
    let mut state = shared.lock();
    while !state.stopped {
        let now = Instant::now();
        let Some(Reverse(next)) = state.tasks.peek() else {
            state = shared
                .wake
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
            continue;
        };
        if next.due > now {
            let pause = next.due - now;
            let (guard, _) = shared
                .wake
                .wait_timeout(state, pause)
                .unwrap_or_else(PoisonError::into_inner);
            state = guard;
            continue;
        }
        let Some(Reverse(next)) = state.tasks.pop() else {
            continue;
        };
        drop(state);
        (next.task)();
        state = shared.lock();
    }
}
