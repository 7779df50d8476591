//! Standard output of a process when the reader of the pipe stops reading.

use quetzalhill_node::output::LineQueue;
use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An output that accepts one line and then blocks until the sender of `release` is dropped.
struct BlockedPipe {
    release: Receiver<()>,
    lines: u32,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedPipe {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.lines += 1;
        self.written
            .lock()
            .expect("bytes")
            .extend_from_slice(buffer);
        if self.lines > 1 {
            // Returns an error once the test drops the sender.
            let _ = self.release.recv();
        }
        Ok(buffer.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the sum of the lost lines that the output reports; one report may be written in several parts.
fn reported_losses(written: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(written).into_owned();
    let mut lost = 0;
    for part in text.split("count=").skip(1) {
        let digits: String = part.chars().take_while(char::is_ascii_digit).collect();
        lost += digits.parse::<u64>().expect("a count");
    }
    lost
}

/// Guards against threads that block on logging because nobody reads the log, and against lost lines that are not counted.
#[test]
fn full_pipe_blocks_no_thread_and_lost_lines_are_counted() {
    let (sender, release) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let pipe = BlockedPipe {
        release,
        lines: 0,
        written: written.clone(),
    };
    let queue = LineQueue::start(pipe).expect("a thread");
    let start = Instant::now();
    for _ in 0..100_000 {
        queue.push("line\n".into());
    }
    let elapsed = start.elapsed();
    assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
    // Once released, the writer writes the queued lines, each after a report of the lines lost before it.
    drop(sender);
    queue.flush();
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let lost = queue.lost_lines() + reported_losses(&written.lock().expect("bytes"));
        if (90_000..100_000).contains(&lost) {
            return;
        }
        assert!(Instant::now() < deadline, "{lost} lines lost");
        std::thread::sleep(Duration::from_millis(10));
    }
}
