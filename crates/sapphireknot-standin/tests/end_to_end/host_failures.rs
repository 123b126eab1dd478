//! A host dies or stands still while requests are under way.

use sapphireknot_standin::fixture::{
    BookingLoad, BookingOutcome, ProcessSignal, ServiceBed, ServicePlan,
};

use crate::support::{LIMIT, expect_consistent, wait_served};

/// Guards against a booking that runs twice, a refused one that ran, and another request's answer, when a host is killed
/// and started again.
#[tokio::test]
async fn killed_host() {
    let mut bed = ServiceBed::start(ServicePlan::small(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 4);
    for index in [0, 1] {
        load.wait_more("bookings are made", 60, LIMIT, BookingOutcome::is_done).await.unwrap();
        bed.bed.signal_host(index, ProcessSignal::Kill).unwrap();
        load.wait_more("the others serve", 60, LIMIT, BookingOutcome::is_done).await.unwrap();
        bed.bed.restart_host(index).await.unwrap();
        callers[index].replace_entries(vec![bed.bed.hosts()[index].caller_address()]);
        wait_served(&bed, index, "acme").await;
    }
    load.wait_more("all serve again", 60, LIMIT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    assert!(outcomes.iter().any(|it| !it.is_done()), "no booking met the kill");
}

/// Guards against the same when a host stands still for longer than its callers, its leases and its deadlines last.
#[tokio::test]
async fn frozen_host() {
    let bed = ServiceBed::start(ServicePlan::small(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 4);
    load.wait_more("bookings are made", 60, LIMIT, BookingOutcome::is_done).await.unwrap();
    bed.bed.signal_host(1, ProcessSignal::Freeze).unwrap();
    // Each worker of the frozen host gives up twice, which takes longer than freshness and the short lease.
    let unanswered = |it: &BookingOutcome| {
        matches!(it.answer, sapphireknot_standin::fixture::BookingAnswer::Unanswered(_))
    };
    load.wait_more("callers give up", 8, LIMIT, unanswered).await.unwrap();
    bed.bed.signal_host(1, ProcessSignal::Thaw).unwrap();
    wait_served(&bed, 1, "acme").await;
    load.wait_more("all serve again", 60, LIMIT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
}
