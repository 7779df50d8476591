//! Rounds of the search for the holder of a flow that the flow table does not know. See docs/relay.md.

use super::{DeliverList, DeliverReason, DeliverTarget, RelayChain, RelayVerdict, ResetReason};
use crate::relay::digest::fingerprint_of;
use crate::relay::flows::RoundRecord;
use crate::relay::hold::HoldReason;
use crate::relay::packet::{PacketHead, PacketKind};
use crate::relay::place::SearchOrder;
use crate::relay::view::{EndpointStatus, RelayView};
use std::time::{Duration, Instant};

/// Endpoints queried at the same time once the candidates of new flows have been queried.
const QUERY_MAX: usize = 16;

/// Candidates in the entry's zone below which those of other zones are queried with them.
const NEAR_MIN: usize = 2;

/// Time after which the search for a flow goes on without the endpoints that have not answered, with the caller's next
/// packet. It is many round trips, and shorter than the caller's first retransmission after 200 ms.
const ROUND_TIME: Duration = Duration::from_millis(150);

/// Silent endpoints to which a packet is sent at the same time. A silent endpoint probably does not receive it.
const SILENT_MAX: usize = 2;

/// Round of a search in which an endpoint is queried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SearchTier {
    Near,
    Far,
    Rest,
}

/// Next round of a search.
#[derive(Debug)]
struct SearchRound {
    /// Endpoints to query; empty if all have been queried.
    targets: DeliverList,
    /// Whether every endpoint that may hold the flow is known and can be queried.
    complete: bool,
    /// Whether the list of endpoints or a digest is older than the search.
    needs_confirmation: bool,
}

impl RelayChain {
    /// Queries the next endpoints as well as those that have not answered, which may be lost or only slow.
    pub(super) fn widen(
        &mut self,
        head: &PacketHead,
        mut targets: DeliverList,
        view: &RelayView,
        now: Instant,
    ) -> Option<RelayVerdict> {
        let next = self.next_round(head, view, now);
        let record = self.flows.record(head.flow);
        record
            .queried
            .extend(next.targets.iter().map(|target| target.endpoint));
        if !next.targets.is_empty() {
            record.round = Some(round_record(head, now));
        }
        targets.extend(next.targets);
        Some(RelayVerdict::Deliver {
            targets,
            reason: DeliverReason::Queried,
        })
    }

    /// Chooses the next endpoints to query for a flow whose holder is unknown, or ends the flow if none is left.
    pub(super) fn search(
        &mut self,
        head: &PacketHead,
        view: &RelayView,
        now: Instant,
    ) -> Option<RelayVerdict> {
        let round = self.next_round(head, view, now);
        let record = self.flows.record(head.flow);
        if !round.targets.is_empty() {
            record.queried = round.targets.iter().map(|target| target.endpoint).collect();
            record.round = Some(round_record(head, now));
            return Some(RelayVerdict::Deliver {
                targets: round.targets,
                reason: DeliverReason::Queried,
            });
        }
        if !round.complete {
            return None;
        }
        // The endpoint of an open flow is listed before it accepts the flow, so a list read after the search began
        // contains it.
        if round.needs_confirmation {
            let unresolved_since = *record.unresolved_since.get_or_insert(now);
            return Some(RelayVerdict::Hold(HoldReason::Confirmation(
                unresolved_since,
            )));
        }
        Some(RelayVerdict::Reset(ResetReason::Ended))
    }

    /// Returns the endpoints of the next round of a search: candidates of the entry's zone, then those of other zones,
    /// then the others. Most flows are found in the first round, without a copy of the packet in another zone.
    fn next_round(&mut self, head: &PacketHead, view: &RelayView, now: Instant) -> SearchRound {
        let record = self.flows.record(head.flow);
        // The flow was open before this time, so reports and lists read after it show whether the flow still exists.
        let unresolved_since = *record.unresolved_since.get_or_insert(now);
        let opening = matches!(head.kind, PacketKind::Opening { .. });
        let fingerprint = fingerprint_of(head.flow);
        let mut round = SearchRound {
            targets: DeliverList::new(),
            complete: view.synced && view.holders_known,
            needs_confirmation: view.endpoints_read < Some(unresolved_since),
        };
        let (mut near, mut far) = (DeliverList::new(), DeliverList::new());
        let (mut rest, mut silent) = (DeliverList::new(), DeliverList::new());
        for name in view.holder_services(head.flow) {
            let Some(service) = view.services.get(name) else {
                round.complete = false;
                continue;
            };
            round.complete &= service.complete;
            let order = SearchOrder::new(service, head.flow);
            let tiers = [
                (SearchTier::Near, order.near),
                (SearchTier::Far, order.far),
                (SearchTier::Rest, order.rest),
            ];
            for (tier, index) in tiers
                .into_iter()
                .flat_map(|(tier, list)| list.into_iter().map(move |index| (tier, index)))
            {
                let endpoint = &service.endpoints[index];
                let key = endpoint.key();
                let is_queried = record.queried.iter().any(|queried| queried.may_be(key));
                // A first packet, which is searched for only if all weights of its route are 0, could open the flow.
                let is_closed = endpoint.evacuated && opening;
                if is_queried || is_closed || record.tried.contains(&key) {
                    continue;
                }
                let digest = endpoint.digest.as_ref();
                if digest.is_some_and(|digest| !digest.contains(fingerprint)) {
                    if endpoint.keepalive_sent >= Some(unresolved_since) {
                        continue;
                    }
                    // The digest is older than the search. A flow opened since the last report is probably at a
                    // candidate of the own zone, so these are queried anyway; the others report once more.
                    if tier != SearchTier::Near {
                        round.needs_confirmation = true;
                        continue;
                    }
                }
                let (list, limit) = match (endpoint.status, tier) {
                    (EndpointStatus::Silent, _) => (&mut silent, SILENT_MAX),
                    (_, SearchTier::Near) => (&mut near, QUERY_MAX),
                    (_, SearchTier::Far) => (&mut far, QUERY_MAX),
                    (_, SearchTier::Rest) => (&mut rest, QUERY_MAX),
                };
                if list.len() < limit {
                    list.push(DeliverTarget {
                        endpoint: key,
                        service: service.digest,
                        forced: false,
                        cold_limit: None,
                    });
                }
            }
        }
        if near.len() < NEAR_MIN {
            near.extend(far.drain(..));
        }
        // Silent endpoints are queried last, since the packet is probably lost there.
        let rounds = [near, far, rest, silent];
        let next = rounds.into_iter().find(|targets| !targets.is_empty());
        round.targets = next.unwrap_or_default();
        round
    }
}

fn round_record(head: &PacketHead, now: Instant) -> RoundRecord {
    RoundRecord {
        ends: now + ROUND_TIME,
        acknowledged: head.acknowledged,
    }
}

/// Returns whether the endpoints of a round should have answered, and the caller still waits for its upstream.
pub(super) fn is_overdue(round: &RoundRecord, head: &PacketHead, now: Instant) -> bool {
    round.ends <= now && round.acknowledged == head.acknowledged
}
