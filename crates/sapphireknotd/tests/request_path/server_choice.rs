//! Choice of a backend server.

use std::sync::Arc;

use sapphireknot::{ids::ServerId, time::MonoTime};
use sapphireknotd::{
    context::{PickQuery, PickRefusal, ServerTicket},
    upstream::{connections::ConnectionPool, probes, probes::LoadReport},
};

use crate::support::{BackendMode, TestBackend, TestHost, document_text};

const REPORT: LoadReport = LoadReport { in_flight: 0, slots: 1, connections: 1, leaving: false };

async fn pick(host: &TestHost) -> Result<Box<dyn ServerTicket>, PickRefusal> {
    let config = host.context.config.load_full().unwrap();
    let matched = config.routes.find("GET", "/desk/reports").unwrap();
    let query = PickQuery {
        service: &matched.service.id,
        route: matched.route(),
        organisation: None,
        excluded: &[],
        deadline: host.context.clock.now().after(std::time::Duration::from_millis(20)),
    };
    host.context.servers.pick(query).await
}

fn server(id: &str) -> ServerId {
    id.parse().unwrap()
}

/// Two servers with one slot each, of which the first is in another region.
async fn start() -> TestHost {
    let host = TestHost::start(&[]).await;
    let addresses = ["127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap()];
    let text = document_text(&addresses, "key")
        .replace("slots: 50", "slots: 1")
        .replacen("datacentre: east-1", "datacentre: west-1", 1)
        .replacen("regions: [", "regions: [{id: west, datacentres: [west-1]}, ", 1);
    host.install(2, &text);
    host
}

/// Guards against traffic that leaves the region without need, and against servers over their slots.
#[tokio::test]
async fn prefers_own_region_up_to_slots() {
    let host = start().await;
    let near = pick(&host).await.ok().unwrap();
    let far = pick(&host).await.ok().unwrap();
    assert_eq!((near.server(), far.server()), (&server("s1"), &server("s0")));
    assert_eq!(pick(&host).await.err(), Some(PickRefusal::NoRoom));
    drop(near);
    assert_eq!(pick(&host).await.ok().unwrap().server(), &server("s1"));
}

/// Guards against servers that are full by the requests of other hosts, or that leave, and still get requests.
#[tokio::test]
async fn follows_reports() {
    let host = start().await;
    host.pool.take_report(&server("s1"), LoadReport { in_flight: 1, ..REPORT }, 0);
    assert_eq!(pick(&host).await.ok().unwrap().server(), &server("s0"));
    host.pool.take_report(&server("s0"), LoadReport { leaving: true, ..REPORT }, 0);
    assert_eq!(pick(&host).await.err(), Some(PickRefusal::NoRoom));
    // The request that the report names is the host's own.
    host.pool.take_report(&server("s1"), LoadReport { in_flight: 1, ..REPORT }, 1);
    assert_eq!(pick(&host).await.ok().unwrap().server(), &server("s1"));
}

/// Guards against probes whose answers do not arrive at the pool.
#[tokio::test]
async fn probes_backend_servers() {
    let backend = TestBackend::start(BackendMode::Echo).await;
    let host = TestHost::start(&[backend.address]).await;
    host.context.fresh_until.set(MonoTime(u64::MAX));
    assert!(pick(&host).await.is_ok());
    let requests = Arc::new(ConnectionPool::new(1 << 20));
    let probing = probes::run(host.context.clone(), host.pool.clone(), requests);
    let until_leaving = async {
        while pick(&host).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        () = probing => panic!("probes ended"),
        () = until_leaving => {}
    }
    assert_eq!(pick(&host).await.err(), Some(PickRefusal::NoServer));
}
