//! What the operators' commands share: settings, exit statuses, reports, and the status of the nodes.

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

/// Settings file that is read without `--config`.
pub const DEFAULT_CONFIG: &str = "quetzalhill-operator.toml";

/// Longest wait for the answer of one node, in milliseconds.
const NODE_TIMEOUT_MS: u32 = 2_000;

/// Exit statuses of the operators' commands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The command did what it was asked.
    Done = 0,
    /// The store or the nodes could not be asked; nothing was changed.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The catalogue file is not valid.
    Invalid = 3,
    /// A guard refuses the change, or the fleet is ahead of the store; nothing was changed.
    Refused = 4,
    /// Somebody else changed the catalogue first; nothing was changed.
    LostRace = 5,
    /// It is unknown whether the change was made.
    Unknown = 6,
    /// The change was made and is not in force everywhere after the wait.
    WaitTimeout = 7,
    /// `diff` found differences.
    Different = 8,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        // CAST: The discriminants are written above and fit a byte.
        ExitCode::from(status as u8)
    }
}

/// What a command has to say.
#[derive(Clone, Debug)]
pub struct CommandReport {
    /// Exit status.
    pub status: ExitStatus,
    /// Text for people.
    pub text: String,
    /// The same for programs.
    pub json: Value,
}

impl CommandReport {
    /// Makes a report.
    pub fn new(status: ExitStatus, text: impl Into<String>, json: Value) -> Self {
        Self {
            status,
            text: text.into(),
            json,
        }
    }

    /// Prints the report: JSON and good news on the standard output, anything else on standard error.
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
    /// Base addresses of the store.
    pub urls: Vec<String>,
}

/// Section `[nodes]` of the operator's settings.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeTargets {
    /// Admin addresses of nodes; some of each zone are enough.
    pub admin: Vec<SocketAddrV4>,
}

/// Section `[guards]` of the operator's settings.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct GuardSection {
    /// Largest share of the catalogue, from 0 to 1, that one change may touch.
    pub share: f64,
    /// Number of services that one change may touch whatever the share.
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

/// The operator's settings file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The platform's store.
    pub store: StoreTarget,
    /// Nodes to ask.
    #[serde(default)]
    pub nodes: NodeTargets,
    /// Bounds of the guards.
    #[serde(default)]
    pub guards: GuardSection,
}

impl OperatorSettings {
    /// Reads the settings file.
    ///
    /// # Errors
    ///
    /// Names the file, the key, the value and what is allowed.
    pub fn read(path: &str) -> Result<Self> {
        read(path, check)
    }

    /// Returns the bounds of the guards.
    pub fn guards(&self) -> GuardSettings {
        GuardSettings {
            share: self.guards.share,
            services: self.guards.services,
        }
    }

    /// Makes a client of the store.
    ///
    /// # Errors
    ///
    /// The HTTP client cannot be set up.
    pub async fn open_store(&self) -> Result<EtcdStore> {
        let settings = EtcdSettings::new(self.store.urls.clone());
        EtcdStore::new(settings).await.context("store")
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

/// Runs a command's calls on this thread.
///
/// # Errors
///
/// Whatever the command returns.
pub fn block_on<T: 'static>(command: impl Future<Output = Result<T>> + 'static) -> Result<T> {
    let system = System::build().name("command").build(DefaultRuntime);
    system.block_on(command)
}

/// Answer of one node.
#[derive(Clone, Debug)]
pub struct NodeAnswer<T> {
    /// Admin address of the node.
    pub address: SocketAddrV4,
    /// What it says, or why it does not.
    pub answer: Result<T, String>,
}

/// Asks nodes for a page, all at the same time.
async fn ask<T: DeserializeOwned>(addresses: &[SocketAddrV4], page: &str) -> Vec<NodeAnswer<T>> {
    let client = Client::new().await;
    let calls: Vec<_> = addresses
        .iter()
        .map(|&address| ask_one(client.clone(), address, page))
        .collect();
    join_all(calls).await
}

async fn ask_one<T: DeserializeOwned>(
    client: Client,
    address: SocketAddrV4,
    page: &str,
) -> NodeAnswer<T> {
    let url = format!("http://{address}/{page}");
    let answer = match timeout(Millis(NODE_TIMEOUT_MS), fetch(&client, &url)).await {
        Ok(answer) => answer,
        Err(()) => Err(format!("no answer in {NODE_TIMEOUT_MS} ms")),
    };
    NodeAnswer { address, answer }
}

async fn fetch<T: DeserializeOwned>(client: &Client, url: &str) -> Result<T, String> {
    let response = client.get(url).send().await.map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    let body = response.body().limit(32 << 20);
    let body = body.await.map_err(|e| e.to_string())?;
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

/// Asks the nodes of the settings for their status.
pub async fn node_statuses(settings: &OperatorSettings) -> Vec<NodeAnswer<NodeStatus>> {
    ask(&settings.nodes.admin, "status").await
}

/// Returns the catalogue with the highest revision that a node has in force.
pub async fn fleet_catalogue(settings: &OperatorSettings) -> Option<CatalogueSnapshot> {
    let answers: Vec<NodeAnswer<CatalogueSnapshot>> = ask(&settings.nodes.admin, "catalogue").await;
    answers
        .into_iter()
        .filter_map(|node| node.answer.ok())
        .max_by_key(|snapshot| snapshot.revision)
}

/// Returns what is in use, or nothing if no node answered.
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

/// Returns the highest catalogue revision that a node has in force.
pub fn fleet_revision(answers: &[NodeAnswer<NodeStatus>]) -> RevisionNumber {
    answers
        .iter()
        .filter_map(|node| node.answer.as_ref().ok())
        .map(|status| status.revision)
        .max()
        .unwrap_or(0)
}

/// Returns a point in time of the store as text.
pub fn format_time(time_ms: u64) -> String {
    let time = std::time::UNIX_EPOCH.checked_add(Duration::from_millis(time_ms));
    match time {
        Some(time) => humantime::format_rfc3339_seconds(time).to_string(),
        None => format!("{time_ms} ms"),
    }
}
