//! Runs the steps of a scenario one after another.

use super::bed::{BedPlan, ScenarioBed};
use super::catalogue::edits_of;
use super::evaluate::MeasureSources;
use super::faults::{send_garbage, DamagedValues};
use super::loads::ScenarioLoads;
use super::operator::ChangeOutcome;
use super::parse::ParsedStep;
use super::report::StepReport;
use super::steps::{
    EntriesStep, ExpectStep, FabricStep, ReplaceStep, ScenarioStep, StoreMode, StoreStep,
};
use super::values::NodeName;
use crate::fabric::FabricRules;
use crate::store::StandinMode;
use anyhow::{bail, ensure, Context, Result};
use rustix::process::Signal;
use std::collections::HashMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Pause between two evaluations of an expectation.
const POLL: Duration = Duration::from_millis(50);

/// A scenario that runs.
pub struct ScenarioRun<'a> {
    steps: &'a [ParsedStep],
    plan: BedPlan,
    // Fields are dropped in this order: callers' loads need nothing of the bed to end.
    bed: Option<ScenarioBed>,
    loads: ScenarioLoads,
    changes: Vec<ChangeOutcome>,
    /// Revision of the store before each accepted change.
    before: Vec<i64>,
    marks: HashMap<(String, usize), f64>,
    damaged: DamagedValues,
}

/// What the evaluation of an expectation showed.
pub enum ExpectOutcome {
    /// The comparison holds; the value seen.
    Holds(String),
    /// It does not hold; the value seen.
    Fails(String),
    /// The measure has no value.
    NoValue(String),
}

impl<'a> ScenarioRun<'a> {
    /// Prepares a run.
    ///
    /// # Errors
    ///
    /// A thread cannot be started.
    pub fn new(steps: &'a [ParsedStep]) -> Result<Self> {
        let plan = plan_of(steps);
        Ok(Self {
            steps,
            loads: ScenarioLoads::new(plan.seed)?,
            plan,
            bed: None,
            changes: Vec::new(),
            before: Vec::new(),
            marks: HashMap::new(),
            damaged: DamagedValues::default(),
        })
    }

    fn bed(&mut self) -> Result<&mut ScenarioBed> {
        self.bed
            .as_mut()
            .context("`start` has not been carried out")
    }

    /// Carries out one step.
    ///
    /// # Errors
    ///
    /// Says what failed; the scenario cannot go on.
    pub fn step(&mut self, step: &ScenarioStep) -> Result<StepReport> {
        match step {
            ScenarioStep::Zones(_)
            | ScenarioStep::Entries(_)
            | ScenarioStep::Service(_)
            | ScenarioStep::Seed(_) => {}
            ScenarioStep::Start(_) => {
                let bed = ScenarioBed::start(&self.plan, self.loads.handle())?;
                bed.fabrics
                    .iter()
                    .for_each(|fabric| fabric.start_recording());
                self.bed = Some(bed);
            }
            ScenarioStep::Sessions(step) => {
                let bed = self.bed.as_ref().context("not started")?;
                self.loads.hold(bed, step)?;
            }
            ScenarioStep::Streams(step) => {
                let bed = self.bed.as_ref().context("not started")?;
                self.loads.stream(bed, step)?;
            }
            ScenarioStep::Load(step) => {
                let bed = self.bed.as_ref().context("not started")?;
                self.loads.start(bed, step)?;
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
                self.bed()?
                    .endpoint(&step.endpoint)?
                    .upstream
                    .set_mode(mode);
            }
            ScenarioStep::Fabric(step) => self.fabric(step)?,
            ScenarioStep::Cut(step) => self.cut(&step.nodes, true)?,
            ScenarioStep::Heal(step) => self.cut(&step.nodes, false)?,
            ScenarioStep::Garbage(step) => {
                let seed = self.plan.seed;
                let sent = send_garbage(self.bed()?, step.count, step.bytes, seed)?;
                let text = format!("{} datagrams and {} connections", sent.0, sent.1);
                return Ok(StepReport::Note(text));
            }
            ScenarioStep::Replay(step) => {
                let count = self.replay(step.service.as_deref(), step.count)?;
                return Ok(StepReport::Note(format!("{count} datagrams")));
            }
            ScenarioStep::Corrupt(step) => {
                let bed = self.bed.as_ref().context("not started")?;
                self.damaged.corrupt(bed, &step.what, &step.value)?;
            }
            ScenarioStep::Repair(_) => {
                let bed = self.bed.as_ref().context("not started")?;
                self.damaged.repair(bed);
            }
            ScenarioStep::Store(step) => self.store(step)?,
            ScenarioStep::Mark(step) => self.mark(&step.name)?,
            ScenarioStep::Expect(step) => {
                let outcome = self.expect(step);
                return Ok(StepReport::Expected(outcome));
            }
            change => return self.catalogue(change),
        }
        Ok(StepReport::Done)
    }

