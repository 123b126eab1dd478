//! A service gets more requests than its backend servers can run.

use sapphireknot_standin::fixture::{
    BookingAnswer, BookingLoad, BookingOutcome, ServiceBed, ServicePlan,
};

use crate::support::{LIMIT, expect_consistent};

/// Slots of each backend server of the bed.
const SLOTS: u32 = 4;

/// Plan whose backend servers need 100 ms for each request: 120 requests a second for the whole service.
pub(crate) fn slow_plan() -> ServicePlan {
    let mut plan = ServicePlan::small(1);
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
    let bed = ServiceBed::start(slow_plan()).await.unwrap();
    let load = BookingLoad::start(&[bed.direct_caller(0, "acme")], 40);
    load.wait_more("the service is full", 40, LIMIT, |it| it.is_refused("no-room")).await.unwrap();
    load.wait_more("bookings are made", 100, LIMIT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    expect_only_not_run(&outcomes);
    let peaks: Vec<_> = bed.counts().await.unwrap().iter().map(|it| it.peak).collect();
    assert_eq!(peaks, [SLOTS; 3]);
}

/// Guards against hosts that together send a backend server more than each of them may, and against refusals that ran.
#[tokio::test]
async fn all_hosts() {
    let bed = ServiceBed::start(slow_plan()).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 25);
    load.wait_more("the service is full", 60, LIMIT, |it| it.is_refused("no-room")).await.unwrap();
    load.wait_more("bookings are made", 100, LIMIT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    expect_only_not_run(&outcomes);
    for counts in bed.counts().await.unwrap() {
        assert!(counts.peak <= 3 * SLOTS, "{}", counts.peak);
    }
}

/// Fails if a booking was refused otherwise than before its run.
pub(crate) fn expect_only_not_run(outcomes: &[BookingOutcome]) {
    let is_allowed = |it: &&BookingOutcome| match &it.answer {
        BookingAnswer::Done => true,
        BookingAnswer::Refused { ran, .. } => ran == "not-run",
        _ => false,
    };
    let others: Vec<_> = outcomes.iter().filter(|it| !is_allowed(it)).collect();
    assert!(others.is_empty(), "{others:?}");
}
