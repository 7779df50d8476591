//! Executes the steps of a scenario in the order of the file.

use super::catalogue::edits_of;
use super::evaluate::MeasureSources;
use super::faults::{send_garbage, CorruptedValues};
use super::loads::ScenarioLoads;
use super::operator::ChangeOutcome;
use super::parse::ParsedStep;
use super::report::StepReport;
use super::steps::{
    EntriesStep, ExpectStep, FabricStep, ReplaceStep, ScenarioStep, StoreMode, StoreStep,
};
use super::testbed::{ScenarioTestbed, TestbedPlan};
use super::values::NodeName;
use crate::fabric::FabricRules;
use crate::store::StandinMode;
use anyhow::{bail, ensure, Context, Result};
use rustix::process::Signal;
use std::collections::HashMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Pause between two evaluations of an expectation.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// State of a scenario between its steps.
pub struct ScenarioRun<'a> {
    steps: &'a [ParsedStep],
    plan: TestbedPlan,
    // Fields are dropped in this order. The testbed may go first, because loads end without it.
    testbed: Option<ScenarioTestbed>,
    loads: ScenarioLoads,
    changes: Vec<ChangeOutcome>,
    /// Store revision before each step with an accepted catalogue change, to which `store roll-back` returns.
    rollback_revisions: Vec<i64>,
    /// Value of a measure at a mark, by the name of the mark and the position of the `expect` step.
    marks: HashMap<(String, usize), f64>,
    corrupted: CorruptedValues,
}

/// Result of the last evaluation of an expectation.
pub enum ExpectOutcome {
    /// The comparison holds; carries the value as text.
    Holds(String),
    /// The comparison does not hold; carries the value as text.
    Fails(String),
    /// The measure has no value; carries the reason. Such a file counts as invalid.
    NoValue(String),
}

impl<'a> ScenarioRun<'a> {
    /// Reads the plan of the testbed from the steps and starts the threads of the callers. No node runs before `start`.
    ///
    /// # Errors
    ///
    /// A thread cannot be started.
    pub fn new(steps: &'a [ParsedStep]) -> Result<Self> {
        let plan = testbed_plan(steps);
        Ok(Self {
            steps,
            loads: ScenarioLoads::new(plan.seed)?,
            plan,
            testbed: None,
            changes: Vec::new(),
            rollback_revisions: Vec::new(),
            marks: HashMap::new(),
            corrupted: CorruptedValues::default(),
        })
    }

    fn testbed(&mut self) -> Result<&mut ScenarioTestbed> {
        self.testbed
            .as_mut()
            .context("`start` has not been executed")
    }

