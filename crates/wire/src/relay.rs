//! Messages of the relay between entries and agents.
//!
//! A datagram consists of version, kind and a postcard body; a packet of a flow follows its header unchanged. These
//! datagrams carry no authentication tag: the platform gives the processes no shared secret, and the packets
//! themselves are protected end to end. See docs/relay.md.

mod claim;
mod header;
mod open_flows;
mod pace;
mod record;
mod terms;

pub use claim::ClaimNotice;
pub use header::{RelayHeader, RELAY_HEADER_MAX};
pub use open_flows::{decode_flow_record, encode_flow_record, OpenFlowNotice, OPEN_FLOWS_MAX};
pub use pace::PaceNotice;
pub use record::{decode_endpoint, decode_record, encode_endpoint, endpoint_of_key, record_key};

use self::record::StoredEndpoint;
use crate::packet::WIRE_VERSION;
use quetzalhill_core::ids::{
    address_of, id_of, EndpointId, EntryId, IncarnationNumber, RevisionNumber, ServiceName,
    StoreEra, StoreRevision, ZoneName,
};
use quetzalhill_core::relay::confirm::ConfirmId;
use quetzalhill_core::relay::digest::FlowDigest;
use quetzalhill_core::relay::fleet::{
    DueKeepalive, EndpointReport, ListChange, ListEffect, ListedEndpoint,
};
use quetzalhill_core::relay::intake::UpstreamState;
use quetzalhill_core::relay::load::{FlowCoverage, LoadCounts};
use quetzalhill_core::relay::subscribe::{DueReport, EntryKeepalive, ReportRate};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Kind byte of a datagram that carries a packet of a flow.
const KIND_FLOW: u8 = 3;

/// Kind byte of a datagram that carries a [`RelayNotice`]. Kind 4 had keepalives and reports without lifetimes.
const KIND_NOTICE: u8 = 5;

/// Bytes before the postcard body: version and kind.
const PREFIX_BYTES: usize = 2;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RelayError {
    /// The version or kind byte is not one of this module.
    Foreign,
    /// The body cannot be encoded or decoded.
    Body,
    /// The record names no usable address, or another one than its key.
    Address,
}

/// Message between entries and agents that carries no packet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RelayNotice {
    /// From an entry to an agent: requests reports to the sender from now on.
    Keepalive(KeepaliveNotice),
    /// From an agent to an entry: the state of the agent's endpoint.
    Report(ReportNotice),
    /// From an entry that reads the list of endpoints to another one of its zone: changes of the list.
    ListChange(ListNotice),
    /// From an entry to another one of its zone: requests a read of the list of endpoints.
    ConfirmRequest(ConfirmId),
    /// Answer to a [`RelayNotice::ConfirmRequest`], after a read that began later.
    ConfirmAnswer {
        /// Number of the request.
        id: ConfirmId,
        /// Fingerprint of the list that was read.
        list: u64,
    },
    /// From an entry that watches the list to another one of its zone: the state of the sender's list.
    ListState {
        /// Store revision of the latest change that the sender has applied.
        revision: StoreRevision,
        /// Fingerprint of the records that the sender has.
        fingerprint: u64,
    },
    /// The same for the routes: the revision that is in force at the sender.
    RoutesState(RevisionNumber),
    /// A [`RelayNotice::Report`] with the pace of the upstream, from an agent that measures it.
    PacedReport(ReportNotice, PaceNotice),
    /// From an entry that watches what operators wrote to another one of its zone: the state that is in force at the
    /// sender. Takes the place of [`RelayNotice::RoutesState`] where evacuations of zones are followed.
    OperatorState {
        /// Revision of the routes.
        routes: RevisionNumber,
        /// Fingerprint of the evacuated zones.
        evacuations: u64,
    },
    /// From an entry to another one of its zone: the highest era of the store that the sender has seen.
    StoreEra(StoreEra),
    /// From an entry to the one that reads for its zone: open flows that pass through the sender, [`OPEN_FLOWS_MAX`] at most.
    OpenFlows(Vec<OpenFlowNotice>),
    /// A [`RelayNotice::ListChange`] with the era of the store that made the changes, where the store tells it: after a
    /// restore from an older copy the store assigns their revisions again.
    EraListChange(StoreEra, ListNotice),
    /// From an agent to an entry that searches for a flow: the agent's upstream holds it.
    FlowClaim(ClaimNotice),
    /// From an entry to its own socket, behind the answers that have arrived there: the time of sending in microseconds since
    /// the entry started.
    ReadBarrier(u64),
}

