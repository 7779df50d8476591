//! The deployment that a scenario runs against; longer than 500 lines so that its starts and stops are in one file.
//!
//! Entries and agents are separate processes; the upstreams, the store, the fabric and the callers are threads of the
//! runner.

use super::operator::ScenarioOperator;
use super::process::{NodeProcess, ProcessKind, SIGNAL_BASE};
use super::steps::{AddServiceStep, EntriesStep, ServiceStep};
use super::values::{EndpointName, NodeName};
use crate::caller::{CallOutcome, CallRequest, CallerStandin};
use crate::deployment::DeploymentPlan;
use crate::fabric::{FabricRules, FabricStandin};
use crate::layout::{AgentParameters, TestbedLayout};
use crate::store::StoreStandin;
use crate::upstream::{UpstreamRecord, UpstreamStandin};
use crate::workload::next_id;
use anyhow::{bail, Context, Result};
use quetzalhill::settings::EntrySettings;
use quetzalhill_agent::settings::AgentSettings;
use quetzalhill_core::catalogue::{LimitSet, ServiceEntry};
use quetzalhill_core::dispatch::DispatchPolicy;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;

/// Longest wait until every endpoint of a service is reached through one entry.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause after a probe that got no complete answer.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An endpoint: the upstream, which runs in this process, and the process of its agent.
pub struct TestbedEndpoint {
    /// Stand-in that serves the requests and counts them.
    pub upstream: UpstreamStandin,
    /// Process of the agent.
    pub agent: NodeProcess,
    /// Settings that the agent was started with; its addresses are read from here.
    pub settings: AgentSettings,
    /// Whether a step has killed, paused or begun to stop the agent. Readiness checks and the measure `revision` skip it
    /// then; requests at its upstream still count.
    pub out_of_service: bool,
}

/// The process of an entry, and whether it takes part in the deployment.
pub struct TestbedEntry {
    /// Process of the entry.
    pub process: NodeProcess,
    /// Settings that the entry was started with; its addresses are read from here.
    pub settings: EntrySettings,
    /// Whether the fabric sends packets of callers to this entry.
    pub in_fabric: bool,
    /// Whether a step has killed, paused or begun to stop the entry. Readiness checks and the measures `revision` and `ready`
    /// skip it then.
    pub out_of_service: bool,
}

/// What the steps before `start` define, and the services that later steps add.
#[derive(Clone, Debug)]
pub struct TestbedPlan {
    /// Names of the zones, over which entries and endpoints are spread in turn.
    pub zones: Vec<String>,
    /// Number of entries and how long each forwards after SIGTERM.
    pub entries: EntriesStep,
    /// Services of the first catalogue, whose endpoints `start` starts.
    pub services: Vec<ServiceStep>,
    /// Services that later steps add. Entries listen on their addresses from the start.
    pub added_services: Vec<AddServiceStep>,
    /// Loss, duplication and delays of every fabric at the start.
    pub fabric: FabricRules,
    /// Seed of the random choices of the fabrics, the loads and the garbage.
    pub seed: u64,
}

/// The processes and stand-ins of one scenario. Dropping it ends all of them.
pub struct ScenarioTestbed {
    /// Entries by their position N in `entry:N`.
    pub entries: Vec<TestbedEntry>,
    /// Endpoints of each service by their position N in `agent:SERVICE:N`.
    pub endpoints: BTreeMap<String, Vec<TestbedEndpoint>>,
    /// Endpoints that `replace` has taken out of use, with their service; their upstreams still count in measures.
    pub replaced_endpoints: Vec<(String, TestbedEndpoint)>,
    /// Entries that `replace` has taken out of use.
    pub replaced_entries: Vec<TestbedEntry>,
    /// The fabric in front of each address, in the order of `addresses`.
    pub fabrics: Vec<FabricStandin>,
    /// Stand-in of the platform's store.
    pub store: StoreStandin,
    /// Commits catalogue changes to the store and reads the status of nodes.
    pub operator: ScenarioOperator,
    /// Opens the sessions of loads and of readiness probes.
    pub caller: CallerStandin,
    /// Service of each address and its position among the addresses of that service.
    pub addresses: Vec<(String, usize)>,
    runtime: Handle,
    layout: TestbedLayout,
    slots: HashMap<String, u16>,
    linger: Duration,
    next_entry: u16,
    next_agent: u16,
}

