//! Requests that wait for a slot, by class and owner.

use super::message::{QueueOrder, RequestMeta};
use crate::catalogue::TrafficClass;
use crate::ids::{EndpointId, OwnerName, RequestId};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A class that has waited without a break for this long is overloaded.
const OVERLOAD_AFTER: Duration = Duration::from_millis(100);

/// A class is overloaded only while its oldest request has used up this share of the time to its deadline.
///
/// Without it, newest first sets in at 0.9 load, where it only lengthens the longest waits.
const OVERLOAD_AGE: f64 = 0.25;

/// A request in the queue.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    /// The request.
    pub(super) meta: RequestMeta,
    /// The peer that offered it; such a request is not handed on.
    pub(super) from: Option<EndpointId>,
    /// Whether it is bounded by the share of long work.
    pub(super) long: bool,
}

#[derive(Debug)]
struct OwnerQueue {
    owner: OwnerName,
    /// Work that the owner has had, in seconds of expected service time.
    used: f64,
    waiting: VecDeque<WaitingRequest>,
}

#[derive(Debug, Default)]
struct ClassQueue {
    owners: Vec<OwnerQueue>,
    len: usize,
    /// Work of the owner served last; an owner that returns starts from there and saves up no claim.
    floor: f64,
    busy_since: Option<Instant>,
}

/// Queue of one agent: by class, fair between the owners of a class.
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

    /// Returns whether the requests of `class` have waited without a break and begin to miss their deadlines.
    pub(super) fn is_overloaded(&self, class: TrafficClass, now: Instant) -> bool {
        let queue = &self.classes[class.index()];
        let long = queue
            .busy_since
            .is_some_and(|since| now.saturating_duration_since(since) >= OVERLOAD_AFTER);
        let fronts = queue
            .owners
            .iter()
            .filter_map(|owner| owner.waiting.front());
        long && fronts.map(|request| &request.meta).any(|meta| {
            let patience = meta.deadline.saturating_duration_since(meta.arrived);
            now.saturating_duration_since(meta.arrived) >= patience.mul_f64(OVERLOAD_AGE)
        })
    }

    /// Adds a request at the position of its arrival.
    pub(super) fn insert(&mut self, request: WaitingRequest, now: Instant) {
        let class = &mut self.classes[request.meta.class.index()];
        class.len += 1;
        class.busy_since.get_or_insert(now);
        let known = class
            .owners
            .iter()
            .position(|queue| queue.owner == request.meta.owner);
        let index = known.unwrap_or_else(|| {
            class.owners.push(OwnerQueue {
                owner: request.meta.owner.clone(),
                used: class.floor,
                waiting: VecDeque::new(),
            });
            class.owners.len() - 1
        });
        let queue = &mut class.owners[index];
        if queue.waiting.is_empty() {
            queue.used = queue.used.max(class.floor);
        }
        let later = queue.waiting.iter().rev();
        let later = later.take_while(|other| other.meta.arrived > request.meta.arrived);
        let at = queue.waiting.len() - later.count();
        queue.waiting.insert(at, request);
    }

    /// Takes the next request that `eligible` allows, most urgent class first.
    ///
    /// `cost` gives the expected service time in seconds, which is charged to the owner.
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
            queue.floor = queue.floor.max(owner.used);
            owner.used += cost(&request.meta);
            queue.shrink();
            return Some(request);
        }
        None
    }

    /// Returns the request that `pop` would take with the oldest first.
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

    /// Returns all requests, most urgent class first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        let owners = self.classes.iter().flat_map(|class| &class.owners);
        owners.flat_map(|owner| &owner.waiting)
    }

    /// Takes the requests for which `drop` holds.
    pub(super) fn take_if(
        &mut self,
        drop: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let mut taken = Vec::new();
        for class in &mut self.classes {
            for owner in &mut class.owners {
                if !owner.waiting.iter().any(&drop) {
                    continue;
                }
                let (gone, kept): (VecDeque<_>, VecDeque<_>) =
                    owner.waiting.drain(..).partition(&drop);
                owner.waiting = kept;
                taken.extend(gone);
            }
            class.shrink();
        }
        taken
    }

    /// Takes one request.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<WaitingRequest> {
        self.take_if(|request| request.meta.id == id).pop()
    }

    /// Takes the newest request of the least urgent class that is less urgent than `class`.
    pub(super) fn displace(&mut self, class: TrafficClass) -> Option<WaitingRequest> {
        let lesser = self.classes.iter().skip(class.index() + 1).rev();
        let victim = lesser
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
            if best.is_none_or(|(used, ..)| owner.used < used) {
                best = Some((owner.used, index, at));
            }
        }
        best.map(|(_, index, at)| (index, at))
    }

    fn newest(&self) -> Option<&WaitingRequest> {
        let waiting = self.owners.iter().filter_map(|owner| owner.waiting.back());
        waiting.max_by_key(|request| request.meta.arrived)
    }

    fn shrink(&mut self) {
        let floor = self.floor;
        self.owners
            .retain(|owner| !owner.waiting.is_empty() || owner.used > floor);
        self.len = self.owners.iter().map(|owner| owner.waiting.len()).sum();
        if self.len == 0 {
            self.busy_since = None;
        }
    }
}
