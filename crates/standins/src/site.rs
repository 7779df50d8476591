//! A small site for tests of the operators' commands: a store, nodes, and a settings file.

use crate::node::NodeStandin;
use crate::store::StoreStandin;
use crate::workdir::Workdir;
use serde_json::{json, Value};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

/// Stand-ins with the files of one test.
#[derive(Debug)]
pub struct TestSite {
    /// The platform's store.
    pub store: StoreStandin,
    /// Admin pages of the nodes.
    pub nodes: Vec<NodeStandin>,
    /// Files of the test.
    pub workdir: Workdir,
    /// Path of the operator's settings file.
    pub config: String,
}

impl TestSite {
    /// Starts a site; `base` is the test's `CARGO_TARGET_TMPDIR`.
    ///
    /// # Errors
    ///
    /// A stand-in cannot be started or a file cannot be written.
    pub fn start(base: &str, name: &str, nodes: usize) -> io::Result<Self> {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = StoreStandin::start(address)?;
        let mut list = Vec::with_capacity(nodes);
        for _ in 0..nodes {
            list.push(NodeStandin::start()?);
        }
        let admin: Vec<String> = list.iter().map(|node| node.address().to_string()).collect();
        let config = format!(
            "[store]\nurls = [{:?}]\n[nodes]\nadmin = {admin:?}\n",
            store.url()
        );
        let workdir = Workdir::new(base, name)?;
        let config = workdir.write("operator.toml", &config)?;
        Ok(Self {
            store,
            nodes: list,
            workdir,
            config,
        })
    }

    /// Writes a catalogue file with services of these names and ports, and returns its path.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
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

    /// Lets every node report a catalogue revision and services of which `ready` endpoints take flows.
    pub fn set_statuses(&self, revision: u64, services: &[&str], ready: u32) {
        let mut map = json!({});
        for name in services {
            map[*name] = json!({ "ready": ready, "flows": 100 * ready });
        }
        for node in &self.nodes {
            node.set_status(entry_status(revision, map.clone()));
        }
    }
}

/// Returns the status page of an entry.
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
