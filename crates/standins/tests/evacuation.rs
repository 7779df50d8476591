//! Evacuations of an availability zone at a site of real processes whose entries lose answers of the store, are away or
//! start meanwhile.
//!
//! Each case causes one failure. The entries' logs say when a change is in force, and the ledger judges every first packet
//! that reaches an upstream, with callers running all the time. See docs/load.md.

use ntex::rt::{DefaultRuntime, System};
use quetzalhill_standins::flows::caller::CallerPace;
use quetzalhill_standins::link::LinkFault;
use quetzalhill_standins::scenario::process::run_node;
use quetzalhill_standins::soak::site::{SiteSize, SoakSite, ZONES};
use quetzalhill_standins::store::StandinMode;
use rustix::process::Signal;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const SIZE: SiteSize = SiteSize {
    entries: 3,
    agents: 6,
    callers: 48,
};

/// Second byte of the loopback addresses of the first case; each further one uses the next, so that no address is reused.
const FIRST_BLOCK: u8 = 70;

/// Time within which a change is in force once an entry can reach the store (`relay.apply_ms` of the entries).
const APPLY: Duration = Duration::from_millis(3_000);

/// Time for which faults last after the change.
const FAULT_TIME: Duration = Duration::from_millis(600);

/// Time in which all processes and upstreams become ready.
const WARM_UP_TIME: Duration = Duration::from_millis(2_500);

/// Time for which callers go on once the last change is in force, so that the ledger sees flows after the bound.
const SERVE_TIME: Duration = Duration::from_millis(4_500);

/// Cases that run at the same time.
const PARALLEL: usize = 2;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What happens while an operator evacuates a zone.
#[derive(Clone, Copy, Debug)]
enum EvacuationCase {
    /// Nothing; shows how soon a change is in force.
    Quiet,
    /// No entry gets the answer to the poll that waits.
    LostPolls,
    /// Only the entry with a long poll loses its answer, and learns from another one of its zone that it has.
    LostLongPoll,
    /// Connections to the store are silent, and new ones work.
    FrozenConnections,
    /// The store answers with 503 at the acknowledgement of the write and after it.
    UnavailableStore,
    /// The store has compacted its history when the entries are back.
    LostHistory,
    /// An entry is paused while the evacuation ends.
    PausedEntry,
    /// An entry is killed before the evacuation and started during it.
    StartedEntry,
}

const CASES: [EvacuationCase; 8] = [
    EvacuationCase::Quiet,
    EvacuationCase::LostPolls,
    EvacuationCase::LostLongPoll,
    EvacuationCase::FrozenConnections,
    EvacuationCase::UnavailableStore,
    EvacuationCase::LostHistory,
    EvacuationCase::PausedEntry,
    EvacuationCase::StartedEntry,
];

/// A site with the folder of its logs.
struct LoggedSite {
    site: SoakSite,
    folder: PathBuf,
}