impl ScenarioTestbed {
    /// Starts the deployment and waits until every endpoint of every service answers through every entry.
    ///
    /// # Errors
    ///
    /// A stand-in or a process cannot be started, the first catalogue is not accepted, or an endpoint is not reached
    /// within 20 seconds.
    pub fn start(plan: &TestbedPlan, runtime: Handle) -> Result<Self> {
        let deployment = DeploymentPlan {
            name: "scenario".into(),
            zones: plan.zones.clone(),
            entries: plan.entries.count,
            zone_delay_us: 0,
            caller_delay_us: 0,
            service: BTreeMap::new(),
        };
        let layout = TestbedLayout::new(deployment, DispatchPolicy::Pooled)?;
        let store = StoreStandin::start(layout.store_address().into())?;
        let caller = {
            let _context = runtime.enter();
            CallerStandin::new(&layout.certificate.root)?
        };
        let mut testbed = Self {
            entries: Vec::new(),
            endpoints: BTreeMap::new(),
            replaced_endpoints: Vec::new(),
            replaced_entries: Vec::new(),
            fabrics: Vec::new(),
            operator: ScenarioOperator::new(layout.store_address()),
            caller,
            store,
            addresses: service_addresses(plan),
            runtime,
            layout,
            slots: HashMap::new(),
            linger: plan.entries.linger,
            next_entry: 0,
            next_agent: 0,
        };
        testbed.write_catalogue(plan)?;
        for position in 0..usize::from(plan.entries.count) {
            let entry = testbed.start_entry(position)?;
            testbed.entries.push(entry);
        }
        for service in &plan.services {
            testbed.start_endpoints(&service.name, service.endpoints, service.slots)?;
        }
        for position in 0..testbed.addresses.len() {
            let address = testbed.layout.service_address(position);
            // CAST: A scenario has at most ten addresses.
            let fabric =
                FabricStandin::start(address, plan.fabric.clone(), plan.seed + position as u64)?;
            testbed.fabrics.push(fabric);
        }
        testbed.publish_entries();
        testbed.wait_ready()?;
        Ok(testbed)
    }

    fn write_catalogue(&self, plan: &TestbedPlan) -> Result<()> {
        let mut services = Vec::new();
        for service in &plan.services {
            let addresses = (0..service.addresses)
                .filter_map(|index| self.address_of(&service.name, index))
                .collect();
            let mut limits = LimitSet::default();
            for limit in &service.limit {
                limit.set(&mut limits).map_err(anyhow::Error::msg)?;
            }
            let entry = ServiceEntry {
                number: 0,
                owner: service.owner.clone(),
                class: service.class,
                addresses,
                path_classes: service.path_class.iter().cloned().collect(),
                limits,
            };
            services.push((service.name.clone(), entry));
        }
        let outcome = self
            .operator
            .apply(move |snapshot| snapshot.services.extend(services))?;
        match outcome {
            super::operator::ChangeOutcome::Accepted(_) => Ok(()),
            other => bail!("the first catalogue was not accepted: {other:?}"),
        }
    }

    /// Returns the fabric address that a service was defined with. A later `move-address` does not change it.
    pub fn address_of(&self, service: &str, index: usize) -> Option<SocketAddrV4> {
        let key = (service.to_string(), index);
        let position = self.addresses.iter().position(|known| *known == key)?;
        Some(self.layout.service_address(position))
    }

    fn seeds(&self) -> Vec<SocketAddrV4> {
        let live = self.entries.iter().filter(|entry| !entry.out_of_service);
        let seeds = live.map(|entry| entry.settings.node.control);
        seeds.take(3).collect()
    }

