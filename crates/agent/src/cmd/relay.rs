//! `quetzalhill-agent relay SETTINGS.toml`: runs an agent for opaque flows.

use crate::relay::run;
use crate::relay::settings::{check, RelaySettings};
use anyhow::Result;
use argh::FromArgs;
use quetzalhill_node::log;
use quetzalhill_node::relay::signals::StopSignals;
use quetzalhill_node::settings::read;

/// Run the agent of one upstream for opaque flows until SIGTERM or SIGINT. The upstream keeps its flows meanwhile.
/// SIGHUP checks the settings file again.
#[derive(Debug, FromArgs)]
pub(super) struct RelayArgs {
    /// settings file in TOML
    #[argh(positional, arg_name = "SETTINGS.toml")]
    settings: String,
}

/// Runs the command.
///
/// # Errors
///
/// Says which setting or address is wrong, or that a thread failed.
pub(super) fn run(args: &RelayArgs) -> Result<()> {
    let signals = StopSignals::new(&args.settings)?;
    let settings: RelaySettings = read(&args.settings, check)?;
    log::init(&settings.log)?;
    let agent = run::start(settings)?;
    signals.wait(|| {
        let settings: RelaySettings = read(&args.settings, check)?;
        log::set_level(&settings.log)
    });
    let stopped = agent.stop();
    log::flush();
    stopped
}
