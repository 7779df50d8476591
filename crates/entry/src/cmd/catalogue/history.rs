//! `quetzalhill catalogue history`: lists the changes of the catalogue.

use super::{change_json, parse};
use crate::cmd::operator::{
    block_on, format_time, CommandReport, ExitStatus, OperatorSettings, DEFAULT_CONFIG,
};
use anyhow::{Context, Result};
use argh::FromArgs;
use quetzalhill_store::catalogue::load::load_history;
use quetzalhill_store::catalogue::HistoryRecord;
use serde_json::{json, Value};
use std::process::ExitCode;

/// List the changes of the catalogue, newest first.
#[derive(Debug, FromArgs)]
struct HistoryArgs {
    /// operator's settings file
    #[argh(option, default = "DEFAULT_CONFIG.into()")]
    config: String,
    /// largest number of changes to list, 20 by default
    #[argh(option, default = "20")]
    limit: usize,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the settings or the history in the store cannot be read.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: HistoryArgs = match parse(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    let settings = OperatorSettings::read(&args.config)?;
    let report = block_on(async move { execute(&settings, args.limit).await })?;
    Ok(report.print(args.json))
}

/// Reports the last `limit` changes, newest first.
///
/// # Errors
///
/// Fails if the history cannot be read from the store.
pub async fn execute(settings: &OperatorSettings, limit: usize) -> Result<CommandReport> {
    let store = settings.open_store().await?;
    let mut history = load_history(&store).await.context("reading the history")?;
    history.reverse();
    history.truncate(limit);
    let lines: Vec<String> = history.iter().map(record_line).collect();
    let items: Vec<Value> = history.iter().map(record_json).collect();
    let text = match lines.is_empty() {
        true => "no changes".into(),
        false => lines.join("\n"),
    };
    Ok(CommandReport::new(ExitStatus::Done, text, json!(items)))
}

fn record_line(record: &HistoryRecord) -> String {
    let names: Vec<&str> = record.change.keys().map(String::as_str).collect();
    let mut line = format!(
        "{:>6}  {}  {}  {}",
        record.revision,
        format_time(record.time_ms),
        record.author,
        names.join(", ")
    );
    if let Some(target) = record.rollback_to {
        line.push_str(&format!("  (rollback to revision {target})"));
    }
    line
}

fn record_json(record: &HistoryRecord) -> Value {
    json!({
        "revision": record.revision,
        "time": format_time(record.time_ms),
        "author": record.author,
        "write_id": record.write_id,
        "rollback_to": record.rollback_to,
        "changes": change_json(&record.change),
    })
}
