//! Nodes as processes of their own, which can be killed, paused and stopped.
//!
//! The test harness starts its own executable again with a hidden first argument. A process ends with its handle,
//! and by itself when the harness is gone, so that none stays behind.

use anyhow::{bail, Context, Result};
use rustix::process::{kill_process, Pid, Signal};
use serde::Serialize;
use std::fs::{self, File};
use std::io::Read;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, ExitCode, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// First argument of a process that is an entry.
const ENTRY_ARGUMENT: &str = "node-entry";

/// First argument of a process that is an agent.
const AGENT_ARGUMENT: &str = "node-agent";

/// First argument of a process that is an entry of the relay.
const RELAY_ENTRY_ARGUMENT: &str = "relay-entry";

/// First argument of a process that is an agent of the relay.
const RELAY_AGENT_ARGUMENT: &str = "relay-agent";

/// Status with which a node ends when the harness is gone.
const ORPHAN_STATUS: i32 = 3;

/// Added to a signal's number in the exit status, as shells do.
pub const SIGNAL_BASE: i32 = 128;

/// Time between two looks at a process that is to end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Lines of a log that are shown.
const LOG_TAIL_LINES: usize = 6;

/// What a process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessKind {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
    /// An entry of the relay.
    RelayEntry,
    /// An agent of the relay.
    RelayAgent,
}

/// A node that runs or has ended.
#[derive(Debug)]
pub struct NodeProcess {
    kind: ProcessKind,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    _stdin: Option<ChildStdin>,
    status: Option<i32>,
}

impl NodeProcess {
    /// Writes the settings file and starts the process; `name` is that of its files in `folder`.
    ///
    /// # Errors
    ///
    /// A file cannot be written or the process cannot be started.
    pub fn start(
        kind: ProcessKind,
        folder: &Path,
        name: &str,
        settings: &impl Serialize,
    ) -> Result<Self> {
        let path = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        fs::write(&path, toml::to_string(settings)?)?;
        let mut child = spawn(kind, &path, &log)?;
        Ok(Self {
            kind,
            settings: path,
            log,
            _stdin: child.stdin.take(),
            child,
            status: None,
        })
    }

    /// Kills the process if it still runs, and starts it again with the same settings.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn restart(&mut self) -> Result<()> {
        self.kill()?;
        self.child = spawn(self.kind, &self.settings, &self.log)?;
        self._stdin = self.child.stdin.take();
        self.status = None;
        Ok(())
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.exit_status().is_none()
    }

    /// Returns the exit status, or 128 and the signal's number, once the process has ended.
    pub fn exit_status(&mut self) -> Option<i32> {
        if self.status.is_none() {
            let ended = self.child.try_wait().ok().flatten()?;
            let signal = ended.signal().map(|signal| SIGNAL_BASE + signal);
            self.status = ended.code().or(signal);
        }
        self.status
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        if let Some(status) = self.exit_status() {
            bail!("the process has ended with status {status}");
        }
        // The process has not been waited for, so that its id is not in use by another.
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// The process cannot be waited for.
    pub fn kill(&mut self) -> Result<()> {
        if self.exit_status().is_some() {
            return Ok(());
        }
        self.child.kill()?;
        self.child.wait()?;
        self.exit_status();
        Ok(())
    }

    /// Waits for the end of the process and returns its exit status, or nothing after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = self.exit_status() {
                return Some(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.exit_status()
    }

    /// Returns the last lines of the log.
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // A process that cannot be killed has ended.
        let _ = self.kill();
    }
}

fn spawn(kind: ProcessKind, settings: &Path, log: &Path) -> Result<Child> {
    let argument = match kind {
        ProcessKind::Entry => ENTRY_ARGUMENT,
        ProcessKind::Agent => AGENT_ARGUMENT,
        ProcessKind::RelayEntry => RELAY_ENTRY_ARGUMENT,
        ProcessKind::RelayAgent => RELAY_AGENT_ARGUMENT,
    };
    let log = File::options().create(true).append(true).open(log)?;
    let errors = log.try_clone()?;
    Command::new(std::env::current_exe()?)
        .arg(argument)
        .arg(settings)
        .stdin(Stdio::piped())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .context("starting a node")
}

/// Runs the node that the arguments of this process ask for, or returns nothing if they ask for none. Programs that
/// run scenarios call it first.
pub fn run_node(arguments: &[String]) -> Option<ExitCode> {
    let [program, argument, settings] = arguments else {
        return None;
    };
    let kind = match argument.as_str() {
        ENTRY_ARGUMENT => ProcessKind::Entry,
        AGENT_ARGUMENT => ProcessKind::Agent,
        RELAY_ENTRY_ARGUMENT => ProcessKind::RelayEntry,
        RELAY_AGENT_ARGUMENT => ProcessKind::RelayAgent,
        _ => return None,
    };
    thread::spawn(exit_with_harness);
    Some(match kind {
        ProcessKind::Entry => run_entry(program, settings),
        ProcessKind::Agent => quetzalhill_agent::cmd::main(&[program, settings]),
        ProcessKind::RelayEntry => quetzalhill::cmd::main(&[program, "relay", settings]),
        ProcessKind::RelayAgent => quetzalhill_agent::cmd::main(&[program, "relay", settings]),
    })
}

fn run_entry(program: &str, settings: &str) -> ExitCode {
    quetzalhill::cmd::run::run(&[program, "run", settings]).unwrap_or_else(|error| {
        eprintln!("entry: {error:#}");
        ExitCode::FAILURE
    })
}

/// Ends this process when the pipe from the harness closes, which also happens when the harness is killed.
fn exit_with_harness() {
    let mut byte = [0; 1];
    // Nothing is ever sent, so that any return means the end of the pipe.
    let _ = std::io::stdin().read(&mut byte);
    std::process::exit(ORPHAN_STATUS);
}
