//! Decides where and when each request of an agent runs.
//!
//! The agents of one service form a pool: a request that finds no free local slot is handed over to a peer whose last
//! report shows one, and an agent with a free slot pulls waiting requests from its peers. See docs/design.md,
//! decision 4.

mod handover;
mod message;
mod peers;
mod queue;
mod report;
mod work;

pub use message::{
    ActionList, DispatchAction, DispatchEvent, DispatchOptions, DispatchPolicy, LoadReport,
    QueueOrder, RefusalReason, RequestMeta,
};

use crate::catalogue::LimitSet;
use crate::eject::{EjectController, EjectState};
use crate::ids::{EndpointId, RequestId};
use handover::{OpenOffer, OpenPull};
use peers::PeerTable;
use queue::{WaitQueue, WaitingRequest};
use rand::rngs::SmallRng;
use report::ReportState;
use std::collections::HashMap;
use std::time::Instant;
use work::WorkModel;

/// Key of the local upstream in the ejection table; no endpoint has the address 0.0.0.0:0, which this id encodes.
const LOCAL_ENDPOINT: EndpointId = 0;

/// Longest wait in an overloaded class under [`QueueOrder::ControlledDelay`], as a multiple of the mean service time.
const DELAY_TARGET: f64 = 2.0;

#[derive(Debug)]
struct RunningRequest {
    meta: RequestMeta,
    started: Instant,
    long: bool,
}

#[derive(Debug)]
struct RemoteRequest {
    meta: RequestMeta,
    peer: EndpointId,
}

/// Schedules the requests of one agent: queues them, starts them on its slots, and hands them over to peers.
#[derive(Debug)]
pub struct DispatchController {
    policy: DispatchPolicy,
    slots: u16,
    limits: LimitSet,
    options: DispatchOptions,
    queue: WaitQueue,
    running: Vec<RunningRequest>,
    /// Requests whose offer a peer has accepted.
    remote: HashMap<RequestId, RemoteRequest>,
    offers: Vec<OpenOffer>,
    pulls: Vec<OpenPull>,
    /// Moving average of the time from a pull to the offer that answers it, in seconds; `None` before the first.
    pull_seconds: Option<f64>,
    peers: PeerTable,
    work: WorkModel,
    eject: EjectController,
    report: ReportState,
    next_peer: usize,
    draining: bool,
    /// Whether health checks have found the upstream out of service.
    upstream_unavailable: bool,
}

impl DispatchController {
    /// Creates a controller for an upstream that runs up to `slots` requests concurrently.
    pub fn new(policy: DispatchPolicy, slots: u16, limits: LimitSet) -> Self {
        Self::with_options(policy, slots, limits, DispatchOptions::default())
    }

    /// Creates a controller with the given mechanisms enabled, to compare them in measurements.
    pub fn with_options(
        policy: DispatchPolicy,
        slots: u16,
        limits: LimitSet,
        options: DispatchOptions,
    ) -> Self {
        Self {
            policy,
            slots,
            limits,
            options,
            queue: WaitQueue::new(options.order),
            running: Vec::new(),
            remote: HashMap::new(),
            offers: Vec::new(),
            pulls: Vec::new(),
            pull_seconds: None,
            peers: PeerTable::default(),
            work: WorkModel::default(),
            eject: EjectController::new(),
            report: ReportState::default(),
            next_peer: 0,
            draining: false,
            upstream_unavailable: false,
        }
    }

    /// Returns the policy, which is fixed for the lifetime of the controller.
    pub fn policy(&self) -> DispatchPolicy {
        self.policy
    }

    /// Returns the recipients of the latest [`DispatchAction::SendLoad`]: all peers of a small group, or else a random
    /// subset.
    pub fn load_targets(&self) -> &[EndpointId] {
        &self.peers.report_targets
    }

    /// Returns when the runtime has to send [`DispatchEvent::TimerFired`] unless another event comes first.
    pub fn next_deadline(&self) -> Option<Instant> {
        let waiting = self.queue.iter().map(|request| request.meta.deadline);
        let offers = self.offers.iter().map(|offer| offer.answer_by);
        let pulls = self.pulls.iter().map(|pull| pull.answer_by);
        let rest = self.report.next_due().into_iter();
        let ejection = self.eject.next_deadline();
        waiting
            .chain(offers)
            .chain(pulls)
            .chain(rest)
            .chain(ejection)
            .min()
    }

