//! Helpers of several tests.

use std::time::{Duration, Instant};

use http::StatusCode;
use sapphireknot::operator::HostStatus;
use sapphireknot_standin::{
    client::{HttpCall, HttpReply},
    fixture::{BookingOutcome, ServiceBed, find_violations, wait_until},
    store::{OutageKind, StoreFaults},
};

/// Time limit of every wait.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);

/// Note that withdraws the key of `organisation`.
pub(crate) fn withdraw_key(organisation: &str) -> String {
    format!(
        "{{id: withdraw-{organisation}, items: [{{withdraw: {{key: {{organisation: {organisation}, key: k1}}}}}}]}}"
    )
}

/// Faults of a store that answers no call.
pub(crate) fn silent_store() -> StoreFaults {
    StoreFaults { outage: Some(OutageKind::Silent), ..StoreFaults::default() }
}

/// Fails unless `reply` refuses a request for `reason` and says that it did not run.
#[track_caller]
pub(crate) fn expect_not_run(reply: &HttpReply, reason: &str) {
    assert_eq!(reply.header("x-sapphireknot-reason"), Some(reason), "{:?}", reply.headers);
    assert_eq!(reply.header("x-sapphireknot-ran"), Some("not-run"));
}

/// Fails if a booking ran twice, was answered falsely or got another's answer.
#[track_caller]
pub(crate) fn expect_consistent(bed: &ServiceBed, outcomes: &[BookingOutcome]) {
    let runs = bed.runs().unwrap();
    let breaches = find_violations(outcomes, &runs);
    assert!(breaches.is_empty(), "{} of {}: {breaches:#?}", breaches.len(), outcomes.len());
    assert!(outcomes.iter().any(BookingOutcome::is_done));
}

/// Whether the host reports generation `generation`.
pub(crate) fn has_generation(generation: u64) -> impl Fn(&HostStatus) -> bool {
    move |status| status.generation.is_some_and(|it| it.0 == generation)
}

/// Waits until the host `index` answers a request of `organisation` with success.
pub(crate) async fn wait_served(bed: &ServiceBed, index: usize, organisation: &str) {
    wait_until("requests are served", LIMIT, async || {
        let reply = bed.fetch(index, organisation).await.ok()?;
        (reply.status == StatusCode::OK).then_some(())
    })
    .await
    .unwrap();
}

/// Fetches at the hosts `indexes` in turn for `span` and fails if one is not served.
pub(crate) async fn expect_served_for(bed: &ServiceBed, indexes: &[usize], span: Duration) {
    let end = Instant::now() + span;
    while Instant::now() < end {
        for &index in indexes {
            let reply = bed.fetch(index, "acme").await.unwrap();
            assert_eq!(reply.status, StatusCode::OK, "host {index}: {:?}", reply.headers);
        }
        // The pace of the requests; more would only load the machine.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A request of the open route.
pub(crate) fn open_call() -> HttpCall {
    HttpCall::get("/reports/public")
}
