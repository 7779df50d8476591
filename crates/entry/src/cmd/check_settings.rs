//! `quetzalhill check-settings SETTINGS.toml`: checks the settings file of an entry.

use crate::cmd::parse_args;
use crate::relay::settings::{check as check_relay, RelaySettings};
use crate::settings::{check, EntrySettings};
use anyhow::Result;
use argh::FromArgs;
use quetzalhill_node::settings::{has_section, read};
use std::process::ExitCode;

/// Check the settings file of an entry without starting it. A file with a section `[relay]` is checked as that of
/// an entry for opaque flows. Exits with code 0 if every value is allowed, and with 1 otherwise.
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
/// Fails if the file cannot be read or a value is not allowed. The error names the file, the key, the value and the
/// allowed values.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: CheckArgs = match parse_args(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    check_file(&args.settings)?;
    println!("{}: ok", args.settings);
    Ok(ExitCode::SUCCESS)
}

/// Checks the settings file of an entry, or of an entry for opaque flows if it has a section `[relay]`.
///
/// # Errors
///
/// Fails if the file cannot be read or a value is not allowed. The error names the file, the key, the value and the
/// allowed values.
pub fn check_file(path: &str) -> Result<()> {
    if has_section(path, "relay")? {
        read::<RelaySettings>(path, check_relay)?;
    } else {
        read::<EntrySettings>(path, check)?;
    }
    Ok(())
}