    /// Executes one step; an expectation with `--within` is evaluated until it holds or the time is over.
    ///
    /// # Errors
    ///
    /// The step failed, and the scenario cannot go on. An expectation that does not hold is no error.
    pub fn execute(&mut self, step: &ScenarioStep) -> Result<StepReport> {
        match step {
            ScenarioStep::Zones(_)
            | ScenarioStep::Entries(_)
            | ScenarioStep::Service(_)
            | ScenarioStep::Seed(_) => {}
            ScenarioStep::Start(_) => {
                let testbed = ScenarioTestbed::start(&self.plan, self.loads.handle())?;
                testbed
                    .fabrics
                    .iter()
                    .for_each(|fabric| fabric.start_recording());
                self.testbed = Some(testbed);
            }
            ScenarioStep::Sessions(step) => {
                let testbed = self
                    .testbed
                    .as_ref()
                    .context("`start` has not been executed")?;
                self.loads.open_sessions(testbed, step)?;
            }
            ScenarioStep::Streams(step) => {
                let testbed = self
                    .testbed
                    .as_ref()
                    .context("`start` has not been executed")?;
                self.loads.start_streams(testbed, step)?;
            }
            ScenarioStep::Load(step) => {
                let testbed = self
                    .testbed
                    .as_ref()
                    .context("`start` has not been executed")?;
                self.loads.start_load(testbed, step)?;
            }
            ScenarioStep::Wait(step) => sleep(step.time),
            ScenarioStep::Finish(step) => self.loads.finish(&step.names, step.limit)?,
            ScenarioStep::Close(step) => self.loads.close(&step.names)?,
            ScenarioStep::Kill(step) => self.kill(&step.nodes, step.unnoticed)?,
            ScenarioStep::Pause(step) => self.signal(&step.nodes, Signal::STOP)?,
            ScenarioStep::Resume(step) => self.signal(&step.nodes, Signal::CONT)?,
            ScenarioStep::Stop(step) => self.stop(&step.nodes, step.limit)?,
            ScenarioStep::Drain(step) => self.drain(&step.nodes)?,
            ScenarioStep::Restart(step) => self.restart(&step.nodes, !step.no_wait)?,
            ScenarioStep::Replace(step) => self.replace(step)?,
            ScenarioStep::Upstream(step) => {
                let mode = step.mode;
                self.testbed()?
                    .endpoint(&step.endpoint)?
                    .upstream
                    .set_mode(mode);
            }
            ScenarioStep::Fabric(step) => self.change_fabric(step)?,
            ScenarioStep::Cut(step) => self.set_cut(&step.nodes, true)?,
            ScenarioStep::Heal(step) => self.set_cut(&step.nodes, false)?,
            ScenarioStep::Garbage(step) => {
                let seed = self.plan.seed;
                let sent = send_garbage(self.testbed()?, step.count, step.bytes, seed)?;
                let text = format!("{} datagrams and {} connections", sent.0, sent.1);
                return Ok(StepReport::Details(text));
            }
            ScenarioStep::Replay(step) => {
                let count = self.replay(step.service.as_deref(), step.count)?;
                return Ok(StepReport::Details(format!("{count} datagrams")));
            }
            ScenarioStep::Corrupt(step) => {
                let testbed = self
                    .testbed
                    .as_ref()
                    .context("`start` has not been executed")?;
                self.corrupted.corrupt(testbed, &step.what, &step.value)?;
            }
            ScenarioStep::Repair(_) => {
                let testbed = self
                    .testbed
                    .as_ref()
                    .context("`start` has not been executed")?;
                self.corrupted.repair(testbed);
            }
            ScenarioStep::Store(step) => self.set_store_mode(step)?,
            ScenarioStep::Mark(step) => self.record_mark(&step.name)?,
            ScenarioStep::Expect(step) => {
                let outcome = self.await_expectation(step);
                return Ok(StepReport::Evaluated(outcome));
            }
            change => return self.change_catalogue(change),
        }
        Ok(StepReport::Done)
    }

    fn signal(&mut self, nodes: &[NodeName], signal: Signal) -> Result<()> {
        let paused = signal == Signal::STOP;
        for node in nodes {
            let process = self.testbed()?.process(node)?;
            process.signal(signal).with_context(|| node.to_string())?;
            self.testbed()?.set_out_of_service(node, paused, false)?;
        }
        Ok(())
    }

    fn kill(&mut self, nodes: &[NodeName], unnoticed: Duration) -> Result<()> {
        let testbed = self.testbed()?;
        for node in nodes {
            testbed.process(node)?.kill()?;
            testbed.set_out_of_service(node, true, true)?;
        }
        if nodes.iter().any(|node| matches!(node, NodeName::Entry(_))) {
            sleep(unnoticed);
            testbed.publish_entries();
        }
        Ok(())
    }

    fn drain(&mut self, nodes: &[NodeName]) -> Result<()> {
        let testbed = self.testbed()?;
        for node in nodes {
            testbed.set_out_of_service(node, true, true)?;
        }
        testbed.publish_entries();
        for node in nodes {
            let process = testbed.process(node)?;
            process
                .signal(Signal::TERM)
                .with_context(|| node.to_string())?;
        }
        Ok(())
    }

    fn stop(&mut self, nodes: &[NodeName], limit: Duration) -> Result<()> {
        self.drain(nodes)?;
        let deadline = Instant::now() + limit;
        for node in nodes {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let status = self.testbed()?.process(node)?.wait(remaining);
            ensure!(status.is_some(), "{node} has not ended after {limit:?}");
        }
        Ok(())
    }

    fn restart(&mut self, nodes: &[NodeName], wait: bool) -> Result<()> {
        let testbed = self.testbed()?;
        for node in nodes {
            testbed.process(node)?.restart()?;
            testbed.set_out_of_service(node, false, true)?;
        }
        if wait {
            testbed.wait_ready()?;
        }
        testbed.publish_entries();
        Ok(())
    }

