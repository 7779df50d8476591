//! The steps that `apply`, `rollback` and `restore` share: check the change, commit it and wait until it is in force.

use super::{change_json, change_text};
use crate::cmd::operator::{
    fleet_revision, fleet_use, format_time, node_statuses, CommandReport, ExitStatus, NodeAnswer,
    OperatorSettings,
};
use ntex::time::{sleep, Millis};
use quetzalhill_core::catalogue::change::CatalogueChange;
use quetzalhill_core::catalogue::guard::{check_change, GuardKind, GuardRefusal};
use quetzalhill_core::ids::RevisionNumber;
use quetzalhill_node::status::NodeStatus;
use quetzalhill_store::catalogue::commit::{commit, new_write_id, CommitError, CommitOutcome};
use quetzalhill_store::catalogue::load::LoadedCatalogue;
use quetzalhill_store::catalogue::plan::{PlannedChange, WriteStamp};
use quetzalhill_store::catalogue::CatalogueHead;
use quetzalhill_store::etcd::EtcdStore;
use serde_json::{json, Value};
use std::io::{stderr, IsTerminal, Write};
use std::time::{Duration, Instant, SystemTime};

/// Interval at which the nodes are polled during a wait, in milliseconds.
const WAIT_POLL_MS: u32 = 250;

/// Options of a change.
#[derive(Clone, Debug, Default)]
pub struct SubmitOptions {
    /// Name of the operator, which is recorded in the history.
    pub author: String,
    /// Guards that are overridden for this change.
    pub allowed: Vec<GuardKind>,
    /// Longest wait until the change is in force on all nodes; `None` to return after the commit.
    pub wait: Option<Duration>,
}

impl SubmitOptions {
    /// Creates the stamp of a write, with the current time and a new random write id.
    pub fn stamp(&self) -> WriteStamp {
        WriteStamp {
            author: self.author.clone(),
            time: SystemTime::now(),
            write_id: new_write_id(&mut rand::rng()),
        }
    }
}

/// Returns the login name from the environment, or `unknown`.
pub fn default_author() -> String {
    let names = ["USER", "LOGNAME"];
    let found = names.iter().find_map(|name| std::env::var(name).ok());
    found.unwrap_or_else(|| "unknown".into())
}

/// Returns a refusal if a node has a higher revision in force than the store. This happens after the store was
/// restored from an older copy. The nodes would ignore a change then, because its revision would not be higher than
/// theirs.
pub fn check_fleet_ahead(
    current: &LoadedCatalogue,
    answers: &[NodeAnswer<NodeStatus>],
) -> Option<CommandReport> {
    let store = current.snapshot.revision;
    let fleet = fleet_revision(answers);
    if fleet <= store {
        return None;
    }
    let text = format!(
        "refused: the nodes have revision {fleet} in force and the store has only revision {store}, so the nodes \
         would ignore the change; run `quetzalhill catalogue restore` to write their catalogue back first"
    );
    let json = json!({ "outcome": "fleet-ahead", "fleet": fleet, "store": store });
    Some(CommandReport::new(ExitStatus::Refused, text, json))
}

/// Returns a refusal if a guard that is not overridden refuses the change.
pub fn check_guards(
    settings: &OperatorSettings,
    current: &LoadedCatalogue,
    change: &CatalogueChange,
    answers: &[NodeAnswer<NodeStatus>],
    options: &SubmitOptions,
) -> Option<CommandReport> {
    let fleet = fleet_use(answers);
    let guards = settings.guards();
    let checked = check_change(
        &current.snapshot,
        change,
        fleet.as_ref(),
        &guards,
        &options.allowed,
    );
    let refusals = checked.err()?;
    let lines: Vec<String> = refusals.iter().map(|r| format!("refused: {r}")).collect();
    let list: Vec<Value> = refusals.iter().map(refusal_json).collect();
    let json = json!({ "outcome": "refused", "refusals": list });
    Some(CommandReport::new(
        ExitStatus::Refused,
        lines.join("\n"),
        json,
    ))
}

