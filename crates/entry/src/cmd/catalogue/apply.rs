//! `quetzalhill catalogue apply FILE`: replaces the catalogue in the store by a catalogue file.

use super::submit::{check_fleet_ahead, check_guards, default_author, submit, SubmitOptions};
use super::{parse, read_file};
use crate::cmd::operator::{
    block_on, node_statuses, CommandReport, ExitStatus, OperatorSettings, DEFAULT_CONFIG,
};
use anyhow::{Context, Result};
use argh::FromArgs;
use quetzalhill_core::catalogue::guard::GuardKind;
use quetzalhill_store::catalogue::load::load;
use quetzalhill_store::catalogue::plan::{plan_change, PlanError};
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;

/// Replace the catalogue in the store by a catalogue file. Services that are not in the file are removed. Guards
/// refuse changes that are likely to interrupt service. Exits with 0 when done, 3 if the file is not valid, 4 if
/// the change is refused, 5 if another operator changed the catalogue concurrently, 6 if the outcome is unknown, 7
/// if the change is not in force on all nodes after the wait.
#[derive(Debug, FromArgs)]
struct ApplyArgs {
    /// catalogue file in TOML
    #[argh(positional, arg_name = "FILE")]
    file: String,
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

impl ApplyArgs {
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
/// Fails if a file cannot be read or the catalogue cannot be read from the store; nothing was changed.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: ApplyArgs = match parse(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    let settings = OperatorSettings::read(&args.config)?;
    let options = args.options();
    let file = args.file.clone();
    let report = block_on(async move { execute(&settings, &file, &options).await })?;
    Ok(report.print(args.json))
}

/// Applies a catalogue file, unless the file is not valid or the change is refused.
///
/// # Errors
///
/// Fails if the file or the catalogue in the store cannot be read, or the change cannot be planned, for example
/// because it is too large; nothing was changed.
pub async fn execute(
    settings: &OperatorSettings,
    file: &str,
    options: &SubmitOptions,
) -> Result<CommandReport> {
    let services = match read_file(file)? {
        Ok(services) => services,
        Err(report) => return Ok(report),
    };
    let store = settings.open_store().await?;
    let current = load(&store).await.context("reading the catalogue")?;
    let answers = node_statuses(settings).await;
    if let Some(report) = check_fleet_ahead(&current, &answers) {
        return Ok(report);
    }
    let planned = match plan_change(&current, services, &options.stamp()) {
        Ok(planned) => planned,
        Err(PlanError::Unchanged) => {
            let revision = current.snapshot.revision;
            let text =
                format!("nothing to apply: revision {revision} already has the content of {file}");
            let json = json!({ "outcome": "unchanged", "revision": revision });
            return Ok(CommandReport::new(ExitStatus::Done, text, json));
        }
        Err(error) => return Err(error.into()),
    };
    if let Some(report) = check_guards(settings, &current, &planned.change, &answers, options) {
        return Ok(report);
    }
    Ok(submit(settings, &store, &planned, options).await)
}
