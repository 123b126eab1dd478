//! Idle connections to backend servers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use sapphireknotd::upstream::{
    connections::{ConnectionPool, UsedConnections},
    pool_limits::PoolLimits,
};
use tokio::net::TcpListener;

/// Starts a server; returns its address and the number of its open connections.
async fn start_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    let open = Arc::new(AtomicUsize::new(0));
    let open_connections = open.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("accept");
            let open = open_connections.clone();
            open.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                let service = service_fn(async |_| {
                    Ok::<_, std::io::Error>(Response::new(Full::new(Bytes::from_static(b"ok"))))
                });
                // The result is ignored: the test waits until the pool closes the connection.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, open)
}

async fn send(pool: &ConnectionPool, peer: SocketAddr) {
    let request = Request::builder().uri("/").header("host", "a").body(Full::default());
    let request = request.expect("request");
    pool.exchange(peer, request, 1_000, &UsedConnections::default()).await.expect("response");
}

/// Guards against idle connections that stay open to servers that no longer receive requests.
#[tokio::test]
async fn idle_connection_is_closed() {
    let idle_timeout = Duration::from_millis(200);
    let pool =
        ConnectionPool::with_limits(1 << 20, PoolLimits { idle_timeout, ..PoolLimits::default() });
    let (unused, open) = start_server().await;
    let (used, _) = start_server().await;
    send(&pool, unused).await;
    assert_eq!(open.load(Ordering::SeqCst), 1, "the connection is kept for the next request");
    let until = Instant::now() + Duration::from_secs(5);
    while open.load(Ordering::SeqCst) > 0 {
        assert!(Instant::now() < until, "the connection is still open");
        send(&pool, used).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
