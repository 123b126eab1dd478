//! Settings file of this process, which may be read again while it runs.

use std::{fs, io, path::PathBuf};

/// Settings file with the text that was read last.
#[derive(Debug, Clone)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    /// Reads the file at `path`.
    pub fn open(path: PathBuf) -> io::Result<Self> {
        let text = fs::read_to_string(&path)?;
        Ok(Self { path, text })
    }

    /// Path.
    pub fn path(&self) -> &PathBuf {
        &self.path
    }

    /// Text that was read last.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The text of the file now.
    pub fn read_text(&self) -> io::Result<String> {
        fs::read_to_string(&self.path)
    }

    /// Replaces the text that was read last.
    pub fn set_text(&mut self, text: String) {
        self.text = text;
    }
}