    /// Applies one event and returns the actions that the runtime has to perform, in order.
    pub fn handle(&mut self, event: DispatchEvent, now: Instant, rng: &mut SmallRng) -> ActionList {
        let mut actions = ActionList::new();
        match event {
            DispatchEvent::Arrived(meta) => self.handle_arrival(meta, now, rng, &mut actions),
            DispatchEvent::Offered(peer, meta) => self.handle_offer(peer, meta, now, &mut actions),
            DispatchEvent::OfferAccepted(id, peer) => self.handle_offer_accepted(id, peer),
            DispatchEvent::OfferRejected(id, peer) => self.handle_offer_rejected(id, peer, now),
            DispatchEvent::Cancelled(id) => self.remove_request(id),
            DispatchEvent::Finished { id, ok } => self.handle_finished(id, ok, now, rng),
            DispatchEvent::PeerLoad(peer, report) => self.handle_peer_load(peer, report, now),
            DispatchEvent::PullReceived(peer) => self.handle_pull(peer, now, &mut actions),
            DispatchEvent::PeersChanged(peers) => self.handle_peers_changed(&peers, now),
            DispatchEvent::LimitsChanged(limits) => self.limits = limits,
            DispatchEvent::UpstreamChanged { serving } => self.upstream_unavailable = !serving,
            DispatchEvent::DrainStarted => self.draining = true,
            DispatchEvent::TimerFired => {}
        }
        self.mark_long_running(now);
        self.update_ejections(now);
        self.expire_offers(now, &mut actions);
        self.refuse_unservable(now, &mut actions);
        self.start_waiting(now, &mut actions);
        if self.policy == DispatchPolicy::Pooled {
            self.hand_over_waiting(now, rng, &mut actions);
            self.pull_work(now, rng, &mut actions);
        }
        self.send_report(now, rng, &mut actions);
        actions
    }

    fn handle_arrival(
        &mut self,
        meta: RequestMeta,
        now: Instant,
        rng: &mut SmallRng,
        actions: &mut ActionList,
    ) {
        if let Some(peer) = self.peer_by_policy(&meta, now, rng) {
            self.offer(meta, peer, now, actions);
            return;
        }
        if self.queue.len() >= usize::try_from(self.limits.queue).unwrap_or(usize::MAX) {
            let Some(victim) = self.queue.evict_less_urgent(meta.class) else {
                actions.push(DispatchAction::Refuse(meta.id, RefusalReason::QueueFull));
                return;
            };
            self.refuse(&victim, RefusalReason::Overload, actions);
        }
        self.enqueue(meta, None, now);
    }

    fn enqueue(&mut self, meta: RequestMeta, offered_by: Option<EndpointId>, now: Instant) {
        let long = self.options.long_share && self.work.is_long(&meta);
        self.queue.insert(
            WaitingRequest {
                meta,
                offered_by,
                long,
            },
            now,
        );
    }

    /// Refuses a request of a local caller, or rejects the offer of a peer's request.
    fn refuse(&self, request: &WaitingRequest, reason: RefusalReason, actions: &mut ActionList) {
        let id = request.meta.id;
        actions.push(match request.offered_by {
            Some(_) => DispatchAction::RejectOffer(id),
            None => DispatchAction::Refuse(id, reason),
        });
    }

    fn remove_request(&mut self, id: RequestId) {
        self.queue.remove(id);
        self.running.retain(|running| running.meta.id != id);
        self.remote.remove(&id);
        self.close_offer(id);
    }

    fn handle_finished(&mut self, id: RequestId, ok: bool, now: Instant, rng: &mut SmallRng) {
        let total = self.peers.views.len() + 1;
        let local = self.running.iter().position(|run| run.meta.id == id);
        let offered = self.close_offer(id).map(|offer| offer.peer);
        let remote = self.remote.remove(&id).map(|remote| remote.peer);
        let endpoint = match local {
            Some(_) => Some(LOCAL_ENDPOINT),
            None => remote.or(offered),
        };
        if let Some(index) = local {
            let run = self.running.swap_remove(index);
            let service_time = now.saturating_duration_since(run.started);
            if ok {
                self.work.record(run.meta.work_key, service_time);
            }
        }
        let Some(endpoint) = endpoint else {
            return;
        };
        if self.options.eject {
            self.eject.record(endpoint, ok, total, now, rng);
        }
    }

    /// Marks running requests as long once they exceed the threshold.
    ///
    /// The elapsed time also becomes the first estimate of an unknown work key, so that later requests with this key
    /// count as long even before the first one has finished.
    fn mark_long_running(&mut self, now: Instant) {
        for run in &mut self.running {
            let elapsed = now.saturating_duration_since(run.started);
            if !run.long && self.work.exceeds_long_threshold(elapsed) {
                run.long = true;
                self.work.record_initial(run.meta.work_key, elapsed);
            }
        }
    }

    fn update_ejections(&mut self, now: Instant) {
        // This call ends an expired ejection. If it stayed in `next_deadline` while the endpoint drains, the timer
        // would always be due.
        self.eject.state(LOCAL_ENDPOINT, now);
        for view in &mut self.peers.views {
            view.ejected = match self.eject.state(view.id, now) {
                EjectState::Serving => false,
                EjectState::Ejected { .. } => true,
                EjectState::Probing => view.open_offers > 0,
            };
        }
    }

    fn handle_peers_changed(&mut self, peers: &[EndpointId], now: Instant) {
        self.peers.replace(peers, now);
        self.pulls.retain(|pull| peers.contains(&pull.peer));
        self.eject
            .retain(|endpoint| endpoint == LOCAL_ENDPOINT || peers.contains(&endpoint));
    }

