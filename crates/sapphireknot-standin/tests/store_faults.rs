//! Tests of the store stand-in, in memory and over gRPC: semantics and injected faults.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http::Method;
use sapphireknot_platform::{
    GrpcStore, KeyValueStore, StoreError, StoreRevision, SwapOutcome, SwapWrite,
};
use sapphireknot_standin::{
    client::HttpClient,
    fault::FaultRule,
    store::{MemoryStore, OutageKind, StoreFaults, StoreServer},
};
use serde_json::json;

const CALL_TIMEOUT: Duration = Duration::from_millis(300);
const LONG_TIMEOUT: Duration = Duration::from_secs(10);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn server() -> (StoreServer, GrpcStore) {
    let server = StoreServer::start(any_port(), any_port()).expect("loopback address is free");
    let store = GrpcStore::new(server.addresses().store, CALL_TIMEOUT);
    (server, store)
}

fn write(key: &str, expected: StoreRevision, value: &[u8]) -> SwapWrite {
    SwapWrite { key: key.to_owned(), expected, value: Some(value.to_vec()), lease: None }
}

fn revision(outcome: SwapOutcome) -> StoreRevision {
    match outcome {
        SwapOutcome::Swapped(revision) => revision,
        other => panic!("compare-and-swap failed: {other:?}"),
    }
}

/// Guards against a compare-and-swap that ignores the expected revision, in memory and over gRPC.
#[tokio::test]
async fn swap_checks_revision() {
    let (_server, remote) = server();
    let stores: [Arc<dyn KeyValueStore>; 2] =
        [Arc::new(MemoryStore::new(CALL_TIMEOUT)), Arc::new(remote)];
    for store in stores {
        let swap = |expected, value| store.compare_and_swap(write("a/1", expected, value));
        let first = revision(swap(StoreRevision::ABSENT, b"x").await.unwrap());
        let lost = swap(StoreRevision::ABSENT, b"y").await.unwrap();
        let entry = store.get("a/1").await.unwrap().unwrap();
        assert_eq!((entry.revision, entry.value.as_slice()), (first, b"x".as_slice()));
        assert_eq!(lost, SwapOutcome::Conflict(Some(entry)));
        assert!(revision(swap(first, b"z").await.unwrap()) > first);
        store.compare_and_swap(write("b/1", StoreRevision::ABSENT, b"")).await.unwrap();
        assert_eq!(store.list("a/").await.unwrap().len(), 1);
        let largest = vec![7; 1 << 20];
        let outcome = store.compare_and_swap(write("c", StoreRevision::ABSENT, &largest)).await;
        revision(outcome.unwrap());
        assert_eq!(store.get("c").await.unwrap().unwrap().value, largest);
        let outcome = store.compare_and_swap(write("d", StoreRevision::ABSENT, &vec![0; 1048577]));
        assert!(matches!(outcome.await, Err(StoreError::Refused { .. })));
    }
}

/// Guards against entries that outlive their lease, and against a renewal that revives an expired lease.
#[tokio::test]
async fn lease_deletes_entries() {
    let (server, store) = server();
    let lease = store.grant_lease(Duration::from_millis(150)).await.unwrap();
    let attached = |key: &str| SwapWrite {
        lease: Some(lease),
        ..write(key, StoreRevision::ABSENT, b"holder")
    };
    let known = revision(store.compare_and_swap(attached("role/a")).await.unwrap());
    // The watch must report the deletion when the lease expires, without any other call to the store.
    let change = store.watch("role/a", known, LONG_TIMEOUT).await.unwrap();
    assert_eq!(change, Some(None));
    assert_eq!(store.renew_leases(&[lease]).await.unwrap(), []);
    let outcome = store.compare_and_swap(attached("role/a")).await.unwrap();
    assert_eq!(outcome, SwapOutcome::LeaseEnded);

    let lease = store.grant_lease(LONG_TIMEOUT).await.unwrap();
    let attached = SwapWrite { lease: Some(lease), ..attached("role/b") };
    store.compare_and_swap(attached).await.unwrap();
    assert_eq!(store.renew_leases(&[lease]).await.unwrap(), [lease]);
    let control = server.addresses().control;
    let call = json!({ "key": "role/b" });
    let caller = HttpClient::new(LONG_TIMEOUT);
    caller.write_control(control, Method::POST, "/end-lease", &call).await.unwrap();
    assert_eq!(store.get("role/b").await.unwrap(), None);
}

/// Guards against a watch that misses a write, or returns before its wait time without one.
#[tokio::test]
async fn watch_waits_for_change() {
    let (server, store) = server();
    let start = Instant::now();
    let wait = Duration::from_millis(80);
    assert_eq!(store.watch("k", StoreRevision::ABSENT, wait).await.unwrap(), None);
    assert!(start.elapsed() >= wait);
    let watching = store.watch("k", StoreRevision::ABSENT, LONG_TIMEOUT);
    let (change, written) = tokio::join!(watching, async {
        while server.store().counts().watches < 2 {
            tokio::task::yield_now().await;
        }
        store.compare_and_swap(write("k", StoreRevision::ABSENT, b"v")).await
    });
    let entry = change.unwrap().flatten().unwrap();
    assert_eq!(entry.revision, revision(written.unwrap()));
    assert_eq!(server.store().counts().writes, 1);
}

/// Guards against configured faults that have no effect, or that affect calls for which they are not configured.
#[tokio::test]
async fn faults_apply_as_configured() {
    let (server, store) = server();
    let control = server.addresses().control;
    let caller = HttpClient::new(LONG_TIMEOUT);
    let set = async |faults: &StoreFaults| {
        caller.write_control(control, Method::PUT, "/faults", faults).await.unwrap();
    };
    let lost_answer = StoreFaults { lost_answers: FaultRule::next(1), ..StoreFaults::default() };
    set(&lost_answer).await;
    let lost = store.compare_and_swap(write("k", StoreRevision::ABSENT, b"v")).await;
    assert!(matches!(lost, Err(StoreError::Unanswered { .. })));
    let entry = store.get("k").await.unwrap().unwrap();
    assert_eq!(entry.value, b"v");

    for outage in [OutageKind::Silent, OutageKind::Refused] {
        set(&StoreFaults { outage: Some(outage), ..StoreFaults::default() }).await;
        let start = Instant::now();
        let failed = store.compare_and_swap(write("k", entry.revision, b"w")).await;
        assert!(matches!(failed, Err(StoreError::Unanswered { .. })));
        assert_eq!(start.elapsed() >= CALL_TIMEOUT, outage == OutageKind::Silent);
    }
    set(&StoreFaults { delay_ms: 100, ..StoreFaults::default() }).await;
    let start = Instant::now();
    assert_eq!(store.get("k").await.unwrap().unwrap(), entry);
    assert!(start.elapsed() >= Duration::from_millis(100));
}

/// Guards against random loss of answers that differs between runs with the same seed.
#[tokio::test]
async fn loss_repeats_for_seed() {
    let run = async |seed| {
        let store = MemoryStore::new(Duration::from_millis(5));
        let lost_answers = FaultRule::share(0.5);
        store.set_faults(StoreFaults { lost_answers, seed, ..StoreFaults::default() });
        let mut lost = Vec::new();
        for number in 0..24 {
            let key = format!("k{number}");
            let outcome = store.compare_and_swap(write(&key, StoreRevision::ABSENT, b""));
            lost.push(outcome.await.is_err());
        }
        lost
    };
    let first = run(3).await;
    assert!(first.contains(&true) && first.contains(&false));
    assert_eq!(first, run(3).await);
    assert_ne!(first, run(4).await);
}
