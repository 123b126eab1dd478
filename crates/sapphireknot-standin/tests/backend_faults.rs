//! Tests of the backend server stand-in: slots, request records and injected faults.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::{Method, StatusCode};
use sapphireknot_standin::{
    backend::{
        BackendFaults, BackendPlan, BackendServer, DefectEffect, LoadFault, LoadReport,
        RequestRecord, RunCounts, VersionDefect,
    },
    client::{HttpCall, HttpClient, HttpReply},
    fault::FaultRule,
    fixture::wait_until,
};

fn start(plan: BackendPlan) -> (BackendServer, HttpClient) {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = BackendServer::start(plan, address, address).expect("loopback address is free");
    (server, HttpClient::new(Duration::from_secs(10)))
}

async fn send(server: &BackendServer, caller: &HttpClient, id: &str) -> Option<HttpReply> {
    let call = HttpCall::get("/reports/1").header("x-request-id", id);
    caller.send(server.addresses().backend, call).await.ok()
}

/// Guards against a server that runs more requests at a time than it has slots, or reports a request as shed after
/// running it.
#[tokio::test]
async fn slots_bound_requests() {
    let plan = BackendPlan { slots: 2, base_us: 150_000, ..BackendPlan::default() };
    let (server, caller) = start(plan);
    let calls = ["a", "b", "c", "d"].map(|id| send(&server, &caller, id));
    let [a, b, c, d] = calls;
    let replies = tokio::join!(a, b, c, d);
    let replies = [replies.0, replies.1, replies.2, replies.3].map(Option::unwrap);
    let shed: Vec<_> = replies.iter().filter(|it| it.status != StatusCode::OK).collect();
    assert_eq!(shed.len(), 2);
    for reply in shed {
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(reply.header("x-request-ran"), Some("no"));
        assert!(
            !server.state().counts().by_request.contains_key(reply.header("x-request-id").unwrap())
        );
    }
    assert_eq!((server.state().counts().begun, server.state().counts().shed), (2, 2));
}

/// Guards against runs and request headers that are not exposed at the control address.
#[tokio::test]
async fn records_are_readable() {
    let (server, caller) = start(BackendPlan::default());
    let addresses = server.addresses();
    for _ in 0..2 {
        let call = HttpCall::new(Method::POST, "/bookings?x=1")
            .header("x-request-id", "r1")
            .header("idempotency-key", "k1")
            .header("authorization", "Bearer secret")
            .body("content");
        let reply = caller.send(addresses.backend, call).await.unwrap();
        assert_eq!(reply.header("x-request-id"), Some("r1"));
    }
    let counts: RunCounts = caller.read_control(addresses.control, "/counts").await.unwrap();
    assert_eq!((counts.by_request["r1"], counts.by_key["k1"], counts.ended), (2, 2, 2));
    let records: Vec<RequestRecord> =
        caller.read_control(addresses.control, "/records").await.unwrap();
    assert_eq!(records[1].target, "/bookings?x=1");
    let secret = ("authorization".to_owned(), "Bearer secret".to_owned());
    assert!(records[0].headers.contains(&secret));
}

/// Guards against connection faults that the caller does not see, a reset before the run that still runs the request,
/// and a reset after the run that does not.
#[tokio::test]
async fn connection_faults_apply() {
    let (server, caller) = start(BackendPlan::default());
    let set = |faults| server.state().set_faults(faults);
    set(BackendFaults { reset_before: FaultRule::next(1), ..BackendFaults::default() });
    assert!(send(&server, &caller, "before").await.is_none());
    set(BackendFaults { reset_after: FaultRule::next(1), ..BackendFaults::default() });
    assert!(send(&server, &caller, "after").await.is_none());
    set(BackendFaults { truncated: FaultRule::next(1), ..BackendFaults::default() });
    assert!(send(&server, &caller, "truncated").await.is_none());
    let runs = server.state().counts().by_request;
    assert_eq!(runs.get("before"), None);
    assert_eq!((runs["after"], runs["truncated"]), (1, 1));
    let faults = BackendFaults { late: FaultRule::next(1), late_ms: 120, ..Default::default() };
    set(faults);
    let start = Instant::now();
    assert!(send(&server, &caller, "late").await.is_some());
    assert!(start.elapsed() >= Duration::from_millis(120));
}

