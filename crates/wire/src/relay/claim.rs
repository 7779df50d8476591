//! Claim of an agent whose upstream holds a flow that an entry searches for.

use quetzalhill_core::ids::{address_of, id_of, IncarnationNumber};
use quetzalhill_core::relay::packet::FlowAddresses;
use serde::{Deserialize, Serialize};

/// Claim of a flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimNotice {
    /// Address of the caller, packed by [`id_of`].
    caller: u64,
    /// Address of the service, packed by [`id_of`].
    service: u64,
    /// Incarnation of the upstream; 0 until its first announcement.
    pub incarnation: IncarnationNumber,
}

impl ClaimNotice {
    /// Creates the claim of `flow`.
    pub fn new(flow: FlowAddresses, incarnation: IncarnationNumber) -> Self {
        Self {
            caller: id_of(flow.caller),
            service: id_of(flow.service),
            incarnation,
        }
    }

    /// Returns the flow that is claimed.
    pub fn flow(&self) -> FlowAddresses {
        FlowAddresses {
            caller: address_of(self.caller),
            service: address_of(self.service),
        }
    }
}
