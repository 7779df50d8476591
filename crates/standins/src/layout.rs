//! Addresses, key files and settings of the nodes of one testbed; the nodes can run as threads or as processes.

use crate::certificate::{write_certificate, write_control_key, TestCertificate};
use crate::deployment::DeploymentPlan;
use anyhow::Result;
use quetzalhill::settings::{EntrySection, EntrySettings, ListenSettings, StoreSection};
use quetzalhill_agent::settings::{AgentSection, AgentSettings};
use quetzalhill_core::dispatch::DispatchPolicy;
use quetzalhill_node::settings::{LogSettings, NodeSettings};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};

// First port of each kind; the number of the node, service or listener is added to it.

const PORT_FABRIC: u16 = 4433;
const PORT_LISTEN: u16 = 10_000;
const PORT_ENTRY_CONTROL: u16 = 11_000;
const PORT_ENTRY_DATA: u16 = 12_000;
const PORT_ENTRY_ADMIN: u16 = 13_000;
const PORT_PACKETS: u16 = 20_000;
const PORT_PEER: u16 = 21_000;
const PORT_AGENT_CONTROL: u16 = 22_000;
const PORT_AGENT_ADMIN: u16 = 23_000;
const PORT_UPSTREAM: u16 = 24_000;
const PORT_STORE: u16 = 2379;

/// Highest number of listeners of one entry; each entry has a block of this many ports.
pub const LISTENERS_MAX: usize = 10;

/// Last octet of the IP address of the next testbed, so that testbeds of one process have different addresses.
static NEXT_TESTBED: AtomicU8 = AtomicU8::new(1);

/// Addresses of the nodes of one testbed and the files that they read.
#[derive(Debug)]
pub struct TestbedLayout {
    /// Plan of the deployment; nodes are assigned to its zones in turn.
    pub plan: DeploymentPlan,
    /// Loopback IP address that all nodes and stand-ins of the testbed share.
    pub ip: Ipv4Addr,
    /// Folder with the files of the nodes, which is removed when the layout is dropped.
    pub folder: PathBuf,
    /// Certificate of the agents, which callers trust.
    pub certificate: TestCertificate,
    /// Policy by which agents distribute requests.
    pub policy: DispatchPolicy,
    control_key: String,
}

/// Inputs from which [`TestbedLayout::agent_settings`] builds the settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentParameters {
    /// Number of the agent, which is added to the first port of each kind.
    pub number: u16,
    /// Service that its upstream belongs to.
    pub service: String,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u16,
    /// Position of its zone in the plan, modulo the number of zones.
    pub zone: usize,
    /// Control addresses of entries to which the agent announces itself first.
    pub entries: Vec<SocketAddrV4>,
}

impl TestbedLayout {
    /// Chooses a loopback address and writes the certificate and the control key.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder or a file cannot be written.
    pub fn new(plan: DeploymentPlan, policy: DispatchPolicy) -> Result<Self> {
        let ip = allocate_ip();
        let folder = std::env::temp_dir().join(format!("quetzalhill-{ip}"));
        std::fs::create_dir_all(&folder)?;
        let certificate = write_certificate(&folder)?;
        let control_key = write_control_key(&folder, 1)?;
        Ok(Self {
            plan,
            ip,
            folder,
            certificate,
            policy,
            control_key,
        })
    }

    /// Returns the IP address of the testbed with this port.
    pub fn address(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }

    /// Returns the address on which the store listens.
    pub fn store_address(&self) -> SocketAddrV4 {
        self.address(PORT_STORE)
    }

    /// Returns the address of the upstream that belongs to the agent with this number.
    pub fn upstream_address(&self, number: u16) -> SocketAddrV4 {
        self.address(PORT_UPSTREAM + number)
    }

    /// Returns the fabric address to which callers of the service at this position in the plan connect.
    pub fn service_address(&self, index: usize) -> SocketAddrV4 {
        // CAST: A deployment has a handful of services.
        self.address(PORT_FABRIC + index as u16)
    }

    fn node_settings(&self, zone: usize, control: u16, admin: u16) -> NodeSettings {
        NodeSettings {
            zone: self.plan.zones[zone % self.plan.zones.len()].clone(),
            control: self.address(control),
            admin: self.address(admin),
            control_key: self.control_key.clone(),
            previous_key: None,
        }
    }

    /// Returns the settings of an entry with one listener for each of the first `services` services of the plan.
    ///
    /// `number` selects its ports, `zone` the position of its zone modulo the number of zones; `seeds` are control
    /// addresses of entries that it contacts first.
    pub fn entry_settings(
        &self,
        number: u16,
        zone: usize,
        services: usize,
        seeds: Vec<SocketAddrV4>,
    ) -> EntrySettings {
        // CAST: The constant is 10.
        let first = PORT_LISTEN + number * LISTENERS_MAX as u16;
        let listen = (0..services)
            .map(|service| ListenSettings {
                // CAST: A deployment has a handful of services.
                bind: self.address(first + service as u16),
                address: Some(self.service_address(service)),
            })
            .collect();
        EntrySettings {
            node: self.node_settings(zone, PORT_ENTRY_CONTROL + number, PORT_ENTRY_ADMIN + number),
            log: LogSettings::default(),
            entry: EntrySection {
                listen,
                data: self.address(PORT_ENTRY_DATA + number),
                seeds,
                threads: 1,
                linger_s: 1,
            },
            store: StoreSection {
                urls: vec![format!("http://{}", self.store_address())],
            },
        }
    }

    /// Returns the settings of an agent whose upstream is on the port of the same number.
    pub fn agent_settings(&self, parameters: &AgentParameters) -> AgentSettings {
        let number = parameters.number;
        AgentSettings {
            node: self.node_settings(
                parameters.zone,
                PORT_AGENT_CONTROL + number,
                PORT_AGENT_ADMIN + number,
            ),
            log: LogSettings::default(),
            agent: AgentSection {
                service: parameters.service.clone(),
                packets: self.address(PORT_PACKETS + number),
                peer: self.address(PORT_PEER + number),
                advertise_peer: None,
                upstream: self.upstream_address(number),
                health_path: "/health".into(),
                health_interval_ms: 1_000,
                slots: parameters.slots,
                entries: parameters.entries.clone(),
                certificate: self.certificate.certificate.clone(),
                private_key: self.certificate.private_key.clone(),
                flows: 100_000,
                policy: self.policy,
                drain_limit_s: 30,
            },
        }
    }
}

impl Drop for TestbedLayout {
    fn drop(&mut self) {
        // The folder is in the temporary directory, so leftovers do no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns an address in 127.64.0.0/10 that depends on the process id and the number of the testbed, so that testbeds
/// of concurrent test processes rarely have the same address.
fn allocate_ip() -> Ipv4Addr {
    let pid = std::process::id();
    // CAST: The masks leave at most eight bits.
    let (high, low) = (((pid >> 8) & 0x3f) as u8, (pid & 0xff) as u8);
    Ipv4Addr::new(
        127,
        64 + high,
        low,
        NEXT_TESTBED.fetch_add(1, Ordering::Relaxed),
    )
}
