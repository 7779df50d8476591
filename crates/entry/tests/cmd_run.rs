//! The parts of the command `quetzalhill run` that can be tested within one process.

use quetzalhill::run::start;
use quetzalhill::settings::{check, EntrySettings};
use quetzalhill_node::settings::read;
use std::fs;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A directory for the files of one test, removed when it is dropped.
struct Workdir {
    path: PathBuf,
}

impl Workdir {
    fn new(name: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&path).expect("folder");
        Self { path }
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.path.join(name);
        fs::write(&path, text).expect("file");
        path.to_string_lossy().into_owned()
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        // A directory that cannot be removed does no harm.
        let _ = fs::remove_dir_all(&self.path);
    }
}

fn settings_text(key: &str) -> String {
    format!(
        r#"
        [node]
        zone = "a"
        control = "127.0.0.1:0"
        admin = "127.0.0.1:0"
        control_key = "{key}"
        [entry]
        data = "127.0.0.1:0"
        linger_s = 0
        [[entry.listen]]
        bind = "127.0.0.1:0"
        "#
    )
}

/// Guards against an entry that does not start from a settings file, or does not stop.
#[test]
fn entry_starts_and_stops_in_process() {
    let workdir = Workdir::new("entry_starts_and_stops");
    let key = workdir.write("key", &format!("1 {}", "5a".repeat(32)));
    let path = workdir.write("entry.toml", &settings_text(&key));
    let settings: EntrySettings = read(&path, check).expect("valid settings");
    let entry = start(settings).expect("entry");
    assert_eq!(entry.listen_addresses().len(), 1);
    assert_ne!(entry.data_address().port(), 0);
    entry.stop().expect("no thread panicked");
}

/// Guards against an error that does not name the missing key file.
#[test]
fn missing_key_file_is_named() {
    let workdir = Workdir::new("missing_key_file");
    let path = workdir.write("entry.toml", &settings_text("no-such-key"));
    let settings: EntrySettings = read(&path, check).expect("valid settings");
    let error = start(settings).expect_err("no key");
    assert!(format!("{error:#}").contains("no-such-key"), "{error:#}");
}

/// Guards against a key rotation that needs a restart, and against an invalid key file that replaces the current key.
#[test]
fn key_files_are_read_again() {
    let workdir = Workdir::new("key_files_are_read_again");
    let key = workdir.write("key", &format!("1 {}", "5a".repeat(32)));
    let path = workdir.write("entry.toml", &settings_text(&key));
    let settings: EntrySettings = read(&path, check).expect("valid settings");
    let entry = start(settings).expect("entry");
    let number = || entry.state().ring.load().current().number();
    workdir.write("key", "not a key");
    entry.reload_keys();
    workdir.write("key", &format!("2 {}", "5b".repeat(32)));
    let deadline = Instant::now() + Duration::from_secs(5);
    while number() == 1 && Instant::now() < deadline {
        sleep(Duration::from_millis(20));
    }
    assert_eq!(number(), 2);
    workdir.write("key", "not a key");
    entry.reload_keys();
    sleep(Duration::from_millis(200));
    assert_eq!(number(), 2);
    entry.stop().expect("stopped");
}
