//! Overload: a service receives more requests than its backend servers can run.

use sapphireknot_standin::fixture::{
    BookingAnswer, BookingLoad, BookingOutcome, ServiceBed, ServicePlan,
};

use crate::support::{WAIT_TIMEOUT, expect_consistent};

/// Slots of each backend server of the test bed.
const SLOTS: u32 = 4;

/// Returns a plan with two backend servers in each region that take 100 ms per request.
pub(crate) fn slow_plan(hosts: u8) -> ServicePlan {
    let mut plan = ServicePlan::paired(hosts);
    for server in &mut plan.servers {
        server.plan.slots = SLOTS;
        server.plan.base_us = 100_000;
    }
    plan
}

/// Guards against a host that sends a backend server more concurrent requests than it has slots, and against requests
/// that are refused with `no-room` after they ran.
#[tokio::test]
async fn one_host() {
    let bed = ServiceBed::start(slow_plan(1)).await.unwrap();
    warm_up(&bed, 1).await;
    let load = BookingLoad::start(&[bed.direct_caller(0, "acme")], 200);
    load.wait_more("the service is full", 40, WAIT_TIMEOUT, |it| it.is_refused("no-room"))
        .await
        .unwrap();
    load.wait_more("bookings are made", 100, WAIT_TIMEOUT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    expect_only_not_run(&outcomes);
    let peaks: Vec<_> = bed.counts().await.unwrap().iter().map(|it| it.peak).collect();
    assert_eq!(peaks, [SLOTS, 0, 0, SLOTS, 0, 0]);
}

/// Guards against the two hosts of a region together exceeding the slots that each of them may use at a backend server,
/// and against requests that are refused after they ran.
#[tokio::test]
async fn all_hosts() {
    let bed = ServiceBed::start(slow_plan(2)).await.unwrap();
    warm_up(&bed, 6).await;
    let callers: Vec<_> = (0..6).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 60);
    load.wait_more("the service is full", 60, WAIT_TIMEOUT, |it| it.is_refused("no-room"))
        .await
        .unwrap();
    load.wait_more("bookings are made", 100, WAIT_TIMEOUT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    expect_only_not_run(&outcomes);
    for counts in bed.counts().await.unwrap() {
        assert!(counts.peak <= 2 * SLOTS, "{}", counts.peak);
    }
}

/// Sends a request to each of the first `hosts` hosts. A host needs an estimate of the service time to refuse requests
/// that would miss their deadline.
pub(crate) async fn warm_up(bed: &ServiceBed, hosts: usize) {
    for index in 0..hosts {
        let call = ServiceBed::booking(&format!("warm-up-{index}"));
        let reply = bed.request(index, Some("acme"), call).await.unwrap();
        assert_eq!(reply.status, http::StatusCode::OK, "{:?}", reply.headers);
    }
}

/// Asserts that every booking succeeded, was refused before it ran, or exceeded its deadline while it ran.
pub(crate) fn expect_only_not_run(outcomes: &[BookingOutcome]) {
    let is_allowed = |it: &&BookingOutcome| match &it.answer {
        BookingAnswer::Done => true,
        // A host sends a request while at least half of its time is left, so the deadline may pass while it runs.
        BookingAnswer::Refused { reason, ran } => ran == "not-run" || reason == "deadline",
        BookingAnswer::Failed(status) => *status == 504,
        _ => false,
    };
    let violations: Vec<_> = outcomes.iter().filter(|it| !is_allowed(it)).collect();
    assert!(violations.is_empty(), "{violations:?}");
}
