//! Measures the load of one upstream from the packets of its flows.
//!
//! The bytes of a flow are opaque, but requests and responses alternate: data from the caller makes a flow busy, and
//! data from the upstream makes it idle again.

use crate::relay::digest::{fingerprint_of, FlowDigest, DIGEST_MAX};
use crate::relay::pace::PaceMeter;
use crate::relay::packet::{FlowAddresses, PacketHead, PacketKind};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Idle time after which a flow is no longer counted; twice the usual idle timeout of the catalogue.
pub const IDLE_MAX: Duration = Duration::from_secs(30);

/// Time for which a flow stays in the digest after its upstream has ended it: the upstream retransmits its last data
/// up to eight times, with pauses that double from 200 ms to 1.6 s.
const LINGER_TIME: Duration = Duration::from_secs(11);

/// Time after its opening for which a flow counts as busy; a caller sends its first request with the end of the
/// handshake.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(50);

/// Limit of addresses in a report, which has to fit into one datagram with a digest. A service has a few; a report that
/// lacks some says so.
const ADDRESSES_MAX: usize = 64;

/// Service addresses of open flows.
pub type AddressList = SmallVec<[SocketAddrV4; 4]>;

/// Service addresses that a report names.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AddressSummary {
    /// Addresses to which open flows were opened.
    pub list: AddressList,
    /// Whether `list` has the address of every counted flow.
    pub complete: bool,
}

/// How much a report says of the open flows of an upstream. An entry that takes a part for the whole resets living flows.
/// See docs/relay.md.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowCoverage {
    /// The agent may not have seen all flows.
    Partial,
    /// The agent has seen all flows, but the report names only some of their addresses.
    Truncated,
    /// The agent has seen all flows, and the report names all of their addresses.
    Complete,
}

impl FlowCoverage {
    /// Returns the coverage of a report from an agent that has seen all flows or not, and names all addresses or not.
    pub fn new(seen_all: bool, named_all: bool) -> Self {
        match (seen_all, named_all) {
            (false, _) => FlowCoverage::Partial,
            (true, false) => FlowCoverage::Truncated,
            (true, true) => FlowCoverage::Complete,
        }
    }

    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            FlowCoverage::Partial => "partial",
            FlowCoverage::Truncated => "truncated",
            FlowCoverage::Complete => "complete",
        }
    }
}

/// Limit of counted flows; an upstream holds some thousands. Reports say that they lack flows beyond it.
const FLOWS_MAX: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct FlowActivity {
    /// Start of the request in progress.
    busy_since: Option<Instant>,
    /// Point in time until which the first request of a new flow counts although it has not arrived.
    awaited_until: Option<Instant>,
    opened: Instant,
    /// Bytes that the caller had received when it sent its last request; a copy of the request has the same number, and
    /// the next request a higher one.
    request_acknowledged: Option<u32>,
    /// Whether the upstream has sent more than its acceptance. A flow that several upstreams accept opens at one of them.
    confirmed: bool,
    /// Whether the upstream has sent its last data, which the caller may not have received.
    ended: bool,
    expires: Instant,
}

/// Outcome of a request, as far as the packets show it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The response began this long after the request.
    Answered(Duration),
    /// The upstream reset the flow while the request was in progress.
    Reset,
}

/// Load of an upstream in a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadCounts {
    /// Open flows that have not been idle for too long.
    pub flows: u32,
    /// Flows with a request in progress.
    pub busy: u32,
}

/// Counts open flows and requests in progress.
#[derive(Debug, Default)]
pub struct LoadMeter {
    flows: HashMap<FlowAddresses, FlowActivity>,
    /// End of the time for which a flow beyond [`FLOWS_MAX`] may be open that is not counted.
    uncounted_until: Option<Instant>,
    pace: Option<PaceMeter>,
}

impl LoadMeter {
    /// Makes a meter that also measures the pace of the upstream.
    pub fn with_pace(pace: PaceMeter) -> Self {
        Self {
            pace: Some(pace),
            ..Self::default()
        }
    }

    /// Returns the meter of the upstream's pace, if it is measured.
    pub fn pace(&mut self) -> Option<&mut PaceMeter> {
        self.pace.as_mut()
    }

    /// Records a packet that was delivered to the upstream.
    pub fn record_delivered(&mut self, head: &PacketHead, now: Instant) {
        if head.kind == PacketKind::Reset {
            self.flows.remove(&head.flow);
            if let Some(pace) = &mut self.pace {
                pace.abort(head.flow, now);
            }
            return;
        }
        let Some(activity) = self.flows.get_mut(&head.flow) else {
            return;
        };
        if activity.ended {
            return;
        }
        if head.data_len > 0 {
            activity.busy_since = activity.busy_since.or(Some(now));
            activity.awaited_until = None;
            let acknowledged = Some(head.acknowledged);
            let is_copy = activity.request_acknowledged == acknowledged;
            activity.request_acknowledged = acknowledged;
            if let Some(pace) = self.pace.as_mut().filter(|_| !is_copy) {
                pace.begin(head.flow, now);
            }
        }
        activity.expires = now + IDLE_MAX;
    }

