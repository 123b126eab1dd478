//! The platform's list of hosts.

use std::net::SocketAddr;

use async_trait::async_trait;
use sapphireknot::ids::{DatacentreId, HostId, RegionId};

use crate::store::StoreError;

/// Host as the platform lists it; the list lags behind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Identifier.
    pub id: HostId,
    /// Region.
    pub region: RegionId,
    /// Data centre.
    pub datacentre: DatacentreId,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether the platform is about to take the host away.
    pub leaving: bool,
}

/// List of live and leaving hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the list.
    async fn list_hosts(&self) -> Result<Vec<ListedHost>, StoreError>;
}
