//! Peers of an agent with their last load reports.

use super::message::LoadReport;
use crate::eject::slow_start_share;
use crate::ids::EndpointId;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::Rng;
use std::time::{Duration, Instant};

/// Age from which a load report is ignored.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_500);

/// Largest number of peers that all receive every report; in a larger group, a random subset does.
const FULL_BROADCAST_PEERS: usize = 32;

/// Peers that receive each report in a group larger than `FULL_BROADCAST_PEERS`.
const SUBSET_PEERS: usize = 16;

/// Last known state of one peer.
#[derive(Clone, Debug)]
pub(super) struct PeerView {
    pub(super) id: EndpointId,
    pub(super) report: LoadReport,
    pub(super) report_received: Option<Instant>,
    /// When the peer became ready; `None` if the agent had no peers before, since slow start is not needed then.
    pub(super) ready_since: Option<Instant>,
    /// Number of offers that the peer has not answered yet.
    pub(super) open_offers: u16,
    /// Whether the peer gets no request now, because it is ejected, or because it is being probed and an offer is open.
    pub(super) ejected: bool,
}

impl PeerView {
    /// Returns whether a recent report says that the peer accepts requests, and it is not ejected.
    pub(super) fn is_accepting(&self, now: Instant) -> bool {
        self.is_fresh(now) && self.report.accepting && !self.ejected
    }

    /// Returns the free slots of the peer's last report, less the offers that it has not answered.
    pub(super) fn available_slots(&self, now: Instant) -> u16 {
        if !self.is_accepting(now) {
            return 0;
        }
        self.report.free_slots.saturating_sub(self.open_offers)
    }

    /// Returns the current age of the oldest request that can be pulled from the peer, if there is one.
    pub(super) fn oldest_age(&self, now: Instant) -> Option<Duration> {
        let received = self.report_received?;
        if self.report.oldest_us == 0 || !self.is_fresh(now) {
            return None;
        }
        let age = Duration::from_micros(u64::from(self.report.oldest_us));
        Some(age + now.saturating_duration_since(received))
    }

    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        self.report_received
            .is_some_and(|received| now.saturating_duration_since(received) < REPORT_VALIDITY)
    }

    fn slow_start_share(&self, now: Instant) -> f64 {
        self.ready_since
            .map_or(1.0, |ready_since| slow_start_share(ready_since, now))
    }
}

/// All ready peers of an agent, which include ejected ones.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    pub(super) views: Vec<PeerView>,
    pub(super) report_targets: Vec<EndpointId>,
}

impl PeerTable {
    /// Replaces the set of peers and keeps the state of those that remain.
    pub(super) fn replace(&mut self, peers: &[EndpointId], now: Instant) {
        let ready_since = match self.views.is_empty() {
            true => None,
            false => Some(now),
        };
        self.views.retain(|view| peers.contains(&view.id));
        for &id in peers {
            if self.views.iter().any(|view| view.id == id) {
                continue;
            }
            self.views.push(PeerView {
                id,
                report: LoadReport::default(),
                report_received: None,
                ready_since,
                open_offers: 0,
                ejected: false,
            });
        }
        self.report_targets = peers.to_vec();
    }

    /// Draws a random subset of the peers to receive the next report, if the group is large.
    pub(super) fn draw_targets(&mut self, rng: &mut SmallRng) {
        if self.views.len() <= FULL_BROADCAST_PEERS {
            return;
        }
        let mut ids: Vec<EndpointId> = self.views.iter().map(|view| view.id).collect();
        let (subset, _) = ids.partial_shuffle(rng, SUBSET_PEERS);
        self.report_targets = subset.to_vec();
    }

    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut PeerView> {
        self.views.iter_mut().find(|view| view.id == id)
    }

    /// Chooses a random peer with free slots, weighted by their number.
    ///
    /// The random choice prevents agents with the same reports from all choosing the same peer.
    pub(super) fn choose_free(
        &self,
        now: Instant,
        slow_start: bool,
        rng: &mut SmallRng,
        allowed: impl Fn(&PeerView) -> bool,
    ) -> Option<EndpointId> {
        let weight = |view: &PeerView| -> f64 {
            if !allowed(view) {
                return 0.0;
            }
            let share = if slow_start {
                view.slow_start_share(now)
            } else {
                1.0
            };
            f64::from(view.available_slots(now)) * share
        };
        let total: f64 = self.views.iter().map(weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut remaining = rng.random_range(0.0..total);
        let mut last = None;
        for view in &self.views {
            let weight = weight(view);
            if weight <= 0.0 {
                continue;
            }
            last = Some(view.id);
            if remaining < weight {
                break;
            }
            remaining -= weight;
        }
        last
    }

    pub(super) fn any_accepting(&self, now: Instant) -> bool {
        self.views.iter().any(|view| view.is_accepting(now))
    }
}
