//! Messages of the relay between entries and agents.
//!
//! A datagram is version, kind and a postcard body; a packet of a flow follows its header unchanged. These
//! datagrams carry no tag: the platform gives the processes no shared secret, and the packets themselves are
//! protected end to end. See docs/relay.md.

use crate::packet::WIRE_VERSION;
use quetzalhill_core::ids::{
    address_of, id_of, EndpointId, IncarnationNumber, ServiceDigest, ServiceName, ZoneName,
};
use quetzalhill_core::relay::digest::FlowDigest;
use quetzalhill_core::relay::fleet::{EndpointReport, ListedEndpoint};
use quetzalhill_core::relay::intake::{ReturnReason, UpstreamState};
use quetzalhill_core::relay::load::LoadCounts;
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Kind byte of a datagram that carries a packet of a flow.
const KIND_FLOW: u8 = 3;

/// Kind byte of a datagram that carries a [`RelayNotice`].
const KIND_NOTICE: u8 = 4;

/// Bytes before the postcard body: version and kind.
const PREFIX_BYTES: usize = 2;

/// Most bytes that the prefix and the header of a packet take.
pub const RELAY_HEADER_MAX: usize = 24;

/// Elements of the postcard tuple of a header.
const FIELDS: usize = 3;

/// What entry and agent tell each other about one packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayHeader {
    /// From an entry: the packet is for an endpoint of the service.
    Deliver {
        /// Service that must be that of the endpoint.
        service: ServiceDigest,
        /// Whether a new flow is for the endpoint although it is busy, since others are too.
        forced: bool,
    },
    /// From an agent: the endpoint does not hold the flow.
    Return {
        /// Life of the upstream; 0 while the agent does not know it.
        incarnation: IncarnationNumber,
        /// Why.
        reason: ReturnReason,
    },
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RelayError {
    /// Another version or kind.
    Foreign,
    /// The body does not decode.
    Body,
}

const TAG_DELIVER: u8 = 0;
const TAG_NOT_HELD: u8 = 1;
const TAG_NOT_READY: u8 = 2;
const TAG_WRONG_SERVICE: u8 = 3;
const TAG_BUSY: u8 = 4;
const TAG_FAILING: u8 = 5;

// The visitor is written by hand, because every packet has this header and derived code would nest two enums.
impl Serialize for RelayHeader {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let (tag, value, detail) = match *self {
            RelayHeader::Deliver { service, forced } => (TAG_DELIVER, service, u32::from(forced)),
            RelayHeader::Return {
                incarnation,
                reason,
            } => (reason_tag(reason), incarnation, reason_detail(reason)),
        };
        let mut tuple = serializer.serialize_tuple(FIELDS)?;
        tuple.serialize_element(&tag)?;
        tuple.serialize_element(&value)?;
        tuple.serialize_element(&detail)?;
        tuple.end()
    }
}

fn reason_tag(reason: ReturnReason) -> u8 {
    match reason {
        ReturnReason::NotHeld => TAG_NOT_HELD,
        ReturnReason::NotReady => TAG_NOT_READY,
        ReturnReason::WrongService => TAG_WRONG_SERVICE,
        ReturnReason::Busy { .. } => TAG_BUSY,
        ReturnReason::Failing => TAG_FAILING,
    }
}

fn reason_detail(reason: ReturnReason) -> u32 {
    match reason {
        ReturnReason::Busy { requests } => requests,
        ReturnReason::NotHeld
        | ReturnReason::NotReady
        | ReturnReason::Failing
        | ReturnReason::WrongService => 0,
    }
}

struct HeaderVisitor;

impl<'de> Visitor<'de> for HeaderVisitor {
    type Value = RelayHeader;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a relay header of {FIELDS} elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<RelayHeader, A::Error> {
        let missing = || A::Error::custom("the relay header is too short");
        let tag: u8 = seq.next_element()?.ok_or_else(missing)?;
        let value: u64 = seq.next_element()?.ok_or_else(missing)?;
        let detail: u32 = seq.next_element()?.ok_or_else(missing)?;
        let reason = match tag {
            TAG_DELIVER => {
                return Ok(RelayHeader::Deliver {
                    service: value,
                    forced: detail != 0,
                })
            }
            TAG_NOT_HELD => ReturnReason::NotHeld,
            TAG_NOT_READY => ReturnReason::NotReady,
            TAG_WRONG_SERVICE => ReturnReason::WrongService,
            TAG_BUSY => ReturnReason::Busy { requests: detail },
            TAG_FAILING => ReturnReason::Failing,
            _ => return Err(A::Error::custom("an unknown kind of relay header")),
        };
        Ok(RelayHeader::Return {
            incarnation: value,
            reason,
        })
    }
}

