//! Processes and stand-ins of one run, which has its own range of loopback addresses.

use crate::flows::caller::{CallerPace, FlowCaller};
use crate::flows::fabric::{FabricEntry, FlowFabric};
use crate::flows::ledger::{FlowLedger, SharedLedger};
use crate::flows::upstream::{FlowUpstream, UpstreamPlan, ANNOUNCE_MS};
use crate::link::LinkStandin;
use crate::scenario::process::{NodeProcess, ProcessKind};
use crate::store::{StoreApi, StoreStandin};
use anyhow::{anyhow, Context, Result};
use ntex::client::Client;
use ntex::SharedCfg;
use quetzalhill::relay::settings::{RelaySection as EntrySection, RelaySettings as EntrySettings};
use quetzalhill_agent::relay::settings::{
    RelaySection as AgentSection, RelaySettings as AgentSettings,
};
use quetzalhill_core::ids::ServiceName;
use quetzalhill_core::relay::routes::{RouteSet, RouteTarget};
use quetzalhill_core::relay::terms::FlowTerms;
use quetzalhill_node::relay::settings::{RelayNode, RelayStore};
use quetzalhill_node::settings::LogSettings;
use quetzalhill_platform::manifest::MANIFEST_KEY;
use quetzalhill_platform::operator::evacuation_key;
use quetzalhill_platform::standin::call;
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PACKET_PORT: u16 = 7_100;
const REPORT_PORT: u16 = 7_101;
const METRICS_PORT: u16 = 7_102;
const READY_PORT: u16 = 7_103;
const OUTBOUND_PORT: u16 = 7_104;
const ANNOUNCEMENT_PORT: u16 = 7_105;
const UPSTREAM_PORT: u16 = 7_106;
const STORE_PORT: u16 = 7_107;

/// Third byte of an address, which gives the kind of instance.
const ENTRY_NET: u8 = 1;
const AGENT_NET: u8 = 2;
const CALLER_NET: u8 = 3;
const LINK_NET: u8 = 4;
const STORE_NET: u8 = 5;

/// Services of a site; the initial routes lead to them in this order.
pub const SERVICES: [&str; 2] = ["feed", "batch"];

/// The upstream of one in this many agents belongs to the second service.
const BATCH_ONE_IN: usize = 3;

/// Availability zones of a site, of which the instances of each kind belong to one after the other.
pub const ZONES: [&str; 2] = ["zone-a", "zone-b"];

/// Requests that an upstream runs at the same time.
const UPSTREAM_SLOTS: u32 = 4;

/// Time that an upstream takes to run a request.
const REQUEST_TIME: Duration = Duration::from_millis(5);

/// One-way delay between a process and the store.
const STORE_DELAY: Duration = Duration::from_millis(1);

/// Idle timeout of flows in the published routes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Target latency in the published routes, the shortest of the first deployment.
const TARGET_LATENCY: Duration = Duration::from_millis(250);

/// Request timeout in the published routes: the longest time for which callers of the soak wait for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(8_000);

/// Numbers of instances of a site.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SiteSize {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents, each with its upstream.
    pub agents: usize,
    /// Number of callers.
    pub callers: usize,
}

/// A running site; the processes and stand-ins that it owns end when it is dropped.
pub struct SoakSite {
    /// Numbers of entries, agents and callers.
    pub size: SiteSize,
    /// State of all flows and requests, and the violations.
    pub ledger: SharedLedger,
    /// Processes of the entries, followed by those of the agents.
    pub processes: Vec<NodeProcess>,
    /// Links from each process to the store, in the order of `processes`.
    pub links: Vec<LinkStandin>,
    /// Upstreams in the order of their agents; `None` while an upstream is down.
    pub upstreams: Vec<Option<FlowUpstream>>,
    /// Store with the routes and the endpoint records.
    pub store: StoreStandin,
    /// HTTP client that all stand-ins use.
    pub client: Client,
    block: u8,
}

