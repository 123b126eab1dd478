//! Requests that the host refuses without forwarding them.

use crate::support::{BackendMode, KEY, SMALL_KEY, TestBackend, TestHost, document_text};
use sapphireknot::drain::DrainStage;
use sapphireknot::time::MonoTime;

/// Guards against requests that run without a valid key.
#[tokio::test]
async fn refuses_missing_and_wrong_keys_on_each_request() {
    let backend = TestBackend::start(BackendMode::Echo).await;
    let host = TestHost::start(&[backend.address]).await;
    let mut caller = host.connect().await;
    let cases = [
        (String::new(), "key-missing"),
        ("authorization: Bearer wrong\r\n".to_owned(), "key-rejected"),
        (format!("authorization: Basic {KEY}\r\n"), "key-rejected"),
        (format!("x-api-key: {KEY}\r\nx-api-key: {SMALL_KEY}\r\n"), "key-rejected"),
    ];
    for (headers, reason) in cases {
        let response = caller.call("GET", "/desk/reports", &headers, "").await;
        assert_eq!(response.refusal(), (401, reason, "not-run"));
        assert!(response.body.contains(reason), "{}", response.body);
    }
    assert_eq!(backend.received.lock().len(), 0);
}

/// Guards against a withdrawn key that is still accepted on an open connection.
#[tokio::test]
async fn refuses_withdrawn_key_on_open_connection() {
    let backend = TestBackend::start(BackendMode::Echo).await;
    let host = TestHost::start(&[backend.address]).await;
    let mut caller = host.connect().await;
    let headers = format!("authorization: Bearer {KEY}\r\n");
    assert_eq!(caller.call("GET", "/desk/reports", &headers, "").await.status, 200);
    host.install(2, &document_text(&[backend.address], "new-secret"));
    let response = caller.call("GET", "/desk/reports", &headers, "").await;
    assert_eq!(response.refusal(), (401, "key-rejected", "not-run"));
}

/// Guards against a request that runs although its key was withdrawn while the body was being received.
#[tokio::test]
async fn refuses_key_withdrawn_during_body() {
    let backend = TestBackend::start(BackendMode::Echo).await;
    let host = TestHost::start(&[backend.address]).await;
    let mut caller = host.connect().await;
    let head = format!("POST /desk/pay HTTP/1.1\r\nhost: e\r\nx-api-key: {KEY}\r\n");
    // The host asks for the body only after it has accepted the key.
    caller.write(&format!("{head}expect: 100-continue\r\ncontent-length: 1\r\n\r\n")).await;
    assert_eq!(caller.read().await.status, 100);
    host.install(2, &document_text(&[backend.address], "new-secret"));
    caller.write("x").await;
    assert_eq!(caller.read().await.refusal(), (401, "key-rejected", "not-run"));
    assert_eq!(backend.received.lock().len(), 0);
}

/// Guards against requests with API keys that run on a configuration of unknown age.
#[tokio::test]
async fn refuses_keyed_requests_when_stale() {
    let backend = TestBackend::start(BackendMode::Echo).await;
    let host = TestHost::start(&[backend.address]).await;
    host.context.fresh_until.set(MonoTime(1));
    let response = host.call("GET", "/desk/reports", "").await;
    assert_eq!(response.refusal(), (503, "stale", "not-run"));
    assert_eq!(response.header("retry-after"), Some("1"));
    let response = host.connect().await.call("GET", "/desk/public", "", "").await;
    assert_eq!(response.status, 200, "open routes are still served");
}

/// Guards against an organisation that exceeds its rate limit.
#[tokio::test]
async fn refuses_organisation_over_rate() {
    let backend = TestBackend::start(BackendMode::Echo).await;
    let host = TestHost::start(&[backend.address]).await;
    let mut caller = host.connect().await;
    let headers = format!("x-api-key: {SMALL_KEY}\r\n");
    assert_eq!(caller.call("GET", "/desk/reports", &headers, "").await.status, 200);
    let response = caller.call("GET", "/desk/reports", &headers, "").await;
    assert_eq!(response.refusal(), (429, "over-rate", "not-run"));
    assert_eq!(response.header("retry-after"), Some("10"));
    assert_eq!(
        host.call("GET", "/desk/reports", "").await.status,
        200,
        "other organisations are served"
    );
}

/// Guards against refusals with the wrong status or reason when a request cannot be served.
#[tokio::test]
async fn refuses_what_cannot_be_served() {
    let host = TestHost::start(&[]).await;
    let cases = [
        ("GET", "/desk/reports", (503, "no-server", "not-run")),
        ("GET", "/desk/pay", (405, "unknown-route", "not-run")),
        ("GET", "/desk/other", (404, "unknown-route", "not-run")),
        ("GET", "/other", (404, "unknown-route", "not-run")),
    ];
    for (method, target, refusal) in cases {
        assert_eq!(host.call(method, target, "").await.refusal(), refusal, "{target}");
    }
    host.context.config.store(None);
    let response = host.call("GET", "/desk/reports", "").await;
    assert_eq!(response.refusal(), (503, "not-ready", "not-run"));
    host.context.drain.send_replace(DrainStage::Closing);
    let response = host.call("GET", "/desk/reports", "").await;
    assert_eq!(response.refusal(), (503, "draining", "not-run"));
    assert_eq!(response.header("connection"), Some("close"));
}