    fn start_entry(&mut self, position: usize) -> Result<TestbedEntry> {
        let number = self.next_entry;
        self.next_entry += 1;
        let seeds = self.seeds();
        let count = self.addresses.len();
        let mut settings = self.layout.entry_settings(number, position, count, seeds);
        settings.entry.linger_s = u16::try_from(self.linger.as_secs())?;
        let name = format!("entry-{number}");
        let process =
            NodeProcess::start(ProcessKind::Entry, &self.layout.folder, &name, &settings)?;
        Ok(TestbedEntry {
            process,
            settings,
            in_fabric: true,
            out_of_service: false,
        })
    }

    /// Starts the upstreams and agents of a service that has none yet.
    ///
    /// # Errors
    ///
    /// An upstream or an agent cannot be started.
    pub fn start_endpoints(&mut self, service: &str, count: u16, slots: u16) -> Result<()> {
        self.slots.insert(service.into(), slots);
        self.endpoints.insert(service.into(), Vec::new());
        for position in 0..usize::from(count) {
            let endpoint = self.start_endpoint(service, position)?;
            self.endpoints_of(service).push(endpoint);
        }
        Ok(())
    }

    fn endpoints_of(&mut self, service: &str) -> &mut Vec<TestbedEndpoint> {
        self.endpoints.entry(service.into()).or_default()
    }

    fn start_endpoint(&mut self, service: &str, position: usize) -> Result<TestbedEndpoint> {
        let number = self.next_agent;
        self.next_agent += 1;
        let upstream = UpstreamStandin::start(self.layout.upstream_address(number), service)?;
        let settings = self.layout.agent_settings(&AgentParameters {
            number,
            service: service.into(),
            slots: self.slots.get(service).copied().unwrap_or(1),
            zone: position,
            entries: self.seeds(),
        });
        let name = format!("agent-{number}");
        let agent = NodeProcess::start(ProcessKind::Agent, &self.layout.folder, &name, &settings)?;
        Ok(TestbedEndpoint {
            upstream,
            agent,
            settings,
            out_of_service: false,
        })
    }

    /// Sets the entries to which the fabrics send packets of callers.
    pub fn publish_entries(&self) {
        for (position, fabric) in self.fabrics.iter().enumerate() {
            let live = self.entries.iter().filter(|entry| entry.in_fabric);
            let entries = live
                .map(|entry| entry.settings.entry.listen[position].bind)
                .collect();
            fabric.update_rules(|rules| rules.entries = entries);
        }
    }

    /// Waits until requests through each entry have reached each endpoint of each service; skips the nodes that are
    /// out of service.
    ///
    /// # Errors
    ///
    /// Some endpoints of a service are not reached within 20 seconds; names the service and the entry.
    pub fn wait_ready(&mut self) -> Result<()> {
        for position in 0..self.entries.len() {
            if !self.entries[position].out_of_service {
                self.wait_entry_ready(&self.entries[position].settings.clone())?;
            }
        }
        Ok(())
    }

    fn wait_entry_ready(&mut self, settings: &EntrySettings) -> Result<()> {
        let services: Vec<String> = self.endpoints.keys().cloned().collect();
        for service in services {
            self.wait_service_ready(settings, &service)?;
        }
        Ok(())
    }

    /// Sends requests to one entry, past the fabric, until each endpoint of the service has run one of them.
    fn wait_service_ready(&mut self, settings: &EntrySettings, service: &str) -> Result<()> {
        let key = (service.to_string(), 0);
        let position = self.addresses.iter().position(|known| *known == key);
        let position = position.context("the service has no address")?;
        let address = settings.entry.listen[position].bind;
        let deadline = Instant::now() + READY_TIMEOUT;
        let mut ids: HashSet<u64> = HashSet::new();
        loop {
            let unreached = self.count_unreached(service, &ids);
            if unreached == 0 {
                return Ok(());
            }
            if Instant::now() >= deadline {
                bail!(
                    "after {} s, {unreached} endpoints of {service} are not reached through the entry {}: {}",
                    READY_TIMEOUT.as_secs(),
                    settings.node.control,
                    self.crash_logs()
                );
            }
            match self.probe(service, address) {
                Some(id) => {
                    ids.insert(id);
                }
                None => std::thread::sleep(POLL_INTERVAL),
            }
        }
    }

