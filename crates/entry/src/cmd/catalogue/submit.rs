//! Guards, commit and wait, which `apply`, `rollback` and `restore` share.

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

/// Time between two questions to the nodes while waiting, in milliseconds.
const WAIT_POLL_MS: u32 = 250;

/// How a change is made.
#[derive(Clone, Debug, Default)]
pub struct SubmitOptions {
    /// Who makes the change.
    pub author: String,
    /// Guards that are told to let the change pass.
    pub allowed: Vec<GuardKind>,
    /// How long to wait until the nodes have the change in force.
    pub wait: Option<Duration>,
}

impl SubmitOptions {
    /// Makes the stamp of a new write.
    pub fn stamp(&self) -> WriteStamp {
        WriteStamp {
            author: self.author.clone(),
            time: SystemTime::now(),
            write_id: new_write_id(&mut rand::rng()),
        }
    }
}

/// Returns the name under which the operator is logged in.
pub fn default_author() -> String {
    let names = ["USER", "LOGNAME"];
    let found = names.iter().find_map(|name| std::env::var(name).ok());
    found.unwrap_or_else(|| "unknown".into())
}

/// Refuses a change while the fleet has a higher revision than the store.
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
        "refused: nodes have revision {fleet} in force and the store has only {store}, so that no node \
         would adopt the change; `quetzalhill catalogue restore` writes the fleet's copy back"
    );
    let json = json!({ "outcome": "fleet-ahead", "fleet": fleet, "store": store });
    Some(CommandReport::new(ExitStatus::Refused, text, json))
}

/// Asks the guards about a change.
pub fn check_guards(
    settings: &OperatorSettings,
    current: &LoadedCatalogue,
    change: &CatalogueChange,
    answers: &[NodeAnswer<NodeStatus>],
    options: &SubmitOptions,
) -> Option<CommandReport> {
    let fleet = fleet_use(answers);
    let bounds = settings.guards();
    let checked = check_change(
        &current.snapshot,
        change,
        fleet.as_ref(),
        &bounds,
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

/// Commits a change and waits for the nodes if that is wanted.
pub async fn submit(
    settings: &OperatorSettings,
    store: &EtcdStore,
    planned: &PlannedChange,
    options: &SubmitOptions,
) -> CommandReport {
    match commit(store, planned).await {
        Ok(CommitOutcome::Committed(revision)) => {
            committed(settings, planned, revision, options).await
        }
        Ok(CommitOutcome::LostRace(head)) => lost_race(head),
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

fn lost_race(head: Option<CatalogueHead>) -> CommandReport {
    let Some(head) = head else {
        let text = "the catalogue in the store was removed at the same time; nothing was written";
        let json = json!({ "outcome": "lost-race" });
        return CommandReport::new(ExitStatus::LostRace, text, json);
    };
    let text = format!(
        "{} changed {} at {} (revision {}) while this change was prepared; nothing was written and the \
         file is as it was; compare with `quetzalhill catalogue diff` and run the command again",
        head.author,
        head.changed.join(", "),
        format_time(head.time_ms),
        head.revision
    );
    let json = json!({ "outcome": "lost-race", "head": head });
    CommandReport::new(ExitStatus::LostRace, text, json)
}

async fn committed(
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
    let (in_force, nodes) = wait(settings, revision, limit).await;
    text.push_str(&format!(", in force on {in_force} of {nodes} nodes"));
    json["in_force"] = json!(in_force);
    json["nodes"] = json!(nodes);
    if nodes == 0 {
        text.push_str("; nodes.admin in the settings names none to ask");
    }
    let status = match nodes > 0 && in_force == nodes {
        true => ExitStatus::Done,
        false => ExitStatus::WaitTimeout,
    };
    CommandReport::new(status, text, json)
}

/// Asks the nodes until all of them have the revision in force, and returns how many have it of how many.
async fn wait(
    settings: &OperatorSettings,
    revision: RevisionNumber,
    limit: Duration,
) -> (usize, usize) {
    let end = Instant::now() + limit;
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
            // Progress that cannot be shown is no reason to fail.
            let _ = stderr().flush();
        }
        if in_force == nodes || Instant::now() >= end {
            if terminal {
                eprintln!();
            }
            return (in_force, nodes);
        }
        sleep(Millis(WAIT_POLL_MS)).await;
    }
}
