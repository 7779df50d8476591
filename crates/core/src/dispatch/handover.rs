//! Hands requests over between the agents of a service: offers, pulls and balancing.

use super::message::{ActionList, DispatchAction, DispatchPolicy, LoadReport, RequestMeta};
use super::peers::PeerView;
use super::{DispatchController, RemoteRequest};
use crate::catalogue::TrafficClass;
use crate::ids::{EndpointId, RequestId};
use rand::rngs::SmallRng;
use rand::Rng;
use std::time::{Duration, Instant};

/// Time after which an unanswered offer is withdrawn.
const OFFER_TIMEOUT: Duration = Duration::from_millis(50);

/// Time after which a pull without a resulting offer is dropped.
const PULL_TIMEOUT: Duration = Duration::from_millis(10);

/// Weight of a new sample in the moving average of the pull time.
const PULL_WEIGHT: f64 = 0.1;

/// Pull time assumed until a pull has been answered, in seconds.
const DEFAULT_PULL_SECONDS: f64 = 0.002;

/// Utilization above the pool's mean, as a fraction of the mean, from which an agent hands requests over.
const BALANCE_MARGIN: f64 = 0.02;

/// A peer's request is pulled ahead of a local one of the same class if it has waited longer by this multiple of the
/// pull time.
const AGE_MARGIN: f64 = 2.0;

/// Pulls that an agent may send beyond its free slots when a peer's waiting request is more urgent than its own.
///
/// Without them, urgent requests wait at one agent while less urgent local requests occupy all slots of the others.
const URGENT_AHEAD: usize = 1;

/// An offer that the peer has not answered yet.
#[derive(Debug)]
pub(super) struct OpenOffer {
    pub(super) meta: RequestMeta,
    pub(super) peer: EndpointId,
    pub(super) answer_by: Instant,
}

/// A pull that no offer has answered yet.
#[derive(Debug)]
pub(super) struct OpenPull {
    pub(super) peer: EndpointId,
    pub(super) sent: Instant,
    pub(super) answer_by: Instant,
}

