//! The rounds of [`super::plan::FaultMix::Store`]: machines lose answers of the store, and the store is restored from older
//! copies, while operators change the routes.
//!
//! Each round has changes before, during and just after its faults, and changes once all bounds hold again, so that an
//! entry which has missed an answer shows its old routes.

use super::plan::{
    draw_route_change, PlannedFault, ProcessFault, SoakFault, StoreFault, QUIET_TIME,
};
use crate::link::LinkFault;
use crate::store::{RestorePolls, StandinMode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Time from the start of a round to that of its faults, in which one change of the routes comes.
const LEAD_MS: u64 = 1_000;

/// Range of the duration of the faults of a round. The longest is that of the platform for a part of the machines.
const OUTAGE_MS: (u64, u64) = (300, 9_000);

/// Longest duration of a fault that affects all machines (set by the platform).
const OUTAGE_ALL_MAX_MS: u64 = 4_500;

/// Largest number of route changes at any time of an outage.
const CHANGES_MAX: u32 = 3;

/// Greatest distance of a route change from the end of an outage, so that it falls just before or just after it.
const EDGE_MS: u64 = 200;

/// Times after the end of an outage at which routes change: soon after it, and twice once all bounds hold again.
const LATER_CHANGES_MS: [(u64, u64); 3] = [(300, 3_000), (4_100, 5_500), (7_500, 8_500)];

/// Interval at which [`OutageWay::ResetRepeatedly`] resets connections.
const RESET_INTERVAL: Duration = Duration::from_millis(400);

/// Duration of one of several resets.
const RESET_TIME: Duration = Duration::from_millis(50);

/// Range of the delay of [`OutageWay::Late`]. A call ends without an answer after one second.
const LATE_MS: (u64, u64) = (200, 4_000);

/// Added to the seed for the restores, so that the other faults of a seed stay the same.
const RESTORES_SEED: u64 = 0x4e57_04e5;

/// Largest number of restores in a round.
const RESTORES_MAX: u32 = 3;

/// Range of the age of the copy from which the store is restored.
const COPY_AGE_MS: (u64, u64) = (200, 10_000);

/// Range of the time after a restore at which operators write again what was lost.
const REWRITE_MS: (u64, u64) = (100, 1_500);

/// Range of the time for which the store is away before a restore.
const AWAY_MS: (u64, u64) = (300, 2_000);

/// Greatest distance of a fault of a process or of leases from a restore.
const NEAR_RESTORE_MS: u64 = 1_000;

/// HTTP statuses by which the store turns a machine away.
const STATUSES: [u16; 2] = [503, 429];

/// How a machine loses answers of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OutageWay {
    /// No call and no waiting poll gets an answer on its connection any more.
    Silent,
    /// Polls are executed, but not answered; their connections close if this is true.
    LosePolls(bool),
    /// Open connections never answer again, and new ones work.
    Freeze,
    /// Connections are reset once.
    ResetOnce,
    /// Connections are reset again and again.
    ResetRepeatedly,
    /// Connections are reset, and new ones refused.
    Refuse,
    /// Connections are closed when data arrives.
    Cut,
    /// Calls are answered with this status.
    Status(u16),
    /// Answers come late.
    Late(Duration),
    /// The process is paused.
    Pause,
    /// The process is killed, and restarted at the end.
    Kill,
    /// The connection is silent, and the process is killed and restarted meanwhile.
    RestartInSilence,
}

/// Draws the rounds that `seed` determines for a site with these numbers of entries and agents, in the order of the
/// start of the faults. All rounds start within `fault_time`.
pub fn draw_outages(
    seed: u64,
    entries: usize,
    agents: usize,
    fault_time: Duration,
) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut restores_rng = SmallRng::seed_from_u64(seed ^ RESTORES_SEED);
    let mut plan = Vec::new();
    let mut at = Duration::ZERO;
    while at < fault_time {
        let outage = draw_round(&mut rng, entries, agents, at, &mut plan);
        let start = at + Duration::from_millis(LEAD_MS);
        add_restores(
            &mut restores_rng,
            entries,
            agents,
            (start, outage),
            &mut plan,
        );
        at += Duration::from_millis(LEAD_MS) + outage + QUIET_TIME;
    }
    plan.sort_by_key(|planned| planned.at);
    plan
}

