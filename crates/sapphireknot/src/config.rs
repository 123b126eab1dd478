//! Operators' configuration.
//!
//! [`document`] holds the entities, [`load`] reads them from YAML and lists every problem at once, [`check`] finds
//! references and values that do not fit, and [`note`] applies a release note to a document. A document that passed
//! [`check`] is the only one that hosts install.

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

/// One thing that is wrong with a document or a release note.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProblem {
    /// Path of the field, such as `services[0].routes[2].timeout`.
    pub field: String,
    /// Value that was found.
    pub value: String,
    /// What is allowed there.
    pub allowed: String,
}

impl ConfigProblem {
    /// A problem of `field`.
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
