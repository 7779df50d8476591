//! Control key files that change while a node runs.

use quetzalhill_node::keys::KeyWatch;
use std::fs::{self, File};
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

/// Writes a file and sets its modification time to `age_s` seconds ago, so that the times of two writes differ whatever the
/// resolution of the file system.
fn write(path: &str, text: &str, age_s: u64) {
    fs::write(path, text).unwrap();
    let time = SystemTime::now() - Duration::from_secs(age_s);
    let file = File::options().write(true).open(path).unwrap();
    file.set_modified(time).unwrap();
}

/// Guards against a rotated key that is not loaded, and against an invalid file that replaces the keys in force.
#[test]
fn changed_keys_are_read_once() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("{}-watched.key", std::process::id()));
    let path = path.to_str().unwrap();
    let digits = "5a".repeat(32);
    write(path, &format!("1 {digits}\n"), 30);
    let mut watch = KeyWatch::new(path, None);
    assert!(watch.check().is_none());
    write(path, &format!("2 {digits}\n"), 20);
    let ring = watch.check().unwrap().unwrap();
    assert_eq!(ring.current().number(), 2);
    assert!(watch.check().is_none());
    write(path, "no key", 10);
    assert!(watch.check().unwrap().is_err());
    assert!(watch.check().is_none());
}
