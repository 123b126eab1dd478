//! Combinations of two faults.

use std::time::Duration;

use http::{Method, StatusCode};
use sapphireknot_standin::{
    fixture::{
        BookingLoad, BookingOutcome, GenerationSampler, ProcessSignal, ServiceBed, ServicePlan,
        wait_until,
    },
    store::StoreFaults,
};

use crate::{
    server_drain::{arrivals, expect_idle},
    service_flood::{expect_only_not_run, slow_plan, warm_up},
    support::{
        WAIT_TIMEOUT, expect_consistent, expect_served_for, silent_store, wait_served, withdraw_key,
    },
};

/// Guards against requests that are refused or run twice when a host is killed during a store outage.
#[tokio::test]
async fn outage_and_kill() {
    let mut bed = ServiceBed::start(ServicePlan::small(1)).await.unwrap();
    let sampler = GenerationSampler::start(&bed.bed);
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let load = BookingLoad::start(&callers, 2);
    bed.set_store_faults(&silent_store()).await.unwrap();
    bed.bed.signal_host(1, ProcessSignal::Kill).unwrap();
    expect_served_for(&bed, &[0, 2], Duration::from_secs(7)).await;
    bed.bed.restart_host(1).await.unwrap();
    sampler.update_addresses(&bed.bed);
    callers[1].replace_entries(vec![bed.bed.hosts()[1].caller_address()]);
    wait_served(&bed, 1, "acme").await;
    bed.set_store_faults(&StoreFaults::default()).await.unwrap();
    load.wait_more("bookings are made", 60, WAIT_TIMEOUT, BookingOutcome::is_done).await.unwrap();
    let outcomes = load.stop().await;
    expect_consistent(&bed, &outcomes);
    assert_eq!(sampler.regressions(), Vec::<String>::new());
}

/// Guards against a region that was partitioned during a store outage and still accepts a withdrawn key, relying on
/// freshness proofs of hosts that no longer reach it.
#[tokio::test]
async fn outage_and_cut() {
    let mut plan = ServicePlan::small(1);
    plan.bed.timing.insert("key_freshness".to_owned(), "4s".into());
    let bed = ServiceBed::start(plan).await.unwrap();
    bed.set_store_faults(&silent_store()).await.unwrap();
    bed.bed.wait_status(0, "the store is down", WAIT_TIMEOUT, |it| !it.store_up).await.unwrap();
    bed.bed.cut(&[2], &[0, 1]);
    bed.bed.cut_store(&[2]);
    bed.set_store_faults(&StoreFaults::default()).await.unwrap();
    let output = bed.apply(0, &withdraw_key("acme"), &["--wait", "15s"]).await.unwrap();
    assert!(matches!(output.code, Some(0 | 4)), "{}{}", output.stdout, output.stderr);
    wait_until("the isolated region refuses requests", WAIT_TIMEOUT, async || {
        let reply = bed.fetch(2, "acme").await.ok()?;
        (reply.header("x-sapphireknot-reason") == Some("stale")).then_some(())
    })
    .await
    .unwrap();
    bed.bed.heal(&[2], &[0, 1]);
    bed.bed.heal_store(&[2]);
    wait_until("the key is rejected", WAIT_TIMEOUT, async || {
        let reply = bed.fetch(2, "acme").await.ok()?;
        assert_ne!(reply.status, StatusCode::OK);
        (reply.status == StatusCode::UNAUTHORIZED).then_some(())
    })
    .await
    .unwrap();
}

/// Guards against a request burst that reaches a leaving backend server, overloads the others, or is refused after it
/// ran.
#[tokio::test]
async fn drain_and_burst() {
    let bed = ServiceBed::start(slow_plan(1)).await.unwrap();
    warm_up(&bed, 3).await;
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "acme")).collect();
    let steady_load = BookingLoad::start(&callers, 1);
    wait_until("the server is used", WAIT_TIMEOUT, async || {
        (arrivals(&bed, 0).await > 3).then_some(())
    })
    .await
    .unwrap();
    let control = bed.bed.backends()[0].addresses.control;
    bed.bed.caller().write_control(control, Method::PUT, "/leaving", &true).await.unwrap();
    let outcomes = steady_load.stop().await;
    expect_only_not_run(&outcomes);
    let callers: Vec<_> = (0..3).map(|it| bed.direct_caller(it, "beta")).collect();
    let burst_load = BookingLoad::start(&callers, 100);
    expect_idle(&bed, &burst_load, 0).await;
    let outcomes = burst_load.stop().await;
    expect_only_not_run(&outcomes);
    assert!(outcomes.iter().any(|it| it.is_refused("no-room")));
}
