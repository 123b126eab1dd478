//! Limits of connections to backend servers, and opening of connections with these limits.

use std::{io, net::SocketAddr, time::Duration};

use socket2::SockRef;
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout,
};

/// Limits of connections to backend servers.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Maximum number of idle connections per backend server.
    pub max_idle: usize,
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Time for which an idle connection may be reused, unless its server announces a shorter one.
    pub idle_timeout: Duration,
    /// Time for which sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`); `None` for the system default.
    pub tcp_user_timeout: Option<Duration>,
    /// Receive buffer sizes; `None` for the defaults of the process and the system.
    pub receive: Option<ReceiveLimits>,
}

/// Receive buffer sizes of a connection, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct ReceiveLimits {
    /// Buffer in the process; also limits the size of a response head.
    pub process_bytes: usize,
    /// Kernel receive buffer.
    pub system_bytes: u32,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            max_idle: 16,
            // Far above the round trip between regions of 24 ms.
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(60),
            tcp_user_timeout: None,
            receive: None,
        }
    }
}

impl PoolLimits {
    /// Connects to `peer`.
    pub(super) async fn open_stream(&self, peer: SocketAddr) -> io::Result<TcpStream> {
        let socket = if peer.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(limits) = self.receive
            && let Err(err) = socket.set_recv_buffer_size(limits.system_bytes)
        {
            // The connection still works with the default size.
            log::debug!(peer:%, error:% = err; "set SO_RCVBUF");
        }
        let connecting = timeout(self.connect_timeout, socket.connect(peer)).await;
        let stream = connecting
            .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no answer in time"))??;
        stream.set_nodelay(true)?;
        if let Some(limit) = self.tcp_user_timeout {
            SockRef::from(&stream).set_tcp_user_timeout(Some(limit))?;
        }
        Ok(stream)
    }
}
