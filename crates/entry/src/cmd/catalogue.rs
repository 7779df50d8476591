//! `quetzalhill catalogue COMMAND`: the operators' commands that read and change the catalogue.

pub mod apply;
pub mod check;
pub mod diff;
pub mod history;
pub mod restore;
pub mod rollback;
pub mod show;
pub mod submit;

use super::operator::{CommandReport, ExitStatus};
use super::parse_args_after;
use crate::catalogue_file;
use anyhow::{Context, Result};
use argh::FromArgs;
use quetzalhill_core::catalogue::change::{field_changes, CatalogueChange, ServiceChange};
use quetzalhill_core::catalogue::ServiceEntry;
use quetzalhill_core::ids::ServiceName;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::process::ExitCode;

/// Help text of `quetzalhill catalogue`, also printed if the command is missing or unknown.
pub const USAGE: &str = "\
Read and change the catalogue of services.

Usage:
    quetzalhill catalogue <command> [<arguments>...]

Commands:
    check      Check a catalogue file without contacting the store.
    diff       Compare a catalogue file with the store.
    apply      Replace the catalogue in the store by a catalogue file.
    show       Print the catalogue in the store.
    history    List the changes, newest first.
    rollback   Make a new revision with the content of an earlier one.
    restore    Write the catalogue of the nodes back to a store that has an older one.

Exit statuses:
    0 done                      5 concurrent change by another operator, nothing changed
    1 failed, nothing changed   6 unknown whether the change was made
    2 wrong command line        7 changed, but not in force on all nodes after the wait
    3 file not valid            8 diff found differences
    4 refused, nothing changed
";

/// Number of words before the arguments of a command: the program, `catalogue` and the command.
const COMMAND_WORDS: usize = 3;

/// Runs the command in `argv[2]`.
///
/// # Errors
///
/// Fails as the command does; the error names the file, setting or call.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    match argv.get(2) {
        Some(&"check") => check::run(argv),
        Some(&"diff") => diff::run(argv),
        Some(&"apply") => apply::run(argv),
        Some(&"show") => show::run(argv),
        Some(&"history") => history::run(argv),
        Some(&"rollback") => rollback::run(argv),
        Some(&"restore") => restore::run(argv),
        Some(&("--help" | "help")) => {
            print!("{USAGE}");
            Ok(ExitCode::SUCCESS)
        }
        _ => {
            eprint!("{USAGE}");
            Ok(ExitStatus::Usage.into())
        }
    }
}

/// Parses the arguments of a command of this group.
///
/// # Errors
///
/// Returns the exit code for the process if the help or a message about the arguments was printed.
fn parse<T: FromArgs>(argv: &[&str]) -> Result<T, ExitCode> {
    parse_args_after(argv, COMMAND_WORDS)
}

/// Reads a catalogue file. The inner error is the report of a file that is not valid.
///
/// # Errors
///
/// Fails if the file cannot be read.
fn read_file(path: &str) -> Result<Result<BTreeMap<ServiceName, ServiceEntry>, CommandReport>> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("reading the catalogue file {path}"))?;
    let errors = match catalogue_file::parse(path, &text) {
        Ok(services) => return Ok(Ok(services)),
        Err(errors) => errors,
    };
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    let list: Vec<Value> = errors
        .iter()
        .map(|error| {
            json!({
                "file": error.file,
                "line": error.line,
                "key": error.key,
                "value": error.value,
                "allowed": error.allowed,
            })
        })
        .collect();
    let json = json!({ "outcome": "invalid", "errors": list });
    Ok(Err(CommandReport::new(
        ExitStatus::Invalid,
        lines.join("\n"),
        json,
    )))
}

/// Formats a change as text, with one line per service and per changed field.
fn change_text(change: &CatalogueChange) -> String {
    let mut text = String::new();
    for (name, item) in change {
        // Writing to a String cannot fail.
        let _ = match item {
            ServiceChange::Added { .. } => writeln!(text, "+ {name}"),
            ServiceChange::Removed { .. } => writeln!(text, "- {name}"),
            ServiceChange::Changed { .. } => writeln!(text, "~ {name}"),
        };
        let ServiceChange::Changed { old, new } = item else {
            continue;
        };
        for field in field_changes(old, new) {
            let _ = writeln!(text, "    {}: {} -> {}", field.key, field.old, field.new);
        }
    }
    text
}

/// Formats a change as JSON.
fn change_json(change: &CatalogueChange) -> Value {
    let items: Vec<Value> = change
        .iter()
        .map(|(name, item)| match item {
            ServiceChange::Added { .. } => json!({ "service": name, "change": "added" }),
            ServiceChange::Removed { .. } => json!({ "service": name, "change": "removed" }),
            ServiceChange::Changed { old, new } => json!({
                "service": name,
                "change": "changed",
                "fields": field_changes(old, new),
            }),
        })
        .collect();
    json!(items)
}
