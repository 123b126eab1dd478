//! Failures of a host while requests are in flight.

use sapphireknot_standin::fixture::{
    BookingLoad, BookingOutcome, ProcessSignal, ServiceBed, ServicePlan,
};

use crate::support::{WAIT_TIMEOUT, expect_consistent, wait_served};

/// Guards against bookings that run twice, are refused as not run although they ran, or get the response of another
/// request, when a host is killed and restarted.
#[tokio::test]
async fn killed_host() {
    let mut bed = ServiceBed::start(ServicePlan::small(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 4);
    for index in [0, 1] {
        load.wait_more("bookings are made", 60, WAIT_TIMEOUT, BookingOutcome::is_done)
            .await
            .unwrap();
        bed.bed.signal_host(index, ProcessSignal::Kill).unwrap();
        load.wait_more("the other hosts serve", 60, WAIT_TIMEOUT, BookingOutcome::is_done)
            .await
            .unwrap();
        bed.bed.restart_host(index).await.unwrap();
        callers[index].replace_entries(vec![bed.bed.hosts()[index].caller_address()]);
        wait_served(&bed, index, "acme").await;
    }
    load.wait_more("all hosts serve again", 60, WAIT_TIMEOUT, BookingOutcome::is_done)
        .await
        .unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    assert!(outcomes.iter().any(|it| !it.is_done()), "no booking was interrupted by the kill");
}

/// Guards against bookings that run twice or get a wrong answer when a host is frozen for longer than its requests time
/// out and its leases expire.
#[tokio::test]
async fn frozen_host() {
    let bed = ServiceBed::start(ServicePlan::small(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 4);
    load.wait_more("bookings are made", 60, WAIT_TIMEOUT, BookingOutcome::is_done).await.unwrap();
    bed.bed.signal_host(1, ProcessSignal::Freeze).unwrap();
    // Each worker of the frozen host times out twice, which takes longer than `key_freshness` and the short lease.
    let unanswered = |it: &BookingOutcome| {
        matches!(it.answer, sapphireknot_standin::fixture::BookingAnswer::Unanswered(_))
    };
    load.wait_more("requests time out", 8, WAIT_TIMEOUT, unanswered).await.unwrap();
    bed.bed.signal_host(1, ProcessSignal::Thaw).unwrap();
    wait_served(&bed, 1, "acme").await;
    load.wait_more("all hosts serve again", 60, WAIT_TIMEOUT, BookingOutcome::is_done)
        .await
        .unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
}
