//! Queue of requests that wait for a slot, by class and owner.

use super::message::{QueueOrder, RequestMeta};
use crate::catalogue::TrafficClass;
use crate::ids::{EndpointId, OwnerName, RequestId};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which the queue of a class must have been non-empty before the class counts as overloaded.
const OVERLOAD_AFTER: Duration = Duration::from_millis(100);

/// Share of the time from arrival to deadline that an owner's first request must have waited before its class counts as
/// overloaded.
///
/// Without this condition, newest-first order starts at a load of 0.9, where it only lengthens the longest waits.
const OVERLOAD_AGE: f64 = 0.25;

/// A request in the queue.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    pub(super) meta: RequestMeta,
    /// The peer that offered the request; such a request is not handed over again.
    pub(super) offered_by: Option<EndpointId>,
    /// Whether the request counts against the share of slots for long requests.
    pub(super) long: bool,
}

#[derive(Debug)]
struct OwnerQueue {
    owner: OwnerName,
    /// Virtual time of fair queueing: expected service time charged to the owner so far, in seconds.
    virtual_time: f64,
    waiting: VecDeque<WaitingRequest>,
}

#[derive(Debug, Default)]
struct ClassQueue {
    owners: Vec<OwnerQueue>,
    len: usize,
    /// Largest virtual time at which an owner was served, in seconds. An owner that was idle continues from here, so
    /// that idle time earns no credit.
    virtual_time: f64,
    nonempty_since: Option<Instant>,
}

/// Queue of one agent, with strict priority between classes and fair queueing between the owners of a class.
#[derive(Debug)]
pub(super) struct WaitQueue {
    order: QueueOrder,
    classes: [ClassQueue; 3],
}

impl WaitQueue {
    pub(super) fn new(order: QueueOrder) -> Self {
        Self {
            order,
            classes: Default::default(),
        }
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.classes.iter().map(|class| class.len).sum()
    }

    /// Returns whether the queue of `class` has been non-empty for a while and its requests are likely to miss their
    /// deadlines.
    pub(super) fn is_overloaded(&self, class: TrafficClass, now: Instant) -> bool {
        let queue = &self.classes[class.index()];
        let sustained = queue
            .nonempty_since
            .is_some_and(|since| now.saturating_duration_since(since) >= OVERLOAD_AFTER);
        let fronts = queue
            .owners
            .iter()
            .filter_map(|owner| owner.waiting.front());
        sustained
            && fronts.map(|request| &request.meta).any(|meta| {
                let time_allowed = meta.deadline.saturating_duration_since(meta.arrived);
                now.saturating_duration_since(meta.arrived) >= time_allowed.mul_f64(OVERLOAD_AGE)
            })
    }