    fn signal(&mut self, nodes: &[NodeName], signal: Signal) -> Result<()> {
        let absent = signal == Signal::STOP;
        for node in nodes {
            let process = self.bed()?.process(node)?;
            process.signal(signal).with_context(|| node.to_string())?;
            self.bed()?.set_absent(node, absent, false)?;
        }
        Ok(())
    }

    fn kill(&mut self, nodes: &[NodeName], unnoticed: Duration) -> Result<()> {
        let bed = self.bed()?;
        for node in nodes {
            bed.process(node)?.kill()?;
            bed.set_absent(node, true, true)?;
        }
        if nodes.iter().any(|node| matches!(node, NodeName::Entry(_))) {
            sleep(unnoticed);
            bed.publish_entries();
        }
        Ok(())
    }

    fn drain(&mut self, nodes: &[NodeName]) -> Result<()> {
        let bed = self.bed()?;
        for node in nodes {
            bed.set_absent(node, true, true)?;
        }
        bed.publish_entries();
        for node in nodes {
            let process = bed.process(node)?;
            process
                .signal(Signal::TERM)
                .with_context(|| node.to_string())?;
        }
        Ok(())
    }

    fn stop(&mut self, nodes: &[NodeName], limit: Duration) -> Result<()> {
        self.drain(nodes)?;
        let end = Instant::now() + limit;
        for node in nodes {
            let left = end.saturating_duration_since(Instant::now());
            let status = self.bed()?.process(node)?.wait(left);
            ensure!(status.is_some(), "{node} has not ended after {limit:?}");
        }
        Ok(())
    }

    fn restart(&mut self, nodes: &[NodeName], wait: bool) -> Result<()> {
        let bed = self.bed()?;
        for node in nodes {
            bed.process(node)?.restart()?;
            bed.set_absent(node, false, true)?;
        }
        if wait {
            bed.wait_ready()?;
        }
        bed.publish_entries();
        Ok(())
    }

    fn replace(&mut self, step: &ReplaceStep) -> Result<()> {
        let bed = self.bed()?;
        bed.replace(&step.nodes)?;
        let entries = step.nodes.iter();
        let entries = entries
            .filter(|node| matches!(node, NodeName::Entry(_)))
            .count();
        let agents = step.nodes.len() - entries;
        let first = bed.retired_entries.len() - entries;
        let old_entries = bed.retired_entries[first..].iter_mut();
        let first = bed.retired.len() - agents;
        let old_agents = bed.retired[first..].iter_mut();
        let mut old: Vec<_> = old_entries
            .map(|entry| &mut entry.process)
            .chain(old_agents.map(|(_, endpoint)| &mut endpoint.agent))
            .collect();
        for process in &mut old {
            // An instance that was killed before is replaced as well.
            let _ = process.signal(Signal::TERM);
            let _ = process.signal(Signal::CONT);
        }
        if step.no_wait {
            return Ok(());
        }
        let end = Instant::now() + step.limit;
        for process in old {
            let left = end.saturating_duration_since(Instant::now());
            let Some(status) = process.wait(left) else {
                bail!("an old process has not ended after {:?}", step.limit);
            };
            let killed = status > 128;
            ensure!(
                status == 0 || killed,
                "an old process ended with status {status}: {}",
                process.log_end()
            );
        }
        Ok(())
    }

    fn fabric(&mut self, step: &FabricStep) -> Result<()> {
        // Before the start, the rules are part of the plan.
        let Some(bed) = &self.bed else {
            return Ok(());
        };
        for (fabric, (service, _)) in bed.fabrics.iter().zip(&bed.addresses) {
            if step.service.as_ref().is_none_or(|wanted| wanted == service) {
                fabric.update_rules(|rules| set_rules(rules, step));
            }
        }
        Ok(())
    }

    fn cut(&mut self, nodes: &[NodeName], cut: bool) -> Result<()> {
        let bed = self.bed()?;
        for node in nodes {
            if let NodeName::Entry(index) = node {
                bed.entries[*index].in_fabric = !cut;
            }
        }
        bed.publish_entries();
        Ok(())
    }

    fn replay(&mut self, service: Option<&str>, count: usize) -> Result<usize> {
        let bed = self.bed()?;
        let mut sent = 0;
        for (fabric, (name, _)) in bed.fabrics.iter().zip(&bed.addresses) {
            if service.is_none_or(|wanted| wanted == name) {
                sent += fabric.replay(count);
            }
        }
        Ok(sent)
    }