/// Guards against load reports that stay correct although a fault is set, and against a drain that is not reported.
#[tokio::test]
async fn load_report_faults_apply() {
    let (server, caller) = start(BackendPlan::default());
    let addresses = server.addresses();
    let read = async || -> Option<LoadReport> {
        caller.read_control(addresses.backend, "/load").await.ok()
    };
    let set = |load| server.state().set_faults(BackendFaults { load, ..Default::default() });
    let accurate = read().await.unwrap();
    assert_eq!((accurate.slots, accurate.connections, accurate.leaving), (4, 1, false));
    set(LoadFault::Frozen);
    caller.write_control(addresses.control, Method::PUT, "/leaving", &true).await.unwrap();
    assert!(!read().await.unwrap().leaving);
    set(LoadFault::None);
    assert!(read().await.unwrap().leaving);
    let fixed = LoadReport { in_flight: 0, slots: 99, connections: 0, leaving: false };
    set(LoadFault::Fixed(fixed));
    assert_eq!(read().await, Some(fixed));
    set(LoadFault::Failing);
    assert_eq!(read().await, None);
}

/// Guards against defects that take effect outside their configured path, load, time or share, and against cold servers
/// that are not slower.
#[test]
fn defects_match_conditions() {
    let defect = VersionDefect {
        after_ms: 1_000,
        above_in_flight: 2,
        path_prefix: "/reports".to_owned(),
        share: 0.5,
        ..VersionDefect::always(DefectEffect::Fail)
    };
    let (before, after) = (Duration::from_millis(999), Duration::from_secs(1));
    assert!(defect.applies_to(after, 3, "/reports/1", 0.4));
    assert!(!defect.applies_to(before, 3, "/reports/1", 0.4));
    assert!(!defect.applies_to(after, 2, "/reports/1", 0.4));
    assert!(!defect.applies_to(after, 3, "/bookings", 0.4));
    assert!(!defect.applies_to(after, 3, "/reports/1", 0.5));

    let plan = BackendPlan { cold_ms: 1_000, cold_factor: 5.0, ..BackendPlan::default() };
    let times = [0, 500, 1_000].map(|age| plan.service_time(0.0, Duration::from_millis(age)));
    assert_eq!(times, [5, 3, 1].map(Duration::from_millis));
}

/// Guards against a defective version that responds with success.
#[tokio::test]
async fn defective_version_fails() {
    let (server, caller) = start(BackendPlan::default());
    let defects = vec![VersionDefect::always(DefectEffect::Fail)];
    server.state().set_faults(BackendFaults { defects, ..BackendFaults::default() });
    let reply = send(&server, &caller, "x").await.unwrap();
    assert_eq!(reply.status, StatusCode::INTERNAL_SERVER_ERROR);
}

/// Guards against a request that keeps running or keeps its slot after its caller disconnected or its deadline passed.
#[tokio::test]
async fn cancelled_requests_free_slots() {
    let plan = BackendPlan { slots: 1, base_us: 60_000_000, ..BackendPlan::default() };
    let (server, caller) = start(plan);
    let call = HttpCall::get("/reports/1").header("x-deadline-ms", "50");
    let reply = caller.send(server.addresses().backend, call).await.unwrap();
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(server.state().actual_load().in_flight, 0);

    let short_timeout_caller = HttpClient::new(Duration::from_millis(100));
    assert!(send(&server, &short_timeout_caller, "left").await.is_none());
    drop(short_timeout_caller);
    let ended = wait_until("the request has ended", Duration::from_secs(10), async || {
        (server.state().actual_load().in_flight == 0).then_some(())
    });
    ended.await.unwrap();
    let counts = server.state().counts();
    assert_eq!((counts.begun, counts.ended), (2, 0));
}
