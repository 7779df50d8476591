//! `quetzalhill relay SETTINGS.toml`: runs an entry for opaque flows.

use crate::cmd::parse_args;
use crate::relay::run;
use crate::relay::settings::{check, RelaySettings};
use anyhow::Result;
use argh::FromArgs;
use quetzalhill_node::log;
use quetzalhill_node::relay::signals::StopSignals;
use quetzalhill_node::settings::read;
use std::process::ExitCode;

/// Run an entry for opaque flows until SIGTERM or SIGINT. After the signal it forwards packets for
/// `relay.linger_ms` milliseconds and exits with code 0. After SIGHUP or a change of the settings file it reads the
/// file again and applies the log level.
#[derive(Debug, FromArgs)]
struct RelayArgs {
    /// settings file in TOML
    #[argh(positional, arg_name = "SETTINGS.toml")]
    settings: String,
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the settings are not valid, an address cannot be bound or a thread fails; the error names the setting,
/// address or thread.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: RelayArgs = match parse_args(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    let signals = StopSignals::new(&args.settings)?;
    let settings: RelaySettings = read(&args.settings, check)?;
    log::init(&settings.log)?;
    let entry = run::start(settings)?;
    signals.wait(|| {
        let settings: RelaySettings = read(&args.settings, check)?;
        log::set_level(&settings.log)
    });
    let stopped = entry.stop();
    log::flush();
    stopped.map(|()| ExitCode::SUCCESS)
}
