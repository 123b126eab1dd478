//! Shared helpers of the end-to-end tests.

use std::time::{Duration, Instant};

use http::StatusCode;
use sapphireknot::operator::HostStatus;
use sapphireknot_standin::{
    client::{HttpCall, HttpReply},
    fixture::{BookingOutcome, ServiceBed, find_violations, wait_until},
    store::{OutageKind, StoreFaults},
};

/// Timeout of every wait for a condition.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a release note that withdraws the key of `organisation`.
pub(crate) fn withdraw_key(organisation: &str) -> String {
    format!(
        "{{id: withdraw-{organisation}, items: [{{withdraw: {{key: {{organisation: {organisation}, key: k1}}}}}}]}}"
    )
}

/// Faults with which the store answers no call.
pub(crate) fn silent_store() -> StoreFaults {
    StoreFaults { outage: Some(OutageKind::Silent), ..StoreFaults::default() }
}

/// Asserts that `reply` refuses a request for `reason` and reports that it did not run.
#[track_caller]
pub(crate) fn expect_not_run(reply: &HttpReply, reason: &str) {
    assert_eq!(reply.header("x-sapphireknot-reason"), Some(reason), "{:?}", reply.headers);
    assert_eq!(reply.header("x-sapphireknot-ran"), Some("not-run"));
}

/// Asserts that no booking ran twice, was answered incorrectly or got the answer to another booking.
#[track_caller]
pub(crate) fn expect_consistent(bed: &ServiceBed, outcomes: &[BookingOutcome]) {
    let runs = bed.runs().unwrap();
    let breaches = find_violations(outcomes, &runs);
    assert!(
        breaches.is_empty(),
        "{} of {} bookings are inconsistent: {breaches:#?}",
        breaches.len(),
        outcomes.len()
    );
    assert!(outcomes.iter().any(BookingOutcome::is_done));
}

/// Returns a predicate that accepts the status of a host at `generation`.
pub(crate) fn has_generation(generation: u64) -> impl Fn(&HostStatus) -> bool {
    move |status| status.generation.is_some_and(|it| it.0 == generation)
}

/// Waits until the host `index` serves a request of `organisation`.
pub(crate) async fn wait_served(bed: &ServiceBed, index: usize, organisation: &str) {
    wait_until("requests are served", WAIT_TIMEOUT, async || {
        let reply = bed.fetch(index, organisation).await.ok()?;
        (reply.status == StatusCode::OK).then_some(())
    })
    .await
    .unwrap();
}

/// Sends requests to the hosts `indexes` in turn for `span` and asserts that each is served.
pub(crate) async fn expect_served_for(bed: &ServiceBed, indexes: &[usize], span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        for &index in indexes {
            let reply = bed.fetch(index, "acme").await.unwrap();
            assert_eq!(reply.status, StatusCode::OK, "host {index}: {:?}", reply.headers);
        }
        // Limits the request rate; a higher one would only load the machine.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns a request to the open route, which needs no key.
pub(crate) fn open_call() -> HttpCall {
    HttpCall::get("/reports/public")
}
