//! Values of the measures.

use super::bed::ScenarioBed;
use super::loads::{RunningLoad, ScenarioLoads};
use super::measure::MeasureName;
use super::operator::ChangeOutcome;
use super::values::{EndpointName, NodeName};
use crate::upstream::UpstreamRecord;
use crate::workload::LoadCounters;
use anyhow::{bail, Context, Result};
use quetzalhill_node::status::NodeRole;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::PoisonError;

/// Everything that measures are taken from.
pub struct MeasureSources<'a> {
    /// Processes, upstreams and store.
    pub bed: &'a mut ScenarioBed,
    /// What callers saw.
    pub loads: &'a ScenarioLoads,
    /// How catalogue changes ended.
    pub changes: &'a [ChangeOutcome],
}

impl MeasureSources<'_> {
    /// Returns the value of a measure; times in seconds.
    ///
    /// # Errors
    ///
    /// Says why the measure has no value.
    pub fn value(&mut self, measure: MeasureName, of: Option<&str>) -> Result<f64> {
        use MeasureName as M;
        match measure {
            M::Requests => self.count(of, |load| &load.requests),
            M::Ok => self.count(of, |load| &load.whole),
            M::NotRun => self.count(of, |load| &load.not_run),
            M::Unknown => self.count(of, |load| &load.unknown),
            M::Wrong => self.count(of, |load| &load.wrong),
            M::Failed => self.count(of, |load| &load.failed),
            M::Broken => self.count(of, |load| &load.broken),
            M::OkShare => self.share(of, |load| &load.whole),
            M::InTimeShare => self.share(of, |load| &load.in_time),
            M::P50 => self.latency(of, 0.5),
            M::P99 => self.latency(of, 0.99),
            M::BrokenFlows => self.sum(of, |load| load.pool.count_broken()),
            M::MovedFlows => self.sum(of, |load| read(&load.pool.moved)),
            M::Flows => self.sum(of, |load| read(&load.pool.opened)),
            M::Duplicates => Ok(number(self.duplicates())),
            M::FalseNotRun => Ok(number(self.false_not_run())),
            M::Runs => self.upstream(of, |record| record.runs.values().sum::<u32>().into()),
            M::Finished => self.upstream(of, |record| record.finished),
            M::Cancelled => self.upstream(of, |record| record.cancelled),
            M::Running => self.upstream(of, |record| record.running.into()),
            M::MostRunning => {
                let records = self.records(of)?;
                let most = records.iter().map(|record| record.max_running).max();
                Ok(most.unwrap_or(0).into())
            }
            M::Imbalance => self.imbalance(of),
            M::Revision => self.revision(of),
            M::Ready => self.ready(of),
            M::ExitStatus => self.exit_status(of),
            M::Accepted => Ok(self.changes(|change| matches!(change, ChangeOutcome::Accepted(_)))),
            M::LostRaces => Ok(self.changes(|change| matches!(change, ChangeOutcome::LostRace))),
            M::Refused => Ok(self.changes(|change| matches!(change, ChangeOutcome::Refused(_)))),
            M::Doubtful => Ok(self.changes(|change| matches!(change, ChangeOutcome::Doubtful(_)))),
        }
    }

    fn loads(&self, of: Option<&str>) -> Result<Vec<&RunningLoad>> {
        match of {
            Some(name) => {
                let load = self.loads.get(name);
                Ok(vec![
                    load.with_context(|| format!("{name} has not been started"))?
                ])
            }
            None => Ok(self.loads.all().collect()),
        }
    }

    fn counters(&self, of: Option<&str>) -> Result<Vec<&LoadCounters>> {
        let loads = self.loads(of)?;
        let counters = loads
            .into_iter()
            .filter_map(|load| load.counters.as_deref());
        let counters: Vec<&LoadCounters> = counters.collect();
        match counters.is_empty() {
            true => bail!("no load or streams have been started"),
            false => Ok(counters),
        }
    }

    fn count(
        &self,
        of: Option<&str>,
        counter: impl Fn(&LoadCounters) -> &AtomicU64,
    ) -> Result<f64> {
        let counters = self.counters(of)?;
        Ok(number(
            counters.into_iter().map(|load| read(counter(load))).sum(),
        ))
    }

    fn share(
        &self,
        of: Option<&str>,
        counter: impl Fn(&LoadCounters) -> &AtomicU64,
    ) -> Result<f64> {
        let requests = self.count(of, |load| &load.requests)?;
        match requests > 0.0 {
            true => Ok(self.count(of, counter)? / requests),
            false => bail!("no request has been sent"),
        }
    }

    fn latency(&self, of: Option<&str>, quantile: f64) -> Result<f64> {
        let mut counters = self.counters(of)?.into_iter();
        let first = counters.next().context("no load has been started")?;
        let mut histogram = first.latency();
        for load in counters {
            histogram.add(load.latency())?;
        }
        match histogram.is_empty() {
            true => bail!("no whole answer has arrived"),
            false => Ok(number(histogram.value_at_quantile(quantile)) / 1e6),
        }
    }

    fn sum(&self, of: Option<&str>, count: impl Fn(&RunningLoad) -> u64) -> Result<f64> {
        let loads = self.loads(of)?;
        match loads.is_empty() {
            true => bail!("no sessions have been opened"),
            false => Ok(number(loads.into_iter().map(count).sum())),
        }
    }

    fn runs(&self) -> HashMap<u64, u32> {
        let mut runs: HashMap<u64, u32> = HashMap::new();
        for record in self.bed.records(None) {
            for (id, count) in record.runs {
                *runs.entry(id).or_default() += count;
            }
        }
        runs
    }

    fn duplicates(&self) -> u64 {
        let runs = self.runs();
        runs.values()
            .map(|&count| u64::from(count.saturating_sub(1)))
            .sum()
    }

    fn false_not_run(&self) -> u64 {
        let runs = self.runs();
        let mut count = 0;
        for load in self.loads.all() {
            let Some(counters) = &load.counters else {
                continue;
            };
            let ids = counters
                .not_run_ids
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let ran = ids.iter().filter(|&&id| runs.contains_key(&id.into()));
            // CAST: Counts of requests fit 64 bits.
            count += ran.count() as u64;
        }
        count
    }

    fn records(&mut self, of: Option<&str>) -> Result<Vec<UpstreamRecord>> {
        match of {
            Some(name) if name.contains(':') => {
                let name: EndpointName = name.parse().map_err(anyhow::Error::msg)?;
                Ok(vec![self.bed.endpoint(&name)?.upstream.record()])
            }
            _ => Ok(self.bed.records(of)),
        }
    }

    fn upstream(
        &mut self,
        of: Option<&str>,
        count: impl Fn(&UpstreamRecord) -> u64,
    ) -> Result<f64> {
        Ok(number(self.records(of)?.iter().map(count).sum()))
    }

    fn imbalance(&mut self, of: Option<&str>) -> Result<f64> {
        let endpoints = self.bed.endpoints.get(of.unwrap_or_default());
        let runs: Vec<u64> = endpoints
            .into_iter()
            .flatten()
            .map(|endpoint| endpoint.upstream.record().runs.values().sum::<u32>().into())
            .collect();
        let total: u64 = runs.iter().sum();
        let most = runs.iter().max().copied().unwrap_or(0);
        match total > 0 {
            // CAST: A scenario has at most some dozens of endpoints.
            true => Ok(number(most) * runs.len() as f64 / number(total)),
            false => bail!("no request has arrived"),
        }
    }

    fn revision(&mut self, of: Option<&str>) -> Result<f64> {
        let admin = match of {
            None => self.bed.admin_addresses(),
            Some(name) => {
                let name: NodeName = name.parse().map_err(anyhow::Error::msg)?;
                vec![match &name {
                    NodeName::Entry(index) => self.bed.entries[*index].settings.node.admin,
                    NodeName::Agent(name) => self.bed.endpoint(name)?.settings.node.admin,
                }]
            }
        };
        let count = admin.len();
        let answers = self.bed.operator.statuses(admin)?;
        let answers: Vec<_> = answers.into_iter().flatten().collect();
        if answers.len() < count || count == 0 {
            bail!("{} of {count} nodes answer /status", answers.len());
        }
        let lowest = answers.iter().map(|status| status.revision).min();
        Ok(number(lowest.unwrap_or(0)))
    }

    fn ready(&mut self, of: Option<&str>) -> Result<f64> {
        let service = of.unwrap_or_default();
        let present = self.bed.entries.iter().filter(|entry| !entry.absent);
        let admin: Vec<_> = present.map(|entry| entry.settings.node.admin).collect();
        let count = admin.len();
        let answers = self.bed.operator.statuses(admin)?;
        let entries = answers.into_iter().flatten();
        let ready: Vec<u32> = entries
            .filter(|status| status.role == NodeRole::Entry)
            .map(|status| status.services.get(service).map_or(0, |known| known.ready))
            .collect();
        match ready.iter().min() {
            Some(&fewest) if ready.len() == count => Ok(fewest.into()),
            _ => bail!("{} of {count} entries answer /status", ready.len()),
        }
    }

    fn exit_status(&mut self, of: Option<&str>) -> Result<f64> {
        let name: NodeName = of.unwrap_or_default().parse().map_err(anyhow::Error::msg)?;
        match self.bed.process(&name)?.exit_status() {
            Some(status) => Ok(status.into()),
            None => bail!("{name} still runs"),
        }
    }

    fn changes(&self, wanted: impl Fn(&ChangeOutcome) -> bool) -> f64 {
        let count = self.changes.iter().filter(|change| wanted(change)).count();
        // CAST: A scenario has at most some hundred changes.
        count as f64
    }
}

fn read(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

fn number(value: u64) -> f64 {
    // CAST: Counts and times of a scenario are far below 2^53.
    value as f64
}
