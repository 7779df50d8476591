//! `quetzalhill catalogue restore`: writes the catalogue in force on the nodes back to a store with an older one.

use super::parse;
use super::submit::{default_author, submit, SubmitOptions};
use crate::cmd::operator::{
    block_on, fleet_catalogue, CommandReport, ExitStatus, OperatorSettings, DEFAULT_CONFIG,
};
use anyhow::{anyhow, Context, Result};
use argh::FromArgs;
use quetzalhill_core::catalogue::validate::validate;
use quetzalhill_store::catalogue::load::load;
use quetzalhill_store::catalogue::plan::plan_restore;
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;

/// Write the catalogue in force on the nodes back to a store that was restored from an older copy. The new revision
/// is higher than that of the nodes and of the store. Exit statuses are those of `apply`.
#[derive(Debug, FromArgs)]
struct RestoreArgs {
    /// operator's settings file
    #[argh(option, default = "DEFAULT_CONFIG.into()")]
    config: String,
    /// who makes the change; the login name by default
    #[argh(option, default = "default_author()")]
    author: String,
    /// wait until the change is in force on all nodes of the settings
    #[argh(switch)]
    wait: bool,
    /// longest wait in seconds, 30 by default
    #[argh(option, default = "30")]
    wait_limit: u64,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the settings or the catalogue in the store cannot be read, or no node answers; nothing was changed.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: RestoreArgs = match parse(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    let settings = OperatorSettings::read(&args.config)?;
    let options = SubmitOptions {
        author: args.author,
        allowed: Vec::new(),
        wait: args.wait.then(|| Duration::from_secs(args.wait_limit)),
    };
    let report = block_on(async move { execute(&settings, &options).await })?;
    Ok(report.print(args.json))
}

/// Writes the newest catalogue in force on a node to the store, unless the store has the same or a higher revision.
///
/// # Errors
///
/// Fails if the catalogue in the store cannot be read, no node answers or the change cannot be planned; nothing was
/// changed.
pub async fn execute(
    settings: &OperatorSettings,
    options: &SubmitOptions,
) -> Result<CommandReport> {
    let store = settings.open_store().await?;
    let current = load(&store).await.context("reading the catalogue")?;
    let fleet = fleet_catalogue(settings)
        .await
        .ok_or_else(|| anyhow!("no node in nodes.admin answered with its catalogue"))?;
    if fleet.revision <= current.snapshot.revision {
        let (store, fleet) = (current.snapshot.revision, fleet.revision);
        let text = format!("nothing to restore: the store has revision {store} and the nodes have revision {fleet}");
        let json = json!({ "outcome": "unchanged", "revision": store, "fleet": fleet });
        return Ok(CommandReport::new(ExitStatus::Done, text, json));
    }
    if let Err(errors) = validate(&fleet) {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        let text = format!(
            "the catalogue in force on the nodes is not valid: {}",
            lines.join("; ")
        );
        let json = json!({ "outcome": "invalid", "errors": lines });
        return Ok(CommandReport::new(ExitStatus::Invalid, text, json));
    }
    let planned = plan_restore(&current, fleet, &options.stamp())?;
    Ok(submit(settings, &store, &planned, options).await)
}
