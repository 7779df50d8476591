//! Addresses, key files and settings of the nodes of one testbed, whether they run as threads or as processes.

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

/// Listeners that one entry may have.
pub const LISTENERS_MAX: usize = 10;

/// Testbeds of this process so far; each uses an IP address of its own.
static NEXT_TESTBED: AtomicU8 = AtomicU8::new(1);

/// Where everything of one testbed is, and the files that its nodes read.
#[derive(Debug)]
pub struct TestbedLayout {
    /// What was asked for.
    pub plan: DeploymentPlan,
    /// IP address of everything in the testbed.
    pub ip: Ipv4Addr,
    /// Files of the nodes; removed with the layout.
    pub folder: PathBuf,
    /// What callers trust.
    pub certificate: TestCertificate,
    /// How agents spread requests.
    pub policy: DispatchPolicy,
    key: String,
}

/// What an agent's settings depend on.
#[derive(Clone, Debug)]
pub struct AgentParameters {
    /// Number of the agent, from which its ports follow.
    pub number: u16,
    /// Service of its upstream.
    pub service: String,
    /// Requests that the upstream runs at the same time.
    pub slots: u16,
    /// Position of its zone, counted over and over.
    pub zone: usize,
    /// Control addresses for the first contact.
    pub entries: Vec<SocketAddrV4>,
}

impl TestbedLayout {
    /// Chooses an IP address and writes certificate and key.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written.
    pub fn new(plan: DeploymentPlan, policy: DispatchPolicy) -> Result<Self> {
        let ip = allocate_ip();
        let folder = std::env::temp_dir().join(format!("quetzalhill-{ip}"));
        std::fs::create_dir_all(&folder)?;
        let certificate = write_certificate(&folder)?;
        let key = write_control_key(&folder, 1)?;
        Ok(Self {
            plan,
            ip,
            folder,
            certificate,
            policy,
            key,
        })
    }

    /// Returns an address with this port.
    pub fn address(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, port)
    }

    /// Returns the address of the store.
    pub fn store_address(&self) -> SocketAddrV4 {
        self.address(PORT_STORE)
    }

    /// Returns the address of the upstream beside an agent.
    pub fn upstream_address(&self, number: u16) -> SocketAddrV4 {
        self.address(PORT_UPSTREAM + number)
    }

    /// Returns the address at the fabric of the service at this position.
    pub fn service_address(&self, index: usize) -> SocketAddrV4 {
        // CAST: A deployment has a handful of services.
        self.address(PORT_FABRIC + index as u16)
    }

    fn node_settings(&self, zone: usize, control: u16, admin: u16) -> NodeSettings {
        NodeSettings {
            zone: self.plan.zones[zone % self.plan.zones.len()].clone(),
            control: self.address(control),
            admin: self.address(admin),
            control_key: self.key.clone(),
            previous_key: None,
        }
    }

    /// Returns the settings of an entry that listens for the first `services` addresses.
    pub fn entry_settings(
        &self,
        number: u16,
        zone: usize,
        services: usize,
        seeds: Vec<SocketAddrV4>,
    ) -> EntrySettings {
        // CAST: The constant is small.
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

    /// Returns the settings of an agent.
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
        // The folder is below the temporary directory; what cannot be removed does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

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
