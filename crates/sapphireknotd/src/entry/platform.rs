//! Adapter interfaces through which an entry host uses its platform.

use std::sync::Arc;

use sapphireknot_platform::{FleetStore, RequestDialect};

/// Store and request dialect of the platform, implemented by an adapter.
#[derive(Clone)]
pub struct EntryPlatform {
    /// Store with the configuration, the registrations and the rollout records.
    pub store: Arc<dyn FleetStore>,
    /// Headers, statuses and queries of the platform's HTTP dialect.
    pub dialect: Arc<dyn RequestDialect>,
}
