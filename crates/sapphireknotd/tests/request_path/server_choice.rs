//! Backend server selection in the request path.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sapphireknot::{
    ids::ServerId,
    picker::{LoadReport, ServerOutcome},
};
use sapphireknot_standin::backend::{
    BackendFaults, BackendPlan, BackendServer, LoadFault, LoadReport as BackendLoadReport,
};
use sapphireknotd::{
    interfaces::{PickQuery, PickRefusal, ServerTicket},
    upstream::{connections::ConnectionPool, probes},
};

use crate::support::{KEY, SMALL_KEY, TestHost, document_text};

const REPORT: LoadReport = LoadReport {
    probed_at: sapphireknot::time::MonoTime(0),
    in_flight: 0,
    connections: 1,
    is_leaving: false,
};

async fn pick(host: &TestHost) -> Result<Box<dyn ServerTicket>, PickRefusal> {
    let config = host.context.config.load_full().unwrap();
    let matched = config.routes.find("GET", "/desk/reports").unwrap();
    let query = PickQuery {
        service: &matched.service.id,
        route: matched.route(),
        organisation: None,
        excluded: &[],
        deadline: host.context.clock.now().after(Duration::from_millis(300)),
    };
    host.context.servers.pick(query).await
}

fn server(id: &str) -> ServerId {
    id.parse().unwrap()
}

fn report(host: &TestHost, id: &str, report: LoadReport) {
    let report = LoadReport { probed_at: host.context.clock.now(), ..report };
    host.pool.record_load_report(&"desk".parse().unwrap(), &server(id), report);
}

/// Returns a document whose servers have `slots` slots each.
fn text(backends: &[SocketAddr], slots: u32) -> String {
    document_text(backends, KEY).replace("slots: 50", &format!("slots: {slots}"))
}

/// Starts a backend server that serves each request in `base_us` microseconds and does not queue.
pub(crate) fn start_backend(slots: u32, base_us: u64) -> BackendServer {
    let plan = BackendPlan { slots, base_us, mean_us: 0, queue_ms: 0, ..BackendPlan::default() };
    let any = "127.0.0.1:0".parse().unwrap();
    BackendServer::start(plan, any, any).unwrap()
}

async fn start_host(backends: &[&BackendServer], slots: u32) -> Arc<TestHost> {
    let host = TestHost::start(&[]).await;
    let addresses: Vec<_> = backends.iter().map(|it| it.addresses().backend).collect();
    host.install(2, &text(&addresses, slots));
    Arc::new(host)
}

