//! A central queue that knows every slot and every service time at once: the limit to compare with.
//!
//! A request still takes the delay to an agent that is not its home, during which the slot is reserved, and its
//! answer takes the delay back.

use super::outcome::{JobEnd, RunResult};
use super::workload::{PoolShape, Seconds, TraceJob};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

struct CentralQueue<'a> {
    shape: PoolShape,
    jobs: &'a [TraceJob],
    free: Vec<u16>,
    /// Class, then order of arrival.
    waiting: BTreeSet<(usize, usize)>,
    /// Time in nanoseconds, agent.
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    result: RunResult,
}

/// Runs a trace through the central queue.
pub fn run_central(shape: PoolShape, jobs: &[TraceJob]) -> RunResult {
    let mut queue = CentralQueue {
        shape,
        jobs,
        free: vec![shape.slots; shape.agents],
        waiting: BTreeSet::new(),
        ends: BinaryHeap::new(),
        result: RunResult::new(jobs.len()),
    };
    for (index, job) in jobs.iter().enumerate() {
        queue.free_until(job.at);
        queue.waiting.insert((job.class.index(), index));
        queue.start(job.at);
    }
    queue.free_until(f64::MAX);
    queue.result
}

impl CentralQueue<'_> {
    fn free_until(&mut self, until: Seconds) {
        while let Some(Reverse((nanos, agent))) = self.ends.peek().copied() {
            let at = nanos as f64 / 1e9;
            if at > until {
                break;
            }
            self.ends.pop();
            self.free[agent] += 1;
            self.start(at);
        }
    }

    fn start(&mut self, now: Seconds) {
        while let Some((class, index)) = self.waiting.first().copied() {
            let job = &self.jobs[index];
            let home_free = self.free[job.home] > 0;
            let most = (0..self.free.len()).max_by_key(|agent| self.free[*agent]);
            let agent = if home_free {
                job.home
            } else {
                most.unwrap_or(0)
            };
            if self.free[agent] == 0 {
                return;
            }
            self.waiting.remove(&(class, index));
            let delay = match agent == job.home {
                true => 0.0,
                false => self.shape.delay,
            };
            let end = now + delay + job.service;
            if end + delay > job.at + job.patience {
                self.result.ends[index] = JobEnd::Refused;
                continue;
            }
            self.free[agent] -= 1;
            self.ends.push(Reverse(((end * 1e9) as u64, agent)));
            self.result.work.push((now + delay, job.service, agent));
            let at = end + delay;
            self.result.ends[index] = JobEnd::Answered { at, agent };
        }
    }
}
