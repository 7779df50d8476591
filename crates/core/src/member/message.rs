//! Messages of membership, as decisions see them; the wire package encodes them.

use super::{EndpointRecord, EntryRecord, RecordVersion};
use crate::ids::{DigestValue, EndpointId, EntryId, IncarnationNumber, RevisionNumber, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Names the catalogue that a node has in force, so that others learn of newer ones.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogueStamp {
    /// Revision; 0 while none is known.
    pub revision: RevisionNumber,
    /// Digest of the whole catalogue.
    pub digest: DigestValue,
}

/// An agent tells an entry that it lives.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnnounceBeat {
    /// The endpoint.
    pub id: EndpointId,
    /// Version of the record that the agent announces.
    pub version: RecordVersion,
    /// Counts the announcements of this incarnation, so that late copies are dropped.
    pub beat: u64,
    /// Catalogue revision that the agent has in force.
    pub revision: RevisionNumber,
    /// Digest of the peers that the agent knows; another digest asks for the peers.
    pub peers: DigestValue,
    /// Asks for a sample of live entries.
    pub refresh: bool,
    /// The record, unless the entry has confirmed this version.
    pub record: Option<EndpointRecord>,
}

/// An entry answers an announcement.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnnounceReply {
    /// Announcement that is answered.
    pub beat: u64,
    /// Catalogue that the entry has in force.
    pub stamp: CatalogueStamp,
    /// Version of the agent's record that the entry has; none asks for the record.
    pub known: Option<RecordVersion>,
    /// The entry that answers and some other live entries; empty unless asked for.
    pub entries: Vec<EntryRecord>,
    /// Endpoints of the agent's service, if the digest of the announcement differs.
    pub peers: Option<Vec<EndpointRecord>>,
}

/// What entries believe of each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum EntryStatus {
    /// Answers.
    Alive,
    /// Did not answer; removed at a deadline unless it refutes.
    Suspect,
    /// Stopped or removed after it failed.
    Left,
}

/// A fact that entries tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MemberUpdate {
    /// What an entry believes of another entry.
    Entry {
        /// The entry that is described.
        record: EntryRecord,
        /// What is believed of it.
        status: EntryStatus,
        /// The entry that believes it.
        by: EntryId,
        /// Seconds until a record with status `Left` is forgotten.
        remaining_s: u16,
    },
    /// An endpoint.
    Endpoint {
        /// The endpoint's record.
        record: EndpointRecord,
        /// Seconds until a record with state `Left` is forgotten.
        remaining_s: u16,
    },
    /// An entry has not heard an endpoint since a beat.
    Silent {
        /// The endpoint.
        id: EndpointId,
        /// Life of the agent.
        incarnation: IncarnationNumber,
        /// Last beat heard.
        beat: u64,
        /// The entry that heard it.
        by: EntryId,
    },
    /// Some entry has heard a beat of an endpoint.
    Heard {
        /// The endpoint.
        id: EndpointId,
        /// Life of the agent.
        incarnation: IncarnationNumber,
        /// The beat.
        beat: u64,
    },
    /// Whether the entries of one zone hear the entries of another zone.
    Zone {
        /// The zone that is described.
        zone: ZoneName,
        /// The zone that hears it or not.
        observer: ZoneName,
        /// Orders the statements of an observer zone.
        version: u32,
        /// Whether nothing has been heard.
        unreachable: bool,
    },
}

impl MemberUpdate {
    /// Returns a number of bytes that the encoded update does not exceed.
    pub fn size_limit(&self) -> usize {
        match self {
            MemberUpdate::Entry { record, .. } => ENTRY_BYTES + record.zone.len(),
            MemberUpdate::Endpoint { record, .. } => record.size_limit(),
            MemberUpdate::Silent { .. } | MemberUpdate::Heard { .. } => BEAT_BYTES,
            MemberUpdate::Zone { zone, observer, .. } => ZONE_BYTES + zone.len() + observer.len(),
        }
    }
}

impl EndpointRecord {
    /// Returns a number of bytes that the encoded record does not exceed as an update.
    pub(super) fn size_limit(&self) -> usize {
        ENDPOINT_BYTES + self.zone.len() + self.service.len()
    }
}

/// Most bytes of an encoded [`MemberUpdate::Entry`] without its zone.
const ENTRY_BYTES: usize = 48;

/// Most bytes of an encoded [`MemberUpdate::Endpoint`] without its names.
pub(super) const ENDPOINT_BYTES: usize = 56;

/// Most bytes of an encoded [`MemberUpdate::Silent`] or [`MemberUpdate::Heard`].
pub(super) const BEAT_BYTES: usize = 42;

/// Most bytes of an encoded [`MemberUpdate::Zone`] without its names.
const ZONE_BYTES: usize = 16;

/// Most bytes of a datagram of membership, so that it passes every usual path unfragmented.
pub const MEMBER_DATAGRAM_MAX: usize = 1_200;

/// Bytes of a datagram that updates may take; the rest holds the head, a page of digests excepted.
pub const UPDATE_BUDGET: usize = MEMBER_DATAGRAM_MAX - 100;

/// What a probe and its answers share.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GossipHead {
    /// The entry that sends.
    pub from: EntryId,
    /// Catalogue that it has in force.
    pub stamp: CatalogueStamp,
    /// Facts that the receiver may not know.
    pub updates: Vec<MemberUpdate>,
}

/// Digests of a part of the records.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DigestPage {
    /// Bits of the bucket number that all digests share.
    pub prefix: u16,
    /// Number of those bits.
    pub depth: u8,
    /// One digest for each value of the next bits.
    pub values: Vec<DigestValue>,
}

/// All messages of membership.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MemberMessage {
    /// Agent to entry.
    Announce(AnnounceBeat),
    /// Entry to agent.
    AnnounceAck(AnnounceReply),
    /// Asks an entry for an `Ack` with the same number.
    Ping(u32, GossipHead),
    /// Answers a `Ping`, also on behalf of the entry that is named.
    Ack(u32, EntryId, GossipHead),
    /// Asks an entry to probe another one.
    PingReq(u32, EntryId, GossipHead),
    /// Facts without a probe.
    Gossip(GossipHead),
    /// Compares records; the receiver answers where they differ.
    Digest(GossipHead, DigestPage),
    /// All records of a part; the receiver merges them.
    Delta {
        /// Sender and records.
        head: GossipHead,
        /// Bits of the bucket number that all records share.
        prefix: u16,
        /// Number of those bits.
        depth: u8,
        /// Whether the receiver answers with records that are newer there or missing here.
        answer: bool,
    },
}

/// A message and where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Control address of the receiver.
    pub to: SocketAddrV4,
    /// The message.
    pub message: MemberMessage,
}
