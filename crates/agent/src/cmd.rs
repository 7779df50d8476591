//! The command line of `quetzalhill-agent`.
//!
//! `quetzalhill-agent SETTINGS.toml` runs an agent for HTTP requests, `quetzalhill-agent relay SETTINGS.toml` runs one
//! for opaque flows, and `quetzalhill-agent check-settings SETTINGS.toml` checks a settings file.

mod check_settings;
mod relay;

use crate::run;
use crate::settings::{check, AgentSettings};
use anyhow::{Context, Result};
use argh::FromArgs;
use quetzalhill_node::log;
use quetzalhill_node::settings::read;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::process::ExitCode;

/// Exit code of an invalid command line, as most programs use it.
const EXIT_USAGE: u8 = 2;

/// Run the agent of one upstream until SIGTERM or SIGINT. After the signal it accepts no new flows, finishes the open
/// ones for at most `agent.drain_limit_s` seconds, and exits with code 0. A second signal stops it at once.
#[derive(Debug, FromArgs)]
struct AgentArgs {
    /// settings file in TOML
    #[argh(positional, arg_name = "SETTINGS.toml")]
    settings: String,
}

/// Name of the command that runs an agent for opaque flows.
const RELAY_COMMAND: &str = "relay";

/// Name of the command that checks a settings file.
const CHECK_COMMAND: &str = "check-settings";

/// Runs the command line `argv` and returns the exit code of the process.
pub fn main(argv: &[&str]) -> ExitCode {
    match argv.get(1) {
        Some(&RELAY_COMMAND) => run_with(argv, 2, relay::run),
        Some(&CHECK_COMMAND) => run_with(argv, 2, check_settings::run),
        _ => run_with(argv, 1, run_agent),
    }
}

/// Parses the arguments after the first `words` of `argv` and runs the command.
fn run_with<T: FromArgs>(argv: &[&str], words: usize, run: fn(&T) -> Result<()>) -> ExitCode {
    let split = argv.len().min(words);
    let args = match T::from_args(&argv[..split], &argv[split..]) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quetzalhill-agent: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_agent(args: &AgentArgs) -> Result<()> {
    let settings: AgentSettings = read(&args.settings, check)?;
    log::init(&settings.log)?;
    // The handlers are installed before the threads start, so that an early signal is not lost.
    let mut signals = Signals::new([SIGINT, SIGTERM]).context("installing the signal handlers")?;
    let agent = run::start(settings)?;
    let _signal = signals.forever().next();
    agent.drain();
    let handle = signals.handle();
    let second_signal = std::thread::spawn(move || signals.forever().next().is_some());
    // A second signal ends the wait.
    let drained = agent.wait_drained(|| second_signal.is_finished());
    handle.close();
    let stopped = match drained {
        true => agent.stop(),
        false => agent.stop_now(),
    };
    log::flush();
    stopped
}
