//! Settings file of this process, which may be read again while it runs.
//!
//! What the command line says goes before the file at each reading.

use std::{fs, io, path::PathBuf};

use sapphireknot::config::ConfigProblem;
use serde_json::{Map, Value};

use crate::settings_tree::parse_tree;

/// Field that the command line sets.
#[derive(Debug, Clone)]
pub struct FieldOverride {
    /// Path in the tree of the settings.
    pub field: &'static str,
    /// Value.
    pub value: String,
}

/// Settings file with the text that was read last.
#[derive(Debug, Clone)]
pub struct SettingsFile {
    path: PathBuf,
    overrides: Vec<FieldOverride>,
    text: String,
}

impl SettingsFile {
    /// Reads the file at `path`, in which `overrides` replace fields.
    pub fn open(path: PathBuf, overrides: Vec<FieldOverride>) -> io::Result<Self> {
        let text = fs::read_to_string(&path)?;
        Ok(Self { path, overrides, text })
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

    /// Tree of the text that was read last, with the overrides and not checked.
    pub fn tree(&self) -> Result<Value, Vec<ConfigProblem>> {
        let mut tree = parse_tree(&self.text)?;
        for FieldOverride { field, value } in &self.overrides {
            set_field(&mut tree, field, Value::String(value.clone()));
        }
        Ok(tree)
    }
}

fn set_field(tree: &mut Value, path: &str, value: Value) {
    if tree.is_null() {
        *tree = Value::Object(Map::new());
    }
    // A tree of another kind stays as it is and is reported by the check.
    let Value::Object(fields) = tree else { return };
    match path.split_once('.') {
        Some((first, rest)) => set_field(fields.entry(first).or_insert(Value::Null), rest, value),
        None => drop(fields.insert(path.to_owned(), value)),
    }
}
