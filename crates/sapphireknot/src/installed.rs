//! Configuration installed on a host, with its indexes.
//!
//! Built once per generation and shared read-only by all requests.

use std::sync::Arc;

use crate::{
    config::ConfigDocument,
    ids::ConfigGeneration,
    keys::KeyRing,
    lookup::{BlockTable, RegionDistances},
    routes::RouteTable,
};

/// Installed generation of the configuration with its indexes.
#[derive(Debug)]
pub struct InstalledConfig {
    /// Generation.
    pub generation: ConfigGeneration,
    /// Validated document.
    pub document: Arc<ConfigDocument>,
    /// API keys by digest.
    pub keys: KeyRing,
    /// Routes by service and path.
    pub routes: RouteTable,
    /// Regions by client address.
    pub blocks: BlockTable,
    /// Network latency between regions.
    pub distances: RegionDistances,
}

impl InstalledConfig {
    /// Builds the indexes of a document that passed [`crate::config::check_document`].
    pub fn new(generation: ConfigGeneration, document: ConfigDocument) -> Self {
        Self {
            generation,
            keys: KeyRing::new(&document),
            routes: RouteTable::new(&document),
            blocks: BlockTable::new(&document),
            distances: RegionDistances::new(&document),
            document: Arc::new(document),
        }
    }
}
