//! HTTP requests that entries and agents serve, and the health probe that an agent sends to its upstream.

use quetzalhill_core::ids::UpstreamName;

pub(crate) const READY_PATH: &str = "/-/ready";
pub(crate) const ANNOUNCE_PREFIX: &str = "/-/Instances.Heartbeat/";
pub(crate) const DEREGISTER_PREFIX: &str = "/-/Instances.Deregister/";

/// HTTP header in which an upstream sends its own name.
const INSTANCE_ID_HEADER: &str = "x-instance-id";

/// Path of an upstream's health check.
pub const HEALTH_PATH: &str = "/health";

/// An HTTP request that arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServerCall {
    /// Readiness probe of the platform's network fabric.
    Ready,
    /// Announcement of an upstream, whose body [`crate::announcement::decode`] decodes.
    Announce(UpstreamName),
    /// Deregistration of an upstream that is about to end.
    Deregister(UpstreamName),
    /// Any other method or path.
    Other,
}

/// Decodes the method and the path of a request.
pub fn decode(method: &str, path: &str) -> ServerCall {
    match method {
        "GET" if path == READY_PATH => ServerCall::Ready,
        "POST" => decode_post(path),
        _ => ServerCall::Other,
    }
}

fn decode_post(path: &str) -> ServerCall {
    if let Some(name) = path.strip_prefix(ANNOUNCE_PREFIX) {
        return ServerCall::Announce(name.into());
    }
    match path.strip_prefix(DEREGISTER_PREFIX) {
        Some(name) => ServerCall::Deregister(name.into()),
        None => ServerCall::Other,
    }
}

/// JSON body of the answer to an announcement that was accepted, and to a deregistration.
pub const ACKNOWLEDGEMENT: &str = "{}";

/// Returns whether `header` is the one in which an upstream sends its name with the answer to a health probe.
pub fn is_instance_id_header(header: &str) -> bool {
    header.eq_ignore_ascii_case(INSTANCE_ID_HEADER)
}