/// Adds the faults and route changes of one round, and returns the duration of its outage.
fn draw_round(
    rng: &mut SmallRng,
    entries: usize,
    agents: usize,
    at: Duration,
    plan: &mut Vec<PlannedFault>,
) -> Duration {
    let targets = draw_targets(rng, entries, agents);
    let longest = match targets.len() == entries + agents {
        true => OUTAGE_ALL_MAX_MS,
        false => OUTAGE_MS.1,
    };
    let outage = Duration::from_millis(rng.random_range(OUTAGE_MS.0..longest));
    let start = at + Duration::from_millis(LEAD_MS);
    let shared = draw_way(rng);
    for target in targets {
        let way = match rng.random_ratio(2, 3) {
            true => shared,
            false => draw_way(rng),
        };
        add_way(way, target, start, outage, plan);
    }
    let mut add_store = |fault, at, duration| {
        let fault = SoakFault::Store(fault);
        plan.push(PlannedFault {
            at,
            duration,
            fault,
        });
    };
    if rng.random_ratio(1, 4) {
        // The history ends within the outage, so that an entry has to read all again.
        let at = start + outage.mul_f64(rng.random_range(0.0..1.0));
        add_store(StoreFault::Compact, at, Duration::ZERO);
    }
    if rng.random_ratio(1, 6) {
        let mode = StandinMode::Slow(Duration::from_millis(rng.random_range(20..900)));
        add_store(StoreFault::Mode(mode), start, outage);
    }
    add_changes(rng, start, outage, plan);
    outage
}

/// Draws the indexes of the machines that an outage affects: one entry, several machines or all.
fn draw_targets(rng: &mut SmallRng, entries: usize, agents: usize) -> Vec<usize> {
    let first = rng.random_range(0..entries);
    match rng.random_range(0..3) {
        0 => vec![first],
        1 => {
            let mut targets = vec![first];
            for index in 0..entries + agents {
                if index != first && rng.random_ratio(1, 3) {
                    targets.push(index);
                }
            }
            targets
        }
        _ => (0..entries + agents).collect(),
    }
}

fn draw_way(rng: &mut SmallRng) -> OutageWay {
    match rng.random_range(0..16) {
        0..3 => OutageWay::Silent,
        3 => OutageWay::LosePolls(false),
        4 => OutageWay::LosePolls(true),
        5 | 6 => OutageWay::Freeze,
        7 => OutageWay::ResetOnce,
        8 => OutageWay::ResetRepeatedly,
        9 => OutageWay::Refuse,
        10 => OutageWay::Cut,
        11 => OutageWay::Status(STATUSES[rng.random_range(0..STATUSES.len())]),
        12 => OutageWay::Late(Duration::from_millis(
            rng.random_range(LATE_MS.0..LATE_MS.1),
        )),
        13 => OutageWay::Pause,
        14 => OutageWay::Kill,
        _ => OutageWay::RestartInSilence,
    }
}

/// Adds the faults of an outage of the machine with this index.
fn add_way(
    way: OutageWay,
    index: usize,
    start: Duration,
    outage: Duration,
    plan: &mut Vec<PlannedFault>,
) {
    let mut add = |at, duration, fault| {
        plan.push(PlannedFault {
            at,
            duration,
            fault,
        });
    };
    let link = |fault| SoakFault::Link(index, fault);
    let process = |fault| SoakFault::Process(index, fault);
    match way {
        OutageWay::Silent => add(start, outage, link(LinkFault::Silent)),
        OutageWay::LosePolls(close) => add(start, outage, link(LinkFault::LoseWaiting { close })),
        OutageWay::Freeze => add(start, outage, link(LinkFault::Freeze)),
        OutageWay::ResetOnce => add(start, RESET_TIME, link(LinkFault::Reset)),
        OutageWay::ResetRepeatedly => {
            let mut at = start;
            while at < start + outage {
                add(at, RESET_TIME, link(LinkFault::Reset));
                at += RESET_INTERVAL;
            }
        }
        OutageWay::Refuse => add(start, outage, link(LinkFault::Refuse)),
        OutageWay::Cut => add(start, outage, link(LinkFault::Cut)),
        OutageWay::Status(status) => add(start, outage, link(LinkFault::Answer(status))),
        OutageWay::Late(delay) => add(start, outage, link(LinkFault::Slow(delay))),
        OutageWay::Pause => add(start, outage, process(ProcessFault::Pause)),
        OutageWay::Kill => add(start, outage, process(ProcessFault::Kill)),
        OutageWay::RestartInSilence => {
            add(start, outage, link(LinkFault::Silent));
            add(start + outage / 4, outage / 2, process(ProcessFault::Kill));
        }
    }
}

