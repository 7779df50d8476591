//! Standard output of a process whose reader stops reading.

use quetzalhill_node::output::LineQueue;
use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// A reader that takes one line and then nothing until its sender is dropped.
struct StuckPipe {
    release: Receiver<()>,
    lines: u32,
}

impl Write for StuckPipe {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.lines += 1;
        if self.lines > 1 {
            // The test is over when the sender has gone.
            let _ = self.release.recv();
        }
        Ok(buffer.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against traffic that stands still because nobody reads the log.
#[test]
fn full_pipe_holds_up_nobody_and_the_loss_is_counted() {
    let (sender, release) = channel();
    let queue = LineQueue::start(StuckPipe { release, lines: 0 }).expect("a thread");
    let start = Instant::now();
    for _ in 0..100_000 {
        queue.push("line\n".into());
    }
    let elapsed = start.elapsed();
    assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
    let lost = queue.lost();
    assert!((90_000..100_000).contains(&lost), "{lost} lines lost");
    drop(sender);
}
