//! `quetzalhill catalogue show`: prints the catalogue in the store.

use super::parse;
use crate::catalogue_file::to_toml;
use crate::cmd::operator::{
    block_on, format_time, CommandReport, ExitStatus, OperatorSettings, DEFAULT_CONFIG,
};
use anyhow::{Context, Result};
use argh::FromArgs;
use quetzalhill_store::catalogue::load::load;
use serde_json::json;
use std::process::ExitCode;

/// Print the catalogue in the store, as a file that `apply` accepts.
#[derive(Debug, FromArgs)]
struct ShowArgs {
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
/// Fails if the settings or the catalogue in the store cannot be read.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: ShowArgs = match parse(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    let settings = OperatorSettings::read(&args.config)?;
    let report = block_on(async move { execute(&settings).await })?;
    Ok(report.print(args.json))
}

/// Reports the catalogue in the store as a catalogue file, with the revision, author and time in a comment.
///
/// # Errors
///
/// Fails if the catalogue cannot be read from the store.
pub async fn execute(settings: &OperatorSettings) -> Result<CommandReport> {
    let store = settings.open_store().await?;
    let current = load(&store).await.context("reading the catalogue")?;
    let json = json!({ "head": current.head.head, "catalogue": current.snapshot });
    let text = match &current.head.head {
        Some(head) => format!(
            "# revision {}, by {} at {}\n\n{}",
            head.revision,
            head.author,
            format_time(head.time_ms),
            to_toml(&current.snapshot.services)
        ),
        None => "# the store holds no catalogue".into(),
    };
    Ok(CommandReport::new(ExitStatus::Done, text, json))
}
