//! `quetzalhill-agent check-settings SETTINGS.toml`: checks the settings file of an agent.

use crate::relay::settings::{check as check_relay, RelaySettings};
use crate::settings::{check, AgentSettings};
use anyhow::Result;
use argh::FromArgs;
use quetzalhill_node::settings::{has_section, read};

/// Check the settings file of an agent, or of an agent for opaque flows if it has a section `[relay]`, and start
/// nothing. Exits with code 0 if every value is allowed, and with 1 otherwise.
#[derive(Debug, FromArgs)]
pub(super) struct CheckArgs {
    /// settings file in TOML
    #[argh(positional, arg_name = "SETTINGS.toml")]
    settings: String,
}

/// Checks the file and prints that it is valid.
///
/// # Errors
///
/// Returns an error that names the file, the key, the invalid value and the allowed values.
pub(super) fn run(args: &CheckArgs) -> Result<()> {
    let path = &args.settings;
    if has_section(path, "relay")? {
        read::<RelaySettings>(path, check_relay)?;
    } else {
        read::<AgentSettings>(path, check)?;
    }
    println!("{path}: ok");
    Ok(())
}