/// Changes of the list of endpoints, in the order of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListNotice {
    changes: Vec<StoredChange>,
}

/// Maximum number of changes in one [`ListNotice`], so that it fits into a datagram.
pub const LIST_CHANGES_MAX: usize = 12;

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum StoredChange {
    Written(StoreRevision, StoredEndpoint),
    Removed(StoreRevision, EndpointId),
}

impl ListNotice {
    /// Creates a notice of these changes.
    pub fn new(changes: &[ListChange]) -> Self {
        let mut notice = Self::default();
        for change in changes {
            notice.changes.push(match &change.effect {
                ListEffect::Written(endpoint) => {
                    StoredChange::Written(change.revision, StoredEndpoint::from_listed(endpoint))
                }
                ListEffect::Removed(id) => StoredChange::Removed(change.revision, *id),
            });
        }
        notice
    }

    /// Converts the notice to changes of this era of the store, 0 if it is not known.
    pub fn into_changes(self, era: StoreEra) -> Vec<ListChange> {
        let mut changes = Vec::with_capacity(self.changes.len());
        for change in self.changes {
            let (revision, effect) = match change {
                StoredChange::Written(revision, endpoint) => {
                    (revision, ListEffect::Written(endpoint.into_listed()))
                }
                StoredChange::Removed(revision, id) => (revision, ListEffect::Removed(id)),
            };
            changes.push(ListChange {
                era,
                revision,
                effect,
            });
        }
        changes
    }
}

/// Keepalive of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeepaliveNotice {
    /// Clock of the entry in milliseconds. Reports return it, so that the entry can tell that a report was sent after
    /// this keepalive.
    pub clock_ms: u32,
    /// Whether the agent must send a report immediately instead of at the next interval.
    pub urgent: bool,
    /// Whether the agent reports at changes and at a sparse refresh only.
    pub sparse: bool,
    /// Time for which the agent reports after this keepalive, in milliseconds.
    pub lifetime_ms: u32,
}

impl KeepaliveNotice {
    /// Creates the notice of `keepalive`, sent at `now` by an entry whose clock was 0 at `epoch`.
    pub fn new(keepalive: &DueKeepalive, epoch: Instant, now: Instant) -> Self {
        Self {
            clock_ms: millis_between(epoch, now),
            urgent: keepalive.urgent,
            sparse: keepalive.rate == ReportRate::Sparse,
            lifetime_ms: millis_between(now, keepalive.expires),
        }
    }

    /// Converts the notice, received at `now`, to a keepalive.
    pub fn to_keepalive(self, now: Instant) -> EntryKeepalive {
        let rate = match self.sparse {
            true => ReportRate::Sparse,
            false => ReportRate::Frequent,
        };
        EntryKeepalive {
            clock_ms: self.clock_ms,
            urgent: self.urgent,
            rate,
            expires: now + Duration::from_millis(self.lifetime_ms.into()),
        }
    }
}

fn millis_between(from: Instant, to: Instant) -> u32 {
    let millis = to.saturating_duration_since(from).as_millis();
    u32::try_from(millis).unwrap_or(u32::MAX)
}

/// State of an upstream in a report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StateNotice {
    /// The upstream has not announced itself to this agent yet.
    Unknown,
    /// The upstream accepts new flows.
    Ready,
    /// The upstream finishes its open flows and accepts no new ones.
    Draining,
    /// The announcements of the upstream have stopped.
    Lost,
    /// The upstream has ended.
    Gone,
}

