//! The faults of a run, drawn from its seed.

use crate::link::LinkFault;
use crate::store::{RestorePolls, StandinMode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Range of the time between the starts of two faults. It is shorter than most faults last, so that faults overlap.
const FAULT_GAP_MS: (u64, u64) = (50, 900);

/// Range of the duration of a fault.
const FAULT_DURATION_MS: (u64, u64) = (300, 3_000);

/// One in this many gaps is a [`LONG_GAP`], so that bounds that hold only some seconds after a fault are checked too.
const LONG_GAP_ONE_IN: u32 = 10;

/// Longer than any fault, and longer than the four seconds after it in which the bound on route changes does not apply.
const LONG_GAP: Duration = Duration::from_millis(5_500);

/// Longest outage of a process in [`FaultMix::Restarts`], longer than a lease and the time for its endpoint to return.
const OUTAGE_MAX_MS: f64 = 10_000.0;

/// Shortest outage of a process in [`FaultMix::Restarts`].
const OUTAGE_MIN_MS: f64 = 100.0;

/// Largest number of agents that a round of [`FaultMix::Restarts`] kills.
const ROUND_AGENTS_MAX: usize = 4;

/// Time without faults after a round of [`FaultMix::Restarts`]: the bounds on flows hold again after four seconds, and a
/// request on a lost flow is given up after eight more.
pub const QUIET_TIME: Duration = Duration::from_millis(12_500);

/// Range of the time between the end of an evacuation and the next one.
const EVACUATION_GAP_MS: (u64, u64) = (200, 4_000);

/// Range of the duration of an evacuation; the bound on first packets is three seconds.
const EVACUATION_MS: (u64, u64) = (1_000, 9_000);

/// Kinds of faults that a run draws.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultMix {
    /// Faults of all kinds, which overlap and leave little time without a fault.
    All,
    /// Rounds of agents that are killed and restarted, some with an entry, their upstream, their lease or the store,
    /// each followed by [`QUIET_TIME`]. Flows are idle for seconds, so that they are used before, during and after it.
    Restarts,
    /// Rounds in which machines lose answers of the store while operators change the routes; see [`super::outage`].
    Store,
}

/// A fault of an entry or agent process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessFault {
    /// SIGTERM; the process is restarted once it has exited.
    Stop,
    /// SIGKILL; the process is restarted at the end of the fault.
    Kill,
    /// SIGSTOP, followed by SIGCONT at the end of the fault.
    Pause,
    /// SIGHUP, on which a process reloads its settings.
    Reload,
}

/// A fault of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamFault {
    /// It ends without deregistering and restarts at the end of the fault.
    Crash,
    /// The same, but its clock has been set back when it restarts, so that its incarnation number may be lower.
    CrashWithClockSetBack,
    /// It drains, deregisters and restarts.
    Replace,
}

/// A change of the routes by operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteChange {
    /// The route with this index is directed to the other service.
    Retarget(usize),
    /// A route is added.
    Add,
    /// The route that was added last is removed.
    Remove,
    /// Several changes within a tenth of a second.
    Burst,
}

/// A fault of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// It answers calls in this mode until the end of the fault.
    Mode(StandinMode),
    /// The next call takes effect, but its answer is lost.
    LoseAnswer,
    /// Its history is compacted up to the current revision.
    Compact,
    /// The leases of about every second endpoint, selected by the length of its key, are revoked at once.
    RevokeLeases,
    /// Another client writes an endpoint record that cannot be decoded.
    InvalidRecord,
    /// It is restored from a copy of this age. At the end of the fault, operators write the last routes again if the store
    /// has lost them.
    Restore(Duration, RestorePolls),
}

/// A fault and the part of the site that it affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoakFault {
    /// Affects the process with this index; entries come before agents.
    Process(usize, ProcessFault),
    /// Kills all processes.
    KillAll,
    /// Affects the upstream of the agent with this index.
    Upstream(usize, UpstreamFault),
    /// Affects the store.
    Store(StoreFault),
    /// Affects the connection to the store of the process with this index.
    Link(usize, LinkFault),
    /// Changes the routes.
    Routes(RouteChange),
    /// Begins or ends the evacuation of the zone with this index.
    Evacuation(usize, bool),
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// Start, as time since the beginning of the fault phase.
    pub at: Duration,
    /// Time until it is undone. [`ProcessFault::Stop`] and faults that happen at one moment, such as a reload, ignore
    /// it; [`UpstreamFault::Replace`] adds half of it to the time for draining.
    pub duration: Duration,
    /// The fault.
    pub fault: SoakFault,
}

/// Draws the faults that `seed` determines for a site with these numbers of entries and agents, in the order of their
/// start. All start within `fault_time`.
pub fn draw_faults(
    seed: u64,
    entries: usize,
    agents: usize,
    fault_time: Duration,
) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += match rng.random_ratio(1, LONG_GAP_ONE_IN) {
            true => LONG_GAP,
            false => Duration::from_millis(rng.random_range(FAULT_GAP_MS.0..FAULT_GAP_MS.1)),
        };
        if at >= fault_time {
            return plan;
        }
        plan.push(PlannedFault {
            at,
            duration: Duration::from_millis(
                rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1),
            ),
            fault: draw_fault(&mut rng, entries, agents),
        });
    }
}

/// Draws the rounds of [`FaultMix::Restarts`] that `seed` determines, in the order of their start. All start within
/// `fault_time`.
pub fn draw_restarts(
    seed: u64,
    entries: usize,
    agents: usize,
    fault_time: Duration,
) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = Duration::ZERO;
    while at < fault_time {
        let longest = draw_round(&mut rng, entries, agents, at, &mut plan);
        at += longest + QUIET_TIME;
    }
    plan
}

