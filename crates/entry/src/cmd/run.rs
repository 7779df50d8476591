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

/// Exit status after a second signal.
const EXIT_AT_ONCE: i32 = 1;

/// Run an entry instance until SIGTERM or SIGINT. After the signal it forwards packets for `entry.linger_s`
/// seconds and exits with code 0; a second signal ends it at once with code 1. SIGHUP reads the key files again.
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
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM]).context("signal handlers")?;
    end_at_second_signal().context("signal handlers")?;
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

/// Makes the second SIGTERM or SIGINT end the process at once.
fn end_at_second_signal() -> io::Result<()> {
    let stopping = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        // The order matters: the first signal passes the check before it sets the flag.
        flag::register_conditional_shutdown(signal, EXIT_AT_ONCE, stopping.clone())?;
        flag::register(signal, stopping.clone())?;
    }
    Ok(())
}
