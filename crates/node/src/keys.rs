//! Control keys from files.

use anyhow::{bail, Context, Result};
use quetzalhill_wire::key::{ControlKey, KeyNumber, KeyRing, KEY_BYTES};
use std::fs;
use std::time::SystemTime;

/// Reads a key file: a number from 1 to 255, a space and 64 hexadecimal digits.
///
/// # Errors
///
/// Says which file is wrong and what it should hold; never quotes the key.
pub fn read_key(path: &str) -> Result<ControlKey> {
    let text = fs::read_to_string(path).with_context(|| format!("key file {path}"))?;
    parse_key(&text).with_context(|| format!("key file {path}"))
}

/// Reads the key ring of a node; `previous` is the file of a second valid key.
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

/// Follows the key files of a node.
#[derive(Debug)]
pub struct KeyWatch {
    current: String,
    previous: Option<String>,
    seen: [Option<SystemTime>; 2],
}

impl KeyWatch {
    /// Starts to follow the files from which the ring in force was read.
    pub fn new(current: &str, previous: Option<&str>) -> Self {
        let mut watch = Self {
            current: current.into(),
            previous: previous.map(String::from),
            seen: [None; 2],
        };
        watch.seen = watch.stamps();
        watch
    }

    /// Returns the ring in the files if one of them was written since the last call.
    ///
    /// # Errors
    ///
    /// As for [`read_ring`]; the ring in force should stay.
    pub fn check(&mut self) -> Option<Result<KeyRing>> {
        let stamps = self.stamps();
        if stamps == self.seen {
            return None;
        }
        self.seen = stamps;
        Some(read_ring(&self.current, self.previous.as_deref()))
    }

    fn stamps(&self) -> [Option<SystemTime>; 2] {
        [Some(&self.current), self.previous.as_ref()].map(|path| {
            let metadata = fs::metadata(path?).ok()?;
            metadata.modified().ok()
        })
    }
}

fn parse_key(text: &str) -> Result<ControlKey> {
    const SHAPE: &str = "expected a number from 1 to 255, a space and 64 hexadecimal digits";
    let (number, digits) = text.trim().split_once(' ').context(SHAPE)?;
    let number: KeyNumber = number.parse().ok().filter(|&n| n > 0).context(SHAPE)?;
    if digits.len() != 2 * KEY_BYTES || !digits.is_ascii() {
        bail!(SHAPE);
    }
    let mut secret = [0_u8; KEY_BYTES];
    for (index, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&digits[2 * index..2 * index + 2], 16).context(SHAPE)?;
    }
    Ok(ControlKey::new(number, &secret))
}
