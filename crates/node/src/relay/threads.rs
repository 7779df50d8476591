//! The set of traffic threads of a relay process.

use anyhow::{Context, Result};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};

/// Threads that run until a shared stop flag is set.
#[derive(Debug)]
pub struct TrafficThreads {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl TrafficThreads {
    /// Creates an empty set; its threads must end soon after `stop` is set.
    pub fn new(stop: Arc<AtomicBool>) -> Self {
        Self {
            stop,
            threads: Vec::new(),
        }
    }

    /// Starts a thread with this name.
    ///
    /// # Errors
    ///
    /// The thread cannot be started; the error names it.
    pub fn spawn(&mut self, name: &str, body: impl FnOnce() + Send + 'static) -> Result<()> {
        let thread = Builder::new().name(name.into()).spawn(body);
        self.threads
            .push(thread.with_context(|| format!("thread {name}"))?);
        Ok(())
    }

    /// Sets the stop flag and joins the threads.
    ///
    /// # Errors
    ///
    /// A thread had panicked; the error names it.
    pub fn stop(self) -> Result<()> {
        self.stop.store(true, Ordering::Release);
        for thread in self.threads {
            let name = thread.thread().name().unwrap_or_default().to_string();
            let ended = thread.join();
            anyhow::ensure!(ended.is_ok(), "the thread {name} panicked");
        }
        Ok(())
    }
}
