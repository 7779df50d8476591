//! A folder for the files of one test.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// A folder that is removed at the end of the test.
#[derive(Debug)]
pub struct Workdir {
    path: PathBuf,
}

impl Workdir {
    /// Makes an empty folder; `base` is the test's `CARGO_TARGET_TMPDIR`.
    ///
    /// # Errors
    ///
    /// The folder cannot be made.
    pub fn new(base: &str, name: &str) -> io::Result<Self> {
        let path = Path::new(base).join(name);
        if path.exists() {
            fs::remove_dir_all(&path)?;
        }
        fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Writes a file and returns its path.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write(&self, name: &str, text: &str) -> io::Result<String> {
        let path = self.path.join(name);
        fs::write(&path, text)?;
        Ok(path.to_string_lossy().into_owned())
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        // A folder that stays behind does no harm.
        let _ = fs::remove_dir_all(&self.path);
    }
}