impl LoggedSite {
    fn log_of(&self, entry: usize) -> String {
        let path = self.folder.join(format!("entry-{entry}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns whether the last line about the first zone in the log of an entry says that it is in this state.
    fn shows(&self, entry: usize, evacuated: bool) -> bool {
        let log = self.log_of(entry);
        let about_zone = format!("zone-evacuation zone={} ", ZONES[0]);
        let last = log.lines().rfind(|line| line.contains(&about_zone));
        last.is_some_and(|line| line.contains(&format!("evacuated={evacuated} ")))
    }

    /// Waits until all entries show the first zone in this state, and returns how long that took, or a failure if it took
    /// longer than the bound.
    async fn await_state(&self, evacuated: bool) -> Result<Duration, String> {
        let start = Instant::now();
        loop {
            let behind: Vec<usize> = (0..SIZE.entries)
                .filter(|entry| !self.shows(*entry, evacuated))
                .collect();
            if behind.is_empty() {
                return Ok(start.elapsed());
            }
            if start.elapsed() > APPLY {
                return Err(format!(
                    "evacuated={evacuated} is not in force at entries {behind:?} after {APPLY:?}"
                ));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn set_evacuated(&mut self, evacuated: bool) {
        self.site.set_evacuated(ZONES[0], evacuated, Instant::now());
    }

    fn set_links(&self, entries: &[usize], fault: LinkFault) {
        for entry in entries {
            self.site.links[*entry].set_fault(fault);
        }
    }

    /// Makes a change while the links of `entries` have this fault, and returns how long after its end the change was in
    /// force.
    async fn change_during(
        &mut self,
        evacuated: bool,
        entries: &[usize],
        fault: LinkFault,
    ) -> Result<Duration, String> {
        self.set_links(entries, fault);
        self.set_evacuated(evacuated);
        sleep(FAULT_TIME).await;
        self.set_links(entries, LinkFault::None);
        self.await_state(evacuated).await
    }

    async fn run(&mut self, case: EvacuationCase) -> Result<Vec<Duration>, String> {
        let all: Vec<usize> = (0..SIZE.entries).collect();
        let mut times = Vec::new();
        match case {
            EvacuationCase::Quiet => {
                self.set_evacuated(true);
                times.push(self.await_state(true).await?);
                sleep(SERVE_TIME).await;
                self.set_evacuated(false);
                times.push(self.await_state(false).await?);
            }
            EvacuationCase::LostPolls | EvacuationCase::LostLongPoll => {
                let entries = match case {
                    // The third entry is the second one of the first zone.
                    EvacuationCase::LostLongPoll => vec![2],
                    _ => all,
                };
                let fault = LinkFault::LoseWaiting { close: false };
                times.push(self.change_during(true, &entries, fault).await?);
                sleep(SERVE_TIME).await;
                times.push(self.change_during(false, &entries, fault).await?);
            }
            EvacuationCase::FrozenConnections => {
                times.push(self.change_during(true, &all, LinkFault::Freeze).await?);
                sleep(SERVE_TIME).await;
                times.push(self.change_during(false, &all, LinkFault::Freeze).await?);
            }
            EvacuationCase::UnavailableStore | EvacuationCase::LostHistory => {
                for evacuated in [true, false] {
                    self.site.store.set_mode(StandinMode::Unavailable);
                    self.set_evacuated(evacuated);
                    if let EvacuationCase::LostHistory = case {
                        self.site.store.compact(self.site.store.revision());
                    }
                    sleep(FAULT_TIME).await;
                    self.site.store.set_mode(StandinMode::Normal);
                    times.push(self.await_state(evacuated).await?);
                    sleep(SERVE_TIME).await;
                }
            }
            EvacuationCase::PausedEntry => {
                self.set_evacuated(true);
                times.push(self.await_state(true).await?);
                self.signal(0, Signal::STOP)?;
                self.set_links(&[0], LinkFault::LoseWaiting { close: false });
                self.set_evacuated(false);
                sleep(FAULT_TIME * 4).await;
                self.set_links(&[0], LinkFault::None);
                self.signal(0, Signal::CONT)?;
                times.push(self.await_state(false).await?);
            }
            EvacuationCase::StartedEntry => {
                let killed = self.site.processes[0].kill();
                killed.map_err(|error| error.to_string())?;
                let before = self.log_of(0).len();
                self.set_evacuated(true);
                sleep(FAULT_TIME).await;
                let started = self.site.restart_process(0, Instant::now());
                started.map_err(|error| error.to_string())?;
                times.push(self.await_state(true).await?);
                sleep(SERVE_TIME).await;
                let log = self.log_of(0).split_off(before);
                let known = log.find("zone-evacuation");
                let placed = log.find("flow-placed");
                if placed.is_none() || known > placed {
                    return Err(format!(
                        "the started entry placed a flow at {placed:?} and knew of the evacuation at {known:?}"
                    ));
                }
            }
        }
        sleep(SERVE_TIME).await;
        Ok(times)
    }

    fn signal(&mut self, entry: usize, signal: Signal) -> Result<(), String> {
        let sent = self.site.processes[entry].signal(signal);
        sent.map_err(|error| error.to_string())
    }
}

/// Runs a case, and returns the times after which changes were in force, or what failed.
fn run_case(case: EvacuationCase, block: u8) -> Result<Vec<Duration>, String> {
    let name = format!("evacuation-{case:?}");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    System::new("evacuation", DefaultRuntime).block_on(async move {
        let seed = block.into();
        let started = SoakSite::start(block, &folder, SIZE, seed, CallerPace::Busy).await;
        let site = started.map_err(|error| format!("{error:#}"))?;
        let mut site = LoggedSite { site, folder };
        sleep(WARM_UP_TIME).await;
        let times = site.run(case).await?;
        let ledger = site.site.ledger.borrow();
        match ledger.violations() {
            [] => Ok(times),
            violations => Err(violations.join("; ")),
        }
    })
}

/// Guards against an evacuation, or its end, that is in force later than the bound after a failure, or never; against flows
/// that reach an evacuated zone; and against open flows that are reset because of it.
fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let Some(code) = run_node(&arguments) {
        return code;
    }
    let failed = AtomicUsize::new(0);
    thread::scope(|scope| {
        for worker in 0..PARALLEL {
            let failed = &failed;
            scope.spawn(move || {
                let cases = (FIRST_BLOCK..).zip(CASES);
                for (block, case) in cases.skip(worker).step_by(PARALLEL) {
                    let outcome = run_case(case, block);
                    println!("{case:?}: {outcome:?}");
                    failed.fetch_add(usize::from(outcome.is_err()), Ordering::Relaxed);
                }
            });
        }
    });
    let failed = failed.into_inner();
    println!("{} passed, {failed} failed", CASES.len() - failed);
    match failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
