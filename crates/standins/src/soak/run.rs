//! Applies the faults of a seed to a site and says what was seen.

use super::plan::{
    draw, PlannedFault, ProcessFault, RouteChange, SoakFault, StoreFault, UpstreamFault,
};
use super::site::{route_address, set_target, wall_millis, SiteSize, SoakSite, SERVICES};
use crate::flows::ledger::RequestOutcome;
use crate::link::LinkFault;
use crate::store::StandinMode;
use anyhow::Result;
use ntex::rt::{DefaultRuntime, System};
use quetzalhill_core::relay::routes::RouteSet;
use quetzalhill_node::relay::settings::ENDPOINT_PREFIX;
use rustix::process::Signal;
use std::fmt::{Display, Formatter, Result as FormatResult};
use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time before the first fault, in which everything has to become ready.
const CALM_START: Duration = Duration::from_millis(2_500);

/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(25);

/// Time after the last fault within which requests are answered again (the platform's bound).
const RECOVER_LIMIT: Duration = Duration::from_secs(12);

/// Time over which the share of answered requests is taken at the end.
const RECOVER_WINDOW: Duration = Duration::from_millis(1_500);

/// Share of requests that are answered once everything runs: with 0.3 % of packets lost, none fails.
const RECOVER_SHARE: f64 = 0.99;

/// Time for which a leaving upstream serves after its announcement (the platform's).
const DRAIN_TIME: Duration = Duration::from_millis(3_000);

/// Step of a clock that is set back, in milliseconds.
const STEP_BACK_MS: u64 = 4_000;

/// Longest wait for the end of a process after SIGTERM (the platform's).
const GRACE_TIME: Duration = Duration::from_secs(6);

/// Routes that operators add at most; the first two stay.
const ROUTES_MAX: u8 = 6;

/// Routes that are never removed.
const ROUTES_MIN: u8 = 2;

/// Changes of a storm.
const STORM_CHANGES: u8 = 5;

/// What a run saw.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Its seed.
    pub seed: u64,
    /// Faults applied.
    pub faults: usize,
    /// Requests that were answered, were not run, and failed.
    pub requests: [u64; 3],
    /// What must never be seen.
    pub violations: Vec<String>,
}

impl Display for SoakReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        let [answered, not_run, failed] = self.requests;
        write!(
            f,
            "seed={} faults={} answered={answered} not-run={not_run} failed={failed} violations={}",
            self.seed,
            self.faults,
            self.violations.len()
        )?;
        for violation in &self.violations {
            write!(f, "\n    {violation}")?;
        }
        Ok(())
    }
}

/// What is done when a fault ends.
#[derive(Clone, Copy, Debug)]
enum UndoAction {
    Restart(usize),
    /// Starts a process again once it has ended after SIGTERM, which has to happen before a deadline.
    AwaitEnd(usize, Instant),
    Continue(usize),
    StartUpstream(usize, u64),
    /// Ends an upstream that has drained, and starts it anew.
    ReplaceUpstream(usize),
    StoreNormal,
    LinkNormal(usize),
}

struct SoakRun {
    site: SoakSite,
    undo: Vec<(Instant, UndoAction)>,
    /// Processes that are stopped, killed or paused, which other faults leave alone until they run again.
    disturbed: Vec<bool>,
    /// Upstreams that are about to be replaced.
    leaving: Vec<bool>,
    routes: u8,
}

/// How seeds are run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Size of the site.
    pub size: SiteSize,
    /// Time during which faults start.
    pub length: Duration,
    /// Folder for settings and logs; those of a seed without violations are removed.
    pub folder: PathBuf,
}

/// Runs one seed on the addresses `127.BLOCK.0.0/16`, on the calling thread.
///
/// # Errors
///
/// The site could not be started, which says nothing about the programs.
pub fn run_seed(plan: &SoakPlan, seed: u64, block: u8) -> Result<SoakReport> {
    let folder = plan.folder.join(seed.to_string());
    if folder.exists() {
        fs::remove_dir_all(&folder)?;
    }
    fs::create_dir_all(&folder)?;
    let system = System::new("soak", DefaultRuntime);
    let report = system.block_on(run(seed, block, folder.clone(), plan.size, plan.length))?;
    if report.violations.is_empty() {
        fs::remove_dir_all(&folder)?;
    }
    Ok(report)
}

