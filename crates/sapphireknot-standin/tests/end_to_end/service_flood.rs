//! A service gets more requests than its backend servers can run.

use sapphireknot_standin::fixture::{
    BookingAnswer, BookingLoad, BookingOutcome, ServiceBed, ServicePlan,
};

use crate::support::{LIMIT, expect_consistent};

/// Slots of each backend server of the bed.
const SLOTS: u32 = 4;

/// Plan with two backend servers in each region that need 100 ms for each request.
pub(crate) fn slow_plan(hosts: u8) -> ServicePlan {
    let mut plan = ServicePlan::paired(hosts);
    for server in &mut plan.servers {
        server.plan.slots = SLOTS;
        server.plan.base_us = 100_000;
    }
    plan
}

/// Guards against a host that sends a backend server more requests than it has slots, and against a refusal for lack of
/// room that ran.
#[tokio::test]
async fn one_host() {
    let bed = ServiceBed::start(slow_plan(1)).await.unwrap();
    warm_up(&bed, 1).await;
    let load = BookingLoad::start(&[bed.direct_caller(0, "acme")], 200);
    load.wait_more("the service is full", 40, LIMIT, |it| it.is_refused("no-room")).await.unwrap();
    load.wait_more("bookings are made", 100, LIMIT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    expect_only_not_run(&outcomes);
    let peaks: Vec<_> = bed.counts().await.unwrap().iter().map(|it| it.peak).collect();
    assert_eq!(peaks, [SLOTS, 0, 0, SLOTS, 0, 0]);
}

/// Guards against hosts that together send a backend server more than each of them may, and against refusals that ran.
#[tokio::test]
async fn all_hosts() {
    let bed = ServiceBed::start(slow_plan(2)).await.unwrap();
    warm_up(&bed, 6).await;
    let callers: Vec<_> = (0..6).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 60);
    load.wait_more("the service is full", 60, LIMIT, |it| it.is_refused("no-room")).await.unwrap();
    load.wait_more("bookings are made", 100, LIMIT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    expect_only_not_run(&outcomes);
    for counts in bed.counts().await.unwrap() {
        assert!(counts.peak <= 2 * SLOTS, "{}", counts.peak);
    }
}

/// Lets each of the hosts learn how long a request takes, without which it cannot refuse those that would end too late.
pub(crate) async fn warm_up(bed: &ServiceBed, hosts: usize) {
    for index in 0..hosts {
        let call = ServiceBed::booking(&format!("warm-up-{index}"));
        let reply = bed.request(index, Some("acme"), call).await.unwrap();
        assert_eq!(reply.status, http::StatusCode::OK, "{:?}", reply.headers);
    }
}

/// Fails if a booking was refused otherwise than before its run, or because its deadline passed while it ran.
pub(crate) fn expect_only_not_run(outcomes: &[BookingOutcome]) {
    let is_allowed = |it: &&BookingOutcome| match &it.answer {
        BookingAnswer::Done => true,
        // A host sends a request as long as half of its time is left, so that the deadline may pass while it runs.
        BookingAnswer::Refused { reason, ran } => ran == "not-run" || reason == "deadline",
        BookingAnswer::Failed(status) => *status == 504,
        _ => false,
    };
    let others: Vec<_> = outcomes.iter().filter(|it| !is_allowed(it)).collect();
    assert!(others.is_empty(), "{others:?}");
}
