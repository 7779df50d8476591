//! The faults of a run, drawn from its seed.

use crate::link::LinkFault;
use crate::store::StandinMode;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Shortest and longest pause between the starts of two faults; faults last up to three seconds, so that they overlap.
const FAULT_GAP_MS: (u64, u64) = (50, 900);

/// Shortest and longest time that a fault lasts.
const FAULT_DURATION_MS: (u64, u64) = (300, 3_000);

/// One in so many gaps is long, so that bounds that hold only some seconds after a fault are checked too.
const LONG_GAP_ONE_IN: u32 = 10;

/// A long gap; the bound on routes holds four seconds after a fault.
const LONG_GAP: Duration = Duration::from_millis(5_500);

/// How a process is disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessFault {
    /// SIGTERM, and a new start once the process has ended.
    Stop,
    /// SIGKILL, and a new start after the fault's time.
    Kill,
    /// SIGSTOP, and SIGCONT after the fault's time.
    Pause,
    /// SIGHUP.
    Reload,
}

/// How an upstream is disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamFault {
    /// It ends without a word and starts anew after the fault's time.
    Crash,
    /// The same, with a clock that has been set back.
    CrashWithClockSetBack,
    /// It drains, says goodbye, and starts anew.
    Replace,
}

/// What operators write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteChange {
    /// The route with this number turns to the other service.
    Retarget(usize),
    /// A route is added.
    Add,
    /// The route that was added last is removed.
    Remove,
    /// Several changes within a tenth of a second.
    Burst,
}

/// What happens to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// It answers in another way for the fault's time.
    Mode(StandinMode),
    /// The next answer to a call is lost.
    LoseAnswer,
    /// Its history is forgotten.
    Compact,
    /// Leases of every second endpoint end at once.
    RevokeLeases,
    /// Another writer leaves records that cannot be read.
    InvalidRecord,
}

/// A fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SoakFault {
    /// One process; entries come before agents.
    Process(usize, ProcessFault),
    /// All processes are killed.
    KillAll,
    /// One upstream.
    Upstream(usize, UpstreamFault),
    /// The store.
    Store(StoreFault),
    /// The connection of one process to the store.
    Link(usize, LinkFault),
    /// The operators' catalogue.
    Routes(RouteChange),
}

/// A fault with its times.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// Start, from the start of the faults.
    pub at: Duration,
    /// Time until it is undone.
    pub duration: Duration,
    /// What happens.
    pub fault: SoakFault,
}

/// Draws the faults of `seed` for a site with these numbers of entries and agents, over `fault_time`.
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

fn draw_route_change(rng: &mut SmallRng) -> RouteChange {
    match rng.random_range(0..6) {
        0 | 1 => RouteChange::Retarget(rng.random_range(0..2)),
        2 | 3 => RouteChange::Add,
        4 => RouteChange::Remove,
        _ => RouteChange::Burst,
    }
}