    /// Records that the request on a flow waits at the agent, which counts it itself until it is delivered.
    pub fn record_held(&mut self, flow: FlowAddresses) {
        if let Some(activity) = self.flows.get_mut(&flow) {
            activity.awaited_until = None;
        }
    }

    /// Records a packet that the upstream sent, and returns the outcome of the request that it ends, if any.
    pub fn record_sent(&mut self, head: &PacketHead, now: Instant) -> Option<RequestOutcome> {
        if let Some(pace) = &mut self.pace {
            pace.record_sent(head, now);
        }
        match head.kind {
            PacketKind::Ending => {
                let activity = self.flows.get_mut(&head.flow)?;
                if !activity.ended {
                    activity.ended = true;
                    activity.expires = now + LINGER_TIME;
                }
                activity.awaited_until = None;
                let started = activity.busy_since.take().filter(|_| head.data_len > 0)?;
                let waited = now.saturating_duration_since(started);
                return Some(RequestOutcome::Answered(waited));
            }
            PacketKind::Reset => {
                let activity = self.flows.remove(&head.flow)?;
                return activity.busy_since.map(|_| RequestOutcome::Reset);
            }
            PacketKind::Opening { .. } | PacketKind::Accepting | PacketKind::Established => {}
        }
        if self.flows.len() >= FLOWS_MAX && !self.flows.contains_key(&head.flow) {
            self.uncounted_until = Some(now + IDLE_MAX);
            return None;
        }
        let activity = self.flows.entry(head.flow).or_insert(FlowActivity {
            busy_since: None,
            awaited_until: Some(now + FIRST_REQUEST_WAIT),
            opened: now,
            request_acknowledged: None,
            confirmed: false,
            ended: false,
            expires: now,
        });
        activity.confirmed |= head.kind != PacketKind::Accepting;
        if !activity.ended {
            activity.expires = now + IDLE_MAX;
        }
        if head.data_len == 0 {
            return None;
        }
        let started = activity.busy_since.take()?;
        let waited = now.saturating_duration_since(started);
        Some(RequestOutcome::Answered(waited))
    }

    /// Returns whether the upstream is known to hold the flow.
    pub fn holds(&self, flow: FlowAddresses) -> bool {
        let activity = self.flows.get(&flow);
        activity.is_some_and(|activity| activity.confirmed)
    }

    /// Removes the flows opened before `restarted_at`, when the upstream restarted and lost them.
    pub fn forget_before(&mut self, restarted_at: Instant) {
        self.flows
            .retain(|_, activity| activity.opened >= restarted_at);
    }

    /// Returns the number of requests in progress or expected at once on new flows.
    pub fn pending_requests(&self, now: Instant) -> u32 {
        let active = self.flows.values().filter(|activity| {
            activity.busy_since.is_some() || activity.awaited_until.is_some_and(|until| now < until)
        });
        u32::try_from(active.count()).unwrap_or(u32::MAX)
    }

    /// Removes the flows that have been idle for too long, and returns the counts of the rest.
    pub fn counts(&mut self, now: Instant) -> LoadCounts {
        self.flows.retain(|_, activity| now < activity.expires);
        self.uncounted_until = self.uncounted_until.filter(|until| now < *until);
        let busy = self
            .flows
            .values()
            .filter(|activity| activity.busy_since.is_some())
            .count();
        let open = self.flows.values().filter(|activity| !activity.ended);
        LoadCounts {
            flows: u32::try_from(open.count()).unwrap_or(u32::MAX),
            busy: u32::try_from(busy).unwrap_or(u32::MAX),
        }
    }

    /// Returns the digest of all flows that the upstream may hold, or `None` if there are too many for one or some are
    /// not counted.
    pub fn digest(&self) -> Option<FlowDigest> {
        if self.flows.len() > DIGEST_MAX || self.uncounted_until.is_some() {
            return None;
        }
        let flows = self.flows.keys().copied();
        Some(FlowDigest::new(flows.map(fingerprint_of).collect()))
    }

    /// Returns the service addresses to which the open flows were opened.
    ///
    /// A route may have moved to another service since, so the routes alone do not tell which service holds the
    /// flows.
    pub fn addresses(&self) -> AddressSummary {
        let mut summary = AddressSummary {
            list: AddressList::new(),
            complete: self.uncounted_until.is_none(),
        };
        for flow in self.flows.keys() {
            if summary.list.contains(&flow.service) {
                continue;
            }
            if summary.list.len() >= ADDRESSES_MAX {
                summary.complete = false;
                break;
            }
            summary.list.push(flow.service);
        }
        summary
    }
}
