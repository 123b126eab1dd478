//! Connections to backend servers.
//!
//! A connection carries one request at a time and goes back to the pool only after a complete and correct response.
//! Dropping it in between closes it, which tells the backend server that nobody waits any more.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
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
    body_pieces::{BodyPieces, ResponseBody},
    interim_limit::{InterimCount, InterimLimitStream},
    pool_limits::PoolLimits,
};
use crate::buffers::{SMALL_BODY, TieredBudget};

/// Time before a backend server closes an idle connection at which the connection is no longer used.
const CLOSE_MARGIN: Duration = Duration::from_secs(1);
/// Interval at which connections that are no longer used are closed; they cost memory on both sides.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Header with the time after which an idle connection is closed.
const KEEP_ALIVE: &str = "keep-alive";

/// Header of the correlation with a response.
pub const REQUEST_ID: &str = "x-request-id";

/// Why an exchange with a backend server failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No byte of the request was written.
    #[error("connect to backend server {peer}: {cause}")]
    NotSent {
        /// Backend server.
        peer: SocketAddr,
        /// Cause.
        cause: String,
    },
    /// The request ran, and the host had no memory for its response in time.
    #[error("response of backend server {peer}: no memory in time")]
    NoMemory {
        /// Backend server.
        peer: SocketAddr,
    },
    /// The request may have been read.
    #[error("exchange with backend server {peer}: {cause}")]
    Broken {
        /// Backend server.
        peer: SocketAddr,
        /// Cause.
        cause: String,
    },
}

/// One connection; closed when dropped.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    interim: InterimCount,
    driver: AbortHandle,
    /// Until when it may be used again once idle.
    usable_until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct IdleConnections {
    by_peer: HashMap<SocketAddr, Vec<Connection>>,
    /// When connections that are no longer used are looked for.
    sweep_at: Instant,
}

/// Idle connections by backend server.
#[derive(Debug)]
pub struct ConnectionPool {
    idle: Mutex<IdleConnections>,
    buffers: TieredBudget,
    limits: PoolLimits,
}

impl ConnectionPool {
    /// A pool whose responses together hold at most `max_buffered_bytes`.
    pub fn new(max_buffered_bytes: usize) -> Self {
        Self::with_limits(max_buffered_bytes, PoolLimits::default())
    }

    /// A pool with other limits.
    pub fn with_limits(max_buffered_bytes: usize, limits: PoolLimits) -> Self {
        // The request ran, so its response waits for memory rather than being lost.
        let buffers = TieredBudget::new(max_buffered_bytes);
        let sweep_at = Instant::now() + SWEEP_INTERVAL;
        let idle = IdleConnections { by_peer: HashMap::new(), sweep_at };
        Self { idle: Mutex::new(idle), buffers, limits }
    }

    /// Sends `request` and reads the whole response, whose body has at most `max_bytes`.
    pub async fn exchange(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let request_id = request.headers().get(REQUEST_ID).cloned();
        let has_body = request.method() != http::Method::HEAD;
        let check = |head: &response::Parts| {
            if request_id.is_some() && head.headers.get(REQUEST_ID) != request_id.as_ref() {
                return Err("response carries another request id".to_owned());
            }
            let has_body = has_body && !matches!(head.status.as_u16(), 204 | 304);
            if has_body && !has_framing(&head.headers) {
                return Err("response does not tell its length".to_owned());
            }
            Ok(())
        };
        self.exchange_checked(peer, request, max_bytes, check).await
    }

    /// Like [`Self::exchange`], with a check of the response's head; a response that fails it closes the connection.
    pub async fn exchange_checked<C>(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        check: C,
    ) -> Result<Response<Bytes>, ExchangeError>
    where
        C: Fn(&response::Parts) -> Result<(), String>,
    {
        let (connection, head, body) = self.begin(peer, request, check).await?;
        let body = self.collect(peer, connection, &head, body, max_bytes).await?;
        Ok(Response::from_parts(head, body))
    }

    /// Like [`Self::exchange_checked`], except that a long body whose length is told is not read to its end. A body
    /// without a length may have no end, so that it is complete before any of it is passed on. A long one waits for memory
    /// until `deadline`.
    pub async fn exchange_pieces<C>(
        self: &Arc<Self>,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        deadline: tokio::time::Instant,
        check: C,
    ) -> Result<Response<ResponseBody>, ExchangeError>
    where
        C: Fn(&response::Parts) -> Result<(), String>,
    {
        let (mut connection, head, body) = self.begin(peer, request, check).await?;
        let length = body.size_hint().exact().filter(|it| *it > SMALL_BODY as u64);
        let Some(length) = length else {
            let body = self.collect(peer, connection, &head, body, max_bytes).await?;
            return Ok(Response::from_parts(head, ResponseBody::Whole(body)));
        };
        let place = timeout_at(deadline, self.buffers.window()).await;
        let Ok(Ok(place)) = place else { return Err(ExchangeError::NoMemory { peer }) };
        connection.usable_until = Instant::now() + self.idle_time(&head.headers);
        let pieces = BodyPieces::begin(self.clone(), peer, connection, body, length, place).await?;
        Ok(Response::from_parts(head, ResponseBody::Pieces(pieces)))
    }

