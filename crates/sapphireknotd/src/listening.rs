//! Binding of listeners.

use std::net::SocketAddr;

use thiserror::Error;
use tokio::net::TcpListener;

/// Failure to bind a listener.
#[derive(Debug, Error)]
#[error("listen for {role} at {address}: {source}")]
pub struct ListenError {
    /// Who connects to the listener.
    pub role: &'static str,
    /// Address to bind.
    pub address: SocketAddr,
    /// Underlying error.
    pub source: std::io::Error,
}

/// Listener and its bound address.
#[derive(Debug)]
pub struct BoundListener {
    /// TCP listener.
    pub listener: TcpListener,
    /// Bound address, with the actual port.
    pub address: SocketAddr,
}

impl BoundListener {
    /// Binds a listener for `role` to `address`; port 0 selects a free port.
    pub async fn bind(role: &'static str, address: SocketAddr) -> Result<Self, ListenError> {
        let describe = |source| ListenError { role, address, source };
        let listener = TcpListener::bind(address).await.map_err(describe)?;
        let address = listener.local_addr().map_err(describe)?;
        Ok(Self { listener, address })
    }
}
