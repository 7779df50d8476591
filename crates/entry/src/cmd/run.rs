//! `quetzalhill run SETTINGS.toml`: runs an entry instance.

use crate::cmd::parse_args;
use crate::run;
use crate::settings::{check, EntrySettings};
use anyhow::{Context, Result};
use argh::FromArgs;
use quetzalhill_node::settings::read;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use signal_hook::iterator::Signals;
use std::io;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Exit code after a second SIGTERM or SIGINT.
const EXIT_FORCED: i32 = 1;

/// Run an entry instance until SIGTERM or SIGINT. After the signal it forwards packets for `entry.linger_s`
/// seconds and exits with code 0; a second signal ends it immediately with code 1. SIGHUP reads the key files again.
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
/// Fails if the settings or a key file are not valid, an address cannot be bound or a thread fails; the error names
/// the setting, file, address or thread.
pub fn run(argv: &[&str]) -> Result<ExitCode> {
    let args: RunArgs = match parse_args(argv) {
        Ok(args) => args,
        Err(code) => return Ok(code),
    };
    let settings: EntrySettings = read(&args.settings, check)?;
    quetzalhill_node::log::init(&settings.log)?;
    // The signal handlers are installed before the threads start, so that an early signal is not lost.
    let mut signals =
        Signals::new([SIGHUP, SIGINT, SIGTERM]).context("installing the signal handlers")?;
    exit_on_second_signal().context("installing the signal handlers")?;
    let entry = run::start(settings)?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        entry.reload_keys();
    }
    entry.stop()?;
    quetzalhill_node::log::flush();
    Ok(ExitCode::SUCCESS)
}

/// Makes the second SIGTERM or SIGINT end the process immediately.
fn exit_on_second_signal() -> io::Result<()> {
    let stopping = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        // The order of the registrations matters. The first signal must check the flag before it sets it, otherwise
        // it would end the process itself.
        flag::register_conditional_shutdown(signal, EXIT_FORCED, stopping.clone())?;
        flag::register(signal, stopping.clone())?;
    }
    Ok(())
}