    /// Inserts a request into its owner's queue, ordered by arrival.
    pub(super) fn insert(&mut self, request: WaitingRequest, now: Instant) {
        let class = &mut self.classes[request.meta.class.index()];
        class.len += 1;
        class.nonempty_since.get_or_insert(now);
        let known = class
            .owners
            .iter()
            .position(|queue| queue.owner == request.meta.owner);
        let index = known.unwrap_or_else(|| {
            class.owners.push(OwnerQueue {
                owner: request.meta.owner.clone(),
                virtual_time: class.virtual_time,
                waiting: VecDeque::new(),
            });
            class.owners.len() - 1
        });
        let queue = &mut class.owners[index];
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(class.virtual_time);
        }
        let later = queue.waiting.iter().rev();
        let later = later.take_while(|other| other.meta.arrived > request.meta.arrived);
        let at = queue.waiting.len() - later.count();
        queue.waiting.insert(at, request);
    }

    /// Removes and returns the next request that is `eligible`, most urgent class first.
    ///
    /// `cost` returns the expected service time in seconds, which is charged to the owner.
    pub(super) fn pop(
        &mut self,
        now: Instant,
        eligible: impl Fn(&WaitingRequest) -> bool,
        cost: impl Fn(&RequestMeta) -> f64,
    ) -> Option<WaitingRequest> {
        for class in TrafficClass::ALL {
            let newest =
                self.order == QueueOrder::NewestUnderOverload && self.is_overloaded(class, now);
            let earliest = self.order == QueueOrder::EarliestDeadline;
            let queue = &mut self.classes[class.index()];
            let Some((owner, at)) = queue.choose(newest, earliest, &eligible) else {
                continue;
            };
            let owner = &mut queue.owners[owner];
            let request = owner.waiting.remove(at)?;
            queue.virtual_time = queue.virtual_time.max(owner.virtual_time);
            owner.virtual_time += cost(&request.meta);
            queue.prune();
            return Some(request);
        }
        None
    }

    /// Returns the oldest eligible request of the most urgent class that has one.
    pub(super) fn oldest(
        &self,
        eligible: impl Fn(&WaitingRequest) -> bool,
    ) -> Option<&WaitingRequest> {
        for class in &self.classes {
            let waiting = class.owners.iter().flat_map(|owner| &owner.waiting);
            let found = waiting
                .filter(|request| eligible(request))
                .min_by_key(|request| request.meta.arrived);
            if found.is_some() {
                return found;
            }
        }
        None
    }

    /// Iterates over all requests, most urgent class first and otherwise grouped by owner.
    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        let owners = self.classes.iter().flat_map(|class| &class.owners);
        owners.flat_map(|owner| &owner.waiting)
    }

    /// Removes and returns the requests for which `predicate` returns true.
    pub(super) fn remove_if(
        &mut self,
        predicate: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let mut all_removed = Vec::new();
        for class in &mut self.classes {
            for owner in &mut class.owners {
                if !owner.waiting.iter().any(&predicate) {
                    continue;
                }
                let (removed, remaining): (VecDeque<_>, VecDeque<_>) =
                    owner.waiting.drain(..).partition(&predicate);
                owner.waiting = remaining;
                all_removed.extend(removed);
            }
            class.prune();
        }
        all_removed
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<WaitingRequest> {
        self.remove_if(|request| request.meta.id == id).pop()
    }

    /// Evicts the newest request of the least urgent class that has one and is less urgent than `class`.
    pub(super) fn evict_less_urgent(&mut self, class: TrafficClass) -> Option<WaitingRequest> {
        let less_urgent = self.classes.iter().skip(class.index() + 1).rev();
        let victim = less_urgent
            .filter_map(|queue| queue.newest())
            .map(|request| request.meta.id)
            .next()?;
        self.remove(victim)
    }
}

impl ClassQueue {
    fn choose(
        &self,
        newest: bool,
        earliest: bool,
        eligible: impl Fn(&WaitingRequest) -> bool,
    ) -> Option<(usize, usize)> {
        let mut best: Option<(f64, usize, usize)> = None;
        for (index, owner) in self.owners.iter().enumerate() {
            let mut allowed = owner.waiting.iter().enumerate().filter(|r| eligible(r.1));
            let found = match (earliest, newest) {
                (true, _) => allowed.min_by_key(|(_, request)| request.meta.deadline),
                (false, true) => allowed.next_back(),
                (false, false) => allowed.next(),
            };
            let Some((at, _)) = found else {
                continue;
            };
            if best.is_none_or(|(virtual_time, ..)| owner.virtual_time < virtual_time) {
                best = Some((owner.virtual_time, index, at));
            }
        }
        best.map(|(_, index, at)| (index, at))
    }

    fn newest(&self) -> Option<&WaitingRequest> {
        let waiting = self.owners.iter().filter_map(|owner| owner.waiting.back());
        waiting.max_by_key(|request| request.meta.arrived)
    }

    fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        self.owners
            .retain(|owner| !owner.waiting.is_empty() || owner.virtual_time > virtual_time);
        self.len = self.owners.iter().map(|owner| owner.waiting.len()).sum();
        if self.len == 0 {
            self.nonempty_since = None;
        }
    }
}
