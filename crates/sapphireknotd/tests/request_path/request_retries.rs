//! Retries at backend servers, and the outcome that is reported to the caller.

use std::{net::SocketAddr, sync::atomic::Ordering};

use crate::{
    server_choice::start_backend,
    support::{BackendMode, TestBackend, TestHost, document_text, start_repeating_backend},
};
use sapphireknot_standin::{backend::BackendFaults, fault::FaultRule};
use tokio::net::TcpListener;

/// Returns an address without a listener.
async fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Guards against a non-idempotent request that is sent again after it may have run.
#[tokio::test]
async fn sends_non_idempotent_request_once_if_it_may_have_run() {
    let broken = TestBackend::start(BackendMode::Truncate).await;
    let other = TestBackend::start(BackendMode::Truncate).await;
    let host = TestHost::start(&[broken.address, other.address]).await;
    let response = host.call("POST", "/desk/pay", "x").await;
    assert_eq!(response.refusal(), (502, "upstream-failed", "unknown"));
    assert_eq!(broken.total_runs() + other.total_runs(), 1);
}

/// Guards against a non-idempotent request that is refused although it provably did not run and could be retried.
#[tokio::test]
async fn sends_non_idempotent_request_again_if_it_did_not_run() {
    let shedding = TestBackend::start(BackendMode::Shed).await;
    let backend = TestBackend::start(BackendMode::Echo).await;
    let servers = [shedding.address, closed_address().await, backend.address];
    let host = TestHost::start(&servers).await;
    // The order of the servers is random.
    while shedding.received.lock().is_empty() {
        let response = host.call("POST", "/desk/pay", "x").await;
        assert_eq!((response.status, response.body.as_str()), (200, "x"));
    }
    assert_eq!((shedding.total_runs(), backend.most_runs()), (0, 1));
    *backend.mode.lock() = BackendMode::Shed;
    let response = host.call("POST", "/desk/pay", "x").await;
    assert_eq!(response.refusal().2, "not-run");
}

/// Guards against a caller that does not receive the `Retry-After` of a shedding backend server, and against retries of
/// shed requests beyond the budget.
#[tokio::test]
async fn forwards_retry_after_of_shedding_server() {
    let backend = TestBackend::start(BackendMode::Shed).await;
    let host = TestHost::start(&[backend.address]).await;
    let calls = (0..20).map(|_| host.call("POST", "/desk/pay", "x"));
    for response in futures_util::future::join_all(calls).await {
        assert_eq!(response.refusal(), (503, "no-room", "not-run"));
        assert_eq!(response.header("retry-after"), Some("3"));
    }
    // Twenty requests, the initial budget of ten retries, and a tenth of twenty.
    assert!(backend.received.lock().len() <= 32, "{}", backend.received.lock().len());
    assert_eq!(backend.total_runs(), 0);
}

/// Guards against a request that is refused as not run although it ran: it is sent to the same server again, and a copy of
/// the first refusal arrives before the response to the second attempt.
#[tokio::test]
async fn refusal_of_earlier_attempt() {
    let (server, runs) = start_repeating_backend().await;
    let host = TestHost::start(&[server]).await;
    for _ in 0..10 {
        let before = runs.load(Ordering::SeqCst);
        let response = host.call("POST", "/desk/pay", "x").await;
        let has_run = runs.load(Ordering::SeqCst) > before;
        let is_refused = response.status == 503 || response.refusal().2 == "not-run";
        assert!(!(has_run && is_refused), "{:?} for a request that ran", response.refusal());
    }
}

/// Guards against the late response of an abandoned attempt that reaches the caller of another request.
#[tokio::test]
async fn late_responses_are_discarded() {
    let backend = start_backend(8, 1_000);
    let faults =
        BackendFaults { late: FaultRule::share(0.4), late_ms: 130, ..BackendFaults::default() };
    backend.state().set_faults(faults);
    let host = TestHost::start(&[backend.addresses().backend]).await;
    let rounds = (0..4).map(|_| async {
        let mut late = 0;
        for _ in 0..10 {
            let response = host.call("POST", "/desk/brief", "x").await;
            if response.status == 200 {
                let body: serde_json::Value = serde_json::from_str(&response.body).unwrap();
                assert_eq!(body["request_id"].as_str(), response.header("x-request-id"));
            } else {
                assert_eq!(response.refusal(), (504, "deadline", "unknown"));
                late += 1;
            }
        }
        late
    });
    let late: usize = futures_util::future::join_all(rounds).await.into_iter().sum();
    assert!((1..40).contains(&late), "{late}");
}

/// Guards against a truncated response that is forwarded as complete, and against idempotent requests that are not
/// retried.
#[tokio::test]
async fn retries_idempotent_request_after_broken_response() {
    let broken = TestBackend::start(BackendMode::Truncate).await;
    let backend = TestBackend::start(BackendMode::Echo).await;
    let host = TestHost::start(&[broken.address, backend.address]).await;
    let mut calls = 0;
    // The order of the servers is random.
    while broken.total_runs() == 0 {
        let response = host.call("PUT", "/desk/reports", "x").await;
        assert_eq!((response.status, response.body.as_str()), (200, "x"));
        calls += 1;
    }
    assert_eq!((broken.total_runs(), backend.total_runs()), (1, calls));
}

/// Guards against retries that multiply the load on a failing service.
#[tokio::test]
async fn keeps_retries_in_budget() {
    let first = TestBackend::start(BackendMode::Truncate).await;
    let second = TestBackend::start(BackendMode::Truncate).await;
    let host = TestHost::start(&[first.address, second.address]).await;
    for _ in 0..100 {
        let response = host.call("GET", "/desk/reports", "").await;
        assert_eq!(response.refusal(), (502, "upstream-failed", "unknown"));
    }
    let runs = first.total_runs() + second.total_runs();
    // A hundred requests, the initial budget of ten retries, and a tenth of a hundred.
    assert_eq!(runs, 120);
}

/// Guards against callers that wait longer than the timeout of the route.
#[tokio::test]
async fn ends_attempt_at_deadline() {
    let backend = TestBackend::start(BackendMode::Hold).await;
    let host = TestHost::start(&[backend.address]).await;
    let response = host.call("POST", "/desk/brief", "x").await;
    assert_eq!(response.refusal(), (504, "deadline", "unknown"));
    backend.cancellation.notified().await;
    *backend.mode.lock() = BackendMode::Echo;
    assert_eq!(host.call("POST", "/desk/brief", "y").await.body, "y");
}

/// Guards against a retry with a key that was withdrawn during the first attempt.
#[tokio::test]
async fn checks_key_before_each_attempt() {
    let first = TestBackend::start(BackendMode::Hold).await;
    let host = TestHost::start(&[first.address]).await;
    let withdrawing = async {
        first.arrived.notified().await;
        let other = TestBackend::start(BackendMode::Echo).await;
        host.install(2, &document_text(&[first.address, other.address], "new-secret"));
        *first.mode.lock() = BackendMode::Truncate;
        first.release.notify_one();
        other
    };
    let call = host.call("GET", "/desk/reports", "");
    let (response, other) = tokio::join!(call, withdrawing);
    assert_eq!(response.refusal(), (401, "key-rejected", "unknown"));
    assert_eq!((first.total_runs(), other.total_runs()), (1, 0));
}
