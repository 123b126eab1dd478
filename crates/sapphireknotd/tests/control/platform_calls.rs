//! Hosts that use the platform stand-ins over gRPC.

use std::time::Duration;

use sapphireknot::{
    ids::ConfigGeneration,
    operator::{ChangeReceipt, DocumentSubmission},
};
use sapphireknot_standin::{
    hosts::{HostListServer, HostRow},
    store::StoreServer,
};
use sapphireknotd::control;

use crate::support::{TOKEN, bind_host, call, document, wait_for};

const HOSTS: usize = 12;
const LIMIT: Duration = Duration::from_secs(5);
const MEASURED_SECONDS: u64 = 5;

/// Guards against hosts that cannot connect to the platform in their settings, and against an excessive rate of store
/// calls: a host needs one read, one renewal and one new watch per second, and the limit is twice that.
#[tokio::test(flavor = "multi_thread")]
async fn store_call_rate() {
    let any = "127.0.0.1:0".parse().unwrap();
    let (store, list) = tokio::task::spawn_blocking(move || {
        (StoreServer::start(any, any).unwrap(), HostListServer::start(any, any).unwrap())
    })
    .await
    .unwrap();
    let mut bound = Vec::new();
    for idx in 0..HOSTS {
        let (store, list) = (store.addresses().store, list.addresses().hosts);
        bound.push(bind_host(idx, idx % 6, store, list).await);
    }
    let row = |it: &control::ControlListeners, idx: usize| HostRow {
        id: format!("h{idx}"),
        region: format!("r{}", idx % 3),
        datacentre: format!("d{}", idx % 6),
        peer_address: it.peer.local_addr().unwrap(),
        caller_address: it.peer.local_addr().unwrap(),
        leaving: false,
    };
    let rows = bound.iter().enumerate().map(|(idx, (_, it))| row(it, idx)).collect();
    list.registry().set_hosts(rows);
    let (mut contexts, mut handles) = (Vec::new(), Vec::new());
    for (context, listeners) in bound {
        handles.push(control::start(context.clone(), listeners).await.unwrap());
        contexts.push(context);
    }
    let submission = DocumentSubmission { document: document(), base: ConfigGeneration(0) };
    let address = contexts[0].identity.operator_address;
    let (_, receipt) =
        call::<_, ChangeReceipt>(address, TOKEN, "PUT", "/v1/config", &submission).await;
    assert_eq!(receipt, Some(ChangeReceipt::Accepted { generation: ConfigGeneration(1) }));
    wait_for("first generation", LIMIT, || contexts.iter().all(|it| it.config.load().is_some()))
        .await;

    let before = store.store().counts();
    tokio::time::sleep(Duration::from_secs(MEASURED_SECONDS)).await;
    let after = store.store().counts();
    let limit = HOSTS as u64 * 2 * MEASURED_SECONDS;
    let reads = after.reads - before.reads;
    let (writes, watches) = (after.writes - before.writes, after.watches - before.watches);
    assert!(reads <= limit && writes <= limit && watches <= limit, "{before:?} {after:?}");
    assert!(
        reads >= HOSTS as u64 * (MEASURED_SECONDS - 1),
        "too few reads for fresh proofs: {before:?} {after:?}"
    );
    assert!(contexts.iter().all(|it| it.clock.now() < it.fresh_until.get()));
    futures_util::future::join_all(handles.into_iter().map(|it| it.stop())).await;
    tokio::task::spawn_blocking(move || drop((store, list))).await.unwrap();
}
