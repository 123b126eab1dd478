//! Platform of an entry host.

use std::sync::Arc;

use sapphireknot_platform::{FleetStore, RequestDialect};

/// Platform of an entry host, through an adapter.
#[derive(Clone)]
pub struct EntryPlatform {
    /// Store.
    pub store: Arc<dyn FleetStore>,
    /// Headers and statuses.
    pub dialect: Arc<dyn RequestDialect>,
}
