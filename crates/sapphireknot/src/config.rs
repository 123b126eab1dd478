//! Operator-provided configuration.
//!
//! [`document`] defines the entities, [`load`] parses them from YAML and reports every problem at once, [`check`]
//! detects invalid references and values, and [`note`] applies a release note to a document. Hosts install only
//! documents that pass [`check`].

pub mod check;
pub mod document;
pub mod load;
pub mod note;

use std::fmt;

use serde::{Deserialize, Serialize};

pub use self::{
    check::check_document,
    document::{
        ClientBlock, ConfigDocument, KeyEntry, LinkEntry, OrganisationEntry, RegionEntry,
        RouteEntry, ServerEntry, ServiceEntry, SpillEntry, TrafficPlan,
    },
    load::{load_document, load_note},
    note::{EntityPath, EntityValue, NoteItem, ReleaseNote, apply_note, conflicting_paths},
};

/// Validation error in a document or a release note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProblem {
    /// Path of the invalid field, such as `services[0].routes[2].timeout`.
    pub field: String,
    /// Rejected value.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl ConfigProblem {
    /// Creates a problem for `field`.
    pub fn new<F, V, A>(field: F, value: V, allowed: A) -> Self
    where
        F: Into<String>,
        V: fmt::Display,
        A: Into<String>,
    {
        Self { field: field.into(), value: value.to_string(), allowed: allowed.into() }
    }
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {:?}, allowed: {}", self.field, self.value, self.allowed)
    }
}
