//! The store's list of endpoints and its changes.

use crate::ids::{EndpointId, IncarnationNumber, ServiceName, StoreEra, StoreRevision, ZoneName};

/// An endpoint as it is written in the store's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedEndpoint {
    /// Identity: the packet address of its agent.
    pub id: EndpointId,
    /// Service whose flows the endpoint accepts.
    pub service: ServiceName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Incarnation of the upstream; 0 while it is not known.
    pub incarnation: IncarnationNumber,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
}

/// An endpoint of the list, with the store revision at which its record was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListRecord {
    /// Store revision of the last write of the record.
    pub revision: StoreRevision,
    /// The endpoint that the record describes.
    pub endpoint: ListedEndpoint,
}

/// A read of the whole list, which may have been answered later than changes that were made after it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ListRead {
    /// Era of the store that answered; 0 if it is not known.
    pub era: StoreEra,
    /// Store revision that every page of the read shows at least; a page may be newer.
    pub revision: StoreRevision,
    /// The endpoints that were listed.
    pub records: Vec<ListRecord>,
}

/// State of the list as an entry knows it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ListState {
    /// Store revision of the latest write or removal of a record that was applied.
    pub revision: StoreRevision,
    /// Fingerprint of the listed records and their revisions.
    pub fingerprint: u64,
}

/// A change of the store's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListChange {
    /// Era of the store that made the change; 0 if it is not known.
    pub era: StoreEra,
    /// Store revision of the change; changes of one endpoint in one era count in the order of their revisions.
    pub revision: StoreRevision,
    /// What the change did.
    pub effect: ListEffect,
}

/// Effect of a change of the store's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ListEffect {
    /// A record was written.
    Written(ListedEndpoint),
    /// The record of this endpoint was removed.
    Removed(EndpointId),
}
