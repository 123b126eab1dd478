//! Limit on interim (1xx) responses.
//!
//! The HTTP library limits the head of a response, but skips interim responses without counting them. A server that
//! sends them endlessly would keep the thread parsing, at the expense of all other requests of the host.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use http::Request;
use hyper::ext::on_informational;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum number of interim responses per request; one or two are normal.
const MAX_INTERIM: usize = 16;

/// Counter of the interim responses to the current request of a connection.
#[derive(Debug, Clone, Default)]
pub(super) struct InterimCounter {
    seen: Arc<AtomicUsize>,
}

impl InterimCounter {
    /// Resets the counter and attaches it to `request`, which is sent next.
    pub(super) fn attach<B>(&self, request: &mut Request<B>) {
        self.seen.store(0, Ordering::Relaxed);
        let seen = self.seen.clone();
        on_informational(request, move |_| {
            seen.fetch_add(1, Ordering::Relaxed);
        });
    }

    fn check(&self) -> io::Result<()> {
        if self.seen.load(Ordering::Relaxed) <= MAX_INTERIM {
            return Ok(());
        }
        let cause = format!("more than {MAX_INTERIM} interim responses");
        Err(io::Error::new(io::ErrorKind::InvalidData, cause))
    }
}

/// Stream whose reads fail after too many interim responses.
#[derive(Debug)]
pub(super) struct InterimLimitStream {
    stream: TcpStream,
    count: InterimCounter,
}

impl InterimLimitStream {
    /// Wraps `stream`; its reads fail when `count` exceeds the limit.
    pub(super) fn new(stream: TcpStream, count: InterimCounter) -> Self {
        Self { stream, count }
    }
}

impl AsyncRead for InterimLimitStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.count.check()?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for InterimLimitStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
