//! Hand-over of requests to other agents of the service.

use http::request::Parts;
use quetzalhill_core::dispatch::DispatchEvent;
use quetzalhill_core::ids::{EndpointId, RequestId};

/// Offers a request to a peer and returns what dispatch has to know.
///
/// There is no transport between agents yet, so every offer counts as not taken, and dispatch decides again.
pub(crate) async fn offer(id: RequestId, peer: EndpointId, _head: &Parts) -> DispatchEvent {
    DispatchEvent::OfferRejected(id, peer)
}
