//! Hosts with the platform's stand-ins behind gRPC.

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
const SECONDS: u64 = 5;

/// Guards against hosts that do not find the platform by their settings, and against more store calls a second than
/// a read, a renewal and a new watch for each host, with room for one more call of each kind.
#[tokio::test(flavor = "multi_thread")]
async fn platform_load() {
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
    tokio::time::sleep(Duration::from_secs(SECONDS)).await;
    let after = store.store().counts();
    let bound = HOSTS as u64 * 2 * SECONDS;
    let reads = after.reads - before.reads;
    let (writes, watches) = (after.writes - before.writes, after.watches - before.watches);
    assert!(reads <= bound && writes <= bound && watches <= bound, "{before:?} {after:?}");
    assert!(reads >= HOSTS as u64 * (SECONDS - 1), "too few proofs: {before:?} {after:?}");
    assert!(contexts.iter().all(|it| it.clock.now() < it.fresh_until.get()));
    futures_util::future::join_all(handles.into_iter().map(|it| it.stop())).await;
    tokio::task::spawn_blocking(move || drop((store, list))).await.unwrap();
}
