//! Standard output of a process whose reader stops reading.

use quetzalhill_node::output::LineQueue;
use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A reader that takes one line and then nothing until its sender is dropped.
struct StuckPipe {
    release: Receiver<()>,
    lines: u32,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for StuckPipe {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.lines += 1;
        self.written
            .lock()
            .expect("bytes")
            .extend_from_slice(buffer);
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

/// Returns the lines that the output itself says are lost; its words may arrive in several pieces.
fn announced(written: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(written).into_owned();
    let mut lost = 0;
    for part in text.split("count=").skip(1) {
        let digits: String = part.chars().take_while(char::is_ascii_digit).collect();
        lost += digits.parse::<u64>().expect("a count");
    }
    lost
}

/// Guards against traffic that stands still because nobody reads the log.
#[test]
fn full_pipe_holds_up_nobody_and_the_loss_is_counted() {
    let (sender, release) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let pipe = StuckPipe {
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
    // The writer ends once it is released, and has then said how many lines were lost before each that it wrote.
    drop(sender);
    queue.flush();
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let lost = queue.lost() + announced(&written.lock().expect("bytes"));
        if (90_000..100_000).contains(&lost) {
            return;
        }
        assert!(Instant::now() < deadline, "{lost} lines lost");
        std::thread::sleep(Duration::from_millis(10));
    }
}
