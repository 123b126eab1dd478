//! Streaming of long response bodies.
//!
//! The buffered part of a body is bounded by its memory reservation: bytes are read from the connection only after the
//! caller has taken the previous ones, so a slow caller applies backpressure to the backend server. The connection
//! returns to the pool after the last byte; dropping the body earlier closes it.

use std::{
    future::poll_fn,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Incoming};

use super::connections::{Connection, ConnectionPool, ExchangeError};
use crate::buffers::{MAX_SMALL_BODY, WindowReservation};

/// Response body, buffered or streamed.
#[derive(Debug)]
pub enum ResponseBody {
    /// Complete body in memory.
    Buffered(Bytes),
    /// Body that is still being received.
    Streamed(StreamedBody),
}

/// Response body that is passed on while it is received.
#[derive(Debug)]
pub struct StreamedBody {
    /// Bytes read before the first poll.
    first: Option<Bytes>,
    body_stream: Incoming,
    /// Bytes not yet returned to the caller.
    left: u64,
    reservation: Option<WindowReservation>,
    connection: Option<Connection>,
    pool: Arc<ConnectionPool>,
    peer: SocketAddr,
}

impl StreamedBody {
    /// Reads the first part of the body `body_stream`, which has `length` bytes and arrives on `connection`.
    pub(super) async fn begin(
        pool: Arc<ConnectionPool>,
        peer: SocketAddr,
        connection: Connection,
        mut body_stream: Incoming,
        length: u64,
        reservation: WindowReservation,
    ) -> Result<Self, ExchangeError> {
        let mut first = Vec::with_capacity(MAX_SMALL_BODY);
        // A failure within the first part can still be retried, because nothing has been passed on.
        while first.len() < MAX_SMALL_BODY && (first.len() as u64) < length {
            let chunk = poll_fn(|cx| poll_data(&mut body_stream, peer, cx)).await?;
            first.extend_from_slice(&chunk);
        }
        Ok(Self {
            first: Some(first.into()),
            body_stream,
            left: length,
            reservation: Some(reservation),
            connection: Some(connection),
            pool,
            peer,
        })
    }

    /// Number of bytes not yet returned to the caller.
    pub fn left(&self) -> u64 {
        self.left
    }

    /// Polls for the next bytes; `None` after the last ones.
    pub fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let chunk = match self.first.take() {
            Some(first) => first,
            None => match ready!(poll_data(&mut self.body_stream, self.peer, cx)) {
                Ok(chunk) => chunk,
                Err(err) => return Poll::Ready(Some(Err(err))),
            },
        };
        self.left = self.left.saturating_sub(chunk.len() as u64);
        if self.left > 0 {
            return Poll::Ready(Some(Ok(chunk)));
        }
        if let Some(connection) = self.connection.take() {
            self.pool.put_idle_when_ready(self.peer, connection);
        }
        // The last bytes may still be waiting to be written after the body is dropped, so they keep the reservation.
        let chunk = match self.reservation.take() {
            Some(reservation) => reservation.attach_to(chunk),
            None => chunk,
        };
        Poll::Ready(Some(Ok(chunk)))
    }
}

/// Polls for the next bytes of `body`, which must not have ended.
fn poll_data(
    body: &mut Incoming,
    peer: SocketAddr,
    cx: &mut Context<'_>,
) -> Poll<Result<Bytes, ExchangeError>> {
    let broken_error = |cause: String| Poll::Ready(Err(ExchangeError::Broken { peer, cause }));
    loop {
        match ready!(Pin::new(&mut *body).poll_frame(cx)) {
            // A body with a declared length has no trailers.
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if data.is_empty() => {}
                Ok(data) => return Poll::Ready(Ok(data)),
                Err(_) => return broken_error("trailers before the end of the body".to_owned()),
            },
            Some(Err(err)) => return broken_error(format!("read body: {err}")),
            None => return broken_error("connection closed before the end of the body".to_owned()),
        }
    }
}
