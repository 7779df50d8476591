//! Signals of a relay process, and changes of its settings file.

use crate::event::{emit, EventCode};
use anyhow::{Context, Result};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::fs;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::{sleep, Builder};
use std::time::Duration;

/// Time between two looks at the settings file, which the platform may change without a signal.
const FILE_INTERVAL: Duration = Duration::from_secs(2);

/// What a process is told from outside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProcessOrder {
    /// Read the settings file again.
    Reload,
    /// End.
    Stop,
}

/// Handlers that stand before the threads start, so that an early signal is not lost.
#[derive(Debug)]
pub struct StopSignals {
    orders: Receiver<ProcessOrder>,
}

impl StopSignals {
    /// Sets up the handlers, and follows the file `settings` from now on; the caller reads it afterwards.
    ///
    /// # Errors
    ///
    /// The process cannot handle the signals, or a thread cannot be started.
    pub fn new(settings: &str) -> Result<Self> {
        let signals = Signals::new([SIGHUP, SIGINT, SIGTERM]).context("signal handlers")?;
        let (sender, orders) = channel();
        // The file may change before its thread runs.
        let known = fs::read(settings).ok();
        let (path, file_sender) = (settings.to_string(), sender.clone());
        Builder::new()
            .name("signals".into())
            .spawn(move || pass_signals(signals, &sender))
            .context("thread signals")?;
        Builder::new()
            .name("settings".into())
            .spawn(move || follow_file(&path, known, &file_sender))
            .context("thread settings")?;
        Ok(Self { orders })
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP and a changed file call `reload`, whose error leaves the settings in force.
    pub fn wait(self, mut reload: impl FnMut() -> Result<()>) {
        for order in self.orders {
            if order == ProcessOrder::Stop {
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

fn pass_signals(mut signals: Signals, sender: &Sender<ProcessOrder>) {
    for signal in signals.forever() {
        let order = match signal {
            SIGHUP => ProcessOrder::Reload,
            _ => ProcessOrder::Stop,
        };
        if sender.send(order).is_err() {
            return;
        }
    }
}

/// Looks at the file until nobody waits for its changes. A file that cannot be read for a moment is being replaced.
fn follow_file(path: &str, mut known: Option<Vec<u8>>, sender: &Sender<ProcessOrder>) {
    loop {
        sleep(FILE_INTERVAL);
        let Ok(content) = fs::read(path) else {
            continue;
        };
        if known.as_ref() == Some(&content) {
            continue;
        }
        known = Some(content);
        if sender.send(ProcessOrder::Reload).is_err() {
            return;
        }
    }
}
