//! Idempotency keys over several hosts.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use parking_lot::Mutex;
use sapphireknot::{
    idempotency::ClaimReply,
    ids::{ConfigGeneration, IncarnationId},
    membership::{MemberRecord, MemberState},
    time::MonoTime,
};
use sapphireknot_standin::backend::{BackendFaults, BackendServer};
use sapphireknotd::claims::{ClaimCalls, ClaimMessage, ClaimStep, RequestClaims};

use crate::{
    server_choice::start_backend,
    support::{KEY, TestHost, TestResponse, document_text},
};

/// Calls that reach the hosts of a test in this process.
#[derive(Default)]
struct TestCalls {
    owners: Mutex<HashMap<SocketAddr, Arc<RequestClaims>>>,
    /// Number of the call of which every multiple loses its reply; none if zero.
    loses_every: usize,
    calls: Mutex<usize>,
}

#[async_trait]
impl ClaimCalls for TestCalls {
    async fn call(&self, owner: SocketAddr, message: &ClaimMessage) -> Option<ClaimReply> {
        let claims = self.owners.lock().get(&owner).cloned()?;
        let reply = claims.answer(message.clone());
        let mut calls = self.calls.lock();
        *calls += usize::from(message.step == ClaimStep::Begin);
        let is_lost = self.loses_every > 0 && calls.is_multiple_of(self.loses_every);
        (!is_lost).then_some(reply)
    }
}

/// Four hosts that know one another and send to `backend`; they vouch for keys if the cluster is new.
async fn start(backend: &BackendServer, loses_every: usize, is_new: bool) -> Vec<TestHost> {
    let calls = Arc::new(TestCalls { loses_every, ..TestCalls::default() });
    let (mut hosts, mut members) = (Vec::new(), Vec::new());
    for index in 1..=4 {
        let id = format!("entry-{index}");
        let host = TestHost::start_as(&id, &[backend.addresses().backend]).await;
        let identity = &host.context.identity;
        members.push(MemberRecord {
            id: identity.id.clone(),
            region: identity.region.clone(),
            datacentre: identity.datacentre.clone(),
            peer_address: identity.peer_address,
            caller_address: identity.caller_address,
            incarnation: IncarnationId(1),
            state: MemberState::Alive,
            generation: ConfigGeneration(1),
            drained: ConfigGeneration(1),
            load_permille: 0,
            version: 1,
        });
        let claims = host.context.claims.clone();
        if is_new {
            claims.set_history_start(MonoTime(0));
        }
        claims.connect(calls.clone());
        calls.owners.lock().insert(identity.peer_address, claims);
        hosts.push(host);
    }
    for host in &hosts {
        host.context.publish_members(members.clone());
    }
    hosts
}

async fn pay(host: &TestHost, key: &str) -> TestResponse {
    let headers = format!("x-api-key: {KEY}\r\nidempotency-key: {key}\r\n");
    host.connect().await.call("POST", "/desk/pay", &headers, "x").await
}

fn most_runs(backend: &BackendServer) -> u32 {
    backend.state().counts().by_key.values().copied().max().unwrap_or(0)
}

/// Guards against a payment that runs twice because it was sent to two hosts.
#[tokio::test]
async fn two_hosts_run_one_key_once() {
    let backend = start_backend(4, 20_000);
    let hosts = start(&backend, 0, true).await;
    assert_eq!(pay(&hosts[0], "k0").await.status, 200);
    let again = pay(&hosts[1], "k0").await;
    assert_eq!(again.refusal(), (409, "duplicate", "ran"));
    let (first, second) = tokio::join!(pay(&hosts[0], "k1"), pay(&hosts[1], "k1"));
    let refused = [&first, &second].into_iter().filter(|it| it.status != 200);
    assert!(refused.clone().count() >= 1);
    assert!(refused.clone().all(|it| it.refusal() == (409, "duplicate", "unknown")));
    assert_eq!(most_runs(&backend), 1);
    // Without the header, and on idempotent routes, nothing is claimed.
    for _ in 0..2 {
        assert_eq!(hosts[0].call("POST", "/desk/pay", "x").await.status, 200);
        let headers = format!("x-api-key: {KEY}\r\nidempotency-key: k0\r\n");
        let response = hosts[2].connect().await.call("GET", "/desk/reports", &headers, "").await;
        assert_eq!(response.status, 200);
    }
}

