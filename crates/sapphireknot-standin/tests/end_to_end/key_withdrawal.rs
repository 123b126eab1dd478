//! Withdrawal of a key while its callers are connected.

use std::time::{Duration, Instant};

use http::StatusCode;
use sapphireknot_standin::fixture::{
    BookingLoad, BookingOutcome, ServiceBed, ServicePlan, wait_until,
};

use crate::support::{
    WAIT_TIMEOUT, expect_consistent, expect_not_run, open_call, wait_served, withdraw_key,
};

/// Value of `key_freshness` in the test; longer than gossip takes to carry a freshness proof to every host.
const KEY_FRESHNESS: Duration = Duration::from_secs(4);

/// Guards against an open connection on which a withdrawn key is still accepted, and against a request that is refused
/// for it after it ran.
#[tokio::test]
async fn connected_callers() {
    let bed = ServiceBed::start(ServicePlan::small(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 2);
    load.wait_more("bookings are made", 30, WAIT_TIMEOUT, BookingOutcome::is_done).await.unwrap();
    let output = bed.apply(1, &withdraw_key("acme"), &["--wait", "10s"]).await.unwrap();
    output.expect_code(0).unwrap();
    // Responses to bookings that began before the change was in force may still arrive: one for each worker.
    load.wait_more("bookings are refused", 12, WAIT_TIMEOUT, |it| it.is_refused("key-rejected"))
        .await
        .unwrap();
    let before = load.outcomes().len();
    load.wait_more("bookings continue", 30, WAIT_TIMEOUT, |_| true).await.unwrap();
    let outcomes = load.stop().await;
    assert!(outcomes[before..].iter().all(|it| it.is_refused("key-rejected")));
    expect_consistent(&bed, &outcomes);
    assert_eq!(bed.fetch(0, "beta").await.unwrap().status, StatusCode::OK);
}

/// Guards against a region that is partitioned from the store and the other hosts and accepts a withdrawn key for
/// longer than `key_freshness`, or refuses requests to open routes.
#[tokio::test]
async fn isolated_region() {
    let mut plan = ServicePlan::small(1);
    plan.bed.timing.insert("key_freshness".to_owned(), "4s".into());
    let bed = ServiceBed::start(plan).await.unwrap();
    bed.bed.cut(&[2], &[0, 1]);
    bed.bed.cut_store(&[2]);
    let output = bed.apply(0, &withdraw_key("acme"), &[]).await.unwrap();
    output.expect_code(0).unwrap();
    let accepted = Instant::now();
    wait_until("the isolated region refuses keyed requests", WAIT_TIMEOUT, async || {
        let began = Instant::now();
        let reply = bed.fetch(2, "acme").await.ok()?;
        if reply.status == StatusCode::OK {
            assert!(
                began < accepted + KEY_FRESHNESS,
                "served {:?} after the withdrawal",
                began - accepted
            );
            return None;
        }
        expect_not_run(&reply, "stale");
        Some(())
    })
    .await
    .unwrap();
    expect_not_run(&bed.fetch(2, "beta").await.unwrap(), "stale");
    let reply = bed.request(2, None, open_call()).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
    for index in [0, 1] {
        wait_until("the other regions reject the key", WAIT_TIMEOUT, async || {
            let reply = bed.fetch(index, "acme").await.ok()?;
            (reply.status == StatusCode::UNAUTHORIZED).then_some(())
        })
        .await
        .unwrap();
    }

    bed.bed.heal(&[2], &[0, 1]);
    bed.bed.heal_store(&[2]);
    wait_served(&bed, 2, "beta").await;
    expect_not_run(&bed.fetch(2, "acme").await.unwrap(), "key-rejected");
}
