//! HTTP/1.1 pipelining: concurrent processing of the requests of one connection.
//!
//! The HTTP library reads one request at a time and writes the responses in order. `ReadAheadStream` reads the
//! following requests ahead of it, up to a limit, and requests that are safe to run concurrently start in tasks of
//! their own. When the library reaches such a request, it gets the response of that task. Closing the connection aborts
//! the tasks.

use std::{
    convert::Infallible,
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderValue, Request, Response, header};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use sapphireknot::time::MonoTime;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::{OwnedSemaphorePermit, Semaphore},
    task::JoinHandle,
};

use super::{
    activity::ConnectionActivity, pipeline_queue::PipelineQueue, request_scan::RequestScanner,
};

/// Maximum number of requests per connection that are processed ahead of their turn.
const MAX_EARLY_REQUESTS: usize = 16;
/// Size of a read while the HTTP library is not reading.
const READ_CHUNK_BYTES: usize = 2 << 10;

/// Request handler of a pipelined connection.
pub trait PipelineService: Send + Sync + 'static {
    /// Response body.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>>
        + Send
        + 'static;

    /// The current time, recorded as the arrival time of a request.
    fn now(&self) -> MonoTime;

    /// Whether the host is draining, so that connections close after the requests that have started.
    fn is_draining(&self) -> bool;

    /// Whether the route of a request is idempotent.
    fn is_idempotent(&self, request: &Request<()>) -> bool;

    /// Handles a request whose head arrived at `arrived`. The body is `None` for a request that is processed ahead of
    /// its turn.
    fn respond(
        self: Arc<Self>,
        request: Request<Option<Incoming>>,
        arrived: MonoTime,
    ) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// Limits on reading and processing ahead.
#[derive(Debug, Clone)]
pub struct PipelineLimits {
    /// Maximum size of a request head, and of all bytes that the HTTP library has not read yet.
    pub max_header_bytes: usize,
    /// Permits for requests processed ahead of their turn, shared by all connections.
    pub early_permits: Arc<Semaphore>,
}

/// Task that processes a request ahead of its turn; aborted on drop.
struct EarlyTask<B> {
    response: JoinHandle<Response<B>>,
    _permit: OwnedSemaphorePermit,
}

impl<B> Drop for EarlyTask<B> {
    fn drop(&mut self) {
        self.response.abort();
    }
}

/// Connection state shared by the HTTP library and [`serve_pipeline`].
struct SharedStream<I, B> {
    stream: I,
    /// Bytes read from the stream that the HTTP library has not consumed.
    unread: BytesMut,
    max_unread: usize,
    is_eof: bool,
    scanner: RequestScanner,
    queue: PipelineQueue<EarlyTask<B>>,
    /// Whether the service is handling a request, which is cancelled if the caller disconnects.
    is_handling: bool,
}

/// Result of reading ahead.
enum ReadAheadResult {
    /// Progress was made; poll the HTTP library again.
    Progress,
    /// The caller disconnected while a request was being handled.
    Disconnected,
}

impl<I, B> SharedStream<I, B>
where
    I: AsyncRead + Unpin,
    B: Send + 'static,
{
    fn scan<S>(&mut self, bytes: &[u8], service: &S)
    where
        S: PipelineService<Body = B>,
    {
        if self.scanner.is_ended() {
            return;
        }
        for head in self.scanner.feed(bytes) {
            self.queue.push(head, service.now());
        }
    }

    /// Reads ahead of the HTTP library, up to `max_unread` bytes.
    fn poll_read_ahead<S>(&mut self, cx: &mut Context<'_>, service: &S) -> Poll<ReadAheadResult>
    where
        S: PipelineService<Body = B>,
    {
        if self.is_eof || self.unread.len() >= self.max_unread {
            return Poll::Pending;
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        let mut buf = ReadBuf::new(&mut chunk);
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
        if result.is_err() || buf.filled().is_empty() {
            self.is_eof = true;
            return Poll::Ready(if self.is_handling {
                ReadAheadResult::Disconnected
            } else {
                ReadAheadResult::Progress
            });
        }
        self.scan(buf.filled(), service);
        self.unread.extend_from_slice(buf.filled());
        Poll::Ready(ReadAheadResult::Progress)
    }

    fn start_early<S>(&mut self, service: &Arc<S>, permits: &Arc<Semaphore>)
    where
        S: PipelineService<Body = B>,
    {
        let is_idempotent = |request: &Request<()>| service.is_idempotent(request);
        let start = |request: Request<()>, arrived| {
            let permit = permits.clone().try_acquire_owned().ok()?;
            let response = service.clone().respond(request.map(|()| None), arrived);
            Some(EarlyTask { response: tokio::spawn(response), _permit: permit })
        };
        while !service.is_draining() && self.queue.start_early(is_idempotent, start) {}
    }
}

/// Stream for the HTTP library that returns the bytes read ahead first.
struct ReadAheadStream<I, S>
where
    S: PipelineService,
{
    shared: Arc<Mutex<SharedStream<I, S::Body>>>,
    service: Arc<S>,
}

impl<I, S> AsyncRead for ReadAheadStream<I, S>
where
    I: AsyncRead + Unpin,
    S: PipelineService,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut shared = self.shared.lock();
        if !shared.unread.is_empty() {
            let count = shared.unread.len().min(buf.remaining());
            buf.put_slice(&shared.unread[..count]);
            shared.unread.advance(count);
            return Poll::Ready(Ok(()));
        }
        if shared.is_eof {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut shared.stream).poll_read(cx, buf))?;
        let bytes = &buf.filled()[before..];
        shared.is_eof = bytes.is_empty();
        shared.scan(bytes, self.service.as_ref());
        Poll::Ready(Ok(()))
    }
}