/// Guards against a second run where the first answer to the caller, or answers of owners, are lost.
#[tokio::test]
async fn lost_answers_cause_no_second_run() {
    let backend = start_backend(4, 1_000);
    let hosts = start(&backend, 4, true).await;
    let faults = BackendFaults {
        reset_after: sapphireknot_standin::fault::FaultRule::share(0.3),
        ..BackendFaults::default()
    };
    backend.state().set_faults(faults);
    let mut served = 0;
    for number in 0..40 {
        for host in [&hosts[number % 4], &hosts[(number + 1) % 4], &hosts[(number + 2) % 4]] {
            let response = pay(host, &format!("k{number}")).await;
            served += usize::from(response.status == 200);
            let (_, _, ran) = response.refusal();
            assert!(
                response.status == 200 || ran == "unknown" || ran == "ran",
                "{}",
                response.head
            );
        }
    }
    assert_eq!(most_runs(&backend), 1);
    assert!(served > 20, "{served}");
}

/// Guards against a caller that leaves during the run and runs the request again on another host.
#[tokio::test]
async fn caller_that_left_does_not_run_twice() {
    let backend = start_backend(4, 500_000);
    let hosts = start(&backend, 0, true).await;
    let has_begun = async {
        while backend.state().counts().begun == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::select! {
        _ = pay(&hosts[0], "k0") => panic!("the request ended before the caller left"),
        () = has_begun => {}
    }
    for host in &hosts {
        assert_eq!(pay(host, "k0").await.refusal(), (409, "duplicate", "unknown"));
    }
    assert_eq!(most_runs(&backend), 1);
}

/// Guards against a key that stays blocked although its request provably did not run.
#[tokio::test]
async fn key_is_free_after_not_run() {
    let backend = start_backend(4, 1_000);
    let hosts = start(&backend, 0, true).await;
    let faults = BackendFaults {
        shed: sapphireknot_standin::fault::FaultRule::share(1.0),
        ..BackendFaults::default()
    };
    backend.state().set_faults(faults);
    assert_eq!(pay(&hosts[0], "k0").await.refusal().2, "not-run");
    backend.state().set_faults(BackendFaults::default());
    // The owners learn the end a moment after the caller.
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(pay(&hosts[1], "k0").await.status, 200);
}

/// Guards against owners that restarted and vouch for keys that they cannot know.
#[tokio::test]
async fn restarted_owners_do_not_vouch() {
    let backend = start_backend(4, 1_000);
    let hosts = start(&backend, 0, false).await;
    assert_eq!(pay(&hosts[0], "k0").await.refusal(), (409, "duplicate", "unknown"));
    let headers = format!("x-api-key: {KEY}\r\nidempotency-key: a\r\nidempotency-key: b\r\n");
    let response = hosts[0].connect().await.call("POST", "/desk/pay", &headers, "x").await;
    assert_eq!(response.refusal(), (400, "bad-request", "not-run"));
    assert_eq!(backend.state().counts().begun, 0);
}

/// Guards against a request that still runs when the owners may have forgotten its key.
#[tokio::test]
async fn claimed_request_ends_before_window() {
    let backend = start_backend(4, 1_000);
    let hosts = start(&backend, 0, true).await;
    let text = document_text(&[backend.addresses().backend], KEY);
    hosts[0].install(2, &text.replace("timeout: 5s", "timeout: 300s"));
    assert_eq!(hosts[0].call("POST", "/desk/pay", "x").await.status, 200);
    assert_eq!(pay(&hosts[0], "k0").await.status, 200);
    let deadline = |index: usize| {
        let records = backend.state().records();
        let mut headers = records[index].headers.iter();
        let (_, value) = headers.find(|(name, _)| *name == "x-deadline-ms").unwrap();
        value.parse::<u64>().unwrap()
    };
    assert!(deadline(0) > 250_000);
    // The window of two minutes less the drift of clocks.
    assert!(deadline(1) < 119_000);
}
