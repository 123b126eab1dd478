//! Connections of callers: accepting them, serving them, and their graceful end.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use sapphireknot::drain::DrainStage;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::sleep,
};

use super::streams::PromptStream;

/// Pause after a failed accept, so that a lack of file descriptors does not busy the processor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Least size of a buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Limits of one connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Time in which the head of a request must arrive, and for which a connection may be idle.
    pub header_timeout: Duration,
    /// Size of the head of a request.
    pub max_header_bytes: usize,
    /// Time in which a caller must take the bytes of a response.
    pub write_timeout: Duration,
}

/// Accepts at most `max_connections` at a time until the host reaches the stage `last`.
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
    let permits = Arc::new(Semaphore::new(max_connections));
    let mut drain = drain.subscribe();
    let ended = async move { drop(drain.wait_for(|it| *it >= last).await) };
    tokio::pin!(ended);
    loop {
        // Further connections wait in the backlog of the listener.
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut ended => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let serving = serve(stream, peer);
                tokio::spawn(async move {
                    serving.await;
                    drop(permit);
                });
            }
            Err(err) => {
                log::warn!(error:% = err; "accept connection of a caller");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection until it ends, or until the host closes and its last request is answered.
///
/// `busy` is held while the connection may have a request in flight.
pub async fn serve_connection<S, F>(
    stream: TcpStream,
    limits: ConnectionLimits,
    drain: &watch::Sender<DrainStage>,
    busy: &Arc<()>,
    answer: S,
) where
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = Result<Response<Full<Bytes>>, Infallible>>,
{
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!(error:% = err; "set TCP_NODELAY");
    }
    let stream = PromptStream::new(stream, limits.write_timeout);
    let has_begun = AtomicBool::new(false);
    let service = service_fn(|request| {
        has_begun.store(true, Ordering::Relaxed);
        answer(request)
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_header_size(limits.max_header_bytes)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut drain = drain.subscribe();
    // Counts before it looks at the stage, so that the end of closing cannot miss it.
    let busy = busy.clone();
    let closing = async move { drop(drain.wait_for(|it| *it >= DrainStage::Closing).await) };
    tokio::select! {
        result = connection.as_mut() => return log_end(result),
        () = closing => {}
    }
    if has_begun.load(Ordering::Relaxed) {
        connection.as_mut().graceful_shutdown();
    } else {
        // A first request is still answered, but the end of the host does not wait for it.
        drop(busy);
    }
    log_end(connection.await);
}

fn log_end(result: hyper::Result<()>) {
    if let Err(err) = result {
        log::debug!(error:% = err; "connection of a caller ended");
    }
}
