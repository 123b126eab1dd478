//! Pool of HTTP/1.1 connections to backend servers.
//!
//! A connection carries one request at a time and returns to the pool only after a complete and valid response.
//! Dropping it earlier closes it, which tells the backend server that the request was cancelled.
//!
//! A faulty server may send a response twice, and the copy arrives where the next response is due. The request id tells
//! it apart from the responses to other requests, but all attempts of a request share one id. So no connection carries
//! two attempts of the same request ([`UsedConnections`]).

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header, response};
use http_body_util::Full;
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use sapphireknot_platform::ConnectionUse;
use thiserror::Error;
use tokio::{task::AbortHandle, time::timeout_at};

use super::{
    interim_limit::{InterimCounter, InterimLimitStream},
    pool_limits::PoolLimits,
    streamed_body::{ResponseBody, StreamedBody},
};
use crate::buffers::{MAX_SMALL_BODY, TieredBudget};

/// Margin before the server's announced keep-alive timeout, after which an idle connection is not reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Interval at which expired idle connections are closed, because they cost memory on both sides.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Header in which a server announces its keep-alive timeout.
const KEEP_ALIVE: &str = "keep-alive";

/// Header with the request id, which a response must repeat.
pub const REQUEST_ID: &str = "x-request-id";

/// Why an exchange with a backend server failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("connect to backend server {peer}: {cause}")]
    NotSent {
        /// Address of the backend server.
        peer: SocketAddr,
        /// Cause.
        cause: String,
    },
    /// The request ran, but no memory for its response became available in time.
    #[error("response of backend server {peer}: no memory in time")]
    NoMemory {
        /// Address of the backend server.
        peer: SocketAddr,
    },
    /// The exchange failed after the request may have been received.
    #[error("exchange with backend server {peer}: {cause}")]
    Broken {
        /// Address of the backend server.
        peer: SocketAddr,
        /// Cause.
        cause: String,
    },
}

/// Identifier of a connection within its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ConnectionId(u64);

/// Connections that the attempts of one request have used so far, and that its further attempts do not use.
#[derive(Debug, Default)]
pub struct UsedConnections(Mutex<Vec<ConnectionId>>);

impl UsedConnections {
    fn contains(&self, id: ConnectionId) -> bool {
        self.0.lock().contains(&id)
    }

    fn add(&self, id: ConnectionId) {
        self.0.lock().push(id);
    }
}

/// Connection to a backend server; closed on drop.
#[derive(Debug)]
pub(super) struct Connection {
    id: ConnectionId,
    sender: SendRequest<Full<Bytes>>,
    interim: InterimCounter,
    driver: AbortHandle,
    /// End of the time in which the idle connection may be reused.
    reusable_until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct IdleConnections {
    by_peer: HashMap<SocketAddr, Vec<Connection>>,
    /// Time of the next removal of expired connections.
    next_sweep: Instant,
}

/// Idle connections to backend servers, by address.
#[derive(Debug)]
pub struct ConnectionPool {
    idle: Mutex<IdleConnections>,
    next_id: AtomicU64,
    buffers: TieredBudget,
    limits: PoolLimits,
}

impl ConnectionPool {
    /// Creates a pool whose buffered responses occupy at most `max_buffered_bytes`.
    pub fn new(max_buffered_bytes: usize) -> Self {
        Self::with_limits(max_buffered_bytes, PoolLimits::default())
    }

    /// Creates a pool with the given connection limits.
    pub fn with_limits(max_buffered_bytes: usize, limits: PoolLimits) -> Self {
        // The request has already run, so its response waits for memory instead of being lost.
        let buffers = TieredBudget::new(max_buffered_bytes);
        let next_sweep = Instant::now() + SWEEP_INTERVAL;
        let idle = IdleConnections { by_peer: HashMap::new(), next_sweep };
        Self { idle: Mutex::new(idle), next_id: AtomicU64::new(0), buffers, limits }
    }

