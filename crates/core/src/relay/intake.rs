//! Decides whether an agent delivers a packet from an entry to its upstream or returns it.

use crate::relay::cold::wait_millis;
use crate::relay::packet::PacketKind;
use std::time::Duration;

/// State of an upstream as its agent sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// The agent has just started and has received no announcement of the upstream.
    Unknown,
    /// The upstream accepts new flows.
    Ready,
    /// The upstream finishes its open flows and accepts no new ones.
    Draining,
    /// The upstream has missed several announcements in a row.
    Lost,
    /// The upstream has deregistered or its process has ended.
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

/// What an agent does with a packet from an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntakeVerdict {
    /// Deliver the packet to the upstream.
    Deliver,
    /// Return the packet to the entry, which tries another endpoint.
    Return(ReturnReason),
}

/// Why an agent returns a packet.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReturnReason {
    /// The upstream has ended, or it returned the packet because it does not hold the flow or cannot accept it.
    NotHeld,
    /// The upstream is not ready for new flows.
    NotReady,
    /// The upstream has so many requests in progress that those of a new flow would wait for long.
    Busy {
        /// Requests in progress or about to arrive.
        requests: u32,
    },
    /// The upstream is ejected because it resets its requests.
    Failing,
    /// The upstream is cold and has taken as many new flows as it bears.
    Cold {
        /// Time until it takes a further one, in milliseconds.
        wait_ms: u32,
    },
    /// The packet is for another service than the agent's.
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
            ReturnReason::Cold { .. } => "cold",
            ReturnReason::WrongService => "wrong-service",
        }
    }
}

/// Requests in progress per slot from which new flows are returned as busy: one runs and one waits, so a further
/// request takes three times its own service time.
const BUSY_PER_SLOT: u32 = 2;

/// Input of the decision on one packet.
#[derive(Clone, Copy, Debug)]
pub struct IntakeContext {
    /// Effect of the packet on its flow.
    pub kind: PacketKind,
    /// State of the upstream when the packet arrives.
    pub state: UpstreamState,
    /// Whether the packet is for the service of this agent.
    pub service_matches: bool,
    /// Whether the upstream is ejected because it resets its requests.
    pub failing: bool,
    /// Whether the entry found the other candidates busy too, so that the upstream has to accept the flow although it
    /// is busy or failing.
    pub forced: bool,
    /// Requests in progress or about to arrive at the upstream.
    pub busy: u32,
    /// Number of requests that the upstream runs concurrently; 0 while it is not known.
    pub slots: u32,
    /// Time until the upstream may get a further first packet, if it is cold and has got as many as it may.
    pub cold_wait: Option<Duration>,
    /// Requests in progress from which new flows are returned as busy, if the agent determines them by the answers.
    pub window: Option<u32>,
}

/// Decides whether a packet is delivered to the upstream.
///
/// The address of an endpoint may be reused by another service while an entry still uses an old view, so the service
/// is checked at the last process before the upstream. Packets of open flows are delivered even if the state of the
/// upstream is unknown, because the upstream can tell which flows it holds and an agent that has just started cannot.
///
/// The check on requests in progress is for a load peak, when many callers open flows within one report interval: the
/// agent knows the current load, the entries only that of the last report. The limit of a cold upstream holds for forced
/// flows too, so it is checked first: the entry must not force a flow on an upstream that cannot take it.
pub fn decide(context: &IntakeContext) -> IntakeVerdict {
    if !context.service_matches {
        return IntakeVerdict::Return(ReturnReason::WrongService);
    }
    match (context.state, context.kind) {
        (UpstreamState::Gone, _) => IntakeVerdict::Return(ReturnReason::NotHeld),
        (UpstreamState::Ready, PacketKind::Opening { .. }) if context.cold_wait.is_some() => {
            let wait_ms = context.cold_wait.map_or(0, wait_millis);
            IntakeVerdict::Return(ReturnReason::Cold { wait_ms })
        }
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
    let fixed = context.slots.saturating_mul(BUSY_PER_SLOT);
    !context.forced && context.slots > 0 && context.busy >= context.window.unwrap_or(fixed)
}
