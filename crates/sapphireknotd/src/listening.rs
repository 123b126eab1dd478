//! Addresses at which a host listens.

use std::net::SocketAddr;

use thiserror::Error;
use tokio::net::TcpListener;

/// Address that cannot be listened at.
#[derive(Debug, Error)]
#[error("listen for {role} at {address}: {source}")]
pub struct ListenError {
    /// Who connects there.
    pub role: &'static str,
    /// Address.
    pub address: SocketAddr,
    /// Cause.
    pub source: std::io::Error,
}

/// Listener with the address at which it is bound.
#[derive(Debug)]
pub struct BoundListener {
    /// Listener.
    pub listener: TcpListener,
    /// Bound address.
    pub address: SocketAddr,
}

impl BoundListener {
    /// Listens for `role` at `address`; port 0 takes a free one.
    pub async fn bind(role: &'static str, address: SocketAddr) -> Result<Self, ListenError> {
        let describe = |source| ListenError { role, address, source };
        let listener = TcpListener::bind(address).await.map_err(describe)?;
        let address = listener.local_addr().map_err(describe)?;
        Ok(Self { listener, address })
    }
}
