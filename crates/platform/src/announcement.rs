//! Announcements of upstreams.

use quetzalhill_core::ids::UpstreamName;
use quetzalhill_core::relay::presence::UpstreamAnnouncement;
use serde::Deserialize;
use std::time::{Duration, Instant};

/// The body of an announcement.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct AnnouncementBody {
    service: String,
    zone: String,
    /// Requests that the upstream runs at the same time, its slots.
    max_concurrency: u32,
    state: AnnouncedState,
    /// How much longer the upstream is slow after its start, in milliseconds.
    cold_left_ms: u64,
    sequence: u64,
    /// Unix milliseconds of the start of this life; the only field that tells lives of one name apart.
    #[serde(default)]
    born: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum AnnouncedState {
    Ready,
    Draining,
}

/// Decodes the announcement of the upstream `name`, which arrived at `now`.
///
/// # Errors
///
/// Says which field is missing or of another type.
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