    fn count_unreached(&self, service: &str, ids: &HashSet<u64>) -> usize {
        let endpoints = self.endpoints.get(service);
        let current = endpoints.into_iter().flatten();
        let unreached = current
            .filter(|endpoint| !endpoint.out_of_service)
            .filter(|endpoint| {
                let record = endpoint.upstream.record();
                !record.runs.keys().any(|id| ids.contains(id))
            });
        unreached.count()
    }

    /// Sends one request and returns its id if the complete answer arrived.
    fn probe(&self, service: &str, address: SocketAddrV4) -> Option<u64> {
        let caller = self.caller.clone();
        let request = CallRequest {
            id: next_id(),
            service: service.into(),
            ms: 1,
            bytes: 10,
            timeout_ms: Some(1_000),
            ..CallRequest::default()
        };
        let call = async move {
            let session = caller.connect(address).await.ok()?;
            let outcome = session.call(&request).await;
            session.close();
            (outcome == CallOutcome::Whole).then_some(u64::from(request.id))
        };
        let limited = async { tokio::time::timeout(Duration::from_secs(2), call).await };
        self.runtime.block_on(limited).ok().flatten()
    }

    /// Returns the last log lines of each process that ended by itself with an error. Processes that a signal ended are
    /// left out, because steps kill processes on purpose.
    pub fn crash_logs(&mut self) -> String {
        let entries = self.entries.iter_mut().map(|entry| &mut entry.process);
        let endpoints = self.endpoints.values_mut().flatten();
        let agents = endpoints.map(|endpoint| &mut endpoint.agent);
        let mut text = String::new();
        for process in entries.chain(agents) {
            let failed = |status: &i32| (1..=SIGNAL_BASE).contains(status);
            if let Some(status) = process.exit_status().filter(failed) {
                let log = process.log_tail();
                text.push_str(&format!(
                    "a process ended with status {status}; end of its log: {log}\n"
                ));
            }
        }
        text
    }

    /// Returns the process that now has this name; `replace` passes the name on to the new process.
    ///
    /// # Errors
    ///
    /// No entry or endpoint has this name.
    pub fn process(&mut self, name: &NodeName) -> Result<&mut NodeProcess> {
        match name {
            NodeName::Entry(index) => {
                let entry = self
                    .entries
                    .get_mut(*index)
                    .context("the scenario has no entry at this position")?;
                Ok(&mut entry.process)
            }
            NodeName::Agent(endpoint) => Ok(&mut self.endpoint(endpoint)?.agent),
        }
    }

    /// Returns the endpoint that now has this name; `replace` passes the name on to the new endpoint.
    ///
    /// # Errors
    ///
    /// The service has no endpoint at this position.
    pub fn endpoint(&mut self, name: &EndpointName) -> Result<&mut TestbedEndpoint> {
        let endpoints = self.endpoints.get_mut(&name.service);
        let endpoint = endpoints.and_then(|list| list.get_mut(name.index));
        endpoint.with_context(|| format!("no endpoint {name}"))
    }

    /// Records that a node is out of service or back in service. With `update_fabric`, an entry is also removed from
    /// the fabrics or added to them when [`Self::publish_entries`] is called next.
    ///
    /// # Errors
    ///
    /// No entry or endpoint has this name.
    pub fn set_out_of_service(
        &mut self,
        name: &NodeName,
        out_of_service: bool,
        update_fabric: bool,
    ) -> Result<()> {
        match name {
            NodeName::Entry(index) => {
                let entry = self
                    .entries
                    .get_mut(*index)
                    .context("the scenario has no entry at this position")?;
                entry.out_of_service = out_of_service;
                if update_fabric {
                    entry.in_fabric = !out_of_service;
                }
            }
            NodeName::Agent(endpoint) => self.endpoint(endpoint)?.out_of_service = out_of_service,
        }
        Ok(())
    }

