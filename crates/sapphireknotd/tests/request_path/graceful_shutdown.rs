//! Graceful shutdown of the request path.

use crate::support::{BackendMode, KEY, TestBackend, TestHost};
use std::time::Duration;

use sapphireknot::drain::DrainStage;
use sapphireknotd::daemon;

/// Guards against a shutdown that interrupts a request in flight, and against new requests that run while the host is
/// closing.
#[tokio::test]
async fn finishes_requests_in_flight() {
    let backend = TestBackend::start(BackendMode::Hold).await;
    let host = TestHost::start(&[backend.address]).await;
    let mut stages = host.context.drain.subscribe();
    let mut caller = host.connect().await;
    let mut idle = host.connect().await;
    let headers = format!("x-api-key: {KEY}\r\n");
    let (context, front) = (host.context.clone(), host.front.clone());
    let call = caller.call("POST", "/desk/pay", &headers, "x");
    let shutdown_sequence = async {
        backend.arrived.notified().await;
        let shutdown = tokio::spawn(async move {
            daemon::shut_down(&context, &front, std::future::ready(())).await
        });
        stages.wait_for(|it| *it == DrainStage::Leaving).await.unwrap();
        let response = idle.call("GET", "/v1/lookup", "", "").await;
        assert_eq!(
            response.refusal(),
            (503, "not-ready", "not-run"),
            "a leaving host refuses look-ups"
        );
        assert_eq!(response.header("connection"), Some("close"));
        stages.wait_for(|it| *it == DrainStage::Closing).await.unwrap();
        let refused = host.call("POST", "/desk/pay", "y").await;
        assert_eq!(refused.refusal(), (503, "draining", "not-run"));
        let ending = stages.wait_for(|it| *it == DrainStage::Ended);
        // The shutdown checks the requests in flight several times within this timeout.
        let ended = tokio::time::timeout(Duration::from_millis(50), ending).await.is_ok();
        assert!(!ended, "a request is in flight");
        backend.release.notify_one();
        shutdown.await.unwrap();
    };
    let (response, ()) = tokio::join!(call, shutdown_sequence);
    assert_eq!((response.status, response.body.as_str()), (200, "x"));
    assert_eq!(*host.context.drain.borrow(), DrainStage::Ended);
    assert_eq!(backend.total_runs(), 1);
}
