//! A key is withdrawn while its callers are connected.

use std::time::{Duration, Instant};

use http::StatusCode;
use sapphireknot_standin::fixture::{
    BookingLoad, BookingOutcome, ServiceBed, ServicePlan, wait_until,
};

use crate::support::{
    LIMIT, expect_consistent, expect_not_run, open_call, wait_served, withdraw_key,
};

/// Freshness of the test; longer than a proof's way over gossip to every host.
const FRESHNESS: Duration = Duration::from_secs(4);

/// Guards against an open connection on which a withdrawn key goes on working, and against a refusal of such a request
/// that ran.
#[tokio::test]
async fn connected_callers() {
    let bed = ServiceBed::start(ServicePlan::small(1)).await.unwrap();
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 2);
    load.wait_more("bookings are made", 30, LIMIT, BookingOutcome::is_done).await.unwrap();
    let output = bed.apply(1, &withdraw_key("acme"), &["--wait", "10s"]).await.unwrap();
    output.expect_code(0).unwrap();
    // Answers to bookings that began before the change was in force may still arrive: one for each worker.
    load.wait_more("bookings are refused", 12, LIMIT, |it| it.is_refused("key-rejected"))
        .await
        .unwrap();
    let before = load.outcomes().len();
    load.wait_more("bookings go on", 30, LIMIT, |_| true).await.unwrap();
    let outcomes = load.stop().await;
    assert!(outcomes[before..].iter().all(|it| it.is_refused("key-rejected")));
    expect_consistent(&bed, &outcomes);
    assert_eq!(bed.fetch(0, "beta").await.unwrap().status, StatusCode::OK);
}

/// Guards against a region that is cut off from the store and the other hosts and serves a withdrawn key for longer than
/// the configured freshness, or refuses open routes.
#[tokio::test]
async fn cut_region() {
    let mut plan = ServicePlan::small(1);
    plan.bed.timing.insert("key_freshness".to_owned(), "4s".into());
    let bed = ServiceBed::start(plan).await.unwrap();
    bed.bed.cut(&[2], &[0, 1]);
    bed.bed.cut_store(&[2]);
    let output = bed.apply(0, &withdraw_key("acme"), &[]).await.unwrap();
    output.expect_code(0).unwrap();
    let accepted = Instant::now();
    wait_until("the cut region refuses keyed requests", LIMIT, async || {
        let began = Instant::now();
        let reply = bed.fetch(2, "acme").await.ok()?;
        if reply.status == StatusCode::OK {
            assert!(began < accepted + FRESHNESS, "served {:?} after", began - accepted);
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
        wait_until("the key is rejected elsewhere", LIMIT, async || {
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
