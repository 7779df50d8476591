//! Test fixture for the operators' commands: a store, the admin pages of some nodes, and a settings file.

use crate::node::NodeStandin;
use crate::store::StoreStandin;
use crate::workdir::Workdir;
use serde_json::{json, Value};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// Store and node stand-ins together with the files of one test.
#[derive(Debug)]
pub struct TestSite {
    /// Store that holds the catalogue.
    pub store: StoreStandin,
    /// Nodes that the settings file lists, each with its admin pages.
    pub nodes: Vec<NodeStandin>,
    /// Folder for the files of the test.
    pub workdir: Workdir,
    /// Path of the operator's settings file.
    pub config: String,
}

impl TestSite {
    /// Starts a store and `nodes` nodes and writes the settings file.
    ///
    /// `base` is the test's `CARGO_TARGET_TMPDIR`, in which the folder `name` is created.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in cannot be started or a file cannot be written.
    pub fn start(base: &str, name: &str, nodes: usize) -> io::Result<Self> {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = StoreStandin::start(address)?;
        let mut node_standins = Vec::with_capacity(nodes);
        for _ in 0..nodes {
            node_standins.push(NodeStandin::start()?);
        }
        let admin: Vec<String> = node_standins
            .iter()
            .map(|node| node.address().to_string())
            .collect();
        let config = format!(
            "[store]\nurls = [{:?}]\n[nodes]\nadmin = {admin:?}\n",
            store.url()
        );
        let workdir = Workdir::new(base, name)?;
        let config = workdir.write("operator.toml", &config)?;
        Ok(Self {
            store,
            nodes: node_standins,
            workdir,
            config,
        })
    }

    /// Writes a catalogue file with one service for each name and port, and returns its path.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_catalogue_file(&self, file: &str, services: &[(&str, u16)]) -> io::Result<String> {
        let mut text = String::new();
        for (name, port) in services {
            let owner = "owner = \"Lucky Slip\"";
            text.push_str(&format!(
                "[service.{name}]\n{owner}\naddresses = [\"10.0.0.1:{port}\"]\n"
            ));
        }
        self.workdir.write(file, &text)
    }

    /// Sets the status page of every node to this catalogue revision and these services, each with `ready` ready
    /// endpoints.
    pub fn set_statuses(&self, revision: u64, services: &[&str], ready: u32) {
        let mut service_statuses = json!({});
        for name in services {
            service_statuses[*name] = json!({ "ready": ready, "flows": 100 * ready });
        }
        for node in &self.nodes {
            node.set_status(entry_status(revision, service_statuses.clone()));
        }
    }
}

/// Returns the status page of an entry, where `services` maps service names to their status.
pub fn entry_status(revision: u64, services: Value) -> Value {
    json!({
        "role": "entry",
        "zone": "west-1",
        "ready": true,
        "revision": revision,
        "entries": 3,
        "services": services,
    })
}
