//! Shared parts of the operators' commands: settings, exit statuses, reports, and requests to the admin pages of the
//! nodes.

use anyhow::{Context, Result};
use ntex::client::Client;
use ntex::rt::{DefaultRuntime, System};
use ntex::time::{timeout, Millis};
use ntex::util::join_all;
use quetzalhill_core::catalogue::guard::{FleetUse, GuardSettings};
use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_core::ids::RevisionNumber;
use quetzalhill_node::settings::{read, SettingError};
use quetzalhill_node::status::NodeStatus;
use quetzalhill_store::etcd::{EtcdSettings, EtcdStore};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::future::Future;
use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::time::Duration;

/// Settings file that is read if `--config` is not given, relative to the working directory.
pub const DEFAULT_CONFIG: &str = "quetzalhill-operator.toml";

/// Timeout of a request to one node, in milliseconds.
const NODE_TIMEOUT_MS: u32 = 2_000;

/// Exit statuses of the operators' commands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The store or the nodes could not be reached, or another error occurred; nothing was changed.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The catalogue file is not valid.
    Invalid = 3,
    /// A guard refused the change, or the fleet has a higher revision than the store; nothing was changed.
    Refused = 4,
    /// Another operator changed the catalogue concurrently; this command changed nothing.
    LostRace = 5,
    /// The outcome of the write is unknown: the change may or may not have been made.
    Unknown = 6,
    /// The change was made, but was not in force on all nodes when the wait ended.
    WaitTimeout = 7,
    /// `diff` found differences.
    Different = 8,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        // CAST: The explicit discriminants fit in a byte.
        ExitCode::from(status as u8)
    }
}

/// Result of a command, as text and as JSON.
#[derive(Clone, Debug)]
pub struct CommandReport {
    /// Exit status of the process.
    pub status: ExitStatus,
    /// Human-readable text, possibly several lines.
    pub text: String,
    /// Machine-readable form, printed instead of the text with `--json`.
    pub json: Value,
}

impl CommandReport {
    /// Creates a report from its text and JSON forms.
    pub fn new(status: ExitStatus, text: impl Into<String>, json: Value) -> Self {
        Self {
            status,
            text: text.into(),
            json,
        }
    }

    /// Prints the report and returns its exit code. JSON goes to standard output. Text goes to standard output if the
    /// command succeeded or found differences, otherwise to standard error.
    pub fn print(&self, json: bool) -> ExitCode {
        if json {
            println!("{}", self.json);
            return self.status.into();
        }
        let text = self.text.trim_end();
        match self.status {
            ExitStatus::Done | ExitStatus::Different => println!("{text}"),
            _ => eprintln!("{text}"),
        }
        self.status.into()
    }
}

/// Section `[store]` of the operator's settings.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreTarget {
    /// Base URLs of the members of the store; at least one.
    pub urls: Vec<String>,
}

/// Section `[nodes]` of the operator's settings.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeTargets {
    /// Admin addresses of nodes. A few nodes of each zone are enough.
    pub admin: Vec<SocketAddrV4>,
}

/// Section `[guards]` of the operator's settings.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct GuardSection {
    /// Largest share of the services, from 0 to 1, that one change may affect.
    pub share: f64,
    /// Number of services that one change may affect regardless of the share.
    pub services: usize,
}

impl Default for GuardSection {
    fn default() -> Self {
        let settings = GuardSettings::default();
        Self {
            share: settings.share,
            services: settings.services,
        }
    }
}

/// Settings of the operators' commands.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Store that holds the catalogue.
    pub store: StoreTarget,
    /// Nodes whose status and catalogue are requested.
    #[serde(default)]
    pub nodes: NodeTargets,
    /// Limits of the guards on large changes.
    #[serde(default)]
    pub guards: GuardSection,
}

impl OperatorSettings {
    /// Reads and checks the settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or a value is not allowed. The error names the file, the key, the value and
    /// the allowed values.
    pub fn read(path: &str) -> Result<Self> {
        read(path, check)
    }

    /// Converts the section `[guards]` to the settings of the guards.
    pub fn guards(&self) -> GuardSettings {
        GuardSettings {
            share: self.guards.share,
            services: self.guards.services,
        }
    }

    /// Creates a client of the store.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client cannot be created.
    pub async fn open_store(&self) -> Result<EtcdStore> {
        let settings = EtcdSettings::new(self.store.urls.clone());
        EtcdStore::new(settings)
            .await
            .context("creating the client of the store")
    }
}

