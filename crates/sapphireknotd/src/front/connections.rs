//! Accepting and serving connections of callers.

use std::{convert::Infallible, error::Error, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use sapphireknot::drain::DrainStage;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
};

use super::{
    activity::ConnectionActivity,
    pipeline::{PipelineLimits, PipelineService, serve_pipeline},
    write_timeout::WriteTimeoutStream,
};
use crate::serving::{self, AcceptOptions, OverflowPolicy, http1_builder, serve_http1};

/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Limits of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Timeout for the head of a request, which also limits how long a connection may be idle.
    pub header_timeout: Duration,
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
    /// Timeout of a write to a caller that makes no progress.
    pub write_timeout: Duration,
    /// Size of the kernel's send buffer; `None` for the system default.
    pub send_buffer_bytes: Option<u32>,
}

/// Accepts up to `max_connections` concurrent connections until the host reaches the stage `last`.
pub async fn accept_connections<S, F>(
    listener: TcpListener,
    max_connections: usize,
    drain: &watch::Sender<DrainStage>,
    last: DrainStage,
    serve: S,
) where
    S: Fn(TcpStream, SocketAddr) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let options = AcceptOptions {
        max_connections,
        when_full: OverflowPolicy::Wait,
        failure: "accept connection of a caller",
    };
    serving::accept_connections(listener, options, wait_for_stage(drain, last), serve).await;
}

/// Completes when the host has reached `stage`.
fn wait_for_stage(
    drain: &watch::Sender<DrainStage>,
    stage: DrainStage,
) -> impl Future<Output = ()> + use<> {
    let mut drain = drain.subscribe();
    async move { drop(drain.wait_for(|it| *it >= stage).await) }
}

/// Serves one connection until it closes, or until the host is closing and the last request has been answered.
///
/// Holds a clone of `active` while the connection may have a request in flight; see [`ConnectionActivity`].
pub async fn serve_connection<S, F, B>(
    stream: TcpStream,
    limits: ConnectionLimits,
    drain: &watch::Sender<DrainStage>,
    active: &Arc<()>,
    handler: S,
) where
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<B>, Infallible>>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let stream = limited_stream(stream, limits);
    let activity = ConnectionActivity::new(active);
    let service = service_fn(|request| {
        activity.begin_request();
        handler(request)
    });
    let builder = connection_builder(limits);
    let closing = wait_for_stage(drain, DrainStage::Closing);
    let ends_early = || activity.release_unused();
    if let Err(err) = serve_http1(stream, &builder, service, closing, ends_early).await {
        log::debug!(error:% = err; "connection of a caller ended");
    }
}

/// Like [`serve_connection`], but processes pipelined requests concurrently.
pub async fn serve_pipelined<S>(
    stream: TcpStream,
    limits: ConnectionLimits,
    early_permits: Arc<Semaphore>,
    drain: &watch::Sender<DrainStage>,
    active: &Arc<()>,
    service: Arc<S>,
) where
    S: PipelineService,
{
    let stream = limited_stream(stream, limits);
    let activity = ConnectionActivity::new(active);
    let builder = connection_builder(limits);
    let closing = wait_for_stage(drain, DrainStage::Closing);
    let limits = PipelineLimits { max_header_bytes: limits.max_header_bytes, early_permits };
    let served = serve_pipeline(stream, &builder, limits, service, closing, &activity).await;
    if let Err(err) = served {
        log::debug!(error:% = err; "connection of a caller ended");
    }
}

fn limited_stream(stream: TcpStream, limits: ConnectionLimits) -> WriteTimeoutStream {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!(error:% = err; "set TCP_NODELAY");
    }
    if let Some(bytes) = limits.send_buffer_bytes
        && let Err(err) = SockRef::from(&stream).set_send_buffer_size(bytes as usize)
    {
        // The connection still works with the default size.
        log::debug!(error:% = err; "set SO_SNDBUF");
    }
    WriteTimeoutStream::new(stream, limits.write_timeout)
}

fn connection_builder(limits: ConnectionLimits) -> http1::Builder {
    let mut builder = http1_builder(limits.header_timeout);
    builder
        .max_header_size(limits.max_header_bytes)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    builder
}
