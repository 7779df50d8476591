//! Order in which held requests are delivered.

use super::service::ServiceAverages;
use super::HeldRequest;
use std::time::{Duration, Instant};

/// One in this many choices goes to the request that has waited longest, so that no priority starves.
const OLDEST_ONE_IN: u32 = 4;

/// Time that a request and its answer spend outside the agent and the upstream: the way to the agent and back to the
/// caller, over two zones at most.
const TRAVEL_TIME: Duration = Duration::from_millis(10);

/// Rank of a held request; the lowest is delivered first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ChoiceRank {
    /// The request can still meet its target latency.
    OnTime { priority: u8, latest_start: Instant },
    /// The request will be answered after its target latency, or has none.
    Late { priority: u8, arrived: Instant },
    /// The caller will probably have given up before the answer.
    TooLate { arrived: Instant },
}

fn rank(request: &HeldRequest, times: &ServiceAverages, now: Instant) -> ChoiceRank {
    let (terms, arrived) = (request.terms, request.arrived);
    let priority = terms.priority;
    let expected = times.expected(request.flow.service).unwrap_or_default();
    if !terms.timeout.is_zero() && now + expected > arrived + terms.timeout {
        return ChoiceRank::TooLate { arrived };
    }
    // Half of the average is a margin: service times vary, and a start at the last moment would miss half of the targets.
    let needed = expected * 3 / 2 + TRAVEL_TIME;
    let latest_start = (arrived + terms.target).checked_sub(needed);
    match latest_start {
        Some(latest_start) if now <= latest_start => ChoiceRank::OnTime {
            priority,
            latest_start,
        },
        _ => ChoiceRank::Late { priority, arrived },
    }
}

/// Returns whether every fourth choice may go to a request. Requests past their target are left out, since a quarter of
/// all slots for late answers costs more than it gives; they are dropped after their timeout. Those without a timeout are
/// never dropped, so that they have to be delivered at some time.
fn may_be_oldest(request: &HeldRequest, rank: ChoiceRank) -> bool {
    request.terms.timeout.is_zero() || matches!(rank, ChoiceRank::OnTime { .. })
}

/// Returns the index of the request that is delivered next, or `None` if none is held. `choices` counts the choices
/// before this one. `held` has to be in the order of arrival.
pub(super) fn choose(
    held: &[HeldRequest],
    times: &ServiceAverages,
    choices: u32,
    now: Instant,
) -> Option<usize> {
    let oldest_first = choices % OLDEST_ONE_IN == OLDEST_ONE_IN - 1;
    let mut best: Option<(ChoiceRank, usize)> = None;
    for (index, request) in held.iter().enumerate() {
        let rank = rank(request, times, now);
        if oldest_first && may_be_oldest(request, rank) {
            return Some(index);
        }
        if best.is_none_or(|(lowest, _)| rank < lowest) {
            best = Some((rank, index));
        }
    }
    best.map(|(_, index)| index)
}