    /// Starts new instances under these names, waits until they are ready and moves the fabrics to the new entries. The
    /// old instances still run: they are the last elements of `replaced_endpoints` and `replaced_entries`, and the
    /// caller has to stop them.
    ///
    /// # Errors
    ///
    /// A new instance cannot be started or is not ready within 20 seconds.
    pub fn replace(&mut self, names: &[NodeName]) -> Result<()> {
        for name in names {
            match name {
                NodeName::Entry(index) => {
                    let replacement = self.start_entry(*index)?;
                    let old = std::mem::replace(&mut self.entries[*index], replacement);
                    self.entries[*index].in_fabric = false;
                    self.replaced_entries.push(old);
                }
                NodeName::Agent(name) => {
                    let replacement = self.start_endpoint(&name.service, name.index)?;
                    let old = std::mem::replace(self.endpoint(name)?, replacement);
                    self.replaced_endpoints.push((name.service.clone(), old));
                }
            }
        }
        self.wait_ready()?;
        for name in names {
            if let NodeName::Entry(index) = name {
                self.entries[*index].in_fabric = true;
            }
        }
        self.publish_entries();
        Ok(())
    }

    /// Returns the counters of the upstreams of one service, or of all services, including replaced upstreams.
    pub fn records(&self, service: Option<&str>) -> Vec<UpstreamRecord> {
        let matches = |name: &str| service.is_none_or(|service| service == name);
        let current = self.endpoints.iter().filter(|(name, _)| matches(name));
        let current = current.flat_map(|(_, list)| list);
        let replaced_endpoints = self
            .replaced_endpoints
            .iter()
            .filter(|(name, _)| matches(name));
        current
            .chain(replaced_endpoints.map(|(_, endpoint)| endpoint))
            .map(|endpoint| endpoint.upstream.record())
            .collect()
    }

    /// Returns the UDP addresses and the TCP addresses on which nodes and fabrics listen.
    pub fn listen_addresses(&self) -> (Vec<SocketAddrV4>, Vec<SocketAddrV4>) {
        let mut datagrams = Vec::new();
        let mut streams = Vec::new();
        for entry in &self.entries {
            let settings = &entry.settings;
            datagrams.extend(settings.entry.listen.iter().map(|listen| listen.bind));
            datagrams.extend([settings.entry.data, settings.node.control]);
            streams.extend([settings.node.control, settings.node.admin]);
        }
        for endpoint in self.endpoints.values().flatten() {
            let settings = &endpoint.settings;
            let agent = &settings.agent;
            datagrams.extend([agent.packets, agent.peer, settings.node.control]);
            streams.extend([agent.peer, settings.node.admin]);
        }
        datagrams.extend(self.fabrics.iter().map(FabricStandin::address));
        (datagrams, streams)
    }

    /// Returns the admin addresses of the nodes in service: entries, then agents.
    pub fn admin_addresses(&self) -> Vec<SocketAddrV4> {
        let entries = self.entries.iter().filter(|entry| !entry.out_of_service);
        let endpoints = self.endpoints.values().flatten();
        let agents = endpoints.filter(|endpoint| !endpoint.out_of_service);
        entries
            .map(|entry| entry.settings.node.admin)
            .chain(agents.map(|endpoint| endpoint.settings.node.admin))
            .collect()
    }
}

fn service_addresses(plan: &TestbedPlan) -> Vec<(String, usize)> {
    let mut addresses = Vec::new();
    for service in &plan.services {
        addresses.extend((0..service.addresses).map(|index| (service.name.clone(), index)));
    }
    addresses.extend(
        plan.added_services
            .iter()
            .map(|service| (service.name.clone(), 0)),
    );
    addresses
}
