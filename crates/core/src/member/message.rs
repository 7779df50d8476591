//! The messages of the membership protocol; the wire crate encodes them.

use super::{EndpointRecord, EntryRecord, RecordVersion};
use crate::ids::{DigestValue, EndpointId, EntryId, IncarnationNumber, RevisionNumber, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Identifies the catalogue that a node has in force; receivers fetch it if it is newer than theirs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogueStamp {
    /// Revision of the catalogue; 0 while the node has none.
    pub revision: RevisionNumber,
    /// Digest of the whole catalogue.
    pub digest: DigestValue,
}

/// Announcement of an agent to an entry, which is also the heartbeat of the agent's endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnnounceRequest {
    /// Identity of the endpoint.
    pub id: EndpointId,
    /// Version of the agent's present record, also if `record` is not sent.
    pub version: RecordVersion,
    /// Number of the heartbeat; it counts the announcements of this incarnation, so that late copies are dropped.
    pub heartbeat: u64,
    /// Revision of the agent's catalogue.
    pub revision: RevisionNumber,
    /// Digest of the agent's list of peers; the reply contains the peers if the entry computes another digest.
    pub peers: DigestValue,
    /// Whether the reply shall contain a sample of live entries.
    pub refresh: bool,
    /// The record itself, omitted once the entry has confirmed this version.
    pub record: Option<EndpointRecord>,
}

/// Reply of an entry to an announcement.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnnounceReply {
    /// Number of the heartbeat that is answered.
    pub heartbeat: u64,
    /// Catalogue that the replying entry has in force.
    pub stamp: CatalogueStamp,
    /// Version of the agent's record that the entry has; if it is not the present one, the agent sends its record.
    pub known: Option<RecordVersion>,
    /// The replying entry and some other live entries; empty unless the announcement requested a sample.
    pub entries: Vec<EntryRecord>,
    /// Some ready endpoints of the agent's service; omitted while the agent's digest of them is correct.
    pub peers: Option<Vec<EndpointRecord>>,
}

/// SWIM status of an entry in the view of another entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum EntryStatus {
    /// The entry answers probes.
    Alive,
    /// The entry did not answer a probe; it is removed at a deadline unless it refutes.
    Suspect,
    /// The entry stopped or was removed after it failed.
    Left,
}

/// One item of gossip between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MemberUpdate {
    /// Record and status of an entry.
    Entry {
        /// The entry that is described.
        record: EntryRecord,
        /// Its status in the view of the entry `by`.
        status: EntryStatus,
        /// The entry that assigned the status; suspicions by different entries confirm each other.
        by: EntryId,
        /// Seconds until a tombstone, a record with status `Left`, is dropped; 0 for other records.
        remaining_s: u16,
    },
    /// Record of an endpoint.
    Endpoint {
        /// The record, which replaces one with a lower version.
        record: EndpointRecord,
        /// Seconds until a tombstone, a record with state `Left`, is dropped; 0 for other records.
        remaining_s: u16,
    },
    /// Query of an entry that suspects an endpoint: whether anyone has received a later heartbeat of it.
    HeartbeatQuery {
        /// Identity of the endpoint.
        id: EndpointId,
        /// Incarnation of the agent.
        incarnation: IncarnationNumber,
        /// Last heartbeat that the querying entry received.
        heartbeat: u64,
        /// The querying entry, to which a report is sent.
        by: EntryId,
        /// Whether the query goes to all entries; otherwise only to the endpoint's monitors.
        all_entries: bool,
    },
    /// Report that the sender has received a heartbeat of an endpoint; it answers a query.
    HeartbeatReport {
        /// Identity of the endpoint.
        id: EndpointId,
        /// Incarnation of the agent.
        incarnation: IncarnationNumber,
        /// Last heartbeat that the sender received.
        heartbeat: u64,
    },
    /// Reachability of one zone from another zone.
    Zone {
        /// The zone that is described.
        zone: ZoneName,
        /// The zone that observes it.
        observer: ZoneName,
        /// Orders the statements of an observer zone about one zone; the highest is valid.
        version: u32,
        /// Whether the observer zone has received nothing from the zone for too long.
        unreachable: bool,
    },
}

