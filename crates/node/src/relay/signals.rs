//! Stops or reloads a relay process on signals and on changes of its settings file.

use crate::event::{emit, EventCode};
use anyhow::{Context, Result};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::fs;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::{sleep, Builder};
use std::time::Duration;

/// Time between two checks of the settings file, which the platform may change without sending a signal.
const FILE_INTERVAL: Duration = Duration::from_secs(2);

/// Command to the process, from a signal or a changed settings file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProcessCommand {
    /// Read the settings file again.
    Reload,
    /// Shut down gracefully.
    Stop,
}

/// Handlers of SIGHUP, SIGINT and SIGTERM. They are installed before the threads of the process start, so that an early
/// signal is not lost.
#[derive(Debug)]
pub struct StopSignals {
    commands: Receiver<ProcessCommand>,
}

impl StopSignals {
    /// Installs the handlers and starts to watch the file `settings`. The caller must read the file after this call, so that
    /// no change is missed.
    ///
    /// # Errors
    ///
    /// The process cannot handle the signals, or a thread cannot be started.
    pub fn new(settings: &str) -> Result<Self> {
        let signals = Signals::new([SIGHUP, SIGINT, SIGTERM]).context("signal handlers")?;
        let (sender, commands) = channel();
        // Read here, because the file may change before the thread runs.
        let content = fs::read(settings).ok();
        let (path, file_sender) = (settings.to_string(), sender.clone());
        Builder::new()
            .name("signals".into())
            .spawn(move || forward_signals(signals, &sender))
            .context("thread signals")?;
        Builder::new()
            .name("settings".into())
            .spawn(move || follow_file(&path, content, &file_sender))
            .context("thread settings")?;
        Ok(Self { commands })
    }

    /// Waits for SIGTERM or SIGINT. SIGHUP and a changed file call `reload`; its errors are logged, and the settings in
    /// force stay.
    pub fn wait(self, mut reload: impl FnMut() -> Result<()>) {
        for command in self.commands {
            if command == ProcessCommand::Stop {
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

fn forward_signals(mut signals: Signals, sender: &Sender<ProcessCommand>) {
    for signal in signals.forever() {
        let command = match signal {
            SIGHUP => ProcessCommand::Reload,
            _ => ProcessCommand::Stop,
        };
        if sender.send(command).is_err() {
            return;
        }
    }
}

/// Checks the file for changes until the receiver is dropped. A file that cannot be read is skipped, because its
/// replacement may be in progress.
fn follow_file(path: &str, mut last_content: Option<Vec<u8>>, sender: &Sender<ProcessCommand>) {
    loop {
        sleep(FILE_INTERVAL);
        let Ok(content) = fs::read(path) else {
            continue;
        };
        if last_content.as_ref() == Some(&content) {
            continue;
        }
        last_content = Some(content);
        if sender.send(ProcessCommand::Reload).is_err() {
            return;
        }
    }
}
