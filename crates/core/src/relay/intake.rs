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
    /// The upstream has so many requests in progress that those of a new flow would wait for long.
    Busy {
        /// Requests in progress or about to arrive.
        requests: u32,
    },
    /// The upstream resets its requests.
    Failing,
    /// The endpoint belongs to another service.
    WrongService,
}

impl ReturnReason {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ReturnReason::NotHeld => "not-held",
            ReturnReason::NotReady => "not-ready",
            ReturnReason::Busy { .. } => "busy",
            ReturnReason::Failing => "failing",
            ReturnReason::WrongService => "wrong-service",
        }
    }
}

/// Requests in progress for each slot from which new flows are asked to go elsewhere: one runs and one waits, so that
/// a further request takes three times its own service time.
const BUSY_PER_SLOT: u32 = 2;

/// What is known of a packet when the decision is due.
#[derive(Clone, Copy, Debug)]
pub struct IntakeContext {
    /// What the packet does to its flow.
    pub kind: PacketKind,
    /// State of the upstream.
    pub state: UpstreamState,
    /// Whether the entry meant the service of this agent.
    pub service_matches: bool,
    /// Whether the upstream resets its requests.
    pub failing: bool,
    /// Whether the entry found the other candidates busy too.
    pub forced: bool,
    /// Requests in progress or about to arrive at the upstream.
    pub busy: u32,
    /// Requests that the upstream runs at the same time; 0 while it is not known.
    pub slots: u32,
}

/// Decides on a packet.
///
/// An address may pass to an endpoint of another service while an entry still has the old view, so that the check
/// stands at the last process before the upstream. Packets of open flows reach an upstream of which nothing is
/// known, because it knows its flows better than an agent that has just started.
///
/// The load meant for the check on requests in progress is a crest, when many callers open flows within the time
/// between two reports: the agent knows the load of this moment, the entries that of the last report.
pub fn decide(context: &IntakeContext) -> IntakeVerdict {
    if !context.service_matches {
        return IntakeVerdict::Return(ReturnReason::WrongService);
    }
    match (context.state, context.kind) {
        (UpstreamState::Gone, _) => IntakeVerdict::Return(ReturnReason::NotHeld),
        (UpstreamState::Ready, PacketKind::Opening { .. })
            if context.failing && !context.forced =>
        {
            IntakeVerdict::Return(ReturnReason::Failing)
        }
        (UpstreamState::Ready, PacketKind::Opening { .. }) if is_busy(context) => {
            IntakeVerdict::Return(ReturnReason::Busy {
                requests: context.busy,
            })
        }
        (UpstreamState::Ready, _) => IntakeVerdict::Deliver,
        (_, PacketKind::Opening { .. }) => IntakeVerdict::Return(ReturnReason::NotReady),
        (_, _) => IntakeVerdict::Deliver,
    }
}

fn is_busy(context: &IntakeContext) -> bool {
    !context.forced && context.slots > 0 && context.busy >= context.slots * BUSY_PER_SLOT
}
