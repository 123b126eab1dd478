//! Tests of the load generator: arrival times, latency measurement and look-ups.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use sapphireknot_standin::{
    backend::{BackendPlan, BackendServer},
    client::HttpCall,
    load::{CallerPlan, LoadPlan, LookupCaller},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

fn plan(rate: f64, span: Duration) -> LoadPlan {
    let (frequent, rare) = (HttpCall::get("/reports"), HttpCall::get("/calendar"));
    LoadPlan { rate, span, seed: 5, mix: vec![(3, 0, frequent), (1, 0, rare)] }
}

fn caller(entries: Vec<SocketAddr>, direct: bool) -> Arc<LookupCaller> {
    let organisation = "org".to_owned();
    let client = [192, 0, 2, 1].into();
    let plan = CallerPlan { client, organisation, key: None, entries, direct };
    Arc::new(LookupCaller::new(plan, REQUEST_TIMEOUT))
}

fn backend(plan: BackendPlan) -> BackendServer {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    BackendServer::start(plan, address, address).expect("loopback address is free")
}

/// Guards against arrivals that differ between two runs with the same seed, or that deviate from the configured rate or
/// request mix.
#[test]
fn arrivals_follow_plan() {
    let plan = plan(1_000.0, Duration::from_secs(10));
    let arrivals = plan.arrivals();
    assert_eq!(arrivals, plan.arrivals());
    assert_ne!(arrivals, LoadPlan { seed: 6, ..plan }.arrivals());
    // Five standard deviations are 500 for the Poisson count and 217 for the binomial count of the second call.
    assert!((9_500..10_500).contains(&arrivals.len()));
    let rare = arrivals.iter().filter(|it| it.choice == 1).count();
    assert!((2_250..2_750).contains(&rare), "{rare}");
    assert!(arrivals.is_sorted_by_key(|it| it.at));
}

/// Guards against coordinated omission: latency must be measured from the intended arrival time and so include the time
/// that a request spends in the queue.
#[tokio::test]
async fn latency_includes_queueing() {
    // One slot at 20 ms per request serves 50 requests/s, so 100 requests/s for 0.5 s build up a queue.
    let overloaded = BackendPlan {
        slots: 1,
        queue_ms: 60_000,
        base_us: 20_000,
        mean_us: 0,
        ..BackendPlan::default()
    };
    let server = backend(overloaded);
    let caller = caller(vec![server.addresses().backend], true);
    let summary = plan(100.0, Duration::from_millis(500)).run(&[caller]).await;
    assert_eq!(summary.total(), summary.succeeded());
    assert!(summary.total() > 30);
    assert!(summary.latency.max() > 200_000, "{}", summary.latency.max());
    assert_eq!(server.state().counts().ended, summary.total());
}

/// Guards against callers that look up before every request, never refresh the answer after `max-age`, or do not fail
/// over from a host that refuses connections.
#[tokio::test]
async fn callers_follow_lookups() {
    let server = backend(BackendPlan::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry = listener.local_addr().unwrap();
    let lookups = Arc::new(AtomicU32::new(0));
    let counter = lookups.clone();
    // Port 1 refuses connections, so the caller must fail over to the second host.
    let live = server.addresses().backend;
    let content = format!(r#"{{"hosts":[{{"address":"127.0.0.1:1"}},{{"address":"{live}"}}]}}"#);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            let length = stream.read(&mut buffer).await.unwrap();
            let request = String::from_utf8_lossy(&buffer[..length]).into_owned();
            let target = "GET /v1/lookup?client=192.0.2.1&organisation=org ";
            assert!(request.starts_with(target));
            counter.fetch_add(1, Ordering::AcqRel);
            let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncache-control: max-age=1\r\n";
            let length = content.len();
            let reply = format!("{head}content-length: {length}\r\n\r\n{content}");
            stream.write_all(reply.as_bytes()).await.unwrap();
        }
    });
    let caller = caller(vec![entry], false);
    for _ in 0..3 {
        caller.send(HttpCall::get("/reports")).await.unwrap();
    }
    assert_eq!(lookups.load(Ordering::Acquire), 1);
    tokio::time::sleep(Duration::from_millis(1_050)).await;
    caller.send(HttpCall::get("/reports")).await.unwrap();
    assert_eq!(lookups.load(Ordering::Acquire), 2);
    assert_eq!(server.state().counts().ended, 4);
}