/// Adds the changes of the routes before, during and after an outage.
fn add_changes(
    rng: &mut SmallRng,
    start: Duration,
    outage: Duration,
    plan: &mut Vec<PlannedFault>,
) {
    let end = start + outage;
    let mut times = vec![start - Duration::from_millis(rng.random_range(0..LEAD_MS))];
    for _ in 0..rng.random_range(1..=CHANGES_MAX) {
        times.push(start + outage.mul_f64(rng.random_range(0.0..1.0)));
    }
    let edge = Duration::from_millis(rng.random_range(0..2 * EDGE_MS));
    times.push(end + edge - Duration::from_millis(EDGE_MS));
    for (earliest, latest) in LATER_CHANGES_MS {
        times.push(end + Duration::from_millis(rng.random_range(earliest..latest)));
    }
    for at in times {
        plan.push(PlannedFault {
            at,
            duration: Duration::ZERO,
            fault: SoakFault::Routes(draw_route_change(rng)),
        });
    }
}

/// Adds the restores of a round with an outage that begins at the first of `outage` and lasts for the second, and what
/// happens near them: the store is away before, leases are lost, processes are killed.
fn add_restores(
    rng: &mut SmallRng,
    entries: usize,
    agents: usize,
    outage: (Duration, Duration),
    plan: &mut Vec<PlannedFault>,
) {
    if rng.random_ratio(1, 4) {
        return;
    }
    let millis = |rng: &mut SmallRng, (shortest, longest): (u64, u64)| {
        Duration::from_millis(rng.random_range(shortest..longest))
    };
    for _ in 0..rng.random_range(1..=RESTORES_MAX) {
        let at = outage.0 + outage.1.mul_f64(rng.random_range(0.0..1.0));
        let mut add = |at, duration, fault| {
            plan.push(PlannedFault {
                at,
                duration,
                fault,
            });
        };
        let polls = match rng.random_ratio(1, 2) {
            true => RestorePolls::Open,
            false => RestorePolls::Ended,
        };
        let restore = StoreFault::Restore(millis(rng, COPY_AGE_MS), polls);
        add(at, millis(rng, REWRITE_MS), SoakFault::Store(restore));
        if rng.random_ratio(1, 3) {
            let mode = match rng.random_ratio(1, 2) {
                true => StandinMode::Silent,
                false => StandinMode::Unavailable,
            };
            let away = millis(rng, AWAY_MS).min(at);
            let mode = SoakFault::Store(StoreFault::Mode(mode));
            add(at - away, away, mode);
        }
        let near = |rng: &mut SmallRng| {
            let distance = millis(rng, (0, 2 * NEAR_RESTORE_MS));
            (at + distance).saturating_sub(Duration::from_millis(NEAR_RESTORE_MS))
        };
        if rng.random_ratio(1, 3) {
            let lapse = SoakFault::Store(StoreFault::RevokeLeases);
            add(near(rng), Duration::ZERO, lapse);
        }
        for (first, count) in [(0, entries), (entries, agents)] {
            if rng.random_ratio(1, 3) {
                let index = first + rng.random_range(0..count);
                let kill = SoakFault::Process(index, ProcessFault::Kill);
                add(near(rng), millis(rng, REWRITE_MS), kill);
            }
        }
    }
}
