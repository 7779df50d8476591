//! Decides whether two accounts of an endpoint concern the same incarnation of its upstream, and whether the holder of
//! a flow still runs.
//!
//! Accounts come from the store's list, from reports of agents and from returned packets. An agent that has just
//! started does not know the incarnation of its upstream until the first announcement. It reports and registers
//! [`UNKNOWN_INCARNATION`] meanwhile, which says nothing about a restart of the upstream. That an endpoint is missing
//! from a view says nothing either: an endpoint whose lease expired returns with its flows. Only another known
//! incarnation ends the flows of an earlier one, and only the upstream itself can tell that it does not hold a flow.
//! See docs/relay.md.

use crate::ids::{EndpointId, IncarnationNumber};
use crate::relay::digest::fingerprint_of;
use crate::relay::list::ListedEndpoint;
use crate::relay::packet::FlowAddresses;
use crate::relay::place::EndpointKey;
use crate::relay::view::{EndpointStatus, RelayView, ServiceView, ViewEndpoint};

/// Incarnation in the account of an agent that has not received an announcement of its upstream.
pub const UNKNOWN_INCARNATION: IncarnationNumber = 0;

/// How the incarnations in two accounts of one endpoint relate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncarnationMatch {
    /// Both name the same incarnation.
    Same,
    /// At least one of them does not know the incarnation, so that both may concern the same one.
    Unknown,
    /// They name different incarnations: the upstream has restarted, and the flows of the earlier one are gone.
    Other,
}

/// Compares the incarnations in two accounts of one endpoint.
pub fn match_incarnations(first: IncarnationNumber, second: IncarnationNumber) -> IncarnationMatch {
    match (first, second) {
        (UNKNOWN_INCARNATION, _) | (_, UNKNOWN_INCARNATION) => IncarnationMatch::Unknown,
        _ if first == second => IncarnationMatch::Same,
        _ => IncarnationMatch::Other,
    }
}

/// Returns `told` with the incarnation that is known after it: an account that does not know the incarnation leaves the
/// one of `known`, unless the address now belongs to another service.
pub fn merge_accounts(known: &ListedEndpoint, told: ListedEndpoint) -> ListedEndpoint {
    if told.incarnation != UNKNOWN_INCARNATION || told.service != known.service {
        return told;
    }
    ListedEndpoint {
        incarnation: known.incarnation,
        ..told
    }
}

impl EndpointKey {
    /// Returns whether both keys may name the same incarnation of one endpoint.
    pub fn may_be(self, other: EndpointKey) -> bool {
        let relation = match_incarnations(self.incarnation, other.incarnation);
        self.id == other.id && relation != IncarnationMatch::Other
    }
}

/// What a view says of the endpoint that holds a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HolderState<'a> {
    /// The incarnation may still hold its flows.
    Current {
        /// The holder, with its incarnation if the flow table or the view knows it.
        key: EndpointKey,
        /// Service of the holder.
        service: &'a ServiceView,
    },
    /// The upstream has restarted, so that the holder's flows are gone.
    Replaced {
        /// The incarnation that runs now.
        by: EndpointKey,
    },
    /// The view has no such endpoint; it may return with its flows.
    Absent,
}

impl RelayView {
    /// Returns whether `holder`, to which the packets of `flow` went, is the same endpoint and still runs.
    pub fn holder_state(&self, flow: FlowAddresses, holder: EndpointKey) -> HolderState<'_> {
        for service in self.holders(flow) {
            let found = |endpoint: &&ViewEndpoint| endpoint.id == holder.id;
            let Some(endpoint) = service.endpoints.iter().find(found) else {
                continue;
            };
            return compare_holder(flow, holder, endpoint, service);
        }
        HolderState::Absent
    }

    /// Returns whether `queried`, to which packets of `flow` went, probably answers: it is in the view and not silent.
    pub fn is_awaited(&self, flow: FlowAddresses, queried: EndpointKey) -> bool {
        let mut endpoints = self.holders(flow).flat_map(|service| &service.endpoints);
        endpoints
            .find(|endpoint| endpoint.id == queried.id)
            .is_some_and(|endpoint| endpoint.status != EndpointStatus::Silent)
    }
}

fn compare_holder<'a>(
    flow: FlowAddresses,
    holder: EndpointKey,
    endpoint: &ViewEndpoint,
    service: &'a ServiceView,
) -> HolderState<'a> {
    let seen = endpoint.key();
    let key = match match_incarnations(holder.incarnation, seen.incarnation) {
        IncarnationMatch::Other => return HolderState::Replaced { by: seen },
        IncarnationMatch::Same => holder,
        IncarnationMatch::Unknown if seen.incarnation == UNKNOWN_INCARNATION => holder,
        // The flow was found before the incarnation was known. If the incarnation began since, its digest lacks the
        // flow.
        IncarnationMatch::Unknown if lacks_flow(endpoint, flow) => {
            return HolderState::Replaced { by: seen }
        }
        IncarnationMatch::Unknown => seen,
    };
    HolderState::Current { key, service }
}

fn lacks_flow(endpoint: &ViewEndpoint, flow: FlowAddresses) -> bool {
    let digest = endpoint.digest.as_ref();
    digest.is_some_and(|digest| !digest.contains(fingerprint_of(flow)))
}

/// Source from which an entry learned the incarnation of an endpoint.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum IncarnationSource {
    /// The endpoint's record in the store's list.
    List,
    /// A report of the endpoint's agent.
    Report,
}

impl IncarnationSource {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            IncarnationSource::List => "list",
            IncarnationSource::Report => "report",
        }
    }
}

/// A change of the incarnation that an entry has for an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IncarnationChange {
    /// Endpoint whose incarnation changed.
    pub id: EndpointId,
    /// Incarnation before the change; [`UNKNOWN_INCARNATION`] if it was not known.
    pub before: IncarnationNumber,
    /// Incarnation after the change.
    pub after: IncarnationNumber,
    /// Where the new incarnation comes from.
    pub source: IncarnationSource,
}