fn refusal_json(refusal: &GuardRefusal) -> Value {
    json!({ "reason": refusal.reason, "flag": refusal.kind.flag() })
}

/// Commits a change and, if `options` sets a wait, waits until the change is in force on the nodes.
pub async fn submit(
    settings: &OperatorSettings,
    store: &EtcdStore,
    planned: &PlannedChange,
    options: &SubmitOptions,
) -> CommandReport {
    match commit(store, planned).await {
        Ok(CommitOutcome::Committed(revision)) => {
            report_committed(settings, planned, revision, options).await
        }
        Ok(CommitOutcome::LostRace(head)) => report_lost_race(head),
        Err(error) => {
            let status = match &error {
                CommitError::NotApplied(_) => ExitStatus::Failed,
                CommitError::Unknown { .. } => ExitStatus::Unknown,
            };
            let outcome = match status {
                ExitStatus::Unknown => "unknown",
                _ => "not-applied",
            };
            let text = error.to_string();
            let json = json!({ "outcome": outcome, "error": text, "write_id": planned.write_id });
            CommandReport::new(status, text, json)
        }
    }
}

fn report_lost_race(head: Option<CatalogueHead>) -> CommandReport {
    let Some(head) = head else {
        let text = "the catalogue in the store was removed concurrently; nothing was written";
        let json = json!({ "outcome": "lost-race" });
        return CommandReport::new(ExitStatus::LostRace, text, json);
    };
    let text = format!(
        "{} changed {} at {} (revision {}) while this change was prepared; nothing was written and the \
         file was not modified; compare it with `quetzalhill catalogue diff` and run the command again",
        head.author,
        head.changed.join(", "),
        format_time(head.time_ms),
        head.revision
    );
    let json = json!({ "outcome": "lost-race", "head": head });
    CommandReport::new(ExitStatus::LostRace, text, json)
}

async fn report_committed(
    settings: &OperatorSettings,
    planned: &PlannedChange,
    revision: RevisionNumber,
    options: &SubmitOptions,
) -> CommandReport {
    let mut text = format!("{}revision {revision}", change_text(&planned.change));
    let mut json = json!({
        "outcome": "committed",
        "revision": revision,
        "changes": change_json(&planned.change),
    });
    let Some(limit) = options.wait else {
        return CommandReport::new(ExitStatus::Done, text, json);
    };
    let (in_force, nodes) = wait_in_force(settings, revision, limit).await;
    text.push_str(&format!(", in force on {in_force} of {nodes} nodes"));
    json["in_force"] = json!(in_force);
    json["nodes"] = json!(nodes);
    if nodes == 0 {
        text.push_str("; nodes.admin in the settings is empty");
    }
    let status = match nodes > 0 && in_force == nodes {
        true => ExitStatus::Done,
        false => ExitStatus::WaitTimeout,
    };
    CommandReport::new(status, text, json)
}

/// Polls the nodes until all of them have the revision in force or `limit` has passed. Returns the number of nodes
/// that have it in force and the number of all nodes.
async fn wait_in_force(
    settings: &OperatorSettings,
    revision: RevisionNumber,
    limit: Duration,
) -> (usize, usize) {
    let deadline = Instant::now() + limit;
    let terminal = stderr().is_terminal();
    let nodes = settings.nodes.admin.len();
    loop {
        let answers = node_statuses(settings).await;
        let in_force = answers
            .iter()
            .filter_map(|node| node.answer.as_ref().ok())
            .filter(|status| status.revision >= revision)
            .count();
        if terminal {
            eprint!("\rrevision {revision} in force on {in_force} of {nodes} nodes");
            // An error is ignored: the command does not depend on showing its progress.
            let _ = stderr().flush();
        }
        if in_force == nodes || Instant::now() >= deadline {
            if terminal {
                eprintln!();
            }
            return (in_force, nodes);
        }
        sleep(Millis(WAIT_POLL_MS)).await;
    }
}