impl<'de> Deserialize<'de> for RelayHeader {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(FIELDS, HeaderVisitor)
    }
}

/// What entries and agents tell each other besides packets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RelayNotice {
    /// From an entry: the agent is asked to report to the sender from now on.
    Hello(HelloNotice),
    /// From an agent: how its endpoint is.
    Report(ReportNotice),
}

/// A greeting of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HelloNotice {
    /// Clock of the entry in milliseconds; reports return it, so that the entry knows that they are later.
    pub clock_ms: u32,
    /// Whether the agent is asked to report at once.
    pub urgent: bool,
}

/// State of an upstream in a report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StateNotice {
    /// Nothing is known yet.
    Unknown,
    /// It takes new flows.
    Ready,
    /// It finishes its flows.
    Draining,
    /// It has not announced itself for a while.
    Lost,
    /// It has ended.
    Gone,
}

/// How an endpoint is, as its agent tells an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportNotice {
    /// Service of the endpoint.
    pub service: ServiceName,
    /// Availability zone of the endpoint.
    pub zone: ZoneName,
    /// Life of the upstream; 0 while it is not known.
    pub incarnation: IncarnationNumber,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Start of the agent in Unix milliseconds.
    pub started: u64,
    /// Number of the report since the start of the agent.
    pub number: u64,
    /// State of the upstream.
    pub state: StateNotice,
    /// Whether the agent is about to end.
    pub stopping: bool,
    /// Open flows.
    pub flows: u32,
    /// Requests in progress.
    pub busy: u32,
    /// How much longer the upstream is slow after its start, in milliseconds.
    pub cold_left_ms: u32,
    /// Packed addresses to which the open flows were opened.
    pub addresses: Vec<u64>,
    /// Whether `addresses` is complete.
    pub covers: bool,
    /// Prints of all flows that the upstream may hold, two bytes each in network byte order.
    pub prints: Option<Vec<u8>>,
    /// Clock of the last greeting of the entry.
    pub greeted_ms: u32,
}

/// A datagram that has been decoded.
#[derive(Debug, Eq, PartialEq)]
pub enum RelayDatagram<'a> {
    /// A packet of a flow.
    Flow(RelayHeader, &'a mut [u8]),
    /// Anything else.
    Notice(RelayNotice),
}

impl RelayHeader {
    /// Puts the header in front of a packet that stands at `buffer[RELAY_HEADER_MAX..]` and returns the start of the
    /// datagram.
    ///
    /// The packet is not moved, because this is done for every packet.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError::Body`] if the buffer is shorter than a header.
    pub fn seal(&self, buffer: &mut [u8]) -> Result<usize, RelayError> {
        let mut head = [0_u8; RELAY_HEADER_MAX];
        head[0] = WIRE_VERSION;
        head[1] = KIND_FLOW;
        let body = postcard::to_slice(self, &mut head[PREFIX_BYTES..]);
        let size = PREFIX_BYTES + body.map_err(|_| RelayError::Body)?.len();
        let start = RELAY_HEADER_MAX - size;
        let space = buffer.get_mut(start..RELAY_HEADER_MAX);
        space
            .ok_or(RelayError::Body)?
            .copy_from_slice(&head[..size]);
        Ok(start)
    }
}

impl RelayNotice {
    /// Returns the datagram.
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
pub fn open(datagram: &mut [u8]) -> Result<RelayDatagram<'_>, RelayError> {
    match datagram {
        [WIRE_VERSION, KIND_FLOW, ..] => open_flow(datagram),
        [WIRE_VERSION, KIND_NOTICE, body @ ..] => postcard::from_bytes(body)
            .map(RelayDatagram::Notice)
            .map_err(|_| RelayError::Body),
        _ => Err(RelayError::Foreign),
    }
}

fn open_flow(datagram: &mut [u8]) -> Result<RelayDatagram<'_>, RelayError> {
    let (header, rest) = postcard::take_from_bytes::<RelayHeader>(&datagram[PREFIX_BYTES..])
        .map_err(|_| RelayError::Body)?;
    let start = datagram.len() - rest.len();
    Ok(RelayDatagram::Flow(header, &mut datagram[start..]))
}

/// One endpoint in the store's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct EndpointEntry {
    id: u64,
    service: ServiceName,
    zone: ZoneName,
    incarnation: IncarnationNumber,
    slots: u32,
}

/// Version byte of a record in the list; a record of another version names no endpoint.
const ENTRY_VERSION: u8 = 1;

