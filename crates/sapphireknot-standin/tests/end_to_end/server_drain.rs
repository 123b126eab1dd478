//! Draining of a backend server.

use std::time::{Duration, Instant};

use http::Method;
use sapphireknot_standin::fixture::{
    BookingLoad, BookingOutcome, ServiceBed, ServicePlan, wait_until,
};
use serde_json::json;

use crate::support::{WAIT_TIMEOUT, expect_consistent};

/// Time after which a leaving backend server must receive no new requests.
const DRAIN_SPAN: Duration = Duration::from_secs(3);

/// Returns a release note that marks the backend server `index` as leaving.
pub(crate) fn leaving_note(bed: &ServiceBed, index: usize) -> String {
    let mut server = bed.document()["services"][0]["servers"][index].clone();
    server["leaving"] = true.into();
    let item = json!({ "change": { "server": { "service": "reports", "server": server } } });
    json!({ "id": format!("leave-{index}"), "items": [item] }).to_string()
}

/// Number of requests that arrived at the backend server `index`, whether they ran or not.
pub(crate) async fn arrivals(bed: &ServiceBed, index: usize) -> u64 {
    let counts = &bed.counts().await.unwrap()[index];
    counts.begun + counts.shed
}

/// Asserts that the backend server `index` receives no requests once `DRAIN_SPAN` has passed, while bookings continue.
pub(crate) async fn expect_idle(bed: &ServiceBed, load: &BookingLoad, index: usize) {
    let deadline = Instant::now() + DRAIN_SPAN;
    wait_until("the drain span has passed", WAIT_TIMEOUT, async || {
        (Instant::now() >= deadline).then_some(())
    })
    .await
    .unwrap();
    let before = arrivals(bed, index).await;
    load.wait_more("bookings continue", 150, WAIT_TIMEOUT, BookingOutcome::is_done).await.unwrap();
    assert_eq!(arrivals(bed, index).await, before, "a leaving server received requests");
}

/// Guards against new requests to a backend server that is marked as leaving in the configuration, and against requests
/// that fail because of its drain.
#[tokio::test]
async fn leaving_by_configuration() {
    let bed = ServiceBed::start(ServicePlan::paired(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 2);
    wait_until("the server is used", WAIT_TIMEOUT, async || {
        (arrivals(&bed, 0).await > 10).then_some(())
    })
    .await
    .unwrap();
    let output = bed.apply(1, &leaving_note(&bed, 0), &["--wait", "10s"]).await.unwrap();
    output.expect_code(0).unwrap();
    expect_idle(&bed, &load, 0).await;
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    assert!(outcomes.iter().all(BookingOutcome::is_done));
}

/// Guards against new requests to a backend server that reports itself as leaving, against requests that fail because
/// of its drain, and against a server that stays unused after it stops leaving.
#[tokio::test]
async fn leaving_by_report() {
    let bed = ServiceBed::start(ServicePlan::paired(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 2);
    wait_until("the server is used", WAIT_TIMEOUT, async || {
        (arrivals(&bed, 2).await > 10).then_some(())
    })
    .await
    .unwrap();
    let control = bed.bed.backends()[2].addresses.control;
    bed.bed.caller().write_control(control, Method::PUT, "/leaving", &true).await.unwrap();
    expect_idle(&bed, &load, 2).await;
    bed.bed.caller().write_control(control, Method::PUT, "/leaving", &false).await.unwrap();
    let before = arrivals(&bed, 2).await;
    wait_until("the server is used again", WAIT_TIMEOUT, async || {
        (arrivals(&bed, 2).await > before).then_some(())
    })
    .await
    .unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    assert!(outcomes.iter().all(BookingOutcome::is_done));
}
