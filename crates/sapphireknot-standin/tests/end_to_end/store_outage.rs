//! Outages of the store.

use std::time::Duration;

use http::StatusCode;
use sapphireknot_standin::{
    fixture::{GenerationSampler, ProcessSignal, ServiceBed, ServicePlan, wait_until},
    store::StoreFaults,
};

use crate::support::{
    WAIT_TIMEOUT, expect_not_run, expect_served_for, has_generation, open_call, silent_store,
    wait_served, withdraw_key,
};

/// Guards against a definite answer about a change whose outcome is unknown, requests that are refused while the store
/// is down, and a generation that decreases.
#[tokio::test]
async fn change_over_outage() {
    let bed = ServiceBed::start(ServicePlan::small(1)).await.unwrap();
    let sampler = GenerationSampler::start(&bed.bed);
    bed.set_store_faults(&silent_store()).await.unwrap();
    let note = withdraw_key("beta");
    let served = expect_served_for(&bed, &[0, 1, 2], Duration::from_secs(8));
    let (output, ()) = tokio::join!(bed.apply(1, &note, &["--timeout", "15s"]), served);
    let output = output.unwrap();
    assert_eq!(output.code, Some(4), "{}{}", output.stdout, output.stderr);
    assert!(output.stdout.starts_with("resolving: "), "{}", output.stdout);
    let status = ["status", "withdraw-beta"];
    let output = bed.bed.run_command(Some(0), &status, WAIT_TIMEOUT).await.unwrap();
    assert_eq!((output.code, output.stdout.as_str()), (Some(3), ""), "{}", output.stderr);

    bed.set_store_faults(&StoreFaults::default()).await.unwrap();
    let output = bed.apply(0, &note, &["--wait", "15s"]).await.unwrap();
    output.expect_code(0).unwrap();
    for index in 0..3 {
        bed.bed.wait_status(index, "generation 2", WAIT_TIMEOUT, has_generation(2)).await.unwrap();
        expect_not_run(&bed.fetch(index, "beta").await.unwrap(), "key-rejected");
    }
    assert!(sampler.samples() > 100);
    assert_eq!(sampler.regressions(), Vec::<String>::new());
}

/// Guards against a host that starts during an outage and serves without a configuration, never obtains one, or
/// installs an older one than it had.
#[tokio::test]
async fn restart_from_peer() {
    let mut bed = ServiceBed::start(ServicePlan::small(1)).await.unwrap();
    let sampler = GenerationSampler::start(&bed.bed);
    let output = bed.apply(1, &withdraw_key("beta"), &["--wait", "10s"]).await.unwrap();
    output.expect_code(0).unwrap();
    bed.set_store_faults(&silent_store()).await.unwrap();
    bed.bed.cut(&[2], &[0, 1]);
    bed.bed.signal_host(2, ProcessSignal::Kill).unwrap();
    bed.bed.restart_host(2).await.unwrap();
    sampler.update_addresses(&bed.bed);
    for _ in 0..10 {
        expect_not_run(&bed.fetch(2, "acme").await.unwrap(), "not-ready");
    }
    bed.bed.heal(&[2], &[0, 1]);
    wait_served(&bed, 2, "acme").await;
    expect_not_run(&bed.fetch(2, "beta").await.unwrap(), "key-rejected");
    assert_eq!(bed.bed.status(2).await.unwrap().generation.unwrap().0, 2);

    bed.bed.restart_host(0).await.unwrap();
    sampler.update_addresses(&bed.bed);
    wait_served(&bed, 0, "acme").await;
    // No host holds a grant any more, and new shares need the store, so organisations have no quota, although the host
    // has its configuration and rejects the withdrawn key.
    bed.bed.restart_host(1).await.unwrap();
    sampler.update_addresses(&bed.bed);
    wait_until("the host has a configuration", WAIT_TIMEOUT, async || {
        let reply = bed.fetch(1, "beta").await.ok()?;
        (reply.status == StatusCode::UNAUTHORIZED).then_some(())
    })
    .await
    .unwrap();
    wait_until("the loans of the former grant holders expire", WAIT_TIMEOUT, async || {
        let reply = bed.fetch(1, "acme").await.ok()?;
        (reply.status == StatusCode::TOO_MANY_REQUESTS).then_some(reply)
    })
    .await
    .map(|reply| expect_not_run(&reply, "over-rate"))
    .unwrap();
    assert_eq!(bed.request(1, None, open_call()).await.unwrap().status, StatusCode::OK);
    bed.set_store_faults(&StoreFaults::default()).await.unwrap();
    for index in 0..3 {
        wait_served(&bed, index, "acme").await;
    }
    for index in 0..3 {
        let condition = "the store answers";
        bed.bed
            .wait_status(index, condition, WAIT_TIMEOUT, |it| it.store_up && it.fresh)
            .await
            .unwrap();
    }
    assert!(sampler.samples() > 100);
    assert_eq!(sampler.regressions(), Vec::<String>::new());
}

/// Guards against requests that are refused while the process of the store is frozen, and against a late response after
/// the thaw that restores an older generation.
#[tokio::test]
async fn frozen_store() {
    let bed = ServiceBed::start(ServicePlan::small(1)).await.unwrap();
    let sampler = GenerationSampler::start(&bed.bed);
    bed.bed.store().process.signal(ProcessSignal::Freeze).unwrap();
    expect_served_for(&bed, &[0, 1, 2], Duration::from_secs(7)).await;
    bed.bed.store().process.signal(ProcessSignal::Thaw).unwrap();
    let output = bed.apply(0, &withdraw_key("beta"), &["--wait", "15s"]).await.unwrap();
    output.expect_code(0).unwrap();
    wait_until("the key is rejected", WAIT_TIMEOUT, async || {
        let reply = bed.fetch(2, "beta").await.ok()?;
        (reply.status == StatusCode::UNAUTHORIZED).then_some(())
    })
    .await
    .unwrap();
    assert_eq!(sampler.regressions(), Vec::<String>::new());
}