    /// Sends `request` and reads the head of the response.
    async fn begin<C>(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        check: C,
    ) -> Result<(Connection, response::Parts, Incoming), ExchangeError>
    where
        C: Fn(&response::Parts) -> Result<(), String>,
    {
        let mut request = request;
        let (connection, response, is_new) = loop {
            let (mut connection, is_new) = self.connection(peer).await?;
            connection.interim.watch(&mut request);
            match connection.sender.try_send_request(request).await {
                Ok(response) => break (connection, response, is_new),
                Err(mut err) => match err.take_message() {
                    // The backend server closed an idle connection before the request was written.
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
            return Err(broken("unexpected change of protocol".to_owned()));
        }
        check(&head).map_err(broken)?;
        Ok((connection, head, body))
    }

    /// Reads a body to its end, after which the connection is kept.
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
        connection.usable_until = Instant::now() + self.idle_time(&head.headers);
        // The connection is ready once the last byte was read; if it is not, it is closing.
        if connection.sender.ready().await.is_ok() {
            self.keep(peer, connection);
        }
        Ok(body)
    }

    /// Keeps a connection whose last byte was handed out, as soon as it has noticed that.
    pub(super) fn keep_when_ready(self: &Arc<Self>, peer: SocketAddr, mut connection: Connection) {
        let pool = self.clone();
        tokio::spawn(async move {
            if connection.sender.ready().await.is_ok() {
                pool.keep(peer, connection);
            }
        });
    }

    /// Closes idle connections to other backend servers than `peers`.
    pub fn retain(&self, peers: &HashSet<SocketAddr>) {
        self.idle.lock().by_peer.retain(|peer, _| peers.contains(peer));
    }

    async fn connection(&self, peer: SocketAddr) -> Result<(Connection, bool), ExchangeError> {
        while let Some(connection) = self.take_idle(peer) {
            if connection.sender.is_ready() && Instant::now() < connection.usable_until {
                return Ok((connection, false));
            }
        }
        let not_sent = |cause: String| ExchangeError::NotSent { peer, cause };
        let stream = self.limits.open_stream(peer).await;
        let stream = stream.map_err(|err| not_sent(err.to_string()))?;
        let interim = InterimCount::default();
        let stream = InterimLimitStream::new(stream, interim.clone());
        let mut builder = http1::Builder::new();
        if let Some(limits) = self.limits.receive {
            builder.max_buf_size(limits.process_bytes);
        }
        let (sender, driver) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| not_sent(err.to_string()))?;
        // Errors of the connection reach the request that waits on it.
        let driver = tokio::spawn(async move { drop(driver.await) }).abort_handle();
        let usable_until = Instant::now() + self.limits.idle_timeout;
        Ok((Connection { sender, interim, driver, usable_until }, true))
    }

    /// Time for which a connection may be used again after a response with `headers`.
    fn idle_time(&self, headers: &HeaderMap) -> Duration {
        let text = headers.get(KEEP_ALIVE).and_then(|it| it.to_str().ok()).unwrap_or_default();
        let mut parameters = text.split(',').filter_map(|it| it.trim().strip_prefix("timeout="));
        let told = parameters.next().and_then(|it| it.parse().ok()).map(Duration::from_secs);
        let told = told.map(|it| it.saturating_sub(CLOSE_MARGIN));
        told.unwrap_or(self.limits.idle_timeout).min(self.limits.idle_timeout)
    }

    fn take_idle(&self, peer: SocketAddr) -> Option<Connection> {
        self.idle.lock().by_peer.get_mut(&peer)?.pop()
    }

    fn keep(&self, peer: SocketAddr, connection: Connection) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        if now >= idle.sweep_at {
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
        self.sweep_at = now + SWEEP_INTERVAL;
        self.by_peer.retain(|_, connections| {
            connections.retain(|it| now < it.usable_until && !it.sender.is_closed());
            !connections.is_empty()
        });
    }
}

/// Whether the end of a body can be told from a broken connection.
fn has_framing(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}
