//! Decoding of the announcements by which upstreams register and refresh themselves.

use quetzalhill_core::ids::{IncarnationNumber, UpstreamName};
use quetzalhill_core::relay::identity::UNKNOWN_INCARNATION;
use quetzalhill_core::relay::presence::UpstreamAnnouncement;
use serde::Deserialize;
use std::time::{Duration, Instant};

/// JSON body of an announcement.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct AnnouncementBody {
    service: String,
    zone: String,
    /// Number of requests that the upstream runs concurrently, its slots.
    max_concurrency: u32,
    state: AnnouncedState,
    /// Remaining warm-up time, during which the upstream is slow, in milliseconds.
    cold_left_ms: u64,
    sequence: u64,
    /// Start of this incarnation in Unix milliseconds; the only field that distinguishes incarnations of one name.
    #[serde(default)]
    born: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum AnnouncedState {
    Ready,
    Draining,
}

/// JSON body of a deregistration; it may be missing.
#[derive(Debug, Deserialize)]
struct DeregistrationBody {
    /// Start of the incarnation that ends, in Unix milliseconds.
    born: u64,
}

/// Decodes the incarnation that a deregistration names; [`UNKNOWN_INCARNATION`] if it names none.
pub fn decode_deregistration(body: &[u8]) -> IncarnationNumber {
    let body: Result<DeregistrationBody, _> = serde_json::from_slice(body);
    body.map_or(UNKNOWN_INCARNATION, |body| body.born)
}

/// Decodes the announcement of the upstream `name`, which arrived at `now`.
///
/// # Errors
///
/// Returns the decoder's error, which names the field that is missing or has another type.
pub fn decode(
    name: UpstreamName,
    body: &[u8],
    now: Instant,
) -> Result<UpstreamAnnouncement, serde_json::Error> {
    let body: AnnouncementBody = serde_json::from_slice(body)?;
    let cold = Duration::from_millis(body.cold_left_ms);
    Ok(UpstreamAnnouncement {
        name,
        incarnation: body.born,
        sequence: body.sequence,
        service: body.service,
        zone: body.zone,
        slots: body.max_concurrency,
        draining: body.state == AnnouncedState::Draining,
        cold_until: now.checked_add(cold),
    })
}
