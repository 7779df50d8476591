//! Decides whether an agent delivers a packet, forwards it to another agent or drops it.
//!
//! An entry with a stale view of the membership may send the first packet of a flow to an agent that accepts no new
//! flows. The agent forwards such a packet once, so that the caller need not retry. See docs/design.md, decision 3.

use std::net::SocketAddrV4;

/// Most times that agents forward one packet, so that packets cannot loop between agents.
pub const MAX_HOPS: u8 = 1;

/// Issuer of the destination connection ID of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowOrigin {
    /// The ID was issued by this endpoint, in this or an earlier incarnation.
    Local,
    /// The ID was issued by another endpoint or for another service.
    Foreign,
    /// The caller chose the ID, and a handshake with it is in progress here.
    Handshake,
    /// The caller chose the ID in a first packet, and no connection here uses it.
    Unknown,
    /// The packet is not a first packet and no agent issued the ID.
    Invalid,
}

/// Whether an agent accepts new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowAdmission {
    /// New flows are accepted.
    Open,
    /// The limit on open flows is reached.
    Full,
    /// The agent finishes its open flows and accepts no new ones.
    Draining,
}

/// Input of [`decide`] for one packet.
#[derive(Clone, Copy, Debug)]
pub struct FlowContext {
    /// Issuer of the packet's connection ID.
    pub origin: FlowOrigin,
    /// Whether this agent accepts new flows.
    pub admission: FlowAdmission,
    /// Number of agents that have forwarded the packet.
    pub hops: u8,
    /// Second candidate for the flow, from the header that the entry added.
    pub second: Option<SocketAddrV4>,
    /// Another ready endpoint of the service, used if `second` is absent or this agent.
    pub peer: Option<SocketAddrV4>,
    /// Address of this agent's packet socket.
    pub local: SocketAddrV4,
}

/// Result of [`decide`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowVerdict {
    /// Pass the packet to the local QUIC endpoint.
    Deliver,
    /// Send the packet to another agent of the service.
    Forward(SocketAddrV4),
    /// Drop the packet.
    Drop,
}

/// Decides whether to deliver, forward or drop a packet.
///
/// Only first packets of unknown flows are forwarded; packets of another endpoint's flows are dropped.
pub fn decide(context: &FlowContext) -> FlowVerdict {
    match context.origin {
        FlowOrigin::Local | FlowOrigin::Handshake => return FlowVerdict::Deliver,
        FlowOrigin::Foreign | FlowOrigin::Invalid => return FlowVerdict::Drop,
        FlowOrigin::Unknown => {}
    }
    if context.admission == FlowAdmission::Open {
        return FlowVerdict::Deliver;
    }
    if context.hops >= MAX_HOPS {
        return FlowVerdict::Drop;
    }
    for candidate in [context.second, context.peer].into_iter().flatten() {
        if candidate == context.local {
            continue;
        }
        return FlowVerdict::Forward(candidate);
    }
    FlowVerdict::Drop
}