    fn store(&mut self, step: &StoreStep) -> Result<()> {
        let position = self.before.len().checked_sub(step.changes);
        let before = position.and_then(|position| self.before.get(position).copied());
        let bed = self.bed()?;
        match step.mode {
            StoreMode::Down => bed.store.stop(),
            StoreMode::Up => {
                bed.store.set_mode(StandinMode::Normal);
                bed.store.restart()?;
            }
            StoreMode::Slow => bed.store.set_mode(StandinMode::Slow(step.pause)),
            StoreMode::Silent => bed.store.set_mode(StandinMode::Silent),
            StoreMode::Unavailable => bed.store.set_mode(StandinMode::Unavailable),
            StoreMode::LoseAnswer => bed.store.lose_next_answer(),
            StoreMode::RollBack => {
                let revision = before.with_context(|| {
                    format!("fewer than {} changes have been accepted", step.changes)
                })?;
                bed.store.roll_back(revision);
            }
        }
        Ok(())
    }

    fn catalogue(&mut self, step: &ScenarioStep) -> Result<StepReport> {
        let edits = edits_of(self.bed()?, step)?;
        let bed = self.bed()?;
        let before = bed.store.revision();
        let outcomes = bed.operator.changes(edits)?;
        if outcomes
            .iter()
            .any(|outcome| matches!(outcome, ChangeOutcome::Accepted(_)))
        {
            self.before.push(before);
        }
        let text: Vec<String> = outcomes
            .iter()
            .map(|outcome| format!("{outcome:?}"))
            .collect();
        self.changes.extend(outcomes);
        Ok(StepReport::Note(text.join(", ")))
    }

    /// Evaluates the measures that later expectations compare with this mark.
    fn mark(&mut self, name: &str) -> Result<()> {
        for (index, parsed) in self.steps.iter().enumerate() {
            let ScenarioStep::Expect(expect) = &parsed.step else {
                continue;
            };
            if expect.since.as_deref() != Some(name) {
                continue;
            }
            // A measure without a value yet counts from zero.
            let value = self.value(expect).unwrap_or(0.0);
            self.marks.insert((name.into(), index), value);
        }
        Ok(())
    }

    fn value(&mut self, expect: &ExpectStep) -> Result<f64> {
        let mut sources = MeasureSources {
            bed: self.bed.as_mut().context("not started")?,
            loads: &self.loads,
            changes: &self.changes,
        };
        sources.value(expect.measure, expect.of.as_deref())
    }

    fn expect(&mut self, expect: &ExpectStep) -> ExpectOutcome {
        let end = Instant::now() + expect.within.unwrap_or_default();
        loop {
            let outcome = self.expect_once(expect);
            if matches!(outcome, ExpectOutcome::Holds(_)) || Instant::now() >= end {
                return outcome;
            }
            sleep(POLL);
        }
    }

    fn expect_once(&mut self, expect: &ExpectStep) -> ExpectOutcome {
        let wanted = match expect.measure.parse_value(&expect.value) {
            Ok(wanted) => wanted,
            Err(error) => return ExpectOutcome::NoValue(error),
        };
        let seen = match self.value(expect) {
            Ok(seen) => seen - self.marked(expect),
            Err(error) => return ExpectOutcome::NoValue(format!("{error:#}")),
        };
        let text = expect.measure.show(seen);
        match expect.operator.holds(seen, wanted) {
            true => ExpectOutcome::Holds(text),
            false => ExpectOutcome::Fails(text),
        }
    }

    fn marked(&self, expect: &ExpectStep) -> f64 {
        let Some(mark) = &expect.since else {
            return 0.0;
        };
        let is_this = |parsed: &ParsedStep| match &parsed.step {
            ScenarioStep::Expect(other) => std::ptr::eq(other, expect),
            _ => false,
        };
        let index = self.steps.iter().position(is_this);
        let key = index.map(|index| (mark.clone(), index));
        key.and_then(|key| self.marks.get(&key).copied())
            .unwrap_or(0.0)
    }

    /// Returns what callers noted and which processes have ended badly, to explain a failure.
    pub fn notes(&mut self) -> Vec<String> {
        let mut notes = self.loads.notes();
        if let Some(bed) = &mut self.bed {
            notes.extend(bed.explain().lines().map(String::from));
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

fn plan_of(steps: &[ParsedStep]) -> BedPlan {
    let mut plan = BedPlan {
        zones: Vec::new(),
        entries: EntriesStep {
            count: 1,
            linger: Duration::from_secs(1),
        },
        services: Vec::new(),
        later: Vec::new(),
        fabric: FabricRules::default(),
        seed: 1,
    };
    let mut started = false;
    for parsed in steps {
        match &parsed.step {
            ScenarioStep::Zones(step) => plan.zones = step.names.clone(),
            ScenarioStep::Entries(step) => plan.entries = step.clone(),
            ScenarioStep::Service(step) => plan.services.push(step.clone()),
            ScenarioStep::AddService(step) => plan.later.push(step.clone()),
            ScenarioStep::Seed(step) => plan.seed = step.seed,
            ScenarioStep::Fabric(step) if !started => set_rules(&mut plan.fabric, step),
            ScenarioStep::Start(_) => started = true,
            _ => {}
        }
    }
    plan
}
