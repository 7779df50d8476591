//! A whole deployment on loopback: store, fabric, entries, agents and upstreams as threads of one process.

use crate::certificate::TestCertificate;
use crate::deployment::DeploymentPlan;
use crate::fabric::{FabricRules, FabricStandin};
use crate::layout::{AgentParameters, TestbedLayout};
use crate::operator::write_catalogue;
use crate::store::StoreStandin;
use crate::upstream::UpstreamStandin;
use anyhow::{bail, Context, Result};
use quetzalhill::run::EntryHandle;
use quetzalhill::settings::EntrySettings;
use quetzalhill_agent::run::AgentHandle;
use quetzalhill_agent::settings::AgentSettings;
use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_core::dispatch::DispatchPolicy;
use quetzalhill_core::ids::{RevisionNumber, ServiceName};
use quetzalhill_core::member::EndpointState;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

/// How long a condition may take to become true.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// One endpoint of the testbed.
pub struct TestEndpoint {
    /// Service it belongs to.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamStandin,
    /// The agent, until it is stopped.
    pub agent: Option<AgentHandle>,
    /// Settings with which the agent was started.
    pub settings: AgentSettings,
}

/// One entry of the testbed.
pub struct TestEntry {
    /// The entry, until it is stopped.
    pub entry: Option<EntryHandle>,
    /// Settings with which it was started.
    pub settings: EntrySettings,
}

/// A running deployment.
pub struct Testbed {
    /// What was asked for.
    pub plan: DeploymentPlan,
    /// IP address of everything in this testbed.
    pub ip: Ipv4Addr,
    /// The fabric in front of each service, in the order of the plan.
    pub fabrics: Vec<FabricStandin>,
    /// Entries, with those that have been stopped.
    pub entries: Vec<TestEntry>,
    /// Endpoints, with those that have been stopped.
    pub endpoints: Vec<TestEndpoint>,
    /// The platform's store.
    pub store: StoreStandin,
    /// Catalogue that was last handed out.
    pub catalogue: CatalogueSnapshot,
    /// What callers trust.
    pub certificate: TestCertificate,
    layout: TestbedLayout,
}

impl Testbed {
    /// Starts entries, agents, upstreams and the fabric, and waits until every service answers.
    ///
    /// # Errors
    ///
    /// Returns an error if something cannot start or is not ready within 15 seconds.
    pub fn start(plan: DeploymentPlan, policy: DispatchPolicy, seed: u64) -> Result<Self> {
        let layout = TestbedLayout::new(plan.clone(), policy)?;
        let store = StoreStandin::start(layout.store_address().into())?;
        let wanted = plan.catalogue(|index| layout.service_address(index));
        let catalogue = write_catalogue(&store.url(), wanted.services)?;
        let mut bed = Self {
            plan,
            store,
            catalogue,
            ip: layout.ip,
            fabrics: Vec::new(),
            entries: Vec::new(),
            endpoints: Vec::new(),
            certificate: layout.certificate.clone(),
            layout,
        };
        for _ in 0..bed.plan.entries {
            bed.add_entry()?;
        }
        bed.add_endpoints()?;
        bed.add_fabrics(seed)?;
        bed.wait_in_force()?;
        Ok(bed)
    }

    /// Returns the address of a service at the fabric.
    pub fn service_address(&self, service: &str) -> Option<SocketAddrV4> {
        let index = self.plan.service.keys().position(|name| name == service)?;
        Some(self.layout.service_address(index))
    }

    /// Changes the catalogue in the store, as an operator does, and waits until it is in force everywhere.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is not accepted or not in force within 15 seconds.
    pub fn edit_catalogue(&mut self, edit: impl FnOnce(&mut CatalogueSnapshot)) -> Result<()> {
        let mut wanted = self.catalogue.clone();
        edit(&mut wanted);
        self.catalogue = write_catalogue(&self.store.url(), wanted.services)?;
        self.wait_in_force()
    }

    /// Waits until the last catalogue is in force on all nodes that have not been stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than 15 seconds.
    pub fn wait_in_force(&self) -> Result<()> {
        let revision = self.catalogue.revision;
        let in_force = || self.revisions().iter().all(|&seen| seen >= revision);
        let waited = self.wait_until("the catalogue is in force on all nodes", in_force);
        waited.with_context(|| format!("revision {revision}; seen: {:?}", self.revisions()))
    }

    /// Returns the revision in force on each live entry and then on each live agent.
    fn revisions(&self) -> Vec<RevisionNumber> {
        let entries = self.entries.iter().filter_map(|entry| entry.entry.as_ref());
        let agents = self.endpoints.iter().filter_map(|end| end.agent.as_ref());
        let entries = entries.map(|entry| entry.state().catalogue.load().revision);
        let agents = agents.map(|agent| agent.state().view.load().revision);
        entries.chain(agents).collect()
    }

    /// Begins to drain an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if its agent has been stopped.
    pub fn drain_endpoint(&self, index: usize) -> Result<()> {
        let agent = self.endpoints[index].agent.as_ref();
        agent.context("the agent has been stopped")?.drain();
        Ok(())
    }

    /// Returns how many requests ran more than once, over all upstreams.
    pub fn duplicate_runs(&self) -> u64 {
        let mut runs: HashMap<u64, u32> = HashMap::new();
        for endpoint in &self.endpoints {
            for (id, count) in endpoint.upstream.record().runs {
                *runs.entry(id).or_default() += count;
            }
        }
        runs.values()
            .map(|&count| u64::from(count.saturating_sub(1)))
            .sum()
    }