/// Coverage of the open flows in a report.
///
/// The encoding is one byte. Agents of earlier versions send 0 or 1; entries of earlier versions drop reports with 2, so
/// that the endpoint looks silent to them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CoverageNotice {
    /// The agent may not have seen all flows.
    Partial,
    /// All flows were seen, and the addresses of all of them are named.
    Complete,
    /// All flows were seen, and the addresses of some of them are named.
    Truncated,
}

/// State of an endpoint, reported by its agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportNotice {
    /// Service of the endpoint.
    pub service: ServiceName,
    /// Availability zone of the endpoint.
    pub zone: ZoneName,
    /// Incarnation of the upstream; 0 until its first announcement.
    pub incarnation: IncarnationNumber,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Start time of the agent in Unix milliseconds; a report of a restarted agent is newer whatever its number.
    pub started: u64,
    /// Sequence number of the report since the start of the agent.
    pub sequence: u64,
    /// State of the upstream.
    pub state: StateNotice,
    /// Whether the agent is shutting down.
    pub stopping: bool,
    /// Number of open flows.
    pub flows: u32,
    /// Number of requests in progress.
    pub busy: u32,
    /// Remaining warm-up time of the upstream, in milliseconds.
    pub cold_left_ms: u32,
    /// Service addresses of the open flows, packed by [`id_of`].
    pub addresses: Vec<u64>,
    /// How many of the open flows the report accounts for.
    pub coverage: CoverageNotice,
    /// Fingerprints of all flows that the upstream may hold, two bytes each in network byte order; `None` if the agent
    /// reports none.
    pub fingerprints: Option<Vec<u8>>,
    /// Clock of the entry's last keepalive, in milliseconds.
    pub keepalive_ms: u32,
    /// Time for which the report counts if no other follows, in milliseconds.
    pub lifetime_ms: u32,
    /// Some entries of the agent's zone, only in reports to these entries.
    pub peers: Vec<EntryId>,
}

/// A datagram that has been decoded.
#[derive(Debug, Eq, PartialEq)]
pub enum RelayDatagram<'a> {
    /// A packet of a flow.
    Flow(RelayHeader, &'a mut [u8]),
    /// A message without a packet.
    Notice(RelayNotice),
}

impl RelayNotice {
    /// Encodes the notice as a datagram.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError::Body`] if the notice cannot be encoded, which no content of its fields causes.
    pub fn encode(&self) -> Result<Vec<u8>, RelayError> {
        let prefix = vec![WIRE_VERSION, KIND_NOTICE];
        postcard::to_extend(self, prefix).map_err(|_| RelayError::Body)
    }
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns why the datagram has to be dropped.
pub fn decode_datagram(datagram: &mut [u8]) -> Result<RelayDatagram<'_>, RelayError> {
    match datagram {
        [WIRE_VERSION, KIND_FLOW, ..] => decode_flow(datagram),
        [WIRE_VERSION, KIND_NOTICE, body @ ..] => postcard::from_bytes(body)
            .map(RelayDatagram::Notice)
            .map_err(|_| RelayError::Body),
        _ => Err(RelayError::Foreign),
    }
}

fn decode_flow(datagram: &mut [u8]) -> Result<RelayDatagram<'_>, RelayError> {
    let (header, rest) = postcard::take_from_bytes::<RelayHeader>(&datagram[PREFIX_BYTES..])
        .map_err(|_| RelayError::Body)?;
    let start = datagram.len() - rest.len();
    Ok(RelayDatagram::Flow(header, &mut datagram[start..]))
}

impl StateNotice {
    fn from_state(state: UpstreamState) -> Self {
        match state {
            UpstreamState::Unknown => StateNotice::Unknown,
            UpstreamState::Ready => StateNotice::Ready,
            UpstreamState::Draining => StateNotice::Draining,
            UpstreamState::Lost => StateNotice::Lost,
            UpstreamState::Gone => StateNotice::Gone,
        }
    }

