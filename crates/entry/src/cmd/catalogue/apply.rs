//! `quetzalhill catalogue apply FILE`: brings a catalogue file into force.

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

/// Make the catalogue in the store as a file has it. Services that the file does not name are removed. Guards
/// refuse changes that are likely to interrupt service. Exits with 0 when done, 3 if the file is not valid, 4 if
/// the change is refused, 5 if somebody else was first, 6 if the outcome is unknown, 7 if it is not in force
/// everywhere after the wait.
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
    /// wait until the nodes have the change in force
    #[argh(switch)]
    wait: bool,
    /// longest wait in seconds, 30 by default
    #[argh(option, default = "30")]
    wait_limit: u64,
    /// allow a change after which callers of an address find no endpoint
    #[argh(switch)]
    allow_no_endpoints: bool,
    /// allow an address to move from one service to another
    #[argh(switch)]
    allow_address_move: bool,
    /// allow a limit under what is in use
    #[argh(switch)]
    allow_limit_in_use: bool,
    /// allow a change of a large part of the catalogue
    #[argh(switch)]
    allow_large_change: bool,
    /// allow a change of services while no node tells what is in use
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
        let allowed = flags.iter().filter(|(given, _)| *given);
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
/// A file cannot be read or the store cannot be asked; nothing was changed.
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

/// Applies a file.
///
/// # Errors
///
/// The file cannot be read or the store cannot be asked; nothing was changed.
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
            let text = format!("revision {revision} is already as in {file}");
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