impl SoakSite {
    /// Starts a site on the addresses `127.BLOCK.0.0/16`, with files in `folder`. The stand-ins run on the ntex
    /// system of the calling thread.
    ///
    /// # Errors
    ///
    /// The HTTP client, the store, a link, a process or another stand-in could not be started.
    pub async fn start(
        block: u8,
        folder: &Path,
        size: SiteSize,
        seed: u64,
        pace: CallerPace,
    ) -> Result<Self> {
        let now = Instant::now();
        let ledger: SharedLedger = Rc::new(RefCell::new(FlowLedger::new(now)));
        let client = Client::builder().build(SharedCfg::default()).await;
        let client = client.map_err(|error| anyhow!("HTTP client: {error:?}"))?;
        let store_address = address(block, STORE_NET, 1, STORE_PORT);
        let store = StoreStandin::start_with(StoreApi::Polled, SocketAddr::V4(store_address))
            .with_context(|| format!("store {store_address}"))?;
        let mut site = Self {
            size,
            ledger,
            processes: Vec::new(),
            links: Vec::new(),
            upstreams: Vec::new(),
            store,
            client,
            block,
        };
        site.publish(initial_routes(), now);
        for index in 0..size.entries + size.agents {
            let link_address = address(block, LINK_NET, host_byte(index), STORE_PORT);
            site.links.push(LinkStandin::start(
                link_address,
                store_address,
                STORE_DELAY,
            )?);
            site.start_process(index, folder)?;
            site.record_start(index, now);
        }
        for index in 0..size.agents {
            site.upstreams.push(None);
            site.start_upstream(index, unix_millis())?;
        }
        site.start_callers(seed, pace)?;
        Ok(site)
    }

    fn start_process(&mut self, index: usize, folder: &Path) -> Result<()> {
        let process = match index.checked_sub(self.size.entries) {
            None => NodeProcess::start(
                ProcessKind::RelayEntry,
                folder,
                &format!("entry-{index}"),
                &self.entry_settings(index),
            ),
            Some(agent) => NodeProcess::start(
                ProcessKind::RelayAgent,
                folder,
                &format!("agent-{agent}"),
                &self.agent_settings(agent),
            ),
        };
        self.processes.push(process?);
        Ok(())
    }