/// Adds the faults of one round, and returns the longest outage.
fn draw_round(
    rng: &mut SmallRng,
    entries: usize,
    agents: usize,
    at: Duration,
    plan: &mut Vec<PlannedFault>,
) -> Duration {
    let mut longest = Duration::ZERO;
    let mut add = |duration: Duration, fault| {
        longest = longest.max(duration);
        plan.push(PlannedFault {
            at,
            duration,
            fault,
        });
    };
    let first = rng.random_range(0..agents);
    let count = rng.random_range(1..=ROUND_AGENTS_MAX.min(agents));
    let outage = draw_outage(rng);
    for offset in 0..count {
        let agent = (first + offset) % agents;
        let outage = match rng.random_ratio(1, 2) {
            true => outage,
            false => draw_outage(rng),
        };
        add(
            outage,
            SoakFault::Process(entries + agent, ProcessFault::Kill),
        );
        if rng.random_ratio(1, 5) {
            // The upstream is back before its agent.
            let away = outage.mul_f64(rng.random_range(0.2..0.9));
            add(away, SoakFault::Upstream(agent, UpstreamFault::Crash));
        }
    }
    if rng.random_ratio(1, 3) {
        let entry = rng.random_range(0..entries);
        add(outage, SoakFault::Process(entry, ProcessFault::Kill));
    }
    if rng.random_ratio(1, 4) {
        add(outage, SoakFault::Store(StoreFault::RevokeLeases));
    }
    if rng.random_ratio(1, 4) {
        add(outage, SoakFault::Store(draw_store_fault(rng)));
    }
    longest
}

/// Draws an outage; short ones are as frequent as long ones.
fn draw_outage(rng: &mut SmallRng) -> Duration {
    let ms = OUTAGE_MIN_MS * (OUTAGE_MAX_MS / OUTAGE_MIN_MS).powf(rng.random_range(0.0..1.0));
    Duration::from_secs_f64(ms / 1_000.0)
}

fn draw_fault(rng: &mut SmallRng, entries: usize, agents: usize) -> SoakFault {
    let process = rng.random_range(0..entries + agents);
    let upstream = rng.random_range(0..agents);
    match rng.random_range(0..100) {
        0..30 => SoakFault::Process(process, draw_process_fault(rng)),
        30..33 => SoakFault::KillAll,
        33..50 => SoakFault::Upstream(upstream, draw_upstream_fault(rng)),
        50..68 => SoakFault::Store(draw_store_fault(rng)),
        68..83 => SoakFault::Link(process, draw_link_fault(rng)),
        _ => SoakFault::Routes(draw_route_change(rng)),
    }
}

fn draw_process_fault(rng: &mut SmallRng) -> ProcessFault {
    match rng.random_range(0..10) {
        0..4 => ProcessFault::Stop,
        4..7 => ProcessFault::Kill,
        7..9 => ProcessFault::Pause,
        _ => ProcessFault::Reload,
    }
}

fn draw_upstream_fault(rng: &mut SmallRng) -> UpstreamFault {
    match rng.random_range(0..10) {
        0..3 => UpstreamFault::Crash,
        3 => UpstreamFault::CrashWithClockSetBack,
        _ => UpstreamFault::Replace,
    }
}

fn draw_store_fault(rng: &mut SmallRng) -> StoreFault {
    match rng.random_range(0..8) {
        0 => StoreFault::Mode(StandinMode::Silent),
        1 => StoreFault::Mode(StandinMode::Unavailable),
        2 => StoreFault::Mode(StandinMode::Slow(Duration::from_millis(250))),
        3 | 4 => StoreFault::LoseAnswer,
        5 => StoreFault::Compact,
        6 => StoreFault::RevokeLeases,
        _ => StoreFault::InvalidRecord,
    }
}

fn draw_link_fault(rng: &mut SmallRng) -> LinkFault {
    match rng.random_range(0..4) {
        0 => LinkFault::Cut,
        1 => LinkFault::DropToTarget,
        2 => LinkFault::DropFromTarget,
        _ => LinkFault::Slow(Duration::from_millis(rng.random_range(20..400))),
    }
}

/// Adds evacuations of one zone at a time to the faults of a plan, and their ends. They are drawn apart from the faults,
/// so that a seed keeps those.
pub fn add_evacuations(plan: &mut Vec<PlannedFault>, seed: u64, zones: usize) {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let ends = plan.iter().map(|planned| planned.at + planned.duration);
    let end = ends.max().unwrap_or_default();
    let mut draw_ms = |(from, to)| Duration::from_millis(rng.random_range(from..to));
    let mut at = draw_ms(EVACUATION_GAP_MS);
    for zone in (0..zones).cycle() {
        if at >= end {
            break;
        }
        for evacuated in [true, false] {
            plan.push(PlannedFault {
                at,
                duration: Duration::ZERO,
                fault: SoakFault::Evacuation(zone, evacuated),
            });
            at += draw_ms(match evacuated {
                true => EVACUATION_MS,
                false => EVACUATION_GAP_MS,
            });
        }
    }
    plan.sort_by_key(|planned| planned.at);
}

pub(super) fn draw_route_change(rng: &mut SmallRng) -> RouteChange {
    match rng.random_range(0..6) {
        0 | 1 => RouteChange::Retarget(rng.random_range(0..2)),
        2 | 3 => RouteChange::Add,
        4 => RouteChange::Remove,
        _ => RouteChange::Burst,
    }
}
