//! `quetzalhill catalogue rollback REVISION`: makes a new revision with the content of an earlier one.

use super::parse;
use super::submit::{check_fleet_ahead, check_guards, default_author, submit, SubmitOptions};
use crate::cmd::operator::{
    block_on, node_statuses, CommandReport, ExitStatus, OperatorSettings, DEFAULT_CONFIG,
};
use anyhow::{Context, Result};
use argh::FromArgs;
use quetzalhill_core::catalogue::guard::GuardKind;
use quetzalhill_core::ids::RevisionNumber;
use quetzalhill_store::catalogue::load::{load, load_history};
use quetzalhill_store::catalogue::plan::{content_at, plan_rollback, PlanError};
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;

/// Make a new revision with the content of an earlier one. The guards and exit statuses are those of `apply`.
#[derive(Debug, FromArgs)]
struct RollbackArgs {
    /// revision whose content the new revision gets
    #[argh(positional, arg_name = "REVISION")]
    revision: RevisionNumber,
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
    /// allow a change that leaves callers of an address without an endpoint
    #[argh(switch)]
    allow_no_endpoints: bool,
    /// allow an address to move from one service to another
    #[argh(switch)]
    allow_address_move: bool,
    /// allow a limit below the current use
    #[argh(switch)]
    allow_limit_in_use: bool,
    /// allow a change of a large share of the catalogue
    #[argh(switch)]
    allow_large_change: bool,
    /// allow a change of services although no node reports their current use
    #[argh(switch)]
    allow_unknown_use: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl RollbackArgs {
    fn options(&self) -> SubmitOptions {
        let flags = [
            (self.allow_no_endpoints, GuardKind::NoEndpoints),
            (self.allow_address_move, GuardKind::AddressMove),
            (self.allow_limit_in_use, GuardKind::LimitInUse),
            (self.allow_large_change, GuardKind::LargeChange),
            (self.allow_unknown_use, GuardKind::UnknownUse),
        ];
        let allowed = flags.iter().filter(|(is_set, _)| *is_set);
        SubmitOptions {
            author: self.author.clone(),
            allowed: allowed.map(|(_, kind)| *kind).collect(),
            wait: self.wait.then(|| Duration::from_secs(self.wait_limit)),
        }
    }
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the settings cannot be read, or as [`execute`] does; nothing was changed.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: RollbackArgs = match parse(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    let settings = OperatorSettings::read(&args.config)?;
    let options = args.options();
    let revision = args.revision;
    let report = block_on(async move { execute(&settings, revision, &options).await })?;
    Ok(report.print(args.json))
}

/// Makes a new revision with the content of an earlier one, unless the change is refused.
///
/// # Errors
///
/// Fails if the catalogue or its history cannot be read from the store, the history does not reach back to the
/// revision, or the change cannot be planned; nothing was changed.
pub async fn execute(
    settings: &OperatorSettings,
    revision: RevisionNumber,
    options: &SubmitOptions,
) -> Result<CommandReport> {
    let store = settings.open_store().await?;
    let current = load(&store).await.context("reading the catalogue")?;
    let history = load_history(&store).await.context("reading the history")?;
    let answers = node_statuses(settings).await;
    if let Some(report) = check_fleet_ahead(&current, &answers) {
        return Ok(report);
    }
    let content = content_at(&current.snapshot, &history, revision)?;
    let planned = match plan_rollback(&current, content, &options.stamp()) {
        Ok(planned) => planned,
        Err(PlanError::Unchanged) => {
            let current_revision = current.snapshot.revision;
            let text = format!(
                "revision {current_revision} already has the content of revision {revision}"
            );
            let json = json!({ "outcome": "unchanged", "revision": current_revision });
            return Ok(CommandReport::new(ExitStatus::Done, text, json));
        }
        Err(error) => return Err(error.into()),
    };
    if let Some(report) = check_guards(settings, &current, &planned.change, &answers, options) {
        return Ok(report);
    }
    Ok(submit(settings, &store, &planned, options).await)
}
