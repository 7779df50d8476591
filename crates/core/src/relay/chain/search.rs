//! Rounds of the search for the holder of a flow that the flow table does not know. See docs/relay.md.

use super::{
    DeliverList, DeliverReason, DeliverTarget, RelayChain, RelayDrop, RelayVerdict, ResetReason,
};
use crate::relay::digest::{fingerprint_of, FlowFingerprint};
use crate::relay::flows::FlowRecord;
use crate::relay::hold::HoldReason;
use crate::relay::packet::{PacketHead, PacketKind};
use crate::relay::place::{rank, IndexList, SearchOrder};
use crate::relay::rounds::RoundRecord;
use crate::relay::view::{EndpointStatus, RelayView, ServiceView, ViewEndpoint};
use std::time::Instant;

/// Endpoints queried at the same time once the candidates of new flows have been queried.
const QUERY_MAX: usize = 16;

/// Candidates in the entry's zone below which those of other zones are queried with them.
const NEAR_MIN: usize = 2;

/// Silent endpoints to which a packet is sent at the same time. A silent endpoint probably does not receive it.
const SILENT_MAX: usize = 2;

/// Round of a search in which an endpoint is queried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SearchTier {
    Near,
    Far,
    Rest,
    /// Endpoints of a service that may hold the flow although nothing names it for the address of the flow.
    Unnamed,
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
    /// Queries the next endpoints as well as `targets`, which have not answered and may be lost or only slow.
    ///
    /// A new round begins even if no endpoint is left to query, since one may be listed again later.
    pub(super) fn widen(
        &mut self,
        head: &PacketHead,
        mut targets: DeliverList,
        view: &RelayView,
        now: Instant,
    ) -> RelayVerdict {
        let next = self.next_round(head, view, now);
        let record = self.flows.record(head.flow);
        record
            .queried
            .extend(next.targets.iter().map(|target| target.endpoint));
        let begun = RoundRecord::new(head, now);
        record.round = Some(record.round.map_or(begun, |round| round.next(now)));
        let reason = match next.targets.is_empty() {
            true => DeliverReason::TableHit,
            false => DeliverReason::Queried,
        };
        targets.extend(next.targets);
        if targets.is_empty() {
            return RelayVerdict::Drop(RelayDrop::Duplicate);
        }
        RelayVerdict::Deliver { targets, reason }
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
            record.round = Some(RoundRecord::new(head, now));
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
    /// then the others, then those of services that reports do not rule out. Most flows are found in the first round,
    /// without a copy of the packet in another zone.
    fn next_round(&mut self, head: &PacketHead, view: &RelayView, now: Instant) -> SearchRound {
        let record = self.flows.record(head.flow);
        // The flow was open before this time, so reports and lists read after it show whether the flow still exists.
        let unresolved_since = *record.unresolved_since.get_or_insert(now);
        let opening = matches!(head.kind, PacketKind::Opening { .. });
        let mut plan = RoundPlan {
            record,
            fingerprint: fingerprint_of(head.flow),
            opening,
            unresolved_since,
            lists: RoundLists::default(),
            complete: view.synced && view.holders_known,
            needs_confirmation: view.endpoints_read < Some(unresolved_since),
        };
        for name in view.holder_services(head.flow) {
            let Some(service) = view.services.get(name) else {
                plan.complete = false;
                continue;
            };
            let order = SearchOrder::new(service, head.flow);
            plan.add(service, SearchTier::Near, order.near);
            plan.add(service, SearchTier::Far, order.far);
            plan.add(service, SearchTier::Rest, order.rest);
            plan.complete &= service.complete;
        }
        // An upstream would accept a first packet, also one of a service that the route never led to.
        if !opening {
            for name in view.unnamed_services(head.flow) {
                let Some(service) = view.services.get(name) else {
                    plan.complete = false;
                    continue;
                };
                plan.add(service, SearchTier::Unnamed, rank(service, head.flow));
                plan.complete &= service.complete;
            }
        }
        plan.into_round()
    }
}

/// Endpoints that are left to query, by the round in which it is their turn.
#[derive(Debug, Default)]
struct RoundLists {
    near: DeliverList,
    far: DeliverList,
    rest: DeliverList,
    unnamed: DeliverList,
    silent: DeliverList,
}

/// Collects the endpoints that are left to query for a flow.
#[derive(Debug)]
struct RoundPlan<'a> {
    record: &'a FlowRecord,
    fingerprint: FlowFingerprint,
    opening: bool,
    /// Only reports and lists from later than this can rule out an endpoint.
    unresolved_since: Instant,
    lists: RoundLists,
    complete: bool,
    needs_confirmation: bool,
}

impl RoundPlan<'_> {
    /// Adds the endpoints of `service` with these indices, unless they were queried or cannot hold the flow.
    fn add(&mut self, service: &ServiceView, tier: SearchTier, indices: IndexList) {
        for index in indices {
            let endpoint = &service.endpoints[index];
            if !self.is_left(endpoint, tier) {
                continue;
            }
            let lists = &mut self.lists;
            let (list, limit) = match (endpoint.status, tier) {
                (EndpointStatus::Silent, _) => (&mut lists.silent, SILENT_MAX),
                (_, SearchTier::Near) => (&mut lists.near, QUERY_MAX),
                (_, SearchTier::Far) => (&mut lists.far, QUERY_MAX),
                (_, SearchTier::Rest) => (&mut lists.rest, QUERY_MAX),
                (_, SearchTier::Unnamed) => (&mut lists.unnamed, QUERY_MAX),
            };
            if list.len() >= limit {
                continue;
            }
            list.push(DeliverTarget {
                endpoint: endpoint.key(),
                service: service.digest,
                forced: !self.opening,
                cold_limit: None,
            });
        }
    }

    /// Returns whether the endpoint has to be queried, now or in a later round.
    fn is_left(&mut self, endpoint: &ViewEndpoint, tier: SearchTier) -> bool {
        let key = endpoint.key();
        let mut queried = self.record.queried.iter();
        // A first packet, which is searched for only if all weights of its route are 0, could open the flow.
        let is_closed = endpoint.evacuated && self.opening;
        if is_closed
            || queried.any(|queried| queried.may_be(key))
            || self.record.tried.contains(&key)
        {
            return false;
        }
        let digest = endpoint.digest.as_ref();
        if digest.is_none_or(|digest| digest.contains(self.fingerprint)) {
            return true;
        }
        if endpoint.keepalive_sent >= Some(self.unresolved_since) {
            return false;
        }
        // The digest is older than the search. A flow opened since the last report is probably at a candidate of the own
        // zone, so these are queried anyway; the others report once more.
        if tier == SearchTier::Near {
            return true;
        }
        self.needs_confirmation = true;
        false
    }

    fn into_round(self) -> SearchRound {
        let RoundLists {
            mut near,
            mut far,
            rest,
            unnamed,
            silent,
        } = self.lists;
        if near.len() < NEAR_MIN {
            near.extend(far.drain(..));
        }
        // Silent endpoints are queried last, since the packet is probably lost there. They may not answer, so that the
        // endpoints of unnamed services do not wait for them.
        let mut last = silent;
        last.extend(unnamed);
        let rounds = [near, far, rest, last];
        let next = rounds.into_iter().find(|targets| !targets.is_empty());
        SearchRound {
            targets: next.unwrap_or_default(),
            complete: self.complete,
            needs_confirmation: self.needs_confirmation,
        }
    }
}