    fn refuse_unservable(&mut self, now: Instant, actions: &mut ActionList) {
        let expired = self.queue.remove_if(|request| request.meta.deadline <= now);
        for request in expired {
            self.refuse(&request, RefusalReason::Deadline, actions);
        }
        if self.usable_slots(now) == 0 {
            let no_peer_accepts = !self.peers.any_accepting(now);
            for request in self
                .queue
                .remove_if(|r| no_peer_accepts || r.offered_by.is_some())
            {
                self.refuse(&request, RefusalReason::Draining, actions);
            }
        }
        if self.options.order == QueueOrder::ControlledDelay {
            self.refuse_overdue(now, actions);
        }
    }

    fn refuse_overdue(&mut self, now: Instant, actions: &mut ActionList) {
        let target = self.work.mean() * DELAY_TARGET;
        let overloaded =
            crate::catalogue::TrafficClass::ALL.map(|class| self.queue.is_overloaded(class, now));
        let delayed = self.queue.remove_if(|request| {
            let waited = now.saturating_duration_since(request.meta.arrived);
            overloaded[request.meta.class.index()] && waited.as_secs_f64() > target
        });
        for request in delayed {
            self.refuse(&request, RefusalReason::Overload, actions);
        }
    }

    /// Returns the number of slots that may be in use now, whether free or not.
    ///
    /// A failing upstream is avoided only while some peer accepts requests.
    fn usable_slots(&mut self, now: Instant) -> u16 {
        if self.draining {
            return 0;
        }
        let peer_accepts = self.policy == DispatchPolicy::Pooled && self.peers.any_accepting(now);
        if self.upstream_unavailable && peer_accepts {
            return 0;
        }
        match self.eject.state(LOCAL_ENDPOINT, now) {
            EjectState::Ejected { .. } if peer_accepts => 0,
            EjectState::Probing if peer_accepts => 1.min(self.slots),
            _ => self.slots,
        }
    }

    fn free_slots(&mut self, now: Instant) -> u16 {
        // CAST: At most `slots` requests run, and `slots` is a u16.
        let running = self.running.len().min(usize::from(u16::MAX)) as u16;
        self.usable_slots(now).saturating_sub(running)
    }

    /// Returns the number of running requests that are bulk or long.
    fn long_running(&self) -> u16 {
        let long = self.running.iter().filter(|run| run.long);
        // CAST: At most `slots` requests run, and `slots` is a u16.
        long.count().min(usize::from(u16::MAX)) as u16
    }

    /// Returns whether another long request may start here under `slot_share`.
    fn admits_long(&self, now: Instant) -> bool {
        self.long_running() < self.long_limit() && self.pool_admits_long(now)
    }

    /// Returns how many slots of one agent long requests may occupy.
    ///
    /// With a share below 1, one slot stays free of long requests if the agent has more than one.
    fn long_limit(&self) -> u16 {
        if !self.options.long_share {
            return u16::MAX;
        }
        let limit = bounded_share(self.limits.slot_share, self.slots, f64::ceil);
        match self.limits.slot_share < 1.0 {
            true => limit.min(self.slots.saturating_sub(1)).max(1),
            false => limit,
        }
    }

    /// Returns whether long requests occupy less than their share of the pool's slots, according to recent reports.
    fn pool_admits_long(&self, now: Instant) -> bool {
        if !self.options.long_share {
            return true;
        }
        let reports = self.peers.views.iter().filter(|view| view.is_fresh(now));
        let local = (self.slots, self.long_running());
        let (slots, long) = reports.fold(local, |(slots, long), view| {
            // Reports don't carry the number of slots; agents of one service have about the same.
            (
                slots.saturating_add(self.slots),
                long.saturating_add(view.report.long_running),
            )
        });
        long < bounded_share(self.limits.slot_share, slots, f64::floor)
    }

    /// Returns the number of waiting requests that could start now if slots were free.
    fn startable_count(&self, now: Instant) -> usize {
        let long_allowed = self.admits_long(now);
        let waiting = self.queue.iter();
        waiting
            .filter(|request| long_allowed || !request.long)
            .count()
    }

    /// Returns whether the local upstream is ejected because its responses are failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        matches!(self.eject.recorded_state(LOCAL_ENDPOINT), EjectState::Ejected { until } if until > now)
    }

    fn start_waiting(&mut self, now: Instant, actions: &mut ActionList) {
        while self.free_slots(now) > 0 {
            let long_allowed = self.admits_long(now);
            let work = &self.work;
            let next = self.queue.pop(
                now,
                |request| long_allowed || !request.long,
                |meta| work.expected(meta),
            );
            let Some(request) = next else {
                break;
            };
            actions.push(DispatchAction::Start(request.meta.id));
            self.running.push(RunningRequest {
                meta: request.meta,
                started: now,
                long: request.long,
            });
        }
    }
}

/// Returns `share` of `slots`, rounded by `round` and at least 1, so that long requests are never blocked completely.
fn bounded_share(share: f64, slots: u16, round: fn(f64) -> f64) -> u16 {
    let bounded = round(share * f64::from(slots)).clamp(1.0, f64::from(slots.max(1)));
    // CAST: The value is clamped to the range of u16.
    bounded as u16
}
