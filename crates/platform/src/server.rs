//! Calls that arrive at the system's own addresses over HTTP, and the one that it makes to an upstream.

use quetzalhill_core::ids::UpstreamName;

pub(crate) const READY_PATH: &str = "/-/ready";
pub(crate) const ANNOUNCE_PREFIX: &str = "/-/Instances.Heartbeat/";
pub(crate) const GOODBYE_PREFIX: &str = "/-/Instances.Deregister/";

/// Header in which an upstream names itself.
const NAME_HEADER: &str = "x-instance-id";

/// Path under which an upstream says whether it is healthy, unless the catalogue names another.
pub const HEALTH_PATH: &str = "/health";

/// A call that arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServerCall {
    /// The fabric asks whether the instance takes packets.
    Ready,
    /// An upstream announces itself; the body is for [`crate::announcement::decode`].
    Announce(UpstreamName),
    /// An upstream says that it ends.
    Goodbye(UpstreamName),
    /// Anything else.
    Other,
}

/// Decodes the method and the path of a call.
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
    match path.strip_prefix(GOODBYE_PREFIX) {
        Some(name) => ServerCall::Goodbye(name.into()),
        None => ServerCall::Other,
    }
}

/// Body of the answer that acknowledges an announcement.
pub const ACKNOWLEDGEMENT: &str = "{}";

/// Returns whether `header` names the upstream that answers a health probe.
pub fn is_name_header(header: &str) -> bool {
    header.eq_ignore_ascii_case(NAME_HEADER)
}
