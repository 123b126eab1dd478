//! Accept loop, serving and graceful shutdown of connections, shared by all HTTP/1 listeners.

use std::{convert::Infallible, error::Error, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::Service,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::sleep,
};

/// Pause after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Handling of connections beyond the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverflowPolicy {
    /// Leave them in the backlog of the listener.
    Wait,
    /// Close them immediately.
    Close,
}

/// Settings of an accept loop.
#[derive(Debug, Clone, Copy)]
pub struct AcceptOptions {
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Handling of further connections.
    pub when_full: OverflowPolicy,
    /// Message logged when an accept fails.
    pub failure: &'static str,
}

/// Accepts connections until `ended` completes; each is served in a task of its own.
pub async fn accept_connections<E, S, F>(
    listener: TcpListener,
    rules: AcceptOptions,
    ended: E,
    serve: S,
) where
    E: Future<Output = ()>,
    S: Fn(TcpStream, SocketAddr) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(rules.max_connections));
    tokio::pin!(ended);
    loop {
        let reserved = match rules.when_full {
            OverflowPolicy::Wait => {
                let Ok(permit) = permits.clone().acquire_owned().await else { return };
                Some(permit)
            }
            OverflowPolicy::Close => None,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut ended => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let permit = reserved.or_else(|| permits.clone().try_acquire_owned().ok());
                let Some(permit) = permit else { continue };
                let serving = serve(stream, peer);
                tokio::spawn(async move {
                    serving.await;
                    drop(permit);
                });
            }
            Err(err) => {
                log::warn!(error:% = err; "{}", rules.failure);
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns the HTTP/1 settings of connections on which the head of a request must arrive within `header_timeout`.
pub fn http1_builder(header_timeout: Duration) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(header_timeout);
    builder
}

/// Serves one connection until it closes.
///
/// When `closing` completes and `ends_early` returns true, the connection closes after the current request.
pub async fn serve_http1<I, S, B, C, G>(
    stream: I,
    builder: &http1::Builder,
    service: S,
    closing: C,
    ends_early: G,
) -> hyper::Result<()>
where
    I: AsyncRead + AsyncWrite + Unpin,
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    C: Future<Output = ()>,
    G: FnOnce() -> bool,
{
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return result,
        () = closing => {}
    }
    if ends_early() {
        connection.as_mut().graceful_shutdown();
    }
    connection.await
}
