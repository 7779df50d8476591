//! `quetzalhill catalogue check FILE`: checks a catalogue file without contacting the store.

use super::{parse, read_file};
use crate::cmd::operator::{CommandReport, ExitStatus};
use anyhow::Result;
use argh::FromArgs;
use serde_json::json;
use std::process::ExitCode;

/// Check a catalogue file. Exits with 0 if it is valid and with 3 if it is not.
#[derive(Debug, FromArgs)]
struct CheckArgs {
    /// catalogue file in TOML
    #[argh(positional, arg_name = "FILE")]
    file: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the file cannot be read.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: CheckArgs = match parse(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    Ok(execute(&args.file)?.print(args.json))
}

/// Checks a catalogue file and reports its errors or its number of services.
///
/// # Errors
///
/// Fails if the file cannot be read.
pub fn execute(file: &str) -> Result<CommandReport> {
    let services = match read_file(file)? {
        Ok(services) => services,
        Err(report) => return Ok(report),
    };
    let count = services.len();
    let text = format!("{file}: {count} services, no errors");
    let json = json!({ "outcome": "valid", "services": count });
    Ok(CommandReport::new(ExitStatus::Done, text, json))
}
