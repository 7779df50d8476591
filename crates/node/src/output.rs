//! Standard output behind a bounded queue, so that a reader that stops reading blocks only the writer thread.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, OnceLock};
use std::thread::Builder;
use std::time::Duration;

/// Capacity of the queue in lines; about 200 KB.
const QUEUE_LINES: usize = 1_024;

/// Longest wait for the writer at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

enum OutputItem {
    Line(String),
    Flush(SyncSender<()>),
}

/// Bounded queue of lines for the writer thread; lines that do not fit are counted as lost.
#[derive(Debug)]
pub struct LineQueue {
    sender: SyncSender<OutputItem>,
    lost: Arc<AtomicU64>,
}

static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Returns the queue of the process and creates it on the first call.
///
/// # Errors
///
/// The writer thread cannot be started.
pub(crate) fn queue() -> std::io::Result<&'static LineQueue> {
    if let Some(queue) = QUEUE.get() {
        return Ok(queue);
    }
    let queue = LineQueue::start(std::io::stdout())?;
    Ok(QUEUE.get_or_init(|| queue))
}

impl LineQueue {
    /// Starts a thread that writes queued lines to `output`.
    ///
    /// # Errors
    ///
    /// The writer thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_LINES);
        let lost = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&lost);
        Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&receiver, output, &counter))?;
        Ok(Self { sender, lost })
    }

    /// Returns the number of lines lost since the writer last wrote their count to the output.
    pub fn lost_lines(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }

    /// Queues a line, or counts it as lost if the queue is full.
    pub fn push(&self, line: String) {
        match self.sender.try_send(OutputItem::Line(line)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.lost.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Waits until the lines queued so far are written, at most for [`FLUSH_LIMIT`].
    pub fn flush(&self) {
        let (sender, receiver) = sync_channel(1);
        if self.sender.try_send(OutputItem::Flush(sender)).is_ok() {
            // If the writer does not finish in time, its lines are lost when the process ends.
            let _ = receiver.recv_timeout(FLUSH_LIMIT);
        }
    }
}

fn write_lines(receiver: &Receiver<OutputItem>, mut output: impl Write, lost: &AtomicU64) {
    for item in receiver {
        let line = match item {
            OutputItem::Line(line) => line,
            OutputItem::Flush(done) => {
                // The caller may have stopped waiting.
                let _ = done.try_send(());
                continue;
            }
        };
        let count = lost.swap(0, Ordering::Relaxed);
        if count > 0 {
            // If standard output is closed, the error cannot be reported anywhere.
            let _ = writeln!(output, "log-lines-lost count={count}");
        }
        let _ = output.write_all(line.as_bytes());
    }
}
