//! Malformed, oversized and slow requests.

use std::time::Duration;

use crate::support::{BackendMode, KEY, TestBackend, TestCaller, TestHost};
use tokio::io::AsyncReadExt;

async fn start() -> (std::sync::Arc<TestBackend>, TestHost) {
    let backend = TestBackend::start(BackendMode::Echo).await;
    let host = TestHost::start(&[backend.address]).await;
    (backend, host)
}

async fn is_closed(caller: &mut TestCaller) -> bool {
    let mut bytes = [0; 64];
    let reading = caller.0.read(&mut bytes);
    let read = tokio::time::timeout(Duration::from_secs(10), reading).await.unwrap();
    matches!(read, Ok(0) | Err(_))
}

/// Guards against oversized requests that are buffered, and against malformed requests that reach a backend server or
/// stop the host.
#[tokio::test]
async fn rejects_malformed_requests_with_matching_status() {
    let (backend, host) = start().await;
    let key = format!("host: e\r\nx-api-key: {KEY}\r\n");
    let large = "x".repeat(70_000);
    let cases = [
        (format!("GET /desk/reports HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(20_000)), 431),
        (format!("POST /desk/pay HTTP/1.1\r\n{key}content-length: 70000\r\n\r\n"), 413),
        (
            format!(
                "POST /desk/pay HTTP/1.1\r\n{key}transfer-encoding: chunked\r\n\r\n\
                 11170\r\n{large}\r\n0\r\n\r\n"
            ),
            413,
        ),
        (format!("POST /desk/pay HTTP/1.1\r\n{key}transfer-encoding: chunked\r\n\r\nzz\r\n"), 400),
        (format!("POST /desk/pay HTTP/1.1\r\n{key}content-length: 1x\r\n\r\n"), 400),
        ("nonsense\r\n\r\n".to_owned(), 400),
        (format!("CONNECT desk:80 HTTP/1.1\r\n{key}\r\n"), 400),
        (format!("OPTIONS * HTTP/1.1\r\n{key}\r\n"), 400),
    ];
    for (text, status) in cases {
        let mut caller = host.connect().await;
        caller.write(&text).await;
        let start: String = text.chars().take(60).collect();
        assert_eq!(caller.read().await.status, status, "{start}");
    }
    assert_eq!(backend.received.lock().len(), 0);
    assert_eq!(host.call("GET", "/desk/reports", "").await.status, 200);
}

/// Guards against a path that the host and a backend server resolve to different routes, such as an open one.
#[tokio::test]
async fn refuses_ambiguous_paths() {
    let (backend, host) = start().await;
    let targets = [
        "/desk/public/../pay",
        "/desk/public/%2e%2e/pay",
        "/desk/public%2f..%2fpay",
        "/desk//public",
        "/desk/public/%5c",
        "/desk/public/%2541",
        "/desk/public/%00",
    ];
    for target in targets {
        let response = host.connect().await.call("GET", target, "", "").await;
        assert_eq!(response.refusal(), (400, "bad-request", "not-run"), "{target}");
    }
    let response = host.connect().await.call("POST", "/desk/p%61y", "", "").await;
    assert_eq!(
        response.refusal(),
        (401, "key-missing", "not-run"),
        "an escaped path matches the same route"
    );
    assert_eq!(backend.received.lock().len(), 0);
}

/// Guards against slow senders that occupy a connection.
#[tokio::test]
async fn times_out_slow_senders() {
    let (_backend, host) = start().await;
    let mut slow_head = host.connect().await;
    slow_head.write("GET /desk/reports HTTP/1.1\r\nx: ").await;
    let mut slow_body = host.connect().await;
    let head = format!("POST /desk/pay HTTP/1.1\r\nhost: e\r\nx-api-key: {KEY}\r\n");
    slow_body.write(&format!("{head}content-length: 10\r\n\r\nx")).await;
    assert_eq!(slow_body.read().await.refusal(), (408, "bad-request", "not-run"));
    assert!(is_closed(&mut slow_head).await);
}
