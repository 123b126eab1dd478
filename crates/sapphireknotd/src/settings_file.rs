//! Settings file of this process, which can be reloaded at run time.
//!
//! The overrides of the command line are applied again at each reload.

use std::{fs, io, path::PathBuf};

use sapphireknot::config::ConfigProblem;
use serde_json::{Map, Value};

use crate::settings_tree::parse_tree;

/// Field overridden on the command line.
#[derive(Debug, Clone)]
pub struct FieldOverride {
    /// Path in the settings tree.
    pub field: &'static str,
    /// Value of the field.
    pub value: String,
}

/// Settings file with its last read text.
#[derive(Debug, Clone)]
pub struct SettingsFile {
    path: PathBuf,
    overrides: Vec<FieldOverride>,
    text: String,
}

impl SettingsFile {
    /// Reads the file at `path`; `overrides` replace fields of its tree.
    pub fn open(path: PathBuf, overrides: Vec<FieldOverride>) -> io::Result<Self> {
        let text = fs::read_to_string(&path)?;
        Ok(Self { path, overrides, text })
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &PathBuf {
        &self.path
    }

    /// Returns the last read text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Reads the current text of the file without storing it.
    pub fn read_text(&self) -> io::Result<String> {
        fs::read_to_string(&self.path)
    }

    /// Replaces the last read text.
    pub fn set_text(&mut self, text: String) {
        self.text = text;
    }

    /// Parses the last read text and applies the overrides, without validating the tree.
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
    // A tree that is not an object is left unchanged; validation reports it.
    let Value::Object(fields) = tree else { return };
    match path.split_once('.') {
        Some((first, rest)) => set_field(fields.entry(first).or_insert(Value::Null), rest, value),
        None => drop(fields.insert(path.to_owned(), value)),
    }
}
