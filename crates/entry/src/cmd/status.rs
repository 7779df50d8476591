//! `quetzalhill status`: shows the status of the nodes.

use super::operator::{
    block_on, fleet_revision, node_statuses, CommandReport, ExitStatus, NodeAnswer,
    OperatorSettings, DEFAULT_CONFIG,
};
use super::parse_args;
use anyhow::Result;
use argh::FromArgs;
use quetzalhill_node::status::NodeStatus;
use serde_json::{json, Value};
use std::process::ExitCode;

/// Show the status of the nodes in the settings. Does not contact the store. Exits with 0 if every node answered and
/// with 1 if not.
#[derive(Debug, FromArgs)]
struct StatusArgs {
    /// operator's settings file
    #[argh(option, default = "DEFAULT_CONFIG.into()")]
    config: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the settings cannot be read or are not valid.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: StatusArgs = match parse_args(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    let settings = OperatorSettings::read(&args.config)?;
    let report = block_on(async move { Ok(execute(&settings).await) })?;
    Ok(report.print(args.json))
}

/// Requests the status of all nodes in the settings and reports it as a table. The exit status is
/// [`ExitStatus::Failed`] if a node did not answer.
pub async fn execute(settings: &OperatorSettings) -> CommandReport {
    let answers = node_statuses(settings).await;
    let newest = fleet_revision(&answers);
    let mut lines = vec![format!(
        "{:<21} {:<6} {:<12} {:<6} {:>9} {:>8} {:>9}",
        "ADMIN", "ROLE", "ZONE", "READY", "REVISION", "ENTRIES", "SERVICES"
    )];
    lines.extend(answers.iter().map(node_line));
    let unanswered = answers.iter().filter(|node| node.answer.is_err()).count();
    let behind = answers
        .iter()
        .filter_map(|node| node.answer.as_ref().ok())
        .filter(|status| status.revision < newest)
        .count();
    lines.push(format!(
        "{} nodes, {unanswered} without answer, {behind} behind revision {newest}",
        answers.len()
    ));
    let nodes: Vec<Value> = answers.iter().map(node_json).collect();
    let json =
        json!({ "revision": newest, "silent": unanswered, "behind": behind, "nodes": nodes });
    let status = match unanswered {
        0 => ExitStatus::Done,
        _ => ExitStatus::Failed,
    };
    CommandReport::new(status, lines.join("\n"), json)
}

fn node_line(node: &NodeAnswer<NodeStatus>) -> String {
    let address = node.address.to_string();
    match &node.answer {
        Ok(status) => format!(
            "{address:<21} {:<6} {:<12} {:<6} {:>9} {:>8} {:>9}",
            status.role.name(),
            status.zone,
            if status.ready { "yes" } else { "no" },
            status.revision,
            status.entries,
            status.services.len()
        ),
        Err(error) => format!("{address:<21} no answer: {error}"),
    }
}

fn node_json(node: &NodeAnswer<NodeStatus>) -> Value {
    match &node.answer {
        Ok(status) => json!({ "admin": node.address, "status": status }),
        Err(error) => json!({ "admin": node.address, "error": error }),
    }
}