    /// Restarts a process, whether it still runs or not.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn restart_process(&mut self, index: usize, now: Instant) -> Result<()> {
        self.processes[index].restart()?;
        self.record_start(index, now);
        Ok(())
    }

    fn record_start(&self, index: usize, now: Instant) {
        if index < self.size.entries {
            self.ledger.borrow_mut().record_entry_start(index, now);
        }
    }

    fn start_callers(&self, seed: u64, pace: CallerPace) -> Result<()> {
        let mut entries = Vec::new();
        for index in 0..self.size.entries {
            entries.push(FabricEntry {
                packet_address: address(self.block, ENTRY_NET, host_byte(index), PACKET_PORT),
                ready_address: address(self.block, ENTRY_NET, host_byte(index), READY_PORT),
            });
        }
        let fabric = FlowFabric::new(&entries, seed)?;
        for index in 0..entries.len() {
            ntex::rt::spawn(fabric.clone().probe(index, self.client.clone())).detach();
        }
        for index in 0..self.size.callers {
            let address = address(self.block, CALLER_NET, host_byte(index), PACKET_PORT);
            let seed = seed.wrapping_add(u64::from(host_byte(index)));
            let (fabric, ledger) = (fabric.clone(), self.ledger.clone());
            let caller = FlowCaller::new(address, fabric, ledger, seed, pace)?;
            ntex::rt::spawn(caller.run()).detach();
        }
        Ok(())
    }

    /// Starts the upstream of an agent with this incarnation number.
    ///
    /// # Errors
    ///
    /// An address of the upstream cannot be bound.
    pub fn start_upstream(&mut self, index: usize, incarnation: u64) -> Result<()> {
        let host = host_byte(index);
        let plan = UpstreamPlan {
            name: format!("upstream-{index}"),
            service: service_of(index),
            zone: zone_of(index),
            address: address(self.block, AGENT_NET, host, UPSTREAM_PORT),
            outbound: address(self.block, AGENT_NET, host, OUTBOUND_PORT),
            announcements: address(self.block, AGENT_NET, host, ANNOUNCEMENT_PORT),
            slots: UPSTREAM_SLOTS,
            work: REQUEST_TIME,
            incarnation,
        };
        let started = FlowUpstream::start(plan, self.ledger.clone(), self.client.clone());
        self.upstreams[index] = Some(started.with_context(|| format!("upstream {index}"))?);
        Ok(())
    }

    /// Writes routes into the store, as operators do, and records them in the ledger.
    pub fn publish(&mut self, routes: RouteSet, now: Instant) {
        self.store.put(MANIFEST_KEY, &call::manifest(&routes));
        self.ledger.borrow_mut().record_routes(routes, now);
    }

    /// Requests the evacuation of a zone or its end, as operators do, and records it in the ledger.
    pub fn set_evacuated(&mut self, zone: &str, evacuated: bool, now: Instant) {
        let key = evacuation_key(zone);
        match evacuated {
            true => self.store.put(&key, b"{}"),
            false => self.store.remove(&key),
        }
        let mut ledger = self.ledger.borrow_mut();
        ledger.record_evacuation(&zone.into(), evacuated, now);
    }

    /// Writes the routes and evacuations that operators wrote last once more, if the store has lost them.
    pub fn rewrite_operator_keys(&self) {
        let manifest = call::manifest(&self.ledger.borrow().routes());
        if self.store.value(MANIFEST_KEY).as_ref() != Some(&manifest) {
            self.store.put(MANIFEST_KEY, &manifest);
        }
        for zone in ZONES {
            let key = evacuation_key(zone);
            let is_listed = self.store.value(&key).is_some();
            match self.ledger.borrow().is_evacuated(zone) {
                true if !is_listed => self.store.put(&key, b"{}"),
                false if is_listed => self.store.remove(&key),
                _ => {}
            }
        }
    }

    fn node_settings(&self, name: String, index: usize, host: SocketAddrV4) -> RelayNode {
        RelayNode {
            name,
            zone: zone_of(index),
            metrics: SocketAddrV4::new(*host.ip(), METRICS_PORT),
        }
    }

    fn store_settings(&self, process: usize) -> RelayStore {
        RelayStore {
            address: address(self.block, LINK_NET, host_byte(process), STORE_PORT),
            poll_ms: 25_000,
        }
    }

    fn entry_settings(&self, index: usize) -> EntrySettings {
        let packets = address(self.block, ENTRY_NET, host_byte(index), PACKET_PORT);
        EntrySettings {
            node: self.node_settings(format!("entry-{index}"), index, packets),
            log: LogSettings::default(),
            store: self.store_settings(index),
            relay: EntrySection {
                packets,
                agents: SocketAddrV4::new(*packets.ip(), REPORT_PORT),
                ready: SocketAddrV4::new(*packets.ip(), READY_PORT),
                linger_ms: 1_500,
                apply_ms: 3_000,
                pace: false,
                schedule: true,
                evacuations: true,
                evacuate_ms: None,
                reset_ended: true,
                cold_overrun: None,
                cold_slack: 0.0,
            },
        }
    }

    fn agent_settings(&self, index: usize) -> AgentSettings {
        let packets = address(self.block, AGENT_NET, host_byte(index), PACKET_PORT);
        let with_port = |port| SocketAddrV4::new(*packets.ip(), port);
        AgentSettings {
            node: self.node_settings(format!("agent-{index}"), index, packets),
            log: LogSettings::default(),
            store: self.store_settings(self.size.entries + index),
            relay: AgentSection {
                service: service_of(index),
                upstream: with_port(UPSTREAM_PORT),
                outbound: with_port(OUTBOUND_PORT),
                packets,
                announcements: with_port(ANNOUNCEMENT_PORT),
                ready: with_port(READY_PORT),
                entry_port: REPORT_PORT,
                announce_ms: ANNOUNCE_MS,
                pace: false,
                slow_start: false,
                schedule: true,
            },
        }
    }
}

fn service_of(index: usize) -> ServiceName {
    SERVICES[usize::from(index % BATCH_ONE_IN == BATCH_ONE_IN - 1)].into()
}

fn zone_of(index: usize) -> String {
    ZONES[index % ZONES.len()].into()
}

/// Returns the last byte of the address of the instance with this index among its kind.
fn host_byte(index: usize) -> u8 {
    u8::try_from(index + 1).unwrap_or(u8::MAX)
}

fn address(block: u8, net: u8, host: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, block, net, host), port)
}

/// Returns the service address of the route with this number.
pub fn route_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443)
}

/// Returns one route for each service.
fn initial_routes() -> RouteSet {
    let mut routes = RouteSet {
        revision: 1,
        idle_timeout: IDLE_TIMEOUT,
        ..RouteSet::default()
    };
    for (number, service) in (1..).zip(SERVICES) {
        set_target(&mut routes, number, service);
    }
    routes
}

/// Directs the route with this number to a service. Routes with odd numbers are more urgent than the others.
pub fn set_target(routes: &mut RouteSet, number: u8, service: &str) {
    let target = RouteTarget {
        service: service.into(),
        weight: 1,
    };
    let targets = [target].into_iter().collect();
    routes.by_address.insert(route_address(number), targets);
    let terms = FlowTerms {
        priority: 2 * (1 - number % 2),
        target: TARGET_LATENCY,
        timeout: REQUEST_TIMEOUT,
    };
    routes.terms.insert(route_address(number), terms);
}

/// Returns the time of the wall clock in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(1, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
