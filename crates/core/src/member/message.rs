//! Messages of membership, as decisions see them; the wire package encodes them.

use super::{EndpointRecord, EntryRecord, RecordVersion};
use crate::catalogue::ServiceEntry;
use crate::ids::{DigestValue, EndpointId, EntryId, IncarnationNumber, RevisionNumber};
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
    /// The service, if the agent's revision is older and the entry fits a datagram.
    pub service: Option<ServiceEntry>,
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
    /// An entry and what the named entry believes of it.
    Entry(EntryRecord, EntryStatus, EntryId),
    /// An endpoint.
    Endpoint(EndpointRecord),
    /// The named entry has not heard an endpoint since this beat.
    Silent(EndpointId, RecordVersion, u64, EntryId),
    /// Some entry has heard this beat of an endpoint.
    Heard(EndpointId, IncarnationNumber, u64),
}

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
    /// All records of a part, to be merged; the receiver answers with what is newer or missing here if asked.
    Delta {
        /// Sender and the records.
        head: GossipHead,
        /// Bits of the bucket number that all records share.
        prefix: u16,
        /// Number of those bits.
        depth: u8,
        /// Whether an answer is wanted.
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
