//! `quetzalhill catalogue diff FILE`: compares a catalogue file with the store.

use super::{change_json, change_text, parse, read_file};
use crate::cmd::operator::{block_on, CommandReport, ExitStatus, OperatorSettings, DEFAULT_CONFIG};
use anyhow::{Context, Result};
use argh::FromArgs;
use quetzalhill_core::catalogue::change::diff;
use quetzalhill_core::catalogue::CatalogueSnapshot;
use quetzalhill_store::catalogue::load::load;
use serde_json::json;
use std::process::ExitCode;

/// Show what applying a catalogue file would change. Exits with 0 if there is no difference, with 8 if there is one,
/// and with 3 if the file is not valid.
#[derive(Debug, FromArgs)]
struct DiffArgs {
    /// catalogue file in TOML
    #[argh(positional, arg_name = "FILE")]
    file: String,
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
/// Fails if a file cannot be read or the catalogue cannot be read from the store.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: DiffArgs = match parse(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    let settings = OperatorSettings::read(&args.config)?;
    let file = args.file.clone();
    let report = block_on(async move { execute(&settings, &file).await })?;
    Ok(report.print(args.json))
}

/// Compares a catalogue file with the catalogue in the store.
///
/// # Errors
///
/// Fails if the file or the catalogue in the store cannot be read.
pub async fn execute(settings: &OperatorSettings, file: &str) -> Result<CommandReport> {
    let services = match read_file(file)? {
        Ok(services) => services,
        Err(report) => return Ok(report),
    };
    let store = settings.open_store().await?;
    let current = load(&store).await.context("reading the catalogue")?;
    let desired = CatalogueSnapshot {
        revision: current.snapshot.revision,
        services,
    };
    let change = diff(&current.snapshot, &desired);
    let json = json!({ "revision": desired.revision, "changes": change_json(&change) });
    if change.is_empty() {
        let text = format!("no difference from revision {}", desired.revision);
        return Ok(CommandReport::new(ExitStatus::Done, text, json));
    }
    let text = change_text(&change);
    Ok(CommandReport::new(ExitStatus::Different, text, json))
}