    /// Starts one more entry; it is not in the fabric before [`Testbed::publish_entries`].
    ///
    /// # Errors
    ///
    /// Returns an error if the entry cannot start.
    pub fn add_entry(&mut self) -> Result<usize> {
        let index = self.entries.len();
        // CAST: Tests start at most some dozens of entries.
        let number = index as u16;
        let seeds = self
            .live_entries()
            .take(3)
            .map(|entry| entry.settings.node.control)
            .collect();
        let settings = self
            .layout
            .entry_settings(number, index, self.plan.service.len(), seeds);
        let entry =
            quetzalhill::run::start(settings.clone()).with_context(|| format!("entry {index}"))?;
        self.entries.push(TestEntry {
            entry: Some(entry),
            settings,
        });
        Ok(index)
    }

    fn live_entries(&self) -> impl Iterator<Item = &TestEntry> {
        self.entries.iter().filter(|entry| entry.entry.is_some())
    }

    fn add_endpoints(&mut self) -> Result<()> {
        for (name, plan) in self.plan.service.clone() {
            for number in 0..plan.endpoints {
                self.add_endpoint(&name, plan.slots, usize::from(number))?;
            }
        }
        Ok(())
    }

    /// Starts one more upstream with its agent and returns its position in `endpoints`.
    ///
    /// # Errors
    ///
    /// Returns an error if either cannot start.
    pub fn add_endpoint(&mut self, service: &str, slots: u16, zone: usize) -> Result<usize> {
        let index = self.endpoints.len();
        // CAST: Tests start at most some dozens of endpoints.
        let number = index as u16;
        let upstream = UpstreamStandin::start(self.layout.upstream_address(number), service)?;
        let settings = self.layout.agent_settings(&AgentParameters {
            number,
            service: service.into(),
            slots,
            zone,
            entries: self
                .live_entries()
                .take(3)
                .map(|entry| entry.settings.node.control)
                .collect(),
        });
        let agent = quetzalhill_agent::run::start(settings.clone())
            .with_context(|| format!("agent {index}"))?;
        self.endpoints.push(TestEndpoint {
            service: service.into(),
            upstream,
            agent: Some(agent),
            settings,
        });
        Ok(index)
    }

    fn add_fabrics(&mut self, seed: u64) -> Result<()> {
        for service in 0..self.plan.service.len() {
            let rules = FabricRules {
                entries: self.listener_addresses(service),
                delay: Duration::from_micros(self.plan.caller_delay_us),
                ..FabricRules::default()
            };
            // CAST: A deployment has a handful of services.
            let fabric = FabricStandin::start(
                self.layout.service_address(service),
                rules,
                seed + service as u64,
            )?;
            self.fabrics.push(fabric);
        }
        Ok(())
    }

    fn listener_addresses(&self, service: usize) -> Vec<SocketAddrV4> {
        self.live_entries()
            .map(|entry| entry.settings.entry.listen[service].bind)
            .collect()
    }

    /// Tells the fabric which entries are live.
    pub fn publish_entries(&self) {
        for (service, fabric) in self.fabrics.iter().enumerate() {
            let entries = self.listener_addresses(service);
            fabric.update_rules(|rules| rules.entries = entries);
        }
    }

    /// Replaces an entry by a new one, as an operator does: start, wait until ready, move the fabric, stop.
    ///
    /// # Errors
    ///
    /// Returns an error if the new entry is not ready within 15 seconds.
    pub fn replace_entry(&mut self, index: usize) -> Result<usize> {
        let fresh = self.add_entry()?;
        self.wait_until("the new entry is ready", || {
            self.routes_all(&self.entries[fresh])
        })?;
        let old = self.entries[index].entry.take();
        self.publish_entries();
        if let Some(old) = old {
            old.stop()?;
        }
        Ok(fresh)
    }

    /// Waits until every live entry routes to all endpoints that have not been stopped, and every agent is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than 15 seconds.
    pub fn wait_all_ready(&self) -> Result<()> {
        self.wait_until("all nodes are ready", || {
            self.live_entries().all(|entry| self.routes_all(entry))
        })
    }

    fn routes_all(&self, entry: &TestEntry) -> bool {
        let Some(handle) = &entry.entry else {
            return true;
        };
        let table = handle.state().routes.load();
        let routed: usize = table
            .services
            .iter()
            .map(|service| service.ready.len())
            .sum();
        routed
            == self
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.is_ready())
                .count()
            && routed > 0
    }

    /// Waits until `condition` holds, which `what` names.
    ///
    /// # Errors
    ///
    /// Returns an error after 15 seconds.
    pub fn wait_until(&self, what: &str, condition: impl Fn() -> bool) -> Result<()> {
        let end = Instant::now() + READY_LIMIT;
        while Instant::now() < end {
            if condition() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        bail!(
            "after {} s it is not true that {what}",
            READY_LIMIT.as_secs()
        )
    }
}

impl TestEndpoint {
    /// Returns whether the agent runs and does not drain.
    pub fn is_ready(&self) -> bool {
        let state = |agent: &AgentHandle| agent.state().view.load().state;
        self.agent
            .as_ref()
            .is_some_and(|agent| state(agent) <= EndpointState::Ready)
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        for endpoint in &mut self.endpoints {
            if let Some(agent) = endpoint.agent.take() {
                // The test has its result already.
                let _ = agent.stop_now();
            }
        }
        for entry in &mut self.entries {
            if let Some(entry) = entry.entry.take() {
                let _ = entry.stop_now();
            }
        }
    }
}
