//! Forwarding of requests to backend servers.

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::support::{BackendMode, KEY, TestBackend, TestHost};

/// Guards against a modified response, and against missing metadata in the request to the backend server.
#[tokio::test]
async fn forwards_request_and_returns_response() {
    let backend = TestBackend::start(BackendMode::Echo).await;
    let host = TestHost::start(&[backend.address]).await;
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let headers = format!("X-Api-Key: {KEY}\r\ntraceparent: 00-{trace}-b7ad6b7169203331-01\r\n");
    let mut caller = host.connect().await;
    let response = caller.call("POST", "/desk/pay/1?x=1", &headers, "hello").await;
    assert_eq!((response.status, response.body.as_str()), (200, "hello"));
    assert_eq!(response.header("x-sapphireknot-ran"), None, "a forged header is dropped");
    let received = backend.received.lock().remove(0);
    assert_eq!(received.target, "/desk/pay/1?x=1");
    assert_eq!(received.headers["x-organisation"], "harbour");
    assert!(received.headers["x-deadline-ms"].to_str().unwrap().parse::<u64>().unwrap() <= 5_000);
    assert_eq!(received.headers["x-request-id"], response.header("x-request-id").unwrap());
    assert!(received.headers["traceparent"].to_str().unwrap().starts_with(&format!("00-{trace}-")));
}

/// Guards against API keys and reserved headers of the caller that reach a backend server.
#[tokio::test]
async fn drops_keys_and_reserved_headers() {
    let backend = TestBackend::start(BackendMode::Echo).await;
    let host = TestHost::start(&[backend.address]).await;
    let headers = format!(
        "authorization: Bearer {KEY}\r\nx-organisation: quarry\r\nx-request-id: mine\r\n\
         x-deadline-ms: 999999\r\nx-private: 1\r\nconnection: keep-alive, x-private\r\n\
         x-sapphireknot-ran: no\r\nte: trailers\r\n\
         referer: http://page/?API%5fkey={KEY}\r\n"
    );
    let targets = [
        "/desk/reports?api_key=harbour-secret&a=1",
        "/desk/reports?a=1&api%5Fkey=harbour-secret",
        "/desk/reports?a=1;API_KEY=harbour-secret",
        "http://entry/desk/reports?a=1&%61pi_key=harbour-secret",
    ];
    for target in targets {
        let response = host.connect().await.call("GET", target, &headers, "").await;
        assert_eq!(response.status, 200, "{target}");
        let received = backend.received.lock().remove(0);
        assert_eq!(received.target, "/desk/reports?a=1", "{target}");
        assert!(!format!("{received:?}").contains("secret"), "{received:?}");
        assert_eq!(received.headers["x-organisation"], "harbour");
        assert_ne!(received.headers["x-request-id"], "mine");
        assert_ne!(received.headers["x-deadline-ms"], "999999");
        for name in ["x-private", "te", "x-sapphireknot-ran", "x-api-key"] {
            assert!(!received.headers.contains_key(name), "{name}");
        }
    }
    let headers = format!("x-api-key: {KEY}\r\nx-organisation: harbour\r\n");
    host.connect().await.call("GET", "/desk/public", &headers, "").await;
    let received = backend.received.lock().remove(0);
    assert!(!received.headers.contains_key("x-organisation"), "open routes have no organisation");
    assert!(!format!("{received:?}").contains("secret"), "{received:?}");
}

/// Guards against a response to one request that reaches the caller of another.
#[tokio::test]
async fn refuses_response_of_another_request() {
    let backend = TestBackend::start(BackendMode::WrongId).await;
    let host = TestHost::start(&[backend.address]).await;
    let response = host.call("POST", "/desk/pay", "x").await;
    assert_eq!(response.refusal(), (502, "upstream-failed", "unknown"));
    *backend.mode.lock() = BackendMode::Echo;
    assert_eq!(host.call("POST", "/desk/pay", "y").await.body, "y");
}

/// Serves one response without a length, which ends with the connection.
async fn serve_response_without_length(mut stream: TcpStream) {
    let mut head = String::new();
    let mut bytes = [0; 1024];
    while !head.contains("\r\n\r\n") {
        let count = stream.read(&mut bytes).await.unwrap_or(0);
        if count == 0 {
            return;
        }
        head.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    let id = head.lines().find(|it| it.starts_with("x-request-id")).unwrap_or_default();
    let reply = if head.starts_with("GET /load") {
        let load = r#"{"in_flight":0,"slots":4,"connections":1,"leaving":false}"#;
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{load}", load.len())
    } else {
        format!("HTTP/1.1 200 OK\r\n{id}\r\n\r\nfirst half")
    };
    // A write error means that the test has already failed and closed the connection.
    let _ = stream.write_all(reply.as_bytes()).await;
}

/// Guards against a truncated response that is forwarded as if it were complete.
#[tokio::test]
async fn refuses_response_without_length() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_response_without_length(stream));
        }
    });
    let host = TestHost::start(&[address]).await;
    let response = host.call("POST", "/desk/pay", "x").await;
    assert_eq!(response.refusal(), (502, "upstream-failed", "unknown"));
}

/// Guards against attempts that continue after the caller has disconnected.
#[tokio::test]
async fn cancels_attempt_when_caller_disconnects() {
    let backend = TestBackend::start(BackendMode::Hold).await;
    let host = TestHost::start(&[backend.address]).await;
    let mut caller = host.connect().await;
    let head = format!("POST /desk/pay HTTP/1.1\r\nhost: e\r\nx-api-key: {KEY}\r\n");
    caller.write(&format!("{head}content-length: 1\r\n\r\nx")).await;
    backend.arrived.notified().await;
    drop(caller);
    backend.cancellation.notified().await;
    assert_eq!(backend.total_runs(), 1);
}

/// Guards against look-ups that return no host, and against an invalid client address that is accepted.
#[tokio::test]
async fn answers_look_ups() {
    let host = TestHost::start(&[]).await;
    let mut caller = host.connect().await;
    let target = "/v1/lookup?client=10.0.0.1&organisation=harbour";
    let response = caller.call("GET", target, "", "").await;
    assert_eq!(response.status, 200);
    assert!(response.header("cache-control").unwrap().starts_with("max-age="));
    let body: serde_json::Value = serde_json::from_str(&response.body).unwrap();
    assert_eq!(body["hosts"][0]["address"], host.address.to_string());
    let response = caller.call("GET", "/v1/lookup?client=nowhere", "", "").await;
    assert_eq!(response.refusal(), (400, "bad-request", "not-run"));
}
