//! Signals of a relay process.

use crate::event::{emit, EventCode};
use anyhow::{Context, Result};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Handlers that stand before the threads start, so that an early signal is not lost.
#[derive(Debug)]
pub struct StopSignals {
    signals: Signals,
}

impl StopSignals {
    /// Sets up the handlers.
    ///
    /// # Errors
    ///
    /// The process cannot handle the signals.
    pub fn new() -> Result<Self> {
        let signals = Signals::new([SIGHUP, SIGINT, SIGTERM]).context("signal handlers")?;
        Ok(Self { signals })
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP calls `reload`, whose error leaves the settings in force.
    pub fn wait(mut self, mut reload: impl FnMut() -> Result<()>) {
        for signal in self.signals.forever() {
            if signal != SIGHUP {
                return;
            }
            match reload() {
                Ok(()) => emit(EventCode::SettingsReloaded, &[]),
                Err(error) => emit(
                    EventCode::SettingsInvalid,
                    &[("error", &format!("{error:#}"))],
                ),
            }
        }
    }
}
