//! Injects the faults of a seed into a site and reports the violations.

use super::outage::draw_outages;
use super::plan::{
    add_evacuations, draw_faults, draw_restarts, FaultMix, PlannedFault, ProcessFault, RouteChange,
    SoakFault, StoreFault, UpstreamFault, QUIET_TIME,
};
use super::site::{route_address, set_target, unix_millis, SiteSize, SoakSite, SERVICES, ZONES};
use crate::flows::caller::CallerPace;
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

/// Time before the fault phase, within which all processes and upstreams have to become ready.
const WARM_UP_TIME: Duration = Duration::from_millis(2_500);

/// Interval at which the run checks whether a fault is due to start or to be undone.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Time after the last fault within which requests have to be answered again (the platform's bound).
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Time over which the share of answered requests is measured after the last fault.
const RECOVERY_WINDOW: Duration = Duration::from_millis(1_500);

/// Share of requests that have to be answered once all processes run again. The loss of 0.3 % of packets is covered by
/// retransmission, so that it makes no request fail.
const RECOVERY_SHARE: f64 = 0.99;

/// Time for which an upstream keeps serving after it has announced that it drains (set by the platform).
const DRAIN_TIME: Duration = Duration::from_millis(3_000);

/// Milliseconds by which the clock of an upstream is set back.
const CLOCK_SET_BACK_MS: u64 = 4_000;

/// Time after SIGTERM within which a process has to exit (set by the platform).
const STOP_LIMIT: Duration = Duration::from_secs(6);

/// Largest number of routes; [`RouteChange::Add`] has no effect beyond it.
const ROUTES_MAX: u8 = 6;

/// Number of initial routes, which are never removed.
const ROUTES_MIN: u8 = 2;

/// Route changes of a [`RouteChange::Burst`].
const BURST_CHANGES: u8 = 5;

/// Era of the store in a run of [`FaultMix::Store`] before the first restore; the store tells none in other runs.
const FIRST_ERA: u64 = 7;

/// Result of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of injected faults.
    pub faults: usize,
    /// Numbers of requests that were answered, were not run, and failed, in this order.
    pub requests: [u64; 3],
    /// Failed checks, each with the time since the start of the run and the name of the check.
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

/// Action that ends a fault.
#[derive(Clone, Copy, Debug)]
enum UndoAction {
    Restart(usize),
    /// Restarts a process once it has exited after SIGTERM, which has to happen before the deadline.
    AwaitExit(usize, Instant),
    Resume(usize),
    /// Starts an upstream with a clock that is set back by this many milliseconds.
    StartUpstream(usize, u64),
    /// Deregisters and ends an upstream that has drained, and starts a new incarnation.
    ReplaceUpstream(usize),
    RestoreStore,
    RestoreLink(usize),
    /// Writes the last routes and evacuations again, as operators do after a restore of the store.
    RewriteOperatorKeys,
}

struct SoakRun {
    site: SoakSite,
    pending_undos: Vec<(Instant, UndoAction)>,
    /// Per process, whether it is stopped, killed or paused; until it runs again, other process faults skip it.
    disrupted: Vec<bool>,
    /// Per upstream, whether it drains before its replacement.
    draining: Vec<bool>,
    route_count: u8,
}

/// Settings that the runs of all seeds share.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Numbers of entries, agents and callers.
    pub size: SiteSize,
    /// Kinds of faults.
    pub mix: FaultMix,
    /// Time during which faults start.
    pub fault_time: Duration,
    /// Folder in which each seed has a subfolder for settings and logs. The subfolder is removed if the seed had no
    /// violations.
    pub folder: PathBuf,
}

/// Runs one seed on the loopback addresses `127.BLOCK.0.0/16`, with all stand-ins on the calling thread.
///
/// # Errors
///
/// The site could not be started, a process could not be signalled or restarted, or the folder could not be written.
/// Violations are no error; the report lists them.
pub fn run_seed(plan: &SoakPlan, seed: u64, block: u8) -> Result<SoakReport> {
    let folder = plan.folder.join(seed.to_string());
    if folder.exists() {
        fs::remove_dir_all(&folder)?;
    }
    fs::create_dir_all(&folder)?;
    let system = System::new("soak", DefaultRuntime);
    let report = system.block_on(run(seed, block, folder.clone(), plan.clone()))?;
    if report.violations.is_empty() {
        fs::remove_dir_all(&folder)?;
    }
    Ok(report)
}

