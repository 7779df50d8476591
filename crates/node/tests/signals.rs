//! Signals of a process, and changes of its settings file.

use anyhow::bail;
use quetzalhill_node::relay::signals::StopSignals;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::low_level::raise;
use std::fs;
use std::path::Path;
use std::sync::mpsc::channel;
use std::time::Duration;

/// Longest wait for a reload; the file is looked at every two seconds.
const LIMIT: Duration = Duration::from_secs(10);

/// Guards against settings that are changed without a signal and never come into force, against a reload that ends the
/// process because the file is invalid, and against a stop signal that is taken for a reload.
#[test]
fn changed_file_and_signals_reload_until_the_stop() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("signals.toml");
    fs::write(&path, "a = 1").expect("file");
    let signals = StopSignals::new(&path.to_string_lossy()).expect("handlers");
    let (sender, reloads) = channel();
    let waiting = std::thread::spawn(move || {
        signals.wait(|| {
            sender.send(()).expect("the test waits");
            bail!("an invalid value");
        });
    });
    fs::write(&path, "a = 2").expect("file");
    reloads.recv_timeout(LIMIT).expect("a reload by the file");
    raise(SIGHUP).expect("signal");
    reloads.recv_timeout(LIMIT).expect("a reload by the signal");
    assert!(!waiting.is_finished());
    raise(SIGTERM).expect("signal");
    waiting.join().expect("the wait ends");
}