    fn replace(&mut self, step: &ReplaceStep) -> Result<()> {
        let testbed = self.testbed()?;
        testbed.replace(&step.nodes)?;
        let entries = step.nodes.iter();
        let entries = entries
            .filter(|node| matches!(node, NodeName::Entry(_)))
            .count();
        let agents = step.nodes.len() - entries;
        let first = testbed.replaced_entries.len() - entries;
        let old_entries = testbed.replaced_entries[first..].iter_mut();
        let first = testbed.replaced_endpoints.len() - agents;
        let old_agents = testbed.replaced_endpoints[first..].iter_mut();
        let mut old: Vec<_> = old_entries
            .map(|entry| &mut entry.process)
            .chain(old_agents.map(|(_, endpoint)| &mut endpoint.agent))
            .collect();
        for process in &mut old {
            // An instance that was killed before can be replaced too, so these errors are ignored. A paused one handles
            // SIGTERM after SIGCONT.
            let _ = process.signal(Signal::TERM);
            let _ = process.signal(Signal::CONT);
        }
        if step.no_wait {
            return Ok(());
        }
        let deadline = Instant::now() + step.limit;
        for process in old {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Some(status) = process.wait(remaining) else {
                bail!("a replaced process has not ended after {:?}", step.limit);
            };
            let killed = status > 128;
            ensure!(
                status == 0 || killed,
                "a replaced process ended with status {status}; end of its log: {}",
                process.log_tail()
            );
        }
        Ok(())
    }

    fn change_fabric(&mut self, step: &FabricStep) -> Result<()> {
        // Before `start`, the step is already part of the plan.
        let Some(testbed) = &self.testbed else {
            return Ok(());
        };
        for (fabric, (service, _)) in testbed.fabrics.iter().zip(&testbed.addresses) {
            if step
                .service
                .as_ref()
                .is_none_or(|selected| selected == service)
            {
                fabric.update_rules(|rules| set_rules(rules, step));
            }
        }
        Ok(())
    }

    fn set_cut(&mut self, nodes: &[NodeName], cut: bool) -> Result<()> {
        let testbed = self.testbed()?;
        for node in nodes {
            if let NodeName::Entry(index) = node {
                testbed.entries[*index].in_fabric = !cut;
            }
        }
        testbed.publish_entries();
        Ok(())
    }

    fn replay(&mut self, service: Option<&str>, count: usize) -> Result<usize> {
        let testbed = self.testbed()?;
        let mut sent = 0;
        for (fabric, (name, _)) in testbed.fabrics.iter().zip(&testbed.addresses) {
            if service.is_none_or(|selected| selected == name) {
                sent += fabric.replay(count);
            }
        }
        Ok(sent)
    }

    fn set_store_mode(&mut self, step: &StoreStep) -> Result<()> {
        let position = self.rollback_revisions.len().checked_sub(step.changes);
        let before = position.and_then(|position| self.rollback_revisions.get(position).copied());
        let testbed = self.testbed()?;
        match step.mode {
            StoreMode::Down => testbed.store.stop(),
            StoreMode::Up => {
                testbed.store.set_mode(StandinMode::Normal);
                testbed.store.restart()?;
            }
            StoreMode::Slow => testbed.store.set_mode(StandinMode::Slow(step.pause)),
            StoreMode::Silent => testbed.store.set_mode(StandinMode::Silent),
            StoreMode::Unavailable => testbed.store.set_mode(StandinMode::Unavailable),
            StoreMode::LoseAnswer => testbed.store.lose_next_answer(),
            StoreMode::RollBack => {
                let revision = before.with_context(|| {
                    format!("fewer than {} changes have been accepted", step.changes)
                })?;
                testbed.store.roll_back(revision);
            }
        }
        Ok(())
    }

    fn change_catalogue(&mut self, step: &ScenarioStep) -> Result<StepReport> {
        let edits = edits_of(self.testbed()?, step)?;
        let testbed = self.testbed()?;
        let before = testbed.store.revision();
        let outcomes = testbed.operator.apply_concurrently(edits)?;
        if outcomes
            .iter()
            .any(|outcome| matches!(outcome, ChangeOutcome::Accepted(_)))
        {
            self.rollback_revisions.push(before);
        }
        let text: Vec<String> = outcomes
            .iter()
            .map(|outcome| format!("{outcome:?}"))
            .collect();
        self.changes.extend(outcomes);
        Ok(StepReport::Details(text.join(", ")))
    }

