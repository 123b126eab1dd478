//! Body of a long response that is passed on while it arrives.
//!
//! What was read of the body is bounded by its place in the budget: bytes are read from the connection only when the
//! caller took the ones before, so that a slow caller slows its backend server down. The connection goes back to the pool
//! after the last byte; dropping the body before closes it.

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
use crate::buffers::{SMALL_BODY, WindowPlace};

/// Body of a response as its caller needs it.
#[derive(Debug)]
pub enum ResponseBody {
    /// It was read to its end.
    Whole(Bytes),
    /// The rest of it still comes.
    Pieces(BodyPieces),
}

/// Body that still comes.
#[derive(Debug)]
pub struct BodyPieces {
    /// What was read before the first piece was asked for.
    first: Option<Bytes>,
    rest: Incoming,
    /// Bytes that were not handed out.
    left: u64,
    place: Option<WindowPlace>,
    connection: Option<Connection>,
    pool: Arc<ConnectionPool>,
    peer: SocketAddr,
}

impl BodyPieces {
    /// Reads the first part of the body `rest` of `length` bytes, which arrives on `connection`.
    pub(super) async fn begin(
        pool: Arc<ConnectionPool>,
        peer: SocketAddr,
        connection: Connection,
        mut rest: Incoming,
        length: u64,
        place: WindowPlace,
    ) -> Result<Self, ExchangeError> {
        let mut first = Vec::with_capacity(SMALL_BODY);
        // A body that breaks off before can still be asked for elsewhere.
        while first.len() < SMALL_BODY && (first.len() as u64) < length {
            let piece = poll_fn(|cx| poll_data(&mut rest, peer, cx)).await?;
            first.extend_from_slice(&piece);
        }
        Ok(Self {
            first: Some(first.into()),
            rest,
            left: length,
            place: Some(place),
            connection: Some(connection),
            pool,
            peer,
        })
    }

    /// Bytes that were not handed out.
    pub fn left(&self) -> u64 {
        self.left
    }

    /// The next bytes; none after the last one.
    pub fn poll_piece(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let piece = match self.first.take() {
            Some(first) => first,
            None => match ready!(poll_data(&mut self.rest, self.peer, cx)) {
                Ok(piece) => piece,
                Err(err) => return Poll::Ready(Some(Err(err))),
            },
        };
        self.left = self.left.saturating_sub(piece.len() as u64);
        if self.left > 0 {
            return Poll::Ready(Some(Ok(piece)));
        }
        if let Some(connection) = self.connection.take() {
            self.pool.keep_when_ready(self.peer, connection);
        }
        // The last bytes still wait to be written when the body is gone.
        let piece = match self.place.take() {
            Some(place) => place.hold(piece),
            None => piece,
        };
        Poll::Ready(Some(Ok(piece)))
    }
}

/// The next bytes of `body`, which has not ended.
fn poll_data(
    body: &mut Incoming,
    peer: SocketAddr,
    cx: &mut Context<'_>,
) -> Poll<Result<Bytes, ExchangeError>> {
    let broken = |cause: String| Poll::Ready(Err(ExchangeError::Broken { peer, cause }));
    loop {
        match ready!(Pin::new(&mut *body).poll_frame(cx)) {
            // A body whose length is told has no trailers.
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) if data.is_empty() => {}
                Ok(data) => return Poll::Ready(Ok(data)),
                Err(_) => return broken("trailers before the end of the body".to_owned()),
            },
            Some(Err(err)) => return broken(format!("body is broken: {err}")),
            None => return broken("body ends early".to_owned()),
        }
    }
}