async fn run(
    seed: u64,
    block: u8,
    folder: PathBuf,
    size: SiteSize,
    length: Duration,
) -> Result<SoakReport> {
    let site = SoakSite::start(block, &folder, size, seed).await?;
    let mut run = SoakRun {
        undo: Vec::new(),
        disturbed: vec![false; size.entries + size.agents],
        leaving: vec![false; size.agents],
        routes: ROUTES_MIN,
        site,
    };
    sleep(CALM_START).await;
    let plan = draw(seed, size.entries, size.agents, length);
    let start = Instant::now();
    for planned in &plan {
        while Instant::now() < start + planned.at {
            sleep(STEP).await;
            run.step(Instant::now()).await?;
        }
        run.apply(planned, Instant::now())?;
    }
    while !run.undo.is_empty() {
        sleep(STEP).await;
        run.step(Instant::now()).await?;
    }
    run.check_recovery().await;
    run.check_processes();
    let ledger = run.site.ledger.borrow();
    Ok(SoakReport {
        seed,
        faults: plan.len(),
        requests: [
            RequestOutcome::Answered,
            RequestOutcome::NotRun,
            RequestOutcome::Failed,
        ]
        .map(|outcome| ledger.count(outcome)),
        violations: ledger.violations().to_vec(),
    })
}

impl SoakRun {
    fn apply(&mut self, planned: &PlannedFault, now: Instant) -> Result<()> {
        let ends = now + planned.lasts;
        match planned.fault {
            SoakFault::Process(index, fault) => self.disturb(index, fault, now, ends)?,
            SoakFault::KillAll => {
                for index in 0..self.site.processes.len() {
                    self.disturb(index, ProcessFault::Kill, now, ends)?;
                }
            }
            SoakFault::Upstream(index, fault) => self.disturb_upstream(index, fault, now, ends),
            SoakFault::Store(fault) => self.disturb_store(fault, ends),
            SoakFault::Link(index, fault) => {
                self.site.links[index].set_fault(fault);
                self.undo.push((ends, UndoAction::LinkNormal(index)));
            }
            SoakFault::Routes(change) => self.change_routes(change, now),
        }
        self.note_calm(now);
        Ok(())
    }

    fn disturb(
        &mut self,
        index: usize,
        fault: ProcessFault,
        now: Instant,
        ends: Instant,
    ) -> Result<()> {
        if self.disturbed[index] {
            return Ok(());
        }
        let process = &mut self.site.processes[index];
        let (action, due) = match fault {
            ProcessFault::Reload => return process.signal(Signal::HUP),
            ProcessFault::Kill => {
                process.kill()?;
                (UndoAction::Restart(index), ends)
            }
            ProcessFault::Pause => {
                process.signal(Signal::STOP)?;
                (UndoAction::Continue(index), ends)
            }
            ProcessFault::Stop => {
                process.signal(Signal::TERM)?;
                (UndoAction::AwaitEnd(index, now + GRACE_TIME), now)
            }
        };
        self.disturbed[index] = true;
        self.undo.push((due, action));
        Ok(())
    }

    fn disturb_upstream(
        &mut self,
        index: usize,
        fault: UpstreamFault,
        now: Instant,
        ends: Instant,
    ) {
        if self.leaving[index] {
            return;
        }
        let Some(upstream) = &self.site.upstreams[index] else {
            return;
        };
        match fault {
            UpstreamFault::Replace => {
                upstream.drain();
                self.leaving[index] = true;
                let due = now + DRAIN_TIME + (ends - now) / 2;
                self.undo.push((due, UndoAction::ReplaceUpstream(index)));
            }
            UpstreamFault::Crash | UpstreamFault::CrashAndStepBack => {
                let back = match fault {
                    UpstreamFault::CrashAndStepBack => STEP_BACK_MS,
                    _ => 0,
                };
                self.site.upstreams[index] = None;
                self.undo
                    .push((ends, UndoAction::StartUpstream(index, back)));
            }
        }
    }

    fn disturb_store(&mut self, fault: StoreFault, ends: Instant) {
        let store = &self.site.store;
        match fault {
            StoreFault::Mode(mode) => {
                store.set_mode(mode);
                self.undo.push((ends, UndoAction::StoreNormal));
            }
            StoreFault::LoseAnswer => store.lose_next_answer(),
            StoreFault::Compact => store.compact(store.revision()),
            StoreFault::EndLeases => store.end_leases(|key| key.len() % 2 == 0),
            StoreFault::ForeignRecord => {
                store.put(
                    &format!("{ENDPOINT_PREFIX}foreign"),
                    b"\xff\x00 not a record",
                );
            }
        }
    }

    fn change_routes(&mut self, change: RouteChange, now: Instant) {
        let changes = match change {
            RouteChange::Storm => STORM_CHANGES,
            _ => 1,
        };
        for step in 0..changes {
            let mut routes = self.site.ledger.borrow().routes();
            routes.revision += 1;
            self.change_once(change, step, &mut routes);
            self.site.publish(routes, now);
        }
    }

