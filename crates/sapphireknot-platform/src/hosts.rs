//! The platform's list of hosts.

use std::net::SocketAddr;

use async_trait::async_trait;
use sapphireknot::ids::{DatacentreId, HostId, RegionId};

use crate::store::StoreError;

/// Entry of the platform's host list, which may lag behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Identifier of the host.
    pub id: HostId,
    /// Region of the host.
    pub region: RegionId,
    /// Data centre of the host.
    pub datacentre: DatacentreId,
    /// Address that other hosts connect to.
    pub peer_address: SocketAddr,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

/// Source of the list of live and leaving hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the current list.
    async fn list_hosts(&self) -> Result<Vec<ListedHost>, StoreError>;
}
