//! Runs entries and agents as processes, which can be killed, paused and stopped.
//!
//! The test harness starts its own executable again with a first argument that names the kind of node. Dropping the
//! handle kills the process, and a process exits by itself when the harness ends, so that none is left running.

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

/// Exit status of a node whose harness has ended.
const ORPHAN_STATUS: i32 = 3;

/// Offset of the exit status of a process that a signal ended: 128 plus the signal's number, as in shells.
pub const SIGNAL_BASE: i32 = 128;

/// Interval at which the end of a process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Lines at the end of a log that failure reports show.
const LOG_TAIL_LINES: usize = 6;

/// Kind of node that a process runs; selects the hidden argument and the program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessKind {
    /// An entry, with the settings of [`quetzalhill::settings`].
    Entry,
    /// An agent, with the settings of [`quetzalhill_agent::settings`].
    Agent,
    /// An entry of the relay, with the settings of [`quetzalhill::relay::settings`].
    RelayEntry,
    /// An agent of the relay, with the settings of [`quetzalhill_agent::relay::settings`].
    RelayAgent,
}

/// Handle of a node's process, which may have ended. Dropping it kills the process.
#[derive(Debug)]
pub struct NodeProcess {
    kind: ProcessKind,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    /// Write end of the pipe whose closing makes the process exit.
    _stdin: Option<ChildStdin>,
    status: Option<i32>,
}

impl NodeProcess {
    /// Writes the settings to `name`.toml in `folder` and starts the process, which logs to `name`.log there.
    ///
    /// # Errors
    ///
    /// The settings or the log file cannot be written, or the process cannot be started.
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

    /// Kills the process if it still runs, and starts it again with the same settings and log file.
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

    /// Returns whether the process runs or is paused.
    pub fn is_running(&mut self) -> bool {
        self.exit_status().is_none()
    }

    /// Returns the exit status once the process has ended; 128 plus the signal's number if a signal ended it.
    pub fn exit_status(&mut self) -> Option<i32> {
        if self.status.is_none() {
            let ended = self.child.try_wait().ok().flatten()?;
            let signal = ended.signal().map(|signal| SIGNAL_BASE + signal);
            self.status = ended.code().or(signal);
        }
        self.status
    }

    /// Sends a signal to the process, paused or not.
    ///
    /// # Errors
    ///
    /// The process has ended, or the signal cannot be sent.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        if let Some(status) = self.exit_status() {
            bail!("the process has ended with status {status}");
        }
        // The child has not been reaped, so its process id cannot have been reused.
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Kills the process with SIGKILL and waits for its end; does nothing if it has ended.
    ///
    /// # Errors
    ///
    /// The process cannot be killed or waited for.
    pub fn kill(&mut self) -> Result<()> {
        if self.exit_status().is_some() {
            return Ok(());
        }
        self.child.kill()?;
        self.child.wait()?;
        self.exit_status();
        Ok(())
    }

    /// Waits at most `limit` for the end of the process; returns its exit status as [`Self::exit_status`] does.
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

    /// Returns the last 6 lines of the log, or an empty text if the log cannot be read.
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // The error is ignored: a process that cannot be killed has ended.
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
        .context("cannot start the process of a node")
}

/// Runs a node in this process if the first argument names a kind of node, and returns its exit code; returns `None`
/// otherwise. Programs that use [`NodeProcess`] call this first, because it starts their executable again.
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

/// Exits this process when the harness closes the pipe to standard input or is killed.
fn exit_with_harness() {
    let mut byte = [0; 1];
    // The harness never writes, so any return means that the pipe is closed.
    let _ = std::io::stdin().read(&mut byte);
    std::process::exit(ORPHAN_STATUS);
}
