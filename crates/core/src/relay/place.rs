//! Choice of an endpoint for a new flow, and the order in which endpoints are asked for a flow.
//!
//! Rendezvous hashing over the flow's addresses gives every entry the same order, and a new flow goes to the least
//! loaded of the first few. The load meant is that of long flows with requests in between: many flows, each seldom
//! busy, so that both open flows and requests in progress count. An unknown flow is then found within a few
//! steps, however many endpoints the service has. See docs/relay.md.

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

/// Candidates for a new flow; a flow is looked for among them first.
pub const CANDIDATES: usize = LOCAL_CANDIDATES + REMOTE_CANDIDATES;

/// Open flows that weigh as much as one request in progress: a flow is busy about a fortieth of the time.
const FLOWS_PER_REQUEST: f64 = 10.0;

/// Requests that every endpoint counts as busy with, so that the first flows of a quiet zone stay in it.
const IDLE_REQUESTS: f64 = 1.0;

/// Requests that an endpoint in another zone counts as busy with beyond its own. The zone of the caller saves the bytes
/// between zones as long as its endpoints are at most this much busier, which counts for little at a crest.
const REMOTE_REQUESTS: f64 = 1.0;

/// Requests that a flow counts as from its placement until the next report, once they exceed the free slots: its caller
/// sends one at once and has to wait, and other entries place flows in the same interval.
const WAITING_REQUESTS: f64 = 4.0;

/// Factor on the load of an endpoint that is slow after its start.
const COLD_FACTOR: f64 = 2.0;

/// An endpoint in one of its lives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointKey {
    /// The endpoint.
    pub id: EndpointId,
    /// The life.
    pub incarnation: IncarnationNumber,
}

/// Endpoints that have been asked for a flow; most flows are found at once.
pub type TriedList = SmallVec<[EndpointKey; 4]>;

/// Indices into the endpoints of a service.
pub type IndexList = SmallVec<[usize; 16]>;

impl ViewEndpoint {
    /// Returns the endpoint in its present life.
    pub fn key(&self) -> EndpointKey {
        EndpointKey {
            id: self.id,
            incarnation: self.incarnation,
        }
    }
}

/// Returns the endpoints of `service` in the order in which they are asked for `flow`.
///
/// The candidates of new flows come first, then the other endpoints by rank.
pub fn rank(service: &ServiceView, flow: FlowAddresses) -> IndexList {
    let bytes = flow.to_bytes();
    let mut scored: SmallVec<[(u64, usize); 16]> = SmallVec::new();
    for (index, endpoint) in service.endpoints.iter().enumerate() {
        scored.push((xxh3_64_with_seed(&bytes, endpoint.id), index));
    }
    scored.sort_unstable_by(|one, other| other.cmp(one));
    let mut order = IndexList::new();
    let mut rest = IndexList::new();
    let (mut local, mut remote) = (0, 0);
    for (_, index) in scored {
        let endpoint = &service.endpoints[index];
        let (count, limit) = match endpoint.same_zone {
            true => (&mut local, LOCAL_CANDIDATES),
            false => (&mut remote, REMOTE_CANDIDATES),
        };
        if endpoint.status != EndpointStatus::Ready || *count >= limit {
            rest.push(index);
            continue;
        }
        *count += 1;
        order.push(index);
    }
    order.extend(rest);
    order
}

/// Returns the load of an endpoint in units of its slots, as placement compares it.
fn load_score(endpoint: &ViewEndpoint, pending: u32, now: Instant) -> f64 {
    let flows = f64::from(endpoint.flows.saturating_add(pending));
    let mut requests = IDLE_REQUESTS + f64::from(endpoint.busy) + flows / FLOWS_PER_REQUEST;
    let free = endpoint.slots.saturating_sub(endpoint.busy);
    requests += f64::from(pending.saturating_sub(free)) * WAITING_REQUESTS;
    if !endpoint.same_zone {
        requests += REMOTE_REQUESTS;
    }
    let mut load = requests / f64::from(endpoint.slots.max(1));
    if endpoint.cold_until.is_some_and(|until| now < until) {
        load *= COLD_FACTOR;
    }
    load
}

/// Returns the endpoint that takes a new flow, or nothing if none is left.
///
/// `pending` says how many flows the entry has placed on an endpoint since its last report, and `avoid` which
/// endpoints left a first packet unanswered; they are taken only if there is no other.
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
        if endpoint.status != EndpointStatus::Ready || tried.contains(&endpoint.key()) {
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
