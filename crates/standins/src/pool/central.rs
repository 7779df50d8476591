//! An ideal central queue, the reference with which the pool is compared.
//!
//! The queue sees the free slots of all agents and the work of each request immediately. A request that runs on another
//! agent than its ingress agent still takes the network delay in both directions, and its slot is reserved from the
//! decision on.

use super::outcome::{JobOutcome, RunResult};
use super::workload::{PoolShape, Seconds, TraceJob};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

struct CentralQueue<'a> {
    shape: PoolShape,
    jobs: &'a [TraceJob],
    free_slots: Vec<u16>,
    /// Class and index of each waiting request; the smallest pair starts first.
    waiting: BTreeSet<(usize, usize)>,
    /// Time in nanoseconds at which a slot becomes free, and its agent.
    completions: BinaryHeap<Reverse<(u64, usize)>>,
    result: RunResult,
}

/// Runs the requests, which are sorted by arrival, through the central queue.
pub fn run_central(shape: PoolShape, jobs: &[TraceJob]) -> RunResult {
    let mut queue = CentralQueue {
        shape,
        jobs,
        free_slots: vec![shape.slots; shape.agents],
        waiting: BTreeSet::new(),
        completions: BinaryHeap::new(),
        result: RunResult::new(jobs.len()),
    };
    for (index, job) in jobs.iter().enumerate() {
        queue.complete_until(job.arrival);
        queue.waiting.insert((job.class.index(), index));
        queue.start_waiting(job.arrival);
    }
    queue.complete_until(f64::MAX);
    queue.result
}

impl CentralQueue<'_> {
    fn complete_until(&mut self, until: Seconds) {
        while let Some(Reverse((at_ns, agent))) = self.completions.peek().copied() {
            let at = at_ns as f64 / 1e9;
            if at > until {
                break;
            }
            self.completions.pop();
            self.free_slots[agent] += 1;
            self.start_waiting(at);
        }
    }

    fn start_waiting(&mut self, now: Seconds) {
        while let Some((class, index)) = self.waiting.first().copied() {
            let job = &self.jobs[index];
            let ingress_free = self.free_slots[job.ingress] > 0;
            let least_busy = (0..self.free_slots.len()).max_by_key(|agent| self.free_slots[*agent]);
            let agent = if ingress_free {
                job.ingress
            } else {
                least_busy.unwrap_or(0)
            };
            if self.free_slots[agent] == 0 {
                return;
            }
            self.waiting.remove(&(class, index));
            let delay = match agent == job.ingress {
                true => 0.0,
                false => self.shape.delay,
            };
            let end = now + delay + job.work;
            if end + delay > job.arrival + job.timeout {
                self.result.outcomes[index] = JobOutcome::Refused;
                continue;
            }
            self.free_slots[agent] -= 1;
            self.completions.push(Reverse(((end * 1e9) as u64, agent)));
            self.result.work.push((now + delay, job.work, agent));
            let at = end + delay;
            self.result.outcomes[index] = JobOutcome::Answered { at, agent };
        }
    }
}
