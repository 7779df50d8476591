//! Messages of a catalogue fetch between instances. A connection carries one request.

use quetzalhill_core::catalogue::ServiceEntry;
use quetzalhill_core::ids::{DigestValue, RevisionNumber, ServiceName};
use serde::{Deserialize, Serialize};

/// Requests the changes of the catalogue since a revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FetchRequest {
    /// Revision that the requesting node has; 0 requests all services.
    pub from: RevisionNumber,
    /// Restricts the reply to one service; `None` requests all.
    pub service: Option<ServiceName>,
}

/// Frames of the reply: one `Head`, one `Service` for each change, then `End`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FetchReply {
    /// Base and result of the changes that follow.
    Head {
        /// Revision to which the changes apply; 0 if the reply contains all services.
        base: RevisionNumber,
        /// Revision after the changes have been applied.
        revision: RevisionNumber,
        /// Digest of the whole catalogue at `revision`, with which the receiver verifies the result.
        digest: DigestValue,
    },
    /// Name and new entry of a changed service; `None` if it was removed.
    Service(ServiceName, Option<Box<ServiceEntry>>),
    /// The reply is complete.
    End,
}