/// Starts a host with two servers of one slot each; the first is in another region.
async fn start_regions(spill: &str) -> TestHost {
    let host = TestHost::start(&[]).await;
    let addresses = ["127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap()];
    let text = text(&addresses, 1)
        .replacen("datacentre: east-1", "datacentre: west-1", 1)
        .replacen("regions: [", "regions: [{id: west, datacentres: [west-1]}, ", 1);
    host.install(2, &format!("{text}  {spill}\n"));
    host
}

/// Guards against requests that spill to another region although the own region has a free slot, or without a
/// configured rate.
#[tokio::test]
async fn spills_only_with_configured_rate() {
    let host = start_regions("spill: []").await;
    let local = pick(&host).await.map_err(|it| panic!("{it:?}")).unwrap();
    assert_eq!(local.server(), &server("s1"));
    assert_eq!(pick(&host).await.err(), Some(PickRefusal::NoRoom));
    drop(local);
    assert_eq!(pick(&host).await.ok().unwrap().server(), &server("s1"));
    let host = start_regions("spill: [{into: west, rate: 0.001/s, burst: 1}]").await;
    let local = pick(&host).await.ok().unwrap();
    let remote = pick(&host).await.ok().unwrap();
    assert_eq!((local.server(), remote.server()), (&server("s1"), &server("s0")));
    drop(remote);
    assert_eq!(pick(&host).await.err(), Some(PickRefusal::NoRoom), "the burst is used up");
    drop(local);
    assert_eq!(pick(&host).await.ok().unwrap().server(), &server("s1"));
}

/// Guards against new requests to servers that are full with requests of other hosts, or that are leaving.
#[tokio::test]
async fn load_reports_limit_picks() {
    let host = start_regions("spill: [{into: west, rate: 1000/s, burst: 1000}]").await;
    report(&host, "s1", LoadReport { in_flight: 1, ..REPORT });
    assert_eq!(pick(&host).await.ok().unwrap().server(), &server("s0"));
    report(&host, "s0", LoadReport { is_leaving: true, ..REPORT });
    assert_eq!(pick(&host).await.err(), Some(PickRefusal::NoRoom));
    report(&host, "s1", REPORT);
    let ticket = pick(&host).await.ok().unwrap();
    assert_eq!(ticket.server(), &server("s1"));
    ticket.finish(ServerOutcome::Succeeded);
    // The requests of this host count even if the server reports no load.
    let _held = pick(&host).await.ok().unwrap();
    report(&host, "s1", REPORT);
    assert_eq!(pick(&host).await.err(), Some(PickRefusal::NoRoom));
}

/// Guards against new requests to a leaving server, and against a drain that interrupts the requests in flight.
#[tokio::test]
async fn leaving_server_finishes_and_gets_no_new_requests() {
    for by_config in [true, false] {
        let backends = [start_backend(4, 300_000), start_backend(4, 1_000)];
        let host = start_host(&[&backends[0]], 4).await;
        let requests = Arc::new(ConnectionPool::new(1 << 20));
        tokio::spawn(probes::run(host.context.state.clone(), host.pool.clone(), requests));
        let calling = {
            let host = host.clone();
            tokio::spawn(async move { host.call("POST", "/desk/pay", "x").await.status })
        };
        while backends[0].state().actual_load().in_flight == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let addresses = [backends[0].addresses().backend, backends[1].addresses().backend];
        let text = text(&addresses, 4);
        if by_config {
            host.install(3, &text.replacen("slots: 4", "leaving: true, slots: 4", 1));
        } else {
            backends[0].state().set_leaving(true);
            host.install(3, &text);
            // Time for a round of probes and its responses.
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        for _ in 0..20 {
            assert_eq!(host.call("GET", "/desk/reports", "").await.status, 200);
        }
        assert_eq!(backends[0].state().counts().begun, 1, "by configuration: {by_config}");
        assert_eq!(backends[1].state().counts().begun, 20);
        assert_eq!(calling.await.unwrap(), 200);
    }
}

/// Guards against periodic probes whose responses do not reach the pool.
#[tokio::test]
async fn periodic_probes_update_pool() {
    let backend = start_backend(4, 1_000);
    let host = start_host(&[&backend], 4).await;
    assert!(pick(&host).await.is_ok());
    backend.state().set_leaving(true);
    let requests = Arc::new(ConnectionPool::new(1 << 20));
    let probing = probes::run(host.context.state.clone(), host.pool.clone(), requests);
    // Time for a few rounds of probes.
    tokio::time::timeout(Duration::from_millis(600), probing).await.unwrap_err();
    // From here on, probes for single requests fail.
    let faults = BackendFaults { load: LoadFault::Failing, ..BackendFaults::default() };
    backend.state().set_faults(faults);
    assert_eq!(pick(&host).await.err(), Some(PickRefusal::NoServer));
}

/// Guards against an overloaded server, and against a refusal that does not state that the request did not run.
#[tokio::test]
async fn full_service_refuses_not_run() {
    let backend = start_backend(2, 600_000);
    let host = start_host(&[&backend], 2).await;
    let slow = text(&[backend.addresses().backend], 2).replace("timeout: 100ms", "timeout: 1s");
    host.install(3, &slow);
    // Sets the latency estimate, from which the host concludes that a second round would end after the deadline.
    assert_eq!(host.call("GET", "/desk/reports", "").await.status, 200);
    let calls = (0..30).map(|_| host.call("POST", "/desk/brief", "x"));
    let responses = futures_util::future::join_all(calls).await;
    let served = responses.iter().filter(|it| it.status == 200).count();
    for response in responses.iter().filter(|it| it.status != 200) {
        assert_eq!(response.refusal(), (503, "no-room", "not-run"));
    }
    assert_eq!(served, 2, "the timeout of the route allows one round");
    let counts = backend.state().counts();
    assert_eq!((counts.begun, counts.shed), (3, 0), "a single host never exceeds the slots");
}

/// Guards against an organisation that delays others by flooding a service.
#[tokio::test]
async fn serves_small_organisation_during_flood() {
    let backend = start_backend(2, 10_000);
    let host = start_host(&[&backend], 2).await;
    let flood = {
        let host = host.clone();
        let calls = move || {
            let host = host.clone();
            async move { while host.call("GET", "/desk/reports", "").await.status != 401 {} }
        };
        (0..40).map(|_| tokio::spawn(calls())).collect::<Vec<_>>()
    };
    tokio::time::sleep(Duration::from_millis(100)).await;
    let started = std::time::Instant::now();
    let headers = format!("x-api-key: {SMALL_KEY}\r\n");
    let response = host.connect().await.call("GET", "/desk/reports", &headers, "").await;
    assert_eq!(response.status, 200);
    // In arrival order, the request would wait for 40 requests of 10 ms on 2 slots, that is 200 ms.
    assert!(started.elapsed() < Duration::from_millis(120), "{:?}", started.elapsed());
    flood.iter().for_each(|it| it.abort());
}

/// Guards against a server that attracts requests because it reports no load while it sheds them.
#[tokio::test]
async fn false_load_report_does_not_attract_requests() {
    let (misreporting, accurate) = (start_backend(1, 5_000), start_backend(4, 5_000));
    let reported = BackendLoadReport { in_flight: 0, slots: 4, connections: 1, leaving: false };
    let faults = BackendFaults { load: LoadFault::Fixed(reported), ..BackendFaults::default() };
    misreporting.state().set_faults(faults);
    let host = start_host(&[&misreporting, &accurate], 4).await;
    let calls = (0..4).map(|_| async {
        let mut served = 0;
        for _ in 0..50 {
            served += usize::from(host.call("GET", "/desk/reports", "").await.status == 200);
        }
        served
    });
    let served: usize = futures_util::future::join_all(calls).await.into_iter().sum();
    assert_eq!(served, 200, "shed requests are served by the other server");
    assert!(accurate.state().counts().begun > misreporting.state().counts().begun);
    assert!(misreporting.state().counts().shed < 60, "{:?}", misreporting.state().counts().shed);
}

/// Guards against two hosts that together send far more requests than a server has slots, and against requests that are
/// lost.
#[tokio::test]
async fn hosts_share_slots() {
    let backend = start_backend(4, 5_000);
    let hosts = [start_host(&[&backend], 4).await, start_host(&[&backend], 4).await];
    let calls = (0..16).map(|it| {
        let host = &hosts[it % 2];
        async move {
            let mut served = 0;
            for _ in 0..20 {
                let response = host.call("GET", "/desk/reports", "").await;
                served += usize::from(response.status == 200);
                assert!(
                    response.status == 200 || response.refusal() == (503, "no-room", "not-run")
                );
            }
            served
        }
    });
    let served: usize = futures_util::future::join_all(calls).await.into_iter().sum();
    let counts = backend.state().counts();
    assert_eq!(counts.begun, served as u64);
    assert!(counts.shed < 80, "too many requests shed in races for a slot: {}", counts.shed);
}