async fn run(seed: u64, block: u8, folder: PathBuf, plan: SoakPlan) -> Result<SoakReport> {
    let (size, mix) = (plan.size, plan.mix);
    let pace = match mix {
        FaultMix::All | FaultMix::Store => CallerPace::Busy,
        FaultMix::Restarts => CallerPace::Idle,
    };
    let started = Instant::now();
    let site = SoakSite::start(block, &folder, size, seed, pace).await?;
    if mix == FaultMix::Store {
        site.store.set_era(FIRST_ERA);
    }
    let mut run = SoakRun {
        pending_undos: Vec::new(),
        disrupted: vec![false; size.entries + size.agents],
        draining: vec![false; size.agents],
        route_count: ROUTES_MIN,
        site,
    };
    sleep(WARM_UP_TIME).await;
    let draw = match mix {
        FaultMix::All => draw_faults,
        FaultMix::Restarts => draw_restarts,
        FaultMix::Store => draw_outages,
    };
    let mut plan = draw(seed, size.entries, size.agents, plan.fault_time);
    add_evacuations(&mut plan, seed, ZONES.len());
    let mut lines = format!("times from {:.3} s\n", started.elapsed().as_secs_f64());
    for planned in &plan {
        lines.push_str(&format!("{planned:?}\n"));
    }
    fs::write(folder.join("faults.txt"), lines)?;
    let start = Instant::now();
    for planned in &plan {
        while Instant::now() < start + planned.at {
            sleep(TICK_INTERVAL).await;
            run.undo_due(Instant::now()).await?;
        }
        run.inject(planned, Instant::now())?;
    }
    while !run.pending_undos.is_empty() {
        sleep(TICK_INTERVAL).await;
        run.undo_due(Instant::now()).await?;
    }
    if mix != FaultMix::All {
        sleep(QUIET_TIME).await;
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
    fn inject(&mut self, planned: &PlannedFault, now: Instant) -> Result<()> {
        let end = now + planned.duration;
        match planned.fault {
            SoakFault::Process(index, fault) => {
                self.inject_process_fault(index, fault, now, end)?
            }
            SoakFault::KillAll => {
                for index in 0..self.site.processes.len() {
                    self.inject_process_fault(index, ProcessFault::Kill, now, end)?;
                }
            }
            SoakFault::Upstream(index, fault) => self.inject_upstream_fault(index, fault, now, end),
            SoakFault::Store(fault) => self.inject_store_fault(fault, end),
            SoakFault::Link(index, fault) => {
                self.site.links[index].set_fault(fault);
                self.pending_undos
                    .push((end, UndoAction::RestoreLink(index)));
            }
            SoakFault::Routes(change) => self.change_routes(change, now),
            SoakFault::Evacuation(zone, evacuated) => {
                self.site.set_evacuated(ZONES[zone], evacuated, now);
            }
        }
        self.update_fault_free(now);
        Ok(())
    }

    fn inject_process_fault(
        &mut self,
        index: usize,
        fault: ProcessFault,
        now: Instant,
        end: Instant,
    ) -> Result<()> {
        if self.disrupted[index] {
            return Ok(());
        }
        let process = &mut self.site.processes[index];
        let (action, due) = match fault {
            ProcessFault::Reload => return process.signal(Signal::HUP),
            ProcessFault::Kill => {
                process.kill()?;
                (UndoAction::Restart(index), end)
            }
            ProcessFault::Pause => {
                process.signal(Signal::STOP)?;
                (UndoAction::Resume(index), end)
            }
            ProcessFault::Stop => {
                process.signal(Signal::TERM)?;
                (UndoAction::AwaitExit(index, now + STOP_LIMIT), now)
            }
        };
        self.disrupted[index] = true;
        self.pending_undos.push((due, action));
        Ok(())
    }

    fn inject_upstream_fault(
        &mut self,
        index: usize,
        fault: UpstreamFault,
        now: Instant,
        end: Instant,
    ) {
        if self.draining[index] {
            return;
        }
        let Some(upstream) = &self.site.upstreams[index] else {
            return;
        };
        match fault {
            UpstreamFault::Replace => {
                upstream.drain();
                self.draining[index] = true;
                let due = now + DRAIN_TIME + (end - now) / 2;
                self.pending_undos
                    .push((due, UndoAction::ReplaceUpstream(index)));
            }
            UpstreamFault::Crash | UpstreamFault::CrashWithClockSetBack => {
                let set_back_ms = match fault {
                    UpstreamFault::CrashWithClockSetBack => CLOCK_SET_BACK_MS,
                    _ => 0,
                };
                self.site.upstreams[index] = None;
                self.pending_undos
                    .push((end, UndoAction::StartUpstream(index, set_back_ms)));
            }
        }
    }

    fn inject_store_fault(&mut self, fault: StoreFault, end: Instant) {
        let store = &self.site.store;
        match fault {
            StoreFault::Mode(mode) => {
                store.set_mode(mode);
                self.pending_undos.push((end, UndoAction::RestoreStore));
            }
            StoreFault::LoseAnswer => store.lose_next_answer(),
            StoreFault::Compact => store.compact(store.revision()),
            StoreFault::RevokeLeases => store.revoke_leases(|key| key.len() % 2 == 0),
            StoreFault::Restore(age, polls) => {
                store.restore(age, polls);
                self.pending_undos
                    .push((end, UndoAction::RewriteOperatorKeys));
            }
            StoreFault::InvalidRecord => {
                store.put(
                    &format!("{ENDPOINT_PREFIX}foreign"),
                    b"\xff\x00 not a record",
                );
            }
        }
    }

    fn change_routes(&mut self, change: RouteChange, now: Instant) {
        let changes = match change {
            RouteChange::Burst => BURST_CHANGES,
            _ => 1,
        };
        for step in 0..changes {
            let mut routes = self.site.ledger.borrow().routes();
            routes.revision += 1;
            self.apply_route_change(change, step, &mut routes);
            self.site.publish(routes, now);
        }
    }

    fn apply_route_change(&mut self, change: RouteChange, step: u8, routes: &mut RouteSet) {
        match change {
            RouteChange::Retarget(index) => retarget(routes, index),
            RouteChange::Burst => retarget(routes, usize::from(step % ROUTES_MIN)),
            RouteChange::Add if self.route_count < ROUTES_MAX => {
                self.route_count += 1;
                set_target(routes, self.route_count, SERVICES[0]);
            }
            RouteChange::Remove if self.route_count > ROUTES_MIN => {
                routes.by_address.remove(&route_address(self.route_count));
                self.route_count -= 1;
            }
            RouteChange::Add | RouteChange::Remove => {}
        }
    }

    /// Executes the undo actions that are due.
    async fn undo_due(&mut self, now: Instant) -> Result<()> {
        let mut remaining = Vec::new();
        for (due, action) in std::mem::take(&mut self.pending_undos) {
            match due <= now {
                true => self.undo(action, now).await?,
                false => remaining.push((due, action)),
            }
        }
        self.pending_undos.extend(remaining);
        self.update_fault_free(now);
        Ok(())
    }

    async fn undo(&mut self, action: UndoAction, now: Instant) -> Result<()> {
        match action {
            UndoAction::Restart(index) => {
                self.site.restart_process(index, now)?;
                self.disrupted[index] = false;
            }
            UndoAction::AwaitExit(index, deadline) => self.await_exit(index, deadline, now)?,
            UndoAction::Resume(index) => {
                self.site.processes[index].signal(Signal::CONT)?;
                self.disrupted[index] = false;
            }
            UndoAction::StartUpstream(index, set_back_ms) => {
                self.site
                    .start_upstream(index, unix_millis() - set_back_ms)?;
            }
            UndoAction::ReplaceUpstream(index) => {
                self.draining[index] = false;
                if let Some(upstream) = self.site.upstreams[index].take() {
                    upstream.deregister(&self.site.client).await;
                }
                self.pending_undos
                    .push((now, UndoAction::StartUpstream(index, 0)));
            }
            UndoAction::RestoreStore => self.site.store.set_mode(StandinMode::Normal),
            UndoAction::RewriteOperatorKeys => self.site.rewrite_operator_keys(),
            UndoAction::RestoreLink(index) => self.site.links[index].set_fault(LinkFault::None),
        }
        Ok(())
    }

    fn await_exit(&mut self, index: usize, deadline: Instant, now: Instant) -> Result<()> {
        let process = &mut self.site.processes[index];
        match process.exit_status() {
            None if now < deadline => {
                self.pending_undos
                    .push((now, UndoAction::AwaitExit(index, deadline)));
                return Ok(());
            }
            Some(0) => {}
            status => {
                let details =
                    format!("process {index} did not exit with status 0 after SIGTERM: {status:?}");
                let mut ledger = self.site.ledger.borrow_mut();
                ledger.record_violation("STOP", details, now);
            }
        }
        self.site.restart_process(index, now)?;
        self.disrupted[index] = false;
        Ok(())
    }

    /// Records in the ledger whether a fault is active, since faults may delay route changes.
    fn update_fault_free(&self, now: Instant) {
        self.site
            .ledger
            .borrow_mut()
            .set_fault_free(self.pending_undos.is_empty(), now);
    }

    /// Waits until nearly all requests are answered again, and records a violation if that takes too long.
    async fn check_recovery(&mut self) {
        let start = Instant::now();
        let mut answered_share = None;
        while Instant::now() < start + RECOVERY_LIMIT {
            sleep(RECOVERY_WINDOW).await;
            let window_start = Instant::now() - RECOVERY_WINDOW;
            answered_share = self.site.ledger.borrow().answered_share(window_start);
            if answered_share.is_some_and(|share| share >= RECOVERY_SHARE) {
                return;
            }
        }
        let details = format!(
            "share of answered requests stayed too low after the last fault: {answered_share:?}"
        );
        let mut ledger = self.site.ledger.borrow_mut();
        ledger.record_violation("RECOVER", details, Instant::now());
    }

    /// Checks that no process has exited by itself.
    fn check_processes(&mut self) {
        for (index, process) in self.site.processes.iter_mut().enumerate() {
            let Some(status) = process.exit_status() else {
                continue;
            };
            let details = format!(
                "process {index} exited unexpectedly with status {status}: {}",
                process.log_tail()
            );
            let mut ledger = self.site.ledger.borrow_mut();
            ledger.record_violation("END", details, Instant::now());
        }
    }
}

/// Directs the route with this index to the other service.
fn retarget(routes: &mut RouteSet, index: usize) {
    let number = u8::try_from(index + 1).unwrap_or(1);
    let targets = routes.targets(route_address(number));
    let targets_first = targets.is_some_and(|targets| targets[0].service == SERVICES[0]);
    set_target(routes, number, SERVICES[usize::from(targets_first)]);
}
