//! A deployment whose entries and agents are processes; everything else is threads of the runner.

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

/// How long nodes may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Pause between two looks at what is to become true.
const POLL: Duration = Duration::from_millis(50);

/// An endpoint: the upstream and its agent.
pub struct BedEndpoint {
    /// The upstream.
    pub upstream: UpstreamStandin,
    /// The agent.
    pub agent: NodeProcess,
    /// Its settings.
    pub settings: AgentSettings,
    /// Whether the agent has been told to leave or was killed or paused.
    pub absent: bool,
}

/// An entry.
pub struct BedEntry {
    /// The process.
    pub process: NodeProcess,
    /// Its settings.
    pub settings: EntrySettings,
    /// Whether the fabric sends it packets.
    pub in_fabric: bool,
    /// Whether it has been told to leave or was killed or paused.
    pub absent: bool,
}

/// What is started at first.
#[derive(Clone, Debug)]
pub struct BedPlan {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Entries.
    pub entries: EntriesStep,
    /// Services of the start.
    pub services: Vec<ServiceStep>,
    /// Services that later steps add, whose addresses entries listen on from the start.
    pub later: Vec<AddServiceStep>,
    /// Rules of the fabric.
    pub fabric: FabricRules,
    /// Seed of the fabric.
    pub seed: u64,
}

/// A running deployment.
pub struct ScenarioBed {
    /// Entries by position.
    pub entries: Vec<BedEntry>,
    /// Endpoints of each service by position.
    pub endpoints: BTreeMap<String, Vec<BedEndpoint>>,
    /// Endpoints that were replaced.
    pub retired: Vec<(String, BedEndpoint)>,
    /// Entries that were replaced.
    pub retired_entries: Vec<BedEntry>,
    /// The fabric in front of each address.
    pub fabrics: Vec<FabricStandin>,
    /// The platform's store.
    pub store: StoreStandin,
    /// Changes the catalogue and asks nodes.
    pub operator: ScenarioOperator,
    /// Opens sessions.
    pub caller: CallerStandin,
    /// Service and position in it of each address.
    pub addresses: Vec<(String, usize)>,
    runtime: Handle,
    layout: TestbedLayout,
    slots: HashMap<String, u16>,
    linger: Duration,
    next_entry: u16,
    next_agent: u16,
}

impl ScenarioBed {
    /// Starts everything and waits until each service answers through each entry.
    ///
    /// # Errors
    ///
    /// Something cannot be started or is not ready within 20 seconds.
    pub fn start(plan: &BedPlan, runtime: Handle) -> Result<Self> {
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
        let mut bed = Self {
            entries: Vec::new(),
            endpoints: BTreeMap::new(),
            retired: Vec::new(),
            retired_entries: Vec::new(),
            fabrics: Vec::new(),
            operator: ScenarioOperator::new(layout.store_address()),
            caller,
            store,
            addresses: addresses_of(plan),
            runtime,
            layout,
            slots: HashMap::new(),
            linger: plan.entries.linger,
            next_entry: 0,
            next_agent: 0,
        };
        bed.write_catalogue(plan)?;
        for position in 0..usize::from(plan.entries.count) {
            let entry = bed.start_entry(position)?;
            bed.entries.push(entry);
        }
        for service in &plan.services {
            bed.start_endpoints(&service.name, service.endpoints, service.slots)?;
        }
        for position in 0..bed.addresses.len() {
            let address = bed.layout.service_address(position);
            // CAST: A scenario has at most ten addresses.
            let fabric =
                FabricStandin::start(address, plan.fabric.clone(), plan.seed + position as u64)?;
            bed.fabrics.push(fabric);
        }
        bed.publish_entries();
        bed.wait_ready()?;
        Ok(bed)
    }

    fn write_catalogue(&self, plan: &BedPlan) -> Result<()> {
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
            .change(move |snapshot| snapshot.services.extend(services))?;
        match outcome {
            super::operator::ChangeOutcome::Accepted(_) => Ok(()),
            other => bail!("the first catalogue was not accepted: {other:?}"),
        }
    }

    /// Returns the address at the fabric that a service had when it was defined.
    pub fn address_of(&self, service: &str, index: usize) -> Option<SocketAddrV4> {
        let wanted = (service.to_string(), index);
        let position = self.addresses.iter().position(|known| *known == wanted)?;
        Some(self.layout.service_address(position))
    }