impl<I, S> AsyncWrite for ReadAheadStream<I, S>
where
    I: AsyncWrite + Unpin,
    S: PipelineService,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.shared.lock().stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.shared.lock().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.shared.lock().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.shared.lock().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.shared.lock().stream).poll_shutdown(cx)
    }
}

/// Serves one connection until it closes.
///
/// When `closing` completes, a connection on which a request has started closes after the requests that have started.
/// `activity` counts the connection while it may have a request in flight.
pub async fn serve_pipeline<I, S, C>(
    stream: I,
    builder: &http1::Builder,
    limits: PipelineLimits,
    service: Arc<S>,
    closing: C,
    activity: &ConnectionActivity,
) -> hyper::Result<()>
where
    I: AsyncRead + AsyncWrite + Unpin,
    S: PipelineService,
    C: Future<Output = ()>,
{
    let shared = Arc::new(Mutex::new(SharedStream {
        stream,
        unread: BytesMut::new(),
        max_unread: limits.max_header_bytes,
        is_eof: false,
        scanner: RequestScanner::new(limits.max_header_bytes),
        queue: PipelineQueue::new(MAX_EARLY_REQUESTS),
        is_handling: false,
    }));
    let ordered_service = service_fn(|request| {
        activity.begin_request();
        respond_in_order(&shared, &service, request)
    });
    let stream = ReadAheadStream { shared: shared.clone(), service: service.clone() };
    let connection = builder.serve_connection(TokioIo::new(stream), ordered_service);
    tokio::pin!(connection, closing);
    let mut is_closing = false;
    let mut has_closed = false;
    std::future::poll_fn(|cx| {
        loop {
            if let Poll::Ready(result) = connection.as_mut().poll(cx) {
                return Poll::Ready(result);
            }
            is_closing = is_closing || closing.as_mut().poll(cx).is_ready();
            // Requests already started ahead of their turn are still answered.
            if is_closing && !has_closed && !shared.lock().queue.has_early_work() {
                has_closed = true;
                if activity.release_unused() {
                    connection.as_mut().graceful_shutdown();
                    continue;
                }
            }
            let progress = shared.lock().poll_read_ahead(cx, service.as_ref());
            shared.lock().start_early(&service, &limits.early_permits);
            match progress {
                Poll::Ready(ReadAheadResult::Progress) => {}
                Poll::Ready(ReadAheadResult::Disconnected) => return Poll::Ready(Ok(())),
                Poll::Pending => return Poll::Pending,
            }
        }
    })
    .await
}

/// Responds to the request whose turn has come, with the result of its task if one was started.
async fn respond_in_order<I, S>(
    shared: &Mutex<SharedStream<I, S::Body>>,
    service: &Arc<S>,
    request: Request<Incoming>,
) -> Result<Response<S::Body>, Infallible>
where
    S: PipelineService,
{
    let active = {
        let mut shared = shared.lock();
        shared.is_handling = true;
        shared.queue.activate_next()
    };
    let is_queued = active.is_some();
    let arrived = active.as_ref().map_or_else(|| service.now(), |it| it.arrived);
    let early_response = match active.and_then(|it| it.work) {
        Some(mut task) => match (&mut task.response).await {
            Ok(response) => Some(response),
            Err(err) => {
                log::error!(error:% = err; "task of a pipelined request failed");
                None
            }
        },
        None => None,
    };
    let mut response = match early_response {
        Some(response) => response,
        None => service.clone().respond(request.map(Some), arrived).await,
    };
    let mut shared = shared.lock();
    shared.is_handling = false;
    if is_queued {
        shared.queue.complete_oldest();
    }
    // A response that closes the connection would cut off the requests already started behind it.
    if service.is_draining() && !shared.queue.has_early_work() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
