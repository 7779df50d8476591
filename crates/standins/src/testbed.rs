//! A complete deployment on loopback: store, fabric, entries, agents and upstreams as threads of one process.

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

/// Time within which a condition that the testbed waits for has to hold.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// One endpoint of the testbed: an upstream with its agent.
pub struct TestEndpoint {
    /// Name of the service that the endpoint belongs to.
    pub service: ServiceName,
    /// Upstream to which the agent sends requests.
    pub upstream: UpstreamStandin,
    /// The agent; `None` after it has been stopped.
    pub agent: Option<AgentHandle>,
    /// Settings that the agent was started with.
    pub settings: AgentSettings,
}

/// One entry of the testbed.
pub struct TestEntry {
    /// The entry; `None` after it has been stopped.
    pub entry: Option<EntryHandle>,
    /// Settings that the entry was started with.
    pub settings: EntrySettings,
}

/// A running deployment, whose nodes are stopped when it is dropped.
pub struct Testbed {
    /// Plan that the testbed was started with.
    pub plan: DeploymentPlan,
    /// Loopback IP address that all nodes and stand-ins of this testbed share.
    pub ip: Ipv4Addr,
    /// One fabric for each service, in the order of the plan.
    pub fabrics: Vec<FabricStandin>,
    /// All entries, including those that have been stopped.
    pub entries: Vec<TestEntry>,
    /// All endpoints, including those whose agent has been stopped.
    pub endpoints: Vec<TestEndpoint>,
    /// The store that holds the catalogue.
    pub store: StoreStandin,
    /// Last catalogue that was written to the store.
    pub catalogue: CatalogueSnapshot,
    /// Certificate of the agents, which callers trust.
    pub certificate: TestCertificate,
    layout: TestbedLayout,
}

impl Testbed {
    /// Starts the store, entries, agents, upstreams and fabrics, and waits until the catalogue is in force on all
    /// nodes. It does not wait for the routes; see [`Testbed::wait_all_ready`].
    ///
    /// `seed` seeds the random choices of the fabrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot start or if the catalogue is not in force within 15 seconds.
    pub fn start(plan: DeploymentPlan, policy: DispatchPolicy, seed: u64) -> Result<Self> {
        let layout = TestbedLayout::new(plan.clone(), policy)?;
        let store = StoreStandin::start(layout.store_address().into())?;
        let planned = plan.catalogue(|index| layout.service_address(index));
        let catalogue = write_catalogue(&store.url(), planned.services)?;
        let mut testbed = Self {
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
        for _ in 0..testbed.plan.entries {
            testbed.add_entry()?;
        }
        testbed.add_endpoints()?;
        testbed.add_fabrics(seed)?;
        testbed.wait_in_force()?;
        Ok(testbed)
    }

    /// Returns the fabric address to which callers of a service connect, or `None` if the plan has no such service.
    pub fn service_address(&self, service: &str) -> Option<SocketAddrV4> {
        let index = self.plan.service.keys().position(|name| name == service)?;
        Some(self.layout.service_address(index))
    }

    /// Changes the catalogue in the store, as an operator does, and waits until it is in force on all live nodes.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not accept the change or if it is not in force within 15 seconds.
    pub fn edit_catalogue(&mut self, edit: impl FnOnce(&mut CatalogueSnapshot)) -> Result<()> {
        let mut edited = self.catalogue.clone();
        edit(&mut edited);
        self.catalogue = write_catalogue(&self.store.url(), edited.services)?;
        self.wait_in_force()
    }

    /// Waits until the last written catalogue is in force on all nodes that have not been stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than 15 seconds.
    pub fn wait_in_force(&self) -> Result<()> {
        let revision = self.catalogue.revision;
        let in_force = || self.revisions().iter().all(|&current| current >= revision);
        let waited = self.wait_until("the catalogue is in force on all nodes", in_force);
        waited.with_context(|| {
            format!(
                "revision {revision}; in force on the nodes: {:?}",
                self.revisions()
            )
        })
    }

    /// Returns the catalogue revision of each live entry, followed by that of each live agent.
    fn revisions(&self) -> Vec<RevisionNumber> {
        let entries = self.entries.iter().filter_map(|entry| entry.entry.as_ref());
        let agents = self
            .endpoints
            .iter()
            .filter_map(|endpoint| endpoint.agent.as_ref());
        let entries = entries.map(|entry| entry.state().catalogue.load().revision);
        let agents = agents.map(|agent| agent.state().view.load().revision);
        entries.chain(agents).collect()
    }

    /// Starts to drain an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if its agent has been stopped.
    pub fn drain_endpoint(&self, index: usize) -> Result<()> {
        let agent = self.endpoints[index].agent.as_ref();
        agent.context("the agent has been stopped")?.drain();
        Ok(())
    }

    /// Returns how many runs of requests, over all upstreams, repeated an earlier run of the same request.
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

    /// Starts one more entry and returns its position in `entries`.
    ///
    /// The fabric sends no packets to it before [`Testbed::publish_entries`].
    ///
    /// # Errors
    ///
    /// Returns an error if the entry cannot start.
    pub fn add_entry(&mut self) -> Result<usize> {
        let index = self.entries.len();
        // CAST: Tests start at most a few dozen entries.
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
    /// Returns an error if the upstream or the agent cannot start.
    pub fn add_endpoint(&mut self, service: &str, slots: u16, zone: usize) -> Result<usize> {
        let index = self.endpoints.len();
        // CAST: Tests start at most a few dozen endpoints.
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

    /// Makes the fabric of each service spread its packets over the live entries.
    pub fn publish_entries(&self) {
        for (service, fabric) in self.fabrics.iter().enumerate() {
            let entries = self.listener_addresses(service);
            fabric.update_rules(|rules| rules.entries = entries);
        }
    }

    /// Replaces an entry as an operator does: starts a new entry, waits until it is ready, points the fabric to it and
    /// stops the old entry. Returns the position of the new entry in `entries`.
    ///
    /// # Errors
    ///
    /// Returns an error if the new entry cannot start or is not ready within 15 seconds, or if stopping the old one
    /// fails.
    pub fn replace_entry(&mut self, index: usize) -> Result<usize> {
        let replacement = self.add_entry()?;
        self.wait_until("the new entry is ready", || {
            self.routes_to_all_endpoints(&self.entries[replacement])
        })?;
        let old = self.entries[index].entry.take();
        self.publish_entries();
        if let Some(old) = old {
            old.stop()?;
        }
        Ok(replacement)
    }

    /// Waits until every live entry routes to all endpoints whose agent runs and does not drain.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than 15 seconds.
    pub fn wait_all_ready(&self) -> Result<()> {
        self.wait_until("all nodes are ready", || {
            self.live_entries()
                .all(|entry| self.routes_to_all_endpoints(entry))
        })
    }

    fn routes_to_all_endpoints(&self, entry: &TestEntry) -> bool {
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

    /// Waits until `condition` holds; `what` states the condition for the error message.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold within 15 seconds.
    pub fn wait_until(&self, what: &str, condition: impl Fn() -> bool) -> Result<()> {
        let deadline = Instant::now() + READY_LIMIT;
        while Instant::now() < deadline {
            if condition() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        bail!(
            "timed out after {} s waiting until {what}",
            READY_LIMIT.as_secs()
        )
    }
}

impl TestEndpoint {
    /// Returns whether the agent has been started and not yet stopped, and does not drain.
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
                // Errors are ignored because the test has ended.
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
