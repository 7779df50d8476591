//! Decides what an agent does with a packet of a flow that it may not hold.
//!
//! An entry with a stale view may send the first packet of a flow to an agent that takes no new flows. The agent
//! passes such a packet on once, so that the caller need not retry. See docs/design.md, decision 3.

use std::net::SocketAddrV4;

/// Most agents that pass one packet on.
pub const MAX_HOPS: u8 = 1;

/// What the destination connection ID of a packet says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowOrigin {
    /// The ID was issued by this endpoint, in this or an earlier life.
    Own,
    /// The ID was issued by another endpoint or for another service.
    Foreign,
    /// The caller chose the ID, and a handshake with it is in progress here.
    Handshake,
    /// The caller chose the ID of a first packet, and nothing is known of it.
    Unknown,
    /// The packet is neither a first packet nor carries an issued ID.
    Invalid,
}

/// Whether an agent takes new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowIntake {
    /// New flows are taken.
    Open,
    /// The limit on open flows is reached.
    Full,
    /// The agent finishes what it holds.
    Draining,
}

/// What is known of a packet when the decision is due.
#[derive(Clone, Copy, Debug)]
pub struct FlowFacts {
    /// What the connection ID says.
    pub origin: FlowOrigin,
    /// Whether this agent takes new flows.
    pub intake: FlowIntake,
    /// Agents that have passed the packet on.
    pub hops: u8,
    /// Candidate that the entry named.
    pub second: Option<SocketAddrV4>,
    /// A ready peer of the service.
    pub peer: Option<SocketAddrV4>,
    /// The packet socket of this agent.
    pub own: SocketAddrV4,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowVerdict {
    /// Give the packet to QUIC.
    Deliver,
    /// Send the packet to another agent of the service.
    Forward(SocketAddrV4),
    /// Drop the packet.
    Drop,
}

/// Decides what to do with a packet.
pub fn decide(facts: &FlowFacts) -> FlowVerdict {
    match facts.origin {
        FlowOrigin::Own | FlowOrigin::Handshake => return FlowVerdict::Deliver,
        FlowOrigin::Foreign | FlowOrigin::Invalid => return FlowVerdict::Drop,
        FlowOrigin::Unknown => {}
    }
    if facts.intake == FlowIntake::Open {
        return FlowVerdict::Deliver;
    }
    if facts.hops >= MAX_HOPS {
        return FlowVerdict::Drop;
    }
    for candidate in [facts.second, facts.peer].into_iter().flatten() {
        if candidate == facts.own {
            continue;
        }
        return FlowVerdict::Forward(candidate);
    }
    FlowVerdict::Drop
}
