//! `quetzalhill run SETTINGS.toml`: runs an entry instance.

use crate::cmd::parse_args;
use crate::run;
use crate::settings::{check, EntrySettings};
use anyhow::{Context, Result};
use argh::FromArgs;
use quetzalhill_node::settings::read;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::process::ExitCode;

/// Run an entry instance until SIGTERM or SIGINT. After the signal it forwards packets for `entry.linger_s`
/// seconds and exits with code 0.
#[derive(Debug, FromArgs)]
struct RunArgs {
    /// settings file in TOML
    #[argh(positional, arg_name = "SETTINGS.toml")]
    settings: String,
}

/// Runs the command.
///
/// # Errors
///
/// Says which setting, key file or address is wrong, or that a thread failed.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: RunArgs = match parse_args(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    let settings: EntrySettings = read(&args.settings, check)?;
    quetzalhill_node::log::init(&settings.log)?;
    // The handlers stand before the threads start, so that an early signal is not lost.
    let mut signals = Signals::new([SIGINT, SIGTERM]).context("signal handlers")?;
    let entry = run::start(settings)?;
    let _signal = signals.forever().next();
    entry.stop()?;
    Ok(ExitCode::SUCCESS)
}