/// Encodes an endpoint for the store's list.
///
/// # Errors
///
/// Returns [`RelayError::Body`] if it cannot be encoded, which no content of its fields causes.
pub fn encode_entry(endpoint: &ListedEndpoint) -> Result<Vec<u8>, RelayError> {
    let entry = EndpointEntry {
        id: endpoint.id,
        service: endpoint.service.clone(),
        zone: endpoint.zone.clone(),
        incarnation: endpoint.incarnation,
        slots: endpoint.slots,
    };
    postcard::to_extend(&entry, vec![ENTRY_VERSION]).map_err(|_| RelayError::Body)
}

/// Decodes an endpoint from the store's list.
///
/// # Errors
///
/// The bytes come from another writer or version, and name no endpoint.
pub fn decode_entry(value: &[u8]) -> Result<ListedEndpoint, RelayError> {
    let Some((&ENTRY_VERSION, body)) = value.split_first() else {
        return Err(RelayError::Foreign);
    };
    let entry: EndpointEntry = postcard::from_bytes(body).map_err(|_| RelayError::Body)?;
    Ok(ListedEndpoint {
        id: entry.id,
        service: entry.service,
        zone: entry.zone,
        incarnation: entry.incarnation,
        slots: entry.slots,
    })
}

impl StateNotice {
    fn of(state: UpstreamState) -> Self {
        match state {
            UpstreamState::Unknown => StateNotice::Unknown,
            UpstreamState::Ready => StateNotice::Ready,
            UpstreamState::Draining => StateNotice::Draining,
            UpstreamState::Lost => StateNotice::Lost,
            UpstreamState::Gone => StateNotice::Gone,
        }
    }

    fn state(self) -> UpstreamState {
        match self {
            StateNotice::Unknown => UpstreamState::Unknown,
            StateNotice::Ready => UpstreamState::Ready,
            StateNotice::Draining => UpstreamState::Draining,
            StateNotice::Lost => UpstreamState::Lost,
            StateNotice::Gone => UpstreamState::Gone,
        }
    }
}

impl ReportNotice {
    /// Makes the notice of `report`, which is sent at `now` to an entry whose last greeting had the clock `greeted_ms`.
    pub fn of(report: &EndpointReport, greeted_ms: u32, now: Instant) -> Self {
        let cold = report
            .cold_until
            .map(|until| until.saturating_duration_since(now));
        let cold_left_ms = cold.unwrap_or_default().as_millis();
        Self {
            service: report.endpoint.service.clone(),
            zone: report.endpoint.zone.clone(),
            incarnation: report.endpoint.incarnation,
            slots: report.endpoint.slots,
            started: report.order.0,
            number: report.order.1,
            state: StateNotice::of(report.state),
            stopping: report.stopping,
            flows: report.load.flows,
            busy: report.load.busy,
            cold_left_ms: u32::try_from(cold_left_ms).unwrap_or(u32::MAX),
            addresses: report.addresses.iter().copied().map(id_of).collect(),
            covers: report.covers_all_flows,
            prints: report.digest.as_deref().map(encode_digest),
            greeted_ms,
        }
    }

    /// Returns the report of the endpoint `id`, which arrived at `now` at the entry whose clock started at `epoch`.
    pub fn report(self, id: EndpointId, epoch: Instant, now: Instant) -> EndpointReport {
        let cold = Duration::from_millis(self.cold_left_ms.into());
        EndpointReport {
            endpoint: ListedEndpoint {
                id,
                service: self.service,
                zone: self.zone,
                incarnation: self.incarnation,
                slots: self.slots,
            },
            order: (self.started, self.number),
            state: self.state.state(),
            stopping: self.stopping,
            load: LoadCounts {
                flows: self.flows,
                busy: self.busy,
            },
            cold_until: (!cold.is_zero()).then_some(now + cold),
            addresses: self.addresses.into_iter().map(address_of).collect(),
            covers_all_flows: self.covers,
            digest: self.prints.as_deref().map(decode_digest).map(Arc::new),
            keepalive_sent: epoch.checked_add(Duration::from_millis(self.greeted_ms.into())),
        }
    }
}

fn encode_digest(digest: &FlowDigest) -> Vec<u8> {
    let prints = digest.fingerprints().iter();
    prints.flat_map(|print| print.to_be_bytes()).collect()
}

fn decode_digest(bytes: &[u8]) -> FlowDigest {
    let mut prints = Vec::with_capacity(bytes.len() / 2);
    for pair in bytes.chunks_exact(2) {
        prints.push(u16::from_be_bytes([pair[0], pair[1]]));
    }
    FlowDigest::new(prints)
}
