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

/// The key files of a node, which operators replace while it runs.
#[derive(Clone, Debug)]
pub struct KeyFiles {
    current: String,
    previous: Option<String>,
    /// Modification times of both files; none for a file that cannot be looked at.
    seen: [Option<SystemTime>; 2],
}

impl KeyFiles {
    /// Notes the modification times. Make it before the keys are read, so that no later change is missed.
    pub fn new(current: &str, previous: Option<&str>) -> Self {
        let mut files = Self {
            current: current.into(),
            previous: previous.map(Into::into),
            seen: [None; 2],
        };
        files.seen = files.modified();
        files
    }

    /// Returns the path of the file of the current key.
    pub fn current(&self) -> &str {
        &self.current
    }

    /// Returns whether a file has changed since the last look.
    pub fn has_changed(&self) -> bool {
        self.modified() != self.seen
    }

    /// Reads the keys again.
    ///
    /// # Errors
    ///
    /// As for [`read_ring`].
    pub fn reload(&mut self) -> Result<KeyRing> {
        self.seen = self.modified();
        read_ring(&self.current, self.previous.as_deref())
    }

    fn modified(&self) -> [Option<SystemTime>; 2] {
        let time = |path: &String| fs::metadata(path).and_then(|data| data.modified()).ok();
        [time(&self.current), self.previous.as_ref().and_then(time)]
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
