//! Places new flows, and ranks the endpoints that are queried for a flow.
//!
//! Rendezvous hashing over the flow's addresses gives every entry the same order, and a new flow goes to the least
//! loaded of the first few endpoints. An unknown flow is then found in a few steps, however many endpoints the
//! service has. The expected load is many long flows that are seldom busy, so both open flows and requests in
//! progress count. See docs/relay.md.

use crate::ids::{EndpointId, IncarnationNumber};
use crate::relay::packet::FlowAddresses;
use crate::relay::view::{EndpointStatus, ServiceView, ViewEndpoint};
use smallvec::SmallVec;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Candidates for a new flow in the entry's own zone.
const LOCAL_CANDIDATES: usize = 2;

/// Candidates for a new flow in all other zones.
const REMOTE_CANDIDATES: usize = 3;

/// Candidates for a new flow; a search for a flow queries them first.
pub const CANDIDATES: usize = LOCAL_CANDIDATES + REMOTE_CANDIDATES;

/// Open flows that weigh as much as one request in progress; a flow is busy about a fortieth of the time.
const FLOWS_PER_REQUEST: f64 = 10.0;

/// Requests added to the load of every endpoint, so that the first flows in an idle zone stay in it.
const IDLE_REQUESTS: f64 = 1.0;

/// Load added to that of an endpoint in another zone, as a share of its slots. A caller is served no sooner in another
/// zone while the own one has a free slot, and traffic between zones is dear; at a load peak the difference is gone.
const REMOTE_LOAD: f64 = 0.75;

/// Requests for which a flow counts from its placement until the next report, once placed flows exceed the free
/// slots. Its caller sends a request at once, which has to wait, and other entries place flows in the same interval.
const WAITING_REQUESTS: f64 = 4.0;

/// Factor on the load of an endpoint that is still slow after its start and whose pace is not known.
const COLD_FACTOR: f64 = 2.0;

/// One incarnation of an endpoint. A restart gives an endpoint a new key, since the upstream loses its flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointKey {
    /// Identity of the endpoint, which a restart keeps.
    pub id: EndpointId,
    /// Incarnation of the upstream; 0 while it is not known.
    pub incarnation: IncarnationNumber,
}

/// Endpoints that have been queried for a flow in vain; few, since most flows are found at once.
pub type TriedList = SmallVec<[EndpointKey; 4]>;

/// Indices into the endpoints of a service.
pub type IndexList = SmallVec<[usize; 16]>;

impl ViewEndpoint {
    /// Returns the key of the endpoint's current incarnation.
    pub fn key(&self) -> EndpointKey {
        EndpointKey {
            id: self.id,
            incarnation: self.incarnation,
        }
    }
}

/// Endpoints of a service by the round in which a search for a flow queries them. Within a list they are in the order
/// of their rank.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SearchOrder {
    /// Candidates for new flows in the entry's own zone, which holds most flows of its callers.
    pub near: IndexList,
    /// Candidates for new flows in other zones.
    pub far: IndexList,
    /// All other endpoints.
    pub rest: IndexList,
}

impl SearchOrder {
    /// Returns the endpoints of `service` in the order in which they are queried for `flow`.
    ///
    /// An endpoint that drains stays where it was as a candidate, because it keeps the flows it got as one.
    pub fn new(service: &ServiceView, flow: FlowAddresses) -> Self {
        let bytes = flow.to_bytes();
        let mut scored: SmallVec<[(u64, usize); 16]> = SmallVec::new();
        for (index, endpoint) in service.endpoints.iter().enumerate() {
            scored.push((xxh3_64_with_seed(&bytes, endpoint.id), index));
        }
        scored.sort_unstable_by(|one, other| other.cmp(one));
        let mut order = Self::default();
        let (mut near, mut far) = (0, 0);
        for (_, index) in scored {
            let endpoint = &service.endpoints[index];
            let (list, count, limit) = match endpoint.same_zone {
                true => (&mut order.near, &mut near, LOCAL_CANDIDATES),
                false => (&mut order.far, &mut far, REMOTE_CANDIDATES),
            };
            match endpoint.status {
                EndpointStatus::Ready if *count < limit => {
                    *count += 1;
                    list.push(index);
                }
                EndpointStatus::Draining if *count < limit => list.push(index),
                _ => order.rest.push(index),
            }
        }
        order
    }

    /// Returns all endpoints in order.
    fn into_list(self) -> IndexList {
        let mut list = self.near;
        list.extend(self.far);
        list.extend(self.rest);
        list
    }
}

/// Returns the endpoints of `service` in the order in which they are candidates for `flow`.
pub fn rank(service: &ServiceView, flow: FlowAddresses) -> IndexList {
    SearchOrder::new(service, flow).into_list()
}

/// Returns the load of an endpoint relative to its slots, by which placement compares candidates.
fn load_score(endpoint: &ViewEndpoint, pending: u32, now: Instant) -> f64 {
    let flows = f64::from(endpoint.flows.saturating_add(pending));
    let mut requests = IDLE_REQUESTS + f64::from(endpoint.busy) + flows / FLOWS_PER_REQUEST;
    let free = endpoint.slots.saturating_sub(endpoint.busy);
    requests += f64::from(pending.saturating_sub(free)) * WAITING_REQUESTS;
    let is_cold = endpoint.cold_until.is_some_and(|until| now < until);
    if is_cold && !endpoint.pace_known {
        requests *= COLD_FACTOR;
    } else {
        // Requests that run show the pace already, since a slow upstream has more of them at the same rate. Multiplied as
        // well, they left slow upstreams 10 to 15 % less than their share of the work.
        let running = f64::from(endpoint.busy.min(endpoint.slots));
        requests = requests * endpoint.pace_factor - running * (endpoint.pace_factor - 1.0);
    }
    let load = requests / f64::from(endpoint.slots.max(1));
    match endpoint.same_zone {
        true => load,
        false => load + REMOTE_LOAD,
    }
}

/// Returns the index of the endpoint that takes a new flow, or `None` if no ready endpoint is left to try.
///
/// `pending` returns how many flows the entry has placed on an endpoint since its last report. `avoid` returns
/// whether an endpoint recently left a first packet unanswered; such endpoints are chosen only if there is no other.
pub fn choose_endpoint(
    service: &ServiceView,
    flow: FlowAddresses,
    tried: &TriedList,
    pending: impl Fn(EndpointId) -> u32,
    avoid: impl Fn(EndpointId) -> bool,
    now: Instant,
) -> Option<usize> {
    let mut best: Option<(bool, f64, usize)> = None;
    let mut considered = 0;
    for index in rank(service, flow) {
        let endpoint = &service.endpoints[index];
        if endpoint.status != EndpointStatus::Ready
            || endpoint.evacuated
            || tried.contains(&endpoint.key())
        {
            continue;
        }
        let avoided = avoid(endpoint.id);
        let load = load_score(endpoint, pending(endpoint.id), now);
        if best.is_none_or(|(best_avoided, least, _)| (avoided, load) < (best_avoided, least)) {
            best = Some((avoided, load, index));
        }
        considered += usize::from(!avoided);
        if considered >= CANDIDATES {
            break;
        }
    }
    best.map(|(_, _, index)| index)
}
