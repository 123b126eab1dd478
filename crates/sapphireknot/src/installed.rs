//! Configuration that is in force on a host.
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

/// One generation of the configuration with its indexes.
#[derive(Debug)]
pub struct InstalledConfig {
    /// Generation.
    pub generation: ConfigGeneration,
    /// The checked document.
    pub document: Arc<ConfigDocument>,
    /// Keys by digest.
    pub keys: KeyRing,
    /// Routes by path.
    pub routes: RouteTable,
    /// Regions by client address.
    pub blocks: BlockTable,
    /// Latency between regions.
    pub distances: RegionDistances,
}

impl InstalledConfig {
    /// Indexes a document that passed [`crate::config::check_document`].
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
