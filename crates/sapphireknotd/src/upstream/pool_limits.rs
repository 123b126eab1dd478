//! Limits of the connections to backend servers, and streams that have them.

use std::{io, net::SocketAddr, time::Duration};

use socket2::SockRef;
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout,
};

/// Limits of the connections to backend servers.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Idle connections that are kept per backend server.
    pub max_idle: usize,
    /// Time to open a connection.
    pub connect_timeout: Duration,
    /// Time for which an idle connection is used again unless its server tells a shorter one.
    pub idle_timeout: Duration,
    /// Time for which sent bytes may stay unacknowledged; `None` for the system's own.
    pub unacknowledged: Option<Duration>,
    /// Bytes of a connection that wait to be read, in the process and in the system; `None` for their own.
    pub receive: Option<ReceiveLimits>,
}

/// Bytes of a connection that wait to be read.
#[derive(Debug, Clone, Copy)]
pub struct ReceiveLimits {
    /// In the process; bounds the head of a response too.
    pub process_bytes: usize,
    /// In the system.
    pub system_bytes: u32,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            max_idle: 16,
            // Far above a round trip between regions of 24 ms.
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(60),
            unacknowledged: None,
            receive: None,
        }
    }
}

impl PoolLimits {
    /// Opens a stream to `peer`.
    pub(super) async fn open_stream(&self, peer: SocketAddr) -> io::Result<TcpStream> {
        let socket = if peer.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(limits) = self.receive
            && let Err(err) = socket.set_recv_buffer_size(limits.system_bytes)
        {
            // Without the bound the connection serves all the same.
            log::debug!(peer:%, error:% = err; "set SO_RCVBUF");
        }
        let connecting = timeout(self.connect_timeout, socket.connect(peer)).await;
        let stream = connecting
            .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "no answer in time"))??;
        stream.set_nodelay(true)?;
        if let Some(limit) = self.unacknowledged {
            SockRef::from(&stream).set_tcp_user_timeout(Some(limit))?;
        }
        Ok(stream)
    }
}
