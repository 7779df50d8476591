//! `quetzalhill-agent relay SETTINGS.toml`: runs an agent for opaque flows.

use crate::relay::run;
use crate::relay::settings::{check, RelaySettings};
use anyhow::Result;
use argh::FromArgs;
use quetzalhill_node::log;
use quetzalhill_node::relay::signals::StopSignals;
use quetzalhill_node::settings::read;

/// Run the agent of one upstream for opaque flows until SIGTERM or SIGINT. The upstream keeps its flows after the agent
/// has stopped. SIGHUP or a change of the settings file makes it read the file again and apply the log level.
#[derive(Debug, FromArgs)]
pub(super) struct RelayArgs {
    /// settings file in TOML
    #[argh(positional, arg_name = "SETTINGS.toml")]
    settings: String,
}

/// Runs an agent for opaque flows until a signal stops it.
///
/// # Errors
///
/// Returns an error that names the invalid setting or address, or the thread that failed.
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