impl DispatchController {
    /// Returns the peer to which an arriving request is offered immediately, or `None` if it is queued locally.
    pub(super) fn peer_by_policy(
        &mut self,
        meta: &RequestMeta,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<EndpointId> {
        let count = self.peers.views.len();
        let index = match self.policy {
            DispatchPolicy::Local => return None,
            DispatchPolicy::Pooled => return self.balancing_peer(meta, now, rng),
            DispatchPolicy::Random => rng.random_range(0..=count),
            DispatchPolicy::RoundRobin => {
                self.next_peer = (self.next_peer + 1) % (count + 1);
                self.next_peer
            }
            DispatchPolicy::LeastReported => self.least_reported(),
        };
        self.peers.views.get(index).map(|view| view.id)
    }

    fn least_reported(&self) -> usize {
        let requests = |report: LoadReport| u32::from(report.running) + u32::from(report.queued);
        let local = self.running.len() + self.queue.len();
        let mut least = (u32::try_from(local).unwrap_or(u32::MAX), usize::MAX);
        for (index, view) in self.peers.views.iter().enumerate() {
            least = least.min((requests(view.report), index));
        }
        least.1
    }

    /// Returns a peer with less than the mean utilization, if this agent is above the mean.
    ///
    /// A random fraction of the requests is moved, in proportion to the excess over the mean.
    fn balancing_peer(
        &mut self,
        meta: &RequestMeta,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<EndpointId> {
        if !self.options.balance || self.queue.len() > 0 || self.work.is_long(meta) {
            return None;
        }
        let local = f64::from(self.busy_permille());
        let fresh = self.peers.views.iter().filter(|view| view.is_fresh(now));
        let (sum, count) = fresh.fold((local, 1.0), |(sum, count), view| {
            (sum + f64::from(view.report.busy_permille), count + 1.0)
        });
        let mean = sum / count;
        if local <= mean * (1.0 + BALANCE_MARGIN) || !rng.random_bool(1.0 - mean / local) {
            return None;
        }
        let less_busy = |view: &PeerView| f64::from(view.report.busy_permille) < mean;
        self.peers
            .choose_free(now, self.options.slow_start, rng, less_busy)
    }

    /// Offers a request to a peer and waits for the answer until the offer times out.
    pub(super) fn offer(
        &mut self,
        meta: RequestMeta,
        peer: EndpointId,
        now: Instant,
        actions: &mut ActionList,
    ) {
        if let Some(view) = self.peers.get_mut(peer) {
            view.open_offers += 1;
        }
        actions.push(DispatchAction::HandOver(meta.id, peer));
        self.offers.push(OpenOffer {
            meta,
            peer,
            answer_by: now + OFFER_TIMEOUT,
        });
    }

    /// Removes an open offer and returns it.
    pub(super) fn close_offer(&mut self, id: RequestId) -> Option<OpenOffer> {
        let index = self.offers.iter().position(|offer| offer.meta.id == id)?;
        let offer = self.offers.swap_remove(index);
        if let Some(view) = self.peers.get_mut(offer.peer) {
            view.open_offers = view.open_offers.saturating_sub(1);
        }
        Some(offer)
    }

    pub(super) fn handle_offer_accepted(&mut self, id: RequestId, peer: EndpointId) {
        let Some(offer) = self.close_offer(id) else {
            return;
        };
        let meta = offer.meta;
        self.remote.insert(id, RemoteRequest { meta, peer });
        if let Some(view) = self.peers.get_mut(peer) {
            view.report.free_slots = view.report.free_slots.saturating_sub(1);
        }
    }

    pub(super) fn handle_offer_rejected(&mut self, id: RequestId, peer: EndpointId, now: Instant) {
        if let Some(view) = self.peers.get_mut(peer) {
            view.report.free_slots = 0;
        }
        let offered = self.close_offer(id).map(|offer| offer.meta);
        let accepted = self.remote.remove(&id).map(|remote| remote.meta);
        if let Some(meta) = offered.or(accepted) {
            self.enqueue(meta, None, now);
        }
    }

    /// Withdraws the offers that were not answered in time, and drops expired pulls.
    pub(super) fn expire_offers(&mut self, now: Instant, actions: &mut ActionList) {
        for offer in &mut self.offers {
            if offer.answer_by > now {
                continue;
            }
            // The answer to the withdrawal can be lost too, so the withdrawal is repeated until one arrives.
            offer.answer_by = now + OFFER_TIMEOUT;
            actions.push(DispatchAction::WithdrawOffer(offer.meta.id, offer.peer));
        }
        self.pulls.retain(|pull| pull.answer_by > now);
    }

    /// Accepts or rejects a request that a peer offers; an offer that answers a pull is accepted without a free slot.
    pub(super) fn handle_offer(
        &mut self,
        peer: EndpointId,
        meta: RequestMeta,
        now: Instant,
        actions: &mut ActionList,
    ) {
        let pulled = self.pulls.iter().position(|pull| pull.peer == peer);
        if let Some(index) = pulled {
            let pull = self.pulls.swap_remove(index);
            let sample = now.saturating_duration_since(pull.sent).as_secs_f64();
            let average = self.pull_seconds.get_or_insert(sample);
            *average += PULL_WEIGHT * (sample - *average);
        }
        let accepts = self.policy != DispatchPolicy::Pooled
            || pulled.is_some()
            || usize::from(self.free_slots(now)) > self.startable_count(now);
        if !accepts || self.usable_slots(now) == 0 {
            actions.push(DispatchAction::RejectOffer(meta.id));
            return;
        }
        actions.push(DispatchAction::AcceptOffer(meta.id));
        self.enqueue(meta, Some(peer), now);
    }

    /// Offers waiting requests to peers whose reports show a free slot.
    pub(super) fn hand_over_waiting(
        &mut self,
        now: Instant,
        rng: &mut SmallRng,
        actions: &mut ActionList,
    ) {
        while self.queue.len() > 0 {
            let slow_start = self.options.slow_start;
            let long_limit = self.long_limit();
            let any_peer = self.peers.choose_free(now, slow_start, rng, |_| true);
            let Some(any_peer) = any_peer else {
                return;
            };
            let pool_admits_long = self.pool_admits_long(now);
            let long_peer = self.peers.choose_free(now, slow_start, rng, |view| {
                pool_admits_long && view.report.long_running + view.open_offers < long_limit
            });
            let work = &self.work;
            let next = self.queue.pop(
                now,
                |request| request.offered_by.is_none() && (!request.long || long_peer.is_some()),
                |meta| work.expected(meta),
            );
            let Some(request) = next else {
                return;
            };
            let peer = match (request.long, long_peer) {
                (true, Some(peer)) => peer,
                _ => any_peer,
            };
            self.offer(request.meta, peer, now, actions);
        }
    }

    /// Pulls waiting requests for the free slots, from the peers with the most urgent and oldest ones.
    pub(super) fn pull_work(
        &mut self,
        now: Instant,
        _rng: &mut SmallRng,
        actions: &mut ActionList,
    ) {
        if !self.options.pull || self.usable_slots(now) == 0 {
            return;
        }
        let allowed = usize::from(self.free_slots(now));
        let long_allowed = self.admits_long(now);
        let from_peers = self
            .queue
            .iter()
            .filter(|request| request.offered_by.is_some() && (long_allowed || !request.long));
        let mut outstanding = from_peers.count() + self.pulls.len();
        while outstanding < allowed + URGENT_AHEAD {
            let Some(peer) = self.choose_pull_peer(now, outstanding >= allowed) else {
                return;
            };
            outstanding += 1;
            self.pulls.push(OpenPull {
                peer,
                sent: now,
                answer_by: now + PULL_TIMEOUT,
            });
            actions.push(DispatchAction::SendPull(peer));
        }
    }

    /// Returns the peer with the most urgent and oldest waiting request, if it precedes the local ones.
    ///
    /// With `more_urgent`, only requests of a more urgent class than the local ones are considered.
    fn choose_pull_peer(&self, now: Instant, more_urgent: bool) -> Option<EndpointId> {
        let pull_seconds = self.pull_seconds.unwrap_or(DEFAULT_PULL_SECONDS);
        let margin = Duration::from_secs_f64(pull_seconds * AGE_MARGIN);
        let long_allowed = self.admits_long(now);
        let eligible = self.queue.oldest(|request| long_allowed || !request.long);
        let local = eligible.map(|request| {
            let age = now.saturating_duration_since(request.meta.arrived);
            (request.meta.class, age + margin)
        });
        let mut best: Option<(TrafficClass, Duration, EndpointId)> = None;
        for view in &self.peers.views {
            let Some(age) = view.oldest_age(now) else {
                continue;
            };
            let class = view.report.waiting_class;
            if more_urgent && local.is_none_or(|local| local.0 <= class) {
                continue;
            }
            let pulled = self.pulls.iter().filter(|pull| pull.peer == view.id);
            if pulled.count() >= usize::from(view.report.queued) {
                continue;
            }
            if local.is_some_and(|local| {
                (local.0, std::cmp::Reverse(local.1)) <= (class, std::cmp::Reverse(age))
            }) {
                continue;
            }
            let better = best.is_none_or(|(other, longest, _)| {
                class < other || (class == other && age > longest)
            });
            if better {
                best = Some((class, age, view.id));
            }
        }
        best.map(|(_, _, id)| id)
    }

    /// Offers the next eligible request to a peer that sent a pull.
    pub(super) fn handle_pull(&mut self, peer: EndpointId, now: Instant, actions: &mut ActionList) {
        let long_limit = self.long_limit();
        let pool_admits_long = self.pool_admits_long(now);
        let Some(view) = self.peers.get_mut(peer) else {
            return;
        };
        let long_allowed = pool_admits_long && view.report.long_running < long_limit;
        let work = &self.work;
        let next = self.queue.pop(
            now,
            |request| request.offered_by.is_none() && (long_allowed || !request.long),
            |meta| work.expected(meta),
        );
        if let Some(request) = next {
            self.offer(request.meta, peer, now, actions);
        }
    }

    pub(super) fn handle_peer_load(&mut self, peer: EndpointId, report: LoadReport, now: Instant) {
        if let Some(view) = self.peers.get_mut(peer) {
            view.report = report;
            view.report_received = Some(now);
        }
    }
}