    fn to_state(self) -> UpstreamState {
        match self {
            StateNotice::Unknown => UpstreamState::Unknown,
            StateNotice::Ready => UpstreamState::Ready,
            StateNotice::Draining => UpstreamState::Draining,
            StateNotice::Lost => UpstreamState::Lost,
            StateNotice::Gone => UpstreamState::Gone,
        }
    }
}

impl CoverageNotice {
    fn from_coverage(coverage: FlowCoverage) -> Self {
        match coverage {
            FlowCoverage::Partial => CoverageNotice::Partial,
            FlowCoverage::Truncated => CoverageNotice::Truncated,
            FlowCoverage::Complete => CoverageNotice::Complete,
        }
    }

    fn to_coverage(self) -> FlowCoverage {
        match self {
            CoverageNotice::Partial => FlowCoverage::Partial,
            CoverageNotice::Truncated => FlowCoverage::Truncated,
            CoverageNotice::Complete => FlowCoverage::Complete,
        }
    }
}

impl ReportNotice {
    /// Creates the notice of `report` that is `due`, sent at `now`.
    pub fn new(report: &EndpointReport, due: &DueReport, now: Instant) -> Self {
        let cold_left_ms = report
            .cold_until
            .map_or(0, |until| millis_between(now, until));
        Self {
            service: report.endpoint.service.clone(),
            zone: report.endpoint.zone.clone(),
            incarnation: report.endpoint.incarnation,
            slots: report.endpoint.slots,
            started: report.order.0,
            sequence: report.order.1,
            state: StateNotice::from_state(report.state),
            stopping: report.stopping,
            flows: report.load.flows,
            busy: report.load.busy,
            cold_left_ms,
            addresses: report.addresses.iter().copied().map(id_of).collect(),
            coverage: CoverageNotice::from_coverage(report.coverage),
            fingerprints: report.digest.as_deref().map(encode_digest),
            keepalive_ms: due.clock_ms,
            lifetime_ms: millis_between(now, due.expires),
            peers: Vec::new(),
        }
    }

    /// Converts the notice, received at `now` from the agent of endpoint `id`, to a report. `epoch` is the instant at
    /// which the entry's clock was 0.
    pub fn into_report(self, id: EndpointId, epoch: Instant, now: Instant) -> EndpointReport {
        let cold = Duration::from_millis(self.cold_left_ms.into());
        EndpointReport {
            endpoint: ListedEndpoint {
                id,
                service: self.service,
                zone: self.zone,
                incarnation: self.incarnation,
                slots: self.slots,
            },
            order: (self.started, self.sequence),
            state: self.state.to_state(),
            stopping: self.stopping,
            load: LoadCounts {
                flows: self.flows,
                busy: self.busy,
            },
            cold_until: (!cold.is_zero()).then_some(now + cold),
            addresses: self.addresses.into_iter().map(address_of).collect(),
            coverage: self.coverage.to_coverage(),
            digest: self
                .fingerprints
                .as_deref()
                .map(decode_digest)
                .map(Arc::new),
            pace: None,
            keepalive_sent: epoch.checked_add(Duration::from_millis(self.keepalive_ms.into())),
            expires: now + Duration::from_millis(self.lifetime_ms.into()),
        }
    }
}

fn encode_digest(digest: &FlowDigest) -> Vec<u8> {
    let fingerprints = digest.fingerprints().iter();
    fingerprints
        .flat_map(|fingerprint| fingerprint.to_be_bytes())
        .collect()
}

fn decode_digest(bytes: &[u8]) -> FlowDigest {
    let mut fingerprints = Vec::with_capacity(bytes.len() / 2);
    for pair in bytes.chunks_exact(2) {
        fingerprints.push(u16::from_be_bytes([pair[0], pair[1]]));
    }
    FlowDigest::new(fingerprints)
}
