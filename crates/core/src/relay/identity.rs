//! What an entry believes of the incarnation of an endpoint's upstream, and from where.

use crate::ids::{EndpointId, IncarnationNumber};

/// Source from which an entry learned the incarnation of an endpoint.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum IncarnationSource {
    /// The endpoint's record in the store's list.
    List,
    /// A report of the endpoint's agent.
    Report,
}

impl IncarnationSource {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            IncarnationSource::List => "list",
            IncarnationSource::Report => "report",
        }
    }
}

/// A change of the incarnation that an entry has for an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IncarnationChange {
    /// Endpoint whose incarnation changed.
    pub id: EndpointId,
    /// Incarnation before the change; 0 if it was not known.
    pub before: IncarnationNumber,
    /// Incarnation after the change; 0 if it is not known any more.
    pub after: IncarnationNumber,
    /// Where the new incarnation comes from.
    pub source: IncarnationSource,
}
