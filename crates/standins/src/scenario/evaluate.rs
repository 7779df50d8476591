//! Computes the measures of `expect` from the callers' counters, the upstreams' records, the nodes' status pages and
//! the outcomes of catalogue changes.

use super::loads::{RunningLoad, ScenarioLoads};
use super::measure::MeasureName;
use super::operator::ChangeOutcome;
use super::testbed::ScenarioTestbed;
use super::values::{EndpointName, NodeName};
use crate::upstream::UpstreamRecord;
use crate::workload::LoadCounters;
use anyhow::{bail, Context, Result};
use quetzalhill_node::status::NodeRole;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::PoisonError;

/// Inputs of the measures.
pub struct MeasureSources<'a> {
    /// Upstreams with their records, and processes with their exit statuses and status pages.
    pub testbed: &'a mut ScenarioTestbed,
    /// Counters of the requests and sessions of callers.
    pub loads: &'a ScenarioLoads,
    /// Outcomes of the catalogue changes after the start.
    pub changes: &'a [ChangeOutcome],
}

impl MeasureSources<'_> {
    /// Returns the present value of a measure: a count, a ratio (1.0 is 100 %) or a time in seconds. `of` restricts it
    /// to one load, service, endpoint or node.
    ///
    /// # Errors
    ///
    /// The measure has no value yet; the error is the reason.
    pub fn value(&mut self, measure: MeasureName, of: Option<&str>) -> Result<f64> {
        use MeasureName as M;
        match measure {
            M::Requests => self.sum_counters(of, |load| &load.requests),
            M::Ok => self.sum_counters(of, |load| &load.whole),
            M::NotRun => self.sum_counters(of, |load| &load.not_run),
            M::Unknown => self.sum_counters(of, |load| &load.unknown),
            M::Wrong => self.sum_counters(of, |load| &load.wrong),
            M::Failed => self.sum_counters(of, |load| &load.failed),
            M::Broken => self.sum_counters(of, |load| &load.broken),
            M::OkShare => self.share(of, |load| &load.whole),
            M::InTimeShare => self.share(of, |load| &load.in_time),
            M::P50 => self.latency(of, 0.5),
            M::P99 => self.latency(of, 0.99),
            M::BrokenFlows => self.sum_loads(of, |load| load.pool.count_broken()),
            M::MovedFlows => self.sum_loads(of, |load| load_counter(&load.pool.moved)),
            M::Flows => self.sum_loads(of, |load| load_counter(&load.pool.opened)),
            M::Duplicates => Ok(to_f64(self.duplicates())),
            M::FalseNotRun => Ok(to_f64(self.false_not_run())),
            M::Runs => self.sum_upstreams(of, |record| record.runs.values().sum::<u32>().into()),
            M::Finished => self.sum_upstreams(of, |record| record.finished),
            M::Cancelled => self.sum_upstreams(of, |record| record.cancelled),
            M::Running => self.sum_upstreams(of, |record| record.running.into()),
            M::MostRunning => {
                let records = self.records(of)?;
                let most = records.iter().map(|record| record.max_running).max();
                Ok(most.unwrap_or(0).into())
            }
            M::Imbalance => self.imbalance(of),
            M::Revision => self.revision(of),
            M::Ready => self.ready(of),
            M::ExitStatus => self.exit_status(of),
            M::Accepted => {
                Ok(self.count_changes(|change| matches!(change, ChangeOutcome::Accepted(_))))
            }
            M::LostRaces => {
                Ok(self.count_changes(|change| matches!(change, ChangeOutcome::LostRace)))
            }
            M::Refused => {
                Ok(self.count_changes(|change| matches!(change, ChangeOutcome::Refused(_))))
            }
            M::Doubtful => {
                Ok(self.count_changes(|change| matches!(change, ChangeOutcome::Doubtful(_))))
            }
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

    fn sum_counters(
        &self,
        of: Option<&str>,
        counter: impl Fn(&LoadCounters) -> &AtomicU64,
    ) -> Result<f64> {
        let counters = self.counters(of)?;
        Ok(to_f64(
            counters
                .into_iter()
                .map(|load| load_counter(counter(load)))
                .sum(),
        ))
    }

    fn share(
        &self,
        of: Option<&str>,
        counter: impl Fn(&LoadCounters) -> &AtomicU64,
    ) -> Result<f64> {
        let requests = self.sum_counters(of, |load| &load.requests)?;
        match requests > 0.0 {
            true => Ok(self.sum_counters(of, counter)? / requests),
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
            true => bail!("no request has been answered completely"),
            false => Ok(to_f64(histogram.value_at_quantile(quantile)) / 1e6),
        }
    }

    fn sum_loads(&self, of: Option<&str>, count: impl Fn(&RunningLoad) -> u64) -> Result<f64> {
        let loads = self.loads(of)?;
        match loads.is_empty() {
            true => bail!("no sessions have been opened"),
            false => Ok(to_f64(loads.into_iter().map(count).sum())),
        }
    }

    fn runs_by_request(&self) -> HashMap<u64, u32> {
        let mut runs: HashMap<u64, u32> = HashMap::new();
        for record in self.testbed.records(None) {
            for (id, count) in record.runs {
                *runs.entry(id).or_default() += count;
            }
        }
        runs
    }

    /// Counts the runs of each request beyond its first.
    fn duplicates(&self) -> u64 {
        let runs = self.runs_by_request();
        runs.values()
            .map(|&count| u64::from(count.saturating_sub(1)))
            .sum()
    }

    /// Counts the requests that an upstream ran although the caller received the outcome "not-run".
    fn false_not_run(&self) -> u64 {
        let runs = self.runs_by_request();
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
                Ok(vec![self.testbed.endpoint(&name)?.upstream.record()])
            }
            _ => Ok(self.testbed.records(of)),
        }
    }

    fn sum_upstreams(
        &mut self,
        of: Option<&str>,
        count: impl Fn(&UpstreamRecord) -> u64,
    ) -> Result<f64> {
        Ok(to_f64(self.records(of)?.iter().map(count).sum()))
    }

    /// Divides the arrivals at the busiest endpoint by the mean of the service's endpoints.
    fn imbalance(&mut self, of: Option<&str>) -> Result<f64> {
        let endpoints = self.testbed.endpoints.get(of.unwrap_or_default());
        let runs: Vec<u64> = endpoints
            .into_iter()
            .flatten()
            .map(|endpoint| endpoint.upstream.record().runs.values().sum::<u32>().into())
            .collect();
        let total: u64 = runs.iter().sum();
        let most = runs.iter().max().copied().unwrap_or(0);
        match total > 0 {
            // CAST: A scenario has at most some dozens of endpoints.
            true => Ok(to_f64(most) * runs.len() as f64 / to_f64(total)),
            false => bail!("no request has arrived at an endpoint of the service"),
        }
    }

    fn revision(&mut self, of: Option<&str>) -> Result<f64> {
        let admin = match of {
            None => self.testbed.admin_addresses(),
            Some(name) => {
                let name: NodeName = name.parse().map_err(anyhow::Error::msg)?;
                vec![match &name {
                    NodeName::Entry(index) => self.testbed.entries[*index].settings.node.admin,
                    NodeName::Agent(name) => self.testbed.endpoint(name)?.settings.node.admin,
                }]
            }
        };
        let count = admin.len();
        let answers = self.testbed.operator.fetch_statuses(admin)?;
        let answers: Vec<_> = answers.into_iter().flatten().collect();
        if answers.len() < count || count == 0 {
            bail!("only {} of {count} nodes answer /status", answers.len());
        }
        let lowest = answers.iter().map(|status| status.revision).min();
        Ok(to_f64(lowest.unwrap_or(0)))
    }

    fn ready(&mut self, of: Option<&str>) -> Result<f64> {
        let service = of.unwrap_or_default();
        let active = self
            .testbed
            .entries
            .iter()
            .filter(|entry| !entry.out_of_service);
        let admin: Vec<_> = active.map(|entry| entry.settings.node.admin).collect();
        let count = admin.len();
        let answers = self.testbed.operator.fetch_statuses(admin)?;
        let entries = answers.into_iter().flatten();
        let ready: Vec<u32> = entries
            .filter(|status| status.role == NodeRole::Entry)
            .map(|status| status.services.get(service).map_or(0, |known| known.ready))
            .collect();
        match ready.iter().min() {
            Some(&fewest) if ready.len() == count => Ok(fewest.into()),
            _ => bail!("only {} of {count} entries answer /status", ready.len()),
        }
    }

    fn exit_status(&mut self, of: Option<&str>) -> Result<f64> {
        let name: NodeName = of.unwrap_or_default().parse().map_err(anyhow::Error::msg)?;
        match self.testbed.process(&name)?.exit_status() {
            Some(status) => Ok(status.into()),
            None => bail!("{name} has not ended"),
        }
    }

    fn count_changes(&self, matches: impl Fn(&ChangeOutcome) -> bool) -> f64 {
        let count = self.changes.iter().filter(|change| matches(change)).count();
        // CAST: A scenario has at most some hundred changes.
        count as f64
    }
}

fn load_counter(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

fn to_f64(value: u64) -> f64 {
    // CAST: Counts and times of a scenario are far below 2^53.
    value as f64
}