    fn change_once(&mut self, change: RouteChange, step: u8, routes: &mut RouteSet) {
        match change {
            RouteChange::Turn(index) => turn(routes, index),
            RouteChange::Storm => turn(routes, usize::from(step % ROUTES_MIN)),
            RouteChange::Add if self.routes < ROUTES_MAX => {
                self.routes += 1;
                set_target(routes, self.routes, SERVICES[0]);
            }
            RouteChange::Remove if self.routes > ROUTES_MIN => {
                routes.by_address.remove(&route_address(self.routes));
                self.routes -= 1;
            }
            RouteChange::Add | RouteChange::Remove => {}
        }
    }

    /// Undoes what is due.
    async fn step(&mut self, now: Instant) -> Result<()> {
        let mut waiting = Vec::new();
        for (due, action) in std::mem::take(&mut self.undo) {
            match due <= now {
                true => self.finish(action, now).await?,
                false => waiting.push((due, action)),
            }
        }
        self.undo.extend(waiting);
        self.note_calm(now);
        Ok(())
    }

    async fn finish(&mut self, action: UndoAction, now: Instant) -> Result<()> {
        match action {
            UndoAction::Restart(index) => {
                self.site.processes[index].restart()?;
                self.disturbed[index] = false;
            }
            UndoAction::AwaitEnd(index, deadline) => self.await_end(index, deadline, now)?,
            UndoAction::Continue(index) => {
                self.site.processes[index].signal(Signal::CONT)?;
                self.disturbed[index] = false;
            }
            UndoAction::StartUpstream(index, back) => {
                self.site.start_upstream(index, wall_millis() - back)?;
            }
            UndoAction::ReplaceUpstream(index) => {
                self.leaving[index] = false;
                if let Some(upstream) = self.site.upstreams[index].take() {
                    upstream.goodbye(&self.site.client).await;
                }
                self.undo.push((now, UndoAction::StartUpstream(index, 0)));
            }
            UndoAction::StoreNormal => self.site.store.set_mode(StandinMode::Normal),
            UndoAction::LinkNormal(index) => self.site.links[index].set_fault(LinkFault::None),
        }
        Ok(())
    }

    fn await_end(&mut self, index: usize, deadline: Instant, now: Instant) -> Result<()> {
        let process = &mut self.site.processes[index];
        match process.exit_status() {
            None if now < deadline => {
                self.undo.push((now, UndoAction::AwaitEnd(index, deadline)));
                return Ok(());
            }
            Some(0) => {}
            status => {
                let what = format!("process {index} did not stop: {status:?}");
                let mut ledger = self.site.ledger.borrow_mut();
                ledger.violation("STOP", what, now);
            }
        }
        process.restart()?;
        self.disturbed[index] = false;
        Ok(())
    }

    /// Tells the ledger whether something lasts that may delay routes.
    fn note_calm(&self, now: Instant) {
        self.site
            .ledger
            .borrow_mut()
            .set_calm(self.undo.is_empty(), now);
    }

    /// Waits until callers are served as before.
    async fn check_recovery(&mut self) {
        let start = Instant::now();
        let mut share = None;
        while Instant::now() < start + RECOVER_LIMIT {
            sleep(RECOVER_WINDOW).await;
            let since = Instant::now() - RECOVER_WINDOW;
            share = self.site.ledger.borrow().answered_since(since);
            if share.is_some_and(|share| share >= RECOVER_SHARE) {
                return;
            }
        }
        let what = format!("share of answered requests {share:?} after the last fault");
        let mut ledger = self.site.ledger.borrow_mut();
        ledger.violation("RECOVER", what, Instant::now());
    }

    /// Checks that no process has ended by itself.
    fn check_processes(&mut self) {
        for (index, process) in self.site.processes.iter_mut().enumerate() {
            let Some(status) = process.exit_status() else {
                continue;
            };
            let what = format!(
                "process {index} has ended with {status}: {}",
                process.log_tail()
            );
            let mut ledger = self.site.ledger.borrow_mut();
            ledger.violation("END", what, Instant::now());
        }
    }
}

/// Leads a route to the other service.
fn turn(routes: &mut RouteSet, index: usize) {
    let number = u8::try_from(index + 1).unwrap_or(1);
    let targets = routes.targets(route_address(number));
    let leads_to_first = targets.is_some_and(|targets| targets[0].service == SERVICES[0]);
    set_target(routes, number, SERVICES[usize::from(leads_to_first)]);
}