    fn seeds(&self) -> Vec<SocketAddrV4> {
        let live = self.entries.iter().filter(|entry| !entry.absent);
        let seeds = live.map(|entry| entry.settings.node.control);
        seeds.take(3).collect()
    }

    fn start_entry(&mut self, position: usize) -> Result<BedEntry> {
        let number = self.next_entry;
        self.next_entry += 1;
        let seeds = self.seeds();
        let count = self.addresses.len();
        let mut settings = self.layout.entry_settings(number, position, count, seeds);
        settings.entry.linger_s = u16::try_from(self.linger.as_secs())?;
        let name = format!("entry-{number}");
        let process =
            NodeProcess::start(ProcessKind::Entry, &self.layout.folder, &name, &settings)?;
        Ok(BedEntry {
            process,
            settings,
            in_fabric: true,
            absent: false,
        })
    }

    /// Starts the endpoints of a service.
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

    fn endpoints_of(&mut self, service: &str) -> &mut Vec<BedEndpoint> {
        self.endpoints.entry(service.into()).or_default()
    }

    fn start_endpoint(&mut self, service: &str, position: usize) -> Result<BedEndpoint> {
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
        Ok(BedEndpoint {
            upstream,
            agent,
            settings,
            absent: false,
        })
    }

    /// Tells the fabric which entries receive packets.
    pub fn publish_entries(&self) {
        for (position, fabric) in self.fabrics.iter().enumerate() {
            let live = self.entries.iter().filter(|entry| entry.in_fabric);
            let entries = live
                .map(|entry| entry.settings.entry.listen[position].bind)
                .collect();
            fabric.update_rules(|rules| rules.entries = entries);
        }
    }

    /// Waits until each service reaches each of its endpoints through each entry.
    ///
    /// # Errors
    ///
    /// Names what is not reached after 20 seconds.
    pub fn wait_ready(&mut self) -> Result<()> {
        for position in 0..self.entries.len() {
            if !self.entries[position].absent {
                self.wait_entry(&self.entries[position].settings.clone())?;
            }
        }
        Ok(())
    }

    fn wait_entry(&mut self, settings: &EntrySettings) -> Result<()> {
        let services: Vec<String> = self.endpoints.keys().cloned().collect();
        for service in services {
            self.wait_service(settings, &service)?;
        }
        Ok(())
    }

    /// Sends requests straight to one entry until each endpoint of the service has run one of them.
    fn wait_service(&mut self, settings: &EntrySettings, service: &str) -> Result<()> {
        let wanted = (service.to_string(), 0);
        let position = self.addresses.iter().position(|known| *known == wanted);
        let position = position.context("the service has an address")?;
        let address = settings.entry.listen[position].bind;
        let end = Instant::now() + READY_LIMIT;
        let mut ids: HashSet<u64> = HashSet::new();
        loop {
            let missing = self.count_missing(service, &ids);
            if missing == 0 {
                return Ok(());
            }
            if Instant::now() >= end {
                bail!(
                    "after {} s, {missing} endpoints of {service} are not reached through the entry {}: {}",
                    READY_LIMIT.as_secs(),
                    settings.node.control,
                    self.explain()
                );
            }
            match self.probe(service, address) {
                Some(id) => {
                    ids.insert(id);
                }
                None => std::thread::sleep(POLL),
            }
        }
    }

    fn count_missing(&self, service: &str, ids: &HashSet<u64>) -> usize {
        let endpoints = self.endpoints.get(service);
        let present = endpoints.into_iter().flatten();
        let missing = present
            .filter(|endpoint| !endpoint.absent)
            .filter(|endpoint| {
                let record = endpoint.upstream.record();
                !record.runs.keys().any(|id| ids.contains(id))
            });
        missing.count()
    }

    /// Returns the id of a request that was answered.
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

    /// Returns the ends of the logs of processes that have ended by themselves and not in good order.
    pub fn explain(&mut self) -> String {
        let entries = self.entries.iter_mut().map(|entry| &mut entry.process);
        let endpoints = self.endpoints.values_mut().flatten();
        let agents = endpoints.map(|endpoint| &mut endpoint.agent);
        let mut text = String::new();
        for process in entries.chain(agents) {
            let failed = |status: &i32| (1..=SIGNAL_BASE).contains(status);
            if let Some(status) = process.exit_status().filter(failed) {
                let log = process.log_end();
                text.push_str(&format!("a process ended with status {status}: {log}\n"));
            }
        }
        text
    }