fn check(settings: &OperatorSettings) -> Result<(), SettingError> {
    let urls = &settings.store.urls;
    if urls.is_empty() {
        let allowed = "at least one URL such as http://10.0.0.5:2379";
        return Err(SettingError::new("store.urls", "empty", allowed));
    }
    if let Some(url) = urls.iter().find(|url| !url.starts_with("http://")) {
        let allowed = "URLs that start with http://";
        return Err(SettingError::new("store.urls", url, allowed));
    }
    let share = settings.guards.share;
    if !(0.0..=1.0).contains(&share) {
        return Err(SettingError::new("guards.share", share, "0 to 1"));
    }
    Ok(())
}

/// Runs the future of a command to completion on the calling thread, in a new runtime.
///
/// # Errors
///
/// Returns the error of the command.
pub fn block_on<T: 'static>(command: impl Future<Output = Result<T>> + 'static) -> Result<T> {
    let system = System::build().name("command").build(DefaultRuntime);
    system.block_on(command)
}

/// Answer of one node to a request for an admin page.
#[derive(Clone, Debug)]
pub struct NodeAnswer<T> {
    /// Admin address of the node.
    pub address: SocketAddrV4,
    /// The decoded page, or why it could not be fetched.
    pub answer: Result<T, String>,
}

/// Fetches an admin page from all nodes concurrently.
async fn fetch_all<T: DeserializeOwned>(
    addresses: &[SocketAddrV4],
    page: &str,
) -> Vec<NodeAnswer<T>> {
    let client = Client::new().await;
    let calls: Vec<_> = addresses
        .iter()
        .map(|&address| fetch_one(client.clone(), address, page))
        .collect();
    join_all(calls).await
}

async fn fetch_one<T: DeserializeOwned>(
    client: Client,
    address: SocketAddrV4,
    page: &str,
) -> NodeAnswer<T> {
    let url = format!("http://{address}/{page}");
    let answer = match timeout(Millis(NODE_TIMEOUT_MS), fetch_json(&client, &url)).await {
        Ok(answer) => answer,
        Err(()) => Err(format!("no answer in {NODE_TIMEOUT_MS} ms")),
    };
    NodeAnswer { address, answer }
}

async fn fetch_json<T: DeserializeOwned>(client: &Client, url: &str) -> Result<T, String> {
    let response = client.get(url).send().await.map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    let body = response.body().limit(32 << 20);
    let body = body.await.map_err(|e| e.to_string())?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

/// Fetches the status of each node in the settings.
pub async fn node_statuses(settings: &OperatorSettings) -> Vec<NodeAnswer<NodeStatus>> {
    fetch_all(&settings.nodes.admin, "status").await
}

/// Fetches the catalogue in force on each node in the settings, and returns the one with the highest revision. Returns
/// `None` if no node answered.
pub async fn fleet_catalogue(settings: &OperatorSettings) -> Option<CatalogueSnapshot> {
    let answers: Vec<NodeAnswer<CatalogueSnapshot>> =
        fetch_all(&settings.nodes.admin, "catalogue").await;
    answers
        .into_iter()
        .filter_map(|node| node.answer.ok())
        .max_by_key(|snapshot| snapshot.revision)
}

/// Merges the use of each service from all nodes that answered, with the largest value of each number. Returns `None`
/// if no node answered.
pub fn fleet_use(answers: &[NodeAnswer<NodeStatus>]) -> Option<FleetUse> {
    let mut fleet = None;
    for node in answers {
        let Ok(status) = &node.answer else {
            continue;
        };
        let fleet: &mut FleetUse = fleet.get_or_insert_default();
        for (name, service) in &status.services {
            fleet
                .entry(name.clone())
                .or_default()
                .merge(service.service_use());
        }
    }
    fleet
}

/// Returns the highest catalogue revision in force on a node, or 0 if no node answered.
pub fn fleet_revision(answers: &[NodeAnswer<NodeStatus>]) -> RevisionNumber {
    answers
        .iter()
        .filter_map(|node| node.answer.as_ref().ok())
        .map(|status| status.revision)
        .max()
        .unwrap_or(0)
}

/// Formats a time that the store holds, in milliseconds since the Unix epoch, as RFC 3339 with seconds. A time out of
/// range is formatted as its number of milliseconds.
pub fn format_time(time_ms: u64) -> String {
    let time = std::time::UNIX_EPOCH.checked_add(Duration::from_millis(time_ms));
    match time {
        Some(time) => humantime::format_rfc3339_seconds(time).to_string(),
        None => format!("{time_ms} ms"),
    }
}
