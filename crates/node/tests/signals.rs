//! Reloads and stops by signals and by changes of the settings file.

use anyhow::bail;
use quetzalhill_node::relay::signals::StopSignals;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::low_level::raise;
use std::fs;
use std::path::Path;
use std::sync::mpsc::channel;
use std::time::Duration;

/// Longest wait for a reload; the file is checked every two seconds.
const RELOAD_LIMIT: Duration = Duration::from_secs(10);

/// Guards against a changed file that is not reloaded without a signal, against a failed reload that ends the process, and
/// against a SIGTERM that is handled as a reload.
#[test]
fn changed_file_and_signals_reload_until_the_stop() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("signals.toml");
    fs::write(&path, "a = 1").expect("file");
    let signals = StopSignals::new(&path.to_string_lossy()).expect("handlers");
    let (sender, reloads) = channel();
    let waiter = std::thread::spawn(move || {
        signals.wait(|| {
            sender.send(()).expect("the test waits");
            bail!("an invalid value");
        });
    });
    fs::write(&path, "a = 2").expect("file");
    reloads
        .recv_timeout(RELOAD_LIMIT)
        .expect("a reload by the file");
    raise(SIGHUP).expect("signal");
    reloads
        .recv_timeout(RELOAD_LIMIT)
        .expect("a reload by the signal");
    assert!(!waiter.is_finished());
    raise(SIGTERM).expect("signal");
    waiter.join().expect("the wait ends");
}
