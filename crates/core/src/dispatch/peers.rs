//! What an agent believes of its peers.

use super::message::LoadReport;
use crate::eject::slow_start_share;
use crate::ids::EndpointId;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::Rng;
use std::time::{Duration, Instant};

/// A report older than this says nothing.
const REPORT_VALIDITY: Duration = Duration::from_millis(1_500);

/// Up to this many peers receive every report; a larger group is informed by random subsets.
const FULL_BROADCAST_PEERS: usize = 32;

/// Peers that receive a report in a larger group.
const SUBSET_PEERS: usize = 16;

/// What is believed of one peer.
#[derive(Clone, Debug)]
pub(super) struct PeerView {
    pub(super) id: EndpointId,
    pub(super) report: LoadReport,
    pub(super) heard: Option<Instant>,
    /// When the peer became ready; `None` for the peers that were there first.
    pub(super) since: Option<Instant>,
    /// Offers that the peer has not answered.
    pub(super) open_offers: u16,
    /// Whether traffic shows that the peer fails.
    pub(super) ejected: bool,
}

impl PeerView {
    /// Returns whether the peer has told recently that it accepts requests.
    pub(super) fn is_accepting(&self, now: Instant) -> bool {
        self.is_fresh(now) && self.report.accepting && !self.ejected
    }

    /// Returns the slots that the peer is believed to have free.
    pub(super) fn credit(&self, now: Instant) -> u16 {
        if !self.is_accepting(now) {
            return 0;
        }
        self.report.free_slots.saturating_sub(self.open_offers)
    }

    /// Returns the age of the oldest work that can be pulled from the peer, if there is any.
    pub(super) fn oldest_age(&self, now: Instant) -> Option<Duration> {
        let heard = self.heard?;
        if self.report.oldest_us == 0 || !self.is_fresh(now) {
            return None;
        }
        let age = Duration::from_micros(u64::from(self.report.oldest_us));
        Some(age + now.saturating_duration_since(heard))
    }

    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|heard| now.saturating_duration_since(heard) < REPORT_VALIDITY)
    }

    fn share(&self, now: Instant) -> f64 {
        self.since.map_or(1.0, |since| slow_start_share(since, now))
    }
}

/// The ready peers of an agent.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    pub(super) views: Vec<PeerView>,
    pub(super) targets: Vec<EndpointId>,
}

impl PeerTable {
    /// Replaces the set of peers and keeps what is known of those that stay.
    pub(super) fn replace(&mut self, peers: &[EndpointId], now: Instant) {
        let since = match self.views.is_empty() {
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
                heard: None,
                since,
                open_offers: 0,
                ejected: false,
            });
        }
        self.targets = peers.to_vec();
    }

    /// Draws the peers that receive the next reports.
    pub(super) fn draw_targets(&mut self, rng: &mut SmallRng) {
        if self.views.len() <= FULL_BROADCAST_PEERS {
            return;
        }
        let mut ids: Vec<EndpointId> = self.views.iter().map(|view| view.id).collect();
        let (subset, _) = ids.partial_shuffle(rng, SUBSET_PEERS);
        self.targets = subset.to_vec();
    }

    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut PeerView> {
        self.views.iter_mut().find(|view| view.id == id)
    }

    /// Chooses a peer that is believed to have a free slot, in proportion to the free slots.
    ///
    /// A random choice keeps agents with the same reports from rushing to the same peer.
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
            let share = if slow_start { view.share(now) } else { 1.0 };
            f64::from(view.credit(now)) * share
        };
        let total: f64 = self.views.iter().map(weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut left = rng.random_range(0.0..total);
        let mut last = None;
        for view in &self.views {
            let weight = weight(view);
            if weight <= 0.0 {
                continue;
            }
            last = Some(view.id);
            if left < weight {
                break;
            }
            left -= weight;
        }
        last
    }

    /// Returns whether any peer accepts requests.
    pub(super) fn any_accepting(&self, now: Instant) -> bool {
        self.views.iter().any(|view| view.is_accepting(now))
    }
}
