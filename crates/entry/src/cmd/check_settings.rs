//! `quetzalhill check-settings SETTINGS.toml`: checks the settings file of an entry.

use crate::cmd::parse_args;
use crate::relay::settings::{check as check_relay, RelaySettings};
use crate::settings::{check, EntrySettings};
use anyhow::Result;
use argh::FromArgs;
use quetzalhill_node::settings::{has_section, read};
use std::process::ExitCode;

/// Check the settings file of an entry, or of an entry for opaque flows if it has a section `[relay]`, and start
/// nothing. Exits with code 0 if every value is allowed, and with 1 otherwise.
#[derive(Debug, FromArgs)]
struct CheckArgs {
    /// settings file in TOML
    #[argh(positional, arg_name = "SETTINGS.toml")]
    settings: String,
}

/// Runs the command.
///
/// # Errors
///
/// Names the file, the key, the value seen and what is allowed.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: CheckArgs = match parse_args(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    check_file(&args.settings)?;
    println!("{}: ok", args.settings);
    Ok(ExitCode::SUCCESS)
}

/// Checks a file.
///
/// # Errors
///
/// Names the file, the key, the value seen and what is allowed.
pub fn check_file(path: &str) -> Result<()> {
    if has_section(path, "relay")? {
        read::<RelaySettings>(path, check_relay)?;
    } else {
        read::<EntrySettings>(path, check)?;
    }
    Ok(())
}