    /// Returns a process by name.
    ///
    /// # Errors
    ///
    /// There is none with this name.
    pub fn process(&mut self, name: &NodeName) -> Result<&mut NodeProcess> {
        match name {
            NodeName::Entry(index) => {
                let entry = self.entries.get_mut(*index).context("no such entry")?;
                Ok(&mut entry.process)
            }
            NodeName::Agent(endpoint) => Ok(&mut self.endpoint(endpoint)?.agent),
        }
    }

    /// Returns an endpoint by name.
    ///
    /// # Errors
    ///
    /// There is none with this name.
    pub fn endpoint(&mut self, name: &EndpointName) -> Result<&mut BedEndpoint> {
        let endpoints = self.endpoints.get_mut(&name.service);
        let endpoint = endpoints.and_then(|list| list.get_mut(name.index));
        endpoint.with_context(|| format!("no endpoint {name}"))
    }

    /// Notes that a node has been told to leave or is there again; an entry that leaves is taken out of the fabric
    /// if `fabric` says so.
    pub fn set_absent(&mut self, name: &NodeName, absent: bool, fabric: bool) -> Result<()> {
        match name {
            NodeName::Entry(index) => {
                let entry = self.entries.get_mut(*index).context("no such entry")?;
                entry.absent = absent;
                if fabric {
                    entry.in_fabric = !absent;
                }
            }
            NodeName::Agent(endpoint) => self.endpoint(endpoint)?.absent = absent,
        }
        Ok(())
    }

    /// Starts new instances under these names, waits until they are ready, and returns the old ones' signals to be
    /// sent: the old instances are the last of `retired` and `retired_entries`.
    ///
    /// # Errors
    ///
    /// A new instance cannot be started or is not ready within 20 seconds.
    pub fn replace(&mut self, names: &[NodeName]) -> Result<()> {
        for name in names {
            match name {
                NodeName::Entry(index) => {
                    let fresh = self.start_entry(*index)?;
                    let old = std::mem::replace(&mut self.entries[*index], fresh);
                    self.entries[*index].in_fabric = false;
                    self.retired_entries.push(old);
                }
                NodeName::Agent(name) => {
                    let fresh = self.start_endpoint(&name.service, name.index)?;
                    let old = std::mem::replace(self.endpoint(name)?, fresh);
                    self.retired.push((name.service.clone(), old));
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

    /// Returns the records of a service's upstreams, with those that were replaced.
    pub fn records(&self, service: Option<&str>) -> Vec<UpstreamRecord> {
        let wanted = |name: &str| service.is_none_or(|service| service == name);
        let present = self.endpoints.iter().filter(|(name, _)| wanted(name));
        let present = present.flat_map(|(_, list)| list);
        let retired = self.retired.iter().filter(|(name, _)| wanted(name));
        present
            .chain(retired.map(|(_, endpoint)| endpoint))
            .map(|endpoint| endpoint.upstream.record())
            .collect()
    }

    /// Returns the UDP and TCP addresses on which nodes and fabric listen.
    pub fn sockets(&self) -> (Vec<SocketAddrV4>, Vec<SocketAddrV4>) {
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

    /// Returns the admin addresses of nodes that are there: entries, then agents.
    pub fn admin_addresses(&self) -> Vec<SocketAddrV4> {
        let entries = self.entries.iter().filter(|entry| !entry.absent);
        let endpoints = self.endpoints.values().flatten();
        let agents = endpoints.filter(|endpoint| !endpoint.absent);
        entries
            .map(|entry| entry.settings.node.admin)
            .chain(agents.map(|endpoint| endpoint.settings.node.admin))
            .collect()
    }
}

fn addresses_of(plan: &BedPlan) -> Vec<(String, usize)> {
    let mut addresses = Vec::new();
    for service in &plan.services {
        addresses.extend((0..service.addresses).map(|index| (service.name.clone(), index)));
    }
    addresses.extend(plan.later.iter().map(|service| (service.name.clone(), 0)));
    addresses
}
