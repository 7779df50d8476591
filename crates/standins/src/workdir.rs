//! Working folder for the files of one test.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// A folder that is removed with its content when this value is dropped.
#[derive(Debug)]
pub struct Workdir {
    path: PathBuf,
}

impl Workdir {
    /// Creates the folder `name` in `base`, the test's `CARGO_TARGET_TMPDIR`, and removes one that an earlier run left.
    ///
    /// # Errors
    ///
    /// Returns an error if an existing folder cannot be removed or the new one cannot be created.
    pub fn new(base: &str, name: &str) -> io::Result<Self> {
        let path = Path::new(base).join(name);
        if path.exists() {
            fs::remove_dir_all(&path)?;
        }
        fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Writes a file into the folder and returns its path.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write(&self, name: &str, text: &str) -> io::Result<String> {
        let path = self.path.join(name);
        fs::write(&path, text)?;
        Ok(path.to_string_lossy().into_owned())
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        // The next run removes a folder that remains.
        let _ = fs::remove_dir_all(&self.path);
    }
}
