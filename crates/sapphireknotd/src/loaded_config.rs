//! Configuration as it was loaded, before it is installed.

use sapphireknot::{
    config::{ConfigDocument, ReleaseNote},
    head::EncodedDocument,
    ids::ConfigGeneration,
    time::MonoTime,
};

/// Generation that was loaded.
#[derive(Debug)]
pub struct LoadedConfig {
    /// Generation.
    pub generation: ConfigGeneration,
    /// Document.
    pub document: ConfigDocument,
    /// The same in encoded form, if it is known.
    pub encoded: Option<EncodedDocument>,
    /// Notes that led to it from the generation that was in force; none if it was loaded whole.
    pub notes: Vec<ReleaseNote>,
    /// Beginning of the read of the head that named it, if it came from the store.
    pub began: Option<MonoTime>,
}
