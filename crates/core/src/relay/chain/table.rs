//! Delivers packets of flows whose holder is in the flow table, or that are being searched for.

use super::{DeliverList, DeliverReason, DeliverTarget, RelayChain, RelayVerdict};
use crate::relay::identity::HolderState;
use crate::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use crate::relay::place::EndpointKey;
use crate::relay::rounds::RoundOutcome;
use crate::relay::view::RelayView;
use smallvec::{smallvec, SmallVec};
use std::time::Instant;

/// Endpoint to which the packets of a flow no longer go, because the view has no such incarnation of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DroppedHolder {
    /// Flow that the endpoint held.
    pub flow: FlowAddresses,
    /// Holder in the flow table.
    pub holder: EndpointKey,
    /// The same endpoint in the view; `None` if it is not in the view.
    pub current: Option<EndpointKey>,
}

/// Holders that one decision dropped; a flow has one, or a few during a search.
pub type DroppedHolders = SmallVec<[DroppedHolder; 2]>;

/// What happens to the packet with which a round of a search began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoundVerdict {
    /// It is dropped: the flow was claimed, its caller is served, or the search goes on with the caller's next packet.
    Over,
    /// It is kept, because the round lasts longer or another one has begun since.
    Open,
    /// It goes to the endpoints of the next round.
    Next(RelayVerdict),
}

impl RelayChain {
    /// Delivers to the endpoints that the flow table holds for the flow, as long as they may still hold it. A search that
    /// waits for them in vain goes on.
    pub(super) fn check_flow_table(
        &mut self,
        head: &PacketHead,
        view: &RelayView,
        now: Instant,
    ) -> Option<RelayVerdict> {
        if let PacketKind::Opening { copies } = head.kind {
            return self.begin_opening(head, copies, now);
        }
        let mut targets = self.holder_targets(head, view);
        if targets.is_empty() {
            return None;
        }
        let record = self.flows.record(head.flow);
        let outcome = record
            .round
            .as_mut()
            .map_or(RoundOutcome::Waiting, |round| round.observe(head, now));
        match outcome {
            RoundOutcome::Waiting => Some(RelayVerdict::Deliver {
                targets,
                reason: DeliverReason::TableHit,
            }),
            RoundOutcome::Overdue => {
                for target in &mut targets {
                    target.forced = true;
                }
                self.doubt_queried(head.flow, view);
                Some(self.widen(head, targets, view, now))
            }
        }
    }

    /// Records that all answers are read that had arrived by `until`.
    pub fn record_answers_read(&mut self, until: Instant) {
        self.answers_read = self.answers_read.max(until);
    }

    /// Returns the point in time up to which all answers that have arrived are read.
    pub fn answers_read(&self) -> Instant {
        self.answers_read
    }

    /// Ends the search for a flow that the endpoint `claimant` says it holds.
    pub fn record_claim(&mut self, flow: FlowAddresses, claimant: EndpointKey) {
        let is_known = self.flows.get(flow).is_some();
        if !is_known {
            return;
        }
        let record = self.flows.record(flow);
        let queried = record.queried.iter().find(|key| key.may_be(claimant));
        let Some(holder) = queried.copied() else {
            return;
        };
        record.queried = smallvec![holder];
        record.round = None;
    }

    /// Decides whether the search for a flow goes on without a further packet of the caller. `head` is the packet with which
    /// a round began.
    pub fn check_round(
        &mut self,
        head: &PacketHead,
        view: &RelayView,
        now: Instant,
    ) -> RoundVerdict {
        let record = self.flows.record(head.flow);
        let Some(round) = record.round.filter(|_| !record.queried.is_empty()) else {
            return RoundVerdict::Over;
        };
        match round.check(self.answers_read) {
            RoundOutcome::Waiting if round.is_open(self.answers_read) => return RoundVerdict::Open,
            RoundOutcome::Waiting => return RoundVerdict::Over,
            RoundOutcome::Overdue => {}
        }
        self.doubt_queried(head.flow, view);
        let verdict = self.widen(head, DeliverList::new(), view, now);
        let record = self.flows.record(head.flow);
        record.round = Some(round.next_timed(now));
        match verdict {
            RelayVerdict::Deliver { .. } => RoundVerdict::Next(verdict),
            _ => RoundVerdict::Over,
        }
    }

    /// Notes the endpoints that should have answered a query, so that they are checked.
    fn doubt_queried(&mut self, flow: FlowAddresses, view: &RelayView) {
        let record = self.flows.record(flow);
        for key in &record.queried {
            if view.is_awaited(flow, *key) {
                self.unanswered.push(key.id);
            }
        }
    }

    /// Returns the endpoints in the flow table that may still hold the flow, and drops the others from it.
    fn holder_targets(&mut self, head: &PacketHead, view: &RelayView) -> DeliverList {
        let record = self.flows.record(head.flow);
        if std::mem::take(&mut record.opening) {
            // An endpoint that returned the first packet may have accepted a copy of it through another entry, so it
            // is queried again.
            record.tried.clear();
        }
        let mut targets = DeliverList::new();
        let queried = std::mem::take(&mut record.queried);
        for key in queried {
            // A holder that is dropped is not ruled out: it has not returned the packet, and may be back later.
            let current = match view.holder_state(head.flow, key) {
                HolderState::Current { key, service } => {
                    targets.push(DeliverTarget {
                        endpoint: key,
                        service: service.digest,
                        forced: false,
                        cold_limit: None,
                    });
                    record.queried.push(key);
                    continue;
                }
                HolderState::Replaced { by } => Some(by),
                HolderState::Absent => None,
            };
            self.dropped_holders.push(DroppedHolder {
                flow: head.flow,
                holder: key,
                current,
            });
        }
        targets
    }
}