    /// Sends `request` and reads the whole response, with a body of at most `max_bytes`.
    ///
    /// `used` holds the connections of the other attempts of the request.
    pub async fn exchange(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        used: &UsedConnections,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let request_id = request.headers().get(REQUEST_ID).cloned();
        let has_body = request.method() != http::Method::HEAD;
        let check = |head: &response::Parts| {
            if request_id.is_some() && head.headers.get(REQUEST_ID) != request_id.as_ref() {
                return Err("response carries another request id".to_owned());
            }
            let has_body = has_body && !matches!(head.status.as_u16(), 204 | 304);
            if has_body && !has_framing(&head.headers) {
                return Err("response has neither Content-Length nor Transfer-Encoding".to_owned());
            }
            Ok(())
        };
        self.exchange_checked(peer, request, max_bytes, used, check).await
    }

    /// Like [`Self::exchange`], but validates the response head with `check`; if that fails, the connection is closed.
    pub async fn exchange_checked<C>(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        used: &UsedConnections,
        check: C,
    ) -> Result<Response<Bytes>, ExchangeError>
    where
        C: Fn(&response::Parts) -> Result<(), String>,
    {
        let (connection, head, body) = self.send(peer, request, used, check).await?;
        let body = self.collect(peer, connection, &head, body, max_bytes).await?;
        Ok(Response::from_parts(head, body))
    }

    /// Like [`Self::exchange_checked`], but streams a long body with a declared length. A body without a declared
    /// length may never end, so it is buffered completely before any of it is passed on. A streamed body waits for
    /// memory until `deadline`.
    pub async fn exchange_streamed<C>(
        self: &Arc<Self>,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        deadline: tokio::time::Instant,
        used: &UsedConnections,
        check: C,
    ) -> Result<Response<ResponseBody>, ExchangeError>
    where
        C: Fn(&response::Parts) -> Result<(), String>,
    {
        let (mut connection, head, body) = self.send(peer, request, used, check).await?;
        let length = body.size_hint().exact().filter(|it| *it > MAX_SMALL_BODY as u64);
        let Some(length) = length else {
            let body = self.collect(peer, connection, &head, body, max_bytes).await?;
            return Ok(Response::from_parts(head, ResponseBody::Buffered(body)));
        };
        let reservation = timeout_at(deadline, self.buffers.window()).await;
        let Ok(Ok(reservation)) = reservation else { return Err(ExchangeError::NoMemory { peer }) };
        connection.reusable_until = Instant::now() + self.reuse_time(&head.headers);
        let streamed =
            StreamedBody::begin(self.clone(), peer, connection, body, length, reservation).await?;
        Ok(Response::from_parts(head, ResponseBody::Streamed(streamed)))
    }

    /// Sends `request` and reads the response head.
    async fn send<C>(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        used: &UsedConnections,
        check: C,
    ) -> Result<(Connection, response::Parts, Incoming), ExchangeError>
    where
        C: Fn(&response::Parts) -> Result<(), String>,
    {
        let mut request = request;
        let (connection, response, is_new) = loop {
            let (mut connection, is_new) = self.connection(peer, used).await?;
            used.add(connection.id);
            connection.interim.attach(&mut request);
            match connection.sender.try_send_request(request).await {
                Ok(response) => break (connection, response, is_new),
                Err(mut err) => match err.take_message() {
                    // The server closed an idle connection before the request was written; retry on another connection.
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => {
                        let cause = err.into_error().to_string();
                        return Err(ExchangeError::NotSent { peer, cause });
                    }
                    None => {
                        let cause = err.into_error().to_string();
                        return Err(ExchangeError::Broken { peer, cause });
                    }
                },
            }
        };
        let broken = |cause: String| ExchangeError::Broken { peer, cause };
        let (mut head, body) = response.into_parts();
        head.extensions.insert(if is_new { ConnectionUse::First } else { ConnectionUse::Reused });
        if head.status.is_informational() {
            return Err(broken("unexpected protocol switch".to_owned()));
        }
        check(&head).map_err(broken)?;
        Ok((connection, head, body))
    }

