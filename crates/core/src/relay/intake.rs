//! Decides what an agent does with a packet that an entry sent it.

use crate::relay::packet::PacketKind;

/// What an agent knows of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// The agent has just started and has not heard of the upstream.
    Unknown,
    /// It takes new flows.
    Ready,
    /// It finishes its flows.
    Draining,
    /// It has not announced itself for a while.
    Lost,
    /// It has said goodbye or ended.
    Gone,
}

impl UpstreamState {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            UpstreamState::Unknown => "unknown",
            UpstreamState::Ready => "ready",
            UpstreamState::Draining => "draining",
            UpstreamState::Lost => "lost",
            UpstreamState::Gone => "gone",
        }
    }
}

/// What an agent does with a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntakeVerdict {
    /// Give it to the upstream.
    Deliver,
    /// Return it to the entry, which asks another endpoint.
    Return(ReturnReason),
}

/// Why an agent returns a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReturnReason {
    /// The upstream does not hold the flow or cannot take it.
    NotHeld,
    /// The endpoint takes no new flows.
    NotReady,
    /// The endpoint belongs to another service.
    WrongService,
}

impl ReturnReason {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ReturnReason::NotHeld => "not-held",
            ReturnReason::NotReady => "not-ready",
            ReturnReason::WrongService => "wrong-service",
        }
    }
}

/// Decides on a packet; `own_service` says whether the entry meant the service of this agent.
///
/// An address may pass to an endpoint of another service while an entry still has the old view, so that the check
/// stands at the last process before the upstream. Packets of open flows reach an upstream of which nothing is
/// known, because it knows its flows better than an agent that has just started.
pub fn decide(kind: PacketKind, state: UpstreamState, own_service: bool) -> IntakeVerdict {
    if !own_service {
        return IntakeVerdict::Return(ReturnReason::WrongService);
    }
    match (state, kind) {
        (UpstreamState::Gone, _) => IntakeVerdict::Return(ReturnReason::NotHeld),
        (UpstreamState::Ready, _) => IntakeVerdict::Deliver,
        (_, PacketKind::Opening { .. }) => IntakeVerdict::Return(ReturnReason::NotReady),
        (_, _) => IntakeVerdict::Deliver,
    }
}
