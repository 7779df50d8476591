//! Messages of a catalogue fetch, one request for each connection.

use quetzalhill_core::catalogue::ServiceEntry;
use quetzalhill_core::ids::{DigestValue, RevisionNumber, ServiceName};
use serde::{Deserialize, Serialize};

/// Asks for the changes after a revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FetchRequest {
    /// Revision that the asking node has; 0 asks for all services.
    pub from: RevisionNumber,
    /// The only service that the asking node needs; none asks for all.
    pub service: Option<ServiceName>,
}

/// Frames of the answer: one `Head`, one `Service` for each change, `End`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FetchReply {
    /// What the changes lead to.
    Head {
        /// Revision to which the changes apply; 0 if they are all services.
        base: RevisionNumber,
        /// Revision after the changes.
        revision: RevisionNumber,
        /// Digest of the whole catalogue after the changes.
        digest: DigestValue,
    },
    /// A changed service; none if it was removed.
    Service(ServiceName, Option<Box<ServiceEntry>>),
    /// The answer is complete.
    End,
}