    /// Reads the body to its end and returns the connection to the pool.
    async fn collect(
        &self,
        peer: SocketAddr,
        mut connection: Connection,
        head: &response::Parts,
        body: Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, ExchangeError> {
        let body = self.buffers.collect(body, max_bytes).await;
        let body = body.map_err(|err| ExchangeError::Broken { peer, cause: err.to_string() })?;
        connection.reusable_until = Instant::now() + self.reuse_time(&head.headers);
        // The connection becomes ready after the last byte was read; otherwise it is closing.
        if connection.sender.ready().await.is_ok() {
            self.put_idle(peer, connection);
        }
        Ok(body)
    }

    /// Returns a connection to the pool after its last response byte, once its driver is ready for another request.
    pub(super) fn put_idle_when_ready(
        self: &Arc<Self>,
        peer: SocketAddr,
        mut connection: Connection,
    ) {
        let pool = self.clone();
        tokio::spawn(async move {
            if connection.sender.ready().await.is_ok() {
                pool.put_idle(peer, connection);
            }
        });
    }

    /// Closes idle connections to servers that are not in `peers`.
    pub fn retain(&self, peers: &HashSet<SocketAddr>) {
        self.idle.lock().by_peer.retain(|peer, _| peers.contains(peer));
    }

    async fn connection(
        &self,
        peer: SocketAddr,
        used: &UsedConnections,
    ) -> Result<(Connection, bool), ExchangeError> {
        while let Some(connection) = self.pop_idle(peer, used) {
            if connection.sender.is_ready() && Instant::now() < connection.reusable_until {
                return Ok((connection, false));
            }
        }
        let not_sent = |cause: String| ExchangeError::NotSent { peer, cause };
        let stream = self.limits.open_stream(peer).await;
        let stream = stream.map_err(|err| not_sent(err.to_string()))?;
        let interim = InterimCounter::default();
        let stream = InterimLimitStream::new(stream, interim.clone());
        let mut builder = http1::Builder::new();
        if let Some(limits) = self.limits.receive {
            builder.max_buf_size(limits.process_bytes);
        }
        let (sender, driver) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| not_sent(err.to_string()))?;
        // Connection errors are reported to the pending request.
        let driver = tokio::spawn(async move { drop(driver.await) }).abort_handle();
        let reusable_until = Instant::now() + self.limits.idle_timeout;
        let id = ConnectionId(self.next_id.fetch_add(1, Ordering::Relaxed));
        Ok((Connection { id, sender, interim, driver, reusable_until }, true))
    }

    /// Time for which the connection may be reused after a response with `headers`.
    fn reuse_time(&self, headers: &HeaderMap) -> Duration {
        let text = headers.get(KEEP_ALIVE).and_then(|it| it.to_str().ok()).unwrap_or_default();
        let mut parameters = text.split(',').filter_map(|it| it.trim().strip_prefix("timeout="));
        let announced = parameters.next().and_then(|it| it.parse().ok()).map(Duration::from_secs);
        let announced = announced.map(|it| it.saturating_sub(KEEP_ALIVE_MARGIN));
        announced.unwrap_or(self.limits.idle_timeout).min(self.limits.idle_timeout)
    }

    fn pop_idle(&self, peer: SocketAddr, used: &UsedConnections) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let connections = idle.by_peer.get_mut(&peer)?;
        let latest = connections.iter().rposition(|it| !used.contains(it.id))?;
        Some(connections.remove(latest))
    }

    fn put_idle(&self, peer: SocketAddr, connection: Connection) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        if now >= idle.next_sweep {
            idle.sweep(now);
        }
        let connections = idle.by_peer.entry(peer).or_default();
        if connections.len() < self.limits.max_idle {
            connections.push(connection);
        }
    }
}

impl IdleConnections {
    fn sweep(&mut self, now: Instant) {
        self.next_sweep = now + SWEEP_INTERVAL;
        self.by_peer.retain(|_, connections| {
            connections.retain(|it| now < it.reusable_until && !it.sender.is_closed());
            !connections.is_empty()
        });
    }
}

/// Whether the end of the body can be told apart from a broken connection.
fn has_framing(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}