impl MemberUpdate {
    /// Returns an upper bound of the encoded size in bytes.
    pub fn size_limit(&self) -> usize {
        match self {
            MemberUpdate::Entry { record, .. } => ENTRY_BYTES + record.zone.len(),
            MemberUpdate::Endpoint { record, .. } => record.size_limit(),
            MemberUpdate::HeartbeatQuery { .. } | MemberUpdate::HeartbeatReport { .. } => {
                HEARTBEAT_BYTES
            }
            MemberUpdate::Zone { zone, observer, .. } => ZONE_BYTES + zone.len() + observer.len(),
        }
    }
}

impl EndpointRecord {
    /// Returns an upper bound of the record's encoded size as an update, in bytes.
    pub(super) fn size_limit(&self) -> usize {
        ENDPOINT_BYTES + self.zone.len() + self.service.len()
    }
}

/// Most bytes of an encoded [`MemberUpdate::Entry`] without its zone.
const ENTRY_BYTES: usize = 48;

/// Most bytes of an encoded [`MemberUpdate::Endpoint`] without its names.
pub(super) const ENDPOINT_BYTES: usize = 56;

/// Most bytes of an encoded [`MemberUpdate::HeartbeatQuery`] or [`MemberUpdate::HeartbeatReport`].
pub(super) const HEARTBEAT_BYTES: usize = 42;

/// Most bytes of an encoded [`MemberUpdate::Zone`] without its names.
const ZONE_BYTES: usize = 16;

/// Most bytes of a membership datagram, small enough to pass the usual paths without fragmentation.
pub const MEMBER_DATAGRAM_MAX: usize = 1_200;

/// Most bytes of updates in a datagram, which leaves room for the head; a datagram with a page of digests has no
/// updates.
pub const UPDATE_BUDGET: usize = MEMBER_DATAGRAM_MAX - 100;

/// The part that all messages between entries share.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GossipHead {
    /// The sending entry.
    pub from: EntryId,
    /// Catalogue that the sender has in force.
    pub stamp: CatalogueStamp,
    /// Updates that the receiver merges.
    pub updates: Vec<MemberUpdate>,
}

/// Digests of one subtree of the hash tree over all records.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DigestPage {
    /// Bits of the bucket number that all digests share.
    pub prefix: u16,
    /// Number of those bits.
    pub depth: u8,
    /// One digest for each value of the next bits.
    pub values: Vec<DigestValue>,
}

/// A message of the membership protocol.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MemberMessage {
    /// An agent's announcement to an entry.
    Announce(AnnounceRequest),
    /// An entry's reply to an announcement.
    AnnounceAck(AnnounceReply),
    /// Probes an entry, which answers with an `Ack` of the same number.
    Ping(u32, GossipHead),
    /// Answers the `Ping` or `PingReq` of this number: the named entry is alive.
    Ack(u32, EntryId, GossipHead),
    /// Requests an indirect probe: the receiver pings the named entry on behalf of the sender.
    PingReq(u32, EntryId, GossipHead),
    /// Updates without a probe; needs no answer.
    Gossip(GossipHead),
    /// Digests of the sender's records; the receiver answers for each part that differs.
    Digest(GossipHead, DigestPage),
    /// The records of one part, as many as fit; the receiver merges them.
    Delta {
        /// Sender and records.
        head: GossipHead,
        /// Bits of the bucket number that all records share.
        prefix: u16,
        /// Number of those bits.
        depth: u8,
        /// Whether the receiver answers with the records that are newer on its side or that the sender lacks.
        answer: bool,
    },
}

/// A message and its destination.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Control address of the receiver.
    pub to: SocketAddrV4,
    /// The message.
    pub message: MemberMessage,
}
