//! Configuration that was loaded but not yet installed.

use sapphireknot::{
    config::{ConfigDocument, ReleaseNote},
    head::EncodedDocument,
    ids::ConfigGeneration,
    time::MonoTime,
};

/// Loaded configuration generation.
#[derive(Debug)]
pub struct LoadedConfig {
    /// Generation number.
    pub generation: ConfigGeneration,
    /// Decoded document.
    pub document: ConfigDocument,
    /// Encoded form of the document, if available.
    pub encoded: Option<EncodedDocument>,
    /// Release notes since the generation in force; empty if the document was loaded as a whole.
    pub notes: Vec<ReleaseNote>,
    /// Start of the read of the head that referenced this generation, if it was loaded from the store.
    pub began: Option<MonoTime>,
}
