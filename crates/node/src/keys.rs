//! Reads control keys from files and detects when the files change.

use anyhow::{bail, Context, Result};
use quetzalhill_wire::key::{ControlKey, KeyNumber, KeyRing, KEY_BYTES};
use std::fs;
use std::time::SystemTime;

/// Reads a key file: a number from 1 to 255, a space and 64 hexadecimal digits.
///
/// # Errors
///
/// The file cannot be read or has the wrong format. The error names the file and the expected format, never the key.
pub fn read_key(path: &str) -> Result<ControlKey> {
    let text = fs::read_to_string(path).with_context(|| format!("key file {path}"))?;
    parse_key(&text).with_context(|| format!("key file {path}"))
}

/// Reads the key ring of a node; `previous` is the file of a second key that is also accepted.
///
/// # Errors
///
/// As for [`read_key`], and if both keys have the same number.
pub fn read_ring(current: &str, previous: Option<&str>) -> Result<KeyRing> {
    let key = read_key(current)?;
    let Some(path) = previous else {
        return Ok(KeyRing::new(key, None));
    };
    let other = read_key(path)?;
    if other.number() == key.number() {
        bail!(
            "key files {current} and {path} have the same number {}",
            key.number()
        );
    }
    Ok(KeyRing::new(key, Some(other)))
}

/// Detects changes of a node's key files by their modification times.
#[derive(Debug)]
pub struct KeyWatch {
    current: String,
    previous: Option<String>,
    last_modified: [Option<SystemTime>; 2],
}

impl KeyWatch {
    /// Starts to watch the files from which the ring in force is read. Create the watch before that read, so that no change is
    /// missed.
    pub fn new(current: &str, previous: Option<&str>) -> Self {
        let mut watch = Self {
            current: current.into(),
            previous: previous.map(String::from),
            last_modified: [None; 2],
        };
        watch.last_modified = watch.modification_times();
        watch
    }

    /// Reads the ring from the files if one of them was written since the last call.
    ///
    /// # Errors
    ///
    /// As for [`read_ring`]; the caller keeps the ring in force.
    pub fn check(&mut self) -> Option<Result<KeyRing>> {
        if self.modification_times() == self.last_modified {
            return None;
        }
        Some(self.reload())
    }

    /// Reads the ring from the files even if they have not changed, for SIGHUP.
    ///
    /// # Errors
    ///
    /// As for [`KeyWatch::check`].
    pub fn reload(&mut self) -> Result<KeyRing> {
        // The times are taken before the read, so that the next check detects a write during the read.
        self.last_modified = self.modification_times();
        read_ring(&self.current, self.previous.as_deref())
    }

    fn modification_times(&self) -> [Option<SystemTime>; 2] {
        [Some(&self.current), self.previous.as_ref()].map(|path| {
            let metadata = fs::metadata(path?).ok()?;
            metadata.modified().ok()
        })
    }
}

fn parse_key(text: &str) -> Result<ControlKey> {
    const KEY_FORMAT: &str = "expected a number from 1 to 255, a space and 64 hexadecimal digits";
    let (number, digits) = text.trim().split_once(' ').context(KEY_FORMAT)?;
    let number: KeyNumber = number.parse().ok().filter(|&n| n > 0).context(KEY_FORMAT)?;
    if digits.len() != 2 * KEY_BYTES || !digits.is_ascii() {
        bail!(KEY_FORMAT);
    }
    let mut secret = [0_u8; KEY_BYTES];
    for (index, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&digits[2 * index..2 * index + 2], 16).context(KEY_FORMAT)?;
    }
    Ok(ControlKey::new(number, &secret))
}