    /// Records the present values of the measures that expectations subtract with `--since` and this mark.
    fn record_mark(&mut self, name: &str) -> Result<()> {
        for (index, parsed) in self.steps.iter().enumerate() {
            let ScenarioStep::Expect(expect) = &parsed.step else {
                continue;
            };
            if expect.since.as_deref() != Some(name) {
                continue;
            }
            // A measure that has no value yet starts at zero.
            let value = self.value(expect).unwrap_or(0.0);
            self.marks.insert((name.into(), index), value);
        }
        Ok(())
    }

    fn value(&mut self, expect: &ExpectStep) -> Result<f64> {
        let mut sources = MeasureSources {
            testbed: self
                .testbed
                .as_mut()
                .context("`start` has not been executed")?,
            loads: &self.loads,
            changes: &self.changes,
        };
        sources.value(expect.measure, expect.of.as_deref())
    }

    fn await_expectation(&mut self, expect: &ExpectStep) -> ExpectOutcome {
        let deadline = Instant::now() + expect.within.unwrap_or_default();
        loop {
            let outcome = self.evaluate_expectation(expect);
            if matches!(outcome, ExpectOutcome::Holds(_)) || Instant::now() >= deadline {
                return outcome;
            }
            sleep(POLL_INTERVAL);
        }
    }

    fn evaluate_expectation(&mut self, expect: &ExpectStep) -> ExpectOutcome {
        let expected = match expect.measure.parse_value(&expect.value) {
            Ok(expected) => expected,
            Err(error) => return ExpectOutcome::NoValue(error),
        };
        let actual = match self.value(expect) {
            Ok(value) => value - self.value_at_mark(expect),
            Err(error) => return ExpectOutcome::NoValue(format!("{error:#}")),
        };
        let text = expect.measure.format_value(actual);
        match expect.operator.holds(actual, expected) {
            true => ExpectOutcome::Holds(text),
            false => ExpectOutcome::Fails(text),
        }
    }

    fn value_at_mark(&self, expect: &ExpectStep) -> f64 {
        let Some(mark) = &expect.since else {
            return 0.0;
        };
        let is_expect = |parsed: &ParsedStep| match &parsed.step {
            ScenarioStep::Expect(other) => std::ptr::eq(other, expect),
            _ => false,
        };
        let index = self.steps.iter().position(is_expect);
        let key = index.map(|index| (mark.clone(), index));
        key.and_then(|key| self.marks.get(&key).copied())
            .unwrap_or(0.0)
    }

    /// Returns what explains a failure: the first bad outcomes of each load and the logs of crashed processes.
    pub fn failure_notes(&mut self) -> Vec<String> {
        let mut notes = self.loads.failure_notes();
        if let Some(testbed) = &mut self.testbed {
            notes.extend(testbed.crash_logs().lines().map(String::from));
        }
        notes
    }
}

fn set_rules(rules: &mut FabricRules, step: &FabricStep) {
    rules.loss = step.loss.unwrap_or(rules.loss);
    rules.duplicate = step.duplicate.unwrap_or(rules.duplicate);
    rules.delay = step.delay.unwrap_or(rules.delay);
    rules.jitter = step.jitter.unwrap_or(rules.jitter);
}

fn testbed_plan(steps: &[ParsedStep]) -> TestbedPlan {
    let mut plan = TestbedPlan {
        zones: Vec::new(),
        entries: EntriesStep {
            count: 1,
            linger: Duration::from_secs(1),
        },
        services: Vec::new(),
        added_services: Vec::new(),
        fabric: FabricRules::default(),
        seed: 1,
    };
    let mut started = false;
    for parsed in steps {
        match &parsed.step {
            ScenarioStep::Zones(step) => plan.zones = step.names.clone(),
            ScenarioStep::Entries(step) => plan.entries = step.clone(),
            ScenarioStep::Service(step) => plan.services.push(step.clone()),
            ScenarioStep::AddService(step) => plan.added_services.push(step.clone()),
            ScenarioStep::Seed(step) => plan.seed = step.seed,
            ScenarioStep::Fabric(step) if !started => set_rules(&mut plan.fabric, step),
            ScenarioStep::Start(_) => started = true,
            _ => {}
        }
    }
    plan
}
